package upstream

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// bornMargin is by how much the clocks of a host and an engine may differ: hosts keep
// theirs close to the true time, and an engine needs longer than this to start again.
const bornMargin = 250 * time.Millisecond

// past is a deadline that unblocks whatever waits on a connection.
var past = time.Unix(1, 0)

// connection is one connection with what is buffered of it.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	endpoint Endpoint
	retire   time.Time
	reused   bool
	// heard is when the other end was last heard of, in nanoseconds since 1970.
	heard atomic.Int64
	// ended says that the run at the other end is over.
	ended atomic.Bool
}

func newConnection(opened net.Conn, end Endpoint) *connection {
	con := &connection{Conn: opened, endpoint: end}
	con.reader = bufio.NewReaderSize(con, bufferBytes)
	con.heard.Store(time.Now().UnixNano())
	return con
}

func (con *connection) heardAt() time.Time {
	return time.Unix(0, con.heard.Load())
}

// end has reading go on only as far as bytes have arrived.
func (con *connection) end() {
	con.ended.Store(true)
	// A connection that takes no deadline is closed already.
	_ = con.SetDeadline(past)
}

// Read implements net.Conn.
func (con *connection) Read(buf []byte) (int, error) {
	count, err := con.Conn.Read(buf)
	if err != nil && con.ended.Load() {
		return con.readArrived(buf)
	}
	if count > 0 {
		con.heard.Store(time.Now().UnixNano())
	}
	return count, err
}

// readArrived reads what lies ready, whatever the deadline.
func (con *connection) readArrived(buf []byte) (int, error) {
	ended := &RunEndedError{Endpoint: con.endpoint}
	if len(buf) == 0 {
		return 0, ended
	}
	var count int
	rerr := con.control(func(fd uintptr) (err error) {
		count, _, err = syscall.Recvfrom(int(fd), buf, syscall.MSG_DONTWAIT)
		return err
	})
	switch {
	case errors.Is(rerr, syscall.EAGAIN):
		return 0, ended
	case rerr != nil:
		return 0, rerr
	case count == 0:
		return 0, io.EOF
	default:
		return count, nil
	}
}

// control calls a function with the connection's descriptor, and returns its error.
func (con *connection) control(call func(fd uintptr) error) error {
	tcp, isTCP := con.Conn.(*net.TCPConn)
	if !isTCP {
		return syscall.EAGAIN
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var cerr error
	if err := raw.Control(func(fd uintptr) { cerr = call(fd) }); err != nil {
		return err
	}
	return cerr
}

// quiet reports whether nothing has come on an idle connection: neither its end
// nor bytes that nobody asked for.
func (con *connection) quiet() bool {
	if con.reader.Buffered() > 0 {
		return false
	}
	err := con.control(func(fd uintptr) error {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return rerr
	})
	return errors.Is(err, syscall.EAGAIN)
}

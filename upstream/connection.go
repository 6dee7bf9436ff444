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

// maxClockSkew bounds the difference between the clocks of a host and an engine. Hosts keep
// their clocks synchronized, and an engine takes longer than this to restart.
const maxClockSkew = 250 * time.Millisecond

// past is a deadline that makes pending and later reads and writes fail at once.
var past = time.Unix(1, 0)

// connection is a TCP connection with its read buffer.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	endpoint Endpoint
	head     headLimit
	// retireAt is the time from which the idle connection must not be reused.
	retireAt time.Time
	// answered is set once an answer has been read. Only then can the peer send more behind it.
	answered bool
	// lastReceived is when the peer last sent data, in nanoseconds since 1970.
	lastReceived atomic.Int64
	// resetErr is the error with which the peer reset the connection, once it is known.
	resetErr error
	// runEnded is set once the engine run at the other end is known to have ended.
	runEnded atomic.Bool
}

func newConnection(opened net.Conn, end Endpoint) *connection {
	con := &connection{Conn: opened, endpoint: end}
	con.head.left.Store(noHeadLimit)
	con.reader = bufio.NewReaderSize(con, bufferBytes)
	con.lastReceived.Store(time.Now().UnixNano())
	return con
}

func (con *connection) lastReceivedAt() time.Time {
	return time.Unix(0, con.lastReceived.Load())
}

// endRun records that the engine run has ended: it aborts pending writes and limits further reads to
// the bytes that have already arrived.
func (con *connection) endRun() {
	con.runEnded.Store(true)
	// SetDeadline fails only on a closed connection.
	_ = con.SetDeadline(past)
}

// Read implements net.Conn.
func (con *connection) Read(buf []byte) (int, error) {
	allowed, err := con.head.bound(len(buf))
	if err != nil {
		return 0, err
	}
	count, err := con.Conn.Read(buf[:allowed])
	if err != nil && con.runEnded.Load() {
		count, err = con.readArrived(buf[:allowed])
		con.head.read(count)
		return count, err
	}
	con.head.read(count)
	if count > 0 {
		con.lastReceived.Store(time.Now().UnixNano())
	}
	return count, err
}

// readArrived reads bytes that have already arrived, regardless of the deadline. It returns
// a *RunEndedError if there are none.
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

// control calls a function with the connection's file descriptor and returns its error.
func (con *connection) control(call func(fd uintptr) error) error {
	socket, isSocket := con.Conn.(syscall.Conn)
	if !isSocket {
		return syscall.EAGAIN
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var cerr error
	if err := raw.Control(func(fd uintptr) { cerr = call(fd) }); err != nil {
		return err
	}
	return cerr
}

// isClean reports whether an idle connection may be reused: the peer has neither closed it
// nor sent unsolicited bytes.
func (con *connection) isClean() bool {
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

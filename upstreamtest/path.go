package upstreamtest

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// PathState is the state of a host's path to all engines, or to or from all other hosts.
type PathState struct {
	// Refused makes new connections fail at once, Silent makes them hang.
	Refused bool
	Silent  bool
	// OpenReset resets the connections that are open when the state begins, and OpenSilent makes them
	// hang. Otherwise they live on.
	OpenReset  bool
	OpenSilent bool
}

// unackedLimit is how long a connection lives while what was sent on it isn't acknowledged, and
// keepAliveLimit how long while it is idle, as with the options that hosts set.
const (
	unackedLimit   = time.Second
	keepAliveLimit = 2 * time.Second
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Path dials engines or other hosts for one host, and can cut it off from all of them. It implements upstream.Dialer.
type Path struct {
	// Next, if set, returns what opens the connections to an address.
	Next  func(address string) Dialer
	mutex sync.Mutex
	state PathState
	// changed is closed when the state changes.
	changed chan struct{}
	open    map[*pathConn]struct{}
	// opened holds what is called when the next connection to an address has been opened.
	opened map[string]func()
}

// NewPath returns a path that isn't cut.
func NewPath() *Path {
	return &Path{changed: make(chan struct{}), open: make(map[*pathConn]struct{}), opened: make(map[string]func())}
}

// OnOpened calls a function when the next connection to the address has been opened, before the host learns of it.
func (pat *Path) OnOpened(address string, call func()) {
	pat.mutex.Lock()
	defer pat.mutex.Unlock()
	pat.opened[address] = call
}

// Set changes the state. A zero state ends a cut: connections that were silenced have lost bytes, and are
// reset.
func (pat *Path) Set(sta PathState) {
	pat.mutex.Lock()
	defer pat.mutex.Unlock()
	pat.state = sta
	close(pat.changed)
	pat.changed = make(chan struct{})
	for con := range pat.open {
		switch {
		case sta.OpenReset:
			con.end(syscall.ECONNRESET)
		case sta.OpenSilent:
			con.silence()
		case con.isSilent():
			con.end(syscall.ECONNRESET)
		}
	}
}

func (pat *Path) current() (PathState, <-chan struct{}) {
	pat.mutex.Lock()
	defer pat.mutex.Unlock()
	return pat.state, pat.changed
}

// DialContext implements upstream.Dialer.
func (pat *Path) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		sta, changed := pat.current()
		switch {
		case sta.Refused:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case !sta.Silent:
			return pat.dial(ctx, network, address)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
}

func (pat *Path) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer Dialer = &net.Dialer{}
	if pat.Next != nil {
		dialer = pat.Next(address)
	}
	opened, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	con := &pathConn{Conn: opened, path: pat}
	pat.mutex.Lock()
	defer pat.mutex.Unlock()
	pat.open[con] = struct{}{}
	if call, found := pat.opened[address]; found {
		delete(pat.opened, address)
		call()
	}
	return con, nil
}

// pathConn is a connection that can be silenced or reset.
type pathConn struct {
	net.Conn
	path  *Path
	mutex sync.Mutex
	// silent is set while nothing that is sent arrives. ended is the error with which the connection failed.
	silent bool
	ended  error
}

func (pac *pathConn) isSilent() bool {
	pac.mutex.Lock()
	defer pac.mutex.Unlock()
	return pac.silent
}

func (pac *pathConn) endedBy() error {
	pac.mutex.Lock()
	defer pac.mutex.Unlock()
	return pac.ended
}

// silence drops all further bytes; like an idle connection whose keep-alive probes aren't acknowledged, it
// times out.
func (pac *pathConn) silence() {
	pac.mutex.Lock()
	defer pac.mutex.Unlock()
	pac.silent = true
	time.AfterFunc(keepAliveLimit, pac.timeOut)
}

func (pac *pathConn) timeOut() {
	if pac.isSilent() {
		pac.end(syscall.ETIMEDOUT)
	}
}

// end fails all reads and writes with the error.
func (pac *pathConn) end(cause error) {
	pac.mutex.Lock()
	defer pac.mutex.Unlock()
	if pac.ended == nil {
		pac.ended = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", cause)}
	}
	// SetDeadline fails only on a closed connection.
	_ = pac.SetDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (pac *pathConn) Read(buf []byte) (int, error) {
	for {
		count, err := pac.Conn.Read(buf)
		if cause := pac.endedBy(); cause != nil {
			return 0, cause
		}
		if err != nil || !pac.isSilent() {
			return count, err
		}
	}
}

// Write implements net.Conn.
func (pac *pathConn) Write(buf []byte) (int, error) {
	if cause := pac.endedBy(); cause != nil {
		return 0, cause
	}
	if pac.isSilent() {
		time.AfterFunc(unackedLimit, pac.timeOut)
		return len(buf), nil
	}
	return pac.Conn.Write(buf)
}

// Close implements net.Conn.
func (pac *pathConn) Close() error {
	pac.path.mutex.Lock()
	delete(pac.path.open, pac)
	pac.path.mutex.Unlock()
	return pac.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (pac *pathConn) SyscallConn() (syscall.RawConn, error) {
	if cause := pac.endedBy(); cause != nil {
		return nil, cause
	}
	socket, isSocket := pac.Conn.(syscall.Conn)
	if !isSocket {
		return nil, syscall.ENOTSUP
	}
	return socket.SyscallConn()
}

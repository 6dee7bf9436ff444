package transport

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Liveness fails TCP connections whose peer stopped responding without closing them. A
// connection can lose all traffic permanently while new ones to the same address work.
type Liveness struct {
	// Limit is how long sent data or a keep-alive probe may stay unacknowledged before the
	// connection fails.
	Limit time.Duration
}

const (
	// probeIdle is the time without traffic after which a keep-alive probe is sent, and the
	// interval of further probes. One second is the shortest that the kernel accepts. A
	// connection that only waits for data needs probes, since it sends nothing that could go
	// unacknowledged.
	probeIdle = time.Second
	// probeCount is how many probes, one a second, may go unacknowledged if Limit is 0. With
	// a Limit, TCP_USER_TIMEOUT overrides this count.
	probeCount = 2
)

func (liv Liveness) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeIdle, Count: probeCount}
}

// Dialer returns a dialer whose connections fail once the limit is exceeded. The timeout bounds
// the time to connect.
func (liv Liveness) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, KeepAliveConfig: liv.keepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error { return liv.setUserTimeout(raw) },
	}
}

// Listen returns a TCP listener at the address whose accepted connections fail once the limit
// is exceeded.
func (liv Liveness) Listen(ctx context.Context, adr netip.AddrPort) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: liv.keepAlive()}
	lis, err := cfg.Listen(ctx, "tcp", adr.String())
	if err != nil {
		return nil, err
	}
	return &watchedListener{Listener: lis, liveness: liv}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, the time for which sent bytes may stay unacknowledged.
func (liv Liveness) setUserTimeout(raw syscall.RawConn) error {
	var serr error
	err := raw.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(liv.Limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return serr
}

type watchedListener struct {
	net.Listener
	liveness Liveness
}

// Accept implements net.Listener.
func (wal *watchedListener) Accept() (net.Conn, error) {
	con, err := wal.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, isTCP := con.(*net.TCPConn)
	if !isTCP {
		return con, nil
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		// Setting the option fails only on a closed connection, whose first use returns an
		// error. Returning the error here would stop the whole listener.
		_ = wal.liveness.setUserTimeout(raw)
	}
	return con, nil
}

package transport

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Liveness has connections whose other end no longer answers fail, although
// nothing tells so: some go silent for good while new ones work.
type Liveness struct {
	// Limit is after how long without an acknowledgement of what was sent, a probe
	// included, a connection fails.
	Limit time.Duration
}

const (
	// probeIdle is after how long without any byte a probe is sent, the shortest
	// that the system takes: a waiting reader sends nothing that could go missing.
	probeIdle = time.Second
	// probeCount is how many probes may go unanswered, one a second; the limit
	// ends the connection sooner where it is shorter.
	probeCount = 2
)

func (liv Liveness) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeIdle, Count: probeCount}
}

// Dialer returns a dialer whose connections are watched.
func (liv Liveness) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, KeepAliveConfig: liv.keepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error { return liv.bound(raw) },
	}
}

// Listen returns a listener whose connections are watched.
func (liv Liveness) Listen(ctx context.Context, adr netip.AddrPort) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: liv.keepAlive()}
	lis, err := cfg.Listen(ctx, "tcp", adr.String())
	if err != nil {
		return nil, err
	}
	return &watchedListener{Listener: lis, liveness: liv}, nil
}

// bound sets the time for which sent bytes may stay unacknowledged.
func (liv Liveness) bound(raw syscall.RawConn) error {
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
		// A connection that takes no options has ended already, which its first use
		// tells; an error here would end the whole listener.
		_ = wal.liveness.bound(raw)
	}
	return con, nil
}

package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"lynxwell.dev/lynxwell/transport"
)

// Meter counts the bytes on the connections between this host and the others.
type Meter struct {
	received atomic.Uint64
	sent     atomic.Uint64
}

// Received returns the number of bytes received.
func (met *Meter) Received() uint64 {
	return met.received.Load()
}

// Sent returns the number of bytes sent.
func (met *Meter) Sent() uint64 {
	return met.sent.Load()
}

// liveness closes connections whose peer has disappeared without closing them. A busy
// session on such a connection also detects this by missed heartbeats; an idle session
// would take idleFactor times as long.
var liveness = transport.Liveness{Limit: 1500 * time.Millisecond}

// dialTimeout bounds the time to connect to another host. It allows for one lost SYN
// packet, which is retransmitted after 1 s; a partitioned host doesn't answer at all.
const dialTimeout = 2 * time.Second

// Listener wraps lis so that the bytes on its connections are counted.
func (met *Meter) Listener(lis net.Listener) net.Listener {
	return &meteredListener{Listener: lis, meter: met}
}

// Dialer opens connections to other hosts.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dialWith returns a function that dials with the dialer and counts the bytes on the connections.
func (met *Meter) dialWith(dia Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dia.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: con, meter: met}, nil
	}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (mel *meteredListener) Accept() (net.Conn, error) {
	con, err := mel.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: con, meter: mel.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (mec *meteredConn) Read(buf []byte) (int, error) {
	count, err := mec.Conn.Read(buf)
	mec.meter.received.Add(uint64(count))
	return count, err
}

// Write implements net.Conn.
func (mec *meteredConn) Write(buf []byte) (int, error) {
	count, err := mec.Conn.Write(buf)
	mec.meter.sent.Add(uint64(count))
	return count, err
}

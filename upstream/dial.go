package upstream

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Dialer opens connections to engines and backend servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// DialResult is why a dial opened no connection.
type DialResult uint8

const (
	// DialFailed stands for every reason without a name of its own.
	DialFailed DialResult = iota
	// DialRefused means that the address refused the connection.
	DialRefused
	// DialTimedOut means that the address did not respond in time.
	DialTimedOut
	// DialCanceled means that the call ended first.
	DialCanceled
)

// String returns the result's name in the log and in the names of counters.
func (dre DialResult) String() string {
	names := [...]string{"Failed", "Refused", "TimedOut", "Canceled"}
	if int(dre) >= len(names) {
		return "Invalid"
	}
	return names[dre]
}

// dialResult returns why a dial with the context failed.
func dialResult(ctx context.Context, err error) DialResult {
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		return DialCanceled
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.As(err, &netErr) && netErr.Timeout():
		return DialTimedOut
	default:
		return DialFailed
	}
}

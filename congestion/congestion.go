// Package congestion bounds how many reservations a gateway has undecided at its coordinator.
//
// A coordinator that gets more messages than it can handle answers late. Without a bound, the gateways
// send the more the later it answers, and much of what it then decides is no longer wanted. The bound
// follows the lag of the answers: the time that they take beyond the request's wait in the coordinator's
// queue, and beyond the network path. It falls when they lag and grows while they don't.
//
// # Usage
//
//	win := congestion.New()
//	if win.Open() {
//		win.Sent()
//	}
//	win.Decided(now, elapsed-waited)
//
// A Window isn't safe for concurrent use. It reads no clock.
package congestion

import "time"

// MinLimit and MaxLimit bound the number of undecided reservations. A few keep the coordinator informed of
// what waits, whatever its lag.
const (
	MinLimit = 8
	MaxLimit = 256
)

const (
	// initialLimit is the limit at the start.
	initialLimit = 64
	// MaxLag is the lag above which the limit falls. Gateways wait for a decision for 150 ms longer
	// than the coordinator may queue the request; a third of that is left to react.
	MaxLag = 100 * time.Millisecond
	// shrink is the factor by which the limit falls, at most once in shrinkInterval: the answers to
	// reservations that were sent before show the same lag.
	shrink         = 0.7
	shrinkInterval = 100 * time.Millisecond
	// growth is what a decision without lag adds to the limit: a gateway that sends ten a second
	// recovers within seconds.
	growth = 0.25
	// pathWindow is the period over which the shortest lag counts as that of the network path.
	pathWindow = 10 * time.Second
)

// Window is the bound of one gateway.
type Window struct {
	limit     float64
	undecided int
	shrunkAt  time.Time
	// path is the shortest lag of the current period, which began at pathSince, and lastPath that of the
	// period before.
	path      time.Duration
	pathSince time.Time
	lastPath  time.Duration
}

// New returns a window without undecided reservations.
func New() *Window { return &Window{limit: initialLimit} }

// Open reports whether another reservation may be sent.
func (win *Window) Open() bool { return win.undecided < int(win.limit) }

// Limit returns the current bound, Undecided the number of undecided reservations.
func (win *Window) Limit() int { return int(win.limit) }

// Undecided returns the number of undecided reservations.
func (win *Window) Undecided() int { return win.undecided }

// Sent records that a reservation was sent.
func (win *Window) Sent() { win.undecided++ }

// Dropped records that a reservation was withdrawn while the coordinator wasn't late.
func (win *Window) Dropped() { win.undecided = max(0, win.undecided-1) }

// Decided records a decision with its lag: the time since the reservation was sent, without the wait in
// the coordinator's queue.
func (win *Window) Decided(now time.Time, lag time.Duration) {
	win.Dropped()
	if win.excess(now, lag) > MaxLag {
		win.shrink(now)
		return
	}
	win.limit = min(MaxLimit, win.limit+growth)
}

// Late records that the coordinator didn't decide a reservation in time.
func (win *Window) Late(now time.Time) {
	win.Dropped()
	win.shrink(now)
}

func (win *Window) shrink(now time.Time) {
	if now.Sub(win.shrunkAt) < shrinkInterval {
		return
	}
	win.shrunkAt = now
	win.limit = max(MinLimit, win.limit*shrink)
}

// excess returns the lag without the network path.
func (win *Window) excess(now time.Time, lag time.Duration) time.Duration {
	if win.pathSince.IsZero() || now.Sub(win.pathSince) >= pathWindow {
		win.lastPath, win.path, win.pathSince = win.path, lag, now
		if win.lastPath == 0 {
			win.lastPath = lag
		}
	}
	win.path = min(win.path, lag)
	return lag - min(win.path, win.lastPath)
}

// Excess returns by how much a lag exceeds that of the network path.
func (win *Window) Excess(lag time.Duration) time.Duration {
	if win.pathSince.IsZero() {
		return 0
	}
	return max(0, lag-min(win.path, win.lastPath))
}

// Reset forgets the undecided reservations and the network path, when another coordinator decides. The
// limit stays: all gateways turn to that coordinator at once.
func (win *Window) Reset() {
	win.undecided, win.path, win.lastPath, win.pathSince = 0, 0, 0, time.Time{}
}

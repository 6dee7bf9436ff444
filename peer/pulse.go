package peer

import (
	"sync"
	"time"
)

// heartbeat determines when a session sends heartbeats and when it has timed out. A
// gateway that has sent a message must detect a failure of the coordinator quickly, so
// each message of the gateway makes the session busy for Timing.Timeout plus
// busyHeartbeats heartbeat intervals. While the session is busy, the coordinator sends
// its heartbeats at the short interval. All other heartbeats use the long interval, since
// no component waits for them.
type heartbeat struct {
	mutex sync.Mutex
	// atCoordinator is set at the coordinator's end of the session.
	atCoordinator bool
	// lastReceived and lastSent are the times of the most recent received and sent
	// frame.
	lastReceived time.Time
	lastSent     time.Time
	// busySince is when the session most recently became busy, busyUntil when it becomes
	// idle again.
	busySince time.Time
	busyUntil time.Time
}

func (hbt *heartbeat) start(now time.Time) {
	hbt.mutex.Lock()
	defer hbt.mutex.Unlock()
	hbt.lastReceived, hbt.lastSent = now, now
}

// markBusy records a message from the gateway. The caller holds the mutex.
func (hbt *heartbeat) markBusy(now time.Time, tim Timing) {
	if now.After(hbt.busyUntil) {
		hbt.busySince = now
	}
	hbt.busyUntil = now.Add(tim.Timeout + busyHeartbeats*tim.Heartbeat)
}

func (hbt *heartbeat) recordReceived(now time.Time, message bool, tim Timing) {
	hbt.mutex.Lock()
	defer hbt.mutex.Unlock()
	hbt.lastReceived = now
	if message && hbt.atCoordinator {
		hbt.markBusy(now, tim)
	}
}

func (hbt *heartbeat) recordSent(now time.Time, tim Timing) {
	hbt.mutex.Lock()
	defer hbt.mutex.Unlock()
	hbt.lastSent = now
	if !hbt.atCoordinator {
		hbt.markBusy(now, tim)
	}
}

// due reports whether a heartbeat must be sent now, and records it as sent if so.
func (hbt *heartbeat) due(now time.Time, tim Timing) bool {
	hbt.mutex.Lock()
	defer hbt.mutex.Unlock()
	interval := idleFactor * tim.Heartbeat
	if hbt.atCoordinator && !now.After(hbt.busyUntil) {
		interval = tim.Heartbeat
	}
	if now.Sub(hbt.lastSent) < interval-tim.Heartbeat/2 {
		return false
	}
	hbt.lastSent = now
	return true
}

// timedOut reports whether no frame has arrived within the current timeout, and
// returns that timeout.
func (hbt *heartbeat) timedOut(now time.Time, tim Timing) (bool, time.Duration) {
	hbt.mutex.Lock()
	defer hbt.mutex.Unlock()
	limit := tim.Timeout
	since := hbt.lastReceived
	if hbt.atCoordinator || now.After(hbt.busyUntil) {
		limit *= idleFactor
	} else if hbt.busySince.After(since) {
		since = hbt.busySince
	}
	return now.Sub(since) > limit, limit
}

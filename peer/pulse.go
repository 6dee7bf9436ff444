package peer

import (
	"sync"
	"time"
)

// pulse decides how fast a session beats, and how long the other end may be
// silent. A gateway that has sent something waits for a sign of life of the
// coordinator, and so the coordinator beats fast for a while after each message.
// All other beats are slow: nobody waits for them.
type pulse struct {
	mutex sync.Mutex
	// answers is set at the coordinator's end.
	answers bool
	// last is when something was heard; beaten when a frame was sent.
	last   time.Time
	beaten time.Time
	// busySince is when the session last became busy, busyUntil when it is idle again.
	busySince time.Time
	busyUntil time.Time
}

func (pul *pulse) begin(now time.Time) {
	pul.mutex.Lock()
	defer pul.mutex.Unlock()
	pul.last, pul.beaten = now, now
}

// busy takes note of a message from the gateway.
func (pul *pulse) busy(now time.Time, tim Timing) {
	if now.After(pul.busyUntil) {
		pul.busySince = now
	}
	pul.busyUntil = now.Add(tim.Timeout + idleAfter*tim.Heartbeat)
}

func (pul *pulse) heard(now time.Time, message bool, tim Timing) {
	pul.mutex.Lock()
	defer pul.mutex.Unlock()
	pul.last = now
	if message && pul.answers {
		pul.busy(now, tim)
	}
}

func (pul *pulse) sent(now time.Time, tim Timing) {
	pul.mutex.Lock()
	defer pul.mutex.Unlock()
	pul.beaten = now
	if !pul.answers {
		pul.busy(now, tim)
	}
}

// due reports whether a heartbeat should be sent now, and takes it as sent.
func (pul *pulse) due(now time.Time, tim Timing) bool {
	pul.mutex.Lock()
	defer pul.mutex.Unlock()
	interval := idleFactor * tim.Heartbeat
	if pul.answers && !now.After(pul.busyUntil) {
		interval = tim.Heartbeat
	}
	if now.Sub(pul.beaten) < interval-tim.Heartbeat/2 {
		return false
	}
	pul.beaten = now
	return true
}

// silent reports whether the other end has been silent for too long, and for
// how long it may be.
func (pul *pulse) silent(now time.Time, tim Timing) (bool, time.Duration) {
	pul.mutex.Lock()
	defer pul.mutex.Unlock()
	limit := tim.Timeout
	since := pul.last
	if pul.answers || now.After(pul.busyUntil) {
		limit *= idleFactor
	} else if pul.busySince.After(since) {
		since = pul.busySince
	}
	return now.Sub(since) > limit, limit
}

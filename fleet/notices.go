package fleet

import (
	"maps"
	"time"
)

// BrittleInterval is how often a run's brittleness, which all its answers state, counts as new.
const BrittleInterval = 250 * time.Millisecond

// unregisteredRetention is how long the notices of an unregistered run are kept. A run whose entry
// expired in an outage of the store usually registers again within two seconds after the outage,
// and in the worst case only after as long as the longest outage, half a minute.
const unregisteredRetention = time.Minute

// Notices holds the signals that one host has received in engines' responses. A response comes
// directly from the engine, even while the store is unavailable or lacks the engine's latest
// entry. Notices therefore take precedence over entries: a run that has signaled Draining is
// draining, whatever its entry reports. A notice never applies to another run, even of the same
// name or at the same address.
//
// Notices is not safe for concurrent use.
type Notices struct {
	// final holds the signal of each run that drains or is replaced; it doesn't expire.
	final map[EngineID]Signal
	// backoffUntil holds the end of each run's backoff.
	backoffUntil map[EngineID]time.Time
	// limits holds each run's rate limit.
	limits map[EngineID]ReceivedLimit
	// coldUntil holds the end of each run's warm-up.
	coldUntil map[EngineID]time.Time
	// brittleAt is when each run's brittleness was last reported as new.
	brittleAt map[EngineID]time.Time
	// lastSeen holds, for each run with a notice, the later of the time at which it was last
	// found registered and the time of its latest notice.
	lastSeen map[EngineID]time.Time
}

// ReceivedLimit is a rate limit and the time at which the run last sent it.
type ReceivedLimit struct {
	RateLimit
	ReceivedAt time.Time
}

// NewNotices returns an empty set of notices.
func NewNotices() *Notices {
	return &Notices{
		final: make(map[EngineID]Signal), backoffUntil: make(map[EngineID]time.Time),
		limits: make(map[EngineID]ReceivedLimit), coldUntil: make(map[EngineID]time.Time), brittleAt: make(map[EngineID]time.Time), lastSeen: make(map[EngineID]time.Time),
	}
}

// Record stores a notice received at now and reports whether the notice changes the state of the
// run: the first signal that the run drains or is replaced, a backoff or warm-up while none was in
// force, a new or different rate limit, or the end of one. A shorter backoff doesn't replace a
// longer one, and a draining run remains draining after its backoff has expired.
func (ntc *Notices) Record(now time.Time, not Notice) bool {
	if not.Signal == nil {
		return false
	}
	ntc.lastSeen[not.Run] = now
	switch sig := not.Signal.(type) {
	case Draining, Replaced:
		_, known := ntc.final[not.Run]
		ntc.final[not.Run] = sig
		return !known
	case Backoff:
		prev := ntc.backoffUntil[not.Run]
		if until := now.Add(sig.Remaining); until.After(prev) {
			ntc.backoffUntil[not.Run] = until
		}
		return !now.Before(prev)
	case RateLimit:
		prev, known := ntc.limits[not.Run]
		ntc.limits[not.Run] = ReceivedLimit{RateLimit: sig, ReceivedAt: now}
		return !known || prev.RateLimit != sig
	case Cold:
		prev := ntc.coldUntil[not.Run]
		if until := now.Add(sig.Remaining); until.After(prev) {
			ntc.coldUntil[not.Run] = until
		}
		return !now.Before(prev)
	case Brittle:
		isDue := now.Sub(ntc.brittleAt[not.Run]) >= BrittleInterval
		if isDue {
			ntc.brittleAt[not.Run] = now
		}
		return isDue
	case Unlimited:
		_, known := ntc.limits[not.Run]
		delete(ntc.limits, not.Run)
		return known
	default:
		return false
	}
}

// BlockingSignal returns the signal that forbids sending requests to the run, with the
// remaining time of a backoff; nil if requests may be sent.
func (ntc *Notices) BlockingSignal(now time.Time, run EngineID) Signal {
	if sig, final := ntc.final[run]; final {
		return sig
	}
	if remaining := ntc.backoffUntil[run].Sub(now); remaining > 0 {
		return Backoff{Remaining: remaining}
	}
	return nil
}

// ColdFor returns how much longer the run is cold according to its signals.
func (ntc *Notices) ColdFor(now time.Time, run EngineID) time.Duration {
	return max(0, ntc.coldUntil[run].Sub(now))
}

// Limit returns the rate limit that the run last sent, and whether one is in force.
func (ntc *Notices) Limit(run EngineID) (ReceivedLimit, bool) {
	lim, active := ntc.limits[run]
	return lim, active
}

// EndsLimit reports whether a response without a rate limit, to a request sent at the given
// time, removes the run's rate limit. It doesn't if the request was sent before the limit was
// last received, since the engine may have set the limit after the response.
func (ntc *Notices) EndsLimit(run EngineID, sent time.Time) bool {
	lim, known := ntc.limits[run]
	return known && sent.After(lim.ReceivedAt)
}

// Current returns the notices in force, in no particular order.
func (ntc *Notices) Current(now time.Time) []Notice {
	var current []Notice
	for run := range ntc.lastSeen {
		if sig := ntc.BlockingSignal(now, run); sig != nil {
			current = append(current, Notice{Run: run, Signal: sig})
		}
		if lim, active := ntc.Limit(run); active {
			current = append(current, Notice{Run: run, Signal: lim.RateLimit})
		}
		if remaining := ntc.ColdFor(now, run); remaining > 0 {
			current = append(current, Notice{Run: run, Signal: Cold{Remaining: remaining}})
		}
	}
	return current
}

// Prune drops expired notices, and those of runs that have been unregistered for at least
// unregisteredRetention and have no backoff in force.
func (ntc *Notices) Prune(now time.Time, isRegistered func(EngineID) bool) {
	expired := func(_ EngineID, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(ntc.backoffUntil, expired)
	maps.DeleteFunc(ntc.coldUntil, expired)
	maps.DeleteFunc(ntc.brittleAt, func(_ EngineID, at time.Time) bool { return now.Sub(at) >= BrittleInterval })
	for run, last := range ntc.lastSeen {
		_, final := ntc.final[run]
		_, backoff := ntc.backoffUntil[run]
		_, limited := ntc.limits[run]
		switch {
		case !final && !backoff && !limited && ntc.ColdFor(now, run) == 0:
			delete(ntc.lastSeen, run)
		case isRegistered(run):
			ntc.lastSeen[run] = now
		case now.Sub(last) >= unregisteredRetention && !backoff:
			delete(ntc.lastSeen, run)
			delete(ntc.final, run)
			delete(ntc.limits, run)
		}
	}
}

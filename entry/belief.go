package entry

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/route"
)

// belief is what the host takes to be the case; it is never changed, only
// replaced.
type belief struct {
	// table is nil until a configuration is known.
	table *route.Table
	// engines are by their names.
	engines map[string]fleet.Engine
	members []fleet.Member
}

// engine returns the engine that a grant names. Where the coordinator or this host knows
// a later run of it than the other, the request goes to the later one: nothing of the
// former is left, and what listens there turns away what is meant for another engine. So
// no request is refused for what the store hasn't told everybody yet.
func (bel *belief) engine(granted fleet.EngineID) (fleet.Engine, bool) {
	eng, known := bel.engines[granted.Name]
	if known && granted.Follows(eng.ID) {
		eng.ID, eng.Draining = granted, false
	}
	return eng, known
}

// lists reports whether the run is listed.
func (bel *belief) lists(run fleet.EngineID) bool {
	eng, known := bel.engines[run.Name]
	return known && eng.ID == run
}

// neverConfirmed is long before any time since the start.
const neverConfirmed = -int64(time.Hour)

// confirm notes that the belief was current at the given time. Where that comes
// from another host it may be older than what is known.
func (hos *Host) confirm(at time.Time) {
	if at.IsZero() {
		return
	}
	since := int64(at.Sub(hos.started))
	if since > hos.confirmed.Load() {
		hos.confirmed.Store(since)
	}
}

// age returns how long ago the belief was last known to be current.
func (hos *Host) age(now time.Time) time.Duration {
	return now.Sub(hos.started) - time.Duration(hos.confirmed.Load())
}

// trustShare is the part of the revocation bound for which an unconfirmed
// configuration is acted on. A key that was taken away since it was confirmed
// must not be served past the whole bound; the rest is for a request on its way
// and for a host that is slow.
const trustShare = 0.8

// trust is how old the belief may be to act on it.
func (hos *Host) trust() time.Duration {
	return time.Duration(trustShare * float64(hos.bounds.Load().Revoke()))
}

// trusted reports whether requests with keys may be decided by what the host
// believes. Where revocation is strict, that ends with the belief's age. Else it
// is enough that it once was current: the newest configuration that a host knows
// serves callers better than none while the store is away, engines that have
// left turn its requests away by their ids, and limits are kept by the hosts
// among one another.
func (hos *Host) trusted(now time.Time) bool {
	if hos.confirmed.Load() == neverConfirmed {
		return false
	}
	return !hos.bounds.Load().RevocationIsStrict.Or(true) || hos.age(now) < hos.trust()
}

// ready reports whether the host takes requests, and if not, why.
func (hos *Host) ready(now time.Time) (bool, string) {
	switch {
	case hos.draining.Load():
		return false, "Draining"
	case hos.belief.Load().table == nil:
		return false, "NoConfiguration"
	case !hos.trusted(now):
		return false, "StaleConfiguration"
	default:
		return true, ""
	}
}

package entry

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/route"
)

// snapshot is the host's current knowledge of the configuration, the engines and the hosts. It is
// never changed, only replaced.
type snapshot struct {
	// table is nil until a configuration is known.
	table *route.Table
	// engines are keyed by name.
	engines map[string]fleet.Engine
	members []fleet.Member
}

// engine returns the engine that a grant names. If either the coordinator or this host knows a
// later run of the engine than the other, the request goes to the later run: the old process no
// longer exists, and whatever listens at its address rejects requests that are meant for another
// engine. This way no request is refused because a change of the store has not reached every host
// yet.
func (snp *snapshot) engine(granted fleet.EngineID) (fleet.Engine, bool) {
	eng, known := snp.engines[granted.Name]
	if known && granted.Follows(eng.ID) {
		eng.ID, eng.Draining = granted, false
	}
	return eng, known
}

// isRegistered reports whether the run is registered.
func (snp *snapshot) isRegistered(run fleet.EngineID) bool {
	eng, known := snp.engines[run.Name]
	return known && eng.ID == run
}

// neverConfirmed is the value of Host.confirmed before the first confirmation: long before the
// host's start, so that the snapshot is too old to use.
const neverConfirmed = -int64(time.Hour)

// confirm records that the snapshot was current at the given time. A zero time and one that is
// earlier than the recorded one, as from another host's copy, are ignored.
func (hos *Host) confirm(at time.Time) {
	if at.IsZero() {
		return
	}
	since := int64(at.Sub(hos.started))
	if since > hos.confirmed.Load() {
		hos.confirmed.Store(since)
	}
}

// snapshotAge returns the time since the snapshot was last known to be current.
func (hos *Host) snapshotAge(now time.Time) time.Duration {
	return now.Sub(hos.started) - time.Duration(hos.confirmed.Load())
}

// freshnessShare is the part of the revocation bound during which an unconfirmed configuration is
// used. A key that was revoked after the last confirmation must not be accepted beyond the whole
// bound; the rest is left for requests in flight and for a slow host.
const freshnessShare = 0.8

// freshnessLimit returns the age up to which the snapshot may be used.
func (hos *Host) freshnessLimit() time.Duration {
	return time.Duration(freshnessShare * float64(hos.bounds.Load().Revoke()))
}

// isFresh reports whether the snapshot may be used for requests that need a key. If revocation is
// strict, its age is limited. Otherwise it is enough that the snapshot was confirmed once: during
// an outage of the store the newest known configuration serves clients better than none, a request
// for an engine that no longer exists is rejected by its id, and the hosts enforce limits among
// themselves.
func (hos *Host) isFresh(now time.Time) bool {
	if hos.confirmed.Load() == neverConfirmed {
		return false
	}
	return !hos.bounds.Load().RevocationIsStrict.Or(true) || hos.snapshotAge(now) < hos.freshnessLimit()
}

// ready reports whether the host accepts requests and, if it does not, the reason.
func (hos *Host) ready(now time.Time) (bool, string) {
	switch {
	case hos.draining.Load():
		return false, "Draining"
	case hos.snapshot.Load().table == nil:
		return false, "NoConfiguration"
	case !hos.isFresh(now):
		return false, "StaleConfiguration"
	default:
		return true, ""
	}
}

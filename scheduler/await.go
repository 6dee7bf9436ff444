package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// A client may resume its stream before this core learns of the stream's first event: the two messages come from different
// hosts. If this core was asked for an engine for the stream, the report of that event may be on its way, and the resumption
// waits for it. Which engine this core granted says nothing: the gateway may have asked its own core meanwhile.

// While other cores schedule for some of the hosts, as shortly after the hosts' start, a stream may have begun of which this
// core wasn't asked. So any resumption of an unknown stream waits there, for the report or until its host uses the
// coordinator that knows the stream. Nothing is concluded from the wait. Where the copy of the store is old, the host has
// been out of touch for long, and another one can tell the client sooner.

// A host that has just started knows nothing of either until its copy of the store was confirmed once, some round trips
// later: what begins or resumes a stream there waits for that.

// unresolved is a reservation that waits for what it needs to be decided.
type unresolved struct {
	reserve reservation.Reserve
	gateway request.Epoch
	since   time.Time
	// unconfirmed is set if it waits for the first confirmation of the copy of the store, too, and not only for the origin
	// of its stream.
	unconfirmed bool
}

// until is when the reservation is decided with what is known then.
func (unr unresolved) until() time.Time { return unr.since.Add(unr.reserve.MaxWait()) }

// expectOrigin records that the origin of a request's stream may be reported, unless one version alone can have begun it.
func (cor *Core) expectOrigin(now time.Time, service string, stream affinity.Stream, life time.Duration) {
	if cor.versions.MustKeepOrigins(service) {
		cor.expected.Record(now, affinity.Batch{Origin: affinity.Origin{Service: service}, KeepFor: life, Streams: []affinity.Stream{stream}})
	}
}

// expectsOrigin reports whether the origin of the stream, of which this core knows what the basis says, may be reported:
// this core was asked for an engine for it, or another one may have been.
func (cor *Core) expectsOrigin(now time.Time, stream affinity.Stream, basis OriginBasis) bool {
	if basis == OriginUnknown && cor.othersSchedule {
		return true
	}
	_, expected := cor.expected.Origin(now, stream)
	return expected
}

// await makes a reservation wait for the origin of its stream, or for the first confirmation of the copy of the store, in
// place of one with the same id. Basis is what the core knows of the origin. It reports whether the reservation waits.
func (cor *Core) await(now time.Time, unr unresolved, basis OriginBasis) bool {
	res := unr.reserve
	unr.unconfirmed = !cor.versions.WasConfirmed() && (basis == OriginStale || !cor.mayBegin(now, res))
	expected := res.Resumed && !basis.IsKnown() && cor.expectsOrigin(now, res.Stream, basis)
	if !unr.unconfirmed && !expected || !now.Before(unr.until()) {
		return false
	}
	cor.removeUnresolved(func(oth unresolved) bool { return oth.reserve.ID == res.ID })
	cor.unresolved = append(cor.unresolved, unr)
	return true
}

// isResolved reports whether a reservation has what it waits for, or has waited for as long as it may.
func (cor *Core) isResolved(now time.Time, unr unresolved) bool {
	switch {
	case !now.Before(unr.until()):
		return true
	case unr.unconfirmed && cor.versions.WasConfirmed():
		return true
	default:
		return unr.reserve.Resumed && cor.KnownOrigin(now, unr.reserve).IsKnown()
	}
}

// resolve decides the reservations that have what they wait for, and with what is known now those that have waited for as
// long as they may.
func (cor *Core) resolve(now time.Time) {
	if len(cor.unresolved) == 0 {
		return
	}
	var ready []unresolved
	cor.unresolved = slices.DeleteFunc(cor.unresolved, func(unr unresolved) bool {
		if !cor.isResolved(now, unr) {
			return false
		}
		ready = append(ready, unr)
		return true
	})
	for _, unr := range ready {
		cor.reserve(now, unr)
	}
}

// removeUnresolved removes the waiting reservations for which the function returns true, and reports whether there was one.
func (cor *Core) removeUnresolved(remove func(unr unresolved) bool) bool {
	before := len(cor.unresolved)
	cor.unresolved = slices.DeleteFunc(cor.unresolved, remove)
	return len(cor.unresolved) < before
}

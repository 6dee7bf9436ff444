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

// unresolved is a resumption that waits for the origin of its stream.
type unresolved struct {
	reserve reservation.Reserve
	gateway request.Epoch
	since   time.Time
}

// until is when the resumption is decided with what is known then.
func (unr unresolved) until() time.Time { return unr.since.Add(unr.reserve.MaxWait()) }

// expectOrigin records that the origin of a request's stream may be reported, unless one version alone can have begun it.
func (cor *Core) expectOrigin(now time.Time, service string, stream affinity.Stream, life time.Duration) {
	if cor.versions.MustKeepOrigins(service) {
		cor.expected.Record(now, affinity.Batch{Origin: affinity.Origin{Service: service}, KeepFor: life, Streams: []affinity.Stream{stream}})
	}
}

// expectsOrigin reports whether the origin of the stream may be reported.
func (cor *Core) expectsOrigin(now time.Time, stream affinity.Stream) bool {
	_, expected := cor.expected.Origin(now, stream)
	return expected
}

// awaitOrigin makes a resumption wait for the origin of its stream, in place of one with the same id. It reports whether it
// waits.
func (cor *Core) awaitOrigin(now time.Time, unr unresolved) bool {
	if !cor.expectsOrigin(now, unr.reserve.Stream) || !now.Before(unr.until()) {
		return false
	}
	cor.removeUnresolved(func(oth unresolved) bool { return oth.reserve.ID == unr.reserve.ID })
	cor.unresolved = append(cor.unresolved, unr)
	return true
}

// resolve decides the resumptions whose origin is known now, and those that have waited for it for as long as they may.
func (cor *Core) resolve(now time.Time) {
	if len(cor.unresolved) == 0 {
		return
	}
	var ready []unresolved
	cor.unresolved = slices.DeleteFunc(cor.unresolved, func(unr unresolved) bool {
		if !cor.KnownOrigin(now, unr.reserve).IsKnown() && now.Before(unr.until()) {
			return false
		}
		ready = append(ready, unr)
		return true
	})
	for _, unr := range ready {
		cor.reserve(now, unr)
	}
}

// removeUnresolved removes the resumptions for which the function returns true from those that wait for the origin of their
// streams, and reports whether there was one.
func (cor *Core) removeUnresolved(remove func(unr unresolved) bool) bool {
	before := len(cor.unresolved)
	cor.unresolved = slices.DeleteFunc(cor.unresolved, remove)
	return len(cor.unresolved) < before
}

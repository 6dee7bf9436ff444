package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// phase is the processing state of a request.
type phase uint8

const (
	// phaseWaiting: the request waits for a grant.
	phaseWaiting phase = iota + 1
	// phaseEvicting: other coordinators are asked to drop a reservation of a lower rank.
	phaseEvicting
	// phaseClosing: a granter is asked to record that the request never runs.
	phaseClosing
	// phaseFencing: the request is being taken over from an unreachable gateway, or
	// no granter that could close it is connected.
	phaseFencing
	// phaseRunning: this gateway dispatched the request.
	phaseRunning
	// phaseResuming: the answer is read from the engine to which another gateway
	// dispatched the request.
	phaseResuming
	// phaseDone: the complete answer has arrived.
	phaseDone
	// phaseCloseUnconfirmed: a granter was asked to close the request and hasn't
	// confirmed it.
	phaseCloseUnconfirmed
	// phaseGivenUp: the request has a final answer other than a complete one.
	phaseGivenUp
)

// String returns the phase's name, as in the dump.
func (pha phase) String() string {
	names := [...]string{"None", "Waiting", "Evicting", "Closing", "Fencing", "Running", "Resuming", "Done", "Unclosed", "GivenUp"}
	return names[pha]
}

// entry is the gateway's state of one request.
type entry struct {
	id       request.ID
	ballot   request.Ballot
	spec     Spec
	phase    phase
	arrived  time.Time
	deadline time.Time
	// callers counts the attached clients. abandonedAt is when the last of them left; it is
	// zero while a client is attached and after the request was canceled.
	callers     int
	abandonedAt time.Time
	// coordinator is the epoch to which the reservation, eviction or close was sent; 0
	// if none was sent. reserved is when the current step (reservation, eviction, close
	// or fence) started.
	coordinator request.Epoch
	reserved    time.Time
	// refused holds the coordinators that refused the reservation, were asked for an
	// eviction, or can't close the request, each with the earliest time at which that may
	// have happened.
	refused map[request.Epoch]time.Time
	// overflow is set once another coordinator has dropped a reservation of a lower
	// rank for this request, which may then exceed the queue's bound.
	overflow bool
	attempts int
	// granter is the coordinator epoch that granted or closed the request.
	granter request.Epoch
	engine  string
	// relayed is set if a client came by way of another gateway.
	relayed bool
	// holder is the gateway to which the request that is resumed was granted.
	holder request.Epoch
	final  Final
	// closeAsked is set once a granter was asked to record that the request never
	// runs. From then on this gateway must not run it, whatever the answers.
	closeAsked  bool
	fence       *fenceAttempt
	fenceRounds uint32
}

// hasRefused reports whether the coordinator has refused the reservation, was asked for
// an eviction, or can't close the request.
func (ent *entry) hasRefused(epo request.Epoch) bool {
	_, refused := ent.refused[epo]
	return refused
}

// oldestRefusal returns the time of the oldest refusal, or now if there is none.
func (ent *entry) oldestRefusal(now time.Time) time.Time {
	oldest := now
	for _, at := range ent.refused {
		if at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// isFinished reports whether no further answer to the request is expected.
func (ent *entry) isFinished() bool {
	return ent.phase == phaseDone || ent.phase == phaseGivenUp || ent.phase == phaseCloseUnconfirmed
}

// holdsSlot reports whether the request occupies a slot of an engine.
func (ent *entry) holdsSlot() bool {
	return ent.phase == phaseRunning
}

func (ent *entry) reserve(now time.Time) reservation.Reserve {
	return reservation.Reserve{
		ID: ent.id, Ballot: ent.ballot, Service: ent.spec.Service,
		Tier: ent.spec.Tier, Rank: ent.spec.Rank, Account: ent.spec.Account, Weight: ent.spec.Weight,
		PromptTokens: ent.spec.PromptTokens, MaxTokens: ent.spec.MaxTokens,
		PrefixHash: ent.spec.PrefixHash, PrefixTokens: ent.spec.PrefixTokens,
		Remaining: ent.deadline.Sub(now), Overflow: ent.overflow,
	}
}

// attestedRecord returns the request's record in an attestation about the lost
// coordinator epoch, and false if there is none.
func (ent *entry) attestedRecord(lost request.Epoch) (reservation.Record, bool) {
	rec := reservation.Record{ID: ent.id, Ballot: ent.ballot}
	switch {
	case ent.granter == lost && ent.engine != "":
		rec.State, rec.Engine = reservation.FenceStateGranted, ent.engine
	case ent.granter == lost:
		rec.State = reservation.FenceStateClosed
	case ent.closeAsked && ent.granter == 0:
		// The lost coordinator may have closed the request, and another host may have
		// relied on that.
		rec.State = reservation.FenceStateForgotten
	default:
		return rec, false
	}
	return rec, true
}

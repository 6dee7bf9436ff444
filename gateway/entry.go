package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// phase is how far a request has come.
type phase uint8

const (
	// phaseWaiting: it waits for a grant.
	phaseWaiting phase = iota + 1
	// phaseEvicting: other coordinators are asked to drop a lower reservation.
	phaseEvicting
	// phaseClosing: a granter is asked to record that it never runs.
	phaseClosing
	// phaseFencing: it is being taken over from an unreachable gateway.
	phaseFencing
	// phaseRunning: this gateway dispatched it.
	phaseRunning
	// phaseResuming: it is read from the engine that another gateway sent it to.
	phaseResuming
	// phaseDone: the whole answer has come.
	phaseDone
	// phaseUnclosed: a granter was asked to close it and nothing was heard.
	phaseUnclosed
	// phaseGivenUp: it has a final answer other than a whole one.
	phaseGivenUp
)

// String returns the phase's name.
func (pha phase) String() string {
	names := [...]string{"None", "Waiting", "Evicting", "Closing", "Fencing", "Running", "Resuming", "Done", "Unclosed", "GivenUp"}
	return names[pha]
}

// entry is what the gateway remembers of one request.
type entry struct {
	id       request.ID
	ballot   request.Ballot
	spec     Spec
	phase    phase
	arrived  time.Time
	deadline time.Time
	// callers counts the attached callers; abandoned is since when there is none.
	callers   int
	abandoned time.Time
	// coordinator is whom the reservation or the wish to close was sent to; 0 is nobody.
	coordinator request.Epoch
	reserved    time.Time
	// refused are the coordinators that keep nothing lower, since when.
	refused map[request.Epoch]time.Time
	// overflow is set once another coordinator has dropped a lower reservation.
	overflow bool
	attempts int
	// granter is the coordinator epoch that granted or closed it.
	granter request.Epoch
	engine  string
	final   Final
	// closeAsked is set once a granter was asked to record that the request
	// never runs: from then on it must not run, whatever is heard of it.
	closeAsked bool
	fence      *fenceState
	// rounds counts the fences tried.
	rounds uint32
}

// hasRefused reports whether the coordinator has said that it keeps nothing
// lower, or can't close the request.
func (ent *entry) hasRefused(epo request.Epoch) bool {
	_, refused := ent.refused[epo]
	return refused
}

// oldestRefusal returns when the first of the refusals was given.
func (ent *entry) oldestRefusal(now time.Time) time.Time {
	oldest := now
	for _, at := range ent.refused {
		if at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// over reports whether the request has its final answer.
func (ent *entry) over() bool {
	return ent.phase == phaseDone || ent.phase == phaseGivenUp || ent.phase == phaseUnclosed
}

// holds reports whether the request occupies a slot of an engine.
func (ent *entry) holds() bool {
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

// record returns what a vouch for the coordinator epoch says of the request,
// if anything.
func (ent *entry) record(lost request.Epoch) (reservation.Record, bool) {
	rec := reservation.Record{ID: ent.id, Ballot: ent.ballot}
	switch {
	case ent.granter == lost && ent.engine != "":
		rec.Standing, rec.Engine = reservation.StandingGranted, ent.engine
	case ent.granter == lost:
		rec.Standing = reservation.StandingClosed
	case ent.closeAsked && ent.granter == 0:
		// The lost one may have closed it, and somebody may know.
		rec.Standing = reservation.StandingForgotten
	default:
		return rec, false
	}
	return rec, true
}

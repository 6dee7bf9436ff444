package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// engineDone takes note of how a dispatch or a resumption ended.
func (gat *Core) engineDone(now time.Time, evt EngineDone) {
	ent := gat.table.byID[evt.ID]
	if ent == nil {
		return
	}
	switch ent.phase {
	case phaseRunning:
		gat.release(ent, evt.Result)
		gat.ranDone(now, ent, evt.Result)
	case phaseResuming:
		gat.resumeDone(ent, evt.Result)
	case phaseWaiting, phaseEvicting, phaseClosing, phaseFencing, phaseDone, phaseUnclosed, phaseGivenUp:
		// Nothing runs, so nothing can end.
	}
}

// release gives the slot back to whoever counts it.
func (gat *Core) release(ent *entry, res Result) {
	rel := reservation.Release{
		ID: ent.id, Ballot: ent.ballot, Engine: ent.engine, Dispatched: res.Dispatched,
		Failed:        !res.Dispatched || !res.Whole,
		PrefillTokens: res.PrefillTokens, DecodeTokens: res.DecodeTokens,
		FirstToken: res.FirstToken, Total: res.Total,
	}
	told := []request.Epoch{ent.granter}
	for _, epo := range coordinatorsOf(gat.shares[ent.spec.Service], ent.engine) {
		if epo != ent.granter {
			told = append(told, epo)
		}
	}
	for _, epo := range told {
		if gat.isUp(epo) {
			gat.send(epo, rel)
		}
	}
}

func (gat *Core) ranDone(now time.Time, ent *entry, res Result) {
	switch {
	case res.Whole:
		gat.table.enter(ent, phaseDone)
	case !res.Dispatched:
		gat.retryDispatch(now, ent)
	default:
		gat.finish(ent, Final{Cause: CauseEngineFailed, Outcome: outcomeOf(res)})
	}
}

// outcomeOf tells of a dispatch without a whole answer whether it ran: without
// any word of the engine it isn't known.
func outcomeOf(res Result) request.Outcome {
	if res.Answered {
		return request.Ran
	}
	return request.Unknown
}

// retryDispatch reserves anew after an engine that was never reached.
func (gat *Core) retryDispatch(now time.Time, ent *entry) {
	ent.granter = 0
	ent.engine = ""
	ent.attempts++
	if ent.attempts >= maxAttempts {
		fin := Final{Cause: CauseEngineFailed, Outcome: request.NotRun, Retry: true, RetryAfter: gat.retryAfter(ent)}
		gat.close(now, ent, fin)
		return
	}
	gat.reserve(now, ent)
}

// resumeDone ends a request that another gateway dispatched. What can't be
// read now may be read by a repeat, so a failure isn't kept.
func (gat *Core) resumeDone(ent *entry, res Result) {
	switch {
	case res.Whole:
		gat.table.enter(ent, phaseDone)
	case res.NotKnown:
		gat.undecided(ent)
	default:
		gat.finish(ent, Final{Cause: CauseEngineFailed, Outcome: request.Ran})
		gat.forget(ent)
	}
}

package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// engineDone handles the result of a dispatch or a resumption.
func (gat *Core) engineDone(now time.Time, evt EngineDone) {
	ent := gat.table.byID[evt.ID]
	if ent == nil {
		return
	}
	switch ent.phase {
	case phaseRunning:
		gat.release(ent, evt.Result)
		gat.dispatchDone(now, ent, evt.Result)
	case phaseResuming:
		gat.resumeDone(ent, evt.Result)
	case phaseWaiting, phaseEvicting, phaseClosing, phaseFencing, phaseDone, phaseCloseUnconfirmed, phaseGivenUp:
		// The request has no dispatch or resumption in progress.
	}
}

// release releases the slot at the granter and at the engine's current coordinators.
func (gat *Core) release(ent *entry, res Result) {
	rel := reservation.Release{
		ID: ent.id, Ballot: ent.ballot, Engine: ent.engine, Dispatched: res.Dispatched,
		Failed:        !res.Dispatched || !res.Complete,
		PrefillTokens: res.PrefillTokens, DecodeTokens: res.DecodeTokens,
		FirstToken: res.FirstToken, Total: res.Total,
	}
	recipients := []request.Epoch{ent.granter}
	for _, epo := range coordinatorsOf(gat.shares[ent.spec.Service], ent.engine) {
		if epo != ent.granter {
			recipients = append(recipients, epo)
		}
	}
	for _, epo := range recipients {
		if gat.isUp(epo) {
			gat.send(epo, rel)
		}
	}
}

func (gat *Core) dispatchDone(now time.Time, ent *entry, res Result) {
	switch {
	case res.Complete:
		gat.table.enter(ent, phaseDone)
	case !res.Dispatched:
		gat.retryDispatch(now, ent)
	default:
		gat.finish(ent, Final{Cause: CauseEngineFailed, Outcome: outcomeOf(res)})
	}
}

// outcomeOf returns the outcome of a dispatch without a complete answer. If the
// engine sent nothing, whether the request ran is unknown.
func outcomeOf(res Result) request.Outcome {
	if res.Answered {
		return request.Ran
	}
	return request.Unknown
}

// retryDispatch reserves the request again after the engine couldn't be reached.
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

// resumeDone ends a request that another gateway dispatched. A failure isn't stored,
// because a retry may still be able to read the answer.
func (gat *Core) resumeDone(ent *entry, res Result) {
	switch {
	case res.Complete:
		gat.table.enter(ent, phaseDone)
	case res.NotFound:
		gat.resumeNotFound(ent)
	default:
		gat.finish(ent, Final{Cause: CauseEngineFailed, Outcome: request.Ran})
		gat.forget(ent)
	}
}

// resumeNotFound ends a request that was granted to another gateway and that its engine
// doesn't know: that gateway may still be about to dispatch it. Clients that it may have sent
// here aren't sent back.
func (gat *Core) resumeNotFound(ent *entry) {
	if ent.relayed || !gat.leaveToHolder(ent, ent.holder) {
		gat.undecided(ent)
	}
}

package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// close ends a request that wasn't dispatched. The caller is told NotRun only
// once a granter has recorded that it never runs: another gateway may have
// taken the request over meanwhile.
func (gat *Core) close(now time.Time, ent *entry, fin Final) {
	gat.table.enter(ent, phaseClosing)
	ent.closeAsked = true
	ent.final = fin
	ent.reserved = now
	clear(ent.refused)
	gat.askToClose(now, ent)
}

// askToClose asks the coordinator that the reservation is with, or any other
// granter. Where none is connected, a fence finds out whether any is left.
func (gat *Core) askToClose(now time.Time, ent *entry) {
	to := gat.closer(ent)
	if to == 0 {
		gat.fenceRound(now, ent, ent.ballot.Round+1)
		return
	}
	ent.coordinator = to
	gat.send(to, reservation.Withdraw{ID: ent.id, Ballot: ent.ballot, Close: true})
}

// closer returns the granter to close the request at, or 0. One of the own
// failure domain, or this host itself, will do where no other is left: whoever
// fences the request later has to hear that granter, or the heir of its ledger,
// and without either nobody runs it.
func (gat *Core) closer(ent *entry) request.Epoch {
	if gat.isUp(ent.coordinator) && gat.mayTake(ent.coordinator, ent) && !ent.hasRefused(ent.coordinator) {
		return ent.coordinator
	}
	vie, _ := gat.views.Get(ent.id.View)
	var near request.Epoch
	for _, mem := range vie.Granters(ent.id.Epoch) {
		if !gat.isUp(mem.Epoch) || gat.lost[mem.Epoch] != nil || ent.hasRefused(mem.Epoch) {
			continue
		}
		if gat.mayTake(mem.Epoch, ent) {
			return mem.Epoch
		}
		near = mem.Epoch
	}
	return near
}

func (gat *Core) checkClosing(now time.Time, ent *entry) {
	if now.Sub(ent.reserved) >= gat.cfg.CloseTimeout {
		gat.undecided(ent)
	}
}

// undecided tells the caller that nothing certain is known, so that a repeat is
// looked at anew. It is only for requests that this gateway hasn't dispatched:
// what another one may have done with them stands in the granters' ledgers.
func (gat *Core) undecided(ent *entry) {
	fin := Final{Cause: CauseUndecided, Outcome: request.Unknown, Retry: true, RetryAfter: undecidedRetry}
	gat.act(Finish{ID: ent.id, Final: fin, Granters: ent.fence.words()})
	gat.setAside(ent)
}

// setAside ends a request that this gateway doesn't decide for now. Where a
// granter may have closed it unheard it stays in memory, since this gateway
// must neither run it nor vouch that it was never closed.
func (gat *Core) setAside(ent *entry) {
	if !ent.closeAsked {
		gat.forget(ent)
		return
	}
	gat.table.enter(ent, phaseUnclosed)
	ent.callers = 0
	gat.act(Forget{ID: ent.id})
}

// finish gives every attached caller the final answer and keeps it for repeats.
func (gat *Core) finish(ent *entry, fin Final) {
	gat.table.enter(ent, phaseGivenUp)
	ent.final = fin
	gat.act(Finish{ID: ent.id, Final: fin})
}

// received takes one message of a coordinator.
func (gat *Core) received(now time.Time, rec Received) {
	gat.noteLoad(now, rec)
	switch msg := rec.Message.(type) {
	case reservation.Grant:
		gat.granted(rec.From, msg)
	case reservation.Refuse:
		gat.refused(now, rec.From, msg)
	case reservation.Evicted:
		gat.evicted(now, rec.From, msg)
	case reservation.Reserve, reservation.Withdraw, reservation.Release, reservation.Adopt, reservation.Hold, reservation.Evict:
		// A gateway sends these; it never gets them.
	}
	gat.retryWaiting(now)
}

func (gat *Core) noteLoad(now time.Time, rec Received) {
	if rec.Load.Service == "" {
		return
	}
	los := gat.peer(rec.From).loadOf(rec.Load.Service)
	los.load = rec.Load
	los.noted = now
	los.sent = 0
}

func (gat *Core) granted(from request.Epoch, gra reservation.Grant) {
	ent := gat.table.byID[gra.ID]
	wanted := ent != nil && ent.phase == phaseWaiting && ent.coordinator == from &&
		ent.ballot.Same(gra.Ballot) && gat.mayTake(from, ent)
	if !wanted {
		gat.returnGrant(from, ent, gra)
		return
	}
	gat.table.enter(ent, phaseRunning)
	ent.granter = from
	ent.engine = gra.Engine
	gat.act(Dispatch{ID: ent.id, Engine: gra.Engine})
}

// returnGrant gives back a slot that isn't used, unless it is the very grant
// that the request runs on, told twice.
func (gat *Core) returnGrant(from request.Epoch, ent *entry, gra reservation.Grant) {
	if ent != nil && ent.granter == from && ent.engine == gra.Engine {
		return
	}
	gat.send(from, reservation.Release{ID: gra.ID, Ballot: gra.Ballot, Engine: gra.Engine})
}

func (gat *Core) refused(now time.Time, from request.Epoch, ref reservation.Refuse) {
	ent := gat.table.byID[ref.ID]
	if ent == nil || ent.coordinator != from || !ent.ballot.Same(ref.Ballot) {
		return
	}
	switch ent.phase {
	case phaseWaiting:
		gat.refusedWaiting(now, ent, ref)
	case phaseClosing:
		gat.refusedClosing(now, ent, ref)
	case phaseEvicting, phaseFencing, phaseRunning, phaseResuming, phaseDone, phaseUnclosed, phaseGivenUp:
		// The refusal is about a reservation that no longer matters.
	}
}

func (gat *Core) refusedWaiting(now time.Time, ent *entry, ref reservation.Refuse) {
	from := ent.coordinator
	los := gat.peer(from).loadOf(ent.spec.Service)
	switch ref.Reason {
	case reservation.ReasonFull:
		los.floorRank = ref.FloorRank
		// The refusal may have been long on its way; when it was asked for is sure.
		los.floorUntil = ent.reserved.Add(fullTime)
		ent.refused[from] = ent.reserved
		gat.reserve(now, ent)
	case reservation.ReasonMoved, reservation.ReasonNotGranter:
		los.movedUntil = now.Add(movedTime)
		gat.reserve(now, ent)
	case reservation.ReasonExpired:
		ent.granter = from
		gat.finish(ent, Final{Cause: CauseExpired, Outcome: request.NotRun})
	case reservation.ReasonClosed:
		ent.granter = from
		gat.finish(ent, Final{Cause: CauseExpired, Outcome: request.NotRun})
	case reservation.ReasonFenced, reservation.ReasonForgotten:
		gat.takenAway(ent, ref)
	}
}

func (gat *Core) refusedClosing(now time.Time, ent *entry, ref reservation.Refuse) {
	from := ent.coordinator
	switch ref.Reason {
	case reservation.ReasonClosed, reservation.ReasonExpired:
		ent.granter = from
		gat.finish(ent, ent.final)
	case reservation.ReasonFenced:
		gat.takenAway(ent, ref)
	case reservation.ReasonFull, reservation.ReasonMoved, reservation.ReasonNotGranter, reservation.ReasonForgotten:
		ent.refused[from] = now
		gat.askToClose(now, ent)
	}
}

// takenAway ends a request here that another gateway has taken over: its
// callers go there.
func (gat *Core) takenAway(ent *entry, ref reservation.Refuse) {
	holder, known := gat.views.Find(byEpoch(ref.Holder))
	if ref.Reason != reservation.ReasonFenced || !known || holder.Epoch == gat.cfg.Self {
		gat.undecided(ent)
		return
	}
	fin := Final{Cause: CauseMoved, Outcome: request.Unknown, Retry: true, Holder: holder}
	gat.act(Finish{ID: ent.id, Final: fin})
	gat.setAside(ent)
}

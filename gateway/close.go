package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/view"
)

// close ends a request that wasn't dispatched. The client gets the outcome NotRun
// only after a granter has recorded that the request never runs, because another
// gateway may have taken the request over in the meantime.
func (gat *Core) close(now time.Time, ent *entry, fin Final) {
	gat.table.enter(ent, phaseClosing)
	ent.closeAsked = true
	ent.final = fin
	ent.reserved = now
	clear(ent.refused)
	gat.askToClose(now, ent)
}

// askToClose asks the coordinator that holds the reservation, or another granter,
// to close the request. If none is connected, a fence determines whether any granter is
// left.
func (gat *Core) askToClose(now time.Time, ent *entry) {
	to := gat.closingGranter(ent)
	if to == 0 {
		gat.fenceRound(now, ent, ent.ballot.Round+1)
		return
	}
	ent.coordinator = to
	gat.send(to, reservation.Withdraw{ID: ent.id, Ballot: ent.ballot, Close: true})
}

// closingGranter returns the granter that is asked to close the request, or 0. A
// granter in this gateway's failure domain, or this host itself, is acceptable if no
// other is left: every later fence needs the answer of that granter, or of the host
// that took over its ledger, and without that answer no gateway runs the request.
func (gat *Core) closingGranter(ent *entry) request.Epoch {
	if gat.isUp(ent.coordinator) && gat.mayAcceptGrant(ent.coordinator, ent) && !ent.hasRefused(ent.coordinator) {
		return ent.coordinator
	}
	vie, _ := gat.views.Get(ent.id.View)
	var sameDomain request.Epoch
	for _, mem := range vie.Granters(ent.id.Epoch) {
		if !gat.isUp(mem.Epoch) || gat.lost[mem.Epoch] != nil || ent.hasRefused(mem.Epoch) {
			continue
		}
		if gat.mayAcceptGrant(mem.Epoch, ent) {
			return mem.Epoch
		}
		sameDomain = mem.Epoch
	}
	return sameDomain
}

func (gat *Core) checkClosing(now time.Time, ent *entry) {
	if now.Sub(ent.reserved) >= gat.cfg.CloseTimeout {
		gat.undecided(ent)
	}
}

// undecided reports the outcome Unknown to the clients and drops the request, so
// that a retry is evaluated again. It must not be called for requests that this gateway
// has dispatched; a dispatch by another gateway is recorded in the granters' ledgers.
func (gat *Core) undecided(ent *entry) {
	fin := Final{Cause: CauseUndecided, Outcome: request.Unknown, Retry: true, RetryAfter: undecidedRetryAfter}
	gat.emit(Finish{ID: ent.id, Final: fin, Granters: ent.fence.granterAnswers()})
	gat.relinquish(ent)
}

// relinquish drops a request whose outcome this gateway can't decide. If a granter may
// have closed the request and the answer was lost, the entry stays in memory: this
// gateway must neither run the request nor attest that it was never closed.
func (gat *Core) relinquish(ent *entry) {
	if !ent.closeAsked {
		gat.forget(ent)
		return
	}
	gat.table.enter(ent, phaseCloseUnconfirmed)
	ent.callers = 0
	gat.emit(Forget{ID: ent.id})
}

// finish sends every attached client the final answer and stores it for retries.
func (gat *Core) finish(ent *entry, fin Final) {
	gat.table.enter(ent, phaseGivenUp)
	ent.final = fin
	gat.emit(Finish{ID: ent.id, Final: fin})
}

// received handles one message from a coordinator.
func (gat *Core) received(now time.Time, rec Received) {
	gat.recordLoad(now, rec)
	switch msg := rec.Message.(type) {
	case reservation.Grant:
		gat.granted(rec.From, msg)
	case reservation.Refuse:
		gat.refused(now, rec.From, msg)
	case reservation.Evicted:
		gat.evicted(now, rec.From, msg)
	case reservation.Reserve, reservation.Withdraw, reservation.Release, reservation.Adopt, reservation.HeldGrants, reservation.Evict:
		// Only gateways send these.
	}
	gat.retryUnassigned(now)
}

func (gat *Core) recordLoad(now time.Time, rec Received) {
	if rec.Load.Service == "" {
		return
	}
	los := gat.peer(rec.From).loadOf(rec.Load.Service)
	los.load = rec.Load
	los.updatedAt = now
	los.sent = 0
}

func (gat *Core) granted(from request.Epoch, gra reservation.Grant) {
	ent := gat.table.byID[gra.ID]
	wanted := ent != nil && ent.phase == phaseWaiting && ent.coordinator == from &&
		ent.ballot.Same(gra.Ballot) && gat.mayAcceptGrant(from, ent)
	if !wanted {
		gat.returnGrant(from, ent, gra)
		return
	}
	gat.table.enter(ent, phaseRunning)
	ent.granter = from
	ent.engine = gra.Engine
	gat.emit(Dispatch{ID: ent.id, Engine: gra.Engine})
}

// returnGrant releases a granted slot that isn't used, unless the message is a duplicate
// of the grant that the request runs on.
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
	case phaseEvicting, phaseFencing, phaseRunning, phaseResuming, phaseDone, phaseCloseUnconfirmed, phaseGivenUp:
		// The reservation isn't waiting any more.
	}
}

func (gat *Core) refusedWaiting(now time.Time, ent *entry, ref reservation.Refuse) {
	from := ent.coordinator
	los := gat.peer(from).loadOf(ent.spec.Service)
	switch ref.Reason {
	case reservation.ReasonFull:
		los.floorRank = ref.FloorRank
		// The refusal may have been delayed: the coordinator may have raised the floor at
		// any time since the reservation was sent.
		los.floorUntil = ent.reserved.Add(floorFreshness)
		ent.refused[from] = ent.reserved
		gat.reserve(now, ent)
	case reservation.ReasonMoved, reservation.ReasonNotGranter:
		los.movedUntil = now.Add(movedRetryDelay)
		gat.reserve(now, ent)
	case reservation.ReasonExpired:
		ent.granter = from
		gat.finish(ent, Final{Cause: CauseExpired, Outcome: request.NotRun})
	case reservation.ReasonClosed:
		ent.granter = from
		gat.finish(ent, Final{Cause: CauseExpired, Outcome: request.NotRun})
	case reservation.ReasonFenced, reservation.ReasonForgotten:
		gat.yieldToHolder(ent, ref)
	}
}

func (gat *Core) refusedClosing(now time.Time, ent *entry, ref reservation.Refuse) {
	from := ent.coordinator
	switch ref.Reason {
	case reservation.ReasonClosed, reservation.ReasonExpired:
		ent.granter = from
		gat.finish(ent, ent.final)
	case reservation.ReasonFenced:
		gat.yieldToHolder(ent, ref)
	case reservation.ReasonFull, reservation.ReasonMoved, reservation.ReasonNotGranter, reservation.ReasonForgotten:
		ent.refused[from] = now
		gat.askToClose(now, ent)
	}
}

// yieldToHolder ends a request that another gateway has taken over and redirects its
// clients to that gateway. If that gateway isn't known, the request is undecided.
func (gat *Core) yieldToHolder(ent *entry, ref reservation.Refuse) {
	holder, known := gat.views.Find(byEpoch(ref.Holder))
	if ref.Reason != reservation.ReasonFenced || !known || holder.Epoch == gat.cfg.Self {
		gat.undecided(ent)
		return
	}
	gat.moveTo(ent, holder)
}

// moveTo ends a request that another gateway holds and redirects its clients there.
func (gat *Core) moveTo(ent *entry, holder view.Member) {
	fin := Final{Cause: CauseMoved, Outcome: request.Unknown, Retry: true, Holder: holder}
	gat.emit(Finish{ID: ent.id, Final: fin})
	gat.relinquish(ent)
}

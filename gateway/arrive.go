package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/view"
)

// undecidedRetry is when to repeat an id that couldn't be decided.
const undecidedRetry = time.Second

func (gat *Core) arrived(now time.Time, arr Arrived) {
	if ent := gat.table.byID[arr.ID]; ent != nil {
		gat.attach(now, ent, arr)
		return
	}
	if arr.ID.Epoch == gat.cfg.Self {
		gat.arrivedOwn(now, arr)
		return
	}
	gat.arrivedForeign(now, arr)
}

// attach gives a repeat what there is of the request.
func (gat *Core) attach(now time.Time, ent *entry, arr Arrived) {
	if ent.spec.Fingerprint != arr.Spec.Fingerprint {
		gat.act(Answer{Caller: arr.Caller, Final: Final{Cause: CauseOtherBody, Outcome: request.Unknown}})
		return
	}
	ent.callers++
	ent.abandoned = time.Time{}
	gat.act(Attach{Caller: arr.Caller, ID: ent.id})
	if ent.phase == phaseUnclosed {
		gat.close(now, ent, ent.final)
	}
}

func (gat *Core) arrivedOwn(now time.Time, arr Arrived) {
	current := gat.Window(now)
	vie, known := gat.views.Get(arr.ID.View)
	switch {
	case arr.ID.Window > current || arr.ID.View > gat.views.Last().Number:
		gat.act(Answer{Caller: arr.Caller, Final: Final{Cause: CauseNotHandedOut, Outcome: request.NotRun}})
		return
	case arr.ID.Window+WindowsKept <= current || !known:
		gat.act(Answer{Caller: arr.Caller, Final: Final{Cause: CauseTooOld, Outcome: request.Unknown}})
		return
	}
	if _, member := vie.Member(gat.cfg.Self); !member {
		gat.act(Answer{Caller: arr.Caller, Final: Final{Cause: CauseNotHandedOut, Outcome: request.NotRun}})
		return
	}
	ent := gat.newEntry(now, arr, request.Ballot{Holder: gat.cfg.Self})
	gat.admit(now, ent)
}

func (gat *Core) newEntry(now time.Time, arr Arrived, bal request.Ballot) *entry {
	ent := &entry{
		id: arr.ID, ballot: bal, spec: arr.Spec, phase: phaseWaiting,
		arrived: now, deadline: now.Add(arr.Spec.Remaining), reserved: now,
		callers: 1, refused: make(map[request.Epoch]time.Time),
	}
	gat.table.add(ent)
	gat.act(Attach{Caller: arr.Caller, ID: ent.id})
	return ent
}

// admit holds a new request against the limits, then has it reserved.
func (gat *Core) admit(now time.Time, ent *entry) {
	if gat.draining {
		gat.close(now, ent, Final{Cause: CauseDraining, Outcome: request.NotRun, Retry: true})
		return
	}
	if fin, over := gat.limits.take(now, gat.conf, ent.spec.Account, len(gat.views.Last().Active()), gat.table.accounts[ent.spec.Account]); over {
		gat.close(now, ent, fin)
		return
	}
	gat.reserve(now, ent)
}

// arrivedForeign handles an id that names another gateway: it goes there, or
// is taken over where that gateway can't be reached.
func (gat *Core) arrivedForeign(now time.Time, arr Arrived) {
	last := gat.views.Last().Number
	vie, known := gat.views.Get(arr.ID.View)
	if !known {
		fin := Final{Cause: CauseTooOld, Outcome: request.Unknown}
		if arr.ID.View > last {
			fin = Final{Cause: CauseUndecided, Outcome: request.Unknown, Retry: true, RetryAfter: undecidedRetry}
		}
		gat.act(Answer{Caller: arr.Caller, Final: fin})
		return
	}
	owner, member := vie.Member(arr.ID.Epoch)
	if !member {
		gat.act(Answer{Caller: arr.Caller, Final: Final{Cause: CauseNotHandedOut, Outcome: request.NotRun}})
		return
	}
	if !arr.Relayed && gat.mayBeAlive(owner) {
		gat.act(Relay{Arrived: arr, To: owner})
		return
	}
	gat.startFence(now, arr)
}

// mayBeAlive reports whether it is worth asking the owner of an id: it is so
// unless its host has started anew since, or the session with it is lost.
func (gat *Core) mayBeAlive(owner view.Member) bool {
	if gat.lost[owner.Epoch] != nil {
		return false
	}
	newest, _ := gat.views.Find(func(mem view.Member) bool { return mem.Name == owner.Name })
	return newest.Epoch == owner.Epoch
}

func (gat *Core) relayFailed(now time.Time, fai RelayFailed) {
	if ent := gat.table.byID[fai.ID]; ent != nil {
		gat.attach(now, ent, fai.Arrived)
		return
	}
	if fai.ID.Epoch == gat.cfg.Self {
		// It was fenced away from here to a gateway that can't be reached now.
		fin := Final{Cause: CauseUndecided, Outcome: request.Unknown, Retry: true, RetryAfter: undecidedRetry}
		gat.act(Answer{Caller: fai.Caller, Final: fin})
		return
	}
	gat.startFence(now, fai.Arrived)
}

func (gat *Core) callerLeft(now time.Time, id request.ID) {
	ent := gat.table.byID[id]
	if ent == nil {
		return
	}
	ent.callers--
	if ent.callers == 0 {
		ent.abandoned = now
	}
}

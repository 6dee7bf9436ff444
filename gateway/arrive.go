package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/view"
)

// undecidedRetryAfter is the Retry-After of a request whose outcome is undecided or
// for which no coordinator was available.
const undecidedRetryAfter = time.Second

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

// attach subscribes a client's retry of a known request to its answer. A retry with
// another fingerprint under the same id is rejected.
func (gat *Core) attach(now time.Time, ent *entry, arr Arrived) {
	if ent.spec.Fingerprint != arr.Spec.Fingerprint {
		gat.emit(Answer{Client: arr.Client, Final: Final{Cause: CauseIDReused, Outcome: request.Unknown}})
		return
	}
	ent.callers++
	ent.relayed = ent.relayed || arr.Relayed
	ent.abandonedAt = time.Time{}
	gat.emit(Attach{Client: arr.Client, ID: ent.id})
	if ent.phase == phaseCloseUnconfirmed {
		gat.close(now, ent, ent.final)
	}
}

func (gat *Core) arrivedOwn(now time.Time, arr Arrived) {
	current := gat.Window(now)
	vie, known := gat.views.Get(arr.ID.View)
	switch {
	case arr.ID.Window > current || arr.ID.View > gat.views.Newest().Number:
		gat.emit(Answer{Client: arr.Client, Final: Final{Cause: CausePrefixNotIssued, Outcome: request.NotRun}})
		return
	case arr.ID.Window+WindowsKept <= current || !known:
		gat.emit(Answer{Client: arr.Client, Final: Final{Cause: CauseTooOld, Outcome: request.Unknown}})
		return
	}
	if _, member := vie.Member(gat.cfg.Self); !member {
		gat.emit(Answer{Client: arr.Client, Final: Final{Cause: CausePrefixNotIssued, Outcome: request.NotRun}})
		return
	}
	ent := gat.newEntry(now, arr, request.Ballot{Holder: gat.cfg.Self})
	gat.admit(now, ent)
}

func (gat *Core) newEntry(now time.Time, arr Arrived, bal request.Ballot) *entry {
	ent := &entry{
		id: arr.ID, ballot: bal, spec: arr.Spec, phase: phaseWaiting,
		arrived: now, deadline: now.Add(arr.Spec.Remaining), reserved: now,
		callers: 1, relayed: arr.Relayed, refused: make(map[request.Epoch]time.Time),
	}
	gat.table.add(ent)
	gat.emit(Attach{Client: arr.Client, ID: ent.id})
	return ent
}

// admit checks a new request against the account's limits, then reserves a slot for the
// request.
func (gat *Core) admit(now time.Time, ent *entry) {
	if gat.draining {
		gat.close(now, ent, Final{Cause: CauseDraining, Outcome: request.NotRun, Retry: true})
		return
	}
	if fin, exceeded := gat.limits.take(now, gat.conf, ent.spec.Account, len(gat.views.Newest().Active()), gat.table.accounts[ent.spec.Account]); exceeded {
		gat.close(now, ent, fin)
		return
	}
	gat.reserve(now, ent)
}

// arrivedForeign handles an id that another gateway owns: the request is relayed
// to the owner, or taken over if the owner is unreachable.
func (gat *Core) arrivedForeign(now time.Time, arr Arrived) {
	newest := gat.views.Newest().Number
	vie, known := gat.views.Get(arr.ID.View)
	if !known {
		fin := Final{Cause: CauseTooOld, Outcome: request.Unknown}
		if arr.ID.View > newest {
			fin = Final{Cause: CauseUndecided, Outcome: request.Unknown, Retry: true, RetryAfter: undecidedRetryAfter}
		}
		gat.emit(Answer{Client: arr.Client, Final: fin})
		return
	}
	owner, member := vie.Member(arr.ID.Epoch)
	if !member {
		gat.emit(Answer{Client: arr.Client, Final: Final{Cause: CausePrefixNotIssued, Outcome: request.NotRun}})
		return
	}
	if !arr.Relayed && gat.mayBeAlive(owner) {
		gat.emit(Relay{Arrived: arr, To: owner})
		return
	}
	gat.startFence(now, arr)
}

// mayBeAlive reports whether the process that owns an id may still answer: its epoch
// isn't recorded as lost, and the newest view that lists its host lists the same epoch.
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
		// Another gateway has fenced the request and is now unreachable.
		fin := Final{Cause: CauseUndecided, Outcome: request.Unknown, Retry: true, RetryAfter: undecidedRetryAfter}
		gat.emit(Answer{Client: fai.Client, Final: fin})
		return
	}
	gat.startFence(now, fai.Arrived)
}

func (gat *Core) clientLeft(now time.Time, id request.ID) {
	ent := gat.table.byID[id]
	if ent == nil {
		return
	}
	ent.callers--
	if ent.callers == 0 {
		ent.abandonedAt = now
	}
}

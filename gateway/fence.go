package gateway

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/view"
)

// maxRounds bounds how often a gateway outbids another one for a request.
const maxRounds = 4

// fenceState collects the answers about one request.
type fenceState struct {
	// granters are the hosts that may have granted it.
	granters []view.Member
	// open are the hosts that haven't answered.
	open    map[request.Epoch]bool
	answers map[request.Epoch]reservation.FenceAnswer
}

// startFence takes over a request whose gateway can't be reached, if it can be
// known that nobody has dispatched it.
func (gat *Core) startFence(now time.Time, arr Arrived) {
	ent := gat.newEntry(now, arr, request.Ballot{})
	gat.fenceRound(now, ent, 1)
}

func (gat *Core) fenceRound(now time.Time, ent *entry, round uint32) {
	ent.rounds++
	if ent.rounds > maxRounds {
		gat.undecided(ent)
		return
	}
	vie, _ := gat.views.Get(ent.id.View)
	gat.table.enter(ent, phaseFencing)
	ent.reserved = now
	ent.ballot = request.Ballot{Round: round, Holder: gat.cfg.Self}
	fes := &fenceState{
		granters: vie.Granters(ent.id.Epoch),
		open:     make(map[request.Epoch]bool),
		answers:  make(map[request.Epoch]reservation.FenceAnswer),
	}
	ent.fence = fes
	for _, mem := range gat.toAsk(fes.granters, ent.id.Epoch) {
		fes.open[mem.Epoch] = true
		gat.act(AskFence{To: mem, Fence: reservation.Fence{ID: ent.id, Ballot: ent.ballot}})
	}
}

// toAsk returns the granters, and those newer hosts that may have taken over
// the ledger of a granter that stopped.
func (gat *Core) toAsk(granters []view.Member, owner request.Epoch) []view.Member {
	asked := slices.Clone(granters)
	for _, mem := range gat.views.Last().Members {
		same := func(other view.Member) bool { return other.Epoch == mem.Epoch }
		if mem.Epoch != owner && !slices.ContainsFunc(asked, same) {
			asked = append(asked, mem)
		}
	}
	return asked
}

func (gat *Core) fenceAnswered(now time.Time, evt FenceAnswered) {
	ent := gat.fencing(evt.Answer.ID, evt.Ballot)
	if ent == nil {
		return
	}
	ans := evt.Answer
	delete(ent.fence.open, ans.From)
	ent.fence.answers[ans.From] = ans
	switch ans.Standing {
	case reservation.StandingGranted:
		gat.resume(ent, ans)
	case reservation.StandingOutbid:
		gat.outbid(now, ent, ans)
	case reservation.StandingClosed, reservation.StandingPromised, reservation.StandingForgotten, reservation.StandingBystander:
		gat.judgeFence(now, ent)
	}
}

func (gat *Core) fenceFailed(now time.Time, evt FenceFailed) {
	ent := gat.fencing(evt.ID, evt.Ballot)
	if ent == nil {
		return
	}
	delete(ent.fence.open, evt.Peer)
	gat.judgeFence(now, ent)
}

func (gat *Core) fencing(id request.ID, bal request.Ballot) *entry {
	ent := gat.table.byID[id]
	if ent == nil || ent.phase != phaseFencing || !ent.ballot.Same(bal) {
		return nil
	}
	return ent
}

func (gat *Core) resume(ent *entry, ans reservation.FenceAnswer) {
	gat.table.enter(ent, phaseResuming)
	ent.engine = ans.Engine
	gat.act(Resume{ID: ent.id, Engine: ans.Engine})
}

// outbid yields to a gateway with a higher ballot where that can be reached,
// and bids higher where it can't.
func (gat *Core) outbid(now time.Time, ent *entry, ans reservation.FenceAnswer) {
	holder, known := gat.views.Find(byEpoch(ans.Ballot.Holder))
	if known && holder.Epoch != gat.cfg.Self && gat.isUp(holder.Epoch) {
		gat.finish(ent, Final{Cause: CauseMoved, Outcome: request.Unknown, Retry: true, Holder: holder})
		gat.forget(ent)
		return
	}
	gat.fenceRound(now, ent, ans.Ballot.Round+1)
}

// judgeFence decides once every granter has promised or is vouched for, or
// nobody is left to answer.
func (gat *Core) judgeFence(now time.Time, ent *entry) {
	fes := ent.fence
	if gat.allSettled(ent) {
		gat.takeOver(now, ent)
		return
	}
	if len(fes.open) == 0 {
		gat.undecided(ent)
	}
}

func (gat *Core) allSettled(ent *entry) bool {
	for _, mem := range ent.fence.granters {
		if !ent.fence.settled(mem.Epoch, ent.id.Epoch) {
			return false
		}
	}
	return true
}

// settled reports whether it is certain that the granter hasn't granted the
// request and won't under a lower ballot.
func (fes *fenceState) settled(granter, owner request.Epoch) bool {
	switch fes.answers[granter].Standing {
	case reservation.StandingPromised, reservation.StandingClosed:
		return true
	case reservation.StandingGranted, reservation.StandingOutbid, reservation.StandingForgotten, reservation.StandingBystander:
	}
	if fes.stopped(granter) {
		return true
	}
	for _, holder := range fes.holders(owner) {
		if !fes.vouched(reservation.VouchKey{Lost: granter, Holder: holder}) {
			return false
		}
	}
	return true
}

// holders are all gateways that may have been granted the request.
func (fes *fenceState) holders(owner request.Epoch) []request.Epoch {
	all := []request.Epoch{owner}
	for _, ans := range fes.answers {
		for _, epo := range ans.Holders {
			if !slices.Contains(all, epo) {
				all = append(all, epo)
			}
		}
	}
	return all
}

func (fes *fenceState) stopped(granter request.Epoch) bool {
	for _, ans := range fes.answers {
		if slices.Contains(ans.Successions, granter) {
			return true
		}
	}
	return false
}

// vouched counts only the word of a granter that has promised itself: what it
// then knows of former claims is complete.
func (fes *fenceState) vouched(key reservation.VouchKey) bool {
	for _, mem := range fes.granters {
		ans := fes.answers[mem.Epoch]
		if ans.Standing == reservation.StandingPromised && slices.Contains(ans.Vouches, key) {
			return true
		}
	}
	return false
}

// words returns what each granter said, for the log.
func (fes *fenceState) words() []GranterWord {
	if fes == nil {
		return nil
	}
	words := make([]GranterWord, 0, len(fes.granters))
	for _, mem := range fes.granters {
		words = append(words, GranterWord{Granter: mem, Standing: fes.answers[mem.Epoch].Standing, Stopped: fes.stopped(mem.Epoch)})
	}
	return words
}

// anyStanding reports whether any host answered with the standing.
func (fes *fenceState) anyStanding(sta reservation.Standing) bool {
	for _, ans := range fes.answers {
		if ans.Standing == sta {
			return true
		}
	}
	return false
}

// takeOver makes this gateway the holder of the request. Where a granter has
// closed it, somebody may have been told so, and it must not run any more; that
// word alone isn't enough, since a granter closes what is overdue by itself
// while its gateway may have had a grant from another.
func (gat *Core) takeOver(now time.Time, ent *entry) {
	fes := ent.fence
	ent.fence = nil
	closed := fes.anyStanding(reservation.StandingClosed)
	promised := fes.anyStanding(reservation.StandingPromised)
	switch {
	case !promised && (!closed || gat.closer(ent) == 0):
		// Every granter has stopped in order without a grant, or has closed the
		// request: nobody is left to grant it, and nobody to close it either.
		gat.finish(ent, retired(ent))
	case ent.closeAsked:
		gat.close(now, ent, ent.final)
	case closed:
		gat.close(now, ent, Final{Cause: CauseExpired, Outcome: request.NotRun})
	default:
		gat.admitTakenOver(now, ent)
	}
}

// retired is the final answer for a request that no host can grant any more:
// its caller takes a new id, unless it isn't to come back at all.
func retired(ent *entry) Final {
	if ent.closeAsked && !ent.final.Retry {
		return ent.final
	}
	return Final{Cause: CauseRetired, Outcome: request.NotRun, Retry: true}
}

func (gat *Core) admitTakenOver(now time.Time, ent *entry) {
	if gat.draining {
		gat.close(now, ent, Final{Cause: CauseDraining, Outcome: request.NotRun, Retry: true})
		return
	}
	gat.reserve(now, ent)
}

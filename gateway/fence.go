package gateway

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/view"
)

// maxFenceRounds bounds the fence rounds, each with a higher ballot, in which a
// gateway competes with others for one request.
const maxFenceRounds = 4

// fenceAttempt collects the answers to one fence round.
type fenceAttempt struct {
	// granters are the hosts that may have granted the request.
	granters []view.Member
	// pending are the hosts that haven't answered yet.
	pending map[request.Epoch]bool
	answers map[request.Epoch]reservation.FenceAnswer
}

// startFence starts to take over a request whose gateway is unreachable. The
// takeover succeeds only if it is certain that no gateway has dispatched the request.
func (gat *Core) startFence(now time.Time, arr Arrived) {
	ent := gat.newEntry(now, arr, request.Ballot{})
	gat.fenceRound(now, ent, 1)
}

func (gat *Core) fenceRound(now time.Time, ent *entry, round uint32) {
	ent.fenceRounds++
	if ent.fenceRounds > maxFenceRounds {
		gat.undecided(ent)
		return
	}
	vie, _ := gat.views.Get(ent.id.View)
	gat.table.enter(ent, phaseFencing)
	ent.reserved = now
	ent.ballot = request.Ballot{Round: round, Holder: gat.cfg.Self}
	att := &fenceAttempt{
		granters: vie.Granters(ent.id.Epoch),
		pending:  make(map[request.Epoch]bool),
		answers:  make(map[request.Epoch]reservation.FenceAnswer),
	}
	ent.fence = att
	for _, mem := range gat.fenceRecipients(att.granters, ent.id.Epoch) {
		att.pending[mem.Epoch] = true
		gat.emit(SendFence{To: mem, Fence: reservation.Fence{ID: ent.id, Ballot: ent.ballot}})
	}
}

// fenceRecipients returns the granters and all other current hosts except the owner: any
// of them may have taken over the ledger of a stopped granter.
func (gat *Core) fenceRecipients(granters []view.Member, owner request.Epoch) []view.Member {
	recipients := slices.Clone(granters)
	for _, mem := range gat.views.Newest().Members {
		same := func(other view.Member) bool { return other.Epoch == mem.Epoch }
		if mem.Epoch != owner && !slices.ContainsFunc(recipients, same) {
			recipients = append(recipients, mem)
		}
	}
	return recipients
}

func (gat *Core) fenceAnswered(now time.Time, evt FenceAnswered) {
	ent := gat.fencingEntry(evt.Answer.ID, evt.Ballot)
	if ent == nil {
		return
	}
	ans := evt.Answer
	delete(ent.fence.pending, ans.From)
	ent.fence.answers[ans.From] = ans
	switch ans.State {
	case reservation.FenceStateGranted:
		gat.resume(ent, ans)
	case reservation.FenceStateSuperseded:
		gat.superseded(now, ent, ans)
	case reservation.FenceStateClosed, reservation.FenceStatePromised, reservation.FenceStateForgotten, reservation.FenceStateNotGranter:
		gat.evaluateFence(now, ent)
	}
}

func (gat *Core) fenceFailed(now time.Time, evt FenceFailed) {
	ent := gat.fencingEntry(evt.ID, evt.Ballot)
	if ent == nil {
		return
	}
	delete(ent.fence.pending, evt.Peer)
	gat.evaluateFence(now, ent)
}

func (gat *Core) fencingEntry(id request.ID, bal request.Ballot) *entry {
	ent := gat.table.byID[id]
	if ent == nil || ent.phase != phaseFencing || !ent.ballot.Same(bal) {
		return nil
	}
	return ent
}

func (gat *Core) resume(ent *entry, ans reservation.FenceAnswer) {
	gat.table.enter(ent, phaseResuming)
	ent.engine = ans.Engine
	ent.holder = ans.Ballot.Holder
	gat.emit(Resume{ID: ent.id, Engine: ans.Engine})
}

// superseded redirects the clients to the gateway with the higher ballot if that gateway
// is connected, and otherwise starts a fence round with a ballot above it.
func (gat *Core) superseded(now time.Time, ent *entry, ans reservation.FenceAnswer) {
	if !gat.leaveToHolder(ent, ans.Ballot.Holder) {
		gat.fenceRound(now, ent, ans.Ballot.Round+1)
	}
}

// leaveToHolder redirects the clients to the gateway that holds the request, and reports
// whether that gateway is connected.
func (gat *Core) leaveToHolder(ent *entry, epo request.Epoch) bool {
	holder, known := gat.views.Find(byEpoch(epo))
	if !known || holder.Epoch == gat.cfg.Self || !gat.isUp(holder.Epoch) {
		return false
	}
	gat.moveTo(ent, holder)
	return true
}

// evaluateFence takes the request over once every granter is settled. If no answer is
// pending and some granter isn't settled, the request is undecided.
func (gat *Core) evaluateFence(now time.Time, ent *entry) {
	att := ent.fence
	if gat.allSettled(ent) {
		gat.takeOver(now, ent)
		return
	}
	if len(att.pending) == 0 {
		gat.undecided(ent)
	}
}

func (gat *Core) allSettled(ent *entry) bool {
	for _, mem := range ent.fence.granters {
		if !ent.fence.isSettled(mem.Epoch, ent.id.Epoch) {
			return false
		}
	}
	return true
}

// isSettled reports whether it is certain that the granter hasn't granted the request
// and never grants it under a lower ballot.
func (att *fenceAttempt) isSettled(granter, owner request.Epoch) bool {
	switch att.answers[granter].State {
	case reservation.FenceStatePromised, reservation.FenceStateClosed:
		return true
	case reservation.FenceStateGranted, reservation.FenceStateSuperseded, reservation.FenceStateForgotten, reservation.FenceStateNotGranter:
	}
	if att.hasStopped(granter) {
		return true
	}
	for _, holder := range att.holders(owner) {
		if !att.isAttested(reservation.AttestationKey{Lost: granter, Holder: holder}) {
			return false
		}
	}
	return true
}

// holders returns the gateways to which the request may have been granted.
func (att *fenceAttempt) holders(owner request.Epoch) []request.Epoch {
	all := []request.Epoch{owner}
	for _, ans := range att.answers {
		for _, epo := range ans.Holders {
			if !slices.Contains(all, epo) {
				all = append(all, epo)
			}
		}
	}
	return all
}

// hasStopped reports whether a host has answered that it took over the ledger of the
// stopped granter.
func (att *fenceAttempt) hasStopped(granter request.Epoch) bool {
	for _, ans := range att.answers {
		if slices.Contains(ans.Successions, granter) {
			return true
		}
	}
	return false
}

// isAttested reports whether a granter that has promised holds the attestation. Only
// such a granter reports all earlier claims to the request.
func (att *fenceAttempt) isAttested(key reservation.AttestationKey) bool {
	for _, mem := range att.granters {
		ans := att.answers[mem.Epoch]
		if ans.State == reservation.FenceStatePromised && slices.Contains(ans.Attestations, key) {
			return true
		}
	}
	return false
}

// granterAnswers returns the answer of each granter, for the log.
func (att *fenceAttempt) granterAnswers() []GranterAnswer {
	if att == nil {
		return nil
	}
	answers := make([]GranterAnswer, 0, len(att.granters))
	for _, mem := range att.granters {
		answers = append(answers, GranterAnswer{Granter: mem, State: att.answers[mem.Epoch].State, Stopped: att.hasStopped(mem.Epoch)})
	}
	return answers
}

// anyState reports whether any host answered with the state.
func (att *fenceAttempt) anyState(sta reservation.FenceState) bool {
	for _, ans := range att.answers {
		if ans.State == sta {
			return true
		}
	}
	return false
}

// takeOver makes this gateway the holder of the request. If a granter has closed the
// request, a client may have received that outcome, so the request must not run any more.
// A granter's answer that it has closed the request isn't sufficient before all granters
// are settled: a granter closes expired requests on its own, while their gateway may have
// a grant from another granter.
func (gat *Core) takeOver(now time.Time, ent *entry) {
	att := ent.fence
	ent.fence = nil
	closed := att.anyState(reservation.FenceStateClosed)
	promised := att.anyState(reservation.FenceStatePromised)
	switch {
	case !promised && (!closed || gat.closingGranter(ent) == 0):
		// Every granter has stopped cleanly without a grant or has closed the request:
		// no granter is left that could grant or close it.
		gat.finish(ent, retiredFinal(ent))
	case ent.closeAsked:
		gat.close(now, ent, ent.final)
	case closed:
		gat.close(now, ent, Final{Cause: CauseExpired, Outcome: request.NotRun})
	default:
		gat.admitTakenOver(now, ent)
	}
}

// retiredFinal returns the final answer of a request that no host can grant any more:
// the client retries with a new id, unless the pending answer forbids a retry.
func retiredFinal(ent *entry) Final {
	if ent.closeAsked && !ent.final.Retry {
		return ent.final
	}
	return Final{Cause: CausePrefixRetired, Outcome: request.NotRun, Retry: true}
}

func (gat *Core) admitTakenOver(now time.Time, ent *entry) {
	if gat.draining {
		gat.close(now, ent, Final{Cause: CauseDraining, Outcome: request.NotRun, Retry: true})
		return
	}
	gat.reserve(now, ent)
}

package scheduler

import (
	"time"

	"lynxwell.dev/lynxwell/fairqueue"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// The life of a run: its grant, its first token and its end, and runs that another core has granted.

// grant grants the request the best engine with capacity, and reports whether there is one.
func (cor *Core) grant(now time.Time, svc *service, wai *waiter, han handling) bool {
	var can candidate
	switch han {
	case handleNormal:
		can = cor.choose(now, svc, wai)
	case handleExclusive, handleRestricted:
		can = cor.chooseIsolated(now, svc, wai, han)
	case handleDeferred, handleHeld:
	}
	best, tokens := can.engine, can.tokens
	if best == nil {
		return false
	}
	res := wai.reserve
	rnn := &run{
		engine: best, gateway: wai.gateway, account: res.Account, cost: res.Cost, tokens: tokens, prefillPending: true,
		expected: can.firstEvent, queued: !best.hasSlot(),
		subject: res.Subject(), suspected: cor.isSuspected(now, res), exclusive: han == handleExclusive && best.isIsolated(now), restricted: han == handleRestricted && best.isIsolated(now), watched: cor.quarantine.Crashes(res.Digest) > 0,
	}
	rnn.parts = partDigests(res.Service, res.SharedParts())
	rnn.stream, rnn.streamLife = res.Stream, res.StreamLife
	cor.recordStart(rnn)
	ent := cor.entry(svc, wai)
	rnn.share, rnn.work, rnn.promptTokens, rnn.ownGrant = ent.Share, ent.Work, res.PromptTokens, true
	svc.recordServed(now, wai, ent, can.firstEvent)
	inp := cor.withAccount(now, svc.inputsFor(now, wai), res)
	inp.Predicted, inp.EngineVersion = wai.predicted, best.Version
	inp.Running, inp.PendingPrefill, inp.Expected = len(best.running), best.pendingPrefillTime(now), rnn.expected
	if best.limiter != nil && best.limiter.isActive(now) {
		inp.PerSecond, inp.RecentGrants, inp.Cold = best.limiter.limit(now), best.limiter.recentGrants(now), best.isCold(now)
		best.limiter.take(now, wai.gateway)
		rnn.tookToken = true
	}
	svc.recordGrant(rnn, res)
	best.start(now, rnn, res.AnswerTokens)
	if tokens > 0 {
		best.cacheParts(res.Parts)
	}
	best.health.recordGrant()
	best.recordProbe(rnn)
	best.addRun(rnn)
	cor.runs[res.ID] = rnn
	cor.send(wai.gateway, reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: best.name, Rate: best.grantRate(), Cold: best.isCold(now), Waited: inp.Waited, Work: ent.Work, Version: best.streamVersion(res), Debt: cor.debtOf(now, res.Account)}, inp)
	return true
}

func (cor *Core) progress(now time.Time, pro reservation.Progress) {
	rnn := cor.runs[pro.ID]
	if rnn == nil || !rnn.prefillPending {
		return
	}
	cor.recordLife(rnn)
	cor.recordStream(now, rnn)
	cor.recordYoung(now, rnn)
	rnn.engine.learnPrefill(rnn, pro.FirstToken)
	rnn.engine.finishPrefill(now, rnn)
	rnn.engine.health.recordSuccess()
	rnn.engine.recordRecovery(rnn)
	cor.recordUnlimited(now, rnn)
	cor.serveEngine(now, rnn.engine)
}

func (cor *Core) serveEngine(now time.Time, ene *engine) {
	if svc := cor.services[ene.Service]; svc != nil {
		cor.serveAfter(now, svc, ene)
	}
}

func (cor *Core) release(now time.Time, rel reservation.Release) {
	rnn := cor.runs[rel.ID]
	if rnn == nil {
		return
	}
	ene := rnn.engine
	delete(cor.runs, rel.ID)
	ene.removeRun(rnn)
	rnn.failed = !rel.Answered
	if rel.Answered {
		cor.recordComplete(now, rnn)
		cor.recordSound(now, rnn)
		ene.recordRecovery(rnn)
		cor.recordUnlimited(now, rnn)
	}
	if !rel.Dispatched && rnn.tookToken && ene.limiter != nil {
		ene.limiter.refund(rnn.gateway)
	}
	ene.endProbe(rnn)
	cor.recordEnd(now, rnn)
	cor.service(ene.Service).recordAnswer(now, rnn, rel)
	if !rel.Dispatched || rel.Rejected {
		cor.refund(rnn.account, rnn.cost)
	}
	cor.service(ene.Service).correctCharge(rnn, rel)
	switch {
	case rel.Throttled:
		ene.health.recordUnknown()
	case rel.Failed || rel.Rejected:
		if rel.Rejected {
			cor.service(ene.Service).pauseBrittle(now, ene)
		}
		cor.recordFailure(now, ene, rnn.gateway)
	case rnn.tokens == 0 && rel.Dispatched && rel.Total > 0:
		ene.learnServiceTime(rnn, rel.Total)
		ene.health.recordSuccess()
	default:
		ene.health.recordUnknown()
	}
	if rel.FirstToken > 0 {
		ene.learnOccupancy(rel.Total)
		ene.model.ObserveEvents(rel.DecodeTokens, rel.Total-rel.FirstToken)
	}
	ene.finishPrefill(now, rnn)
	cor.serveEngine(now, ene)
}

// adopt adds a run that another host's core granted. inherited is set if that core granted it some
// time ago. That core was charged the run's cost, so this one refunds none.
func (cor *Core) adopt(now time.Time, from request.Epoch, ado reservation.Adopt, inherited bool) {
	ene := cor.engines[fleet.ParseEngineID(ado.Engine)]
	if ene == nil || cor.runs[ado.ID] != nil {
		return
	}
	rnn := &run{engine: ene, gateway: from, account: ado.Account, tokens: ado.PromptTokens, prefillPending: ado.PendingPrefill, subject: ado.Subject(), suspected: cor.isSuspectedDigest(now, ado.Digest), inherited: inherited}
	rnn.parts = partDigests(ado.Service, ado.Parts)
	rnn.stream, rnn.streamLife = ado.Stream, ado.StreamLife
	cor.expectOrigin(now, ado.Service, ado.Stream, ado.StreamLife)
	rnn.share, rnn.work = cor.shareOf(fairqueue.Class{Rank: ado.Rank, Urgency: ado.Urgency}, ado.Account, ado.Client), ado.Work
	cor.service(ene.Service).queue.Charge(rnn.share, rnn.work)
	cor.recordStart(rnn)
	ene.start(now, rnn, 0)
	ene.addRun(rnn)
	cor.runs[ado.ID] = rnn
}

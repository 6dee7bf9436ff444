package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/admission"
	"lynxwell.dev/lynxwell/fairqueue"
	"lynxwell.dev/lynxwell/request"
)

// reclassifyInterval is the least time between two checks of all waiting requests for those that
// need special handling. When many engines crash at once, hundreds of reports arrive in each second.
const reclassifyInterval = 20 * time.Millisecond

// specials are the waiting requests that a pass over the queue visits even if no engine has room:
// those that may use an isolated engine, that have to be refused or deferred, and those that exclude
// engines.
type specials struct {
	waiters []*waiter
	// version is that of the quarantine, plus one, at which all waiting requests were checked most
	// recently, at checkedAt.
	version   uint64
	checkedAt time.Time
}

// enqueue adds a request to the queue.
func (cor *Core) enqueue(now time.Time, svc *service, wai *waiter) {
	svc.queue.Push(cor.entry(svc, wai))
	svc.specials.add(cor.handling(now, wai.reserve), wai)
	svc.turn(admission.ClassOf(wai.reserve)).predictor.Waiting(now, true)
}

func (spc *specials) add(han handling, wai *waiter) {
	if han == handleNormal && len(wai.reserve.Exclude) == 0 {
		return
	}
	spc.waiters = append(spc.waiters, wai)
}

func (spc *specials) remove(wai *waiter) {
	if pos := slices.Index(spc.waiters, wai); pos >= 0 {
		spc.waiters = slices.Delete(spc.waiters, pos, pos+1)
	}
}

// reclassify checks all waiting requests again after the quarantine has changed.
func (cor *Core) reclassify(now time.Time, svc *service) {
	spc := &svc.specials
	version := cor.quarantine.Version() + 1
	if spc.version == version || now.Sub(spc.checkedAt) < reclassifyInterval {
		return
	}
	spc.version, spc.checkedAt, spc.waiters = version, now, nil
	svc.queue.Each(func(wai *waiter) { spc.add(cor.cachedHandling(now, wai), wai) })
}

// removeGateway removes the waiting requests of a gateway.
func (svc *service) removeGateway(gateway request.Epoch) {
	isOfGateway := func(wai *waiter) bool { return wai.gateway == gateway }
	svc.queue.RemoveWhere(isOfGateway)
	svc.specials.waiters = slices.DeleteFunc(svc.specials.waiters, isOfGateway)
}

// pass is one pass over the queue of a service.
type pass struct {
	core    *Core
	service *service
	now     time.Time
	scan    queueScan
	// allowance is what the engines' rate limits allow. kept counts the visited requests that remain
	// in the queue.
	allowance allowance
	kept      int
	// exhaustive is set if the pass visits all requests even if no engine has room: some may have to
	// be refused because of signals and rate limits of the engines.
	exhaustive bool
}

// serve grants engines to the waiting requests in the order of the queue. It refuses requests that
// are held, that can't be granted an engine before their maximum wait ends, or whose maximum wait
// has ended. It ends as soon as no engine has room, so that its cost doesn't grow with the queue.
func (cor *Core) serve(now time.Time, svc *service) {
	if svc.queue.Len() == 0 {
		return
	}
	svc.expireSignals(now)
	cor.expireCold(now, svc)
	cor.reclassify(now, svc)
	svc.passes++
	pss := &pass{core: cor, service: svc, now: now, allowance: svc.allowance(now)}
	pss.exhaustive = pss.allowance.limited || svc.signaledEngines > 0 && !svc.hasUnsignaled()
	if svc.room.isEmpty() {
		pss.scan.full = true
	}
	if !pss.scan.full || pss.exhaustive {
		svc.queue.Walk(pss.visit)
	}
	pss.visitSpecials()
	pss.expire()
	svc.updateTurns(now)
}

// serveAfter serves the queue after a request has arrived, or a run has started or ended at an engine.
// All else is as it was.
func (cor *Core) serveAfter(now time.Time, svc *service, ene *engine) {
	svc.changed, svc.unchanged = ene, true
	cor.serve(now, svc)
	svc.changed, svc.unchanged = nil, false
}

// visit grants or refuses a waiting request, or leaves it in the queue.
func (pss *pass) visit(wai *waiter) fairqueue.Verdict {
	wai.pass = pss.service.passes
	pss.core.looked++
	han := pss.core.cachedHandling(pss.now, wai)
	verdict := pss.decide(wai, han)
	if verdict != fairqueue.Keep {
		pss.service.specials.remove(wai)
		return verdict
	}
	pss.kept++
	if pss.scan.full && !pss.exhaustive {
		return fairqueue.Stop
	}
	return fairqueue.Keep
}

func (pss *pass) decide(wai *waiter, han handling) fairqueue.Verdict {
	cor, svc, now := pss.core, pss.service, pss.now
	switch {
	case han == handleHeld:
		cor.refund(wai.reserve.Account, wai.reserve.Cost)
		cor.refuseQuarantined(now, wai.gateway, wai.reserve, svc)
		return fairqueue.Drop
	case (han == handleExclusive || han == handleRestricted || !pss.scan.isFull(wai)) && cor.grant(now, svc, wai, han):
		return fairqueue.Serve
	case cor.refuseBlocked(now, svc, wai):
		return fairqueue.Drop
	case han == handleNormal && cor.refuseRateLimited(now, svc, wai, pss.allowance, pss.kept):
		return fairqueue.Drop
	}
	// A client that has returned has little time left: an engine that is too late for it may suit others.
	if len(wai.reserve.Exclude) == 0 && han == handleNormal && !wai.returned {
		pss.scan.recordFull(now, svc, wai, len(cor.closed[wai.gateway]) > 0)
	}
	return fairqueue.Keep
}

// visitSpecials visits the requests with special handling that the walk didn't reach.
func (pss *pass) visitSpecials() {
	svc := pss.service
	svc.specials.waiters = slices.DeleteFunc(svc.specials.waiters, func(wai *waiter) bool {
		if wai.pass == svc.passes {
			return false
		}
		wai.pass = svc.passes
		verdict := pss.decide(wai, pss.core.cachedHandling(pss.now, wai))
		switch verdict {
		case fairqueue.Serve:
			svc.queue.Serve(wai.reserve.ID)
		case fairqueue.Drop:
			svc.queue.Remove(wai.reserve.ID)
		case fairqueue.Keep, fairqueue.Stop:
		}
		return verdict != fairqueue.Keep
	})
}

// expire refuses the requests whose maximum wait has ended.
func (pss *pass) expire() {
	cor, svc := pss.core, pss.service
	for _, wai := range svc.queue.TakeExpired(pss.now) {
		svc.specials.remove(wai)
		han := cor.cachedHandling(pss.now, wai)
		if han == handleNormal && cor.refuseRateLimited(pss.now, svc, wai, pss.allowance, svc.queue.Len()) {
			continue
		}
		if wai.pinned && !svc.serves(wai.version) {
			cor.refund(wai.reserve.Account, wai.reserve.Cost)
			cor.refuseVersion(pss.now, wai.gateway, wai.reserve, svc.inputsFor(pss.now, wai))
			continue
		}
		if !wai.late && han == handleNormal {
			svc.refusedAt = pss.now
		}
		if waited := pss.now.Sub(wai.since); waited > wai.predicted {
			svc.turn(admission.ClassOf(wai.reserve)).predictor.Started(wai.predicted, waited)
		}
		cor.refund(wai.reserve.Account, wai.reserve.Cost)
		cor.refuseOverload(pss.now, svc, wai)
	}
}

// queueScan records, during one pass over the queue, which requests found no engine. Thousands of
// requests may wait, so the search isn't repeated for requests that would find none either.
type queueScan struct {
	// full is set if a request without special handling found no engine. fullByGateway is the
	// same for single gateways that have a backoff from an engine in force, or that send nothing
	// to some failure domains: their requests may find no engine while those of others do.
	full          bool
	fullByGateway map[request.Epoch]bool
	// fullByScope is the same for requests that are limited to some regions or a version, by scope.
	fullByScope map[string]bool
}

// isFull reports whether requests like this one, without special handling, find no engine.
func (scn *queueScan) isFull(wai *waiter) bool {
	return scn.full || scn.fullByGateway[wai.gateway] || wai.scope != "" && scn.fullByScope[wai.scope]
}

// recordFull records that a request without special handling found no engine. constrained is set
// if some engines are closed to its gateway that may be open to others.
func (scn *queueScan) recordFull(now time.Time, svc *service, wai *waiter, constrained bool) {
	if scn.isFull(wai) || wai.needsRecord() && svc.unrecorded > 0 {
		return
	}
	anyGateway := !constrained && (svc.signaledEngines == 0 || !svc.hasBackoff(now, wai.gateway))
	switch {
	case anyGateway && wai.scope == "":
		scn.full = true
	case anyGateway:
		if scn.fullByScope == nil {
			scn.fullByScope = make(map[string]bool)
		}
		scn.fullByScope[wai.scope] = true
	case wai.scope == "":
		if scn.fullByGateway == nil {
			scn.fullByGateway = make(map[request.Epoch]bool)
		}
		scn.fullByGateway[wai.gateway] = true
	}
}

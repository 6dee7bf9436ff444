package coordinator

import (
	"cmp"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
)

// defaultMaxWaiting bounds a queue, in reservations, if the service's resource doesn't.
const defaultMaxWaiting = 256

// promotionDivisor determines when a reservation goes ahead of all others of its tier:
// after its remaining time divided by promotionDivisor.
const promotionDivisor = 2

// decodeShare is the expected share of a request's MaxTokens that the answer uses.
const decodeShare = 0.6

// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Order is the order in which reservations are served.
type Order uint8

// The supported orders.
const (
	// OrderFair serves higher tiers first, shares the engines fairly between the
	// accounts of a tier, and serves the least work first within an account.
	OrderFair Order = iota
	// OrderArrival serves by arrival across all tiers, as a baseline for comparison.
	OrderArrival
)

// serviceState holds the queue and the engines of one service on this host.
type serviceState struct {
	name       string
	queue      *queue
	engines    []*engineState
	maxWaiting int
	// floorRank is the lowest rank that is queued until floorUntil.
	floorRank  int
	floorUntil time.Time
	// now is the time of the event that is being handled.
	now time.Time
}

func newServiceState(name string) *serviceState {
	return &serviceState{name: name, queue: newQueue()}
}

func maxWaitingOf(conf resource.Configuration, name string) int {
	ser, _ := conf.Service(name)
	if ser.MaxWaiting == 0 {
		return defaultMaxWaiting
	}
	return ser.MaxWaiting
}

func compareEngines(one, two *engineState) int {
	return cmp.Compare(one.engine.Name, two.engine.Name)
}

func sortedWaiting(que *queue) []*waiting {
	waits := que.all()
	sortByArrival(waits)
	return waits
}

func sortByArrival(waits []*waiting) {
	slices.SortFunc(waits, func(one, two *waiting) int {
		return cmp.Or(one.arrived.Compare(two.arrived), compareIDs(one.reserve.ID, two.reserve.ID))
	})
}

func (svc *serviceState) slots() int {
	total := 0
	for _, ens := range svc.engines {
		total += ens.slots
	}
	return total
}

func (svc *serviceState) load() reservation.Load {
	free := 0
	for _, ens := range svc.engines {
		free += ens.freeSlots(svc.now)
	}
	loa := reservation.Load{Service: svc.name, FreeSlots: free, Waiting: svc.queue.len()}
	if free == 0 {
		loa.Delay = svc.delay()
	} else {
		loa.Delay = svc.minPendingPrefillTime()
	}
	return loa
}

// minPendingPrefillTime returns the shortest pending prefill time of any engine with a
// free slot, or 0 if no slot is free.
func (svc *serviceState) minPendingPrefillTime() time.Duration {
	least := time.Duration(-1)
	for _, ens := range svc.engines {
		if ens.freeSlots(svc.now) == 0 {
			continue
		}
		if ahead := ens.pendingPrefillTime(svc.now); least < 0 || ahead < least {
			least = ahead
		}
	}
	return max(0, least)
}

// delay returns the predicted wait of a reservation at the end of the queue. Running
// requests are assumed to be half finished.
func (svc *serviceState) delay() time.Duration {
	slots := svc.slots()
	if slots == 0 {
		return maxRetryAfter
	}
	var busy time.Duration
	for _, ens := range svc.engines {
		busy += time.Duration(len(ens.held)) * svc.typicalRunTime(ens) / 2
	}
	return (svc.queue.work + busy) / time.Duration(slots)
}

// typicalRunTime returns the predicted run time of a typical request on the engine, for a
// rough estimate of the delay.
func (svc *serviceState) typicalRunTime(ens *engineState) time.Duration {
	const prompt, answer = 1000, 40 // tokens
	return ens.predict(prompt, 0, answer)
}

// meanRunTime returns the reservation's predicted run time, averaged over the engines.
func (svc *serviceState) meanRunTime(res reservation.Reserve) time.Duration {
	if len(svc.engines) == 0 {
		return 0
	}
	var total time.Duration
	for _, ens := range svc.engines {
		total += predictedRunTime(ens, res)
	}
	return total / time.Duration(len(svc.engines))
}

// minRunTime returns the reservation's shortest predicted run time on any of the engines.
func (svc *serviceState) minRunTime(res reservation.Reserve) time.Duration {
	best := time.Duration(0)
	for _, ens := range svc.engines {
		if run := predictedRunTime(ens, res); best == 0 || run < best {
			best = run
		}
	}
	return best
}

func predictedRunTime(ens *engineState, res reservation.Reserve) time.Duration {
	cached := 0
	if ens.prefixes.has(res.PrefixHash) {
		cached = res.PrefixTokens
	}
	return ens.predict(res.PromptTokens, cached, int(float64(res.MaxTokens)*decodeShare))
}

// fastestEngine returns the engine with a free slot that is predicted to finish the
// reservation first, or nil if no slot is free.
func (svc *serviceState) fastestEngine(now time.Time, res reservation.Reserve) *engineState {
	var best *engineState
	var bestRun time.Duration
	for _, ens := range svc.engines {
		if ens.freeSlots(now) == 0 {
			continue
		}
		run := predictedRunTime(ens, res) + ens.pendingPrefillTime(now)
		if best == nil || run < bestRun {
			best, bestRun = ens, run
		}
	}
	return best
}

// received handles one message from a gateway.
func (cor *Core) received(now time.Time, from request.Epoch, msg reservation.Message) {
	switch msg := msg.(type) {
	case reservation.Reserve:
		cor.reserve(now, from, msg)
	case reservation.Withdraw:
		cor.withdraw(now, from, msg)
	case reservation.Release:
		cor.release(now, msg)
	case reservation.Adopt:
		cor.adopt(now, from, msg)
	case reservation.HeldGrants:
		cor.reconcileHeld(now, from, msg)
	case reservation.Evict:
		cor.evict(now, from, msg)
	case reservation.Grant, reservation.Refuse, reservation.Evicted:
		// Only coordinators send these.
	}
}

func (cor *Core) reserve(now time.Time, from request.Epoch, res reservation.Reserve) {
	wai := &waiting{reserve: res, gateway: from, arrived: now, deadline: now.Add(res.Remaining)}
	svc := cor.services[res.Service]
	if reason, holder := cor.checkAdmission(res); reason != 0 {
		cor.refuse(wai, reason, holder, svc)
		return
	}
	if engine, granted := cor.ledger.Granted(res.ID); granted {
		cor.send(from, reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: engine}, svc)
		return
	}
	if svc == nil || cor.draining {
		cor.refuse(wai, reservation.ReasonMoved, 0, svc)
		return
	}
	svc.now = now
	if svc.queue.byID[res.ID] != nil {
		return
	}
	if !cor.makeRoom(now, svc, res) {
		cor.refuseFull(now, wai, svc)
		return
	}
	wai.promoteAt = now.Add(res.Remaining / promotionDivisor)
	wai.work = svc.meanRunTime(res)
	if cor.cfg.Order == OrderArrival {
		orderByArrival(wai)
	}
	svc.queue.add(wai)
	cor.schedule(now, svc)
}

// orderByArrival puts all reservations into one tier and account with equal work, so
// that the queue serves them by arrival.
func orderByArrival(wai *waiting) {
	wai.reserve.Rank = 0
	wai.reserve.Account = ""
	wai.work = 0
}

func (cor *Core) checkAdmission(res reservation.Reserve) (reservation.Reason, request.Epoch) {
	vie, known := cor.views.Get(res.ID.View)
	if cor.stopped || !known || !vie.MayGrant(cor.cfg.Self, res.ID.Epoch) {
		return reservation.ReasonNotGranter, 0
	}
	return cor.ledger.Check(res.ID, res.Ballot)
}

// makeRoom reports whether the reservation may be queued. If the queue is full,
// makeRoom drops a reservation of a lower rank, if there is one.
func (cor *Core) makeRoom(now time.Time, svc *serviceState, res reservation.Reserve) bool {
	if now.Before(svc.floorUntil) && res.Rank < svc.floorRank {
		return false
	}
	if res.Overflow || svc.queue.len() < svc.maxWaiting {
		return true
	}
	return cor.dropLower(now, svc, res.Rank)
}

// dropLower drops one reservation below the rank and reports whether there was one.
// The dropped request isn't closed: its gateway reserves it at the service's other
// coordinators first.
func (cor *Core) dropLower(now time.Time, svc *serviceState, rank int) bool {
	wai := svc.queue.lowestBelow(rank)
	if wai == nil {
		return false
	}
	svc.queue.remove(wai.reserve.ID)
	cor.refuseFull(now, wai, svc)
	return true
}

// refuseFull refuses a reservation because the queue is full, and raises the floor to the
// reservation's rank, so that none of a lower rank is queued for the floor time.
func (cor *Core) refuseFull(now time.Time, wai *waiting, svc *serviceState) {
	svc.raiseFloor(now, wai.reserve.Rank, cor.cfg.FloorTime)
	cor.refuse(wai, reservation.ReasonFull, 0, svc)
}

func (svc *serviceState) raiseFloor(now time.Time, rank int, floorTime time.Duration) {
	if now.Before(svc.floorUntil) && svc.floorRank > rank {
		return
	}
	svc.floorRank = rank
	svc.floorUntil = now.Add(floorTime)
}

func (cor *Core) refuse(wai *waiting, reason reservation.Reason, holder request.Epoch, svc *serviceState) {
	ref := reservation.Refuse{ID: wai.reserve.ID, Ballot: wai.reserve.Ballot, Reason: reason, Holder: holder}
	if svc != nil {
		ref.RetryAfter = min(maxRetryAfter, max(minRetryAfter, svc.delay()))
		ref.FloorRank = svc.floorRank
	}
	cor.send(wai.gateway, ref, svc)
}

// schedule grants slots until no slot is free or no reservation is waiting.
func (cor *Core) schedule(now time.Time, svc *serviceState) {
	svc.now = now
	for {
		wai := svc.queue.next(now)
		if wai == nil {
			return
		}
		if reason, holder := cor.ledger.Check(wai.reserve.ID, wai.reserve.Ballot); reason != 0 {
			svc.queue.remove(wai.reserve.ID)
			cor.refuse(wai, reason, holder, svc)
			continue
		}
		if missesDeadline(now, wai, svc) {
			cor.refuseExpired(now, wai, svc)
			continue
		}
		ens := svc.fastestEngine(now, wai.reserve)
		if ens == nil {
			return
		}
		cor.grant(now, svc, wai, ens)
	}
}

func missesDeadline(now time.Time, wai *waiting, svc *serviceState) bool {
	return now.Add(svc.minRunTime(wai.reserve)).After(wai.deadline)
}

func (cor *Core) grant(now time.Time, svc *serviceState, wai *waiting, ens *engineState) {
	svc.queue.serve(wai)
	res := wai.reserve
	cor.ledger.Grant(now, res.ID, res.Ballot, ens.engine.Name)
	ens.held[res.ID] = &heldSlot{gateway: wai.gateway, prefilled: now.Add(ens.prefillTime(res))}
	ens.prefixes.add(res.PrefixHash)
	cor.send(wai.gateway, reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: ens.engine.Name}, svc)
}

// refuseExpired closes and refuses a request whose deadline can't be met any more.
func (cor *Core) refuseExpired(now time.Time, wai *waiting, svc *serviceState) {
	svc.queue.remove(wai.reserve.ID)
	reason, holder := cor.ledger.Close(now, wai.reserve.ID, wai.reserve.Ballot)
	if reason == 0 {
		reason = reservation.ReasonExpired
	}
	cor.refuse(wai, reason, holder, svc)
}

// expiredReservations returns the reservations whose deadline can't be met any more, sorted
// by arrival.
func (svc *serviceState) expiredReservations(now time.Time) []*waiting {
	var expired []*waiting
	for _, wai := range svc.queue.byID {
		if missesDeadline(now, wai, svc) {
			expired = append(expired, wai)
		}
	}
	sortByArrival(expired)
	return expired
}

// expire refuses every reservation whose deadline can't be met any more.
func (cor *Core) expire(now time.Time, svc *serviceState) {
	svc.now = now
	for _, wai := range svc.expiredReservations(now) {
		cor.refuseExpired(now, wai, svc)
	}
}

func (cor *Core) withdraw(now time.Time, from request.Epoch, wit reservation.Withdraw) {
	var svc *serviceState
	for _, candidate := range cor.services {
		if candidate.queue.remove(wit.ID) != nil {
			svc = candidate
		}
	}
	if !wit.Close {
		return
	}
	wai := &waiting{reserve: reservation.Reserve{ID: wit.ID, Ballot: wit.Ballot}, gateway: from}
	reason, holder := cor.checkAdmission(wai.reserve)
	if reason == 0 {
		reason, holder = cor.ledger.Close(now, wit.ID, wit.Ballot)
		cor.freeSlot(now, wit.ID)
	}
	if reason == 0 {
		reason = reservation.ReasonClosed
	}
	cor.refuse(wai, reason, holder, svc)
}

// freeSlot releases the slot of a grant that was lost in transit.
func (cor *Core) freeSlot(now time.Time, id request.ID) {
	for _, ens := range cor.engines {
		if _, held := ens.held[id]; held {
			delete(ens.held, id)
			cor.scheduleService(now, ens)
		}
	}
}

func (cor *Core) release(now time.Time, rel reservation.Release) {
	if !rel.Dispatched {
		cor.ledger.RevokeGrant(rel.ID, rel.Ballot)
	}
	ens := cor.engines[rel.Engine]
	if ens == nil {
		return
	}
	delete(ens.held, rel.ID)
	if rel.Failed {
		ens.ejectedUntil = now.Add(ejectionTime)
	} else if rel.Dispatched {
		ens.updateSpeeds(rel.PrefillTokens, rel.DecodeTokens, rel.FirstToken, rel.Total)
	}
	cor.scheduleService(now, ens)
}

func (cor *Core) scheduleService(now time.Time, ens *engineState) {
	if svc := cor.services[ens.engine.Service]; svc != nil {
		cor.schedule(now, svc)
	}
}

func (cor *Core) adopt(_ time.Time, from request.Epoch, ado reservation.Adopt) {
	if ens := cor.engines[ado.Engine]; ens != nil {
		ens.held[ado.ID] = &heldSlot{gateway: from}
	}
}

// reconcileHeld releases the slots that this host granted to the gateway but the gateway
// doesn't list: their grants were lost with an earlier session.
func (cor *Core) reconcileHeld(now time.Time, from request.Epoch, hol reservation.HeldGrants) {
	for _, ens := range cor.engines {
		for id, held := range ens.held {
			if held.gateway != from {
				continue
			}
			if slices.Contains(hol.IDs, id) {
				held.orphaned = time.Time{}
				continue
			}
			delete(ens.held, id)
		}
		cor.scheduleService(now, ens)
	}
}

// evict drops a reservation of a lower rank for a request that other coordinators refused. If
// there is none, the floor is raised to the request's rank: the gateway may be about to shed
// the request.
func (cor *Core) evict(now time.Time, from request.Epoch, evi reservation.Evict) {
	svc := cor.services[evi.Service]
	ans := reservation.Evicted{ID: evi.ID}
	if svc != nil {
		svc.now = now
		ans.Done = cor.dropLower(now, svc, evi.Rank)
		if !ans.Done {
			svc.raiseFloor(now, evi.Rank, cor.cfg.FloorTime)
		}
		ans.FloorRank = svc.floorRank
	}
	cor.send(from, ans, svc)
}

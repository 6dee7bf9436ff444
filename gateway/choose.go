package gateway

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/view"
)

// floorFreshness is how long the gateway relies on a reported floor, below which
// the coordinator queues no new reservation. It is well below the coordinator's
// own floor time (1 s), so that message delay doesn't matter.
const floorFreshness = 400 * time.Millisecond

// refusalFreshness is the age up to which a coordinator's refusal is a reason to shed a
// request. It must be shorter than the coordinator's floor time, so that the floor that
// the refusal raised is still in force.
const refusalFreshness = 700 * time.Millisecond

// movedRetryDelay is how long the gateway skips a coordinator that has no engine
// of the service or may not grant the request.
const movedRetryDelay = 200 * time.Millisecond

// maxAttempts is the number of unreachable engines after which a request fails.
const maxAttempts = 3

// loadState is the load of one service that a coordinator last reported.
type loadState struct {
	load reservation.Load
	// updatedAt is when the report arrived; sent counts the reservations sent since then.
	updatedAt time.Time
	sent      int
	// floorRank is the lowest rank that the coordinator queues until floorUntil.
	floorRank  int
	floorUntil time.Time
	movedUntil time.Time
}

func (gat *Core) peer(epo request.Epoch) *peerState {
	pee := gat.peers[epo]
	if pee == nil {
		pee = &peerState{loads: make(map[string]*loadState)}
		gat.peers[epo] = pee
	}
	return pee
}

func (pee *peerState) loadOf(service string) *loadState {
	los := pee.loads[service]
	if los == nil {
		los = &loadState{load: reservation.Load{Service: service, FreeSlots: 1}}
		pee.loads[service] = los
	}
	return los
}

// coordinators returns the connected coordinators of the service without
// duplicates, including those that may not grant to this gateway.
func (gat *Core) coordinators(service string) []request.Epoch {
	var epochs []request.Epoch
	for _, sha := range gat.shares[service] {
		if gat.isUp(sha.Coordinator) && !slices.Contains(epochs, sha.Coordinator) {
			epochs = append(epochs, sha.Coordinator)
		}
	}
	return epochs
}

// mayAcceptGrant reports whether the gateway may accept a grant of the request
// from the coordinator epoch: the epoch isn't lost, is a granter in the view of the id
// and, if the request was taken over, is outside this gateway's own failure domain.
func (gat *Core) mayAcceptGrant(epo request.Epoch, ent *entry) bool {
	if gat.lost[epo] != nil {
		return false
	}
	vie, known := gat.views.Get(ent.id.View)
	if !known || !vie.MayGrant(epo, ent.id.Epoch) {
		return false
	}
	return ent.id.Epoch == gat.cfg.Self || gat.outsideOwnDomain(epo, vie)
}

func (gat *Core) outsideOwnDomain(epo request.Epoch, vie view.View) bool {
	if len(vie.Domains()) < 3 {
		// With two domains, no granter is outside the domains of both the owner and this
		// gateway.
		return true
	}
	granter, _ := vie.Member(epo)
	own, known := gat.views.Newest().Member(gat.cfg.Self)
	return !known || own.Domain != granter.Domain
}

// reserve sends the reservation to the best candidate among the coordinators. If there is
// none and some have refused, the coordinators that haven't refused are asked to evict a
// reservation of a lower rank. If none has refused, the request waits for a candidate, or
// is closed if the view of its id is too old for any.
func (gat *Core) reserve(now time.Time, ent *entry) {
	gat.table.enter(ent, phaseWaiting)
	ent.coordinator = 0
	best := gat.bestCoordinator(now, ent)
	switch {
	case best != 0:
		gat.sendReserve(now, ent, best)
	case len(ent.refused) > 0:
		gat.requestEviction(now, ent)
	case gat.isOutdated(ent):
		gat.close(now, ent, Final{Cause: CausePrefixRetired, Outcome: request.NotRun, Retry: true})
	default:
		gat.table.unassigned[ent.id] = ent
	}
}

// isOutdated reports whether no current coordinator of the service may grant the
// request, because the view of the id is too old.
func (gat *Core) isOutdated(ent *entry) bool {
	if ent.id.View == gat.views.Newest().Number {
		return false
	}
	shares := gat.shares[ent.spec.Service]
	for _, sha := range shares {
		if gat.mayAcceptGrant(sha.Coordinator, ent) {
			return false
		}
	}
	return len(shares) > 0
}

func (gat *Core) sendReserve(now time.Time, ent *entry, to request.Epoch) {
	delete(gat.table.unassigned, ent.id)
	ent.coordinator = to
	ent.reserved = now
	gat.peer(to).loadOf(ent.spec.Service).sent++
	gat.send(to, ent.reserve(now))
}

// bestCoordinator returns the coordinator with the shortest predicted time to the
// first token, or 0 if there is none. The prediction includes the prefill time of the
// prompt's prefix, except for the coordinator whose engines probably have it cached.
func (gat *Core) bestCoordinator(now time.Time, ent *entry) request.Epoch {
	var best request.Epoch
	var bestCost time.Duration
	preferred := gat.preferredCoordinator(ent)
	for _, epo := range gat.coordinators(ent.spec.Service) {
		if !gat.isCandidate(now, epo, ent) {
			continue
		}
		cost := gat.predictedWait(now, epo, ent)
		if epo != preferred {
			cost += missingPrefixCost(ent.spec)
		}
		if best == 0 || cost < bestCost {
			best, bestCost = epo, cost
		}
	}
	return best
}

// isCandidate reports whether the reservation may be sent to the coordinator now. A fresh
// floor above the request's rank is recorded as a refusal.
func (gat *Core) isCandidate(now time.Time, epo request.Epoch, ent *entry) bool {
	if ent.hasRefused(epo) || !gat.mayAcceptGrant(epo, ent) {
		return false
	}
	los := gat.peer(epo).loadOf(ent.spec.Service)
	if now.Before(los.movedUntil) {
		return false
	}
	if now.Before(los.floorUntil) && ent.spec.Rank < los.floorRank {
		// The reported floor is still fresh, so the coordinator would refuse again.
		ent.refused[epo] = los.floorUntil.Add(-floorFreshness)
		return false
	}
	return true
}

// predictedWait returns the predicted wait at the coordinator, corrected for the
// reservations sent since its last load report.
func (gat *Core) predictedWait(now time.Time, epo request.Epoch, ent *entry) time.Duration {
	los := gat.peer(epo).loadOf(ent.spec.Service)
	free := los.load.FreeSlots - los.sent
	if free > 0 {
		// Part of the reported delay, which is pending prefill time, has passed since the
		// report.
		return max(0, los.load.Delay-now.Sub(los.updatedAt))
	}
	slots := max(1, gat.slotsOf(epo, ent.spec.Service))
	return los.load.Delay + time.Duration(1-free)*assumedRunTime/time.Duration(slots)
}

// assumedRunTime is the run time assumed for a reservation that the load report
// doesn't include yet.
const assumedRunTime = 500 * time.Millisecond

func (gat *Core) slotsOf(epo request.Epoch, service string) int {
	slots := 0
	for _, sha := range gat.shares[service] {
		if sha.Coordinator == epo {
			slots += sha.Slots
		}
	}
	return slots
}

// preferredCoordinator returns the coordinator for requests with this prompt
// prefix, chosen by rendezvous hashing so that these requests share a cache.
func (gat *Core) preferredCoordinator(ent *entry) request.Epoch {
	key := ent.id.String()
	if ent.spec.PrefixHash != 0 {
		key = strconv.FormatUint(ent.spec.PrefixHash, 16)
	}
	var epochs []request.Epoch
	for _, epo := range gat.coordinators(ent.spec.Service) {
		if gat.mayAcceptGrant(epo, ent) {
			epochs = append(epochs, epo)
		}
	}
	if len(epochs) == 0 {
		return 0
	}
	return slices.MaxFunc(epochs, func(one, two request.Epoch) int {
		return cmp.Compare(view.Score(key, one.String()), view.Score(key, two.String()))
	})
}

// missingPrefixCost returns the prefill time of the prefix on an engine that
// doesn't have it cached. Without a prefix, the least cost prefers the preferred
// coordinator among equal ones.
func missingPrefixCost(spec Spec) time.Duration {
	if spec.PrefixHash == 0 {
		return time.Nanosecond
	}
	const typicalPrefillSpeed = 4000 // tokens per second
	return time.Duration(spec.PrefixTokens) * time.Second / typicalPrefillSpeed
}

// moveToFreeCoordinator moves a reservation that has waited for Config.MoveAfter to
// a coordinator with a free slot.
func (gat *Core) moveToFreeCoordinator(now time.Time, ent *entry) {
	if now.Sub(ent.reserved) < gat.cfg.MoveAfter {
		return
	}
	for _, epo := range gat.coordinators(ent.spec.Service) {
		los := gat.peer(epo).loadOf(ent.spec.Service)
		if epo == ent.coordinator || !gat.isCandidate(now, epo, ent) || los.load.FreeSlots-los.sent <= 0 {
			continue
		}
		gat.send(ent.coordinator, reservation.Withdraw{ID: ent.id, Ballot: ent.ballot})
		gat.sendReserve(now, ent, epo)
		return
	}
}

// requestEviction asks the next coordinator that hasn't refused the request to drop a
// reservation of a lower rank. These coordinators are usually those that may not grant
// to this gateway. If none is left, the request is shed.
func (gat *Core) requestEviction(now time.Time, ent *entry) {
	gat.table.enter(ent, phaseEvicting)
	ent.reserved = now
	for _, epo := range gat.coordinators(ent.spec.Service) {
		if ent.hasRefused(epo) {
			continue
		}
		ent.refused[epo] = now
		ent.coordinator = epo
		gat.send(epo, reservation.Evict{ID: ent.id, Service: ent.spec.Service, Rank: ent.spec.Rank})
		return
	}
	gat.shed(now, ent)
}

func (gat *Core) evicted(now time.Time, from request.Epoch, evi reservation.Evicted) {
	ent := gat.table.byID[evi.ID]
	if ent == nil || ent.phase != phaseEvicting || ent.coordinator != from {
		return
	}
	if !evi.Done {
		gat.requestEviction(now, ent)
		return
	}
	clear(ent.refused)
	ent.overflow = true
	gat.reserve(now, ent)
}

// shed closes the request after every coordinator has answered that it holds no
// reservation of a lower rank, or one hasn't answered in time. If the oldest refusal is
// older than refusalFreshness, all coordinators are asked again.
func (gat *Core) shed(now time.Time, ent *entry) {
	if now.Sub(ent.oldestRefusal(now)) > refusalFreshness {
		clear(ent.refused)
		gat.reserve(now, ent)
		return
	}
	gat.close(now, ent, Final{Cause: CauseShed, Outcome: request.NotRun, Retry: true, RetryAfter: gat.retryAfter(ent)})
}

// retryAfter returns the shortest delay that any coordinator predicts, plus a jitter
// of up to the same length, so that clients don't retry all at once.
func (gat *Core) retryAfter(ent *entry) time.Duration {
	const minDelay, maxDelay = time.Second, 30 * time.Second
	delay := maxDelay
	for _, epo := range gat.coordinators(ent.spec.Service) {
		delay = min(delay, gat.peer(epo).loadOf(ent.spec.Service).load.Delay)
	}
	delay = max(minDelay, delay)
	const steps = 1000
	jitter := view.Score(ent.id.String(), "retry") % steps
	return delay + delay*time.Duration(jitter)/steps
}

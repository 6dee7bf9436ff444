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

// fullTime is for how long a gateway trusts that a coordinator keeps nothing
// newly below its floor. It is well under the coordinator's own floor time, so
// that the delay of the message doesn't matter.
const fullTime = 400 * time.Millisecond

// refusalTrust is for how long a coordinator's refusal counts: it must be over
// before the floor that it raised is.
const refusalTrust = 700 * time.Millisecond

// movedTime is for how long a coordinator that coordinates nothing of a
// service is passed over.
const movedTime = 200 * time.Millisecond

// maxAttempts bounds how often one request is reserved anew after an engine
// that couldn't be reached.
const maxAttempts = 3

// loadState is what a coordinator last told of one service.
type loadState struct {
	load reservation.Load
	// noted is when that word came; sent counts the reservations sent since.
	noted time.Time
	sent  int
	// floorRank is the lowest rank newly kept until floorUntil.
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

// coordinators returns the distinct coordinators of the service that are
// connected, whether they may grant the request or not.
func (gat *Core) coordinators(service string) []request.Epoch {
	var epochs []request.Epoch
	for _, sha := range gat.shares[service] {
		if gat.isUp(sha.Coordinator) && !slices.Contains(epochs, sha.Coordinator) {
			epochs = append(epochs, sha.Coordinator)
		}
	}
	return epochs
}

// mayTake reports whether the gateway may take a grant of the request from the
// coordinator epoch: the id's view names it as a granter, it isn't lost, and it
// is outside this gateway's own failure domain.
func (gat *Core) mayTake(epo request.Epoch, ent *entry) bool {
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
		// With two domains a request taken over has no third one to go to.
		return true
	}
	granter, _ := vie.Member(epo)
	own, known := gat.views.Last().Member(gat.cfg.Self)
	return !known || own.Domain != granter.Domain
}

// reserve sends the reservation to the best coordinator that hasn't refused
// it. Where all have, lower reservations are looked for elsewhere.
func (gat *Core) reserve(now time.Time, ent *entry) {
	gat.table.enter(ent, phaseWaiting)
	ent.coordinator = 0
	best := gat.best(now, ent)
	switch {
	case best != 0:
		gat.sendReserve(now, ent, best)
	case len(ent.refused) > 0:
		gat.seekEviction(now, ent)
	case gat.outdated(ent):
		gat.close(now, ent, Final{Cause: CauseRetired, Outcome: request.NotRun, Retry: true})
	default:
		gat.table.stranded[ent.id] = ent
	}
}

// outdated reports whether the service is coordinated only by hosts that
// aren't in the id's view, so that nobody can grant the request any more.
func (gat *Core) outdated(ent *entry) bool {
	if ent.id.View == gat.views.Last().Number {
		return false
	}
	shares := gat.shares[ent.spec.Service]
	for _, sha := range shares {
		if gat.mayTake(sha.Coordinator, ent) {
			return false
		}
	}
	return len(shares) > 0
}

func (gat *Core) sendReserve(now time.Time, ent *entry, to request.Epoch) {
	delete(gat.table.stranded, ent.id)
	ent.coordinator = to
	ent.reserved = now
	gat.peer(to).loadOf(ent.spec.Service).sent++
	gat.send(to, ent.reserve(now))
}

// best returns the coordinator with the least predicted time to the first
// token, or 0. Ties and near ties go to the one that is likely to hold the
// prompt's prefix.
func (gat *Core) best(now time.Time, ent *entry) request.Epoch {
	var best request.Epoch
	var bestCost time.Duration
	preferred := gat.preferred(ent)
	for _, epo := range gat.coordinators(ent.spec.Service) {
		if !gat.mayAsk(now, epo, ent) {
			continue
		}
		cost := gat.cost(now, epo, ent)
		if epo != preferred {
			cost += prefixCost(ent.spec)
		}
		if best == 0 || cost < bestCost {
			best, bestCost = epo, cost
		}
	}
	return best
}

func (gat *Core) mayAsk(now time.Time, epo request.Epoch, ent *entry) bool {
	if ent.hasRefused(epo) || !gat.mayTake(epo, ent) {
		return false
	}
	los := gat.peer(epo).loadOf(ent.spec.Service)
	if now.Before(los.movedUntil) {
		return false
	}
	if now.Before(los.floorUntil) && ent.spec.Rank < los.floorRank {
		// It has said so already; asking again would change nothing.
		ent.refused[epo] = los.floorUntil.Add(-fullTime)
		return false
	}
	return true
}

// cost is the predicted wait at the coordinator, corrected by what was sent
// there since it last told its load.
func (gat *Core) cost(now time.Time, epo request.Epoch, ent *entry) time.Duration {
	los := gat.peer(epo).loadOf(ent.spec.Service)
	free := los.load.FreeSlots - los.sent
	if free > 0 {
		// Prompts get done while time passes.
		return max(0, los.load.Delay-now.Sub(los.noted))
	}
	slots := max(1, gat.slotsOf(epo, ent.spec.Service))
	return los.load.Delay + time.Duration(1-free)*unknownRun/time.Duration(slots)
}

// unknownRun is the run time assumed of a reservation that a load doesn't
// count yet.
const unknownRun = 500 * time.Millisecond

func (gat *Core) slotsOf(epo request.Epoch, service string) int {
	slots := 0
	for _, sha := range gat.shares[service] {
		if sha.Coordinator == epo {
			slots += sha.Slots
		}
	}
	return slots
}

// preferred returns the coordinator that requests with this prompt prefix go
// to, so that they meet in the same cache.
func (gat *Core) preferred(ent *entry) request.Epoch {
	key := ent.id.String()
	if ent.spec.PrefixHash != 0 {
		key = strconv.FormatUint(ent.spec.PrefixHash, 16)
	}
	var epochs []request.Epoch
	for _, epo := range gat.coordinators(ent.spec.Service) {
		if gat.mayTake(epo, ent) {
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

// prefixCost is the prompt work that a coordinator without the prefix has to do.
func prefixCost(spec Spec) time.Duration {
	if spec.PrefixHash == 0 {
		return time.Nanosecond
	}
	const middlingPrefill = 4000
	return time.Duration(spec.PrefixTokens) * time.Second / middlingPrefill
}

// moveToFree moves a reservation that has waited for a while to a coordinator
// with a free slot.
func (gat *Core) moveToFree(now time.Time, ent *entry) {
	if now.Sub(ent.reserved) < gat.cfg.MoveAfter {
		return
	}
	for _, epo := range gat.coordinators(ent.spec.Service) {
		los := gat.peer(epo).loadOf(ent.spec.Service)
		if epo == ent.coordinator || !gat.mayAsk(now, epo, ent) || los.load.FreeSlots-los.sent <= 0 {
			continue
		}
		gat.send(ent.coordinator, reservation.Withdraw{ID: ent.id, Ballot: ent.ballot})
		gat.sendReserve(now, ent, epo)
		return
	}
}

// seekEviction asks the coordinators that may not grant to this gateway for a
// lower reservation to drop. When none is left to ask, the request is shed.
func (gat *Core) seekEviction(now time.Time, ent *entry) {
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
		gat.seekEviction(now, ent)
		return
	}
	clear(ent.refused)
	ent.overflow = true
	gat.reserve(now, ent)
}

// shed gives the request up after every coordinator said that it keeps nothing
// lower. Where the first of them said so too long ago to be sure of it still,
// they are asked anew.
func (gat *Core) shed(now time.Time, ent *entry) {
	if now.Sub(ent.oldestRefusal(now)) > refusalTrust {
		clear(ent.refused)
		gat.reserve(now, ent)
		return
	}
	gat.close(now, ent, Final{Cause: CauseShed, Outcome: request.NotRun, Retry: true, RetryAfter: gat.retryAfter(ent)})
}

// retryAfter spreads the callers' return over as long a time again as the
// shortest delay that any coordinator predicts.
func (gat *Core) retryAfter(ent *entry) time.Duration {
	const least, most = time.Second, 30 * time.Second
	delay := most
	for _, epo := range gat.coordinators(ent.spec.Service) {
		delay = min(delay, gat.peer(epo).loadOf(ent.spec.Service).load.Delay)
	}
	delay = max(least, delay)
	const steps = 1000
	part := view.Score(ent.id.String(), "retry") % steps
	return delay + delay*time.Duration(part)/steps
}

package scheduler

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// waiter is a request that waits in the queue of a service.
type waiter struct {
	reserve reservation.Reserve
	gateway request.Epoch
	number  uint64
	since   time.Time
	// until is when the request is refused.
	until time.Time
	// usualAt is the version of the quarantine, plus one, at which the request was found to need
	// no special handling; 0 for none.
	usualAt uint64
	// scope identifies the regions in which the request may run; empty for all.
	scope string
	// late is set if the client had already waited longer than the latency target when this
	// request arrived, so that the target can't be met any more. In overload, such requests would
	// take capacity from those that can meet theirs.
	late bool
	// rateLimited is set if only a rate limit kept an engine from being granted.
	paced bool
}

func (cor *Core) reserve(now time.Time, from request.Epoch, res reservation.Reserve) {
	svc := cor.service(res.Service)
	cor.asked[from] = now
	if cor.heldBack(now, from, res, svc) || cor.refuseOutside(now, from, res, svc) {
		return
	}
	if res.Attempt == 0 {
		if !res.Again {
			svc.repeats.count(now)
		}
		if cor.overLimit(now, res) {
			cor.refuse(from, res, reservation.ReasonLimit, svc.inputs(now, now))
			return
		}
	} else if !res.Again && !svc.repeats.take(now, cor.parts) {
		cor.refuse(from, res, reservation.ReasonBudget, svc.inputs(now, now))
		return
	}
	svc.arrivals++
	wai := &waiter{reserve: res, gateway: from, number: svc.arrivals, since: now, scope: strings.Join(res.Regions, " ")}
	wai.late = res.Attempt == 0 && res.Age > res.Aim
	wai.until = now.Add(waitTime(res))
	pos, _ := slices.BinarySearchFunc(svc.waiting, wai, compareWaiters)
	svc.waiting = slices.Insert(svc.waiting, pos, wai)
	cor.serve(now, svc)
}

// waitTime returns the maximum time that a request may wait for an engine.
func waitTime(res reservation.Reserve) time.Duration {
	return min(max(0, time.Duration(waitShare*float64(res.Aim))-waitMargin), res.Remaining)
}

func compareWaiters(left, right *waiter) int {
	return cmp.Or(
		cmp.Compare(left.reserve.Rank, right.reserve.Rank),
		cmp.Compare(left.reserve.Urgency, right.reserve.Urgency),
		// Requests that can meet their target go before those that can't; in the opposite order,
		// both would be late.
		cmp.Compare(ordinal(left.late), ordinal(right.late)),
		// Retries go first: they have waited before, and engines have spent work on them. So do
		// requests that wait again because their engine couldn't be used.
		cmp.Compare(ordinal(right.waitedBefore()), ordinal(left.waitedBefore())),
		cmp.Compare(left.number, right.number),
	)
}

func (wai *waiter) waitedBefore() bool {
	return wai.reserve.Attempt > 0 || wai.reserve.Again
}

func ordinal(val bool) int {
	if val {
		return 1
	}
	return 0
}

func (cor *Core) refuse(to request.Epoch, res reservation.Reserve, reason reservation.Reason, inp Inputs) {
	cor.send(to, reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reason, RetryAfter: retryAfter(res)}, inp)
}

// inputs returns the inputs of a decision on a request of the service.
func (svc *service) inputs(now, since time.Time) Inputs {
	inp := Inputs{Waited: now.Sub(since), Waiting: len(svc.waiting), Engines: len(svc.engines), Aside: svc.aside(now)}
	inp.AsideUsed = !svc.mayLeaveOut(inp.Aside)
	return inp
}

// inputsOf returns the inputs of a decision on a waiting request.
func (svc *service) inputsOf(now time.Time, wai *waiter) Inputs {
	inp := svc.inputs(now, wai.since)
	inp.Paced, inp.WaitedForRate = svc.paced, wai.paced
	return inp
}

// retryAfter returns when the client of a refused request should retry: within its remaining
// time, with jitter so that clients don't retry at the same moment.
func retryAfter(res reservation.Reserve) time.Duration {
	share := minRetryShare + (maxRetryShare-minRetryShare)*pointOf(res.ID)
	return time.Duration(share * float64(min(res.Remaining, maxRetrySpan)))
}

// pointOf maps a request id to an evenly distributed number from 0 to below 1.
func pointOf(id request.ID) float64 {
	hash := fnv.New32a()
	// Write never returns an error.
	_, _ = hash.Write([]byte(id.Unique))
	return float64(hash.Sum32()%1000) / 1000
}

// serve grants engines to the waiting requests in the order of the queue, and refuses those that
// have reached their maximum wait.
func (cor *Core) serve(now time.Time, svc *service) {
	if len(svc.waiting) == 0 {
		return
	}
	svc.forgetSaid(now)
	cor.warm(now, svc)
	kept := svc.waiting[:0]
	alw := svc.allowance(now)
	var scn line
	for _, wai := range svc.waiting {
		han := cor.handlingOf(now, wai)
		switch {
		case han == handleHeld:
			cor.giveBack(wai.reserve.Account, cor.costOf(wai.reserve))
			cor.heldBack(now, wai.gateway, wai.reserve, svc)
		case (han == handleAlone || han == handleGuarded || !scn.isFull(wai)) && cor.grant(now, svc, wai, han):
		case cor.refuseClosed(now, svc, wai):
		case han == handleUsual && cor.refuseSpent(now, svc, wai, alw, len(kept)):
		case !now.Before(wai.until):
			if !wai.late && han == handleUsual {
				svc.refusedAt = now
			}
			cor.giveBack(wai.reserve.Account, cor.costOf(wai.reserve))
			cor.refuse(wai.gateway, wai.reserve, reservation.ReasonOverload, svc.inputsOf(now, wai))
		default:
			if len(wai.reserve.Exclude) == 0 && han == handleUsual {
				scn.note(now, svc, wai, len(cor.closed[wai.gateway]) > 0)
			}
			kept = append(kept, wai)
		}
	}
	clear(svc.waiting[len(kept):])
	svc.waiting = kept
}

func (cor *Core) withdraw(now time.Time, id request.ID) {
	for _, svc := range cor.services {
		for idx, wai := range svc.waiting {
			if wai.reserve.ID == id {
				cor.giveBack(wai.reserve.Account, cor.costOf(wai.reserve))
				svc.waiting = slices.Delete(svc.waiting, idx, idx+1)
				return
			}
		}
	}
	// The grant may have been sent before the withdrawal arrived.
	cor.release(now, reservation.Release{ID: id})
}

// queueScan is what one pass over the queue has found about free capacity. Thousands of requests
// may wait, so what applies to all requests of a gateway is determined once.
type line struct {
	// full is set if a request without special handling found no engine. fullFor is the
	// same for single gateways that have a backoff from an engine in force, or that send nothing
	// to some failure domains: their requests may find no engine where others do.
	full    bool
	fullFor map[request.Epoch]bool
	// fullIn is the same for requests that are limited to some regions, by scope.
	fullIn map[string]bool
}

// isFull reports whether requests like this one, without special handling, find no engine.
func (scn *line) isFull(wai *waiter) bool {
	return scn.full || scn.fullFor[wai.gateway] || wai.scope != "" && scn.fullIn[wai.scope]
}

// recordFull records that a request without special handling found no engine. constrained is set
// if some engines are closed to its gateway that may be open to others.
func (scn *line) note(now time.Time, svc *service, wai *waiter, constrained bool) {
	if scn.isFull(wai) {
		return
	}
	anyGateway := !constrained && (svc.said == 0 || !svc.hasAsked(now, wai.gateway))
	switch {
	case anyGateway && wai.scope == "":
		scn.full = true
	case anyGateway:
		if scn.fullIn == nil {
			scn.fullIn = make(map[string]bool)
		}
		scn.fullIn[wai.scope] = true
	case wai.scope == "":
		if scn.fullFor == nil {
			scn.fullFor = make(map[request.Epoch]bool)
		}
		scn.fullFor[wai.gateway] = true
	}
}

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
	reserve       reservation.Reserve
	gateway       request.Epoch
	arrivalNumber uint64
	since         time.Time
	// until is when the request is refused if it is still waiting.
	until time.Time
	// normalAt is the version of the quarantine, plus one, at which the request was found to need
	// no special handling; 0 for none.
	normalAt uint64
	// scope identifies the regions in which the request may run; empty for all.
	scope string
	// late is set if the client had already waited longer than the latency target when this
	// request arrived, so that the target can't be met any more. In overload, such requests would
	// take capacity from those that can meet theirs.
	late bool
	// rateLimited is set once an engine was passed over only because of its rate limit.
	rateLimited bool
}

func (cor *Core) reserve(now time.Time, from request.Epoch, res reservation.Reserve) {
	svc := cor.service(res.Service)
	cor.lastReserved[from] = now
	if cor.refuseQuarantined(now, from, res, svc) || cor.refuseRegion(now, from, res, svc) {
		return
	}
	if res.Attempt == 0 {
		if !res.Requeued {
			svc.retries.count(now)
		}
		if cor.exceedsLimit(now, res) {
			cor.refuse(from, res, reservation.ReasonLimit, svc.inputs(now, now))
			return
		}
	} else if !res.Requeued && !svc.retries.take(now, cor.divisor) {
		cor.refuse(from, res, reservation.ReasonBudget, svc.inputs(now, now))
		return
	}
	svc.arrivals++
	wai := &waiter{reserve: res, gateway: from, arrivalNumber: svc.arrivals, since: now, scope: strings.Join(res.Regions, " ")}
	wai.late = res.Attempt == 0 && res.ClientWait > res.LatencyTarget
	wai.until = now.Add(maxWait(res))
	pos, _ := slices.BinarySearchFunc(svc.waiting, wai, compareWaiters)
	svc.waiting = slices.Insert(svc.waiting, pos, wai)
	cor.serve(now, svc)
}

// maxWait returns the maximum time that a request may wait for an engine.
func maxWait(res reservation.Reserve) time.Duration {
	return min(max(0, time.Duration(maxWaitShare*float64(res.LatencyTarget))-responseMargin), res.Remaining)
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
		cmp.Compare(left.arrivalNumber, right.arrivalNumber),
	)
}

func (wai *waiter) waitedBefore() bool {
	return wai.reserve.Attempt > 0 || wai.reserve.Requeued
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
	inp := Inputs{Waited: now.Sub(since), Waiting: len(svc.waiting), Engines: len(svc.engines), Ejected: svc.ejected(now)}
	inp.EjectedUsed = !svc.mayEject(inp.Ejected)
	return inp
}

// inputsFor returns the inputs of a decision on a waiting request.
func (svc *service) inputsFor(now time.Time, wai *waiter) Inputs {
	inp := svc.inputs(now, wai.since)
	inp.RateLimited, inp.WaitedForRate = svc.limitedEngines, wai.rateLimited
	return inp
}

// retryAfter returns when the client of a refused request should retry: within its remaining
// time, with jitter so that clients don't retry at the same moment.
func retryAfter(res reservation.Reserve) time.Duration {
	share := minRetryShare + (maxRetryShare-minRetryShare)*hashFraction(res.ID)
	return time.Duration(share * float64(min(res.Remaining, maxRetryBase)))
}

// hashFraction maps a request id to an evenly distributed number from 0 to below 1.
func hashFraction(id request.ID) float64 {
	hash := fnv.New32a()
	// Write never returns an error.
	_, _ = hash.Write([]byte(id.Unique))
	return float64(hash.Sum32()%1000) / 1000
}

// serve grants engines to the waiting requests in the order of the queue. It refuses requests that
// are held, that can't be granted an engine before their maximum wait ends, or whose maximum wait
// has ended.
func (cor *Core) serve(now time.Time, svc *service) {
	if len(svc.waiting) == 0 {
		return
	}
	svc.expireSignals(now)
	cor.expireCold(now, svc)
	kept := svc.waiting[:0]
	alw := svc.allowance(now)
	var scn queueScan
	for _, wai := range svc.waiting {
		han := cor.cachedHandling(now, wai)
		switch {
		case han == handleHeld:
			cor.refund(wai.reserve.Account, cor.costOf(wai.reserve))
			cor.refuseQuarantined(now, wai.gateway, wai.reserve, svc)
		case (han == handleExclusive || han == handleRestricted || !scn.isFull(wai)) && cor.grant(now, svc, wai, han):
		case cor.refuseBlocked(now, svc, wai):
		case han == handleNormal && cor.refuseRateLimited(now, svc, wai, alw, len(kept)):
		case !now.Before(wai.until):
			if !wai.late && han == handleNormal {
				svc.refusedAt = now
			}
			cor.refund(wai.reserve.Account, cor.costOf(wai.reserve))
			cor.refuse(wai.gateway, wai.reserve, reservation.ReasonOverload, svc.inputsFor(now, wai))
		default:
			if len(wai.reserve.Exclude) == 0 && han == handleNormal {
				scn.recordFull(now, svc, wai, len(cor.closed[wai.gateway]) > 0)
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
				cor.refund(wai.reserve.Account, cor.costOf(wai.reserve))
				svc.waiting = slices.Delete(svc.waiting, idx, idx+1)
				return
			}
		}
	}
	// The grant may have been sent before the withdrawal arrived.
	cor.release(now, reservation.Release{ID: id})
}

// queueScan records, during one pass over the queue, which requests found no engine. Thousands of
// requests may wait, so the search isn't repeated for requests that would find none either.
type queueScan struct {
	// full is set if a request without special handling found no engine. fullByGateway is the
	// same for single gateways that have a backoff from an engine in force, or that send nothing
	// to some failure domains: their requests may find no engine while those of others do.
	full          bool
	fullByGateway map[request.Epoch]bool
	// fullByScope is the same for requests that are limited to some regions, by scope.
	fullByScope map[string]bool
}

// isFull reports whether requests like this one, without special handling, find no engine.
func (scn *queueScan) isFull(wai *waiter) bool {
	return scn.full || scn.fullByGateway[wai.gateway] || wai.scope != "" && scn.fullByScope[wai.scope]
}

// recordFull records that a request without special handling found no engine. constrained is set
// if some engines are closed to its gateway that may be open to others.
func (scn *queueScan) recordFull(now time.Time, svc *service, wai *waiter, constrained bool) {
	if scn.isFull(wai) {
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

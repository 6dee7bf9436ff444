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

// waiter is a request that waits for an engine.
type waiter struct {
	reserve reservation.Reserve
	gateway request.Epoch
	number  uint64
	since   time.Time
	// until is when it is refused.
	until time.Time
	// usualAt is the version of what is known against requests at which nothing was against
	// this one, by one more, so that 0 is none.
	usualAt uint64
	// scope stands for the regions in which it may run; empty for anywhere.
	scope string
	// late says that its caller has tried before and can't be served in time any more. In
	// overload these would take the places of others that could be.
	late bool
	// paced says that an engine would have been its own but for the rate that it has named.
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
	place, _ := slices.BinarySearchFunc(svc.waiting, wai, compareWaiters)
	svc.waiting = slices.Insert(svc.waiting, place, wai)
	cor.serve(now, svc)
}

// waitTime returns for how long a request may wait for an engine.
func waitTime(res reservation.Reserve) time.Duration {
	return min(max(0, time.Duration(waitShare*float64(res.Aim))-waitMargin), res.Remaining)
}

func compareWaiters(one, two *waiter) int {
	return cmp.Or(
		cmp.Compare(one.reserve.Rank, two.reserve.Rank),
		cmp.Compare(one.reserve.Urgency, two.reserve.Urgency),
		// Who can be in time goes before who can't any more: the other way round both
		// would be late.
		cmp.Compare(ordinal(one.late), ordinal(two.late)),
		// A repeat has waited before, and engines have worked for it; one whose engine
		// couldn't be used has waited too.
		cmp.Compare(ordinal(two.waitedBefore()), ordinal(one.waitedBefore())),
		cmp.Compare(one.number, two.number),
	)
}

func (wai *waiter) waitedBefore() bool {
	return wai.reserve.Attempt > 0 || wai.reserve.Again
}

func ordinal(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

func (cor *Core) refuse(to request.Epoch, res reservation.Reserve, reason reservation.Reason, inp Inputs) {
	cor.send(to, reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reason, RetryAfter: retryAfter(res)}, inp)
}

// inputs returns what a decision on the service rests on.
func (svc *service) inputs(now, since time.Time) Inputs {
	inp := Inputs{Waited: now.Sub(since), Waiting: len(svc.waiting), Engines: len(svc.engines), Aside: svc.aside(now)}
	inp.AsideUsed = !svc.mayLeaveOut(inp.Aside)
	return inp
}

// inputsOf returns what the decision on one that has waited rests on.
func (svc *service) inputsOf(now time.Time, wai *waiter) Inputs {
	inp := svc.inputs(now, wai.since)
	inp.Paced, inp.WaitedForRate = svc.paced, wai.paced
	return inp
}

// retryAfter returns when the caller of a refused request comes back: within what
// it has left, and callers not in step.
func retryAfter(res reservation.Reserve) time.Duration {
	share := minRetryShare + (maxRetryShare-minRetryShare)*pointOf(res.ID)
	return time.Duration(share * float64(min(res.Remaining, maxRetrySpan)))
}

// pointOf spreads requests between 0 and 1 by their ids.
func pointOf(id request.ID) float64 {
	hash := fnv.New32a()
	// A hash takes any bytes without an error.
	_, _ = hash.Write([]byte(id.Unique))
	return float64(hash.Sum32()%1000) / 1000
}

// serve gives engines to those who wait, in their order, and refuses those
// whose time is up.
func (cor *Core) serve(now time.Time, svc *service) {
	if len(svc.waiting) == 0 {
		return
	}
	svc.forgetSaid(now)
	cor.warm(now, svc)
	kept := svc.waiting[:0]
	alw := svc.allowance(now)
	var lin line
	for _, wai := range svc.waiting {
		han := cor.handlingOf(now, wai)
		switch {
		case han == handleHeld:
			cor.giveBack(wai.reserve.Account, cor.costOf(wai.reserve))
			cor.heldBack(now, wai.gateway, wai.reserve, svc)
		case (han == handleAlone || han == handleGuarded || !lin.isFull(wai)) && cor.grant(now, svc, wai, han):
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
				lin.note(now, svc, wai, len(cor.closed[wai.gateway]) > 0)
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
	// A grant may have crossed the withdrawal.
	cor.release(now, reservation.Release{ID: id})
}

// line is what one look through those who wait has found of places. Thousands may wait, so
// what holds for all requests of a gateway is found once.
type line struct {
	// full says that a usual request found no engine; fullFor the same of gateways that engines
	// have asked for a pause, or that send nothing to some failure domain: their requests may
	// find none where others do.
	full    bool
	fullFor map[request.Epoch]bool
	// fullIn says the same of those that may run in some regions only, by these.
	fullIn map[string]bool
}

// isFull reports whether usual requests like this one find no engine.
func (lin *line) isFull(wai *waiter) bool {
	return lin.full || lin.fullFor[wai.gateway] || wai.scope != "" && lin.fullIn[wai.scope]
}

// note takes that a usual request found no engine; bounded says that some are closed to its
// gateway that may be open to others.
func (lin *line) note(now time.Time, svc *service, wai *waiter, bounded bool) {
	if lin.isFull(wai) {
		return
	}
	others := !bounded && (svc.said == 0 || !svc.hasAsked(now, wai.gateway))
	switch {
	case others && wai.scope == "":
		lin.full = true
	case others:
		if lin.fullIn == nil {
			lin.fullIn = make(map[string]bool)
		}
		lin.fullIn[wai.scope] = true
	case wai.scope == "":
		if lin.fullFor == nil {
			lin.fullFor = make(map[request.Epoch]bool)
		}
		lin.fullFor[wai.gateway] = true
	}
}

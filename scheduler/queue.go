package scheduler

import (
	"hash/fnv"
	"strings"
	"time"

	"lynxwell.dev/lynxwell/admission"
	"lynxwell.dev/lynxwell/fairqueue"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
)

// waiter is a request that waits in the queue of a service.
type waiter struct {
	reserve reservation.Reserve
	gateway request.Epoch
	since   time.Time
	// until is when the request is refused if it is still waiting.
	until time.Time
	// normalAt is the version of the quarantine, plus one, at which the request was found to need
	// no special handling; 0 for none.
	normalAt uint64
	// scope identifies the engines that the request may run at, by region and software version; empty
	// for all.
	scope string
	// pinned is set if the request resumes a stream, and may run only at the software version.
	// origin is what the knowledge of that version rests on.
	pinned  bool
	version string
	origin  OriginBasis
	// late is set if the client had already waited longer than the latency target when this
	// request arrived, so that the target can't be met any more. In overload, such requests would
	// take capacity from those that can meet theirs.
	late bool
	// rateLimited is set once an engine was passed over only because of its rate limit.
	rateLimited bool
	// pass is the number of the latest pass over the queue that has visited the request.
	pass uint64
	// searchedAt is when all engines were last searched for the request in vain.
	searchedAt time.Time
	// returned is set if the client returns when it was told to.
	returned bool
	// predicted is how long the request was predicted to wait when it arrived; 0 if unknown.
	predicted time.Duration
}

// reserve decides a reservation, or lets it wait.
func (cor *Core) reserve(now time.Time, unr unresolved) {
	res, from := unr.reserve, unr.gateway
	svc := cor.service(res.Service)
	if !res.Resumed {
		cor.expectOrigin(now, res.Service, res.Stream, res.StreamLife)
	}
	if cor.refuseQuarantined(now, from, res, svc) || cor.refuseRegion(now, from, res, svc) {
		return
	}
	ori, basis := cor.originOf(now, res)
	if cor.await(now, unr, basis) {
		return
	}
	if !cor.mayBegin(now, res) {
		cor.refuse(from, res, reservation.ReasonCopyStale, svc.inputs(now, unr.since))
		return
	}
	if res.Resumed && (!basis.IsKnown() || ori.Service != res.Service || !svc.serves(ori.Version)) {
		inp := svc.inputs(now, unr.since)
		inp.Origin, inp.EngineVersion = basis, ori.Version
		cor.refuseVersion(now, from, res, inp)
		return
	}
	switch {
	case res.Requeued:
	case res.Attempt == 0:
		svc.retries.count(now)
	case !svc.retries.take(now, cor.suspended):
		cor.refuse(from, res, reservation.ReasonBudget, svc.inputs(now, unr.since))
		return
	}
	if reason, charged := cor.chargeAttempt(now, from, res); !charged {
		cor.refuseLimit(now, from, res, svc, reason)
		return
	}
	wai := &waiter{reserve: res, gateway: from, since: unr.since, scope: strings.Join(res.Regions, " ")}
	if res.Resumed {
		wai.pin(ori.Version, basis)
	}
	wai.late = res.IsLate()
	wai.until = unr.until()
	if cor.refuseEarly(now, svc, wai) {
		return
	}
	cor.enqueue(now, svc, wai)
	cor.serveAfter(now, svc, nil)
}

// entry returns the queue's entry for a request. Requests that can meet their target go before those
// that can't; in the opposite order, both would be late. Retries go in front of the other requests of
// their client: they have waited before, and engines have spent work on them. So do requests that wait
// again because their engine couldn't be used. Resumed streams go first: few engines may suit them, and
// others get room elsewhere.
func (cor *Core) entry(svc *service, wai *waiter) fairqueue.Entry[*waiter] {
	res := wai.reserve
	return fairqueue.Entry[*waiter]{
		ID: res.ID, Share: cor.shareOf(admission.ClassOf(res), res.Account, res.Client),
		Front: wai.waitedBefore(), First: wai.returned || wai.pinned, Work: svc.workOf(res), Until: wai.until, Value: wai,
	}
}

// shareOf returns who shares the engines. Without fair shares, all requests of a class share one
// account, and are served in the order of their arrival.
func (cor *Core) shareOf(cls fairqueue.Class, account string, client uint64) fairqueue.Share {
	if !cor.cfg.FairShares {
		return fairqueue.Share{Class: cls}
	}
	return fairqueue.Share{Class: cls, Account: account, Client: client, Weight: cor.weightOf(account)}
}

// workOf returns how long a request is expected to occupy a slot of an engine of reference speed.
func (svc *service) workOf(res reservation.Reserve) time.Duration {
	if res.PromptTokens == 0 {
		return initialServiceTime
	}
	if res.AnswerTokens <= 0 {
		return initialOccupancy
	}
	return svc.pace.Work(res.PromptTokens, res.AnswerTokens/max(1, svc.eventTokens))
}

// correctCharge adjusts the work that a run was charged to the work that it was: the account's estimate
// of its answer's length may be wrong, and a request that wasn't run costs nothing.
func (svc *service) correctCharge(rnn *run, rel reservation.Release) {
	switch {
	case !rel.Dispatched || rel.Rejected:
		svc.queue.Correct(rnn.share, -rnn.work)
	case rel.Answered && rnn.promptTokens > 0:
		svc.queue.Correct(rnn.share, svc.pace.Work(rnn.promptTokens, rel.DecodeTokens)-rnn.work)
	}
}

// weightOf returns the weight of an account's share: its rate limit, relative to the mean of those
// that have one. Accounts without a limit have the mean weight.
func (cor *Core) weightOf(account string) float64 {
	if weight := cor.weights[account]; weight > 0 {
		return weight
	}
	return 1
}

// weightsOf returns the weights of the accounts with a rate limit.
func weightsOf(accounts []route.Account) map[string]float64 {
	total, limited := 0.0, 0
	for _, acc := range accounts {
		if acc.Rate > 0 {
			total += acc.Rate
			limited++
		}
	}
	weights := make(map[string]float64, limited)
	for _, acc := range accounts {
		if acc.Rate > 0 {
			weights[acc.Name] = acc.Rate * float64(limited) / total
		}
	}
	return weights
}

func (wai *waiter) waitedBefore() bool {
	return wai.reserve.Attempt > 0 || wai.reserve.Requeued || wai.pinned
}

func (cor *Core) refuse(to request.Epoch, res reservation.Reserve, reason reservation.Reason, inp Inputs) {
	cor.send(to, reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reason, RetryAfter: RetryAfter(res), Waited: inp.Waited}, inp)
}

// refuseVersion refuses a resumed stream that can't go on. Its client may try again only where another host may know more,
// or this core expects to.
func (cor *Core) refuseVersion(now time.Time, to request.Epoch, res reservation.Reserve, inp Inputs) {
	ref := reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reservation.ReasonVersion, Waited: inp.Waited}
	if inp.Origin == OriginStale || inp.Origin == OriginUnknown && cor.expectsOrigin(now, res.Stream, inp.Origin) {
		ref.RetryAfter = RetryAfter(res)
	}
	cor.send(to, ref, inp)
}

// inputs returns the inputs of a decision on a request of the service.
func (svc *service) inputs(now, since time.Time) Inputs {
	inp := Inputs{Waited: now.Sub(since), Waiting: svc.queue.Len(), Engines: len(svc.engines), Ejected: svc.ejected(now)}
	inp.EjectedUsed = !svc.mayEject(inp.Ejected)
	return inp
}

// inputsFor returns the inputs of a decision on a waiting request.
func (svc *service) inputsFor(now time.Time, wai *waiter) Inputs {
	inp := svc.inputs(now, wai.since)
	inp.RateLimited, inp.WaitedForRate, inp.Origin = svc.limitedEngines, wai.rateLimited, wai.origin
	if wai.needsRecord() {
		inp.Unopened = svc.unrecorded
	}
	return inp
}

// RetryAfter returns when the client of a refused request should retry: within its remaining
// time, with jitter so that clients don't retry at the same moment.
func RetryAfter(res reservation.Reserve) time.Duration {
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

func (cor *Core) withdraw(now time.Time, id request.ID) {
	if cor.removeUnresolved(func(unr unresolved) bool { return unr.reserve.ID == id }) {
		return
	}
	for _, svc := range cor.services {
		if wai, waiting := svc.queue.Remove(id); waiting {
			svc.specials.remove(wai)
			cor.refund(wai.reserve.Account, wai.reserve.Cost)
			return
		}
	}
	// The grant may have been sent before the withdrawal arrived.
	cor.release(now, reservation.Release{ID: id})
}

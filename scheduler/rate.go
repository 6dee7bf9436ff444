package scheduler

import (
	"math"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// An overloaded engine signals the number of requests per second that it accepts from all hosts
// together, and a cold engine tolerates only the configured rate. The scheduler enforces the sum
// with a token bucket: each grant takes a token, at the lower of the two rates times this core's
// share. A core that schedules for no host has no share, so that a new coordinator starts with
// an empty bucket, whatever the former one granted in its last seconds.

const (
	// minRate is the lowest rate of grants in requests per second, applied even to an engine that
	// accepts none: only an answer shows that the limit has ended.
	minRate = 0.5
	// maxSaved is the capacity of an engine's token bucket, as the time to fill it, in
	// addition to one request. Requests arrive unevenly, and tokens that don't fit are lost to
	// the waiting requests.
	maxSaved = 500 * time.Millisecond
	// coldSaved is the same for a cold engine. It tolerates half as many requests again as its
	// rate within a second, and a grant may be used a quarter of a second later.
	coldSaved = 200 * time.Millisecond
	// askedAgain is the period after which an engine with a rate limit is granted a request
	// even if another engine would serve it better. Only an answer shows that the limit has
	// ended, and the known state should be a few seconds old at most.
	askedAgain = 2 * time.Second
	// spentWindow is how long grants are kept for the dump, maxSpent how many are
	// kept.
	spentWindow = 4 * time.Second
	maxSpent    = 128
)

// rateLimiter limits the grants of an engine to its signaled rate, and to the configured rate
// while it is cold.
type pacing struct {
	// hasRate is set if the engine has signaled a rate, perSecond, the last time at namedAt.
	named     bool
	perSecond float64
	namedAt   time.Time
	// coldUntil is when the engine is warm, coldRate the rate that applies until then, in
	// requests per second.
	coldUntil time.Time
	coldRate  float64
	// share is this core's share of the rate; 0 while it schedules for no host.
	share float64
	// tokens is the content of the bucket at the time filledAt.
	tokens float64
	filled time.Time
	// grants are the recent grants, the newest last, and takenAt the time of the last one.
	spent   []spending
	takenAt time.Time
}

// rateGrant is a grant that took a token.
type spending struct {
	gateway request.Epoch
	at      time.Time
}

// isCold reports whether the engine is cold.
func (lim *pacing) isCold(now time.Time) bool {
	return now.Before(lim.coldUntil)
}

// isActive reports whether the grants of the engine are limited.
func (lim *pacing) holds(now time.Time) bool {
	return lim.named || lim.isCold(now)
}

// limit returns the engine's limit for all hosts, in requests per second; infinite without one.
func (lim *pacing) limit(now time.Time) float64 {
	limit := math.Inf(1)
	if lim.named {
		limit = max(minRate, lim.perSecond)
	}
	if lim.isCold(now) {
		limit = min(limit, lim.coldRate)
	}
	return limit
}

// rate returns this core's share of the limit, in requests per second.
func (lim *pacing) rate(now time.Time) float64 {
	if lim.share == 0 || !lim.holds(now) {
		return 0
	}
	return lim.share * lim.limit(now)
}

func (lim *pacing) fill(now time.Time) {
	rate := lim.rate(now)
	if now.After(lim.filled) {
		lim.tokens += now.Sub(lim.filled).Seconds() * rate
		lim.filled = now
	}
	lim.tokens = min(lim.tokens, 1+rate*lim.saved(now).Seconds())
}

// burstTime returns the capacity of the bucket as the time to fill it.
func (lim *pacing) saved(now time.Time) time.Duration {
	if lim.isCold(now) {
		return coldSaved
	}
	return maxSaved
}

// setRate applies the rate that the engine signaled.
func (lim *pacing) name(now time.Time, perSecond float64) {
	lim.fill(now)
	lim.named, lim.perSecond, lim.namedAt = true, perSecond, now
}

// setCold marks the engine cold until a time, with the rate that applies until then.
func (lim *pacing) chill(now, until time.Time, perSecond float64) {
	lim.fill(now)
	lim.coldUntil, lim.coldRate = until, perSecond
}

// setShare applies this core's new share. The bucket is emptied when the share was or becomes 0.
func (lim *pacing) divide(now time.Time, share float64) {
	lim.fill(now)
	if lim.share == 0 || share == 0 {
		lim.tokens = 0
	}
	lim.share = share
}

// admits reports whether a request may be granted.
func (lim *pacing) admits(now time.Time) bool {
	if lim == nil || !lim.holds(now) {
		return true
	}
	lim.fill(now)
	return lim.tokens >= 1
}

// needsCheck reports whether the engine has signaled a rate but was granted no request lately
// that would show whether the rate still applies.
func (lim *pacing) overdue(now time.Time) bool {
	if lim == nil || !lim.named {
		return false
	}
	checked := lim.namedAt
	if lim.takenAt.After(checked) {
		checked = lim.takenAt
	}
	return now.Sub(checked) >= askedAgain
}

// take takes a token for a grant.
func (lim *pacing) take(now time.Time, gateway request.Epoch) {
	lim.tokens--
	lim.takenAt = now
	lim.forgetSpent(now)
	if len(lim.spent) == maxSpent {
		lim.spent = lim.spent[1:]
	}
	lim.spent = append(lim.spent, spending{gateway: gateway, at: now})
}

// refund returns the token of a grant whose request wasn't sent.
func (lim *pacing) giveBack(gateway request.Epoch) {
	lim.tokens++
	for idx, grt := range lim.spent {
		if grt.gateway == gateway {
			lim.spent = append(lim.spent[:idx:idx], lim.spent[idx+1:]...)
			return
		}
	}
}

func (lim *pacing) forgetSpent(now time.Time) {
	for len(lim.spent) > 0 && now.Sub(lim.spent[0].at) >= spentWindow {
		lim.spent = lim.spent[1:]
	}
}

// spentLately returns the number of recent grants, up to the number that is kept.
func (lim *pacing) spentLately(now time.Time) int {
	lim.forgetSpent(now)
	return len(lim.spent)
}

// rateShare returns this core's share of the engines' rate limits.
func (cor *Core) rateShare() float64 {
	if cor.elsewhere {
		return 0
	}
	return 1 / cor.parts
}

// limitRate applies a signaled rate. A new limiter starts with an empty bucket, as if the
// requests granted before had used up the burst.
func (cor *Core) limitRate(now time.Time, ene *engine, lim fleet.RateLimit) {
	ene.rateEnded = false
	cor.pace(now, ene).name(now, lim.PerSecond)
}

// limiterOf returns the engine's rate limiter, creating it if necessary.
func (cor *Core) pace(now time.Time, ene *engine) *pacing {
	if ene.pacing == nil {
		ene.pacing = &pacing{share: cor.rateShare(), filled: now}
		cor.service(ene.Service).paced++
	}
	return ene.pacing
}

// clearRate ends an engine's signaled rate limit. The engine may have been deregistered before
// the answer that shows this arrived.
func (cor *Core) unlimit(now time.Time, ene *engine) {
	if ene.pacing == nil || !ene.pacing.named {
		return
	}
	ene.pacing.named, ene.rateEnded = false, true
	cor.dropPacing(now, ene)
}

// dropPacing removes the engine's rate limiter if no limit is in force.
func (cor *Core) dropPacing(now time.Time, ene *engine) {
	if ene.pacing == nil || ene.pacing.holds(now) {
		return
	}
	ene.pacing = nil
	if cor.engines[ene.ID] == ene {
		cor.service(ene.Service).paced--
	}
}

// grantRate returns the state of the engine's rate limit for a grant. Other gateways learn this
// way that the answer to one gateway has ended the limit.
func (ene *engine) grantRate() reservation.GrantRate {
	switch {
	case ene.pacing != nil && ene.pacing.named:
		return reservation.GrantRatePaced
	case ene.rateEnded:
		return reservation.GrantRateEnded
	default:
		return reservation.GrantRateUnknown
	}
}

// shareRates applies this core's current share to all rate limiters.
func (cor *Core) shareRates(now time.Time) {
	for _, ene := range cor.engines {
		if ene.pacing != nil {
			ene.pacing.divide(now, cor.rateShare())
		}
	}
}

// noteUnlimited records an answer without a rate limit; with one, the gateway would have sent a
// notice first. It ends a limit that was signaled before the run was granted. Runs granted by
// another core are ignored, since it isn't known when they were answered.
func (cor *Core) noteUnlimited(now time.Time, rnn *run) {
	lim := rnn.engine.pacing
	if lim != nil && !rnn.inherited && rnn.given.After(lim.namedAt) {
		cor.unlimit(now, rnn.engine)
	}
}

// allowance is the number of grants available to a service's waiting requests while all its
// engines in use have signaled a rate or are cold.
type allowance struct {
	// limited is false if some engine has no limit.
	holds bool
	// tokens is the sum of the engines' tokens, perSecond the sum of their rates.
	tokens    float64
	perSecond float64
}

// allowance returns the current allowance of the service's engines.
func (svc *service) allowance(now time.Time) allowance {
	var alw allowance
	if svc.paced == 0 {
		return alw
	}
	for _, ene := range svc.engines {
		switch {
		case ene.leaving():
		case ene.pacing == nil || !ene.pacing.holds(now):
			return allowance{}
		default:
			ene.pacing.fill(now)
			alw.tokens += ene.pacing.tokens
			alw.perSecond += ene.pacing.rate(now)
		}
	}
	alw.holds = alw.perSecond > 0
	return alw
}

// refuseSpent refuses a request at once if the allowance won't reach it before its maximum
// wait ends, and reports whether it did. The requests ahead of it in the queue use the allowance
// first.
func (cor *Core) refuseSpent(now time.Time, svc *service, wai *waiter, alw allowance, ahead int) bool {
	expired := wai.paced && !now.Before(wai.until)
	if !alw.holds || !expired && alw.reaches(ahead, wai.until.Sub(now)) {
		return false
	}
	cor.giveBack(wai.reserve.Account, cor.costOf(wai.reserve))
	cor.send(wai.gateway, reservation.Refuse{
		ID: wai.reserve.ID, Ballot: wai.reserve.Ballot, Reason: reservation.ReasonRate, RetryAfter: svc.returnAfter(now, wai, alw),
	}, svc.inputsOf(now, wai))
	return true
}

// suffices reports whether a request behind so many others may be granted within a time.
// Fractions of tokens at several engines are added up, so that no request is refused that could
// be granted.
func (alw allowance) reaches(ahead int, left time.Duration) bool {
	return alw.tokens+alw.perSecond*left.Seconds() >= float64(ahead+1)
}

// returnAfter returns when the client of a request refused for lack of allowance should retry:
// one after another at the rate of the allowance. A client whose turn would come too late gets
// the usual retry delay and takes no turn.
func (svc *service) returnAfter(now time.Time, wai *waiter, alw allowance) time.Duration {
	step := time.Duration(float64(time.Second) / alw.perSecond)
	next := now.Add(time.Duration(float64(len(svc.waiting)) * float64(step)))
	if svc.returnsAt.After(next) {
		next = svc.returnsAt
	}
	next = next.Add(step)
	latest := now.Add(time.Duration(maxRetryShare * float64(wai.reserve.Remaining)))
	if next.After(latest) {
		return retryAfter(wai.reserve)
	}
	svc.returnsAt = next
	return max(minBackoffSpread, next.Sub(now))
}

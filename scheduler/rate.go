package scheduler

import (
	"math"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// An overloaded engine signals the number of requests per second that it accepts from all hosts
// together, and a cold engine tolerates only the configured rate. The scheduler enforces both
// with a token bucket per engine: each grant takes a token, and the bucket fills at the lower of
// the two rates times this core's share of the limits. A bucket is empty when its core gets a share, whatever
// other cores granted in the last seconds.

const (
	// minRate is the lowest rate of grants in requests per second, applied even to an engine that
	// accepts none: only an answer shows that the limit has ended.
	minRate = 0.5
	// normalBurstTime is the capacity of an engine's token bucket, as the time to fill it, in
	// addition to one request. Requests arrive unevenly, and tokens that don't fit are lost to
	// the waiting requests.
	normalBurstTime = 500 * time.Millisecond
	// coldBurstTime is the same for a cold engine. A cold engine tolerates one and a half times its
	// rate within a second, and a host may use a grant up to a quarter of a second later.
	coldBurstTime = 200 * time.Millisecond
	// recheckInterval is the period after which an engine with a rate limit is granted a request
	// even if another engine would serve it better. Only an answer shows that the limit has
	// ended, and the known state should be a few seconds old at most.
	recheckInterval = 2 * time.Second
	// recentGrantsWindow is how long grants are kept for the dump and the decision log,
	// maxRecentGrants how many are kept.
	recentGrantsWindow = 4 * time.Second
	maxRecentGrants    = 128
)

// rateLimiter limits the grants of an engine to its signaled rate, and to the configured rate
// while it is cold.
type rateLimiter struct {
	// hasRate is set if the engine has signaled a rate, perSecond, the last time at signaledAt.
	hasRate    bool
	perSecond  float64
	signaledAt time.Time
	// coldUntil is when the engine is warm, coldRate the rate that applies until then, in
	// requests per second.
	coldUntil time.Time
	coldRate  float64
	// share is this core's share of the rate; 0 while it may spend none.
	share float64
	// tokens is the content of the bucket at the time filledAt.
	tokens   float64
	filledAt time.Time
	// grants are the recent grants, the newest last, and lastGrantAt the time of the last one.
	grants      []rateGrant
	lastGrantAt time.Time
}

// rateGrant is a grant that took a token.
type rateGrant struct {
	gateway request.Epoch
	at      time.Time
}

// isCold reports whether the engine is cold.
func (lim *rateLimiter) isCold(now time.Time) bool {
	return now.Before(lim.coldUntil)
}

// isActive reports whether the grants of the engine are limited.
func (lim *rateLimiter) isActive(now time.Time) bool {
	return lim.hasRate || lim.isCold(now)
}

// limit returns the engine's limit for all hosts, in requests per second; infinite without one.
func (lim *rateLimiter) limit(now time.Time) float64 {
	limit := math.Inf(1)
	if lim.hasRate {
		limit = max(minRate, lim.perSecond)
	}
	if lim.isCold(now) {
		limit = min(limit, lim.coldRate)
	}
	return limit
}

// rate returns this core's share of the limit, in requests per second.
func (lim *rateLimiter) rate(now time.Time) float64 {
	if lim.share == 0 || !lim.isActive(now) {
		return 0
	}
	return lim.share * lim.limit(now)
}

func (lim *rateLimiter) fill(now time.Time) {
	rate := lim.rate(now)
	if now.After(lim.filledAt) {
		lim.tokens += now.Sub(lim.filledAt).Seconds() * rate
		lim.filledAt = now
	}
	lim.tokens = min(lim.tokens, 1+rate*lim.burstTime(now).Seconds())
}

// burstTime returns the capacity of the bucket as the time to fill it.
func (lim *rateLimiter) burstTime(now time.Time) time.Duration {
	if lim.isCold(now) {
		return coldBurstTime
	}
	return normalBurstTime
}

// setRate applies the rate that the engine signaled.
func (lim *rateLimiter) setRate(now time.Time, perSecond float64) {
	lim.fill(now)
	lim.hasRate, lim.perSecond, lim.signaledAt = true, perSecond, now
}

// setCold marks the engine cold until a time, with the rate that applies until then.
func (lim *rateLimiter) setCold(now, until time.Time, perSecond float64) {
	lim.fill(now)
	lim.coldUntil, lim.coldRate = until, perSecond
}

// setShare applies this core's new share. The bucket is emptied when the share was or becomes 0.
func (lim *rateLimiter) setShare(now time.Time, share float64) {
	lim.fill(now)
	if lim.share == 0 || share == 0 {
		lim.tokens = 0
	}
	lim.share = share
}

// admits reports whether a request may be granted.
func (lim *rateLimiter) admits(now time.Time) bool {
	if lim == nil || !lim.isActive(now) {
		return true
	}
	lim.fill(now)
	return lim.tokens >= 1
}

// needsCheck reports whether the engine has signaled a rate but was granted no request within
// recheckInterval that would show whether the rate still applies.
func (lim *rateLimiter) needsCheck(now time.Time) bool {
	if lim == nil || !lim.hasRate {
		return false
	}
	checked := lim.signaledAt
	if lim.lastGrantAt.After(checked) {
		checked = lim.lastGrantAt
	}
	return now.Sub(checked) >= recheckInterval
}

// take takes a token for a grant.
func (lim *rateLimiter) take(now time.Time, gateway request.Epoch) {
	lim.tokens--
	lim.lastGrantAt = now
	lim.expireGrants(now)
	if len(lim.grants) == maxRecentGrants {
		lim.grants = lim.grants[1:]
	}
	lim.grants = append(lim.grants, rateGrant{gateway: gateway, at: now})
}

// refund puts back the token of a grant whose request wasn't sent.
func (lim *rateLimiter) refund(gateway request.Epoch) {
	lim.tokens++
	for idx, grt := range lim.grants {
		if grt.gateway == gateway {
			lim.grants = append(lim.grants[:idx:idx], lim.grants[idx+1:]...)
			return
		}
	}
}

func (lim *rateLimiter) expireGrants(now time.Time) {
	for len(lim.grants) > 0 && now.Sub(lim.grants[0].at) >= recentGrantsWindow {
		lim.grants = lim.grants[1:]
	}
}

// recentGrants returns the number of recent grants, up to the number that is kept.
func (lim *rateLimiter) recentGrants(now time.Time) int {
	lim.expireGrants(now)
	return len(lim.grants)
}

// applyRateLimit applies a signaled rate. A new limiter starts with an empty bucket, as if the
// requests granted before had used up the burst.
func (cor *Core) applyRateLimit(now time.Time, ene *engine, lim fleet.RateLimit) {
	ene.rateEnded = false
	cor.limiterOf(now, ene).setRate(now, lim.PerSecond)
}

// limiterOf returns the engine's rate limiter, creating it if necessary.
func (cor *Core) limiterOf(now time.Time, ene *engine) *rateLimiter {
	if ene.limiter == nil {
		ene.limiter = &rateLimiter{share: cor.spendable(), filledAt: now}
		cor.service(ene.Service).limitedEngines++
	}
	return ene.limiter
}

// clearRate ends an engine's signaled rate limit.
func (cor *Core) clearRate(now time.Time, ene *engine) {
	if ene.limiter == nil || !ene.limiter.hasRate {
		return
	}
	ene.limiter.hasRate, ene.rateEnded = false, true
	cor.dropLimiter(now, ene)
}

// dropLimiter removes the engine's rate limiter if no limit is in force. The engine may have been
// deregistered before the answer that ended the limit arrived; the service then doesn't count it
// any more.
func (cor *Core) dropLimiter(now time.Time, ene *engine) {
	if ene.limiter == nil || ene.limiter.isActive(now) {
		return
	}
	ene.limiter = nil
	if cor.engines[ene.ID] == ene {
		cor.service(ene.Service).limitedEngines--
	}
}

// grantRate returns the state of the engine's rate limit for a grant. It informs a gateway that the
// answer to another gateway has ended the limit.
func (ene *engine) grantRate() reservation.GrantRate {
	switch {
	case ene.limiter != nil && ene.limiter.hasRate:
		return reservation.GrantRateLimited
	case ene.rateEnded:
		return reservation.GrantRateUnlimited
	default:
		return reservation.GrantRateUnknown
	}
}

// recordUnlimited ends the engine's signaled limit if the answered run was granted after the
// signal: the answer carried no limit, since the gateway would have sent a notice of it first.
// Inherited runs are ignored, since their answers may be older than the limit.
func (cor *Core) recordUnlimited(now time.Time, rnn *run) {
	lim := rnn.engine.limiter
	if lim != nil && !rnn.inherited && rnn.grantedAt.After(lim.signaledAt) {
		cor.clearRate(now, rnn.engine)
	}
}

// allowance is the number of grants available to a service's waiting requests while all its
// engines in use have signaled a rate or are cold.
type allowance struct {
	// limited is false if some engine has no limit.
	limited bool
	// tokens is the sum of the engines' tokens, perSecond the sum of their rates.
	tokens    float64
	perSecond float64
}

// allowance returns the current allowance of the service's engines.
func (svc *service) allowance(now time.Time) allowance {
	var alw allowance
	if svc.limitedEngines == 0 {
		return alw
	}
	for _, ene := range svc.engines {
		switch {
		case ene.isDraining():
		case ene.limiter == nil || !ene.limiter.isActive(now):
			return allowance{}
		default:
			ene.limiter.fill(now)
			alw.tokens += ene.limiter.tokens
			alw.perSecond += ene.limiter.rate(now)
		}
	}
	alw.limited = alw.perSecond > 0
	return alw
}

// refuseRateLimited refuses a request at once if the allowance won't reach it before its maximum
// wait ends, and reports whether it did. The requests ahead of it in the queue use the allowance
// first.
func (cor *Core) refuseRateLimited(now time.Time, svc *service, wai *waiter, alw allowance, ahead int) bool {
	expired := wai.rateLimited && !now.Before(wai.until)
	if !alw.limited || !expired && alw.suffices(ahead, wai.until.Sub(now)) {
		return false
	}
	cor.refund(wai.reserve.Account, wai.reserve.Cost)
	cor.send(wai.gateway, reservation.Refuse{
		ID: wai.reserve.ID, Ballot: wai.reserve.Ballot, Reason: reservation.ReasonRate, RetryAfter: svc.rateRetryAfter(now, wai, alw),
	}, svc.inputsFor(now, wai))
	return true
}

// suffices reports whether a request with so many others ahead of it may be granted within the
// time left. Fractions of tokens at several engines are added up, so that no request is refused
// that could be granted.
func (alw allowance) suffices(ahead int, left time.Duration) bool {
	return alw.tokens+alw.perSecond*left.Seconds() >= float64(ahead+1)
}

// rateRetryAfter returns when the client of a request refused for lack of allowance should retry:
// one after another at the rate of the allowance. A client whose turn would come too late gets
// the usual retry delay and takes no turn.
func (svc *service) rateRetryAfter(now time.Time, wai *waiter, alw allowance) time.Duration {
	step := time.Duration(float64(time.Second) / alw.perSecond)
	next := now.Add(time.Duration(float64(svc.queue.Len()) * float64(step)))
	if svc.lastRetryAt.After(next) {
		next = svc.lastRetryAt
	}
	next = next.Add(step)
	latest := now.Add(time.Duration(maxRetryShare * float64(wai.reserve.Remaining)))
	if next.After(latest) {
		return RetryAfter(wai.reserve)
	}
	svc.lastRetryAt = next
	return max(minBackoffJitter, next.Sub(now))
}

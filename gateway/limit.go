package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
)

// burstSeconds is the capacity of an account's token bucket, in seconds of its rate.
const burstSeconds = 2.0

// inFlightRetryAfter is the Retry-After of a request rejected by the in-flight limit.
const inFlightRetryAfter = time.Second

// limiter enforces the limits of client accounts. Each gateway enforces an equal
// share of a limit, so that a check needs no message to another host.
type limiter struct {
	buckets map[string]*bucket
}

type bucket struct {
	tokens   float64
	filledAt time.Time
}

func newLimiter() *limiter {
	return &limiter{buckets: make(map[string]*bucket)}
}

// take counts one request of the account. If the request exceeds a limit, it returns
// the final answer and true. inFlight includes the request itself.
func (lim *limiter) take(now time.Time, conf resource.Configuration, account string, gateways, inFlight int) (Final, bool) {
	acc, known := conf.ClientAccount(account)
	if !known {
		return Final{}, false
	}
	gateways = max(1, gateways)
	if acc.MaxInFlight > 0 && inFlight > ceilDiv(acc.MaxInFlight, gateways) {
		return Final{Cause: CauseAccountInFlight, Outcome: request.NotRun, Retry: true, RetryAfter: inFlightRetryAfter}, true
	}
	if acc.RequestsPerSecond <= 0 {
		return Final{}, false
	}
	wait := lim.bucket(account).take(now, acc.RequestsPerSecond/float64(gateways))
	if wait == 0 {
		return Final{}, false
	}
	return Final{Cause: CauseAccountRate, Outcome: request.NotRun, Retry: true, RetryAfter: wait}, true
}

func ceilDiv(num, den int) int {
	return (num + den - 1) / den
}

func (lim *limiter) bucket(account string) *bucket {
	buc := lim.buckets[account]
	if buc == nil {
		buc = &bucket{}
		lim.buckets[account] = buc
	}
	return buc
}

// take takes one token and returns 0, or returns the time until one is available.
// rate is in tokens per second.
func (buc *bucket) take(now time.Time, rate float64) time.Duration {
	capacity := max(1, rate*burstSeconds)
	if buc.filledAt.IsZero() {
		buc.tokens = capacity
	} else {
		buc.tokens = min(capacity, buc.tokens+now.Sub(buc.filledAt).Seconds()*rate)
	}
	buc.filledAt = now
	if buc.tokens >= 1 {
		buc.tokens--
		return 0
	}
	return time.Duration((1 - buc.tokens) / rate * float64(time.Second))
}

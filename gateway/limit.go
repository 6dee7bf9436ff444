package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
)

// burst is how many seconds' worth of an account's rate may come at once.
const burst = 2.0

// busyRetry is when to come back after the in-flight limit.
const busyRetry = time.Second

// limiter holds client accounts to their limits. Each gateway enforces an even
// part of a limit, so that no request needs a message for it.
type limiter struct {
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	filled time.Time
}

func newLimiter() *limiter {
	return &limiter{buckets: make(map[string]*bucket)}
}

// take counts one request of the account. It returns the final answer for a
// request over a limit.
func (lim *limiter) take(now time.Time, conf resource.Configuration, account string, gateways, inFlight int) (Final, bool) {
	acc, known := conf.ClientAccount(account)
	if !known {
		return Final{}, false
	}
	gateways = max(1, gateways)
	if acc.MaxInFlight > 0 && inFlight > ceilDiv(acc.MaxInFlight, gateways) {
		return Final{Cause: CauseAccountBusy, Outcome: request.NotRun, Retry: true, RetryAfter: busyRetry}, true
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

// take takes one token; it returns 0, or how long until there is one.
func (buc *bucket) take(now time.Time, rate float64) time.Duration {
	full := max(1, rate*burst)
	if buc.filled.IsZero() {
		buc.tokens = full
	} else {
		buc.tokens = min(full, buc.tokens+now.Sub(buc.filled).Seconds()*rate)
	}
	buc.filled = now
	if buc.tokens >= 1 {
		buc.tokens--
		return 0
	}
	return time.Duration((1 - buc.tokens) / rate * float64(time.Second))
}

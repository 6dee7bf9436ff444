package scheduler

import (
	"time"

	"lynxwell.dev/lynxwell/route"
)

// bucket is a client account's limit: it fills at a rate up to the burst.
type bucket struct {
	rate   float64
	burst  float64
	level  float64
	filled time.Time
}

// newBuckets returns the buckets of a configuration's accounts, divided among
// the hosts. An account that was known keeps its level, as far as it still fits.
func newBuckets(now time.Time, former map[string]*bucket, accounts []route.Account, hosts int) map[string]*bucket {
	buckets := make(map[string]*bucket)
	for _, acc := range accounts {
		if acc.Rate <= 0 {
			continue
		}
		buc := &bucket{rate: acc.Rate / float64(hosts), burst: acc.Burst / float64(hosts), filled: now}
		buc.level = buc.burst
		if old := former[acc.Name]; old != nil {
			old.fill(now)
			buc.level = min(buc.burst, old.level)
		}
		buckets[acc.Name] = buc
	}
	return buckets
}

func (buc *bucket) fill(now time.Time) {
	if now.After(buc.filled) {
		buc.level = min(buc.burst, buc.level+now.Sub(buc.filled).Seconds()*buc.rate)
		buc.filled = now
	}
}

// take takes the cost, or returns after what time it could be taken. A cost over
// the burst is let through once the bucket is full, and leaves a debt.
func (buc *bucket) take(now time.Time, cost float64) (bool, time.Duration) {
	buc.fill(now)
	need := min(cost, buc.burst)
	if buc.level >= need {
		buc.level -= cost
		return true, 0
	}
	return false, time.Duration((need - buc.level) / buc.rate * float64(time.Second))
}

// giveBack returns the cost of a request that never ran.
func (buc *bucket) giveBack(cost float64) {
	buc.level = min(buc.burst, buc.level+cost)
}

// windowSlots is into how many parts a window of repeats is divided.
const windowSlots = 10

// repeats counts a service's requests and how many of them were sent again.
type repeats struct {
	cfg      Repeats
	requests [windowSlots]float64
	repeated [windowSlots]float64
	current  int64
}

// advance forgets what has left the window.
func (rep *repeats) advance(now time.Time) {
	slot := now.UnixNano() / int64(max(1, rep.cfg.Window/windowSlots))
	if slot-rep.current >= windowSlots {
		rep.requests, rep.repeated = [windowSlots]float64{}, [windowSlots]float64{}
	}
	for rep.current < slot && slot-rep.current < windowSlots {
		rep.current++
		rep.requests[rep.current%windowSlots] = 0
		rep.repeated[rep.current%windowSlots] = 0
	}
	rep.current = slot
}

// count notes a request's first attempt.
func (rep *repeats) count(now time.Time) {
	rep.advance(now)
	rep.requests[rep.current%windowSlots]++
}

// budgetMargin is the part of the budget that is used: the window of those who
// judge slides, and this one moves by tenths.
const budgetMargin = 0.7

// take counts a repeat if the budget allows it.
func (rep *repeats) take(now time.Time, hosts int) bool {
	rep.advance(now)
	var requests, repeated float64
	for idx := range windowSlots {
		requests += rep.requests[idx]
		repeated += rep.repeated[idx]
	}
	if repeated+1 > budgetMargin*(rep.cfg.Ratio*requests+rep.cfg.Slack/float64(hosts)) {
		return false
	}
	rep.repeated[rep.current%windowSlots]++
	return true
}

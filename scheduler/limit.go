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
	// alone says that it holds this host's own part only, since others decided for
	// all.
	alone bool
}

const (
	// slackInBurst is the part of the slack that an account's burst is widened by:
	// cor.parts see requests in another order than their callers sent them.
	slackInBurst = 0.25
	// slackAtStart is the part of the slack that a scheduler which knows nothing of
	// the spending so far begins with. Together with the burst that a former one
	// may have given out, and this twice, it stays within the slack.
	slackAtStart = 0.3
	// overshootAtStart is the part of what may be served beyond the limit in a window
	// that such a scheduler begins with too: hosts that are back after all were lost
	// meet all callers at once. Twice this in a window stays within it.
	overshootAtStart = 0.4
	// headroomFactor is how many times its own cost a request leaves to more urgent
	// ones, for each step of urgency: small requests always fit into a bucket that
	// is nearly empty, and would keep the large urgent ones out.
	headroomFactor = 6.0
	// admitShare is the part of the burst that lets a request of any size in; what
	// it costs beyond that is a debt. Else the largest would never find enough.
	admitShare = 0.04
)

// newBuckets returns the buckets of the configuration's accounts, this scheduler's
// part of them. An account that was known keeps its level, as far as it still fits.
func (cor *Core) newBuckets(now time.Time) map[string]*bucket {
	buckets := make(map[string]*bucket)
	for _, acc := range cor.table.Configuration().Accounts {
		if acc.Rate <= 0 {
			continue
		}
		buc := &bucket{rate: acc.Rate / cor.parts, burst: cor.cfg.widenedBurst(acc) / cor.parts, filled: now}
		buc.level = min(buc.burst, cor.cfg.startLevel(acc)/cor.parts)
		if old := cor.buckets[acc.Name]; old != nil {
			old.fill(now)
			buc.level = min(buc.burst, old.level)
			buc.alone = old.alone
		}
		buc.alone = buc.alone || (cor.hosts > 1 && cor.parts >= float64(cor.hosts))
		buckets[acc.Name] = buc
	}
	return buckets
}

// limitSlack returns the slack of an account; it is told in tokens.
func (cfg Config) limitSlack(acc route.Account) float64 {
	if acc.ByTokens {
		return cfg.LimitSlack
	}
	return acc.Burst / 2
}

// widenedBurst returns an account's burst with its part of the slack.
func (cfg Config) widenedBurst(acc route.Account) float64 {
	return acc.Burst + slackInBurst*cfg.limitSlack(acc)
}

// startLevel returns what a scheduler that knows of no spending begins with.
func (cfg Config) startLevel(acc route.Account) float64 {
	overshoot := cfg.LimitOvershoot * (acc.Rate*cfg.LimitWindow.Seconds() + acc.Burst)
	return slackAtStart*cfg.limitSlack(acc) + overshootAtStart*overshoot
}

func (buc *bucket) fill(now time.Time) {
	if now.After(buc.filled) {
		buc.level = min(buc.burst, buc.level+now.Sub(buc.filled).Seconds()*buc.rate)
		buc.filled = now
	}
}

// take takes the cost, unless too little is left.
func (buc *bucket) take(now time.Time, cost float64, urgency int) bool {
	buc.fill(now)
	need := min(min(cost, admitShare*buc.burst)*(1+headroomFactor*float64(urgency)), buc.burst)
	if buc.level < need {
		return false
	}
	buc.level -= cost
	return true
}

// charge takes a cost that another scheduler admitted, down to an empty burst
// below nothing; a cost below nothing is a credit.
func (buc *bucket) charge(now time.Time, cost float64) {
	buc.fill(now)
	buc.level = min(buc.burst, max(-buc.burst, buc.level-cost))
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
func (rep *repeats) take(now time.Time, parts float64) bool {
	rep.advance(now)
	var requests, repeated float64
	for idx := range windowSlots {
		requests += rep.requests[idx]
		repeated += rep.repeated[idx]
	}
	if repeated+1 > budgetMargin*(rep.cfg.Ratio*requests+rep.cfg.Slack/parts) {
		return false
	}
	rep.repeated[rep.current%windowSlots]++
	return true
}

package scheduler

import (
	"maps"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
)

// tellerKey names what a gateway told of one account.
type tellerKey struct {
	gateway request.Epoch
	account string
}

// creditSpent takes what a gateway tells of its debt when this core begins to decide
// for it. Each host has an equal part of an account's burst in mind; what its debt
// leaves of that is added to the bucket. A host that tells nothing, since it was
// lost, is taken to have used its whole part. So a coordinator that takes over goes
// on where the former one ended, and the sum stays within the limit.
func (cor *Core) creditSpent(now time.Time, from request.Epoch, spt reservation.Spent) {
	buc := cor.buckets[spt.Account]
	if buc == nil || cor.hosts == 0 {
		return
	}
	if buc.alone {
		// What is left of this host's own part is in what the gateways tell.
		buc.alone = false
		buc.level = min(buc.level, 0)
	}
	key := tellerKey{gateway: from, account: spt.Account}
	last, told := cor.told[key]
	if asked := cor.asked[from]; asked.After(last) {
		last, told = asked, true
	}
	if told && now.Sub(last) < cor.cfg.LimitWindow {
		// The bucket has this gateway's part already, or what it spent of it.
		return
	}
	cor.told[key] = now
	whole := cor.parts * buc.burst
	buc.charge(now, spt.Debt-whole/float64(cor.hosts))
}

// StartDebt returns the debt of a host that knows of no spending yet: so much that
// all hosts together begin with the level that a lone scheduler begins with.
func (cfg Config) StartDebt(acc route.Account, hosts int) float64 {
	return (cfg.widenedBurst(acc) - cfg.startLevel(acc)) / float64(max(1, hosts))
}

// forgetAsked forgets gateways that had others decide for so long that what they
// spent or were given here counts no more.
func (cor *Core) forgetAsked(now time.Time) {
	maps.DeleteFunc(cor.asked, func(_ request.Epoch, last time.Time) bool { return now.Sub(last) >= cor.cfg.LimitWindow })
	maps.DeleteFunc(cor.told, func(_ tellerKey, last time.Time) bool { return now.Sub(last) >= cor.cfg.LimitWindow })
}

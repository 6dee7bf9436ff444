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

// tellerShare is the part that a gateway told of, as far as the bucket had room for
// it, and when.
type tellerShare struct {
	share float64
	at    time.Time
}

// creditSpent takes what a gateway tells of its debt when this core begins to decide
// for it. Each host has an equal part of an account's burst in mind; what its debt
// leaves of that is added to the bucket. A host that tells nothing, since it was
// lost, is taken to have used its whole part. So a coordinator that takes over goes
// on where the former one ended, and the sum stays within the limit. One that tells
// again has its part corrected: hosts that start together don't know one another in
// their first milliseconds, and took parts of a third or a half for theirs.
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
	former, told := cor.told[key]
	again := told && now.Sub(former.at) < cor.cfg.LimitWindow
	if asked, knows := cor.asked[from]; !again && knows && now.Sub(asked) < cor.cfg.LimitWindow {
		// The bucket has this gateway's part already, or what it spent of it.
		return
	}
	owed := spt.Debt
	if again {
		owed = former.share
	}
	buc.fill(now)
	before := buc.level
	buc.charge(now, owed-spt.Share)
	cor.told[key] = tellerShare{share: owed + buc.level - before, at: now}
}

// Burst returns what all hosts together may spend at once of an account's limit.
func (cfg Config) Burst(acc route.Account) float64 {
	return cfg.widenedBurst(acc)
}

// StartDebt returns what all hosts together owe that know of no spending yet: so much
// that they begin with the level that a lone scheduler begins with.
func (cfg Config) StartDebt(acc route.Account) float64 {
	return cfg.widenedBurst(acc) - cfg.startLevel(acc)
}

// forgetAsked forgets gateways that had others decide for so long that what they
// spent or were given here counts no more.
func (cor *Core) forgetAsked(now time.Time) {
	maps.DeleteFunc(cor.asked, func(_ request.Epoch, last time.Time) bool { return now.Sub(last) >= cor.cfg.LimitWindow })
	maps.DeleteFunc(cor.told, func(_ tellerKey, tes tellerShare) bool { return now.Sub(tes.at) >= cor.cfg.LimitWindow })
}

package entry

import (
	"cmp"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
)

// accountDebt is what this host's requests still owe to an account's limit: their cost, less what
// the host's equal share of the rate has repaid since.
type spending struct {
	debt float64
	// startDebt is the debt of all hosts together while no spending is known, and startDebtLeft
	// is what is left of it. This host reports its share of both.
	start  float64
	unpaid float64
	// rate is that of all hosts together, in cost units per second.
	rate  float64
	hosts int
	at    time.Time
}

// settle applies the repayment up to now; the start debt is repaid first.
func (adb *spending) settle(now time.Time) {
	if !now.After(adb.at) {
		return
	}
	paid := adb.rate * now.Sub(adb.at).Seconds()
	adb.at = now
	repaid := min(adb.unpaid, paid)
	adb.unpaid -= repaid
	adb.debt = max(0, adb.debt-adb.part(paid-repaid))
}

// hostShare returns this host's share of an amount that belongs to all hosts.
func (adb *spending) part(whole float64) float64 {
	return whole / float64(max(1, adb.hosts))
}

// message returns the message that reports the debt to a coordinator; burst is that of all hosts
// together.
func (adb *spending) told(account string, burst float64) reservation.Spent {
	return reservation.Spent{Account: account, Debt: adb.debt - adb.part(adb.start-adb.unpaid), Share: adb.part(burst - adb.start)}
}

// limitedAccounts returns the accounts that have a limit.
func (bro *desk) limitedAccounts() []route.Account {
	tab := bro.host.belief.Load().table
	if tab == nil {
		return nil
	}
	var limited []route.Account
	for _, acc := range tab.Configuration().Accounts {
		if acc.Rate > 0 {
			limited = append(limited, acc)
		}
	}
	return limited
}

// changeSpending updates the debts to the current accounts and hosts; the mutex is held. It is
// called at each change of the store and returns early if neither has changed, since most changes
// concern engines.
func (bro *desk) changeSpending(now time.Time) {
	hosts := max(1, len(bro.roster.members))
	tab := bro.host.belief.Load().table
	if tab == bro.spentTable && hosts == bro.spentHosts {
		return
	}
	bro.spentTable, bro.spentHosts = tab, hosts
	cfg := schedulerConfig(bro.host)
	var reports []reservation.Spent
	for _, acc := range bro.limitedAccounts() {
		adb := bro.spent[acc.Name]
		if adb == nil {
			start := cfg.StartDebt(acc)
			adb = &spending{start: start, unpaid: start, hosts: hosts, at: now}
			bro.spent[acc.Name] = adb
		}
		adb.settle(now)
		adb.rate = acc.Rate
		changed := adb.hosts != hosts
		adb.hosts = hosts
		if changed && adb.unpaid > 0 && bro.active != bro.host.epoch {
			reports = append(reports, adb.told(acc.Name, cfg.Burst(acc)))
		}
	}
	for _, spt := range mostOwed(reports) {
		bro.tell(bro.active, spt)
	}
}

// noteSpent adds the cost of a grant to the debt of its account; the mutex is held.
func (bro *desk) noteSpent(res reservation.Reserve) {
	adb := bro.spent[res.Account]
	if adb == nil || res.Attempt > 0 {
		return
	}
	adb.settle(bro.host.clock.Now())
	adb.debt += res.Cost
}

// maxTold bounds the accounts that are reported to a new coordinator: at most a quarter
// of the queue of one session. For the others the coordinator assumes that this host has used up
// its share, which the rate soon restores.
const maxTold = 128

// tellSpent reports the largest debts of this host to the new coordinator; the mutex is held.
func (bro *desk) tellSpent(chosen request.Epoch) {
	now := bro.host.clock.Now()
	cfg := schedulerConfig(bro.host)
	var reports []reservation.Spent
	for _, acc := range bro.limitedAccounts() {
		adb := bro.spent[acc.Name]
		if adb == nil {
			continue
		}
		adb.settle(now)
		reports = append(reports, adb.told(acc.Name, cfg.Burst(acc)))
	}
	for _, spt := range mostOwed(reports) {
		bro.tell(chosen, spt)
	}
}

// mostOwed returns the largest debts, at most maxTold.
func mostOwed(debts []reservation.Spent) []reservation.Spent {
	if len(debts) <= maxTold {
		return debts
	}
	slices.SortStableFunc(debts, func(one, two reservation.Spent) int { return cmp.Compare(two.Debt, one.Debt) })
	return debts[:maxTold]
}

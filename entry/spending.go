package entry

import (
	"cmp"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
)

// spending is what this host's requests still owe an account's limit: what they
// cost, less the host's equal part of the rate since.
type spending struct {
	debt float64
	// start is what all hosts together owe that know of no spending yet, and unpaid
	// what is left of it; both are told by this host's part.
	start  float64
	unpaid float64
	// rate is that of all hosts, a second.
	rate  float64
	hosts int
	at    time.Time
}

// settle lets time pass: the rate pays what was owed at the start first.
func (spe *spending) settle(now time.Time) {
	if !now.After(spe.at) {
		return
	}
	paid := spe.rate * now.Sub(spe.at).Seconds()
	spe.at = now
	old := min(spe.unpaid, paid)
	spe.unpaid -= old
	spe.debt = max(0, spe.debt-spe.part(paid-old))
}

// part returns this host's part of what is all hosts'.
func (spe *spending) part(whole float64) float64 {
	return whole / float64(max(1, spe.hosts))
}

// told returns what a coordinator is told; burst is all hosts'.
func (spe *spending) told(account string, burst float64) reservation.Spent {
	return reservation.Spent{Account: account, Debt: spe.debt - spe.part(spe.start-spe.unpaid), Share: spe.part(burst - spe.start)}
}

// limitedAccounts returns the accounts that have a limit.
func (des *desk) limitedAccounts() []route.Account {
	tab := des.host.belief.Load().table
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

// changeSpending takes the accounts and the hosts as they are now; the mutex is
// held. It is called at each change of the store, most of which are of engines.
func (des *desk) changeSpending(now time.Time) {
	hosts := max(1, len(des.roster.members))
	tab := des.host.belief.Load().table
	if tab == des.spentTable && hosts == des.spentHosts {
		return
	}
	des.spentTable, des.spentHosts = tab, hosts
	cfg := schedulerConfig(des.host)
	var again []reservation.Spent
	for _, acc := range des.limitedAccounts() {
		spe := des.spent[acc.Name]
		if spe == nil {
			start := cfg.StartDebt(acc)
			spe = &spending{start: start, unpaid: start, hosts: hosts, at: now}
			des.spent[acc.Name] = spe
		}
		spe.settle(now)
		spe.rate = acc.Rate
		changed := spe.hosts != hosts
		spe.hosts = hosts
		if changed && spe.unpaid > 0 && des.active != des.host.epoch {
			again = append(again, spe.told(acc.Name, cfg.Burst(acc)))
		}
	}
	for _, spt := range mostOwed(again) {
		des.tell(des.active, spt)
	}
}

// noteSpent remembers what a grant took from its account; the mutex is held.
func (des *desk) noteSpent(res reservation.Reserve) {
	spe := des.spent[res.Account]
	if spe == nil || res.Attempt > 0 {
		return
	}
	spe.settle(des.host.clock.Now())
	spe.debt += res.Cost
}

// maxTold bounds the accounts that a new coordinator is told of: a quarter of what
// waits for one session at most. Of the others it takes this host to have used its
// part, which the rate gives back soon.
const maxTold = 128

// tellSpent tells the new coordinator what this host owes, of the accounts that it
// owes most; the mutex is held.
func (des *desk) tellSpent(chosen request.Epoch) {
	now := des.host.clock.Now()
	cfg := schedulerConfig(des.host)
	var told []reservation.Spent
	for _, acc := range des.limitedAccounts() {
		spe := des.spent[acc.Name]
		if spe == nil {
			continue
		}
		spe.settle(now)
		told = append(told, spe.told(acc.Name, cfg.Burst(acc)))
	}
	for _, spt := range mostOwed(told) {
		des.tell(chosen, spt)
	}
}

// mostOwed returns the largest debts, as many as a coordinator is told of.
func mostOwed(debts []reservation.Spent) []reservation.Spent {
	if len(debts) <= maxTold {
		return debts
	}
	slices.SortStableFunc(debts, func(one, two reservation.Spent) int { return cmp.Compare(two.Debt, one.Debt) })
	return debts[:maxTold]
}

package entry

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
)

// spending is what this host's requests still owe an account's limit: what they
// cost, less the host's equal part of the rate since.
type spending struct {
	debt float64
	// rate is the host's part of the account's, a second.
	rate float64
	at   time.Time
}

// settle lets time pass.
func (spe *spending) settle(now time.Time) {
	if now.After(spe.at) {
		spe.debt = max(0, spe.debt-spe.rate*now.Sub(spe.at).Seconds())
		spe.at = now
	}
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

// changeSpending takes the accounts and the hosts as they are now; the mutex is held.
func (des *desk) changeSpending(now time.Time) {
	hosts := max(1, len(des.roster.members))
	for _, acc := range des.limitedAccounts() {
		spe := des.spent[acc.Name]
		if spe == nil {
			spe = &spending{debt: schedulerConfig(des.host).StartDebt(acc, hosts), at: now}
			des.spent[acc.Name] = spe
		}
		spe.settle(now)
		spe.rate = acc.Rate / float64(hosts)
	}
}

// noteSpent remembers what a grant took from its account; the mutex is held.
func (des *desk) noteSpent(res reservation.Reserve) {
	spe := des.spent[res.Account]
	if spe == nil || res.Attempt > 0 {
		return
	}
	spe.settle(time.Now())
	spe.debt += res.Cost
}

// tellSpent tells the new coordinator what this host owes; the mutex is held.
func (des *desk) tellSpent(chosen request.Epoch) {
	now := time.Now()
	for _, acc := range des.limitedAccounts() {
		spe := des.spent[acc.Name]
		if spe == nil {
			continue
		}
		spe.settle(now)
		des.tell(chosen, reservation.Spent{Account: acc.Name, Debt: spe.debt})
	}
}

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
)

const (
	limitWindow    = 8 * time.Second
	limitOvershoot = 0.1
	limitSlack     = 1000.0
)

// cluster is a number of hosts, each with a core; one of them is the coordinator.
type cluster struct {
	now         time.Time
	cores       []*scheduler.Core
	coordinator int
	acc         route.Account
	granted     []grantedCost
	// debts are the gateways' debts as of settledAt.
	debts        []float64
	settledAt    time.Time
	reservations int
}

// grantedCost is the cost of one granted request.
type grantedCost struct {
	at   time.Time
	cost float64
}

func newCluster(hosts int, acc route.Account) *cluster {
	tab, err := route.NewTable(route.Configuration{Version: 1, Accounts: []route.Account{acc}})
	if err != nil {
		panic(err)
	}
	clu := &cluster{now: time.Unix(1000, 0), settledAt: time.Unix(1000, 0), coordinator: -1, acc: acc, debts: make([]float64, hosts)}
	for idx := range hosts {
		cor := scheduler.New(coreConfig(request.Epoch(idx + 1)))
		cor.Handle(clu.now, scheduler.ShareChanged{Divisor: float64(hosts), Hosts: hosts})
		cor.Handle(clu.now, scheduler.EnginesChanged{Engines: []fleet.Engine{plainEngine("e", 1_000_000)}})
		cor.Handle(clu.now, scheduler.ConfigurationChanged{Table: tab})
		clu.cores = append(clu.cores, cor)
	}
	return clu
}

// takeOver makes another host the coordinator, and has all gateways report their debts to it.
func (clu *cluster) takeOver(next int) {
	hosts := len(clu.cores)
	clu.settle()
	if clu.coordinator >= 0 {
		clu.cores[clu.coordinator].Handle(clu.now, scheduler.ShareChanged{Divisor: float64(hosts), Hosts: hosts})
	}
	clu.coordinator = next
	for gateway := range hosts {
		clu.cores[next].Handle(clu.now, scheduler.ShareChanged{Divisor: float64(hosts) / float64(gateway+1), Hosts: hosts})
		clu.cores[next].Handle(clu.now, scheduler.Received{From: request.Epoch(gateway + 1), Message: reservation.AccountDebt{
			Account: "kitchen", Debt: clu.debts[gateway], Share: clu.share(hosts),
		}})
	}
}

// coreConfig returns the configuration of a core; cores differ only in the epoch.
func coreConfig(self request.Epoch) scheduler.Config {
	return scheduler.Config{
		Self: self, RetryBudget: scheduler.RetryBudget{Ratio: 1, Window: time.Second, Slack: 10},
		LimitSlack: limitSlack, LimitWindow: limitWindow, LimitOvershoot: limitOvershoot,
	}
}

// share returns a gateway's share of the burst if it knows the given number of hosts.
func (clu *cluster) share(hosts int) float64 {
	return coreConfig(0).Burst(clu.acc) / float64(hosts)
}

// settle reduces the gateways' debts by their shares of the rate since the last call.
func (clu *cluster) settle() {
	share := clu.acc.Rate / float64(len(clu.cores)) * clu.now.Sub(clu.settledAt).Seconds()
	for idx := range clu.debts {
		clu.debts[idx] = max(0, clu.debts[idx]-share)
	}
	clu.settledAt = clu.now
}

// costSince returns the total cost granted since the given time.
func (clu *cluster) costSince(since time.Time) float64 {
	total := 0.0
	for _, grt := range clu.granted {
		if grt.at.After(since) {
			total += grt.cost
		}
	}
	return total
}

// reserve places a reservation from a gateway and reports whether it was granted.
func (clu *cluster) reserve(gateway int, cost float64) bool {
	clu.reservations++
	name := fmt.Sprint("r", clu.reservations)
	res := plainReservation(name)
	res.Account, res.Cost = "kitchen", cost
	sends := clu.cores[clu.coordinator].Handle(clu.now, scheduler.Received{From: request.Epoch(gateway + 1), Message: res})
	if grantedEngine(sends, name) == "" {
		return false
	}
	clu.granted = append(clu.granted, grantedCost{clu.now, cost})
	clu.settle()
	clu.debts[gateway] += cost
	return true
}

func TestNewCoordinatorContinuesAccountLimit(t *testing.T) {
	acc := route.Account{Name: "kitchen", Rate: 1000, Burst: 2000, ByTokens: true}
	clu := newCluster(4, acc)
	clu.takeOver(0)
	// Requests with a cost of 50 every 100 ms use half of the rate, so the limit is never reached.
	spend := func(span time.Duration) (refused int) {
		for range int(span / (100 * time.Millisecond)) {
			clu.now = clu.now.Add(100 * time.Millisecond)
			if !clu.reserve(clu.reservations%4, 50) {
				refused++
			}
		}
		return refused
	}
	spend(10 * time.Second)
	clu.takeOver(1)
	granted := 0
	for range 100 {
		if clu.reserve(granted%4, 50) {
			granted++
		}
	}
	// The burst alone allows 40 requests at once; without the gateways' debt reports, 11 are granted.
	assert.Assert(t, granted >= 40, "%d", granted)
	assert.Equal(t, spend(time.Second)+spend(time.Second) <= 20, true)
}

// Hosts that start together know only some of the others at first, so they report shares to the
// coordinator that are too large, or far too small since the start debt is divided too. After they
// have reported again, all of them together start with the same allowance as a single scheduler.
func TestHostsStartingTogetherGetOneStartAllowance(t *testing.T) {
	acc := route.Account{Name: "kitchen", Rate: 1000, Burst: 4000, ByTokens: true}
	const hosts, cost = 6, 10
	cfg := coreConfig(1)
	want := int((cfg.Burst(acc) - cfg.StartDebt(acc)) / cost)
	clu := newCluster(hosts, acc)
	clu.coordinator = 0
	report := func(gateway, known int) {
		clu.cores[0].Handle(clu.now, scheduler.Received{From: request.Epoch(gateway + 1), Message: reservation.AccountDebt{
			Account: "kitchen", Share: (cfg.Burst(acc) - cfg.StartDebt(acc)) / float64(known),
		}})
	}
	for gateway := range hosts {
		clu.cores[0].Handle(clu.now, scheduler.ShareChanged{Divisor: float64(hosts) / float64(gateway+1), Hosts: hosts})
		report(gateway, 1+gateway%hosts)
	}
	for gateway := range hosts {
		report(gateway, hosts)
	}
	got := countGranted(clu, cost)
	assert.Assert(t, got <= want && got >= want-hosts, "%d granted, %d by a single scheduler", got, want)
	assert.Assert(t, want > 40, "%d", want)
}

// countGranted returns how many requests are granted without any time passing.
func countGranted(clu *cluster, cost float64) int {
	count := 0
	for clu.reserve(0, cost) {
		count++
	}
	return count
}

func TestAccountLimitHoldsAcrossCoordinatorChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		acc := route.Account{
			Name: "kitchen", ByTokens: true,
			Rate: rapid.Float64Range(200, 5000).Draw(t, "rate"), Burst: rapid.Float64Range(1000, 20_000).Draw(t, "burst"),
		}
		hosts := rapid.IntRange(2, 7).Draw(t, "hosts")
		clu := newCluster(hosts, acc)
		clu.takeOver(0)
		allowed := (acc.Rate*limitWindow.Seconds()+acc.Burst)*(1+limitOvershoot) + limitSlack
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			clu.now = clu.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				clu.takeOver(rapid.IntRange(0, hosts-1).Draw(t, "next"))
			}
			for range rapid.IntRange(0, 12).Draw(t, "requests") {
				clu.reserve(rapid.IntRange(0, hosts-1).Draw(t, "gateway"), rapid.Float64Range(1, 100).Draw(t, "cost"))
			}
			if used := clu.costSince(clu.now.Add(-limitWindow)); used > allowed {
				t.Fatalf("cost of %.0f granted in a window, %.0f allowed", used, allowed)
			}
		}
	})
}

package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
)

func TestDebtShrinksByHostShareOfRate(t *testing.T) {
	start := time.Unix(100, 0)
	adb := &accountDebt{debt: 100, rate: 80, hosts: 4, settledAt: start}
	adb.settle(start.Add(2 * time.Second))
	assert.Equal(t, adb.debt, 60.0)
	adb.settle(start)
	assert.Equal(t, adb.debt, 60.0, "an earlier time changes nothing")
	adb.settle(start.Add(time.Minute))
	assert.Equal(t, adb.debt, 0.0)
}

// The debt from before the start is that of all hosts together and is paid first. The more hosts a
// host knows, the smaller the share that it reports.
func TestInitialDebtIsReportedByHostShare(t *testing.T) {
	start := time.Unix(100, 0)
	adb := &accountDebt{startDebt: 600, startDebtLeft: 600, rate: 120, hosts: 2, settledAt: start}
	const burst = 900.0
	assert.DeepEqual(t, adb.message("a", burst), reservation.AccountDebt{Account: "a", Share: 150})
	adb.hosts = 6
	assert.DeepEqual(t, adb.message("a", burst), reservation.AccountDebt{Account: "a", Share: 50})
	adb.debt = 10
	adb.settle(start.Add(time.Second))
	assert.DeepEqual(t, adb.message("a", burst), reservation.AccountDebt{Account: "a", Debt: 10 - 20, Share: 50})
	adb.settle(start.Add(6 * time.Second))
	assert.Equal(t, adb.message("a", burst).Share-adb.message("a", burst).Debt, burst/6)
}

// The number of accounts reported to a new coordinator is bounded by what its session can queue.
func TestReportedAccountsAreBoundedPerSession(t *testing.T) {
	hos, err := New(Config{Log: zerolog.Nop()})
	assert.NilError(t, err)
	var con route.Configuration
	for idx := range 2000 {
		con.Accounts = append(con.Accounts, route.Account{Name: fmt.Sprint("account-", idx), Rate: 1, Burst: 100})
	}
	tab, err := route.NewTable(con)
	assert.NilError(t, err)
	hos.snapshot.Store(&snapshot{table: tab})
	lost := false
	lin := &link{member: fleet.Member{Epoch: 7}, queue: peer.NewQueue(), cancel: func() { lost = true }}
	hos.broker.links[7] = lin
	hos.broker.updateDebts(time.Now())
	hos.broker.reportDebts(7)
	assert.Assert(t, !lost)
	assert.Equal(t, lin.queue.Len(), maxReportedDebts)
	// The bound also applies to the report that is sent again because there are more hosts.
	hos.broker.coordinator = 7
	hos.broker.membership.members = make([]fleet.Member, 3)
	hos.broker.updateDebts(time.Now())
	assert.Assert(t, !lost)
	assert.Equal(t, lin.queue.Len(), 2*maxReportedDebts)
}

func TestLargestDebtsAreReportedFirst(t *testing.T) {
	var debts []reservation.AccountDebt
	for idx := range 3 * maxReportedDebts {
		debts = append(debts, reservation.AccountDebt{Account: fmt.Sprint("account-", idx), Debt: float64(idx)})
	}
	reported := largestDebts(debts)
	assert.Equal(t, len(reported), maxReportedDebts)
	assert.Equal(t, reported[0].Account, fmt.Sprint("account-", 3*maxReportedDebts-1))
	assert.Equal(t, len(largestDebts(debts[:2])), 2)
}

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
)

func TestAccountLimit(t *testing.T) {
	des := newDesk(plainEngine("e", 1000))
	des.configure(route.Account{Name: "kitchen", Rate: 100, Burst: 1000, ByTokens: true})
	des.after(time.Minute)
	served := 0
	for idx := range 40 {
		res := plain(fmt.Sprint("r", idx))
		res.Account, res.Cost = "kitchen", 100
		if engineOf(des.reserve(res), fmt.Sprint("r", idx)) != "" {
			served++
		}
	}
	// The burst, widened by a quarter of the slack of 1000.
	assert.Equal(t, served, 13)
	res := plain("over")
	res.Account, res.Cost = "kitchen", 100
	assert.Equal(t, reasonOf(des.reserve(res), "over"), reservation.ReasonLimit)
	des.release(reservation.Release{ID: id("r0"), Dispatched: false})
	res.ID = id("given back")
	assert.Equal(t, engineOf(des.reserve(res), "given back"), "e")
}

func TestPartOfTheLimit(t *testing.T) {
	des := newDesk(plainEngine("e", 1000))
	des.handle(scheduler.ShareChanged{Parts: 3})
	des.configure(route.Account{Name: "kitchen", Rate: 90, Burst: 900, ByTokens: true})
	des.after(time.Minute)
	served := 0
	for idx := range 40 {
		name := fmt.Sprint("r", idx)
		res := plain(name)
		res.Account, res.Cost = "kitchen", 10
		if engineOf(des.reserve(res), name) != "" {
			served++
		}
	}
	// A third of the burst, widened by a quarter of the slack of 1000.
	assert.Assert(t, served >= 38 && served <= 39, "%d", served)
}

func TestLargestRequestOfALimitedAccountGetsIn(t *testing.T) {
	des := newDesk(plainEngine("e", 1000))
	des.configure(route.Account{Name: "kitchen", Rate: 100, Burst: 1000, ByTokens: true})
	des.after(time.Second)
	res := plain("large")
	res.Account, res.Cost = "kitchen", 900
	assert.Equal(t, engineOf(des.reserve(res), "large"), "e")
	res.ID = id("next")
	assert.Equal(t, reasonOf(des.reserve(res), "next"), reservation.ReasonLimit, "the debt is paid first")
}

func TestRepeatsKeepToTheirBudget(t *testing.T) {
	des := newDesk(plainEngine("e", 10000))
	repeated := 0
	for idx := range 200 {
		name := fmt.Sprint("r", idx)
		des.reserve(plain(name))
		des.release(reservation.Release{ID: id(name), Dispatched: true, Total: time.Millisecond})
		res := plain(name)
		res.Attempt = 1
		if engineOf(des.reserve(res), name) != "" {
			repeated++
			des.release(reservation.Release{ID: id(name), Dispatched: true, Total: time.Millisecond})
		}
	}
	assert.Assert(t, repeated > 20 && repeated <= 50, "%d", repeated)
}

package limitshare_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/limitshare"
)

// planUntil plans each 0.2 s until a time has passed, and returns the ledger then in force.
func planUntil(pla *limitshare.Planner, now *time.Time, dur time.Duration, led limitshare.Ledger, present []string, usable limitshare.Share) limitshare.Ledger {
	for end := now.Add(dur); now.Before(end); *now = now.Add(200 * time.Millisecond) {
		if next, changed := pla.Plan(*now, limitshare.Observation{Ledger: led, Present: present, Usable: usable}); changed {
			led = next
		}
	}
	return led
}

func names(from, to int) []string {
	var list []string
	for num := from; num < to; num++ {
		list = append(list, fmt.Sprint("host-", num))
	}
	return list
}

func TestLedgerFollowsHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	pla := limitshare.NewPlanner()
	led := planUntil(pla, &now, 200*time.Millisecond, limitshare.Ledger{}, names(0, 3), 0)
	assert.Equal(t, led.Version, uint64(0), "more hosts may be starting")
	led = planUntil(pla, &now, time.Second, led, names(0, 6), 0)
	assert.Equal(t, led.Version, uint64(1))
	assert.Equal(t, led.Of("host-5"), limitshare.Whole/6)

	assert.Equal(t, planUntil(pla, &now, time.Minute, led, names(0, 6), limitshare.Whole).Version, uint64(1), "nothing changes")
	assert.Equal(t, planUntil(pla, &now, 4*time.Second, led, names(0, 5), limitshare.Whole).Version, uint64(1), "a host that restarts keeps its share")

	gone := planUntil(pla, &now, 6*time.Second, led, names(0, 5), 5*limitshare.Whole/6)
	assert.Equal(t, gone.Of("host-5"), limitshare.Share(0))
	assert.Equal(t, gone.Of("host-0"), led.Of("host-0"), "the share belongs to nobody at first")
	gone = planUntil(pla, &now, 15*time.Second, gone, names(0, 5), 5*limitshare.Whole/6)
	assert.Equal(t, gone.Of("host-0"), limitshare.Whole/5)

	grown := planUntil(pla, &now, 3*time.Minute, led, names(0, 12), limitshare.Whole)
	for _, name := range names(0, 12) {
		assert.Assert(t, float64(grown.Of(name)) > 0.85*float64(limitshare.Whole)/12, "%s has %d", name, grown.Of(name))
	}
}

// Hosts that are present without most shares can't know whether the others run elsewhere.
func TestMinorityTakesNoShares(t *testing.T) {
	now := time.Unix(1000, 0)
	pla := limitshare.NewPlanner()
	led := planUntil(pla, &now, time.Second, limitshare.Ledger{}, names(0, 6), 0)
	assert.Equal(t, planUntil(pla, &now, 15*time.Second, led, names(0, 3), limitshare.Whole/2).Version, led.Version)
	later := planUntil(pla, &now, 10*time.Second, led, names(0, 3), limitshare.Whole/2)
	assert.Equal(t, later.Of("host-5"), limitshare.Share(0), "they are gone for good")
}

// The shares of a ledger are never more than the whole, and a host gets nothing within settleTime of what another one
// has lost.
func TestSharesAreTakenBeforeTheyAreGiven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		pla := limitshare.NewPlanner()
		var led limitshare.Ledger
		var takenAt time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.IntRange(0, 8).Draw(t, "from")
			present := names(from, from+rapid.IntRange(1, 8).Draw(t, "hosts"))
			usable := limitshare.Share(rapid.IntRange(0, int(limitshare.Whole)).Draw(t, "usable"))
			now = now.Add(time.Duration(rapid.IntRange(100, 20_000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				pla = limitshare.NewPlanner()
			}
			next, changed := pla.Plan(now, limitshare.Observation{Ledger: led, Present: present, Usable: usable})
			if !changed {
				continue
			}
			assert.Assert(t, next.IsValid() && next.Version == led.Version+1)
			for name, sha := range next.Shares {
				given := led.Version > 0 && sha > led.Of(name)
				if given && now.Sub(takenAt) < limitshare.UnconfirmedUse {
					t.Fatalf("%s gets %d after %s", name, sha-led.Of(name), now.Sub(takenAt))
				}
			}
			if next.Total() < led.Total() {
				takenAt = now
			}
			led = next
		}
	})
}

// A host that has missed changes of the ledger can't know that they took nothing away, though the sum is as before.
func TestUnseenChangesBeginTheWaitAnew(t *testing.T) {
	now := time.Unix(1000, 0)
	pla := limitshare.NewPlanner()
	led := planUntil(pla, &now, time.Second, limitshare.Ledger{}, names(0, 3), 0)
	led = planUntil(pla, &now, time.Minute, led, names(0, 3), limitshare.Whole)
	// Another host has taken a share away, given some of it back, and taken as much again from host-0.
	half := limitshare.Whole / 2
	led = limitshare.Ledger{Version: led.Version + 3, Shares: map[string]limitshare.Share{"host-1": half, "host-2": half}}
	assert.Equal(t, planUntil(pla, &now, 4*time.Second, led, names(0, 3), limitshare.Whole).Version, led.Version)
	assert.Assert(t, planUntil(pla, &now, 10*time.Second, led, names(0, 3), limitshare.Whole).Version > led.Version)
}

// A host that stops keeps the share that it has left, and gets none: it hands its share over.
func TestHostsThatStopGetNoShares(t *testing.T) {
	now := time.Unix(1000, 0)
	pla := limitshare.NewPlanner()
	half := limitshare.Whole / 2
	led := limitshare.Ledger{Version: 2, Shares: map[string]limitshare.Share{"host-0": half, "host-1": half}}
	obs := limitshare.Observation{Ledger: led, Present: names(0, 3), Leaving: names(2, 3), Usable: limitshare.Whole}
	for range 60 {
		now = now.Add(time.Second)
		_, changed := pla.Plan(now, obs)
		assert.Assert(t, !changed)
	}
	obs.Leaving = nil
	_, changed := pla.Plan(now, obs)
	assert.Assert(t, changed, "it gets a share once it is listed")
}

// Guards against shares that nobody spends after a short cut (a day with half of the hosts cut off for 5 s was 0.03
// lower): hosts that hold a part of the shares that serves wait as for a restart, those with little don't.
func TestHostsWithAPartOfTheSharesWaitForCutOnes(t *testing.T) {
	for _, tst := range []struct {
		usable limitshare.Share
		taken  bool
	}{{limitshare.Whole / 2, false}, {limitshare.Whole / 3, false}, {limitshare.Whole / 6, true}} {
		now := time.Unix(1000, 0)
		pla := limitshare.NewPlanner()
		led := planUntil(pla, &now, time.Second, limitshare.Ledger{}, names(0, 6), 0)
		obs := limitshare.Observation{Ledger: led, Present: names(0, 3), Usable: tst.usable, Use: boundUse}
		taken := false
		for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(200 * time.Millisecond) {
			_, changed := pla.Plan(now, obs)
			taken = taken || changed
		}
		assert.Equal(t, taken, tst.taken, "%d usable", tst.usable)
	}
}

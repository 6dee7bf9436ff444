package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
)

// newRestrictedOverload returns an overload in which a traffic source is restricted, whose requests wait beside others.
func newRestrictedOverload(b *testing.B, engines, waiting, restricted int) *overload {
	const slots, runsPerEngine, crashes = 8, 10, 8
	listed := make([]fleet.Engine, engines)
	for idx := range listed {
		listed[idx] = modelEngine(fmt.Sprint("e", idx))
		listed[idx].Slots = slots
	}
	ovl := &overload{harness: newHarness(listed...)}
	for num := range crashes {
		res := promptReservation(fmt.Sprint("crash-", num), 500)
		res.Account = "varies"
		ovl.now = ovl.now.Add(100 * time.Millisecond)
		ovl.reportCrash(res, grantedEngine(ovl.reserve(res), res.ID.Unique))
	}
	assert.Equal(b, len(ovl.core.Dump(ovl.now).Restricted), 1)
	for len(ovl.running) < engines*runsPerEngine {
		ovl.now = ovl.now.Add(50 * time.Millisecond)
		ovl.arrive()
		ovl.progressAll()
	}
	for ovl.queued < waiting {
		ovl.arrive()
	}
	for num := range restricted {
		res := promptReservation(fmt.Sprint("varies-", num), 500)
		res.Account, res.LatencyTarget, res.Remaining = "varies", time.Hour, time.Hour
		assert.Equal(b, grantedEngine(ovl.reserve(res), res.ID.Unique), "")
	}
	return ovl
}

// BenchmarkRestrictedSourceInOverload measures a reservation, a first token and a release while all engines are full and
// others wait, with requests of a restricted traffic source among those that wait, or none.
func BenchmarkRestrictedSourceInOverload(b *testing.B) {
	for _, restricted := range []int{0, 1, 2, 4, 8} {
		b.Run(fmt.Sprint(restricted, "restricted"), func(b *testing.B) {
			ovl := newRestrictedOverload(b, 160, 80, restricted)
			b.ReportAllocs()
			for b.Loop() {
				ovl.sends = nil
				ovl.now = ovl.now.Add(500 * time.Microsecond)
				ovl.arrive()
				ovl.finish()
				ovl.progressAll()
			}
		})
	}
}

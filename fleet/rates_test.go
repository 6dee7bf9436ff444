package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
)

func TestRateHoldsUntilALaterAnswerNamesNone(t *testing.T) {
	now := time.Unix(100, 0)
	eng := run("e", 1)
	rts := fleet.NewRates()
	assert.Assert(t, rts.Take(now, fleet.Rate{Run: eng, PerSecond: 2}))
	assert.Assert(t, !rts.Take(now.Add(time.Second), fleet.Rate{Run: eng, PerSecond: 2}), "named before")
	assert.Assert(t, rts.Take(now.Add(2*time.Second), fleet.Rate{Run: eng, PerSecond: 1.5}), "another rate")
	assert.Assert(t, !rts.End(eng, now.Add(time.Second)), "sent before it was last named")
	assert.DeepEqual(t, rts.Current(), []fleet.Rate{{Run: eng, PerSecond: 1.5}})
	_, known := rts.Known(run("e", 2))
	assert.Assert(t, !known, "a later run of the same name")
	assert.Assert(t, !rts.End(run("f", 1), now.Add(time.Hour)), "none was named")
	assert.Assert(t, rts.End(eng, now.Add(3*time.Second)))
	assert.Equal(t, len(rts.Current()), 0)
}

func TestRateIsForgottenWithTheRun(t *testing.T) {
	now := time.Unix(100, 0)
	rts := fleet.NewRates()
	rts.Take(now, fleet.Rate{Run: run("e", 1), PerSecond: 2})
	rts.Forget(now.Add(50*time.Second), func(fleet.EngineID) bool { return true })
	rts.Forget(now.Add(100*time.Second), func(fleet.EngineID) bool { return false })
	assert.Equal(t, len(rts.Current()), 1, "listed 50 s ago")
	rts.Forget(now.Add(110*time.Second), func(fleet.EngineID) bool { return false })
	assert.Equal(t, len(rts.Current()), 0)
}

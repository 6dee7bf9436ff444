package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/fleet"
)

func run(name string, born int64) fleet.EngineID {
	return fleet.NewEngineID(name, time.UnixMilli(born))
}

func TestNoticesHoldForTheRunThatSpoke(t *testing.T) {
	now := time.Unix(100, 0)
	ntc := fleet.NewNotices()
	assert.Assert(t, ntc.Take(now, fleet.Notice{Run: run("e", 1), Word: fleet.Leaving{}}))
	assert.Assert(t, !ntc.Take(now, fleet.Notice{Run: run("e", 1), Word: fleet.Leaving{}}), "said before")
	assert.Equal(t, ntc.Bar(now, run("e", 1)), fleet.Leaving{})
	assert.Equal(t, ntc.Bar(now, run("e", 2)), nil, "a later run of the same name")
	assert.Equal(t, ntc.Bar(now, run("f", 1)), nil)
	assert.Assert(t, !ntc.Take(now, fleet.Notice{Run: run("f", 1)}), "nothing said")
}

func TestLongerPauseHolds(t *testing.T) {
	now := time.Unix(100, 0)
	eng := run("e", 1)
	ntc := fleet.NewNotices()
	assert.Assert(t, ntc.Take(now, fleet.Notice{Run: eng, Word: fleet.Pause{Left: 3 * time.Second}}))
	assert.Assert(t, !ntc.Take(now.Add(time.Second), fleet.Notice{Run: eng, Word: fleet.Pause{Left: time.Second}}))
	assert.Equal(t, ntc.Bar(now.Add(2*time.Second), eng), fleet.Pause{Left: time.Second})
	assert.Equal(t, ntc.Bar(now.Add(3*time.Second), eng), nil)
	assert.Assert(t, ntc.Take(now.Add(3*time.Second), fleet.Notice{Run: eng, Word: fleet.Pause{Left: time.Second}}), "another pause")
}

// What was said is gone with the run, and not while its entry has lapsed for a moment.
func TestNoticesAreForgottenWithTheRun(t *testing.T) {
	now := time.Unix(100, 0)
	eng := run("e", 1)
	ntc := fleet.NewNotices()
	ntc.Take(now, fleet.Notice{Run: eng, Word: fleet.Leaving{}})
	ntc.Take(now, fleet.Notice{Run: run("f", 1), Word: fleet.Pause{Left: time.Second}})
	none := func(fleet.EngineID) bool { return false }
	ntc.Forget(now.Add(30*time.Second), none)
	assert.Equal(t, len(ntc.Current(now.Add(30*time.Second))), 1)
	ntc.Forget(now.Add(50*time.Second), func(fleet.EngineID) bool { return true })
	ntc.Forget(now.Add(100*time.Second), none)
	assert.Equal(t, ntc.Bar(now.Add(100*time.Second), eng), fleet.Leaving{}, "listed 50 s ago")
	ntc.Forget(now.Add(110*time.Second), none)
	assert.Equal(t, ntc.Bar(now.Add(110*time.Second), eng), nil)
	assert.Equal(t, len(ntc.Current(now.Add(110*time.Second))), 0)
}

// In whichever order notices come, a run is barred exactly while one of them holds, and
// Current tells all of that.
func TestAnyOrderOfNoticesBarsWhileOneHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(100, 0)
		ntc := fleet.NewNotices()
		gone := make(map[fleet.EngineID]bool)
		until := make(map[fleet.EngineID]time.Time)
		for range rapid.IntRange(1, 30).Draw(rt, "notices") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "pause")) * time.Millisecond)
			eng := run("e", rapid.Int64Range(1, 4).Draw(rt, "run"))
			not := fleet.Notice{Run: eng}
			switch rapid.IntRange(0, 3).Draw(rt, "word") {
			case 1:
				not.Word, gone[eng] = fleet.Leaving{}, true
			case 2:
				not.Word, gone[eng] = fleet.Replaced{}, true
			case 3:
				left := time.Duration(rapid.IntRange(1, 5000).Draw(rt, "left")) * time.Millisecond
				not.Word = fleet.Pause{Left: left}
				if end := now.Add(left); end.After(until[eng]) {
					until[eng] = end
				}
			}
			ntc.Take(now, not)
			ntc.Forget(now, func(fleet.EngineID) bool { return true })
			barred := 0
			for born := range int64(4) {
				eng := run("e", born+1)
				want := gone[eng] || now.Before(until[eng])
				if got := ntc.Bar(now, eng) != nil; got != want {
					rt.Fatalf("run %d barred %v, want %v", born+1, got, want)
				}
				if want {
					barred++
				}
			}
			if got := len(ntc.Current(now)); got != barred {
				rt.Fatalf("%d notices hold, want %d", got, barred)
			}
		}
	})
}

func limitOf(eng fleet.EngineID, perSecond float64) fleet.Notice {
	return fleet.Notice{Run: eng, Word: fleet.RateLimit{PerSecond: perSecond}}
}

func TestRateHoldsUntilALaterAnswerNamesNone(t *testing.T) {
	now := time.Unix(100, 0)
	eng := run("e", 1)
	ntc := fleet.NewNotices()
	assert.Assert(t, ntc.Take(now, limitOf(eng, 2)))
	assert.Assert(t, !ntc.Take(now.Add(time.Second), limitOf(eng, 2)), "named before")
	assert.Assert(t, ntc.Take(now.Add(2*time.Second), limitOf(eng, 1.5)), "another rate")
	assert.Assert(t, !ntc.EndsLimit(eng, now.Add(time.Second)), "sent before it was last named")
	assert.DeepEqual(t, ntc.Current(now), []fleet.Notice{limitOf(eng, 1.5)})
	assert.Equal(t, ntc.Bar(now, eng), nil, "a rate bars nothing")
	_, holds := ntc.Limit(run("e", 2))
	assert.Assert(t, !holds, "a later run of the same name")
	assert.Assert(t, !ntc.EndsLimit(run("f", 1), now.Add(time.Hour)), "none was named")
	assert.Assert(t, ntc.EndsLimit(eng, now.Add(3*time.Second)))
	assert.Assert(t, ntc.Take(now.Add(3*time.Second), fleet.Notice{Run: eng, Word: fleet.Unlimited{}}))
	assert.Equal(t, len(ntc.Current(now)), 0)
}

func TestRateIsForgottenWithTheRun(t *testing.T) {
	now := time.Unix(100, 0)
	ntc := fleet.NewNotices()
	ntc.Take(now, limitOf(run("e", 1), 2))
	ntc.Forget(now.Add(50*time.Second), func(fleet.EngineID) bool { return true })
	ntc.Forget(now.Add(100*time.Second), func(fleet.EngineID) bool { return false })
	assert.Equal(t, len(ntc.Current(now)), 1, "listed 50 s ago")
	ntc.Forget(now.Add(110*time.Second), func(fleet.EngineID) bool { return false })
	assert.Equal(t, len(ntc.Current(now)), 0)
}

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
	assert.Assert(t, ntc.Take(now, fleet.Notice{Run: run("e", 1), Bar: fleet.BarDraining}))
	assert.Assert(t, !ntc.Take(now, fleet.Notice{Run: run("e", 1), Bar: fleet.BarDraining}), "said before")
	assert.Equal(t, ntc.Bar(now, run("e", 1)).Bar, fleet.BarDraining)
	assert.Equal(t, ntc.Bar(now, run("e", 2)).Bar, fleet.BarNone, "a later run of the same name")
	assert.Equal(t, ntc.Bar(now, run("f", 1)).Bar, fleet.BarNone)
	assert.Assert(t, !ntc.Take(now, fleet.Notice{Run: run("f", 1)}), "nothing said")
}

func TestLongerPauseHolds(t *testing.T) {
	now := time.Unix(100, 0)
	eng := run("e", 1)
	ntc := fleet.NewNotices()
	assert.Assert(t, ntc.Take(now, fleet.Notice{Run: eng, Bar: fleet.BarBackoff, Left: 3 * time.Second}))
	assert.Assert(t, !ntc.Take(now.Add(time.Second), fleet.Notice{Run: eng, Bar: fleet.BarBackoff, Left: time.Second}))
	assert.Equal(t, ntc.Bar(now.Add(2*time.Second), eng).Left, time.Second)
	assert.Equal(t, ntc.Bar(now.Add(3*time.Second), eng).Bar, fleet.BarNone)
	assert.Assert(t, ntc.Take(now.Add(3*time.Second), fleet.Notice{Run: eng, Bar: fleet.BarBackoff, Left: time.Second}), "another pause")
}

// What was said is gone with the run, and not while its entry has lapsed for a moment.
func TestNoticesAreForgottenWithTheRun(t *testing.T) {
	now := time.Unix(100, 0)
	eng := run("e", 1)
	ntc := fleet.NewNotices()
	ntc.Take(now, fleet.Notice{Run: eng, Bar: fleet.BarDraining})
	ntc.Take(now, fleet.Notice{Run: run("f", 1), Bar: fleet.BarBackoff, Left: time.Second})
	none := func(fleet.EngineID) bool { return false }
	ntc.Forget(now.Add(30*time.Second), none)
	assert.Equal(t, len(ntc.Current(now.Add(30*time.Second))), 1)
	ntc.Forget(now.Add(50*time.Second), func(fleet.EngineID) bool { return true })
	ntc.Forget(now.Add(100*time.Second), none)
	assert.Equal(t, ntc.Bar(now.Add(100*time.Second), eng).Bar, fleet.BarDraining, "listed 50 s ago")
	ntc.Forget(now.Add(110*time.Second), none)
	assert.Equal(t, ntc.Bar(now.Add(110*time.Second), eng).Bar, fleet.BarNone)
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
			not := fleet.Notice{Run: eng, Bar: fleet.Bar(rapid.IntRange(0, 3).Draw(rt, "bar"))}
			switch not.Bar {
			case fleet.BarDraining, fleet.BarReplaced:
				gone[eng] = true
			case fleet.BarBackoff:
				not.Left = time.Duration(rapid.IntRange(1, 5000).Draw(rt, "left")) * time.Millisecond
				if end := now.Add(not.Left); end.After(until[eng]) {
					until[eng] = end
				}
			case fleet.BarNone:
			}
			ntc.Take(now, not)
			ntc.Forget(now, func(fleet.EngineID) bool { return true })
			barred := 0
			for born := range int64(4) {
				eng := run("e", born+1)
				want := gone[eng] || now.Before(until[eng])
				if got := ntc.Bar(now, eng).Bar != fleet.BarNone; got != want {
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

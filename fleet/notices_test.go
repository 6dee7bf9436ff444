package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/fleet"
)

func run(name string, startMillis int64) fleet.EngineID {
	return fleet.NewEngineID(name, time.UnixMilli(startMillis))
}

func TestNoticesApplyToTheRunThatSentThem(t *testing.T) {
	now := time.Unix(100, 0)
	ntc := fleet.NewNotices()
	assert.Assert(t, ntc.Record(now, fleet.Notice{Run: run("e", 1), Signal: fleet.Draining{}}))
	assert.Assert(t, !ntc.Record(now, fleet.Notice{Run: run("e", 1), Signal: fleet.Draining{}}), "repeated")
	assert.Equal(t, ntc.BlockingSignal(now, run("e", 1)), fleet.Draining{})
	assert.Equal(t, ntc.BlockingSignal(now, run("e", 2)), nil, "a later run of the same name")
	assert.Equal(t, ntc.BlockingSignal(now, run("f", 1)), nil)
	assert.Assert(t, !ntc.Record(now, fleet.Notice{Run: run("f", 1)}), "no signal")
}

func TestLongerBackoffNoticePrevails(t *testing.T) {
	now := time.Unix(100, 0)
	eng := run("e", 1)
	ntc := fleet.NewNotices()
	assert.Assert(t, ntc.Record(now, fleet.Notice{Run: eng, Signal: fleet.Backoff{Remaining: 3 * time.Second}}))
	assert.Assert(t, !ntc.Record(now.Add(time.Second), fleet.Notice{Run: eng, Signal: fleet.Backoff{Remaining: time.Second}}))
	assert.Equal(t, ntc.BlockingSignal(now.Add(2*time.Second), eng), fleet.Backoff{Remaining: time.Second})
	assert.Equal(t, ntc.BlockingSignal(now.Add(3*time.Second), eng), nil)
	assert.Assert(t, ntc.Record(now.Add(3*time.Second), fleet.Notice{Run: eng, Signal: fleet.Backoff{Remaining: time.Second}}), "another backoff")
}

// The notices of a run must be dropped once the run has been unregistered for a minute, and not
// while its entry has been missing for a shorter time.
func TestNoticesAreDroppedWithTheRun(t *testing.T) {
	now := time.Unix(100, 0)
	eng := run("e", 1)
	ntc := fleet.NewNotices()
	ntc.Record(now, fleet.Notice{Run: eng, Signal: fleet.Draining{}})
	ntc.Record(now, fleet.Notice{Run: run("f", 1), Signal: fleet.Backoff{Remaining: time.Second}})
	none := func(fleet.EngineID) bool { return false }
	ntc.Prune(now.Add(30*time.Second), none)
	assert.Equal(t, len(ntc.Current(now.Add(30*time.Second))), 1)
	ntc.Prune(now.Add(50*time.Second), func(fleet.EngineID) bool { return true })
	ntc.Prune(now.Add(100*time.Second), none)
	assert.Equal(t, ntc.BlockingSignal(now.Add(100*time.Second), eng), fleet.Draining{}, "registered 50 s ago")
	ntc.Prune(now.Add(110*time.Second), none)
	assert.Equal(t, ntc.BlockingSignal(now.Add(110*time.Second), eng), nil)
	assert.Equal(t, len(ntc.Current(now.Add(110*time.Second))), 0)
}

// In whatever order notices arrive, a run must be blocked exactly while one of them is in force,
// and Current must return one notice for each blocked run.
func TestRunIsBlockedWhileANoticeIsInForce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(100, 0)
		ntc := fleet.NewNotices()
		final := make(map[fleet.EngineID]bool)
		until := make(map[fleet.EngineID]time.Time)
		for range rapid.IntRange(1, 30).Draw(rt, "notices") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "pause")) * time.Millisecond)
			eng := run("e", rapid.Int64Range(1, 4).Draw(rt, "run"))
			not := fleet.Notice{Run: eng}
			switch rapid.IntRange(0, 3).Draw(rt, "signal") {
			case 1:
				not.Signal, final[eng] = fleet.Draining{}, true
			case 2:
				not.Signal, final[eng] = fleet.Replaced{}, true
			case 3:
				remaining := time.Duration(rapid.IntRange(1, 5000).Draw(rt, "remaining")) * time.Millisecond
				not.Signal = fleet.Backoff{Remaining: remaining}
				if end := now.Add(remaining); end.After(until[eng]) {
					until[eng] = end
				}
			}
			ntc.Record(now, not)
			ntc.Prune(now, func(fleet.EngineID) bool { return true })
			blocked := 0
			for idx := range int64(4) {
				eng := run("e", idx+1)
				want := final[eng] || now.Before(until[eng])
				if got := ntc.BlockingSignal(now, eng) != nil; got != want {
					rt.Fatalf("run %d: blocked is %v, want %v", idx+1, got, want)
				}
				if want {
					blocked++
				}
			}
			if got := len(ntc.Current(now)); got != blocked {
				rt.Fatalf("%d notices in force, want %d", got, blocked)
			}
		}
	})
}

func limitNotice(eng fleet.EngineID, perSecond float64) fleet.Notice {
	return fleet.Notice{Run: eng, Signal: fleet.RateLimit{PerSecond: perSecond}}
}

func TestRateLimitAppliesUntilALaterResponseHasNone(t *testing.T) {
	now := time.Unix(100, 0)
	eng := run("e", 1)
	ntc := fleet.NewNotices()
	assert.Assert(t, ntc.Record(now, limitNotice(eng, 2)))
	assert.Assert(t, !ntc.Record(now.Add(time.Second), limitNotice(eng, 2)), "repeated")
	assert.Assert(t, ntc.Record(now.Add(2*time.Second), limitNotice(eng, 1.5)), "another limit")
	assert.Assert(t, !ntc.EndsLimit(eng, now.Add(time.Second)), "request sent before the limit was last received")
	assert.DeepEqual(t, ntc.Current(now), []fleet.Notice{limitNotice(eng, 1.5)})
	assert.Equal(t, ntc.BlockingSignal(now, eng), nil, "a rate limit doesn't block the run")
	_, active := ntc.Limit(run("e", 2))
	assert.Assert(t, !active, "a later run of the same name")
	assert.Assert(t, !ntc.EndsLimit(run("f", 1), now.Add(time.Hour)), "no limit received")
	assert.Assert(t, ntc.EndsLimit(eng, now.Add(3*time.Second)))
	assert.Assert(t, ntc.Record(now.Add(3*time.Second), fleet.Notice{Run: eng, Signal: fleet.Unlimited{}}))
	assert.Equal(t, len(ntc.Current(now)), 0)
}

func TestRateLimitIsDroppedWithTheRun(t *testing.T) {
	now := time.Unix(100, 0)
	ntc := fleet.NewNotices()
	ntc.Record(now, limitNotice(run("e", 1), 2))
	ntc.Prune(now.Add(50*time.Second), func(fleet.EngineID) bool { return true })
	ntc.Prune(now.Add(100*time.Second), func(fleet.EngineID) bool { return false })
	assert.Equal(t, len(ntc.Current(now)), 1, "registered 50 s ago")
	ntc.Prune(now.Add(110*time.Second), func(fleet.EngineID) bool { return false })
	assert.Equal(t, len(ntc.Current(now)), 0)
}

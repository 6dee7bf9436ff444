package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/quarantine"
)

var startTime = time.Unix(9000, 0)

func digest(num int) call.Digest {
	return call.Request{Method: "POST", Target: fmt.Sprint(num)}.Digest("kitchen")
}

func subject(num int) quarantine.Subject {
	return quarantine.Subject{Digest: digest(num), Service: "model", Account: "kitchen", Route: "stream"}
}

func crash(num int, engine string, exclusive bool) quarantine.Observation {
	return quarantine.Observation{Subject: subject(num), Engine: engine, Exclusive: exclusive}
}

func TestLevelFollowsCrashes(t *testing.T) {
	cases := map[string]struct {
		crashes []quarantine.Observation
		want    quarantine.Level
	}{
		"none":                          {nil, quarantine.LevelClear},
		"one":                           {[]quarantine.Observation{crash(1, "a", false)}, quarantine.LevelWatched},
		"one, exclusive":                {[]quarantine.Observation{crash(1, "a", true)}, quarantine.LevelWatched},
		"one, reported twice":           {[]quarantine.Observation{crash(1, "a", false), crash(1, "a", false)}, quarantine.LevelWatched},
		"two":                           {[]quarantine.Observation{crash(1, "a", false), crash(1, "b", false)}, quarantine.LevelSuspected},
		"two, the last exclusive":       {[]quarantine.Observation{crash(1, "a", false), crash(1, "b", true)}, quarantine.LevelHeld},
		"two, later reported exclusive": {[]quarantine.Observation{crash(1, "a", false), crash(1, "b", false), crash(1, "b", true)}, quarantine.LevelHeld},
		"two, the first exclusive":      {[]quarantine.Observation{crash(1, "a", true), crash(1, "b", false)}, quarantine.LevelSuspected},
		"three":                         {[]quarantine.Observation{crash(1, "a", false), crash(1, "b", false), crash(1, "c", false)}, quarantine.LevelHeld},
		"three of other requests":       {[]quarantine.Observation{crash(2, "a", false), crash(3, "b", false), crash(4, "c", false)}, quarantine.LevelClear},
		"request without digest":        {[]quarantine.Observation{{Engine: "a"}, {Engine: "b"}, {Engine: "c"}}, quarantine.LevelClear},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.New(quarantine.Config{})
			for _, obs := range tst.crashes {
				reg.RecordCrash(startTime, obs)
			}
			assert.Equal(t, reg.Level(startTime, digest(1)), tst.want)
			assert.Equal(t, reg.Level(startTime, call.Digest{}), quarantine.LevelClear)
		})
	}
}

func heldRegistry(t *testing.T) *quarantine.Registry {
	t.Helper()
	reg := quarantine.New(quarantine.Config{})
	for _, name := range []string{"a", "b", "c"} {
		reg.RecordCrash(startTime, crash(1, name, false))
	}
	assert.Equal(t, reg.Level(startTime, digest(1)), quarantine.LevelHeld)
	return reg
}

func TestAnswerClearsRequest(t *testing.T) {
	reg := heldRegistry(t)
	reg.RecordAnswer(startTime, digest(1))
	assert.Equal(t, reg.Level(startTime, digest(1)), quarantine.LevelClear)
	assert.Assert(t, reg.IsEmpty())
}

// A held request must run only twice more, exclusively, after an hour and after a further day:
// each trial costs an engine, and users allow three.
func TestHeldRequestHasAtMostTwoTrials(t *testing.T) {
	reg := heldRegistry(t)
	now := startTime
	trials := 0
	for day := range 30 {
		now = now.Add(24 * time.Hour)
		if reg.Level(now, digest(1)) == quarantine.LevelHeld {
			continue
		}
		assert.Equal(t, reg.Level(now, digest(1)), quarantine.LevelSuspected)
		trials++
		reg.RecordCrash(now, crash(1, fmt.Sprint("day-", day), true))
		assert.Equal(t, reg.Level(now, digest(1)), quarantine.LevelHeld)
	}
	assert.Equal(t, trials, 2)
	assert.Equal(t, reg.HeldFor(now, digest(1)), time.Duration(0), "held until released")
	assert.Assert(t, reg.Release(now, digest(1)))
	assert.Equal(t, reg.Level(now, digest(1)), quarantine.LevelClear)
}

// An unconfirmed crash, which may have been only a broken connection, counts once the engine
// run is no longer registered, unless the engine was draining.
func TestUnconfirmedCrashIsResolvedByEngineList(t *testing.T) {
	cases := map[string]struct {
		engines []quarantine.Engine
		after   time.Duration
		want    int
	}{
		"still registered":          {[]quarantine.Engine{{Run: "a"}}, time.Second, 0},
		"deregistered":              {nil, time.Second, 1},
		"another run registered":    {[]quarantine.Engine{{Run: "a@17"}}, time.Second, 1},
		"draining":                  {[]quarantine.Engine{{Run: "a", Draining: true}}, time.Second, 0},
		"deregistered too late":     {nil, time.Minute, 0},
		"another engine registered": {[]quarantine.Engine{{Run: "b"}}, time.Second, 1},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.New(quarantine.Config{})
			reg.RecordUnconfirmedCrash(startTime, crash(1, "a", false))
			assert.Equal(t, reg.Level(startTime, digest(1)), quarantine.LevelWatched)
			assert.Equal(t, len(reg.ApplyEngines(startTime.Add(tst.after), tst.engines)), tst.want)
		})
	}
}

func TestLiveEngineRetractsCrashes(t *testing.T) {
	reg := quarantine.New(quarantine.Config{})
	reg.RecordCrash(startTime, crash(1, "a", false))
	reg.RecordCrash(startTime, crash(1, "b", false))
	reg.RecordCrash(startTime, crash(2, "b", false))
	reg.RecordAlive(startTime, "b")
	assert.Equal(t, reg.Level(startTime, digest(1)), quarantine.LevelWatched)
	assert.Equal(t, reg.Level(startTime, digest(2)), quarantine.LevelClear)
}

func TestCasesAreBounded(t *testing.T) {
	reg := heldRegistry(t)
	for num := range 6000 {
		reg.RecordCrash(startTime, crash(100+num, "x", false))
	}
	assert.Assert(t, len(reg.Cases(startTime)) <= 4096)
	assert.Equal(t, reg.Level(startTime, digest(1)), quarantine.LevelHeld, "cases of the lowest level are removed first")
	for num := range 400 {
		for _, name := range []string{"a", "b", "c"} {
			reg.RecordCrash(startTime.Add(time.Second), crash(10_000+num, name, false))
		}
	}
	holds, _ := reg.HoldsToStore()
	assert.Assert(t, len(holds) <= quarantine.MaxHeld, len(holds))
	later := startTime.Add(11 * time.Minute)
	reg.RecordCrash(later, crash(50_000, "y", false))
	assert.Assert(t, len(reg.Cases(later)) <= quarantine.MaxHeld+1, len(reg.Cases(later)))
}

// Merging the reports of several hosts must give each host the levels that it would have if it
// had recorded all crashes itself, in whatever order and however often the reports arrive.
func TestReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*quarantine.Registry{quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})}
		crashes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Observation {
			return crash(rapid.IntRange(1, 3).Draw(t, "request"), rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "engine"), false)
		}), 1, 12).Draw(t, "crashes")
		for _, obs := range crashes {
			hosts[rapid.IntRange(0, 2).Draw(t, "host")].RecordCrash(startTime, obs)
		}
		var reports []quarantine.Report
		for _, hos := range hosts {
			reports = append(reports, hos.Reports(startTime, quarantine.LevelWatched, 100)...)
		}
		for _, hos := range hosts {
			for _, idx := range rapid.Permutation(indexes(len(reports))).Draw(t, "order") {
				hos.Merge(startTime, reports[idx])
				if rapid.Bool().Draw(t, "again") {
					hos.Merge(startTime, reports[idx])
				}
			}
		}
		all := quarantine.New(quarantine.Config{})
		for _, obs := range crashes {
			all.RecordCrash(startTime, obs)
		}
		for num := 1; num <= 3; num++ {
			for _, hos := range hosts {
				assert.Equal(t, hos.Level(startTime, digest(num)), all.Level(startTime, digest(num)))
			}
		}
	})
}

func indexes(count int) []int {
	all := make([]int, count)
	for idx := range all {
		all[idx] = idx
	}
	return all
}

func TestHeldRequestsSurviveHostRestart(t *testing.T) {
	reg := heldRegistry(t)
	holds, differ := reg.HoldsToStore()
	assert.Assert(t, differ)
	reg.ApplyStored(startTime, holds)
	_, differ = reg.HoldsToStore()
	assert.Assert(t, !differ, "the store is up to date")

	other := quarantine.New(quarantine.Config{})
	other.ApplyStored(startTime.Add(time.Minute), holds)
	assert.Equal(t, other.Level(startTime.Add(time.Minute), digest(1)), quarantine.LevelHeld)
	assert.Equal(t, other.HeldFor(startTime.Add(time.Minute), digest(1)), 59*time.Minute)

	assert.Assert(t, other.Release(startTime.Add(time.Minute), digest(1)))
	remaining, differ := other.HoldsToStore()
	assert.Assert(t, differ && len(remaining) == 0)
	reg.ApplyStored(startTime.Add(time.Minute), remaining)
	assert.Equal(t, reg.Level(startTime.Add(time.Minute), digest(1)), quarantine.LevelClear, "released by another host")
}

// A report that another host sent before it received the clearing of the request must not restore
// the case.
func TestClearedRequestIgnoresEarlierReports(t *testing.T) {
	reg := heldRegistry(t)
	reports := reg.Reports(startTime, quarantine.LevelHeld, 1)
	reg.RecordAnswer(startTime, digest(1))
	reg.Merge(startTime.Add(time.Second), reports[0])
	assert.Equal(t, reg.Level(startTime.Add(time.Second), digest(1)), quarantine.LevelClear)
}

// A client that changes its request each time is detected by its presence on the engines that
// crash: within three crashes if a twentieth of the other engines run a new request of it, and
// within twelve if nearly half do. The threshold of the score lets crashes by coincidence restrict
// at most one source in a thousand.
func TestSourceOfChangingRequestsIsRestricted(t *testing.T) {
	source := quarantine.TrafficSource{Service: "model", Account: "kitchen", Route: "stream"}
	cases := map[string]struct {
		requestShare, newRequestShare float64
		within                        int
	}{
		"a twentieth": {0.15, 0.05, 3},
		"nearly half": {0.8, 0.4, 12},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.New(quarantine.Config{})
			crashes := 0
			for restricted := false; !restricted; crashes++ {
				assert.Assert(t, crashes < 50)
				reg.RecordUnexplainedCrash(startTime, []quarantine.Presence{{TrafficSource: source, HasRequest: true, HasNewRequest: true, RequestShare: tst.requestShare, NewRequestShare: tst.newRequestShare}})
				restricted, _ = reg.Restriction(startTime, source)
			}
			assert.Assert(t, crashes <= tst.within, crashes)
			reg.RecordExclusiveCrash(startTime, source, 18)
			_, pause := reg.Restriction(startTime, source)
			assert.Assert(t, pause > 8*time.Second && pause < 9*time.Second, pause)
		})
	}
}

// Guards against sound requests that are refused for an hour: a part of prompts with the id 0 passed for a request, and was held
// for as long.
func TestPartIsHeldForAShorterTimeWhateverItsID(t *testing.T) {
	for _, part := range []uint64{0, 1, 7} {
		reg := quarantine.New(quarantine.Config{})
		sub := quarantine.PartSubject("model", part)
		for _, name := range []string{"a", "b", "c"} {
			reg.RecordCrash(startTime, quarantine.Observation{Subject: sub, Engine: name})
		}
		assert.Assert(t, sub.IsPart())
		assert.Equal(t, reg.HeldFor(startTime, sub.Digest), time.Minute, "part %d", part)
	}
	assert.Assert(t, !subject(1).IsPart())
	assert.Equal(t, heldRegistry(t).HeldFor(startTime, digest(1)), time.Hour)
}

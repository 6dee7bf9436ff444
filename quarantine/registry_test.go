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

var begin = time.Unix(9000, 0)

func digest(num int) call.Digest {
	return call.Request{Method: "POST", Target: fmt.Sprint(num)}.Digest("kitchen")
}

func subject(num int) quarantine.Subject {
	return quarantine.Subject{Digest: digest(num), Service: "model", Account: "kitchen", Route: "stream"}
}

func ended(num int, engine string, alone bool) quarantine.Observation {
	return quarantine.Observation{Subject: subject(num), Engine: engine, Alone: alone}
}

func TestLevelsFollowTheEnds(t *testing.T) {
	cases := map[string]struct {
		ends []quarantine.Observation
		want quarantine.Level
	}{
		"none":                     {nil, quarantine.LevelClear},
		"one":                      {[]quarantine.Observation{ended(1, "a", false)}, quarantine.LevelWatched},
		"one, alone":               {[]quarantine.Observation{ended(1, "a", true)}, quarantine.LevelWatched},
		"one, told twice":          {[]quarantine.Observation{ended(1, "a", false), ended(1, "a", false)}, quarantine.LevelWatched},
		"two":                      {[]quarantine.Observation{ended(1, "a", false), ended(1, "b", false)}, quarantine.LevelSuspected},
		"two, the last alone":      {[]quarantine.Observation{ended(1, "a", false), ended(1, "b", true)}, quarantine.LevelHeld},
		"two, learnt late alone":   {[]quarantine.Observation{ended(1, "a", false), ended(1, "b", false), ended(1, "b", true)}, quarantine.LevelHeld},
		"two, the first alone":     {[]quarantine.Observation{ended(1, "a", true), ended(1, "b", false)}, quarantine.LevelSuspected},
		"three":                    {[]quarantine.Observation{ended(1, "a", false), ended(1, "b", false), ended(1, "c", false)}, quarantine.LevelHeld},
		"three of other requests":  {[]quarantine.Observation{ended(2, "a", false), ended(3, "b", false), ended(4, "c", false)}, quarantine.LevelClear},
		"a request without digest": {[]quarantine.Observation{{Engine: "a"}, {Engine: "b"}, {Engine: "c"}}, quarantine.LevelClear},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.New(quarantine.Config{})
			for _, obs := range tst.ends {
				reg.Ended(begin, obs)
			}
			assert.Equal(t, reg.Level(begin, digest(1)), tst.want)
			assert.Equal(t, reg.Level(begin, call.Digest{}), quarantine.LevelClear)
		})
	}
}

func held(t *testing.T) *quarantine.Registry {
	t.Helper()
	reg := quarantine.New(quarantine.Config{})
	for _, name := range []string{"a", "b", "c"} {
		reg.Ended(begin, ended(1, name, false))
	}
	assert.Equal(t, reg.Level(begin, digest(1)), quarantine.LevelHeld)
	return reg
}

func TestAnswerAcquits(t *testing.T) {
	reg := held(t)
	reg.Answered(begin, digest(1))
	assert.Equal(t, reg.Level(begin, digest(1)), quarantine.LevelClear)
	assert.Assert(t, reg.Quiet())
}

// A held request is let out alone after an hour, then after a day, and then no more: each
// time costs an engine, and users allow three.
func TestHeldRequestIsLetOutTwiceAtMost(t *testing.T) {
	reg := held(t)
	now := begin
	trials := 0
	for day := range 30 {
		now = now.Add(24 * time.Hour)
		if reg.Level(now, digest(1)) == quarantine.LevelHeld {
			continue
		}
		assert.Equal(t, reg.Level(now, digest(1)), quarantine.LevelSuspected)
		trials++
		reg.Ended(now, ended(1, fmt.Sprint("day-", day), true))
		assert.Equal(t, reg.Level(now, digest(1)), quarantine.LevelHeld)
	}
	assert.Equal(t, trials, 2)
	assert.Equal(t, reg.HeldFor(now, digest(1)), time.Duration(0), "for good")
	assert.Assert(t, reg.Free(now, digest(1)))
	assert.Equal(t, reg.Level(now, digest(1)), quarantine.LevelClear)
}

// An end that may have been the connection's alone counts when the engine is known no more,
// unless it said that it leaves.
func TestDoubtedEndsAreSettledByTheListOfEngines(t *testing.T) {
	cases := map[string]struct {
		engines []quarantine.Engine
		after   time.Duration
		want    int
	}{
		"it is still there":       {[]quarantine.Engine{{Run: "a"}}, time.Second, 0},
		"it is gone":              {nil, time.Second, 1},
		"another run is there":    {[]quarantine.Engine{{Run: "a@17"}}, time.Second, 1},
		"it leaves":               {[]quarantine.Engine{{Run: "a", Leaving: true}}, time.Second, 0},
		"it is gone much later":   {nil, time.Minute, 0},
		"another engine is there": {[]quarantine.Engine{{Run: "b"}}, time.Second, 1},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.New(quarantine.Config{})
			reg.Doubt(begin, ended(1, "a", false))
			assert.Equal(t, reg.Level(begin, digest(1)), quarantine.LevelWatched)
			assert.Equal(t, len(reg.EnginesChanged(begin.Add(tst.after), tst.engines)), tst.want)
		})
	}
}

func TestEngineThatLivesTakesItsEndsBack(t *testing.T) {
	reg := quarantine.New(quarantine.Config{})
	reg.Ended(begin, ended(1, "a", false))
	reg.Ended(begin, ended(1, "b", false))
	reg.Ended(begin, ended(2, "b", false))
	reg.Lives(begin, "b")
	assert.Equal(t, reg.Level(begin, digest(1)), quarantine.LevelWatched)
	assert.Equal(t, reg.Level(begin, digest(2)), quarantine.LevelClear)
}

func TestWhatIsRememberedIsBounded(t *testing.T) {
	reg := held(t)
	for num := range 6000 {
		reg.Ended(begin, ended(100+num, "x", false))
	}
	assert.Assert(t, len(reg.Cases(begin)) <= 4096)
	assert.Equal(t, reg.Level(begin, digest(1)), quarantine.LevelHeld, "those that did least go first")
	for num := range 400 {
		for _, name := range []string{"a", "b", "c"} {
			reg.Ended(begin.Add(time.Second), ended(10_000+num, name, false))
		}
	}
	holds, _ := reg.ToStore()
	assert.Assert(t, len(holds) <= quarantine.MaxHeld, len(holds))
	late := begin.Add(11 * time.Minute)
	reg.Ended(late, ended(50_000, "y", false))
	assert.Assert(t, len(reg.Cases(late)) <= quarantine.MaxHeld+1, len(reg.Cases(late)))
}

// What hosts tell one another adds up to the same, in whatever order and however often it
// is told, and a held request is held wherever it is told of.
func TestReportsAddUpInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*quarantine.Registry{quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})}
		ends := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Observation {
			return ended(rapid.IntRange(1, 3).Draw(t, "request"), rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "engine"), false)
		}), 1, 12).Draw(t, "ends")
		for _, obs := range ends {
			hosts[rapid.IntRange(0, 2).Draw(t, "host")].Ended(begin, obs)
		}
		var told []quarantine.Report
		for _, hos := range hosts {
			told = append(told, hos.Reports(begin, quarantine.LevelWatched, 100)...)
		}
		for _, hos := range hosts {
			for _, idx := range rapid.Permutation(indexes(len(told))).Draw(t, "order") {
				hos.Merge(begin, told[idx])
				if rapid.Bool().Draw(t, "again") {
					hos.Merge(begin, told[idx])
				}
			}
		}
		all := quarantine.New(quarantine.Config{})
		for _, obs := range ends {
			all.Ended(begin, obs)
		}
		for num := 1; num <= 3; num++ {
			for _, hos := range hosts {
				assert.Equal(t, hos.Level(begin, digest(num)), all.Level(begin, digest(num)))
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

func TestHeldRequestsOutlastTheirHosts(t *testing.T) {
	reg := held(t)
	holds, differ := reg.ToStore()
	assert.Assert(t, differ)
	reg.TakeStored(begin, holds)
	_, differ = reg.ToStore()
	assert.Assert(t, !differ, "nothing is left to write")

	later := quarantine.New(quarantine.Config{})
	later.TakeStored(begin.Add(time.Minute), holds)
	assert.Equal(t, later.Level(begin.Add(time.Minute), digest(1)), quarantine.LevelHeld)
	assert.Equal(t, later.HeldFor(begin.Add(time.Minute), digest(1)), 59*time.Minute)

	assert.Assert(t, later.Free(begin.Add(time.Minute), digest(1)))
	left, differ := later.ToStore()
	assert.Assert(t, differ && len(left) == 0)
	reg.TakeStored(begin.Add(time.Minute), left)
	assert.Equal(t, reg.Level(begin.Add(time.Minute), digest(1)), quarantine.LevelClear, "freed by another host")
}

// What crosses a clearance doesn't bring the case back.
func TestClearanceOutlastsWhatWasToldBefore(t *testing.T) {
	reg := held(t)
	told := reg.Reports(begin, quarantine.LevelHeld, 1)
	reg.Answered(begin, digest(1))
	reg.Merge(begin.Add(time.Second), told[0])
	assert.Equal(t, reg.Level(begin.Add(time.Second), digest(1)), quarantine.LevelClear)
}

// A caller that changes its request each time is found by where its requests were: the one
// with a twentieth of the work within three ends, the one with nearly half of it within
// twelve. Ends by chance restrict one source in a thousand at most.
func TestSourceOfChangingRequestsIsFound(t *testing.T) {
	source := quarantine.Source{Service: "model", Account: "kitchen", Route: "stream"}
	cases := map[string]struct {
		usual, young float64
		within       int
	}{
		"a twentieth":       {0.15, 0.05, 3},
		"nearly half of it": {0.8, 0.4, 12},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.New(quarantine.Config{})
			ends := 0
			for restricted := false; !restricted; ends++ {
				assert.Assert(t, ends < 50)
				reg.UnexplainedEnd(begin, []quarantine.Presence{{Source: source, Here: true, Young: true, Usual: tst.usual, UsualYoung: tst.young}})
				restricted, _ = reg.Restriction(begin, source)
			}
			assert.Assert(t, ends <= tst.within, ends)
			reg.EndedAlone(begin, source, 18)
			_, pause := reg.Restriction(begin, source)
			assert.Assert(t, pause > 8*time.Second && pause < 9*time.Second, pause)
		})
	}
}

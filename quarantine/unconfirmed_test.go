package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/quarantine"
)

// runName returns the run of engine a that started at the given time after startTime.
func runName(after time.Duration) string {
	return fmt.Sprintf("a@%d", startTime.Add(after).UnixMilli())
}

func checked(check quarantine.Check) quarantine.Observation {
	obs := crash(1, runName(-time.Minute), false)
	obs.Check = check
	return obs
}

// Guards against an engine that cut off an answer, lived on and was deregistered as planned, which
// counted as its crash. An engine that was found alive crashed nevertheless if a run that may have
// started before that replaced it.
func TestGatewaysCheckDecidesDeregistration(t *testing.T) {
	const checkedAt = 300 * time.Millisecond
	current := []quarantine.Engine{{Run: runName(-time.Minute)}}
	cases := map[string]struct {
		result  quarantine.Check
		engines []quarantine.Engine
		after   time.Duration
		want    int
	}{
		"alive, still registered":         {quarantine.CheckAlive, current, time.Second, 0},
		"alive, deregistered":             {quarantine.CheckAlive, nil, time.Second, 0},
		"alive, replaced before":          {quarantine.CheckAlive, []quarantine.Engine{{Run: runName(150 * time.Millisecond)}}, time.Second, 1},
		"alive, replaced later":           {quarantine.CheckAlive, []quarantine.Engine{{Run: runName(3 * time.Second)}}, 4 * time.Second, 0},
		"no result, deregistered":         {quarantine.CheckNone, nil, time.Second, 1},
		"check running, deregistered":     {quarantine.CheckRunning, nil, time.Second, 0},
		"gateway lost, deregistered":      {quarantine.CheckRunning, nil, 3 * time.Second, 1},
		"check running, still registered": {quarantine.CheckRunning, current, 3 * time.Second, 0},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.New(quarantine.Config{})
			reg.RecordUnconfirmedCrash(startTime, checked(quarantine.CheckRunning))
			assert.Equal(t, reg.Level(startTime, digest(1)), quarantine.LevelWatched)
			if tst.result != quarantine.CheckRunning {
				reg.RecordUnconfirmedCrash(startTime.Add(checkedAt), checked(tst.result))
			}
			assert.Equal(t, len(reg.ApplyEngines(startTime.Add(tst.after), tst.engines)), tst.want)
		})
	}
}

// The result of a check may arrive after the engine's entry was deleted.
func TestCheckIsAwaitedAfterDeregistration(t *testing.T) {
	for result, want := range map[quarantine.Check]int{quarantine.CheckAlive: 0, quarantine.CheckNone: 1} {
		reg := quarantine.New(quarantine.Config{})
		reg.RecordUnconfirmedCrash(startTime, checked(quarantine.CheckRunning))
		assert.Equal(t, len(reg.ApplyEngines(startTime.Add(100*time.Millisecond), nil)), 0)
		reg.RecordUnconfirmedCrash(startTime.Add(300*time.Millisecond), checked(result))
		assert.Equal(t, len(reg.ApplyEngines(startTime.Add(300*time.Millisecond), nil)), want)
	}
}

// A request whose engine lives runs several times at once, as before: its answer was cut off, and
// nothing more is known against it.
func TestRequestOfLiveEngineIsNotWatched(t *testing.T) {
	reg := quarantine.New(quarantine.Config{})
	reg.RecordUnconfirmedCrash(startTime, checked(quarantine.CheckRunning))
	reg.RecordUnconfirmedCrash(startTime, checked(quarantine.CheckAlive))
	assert.Equal(t, reg.Level(startTime, digest(1)), quarantine.LevelClear)
	reg.RecordAnswer(startTime, digest(1))
	assert.Assert(t, reg.IsEmpty())
}

// An answer to a request that was sent after the connection had ended shows that the engine lived.
func TestLaterAnswerOfEngineDropsUnconfirmedCrash(t *testing.T) {
	for name, tst := range map[string]struct {
		sentAfter time.Duration
		engine    string
		want      int
	}{
		"sent before":       {-time.Second, runName(-time.Minute), 1},
		"sent after":        {time.Second, runName(-time.Minute), 0},
		"of another engine": {time.Second, "b", 1},
	} {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.New(quarantine.Config{})
			reg.RecordUnconfirmedCrash(startTime, checked(quarantine.CheckNone))
			reg.RecordLife(tst.engine, startTime.Add(tst.sentAfter))
			assert.Equal(t, len(reg.ApplyEngines(startTime.Add(2*time.Second), nil)), tst.want)
		})
	}
}

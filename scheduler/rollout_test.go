package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/rollout"
	"lynxwell.dev/lynxwell/scheduler"
)

func versioned(name, version string) fleet.Engine {
	eng := plainEngine(name, 8)
	eng.Version = version
	return eng
}

// ordered has a core move from two engines to as many of a new version.
func ordered(t *testing.T) *desk {
	t.Helper()
	des := &desk{
		core: scheduler.New(scheduler.Config{
			Self: own, Repeats: scheduler.Repeats{Ratio: 0.2, Window: 10 * time.Second, Slack: 10}, LimitSlack: 1000,
			Rollouts: rollout.Config{Self: "a", Share: 0.1, Slack: 50},
		}),
		now: time.Unix(5000, 0),
	}
	des.handle(scheduler.RolloutsChanged{Standings: []rollout.Standing{standingOf("v2", 7)}})
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{
		versioned("new-1", "v2"), versioned("new-2", "v2"), versioned("old-1", "v1"), versioned("old-2", "v1"),
	}})
	return des
}

func standingOf(version string, revision uint64) rollout.Standing {
	return rollout.Standing{Order: rollout.Order{Service: "plain", Version: version, Period: 10 * time.Second, Revision: revision}}
}

// decide has the core decide on its roll-outs, and does what it wants written.
func (des *desk) decide() {
	for idx, wri := range des.core.RolloutWrites(des.now) {
		des.handle(scheduler.RolloutRecorded{Write: wri, Revision: uint64(des.now.UnixNano()) + uint64(idx)})
	}
}

func repeatable(name string) reservation.Reserve {
	res := plain(name)
	res.Route, res.Repeatable = "r", true
	return res
}

// A version that isn't known to be good gets nothing before a part of the requests is
// reserved for it, from nobody but who decides for all, and no repeats.
func TestNewVersionGetsNothingThatIsNotReserved(t *testing.T) {
	des := ordered(t)
	for idx := range 4 {
		name := fmt.Sprint("before-", idx)
		granted := engineOf(des.reserve(repeatable(name)), name)
		assert.Assert(t, granted == "old-1" || granted == "old-2", granted)
	}
	des.decide()
	res := repeatable("repeat")
	res.Attempt, res.Exclude = 1, []string{"old-1"}
	assert.Equal(t, engineOf(des.reserve(res), "repeat"), "old-2")
	assert.Equal(t, engineOf(des.reserve(repeatable("trial")), "trial"), "new-1")
	des.now = des.now.Add(time.Second)
	lapsed := engineOf(des.reserve(repeatable("lapsed")), "lapsed")
	assert.Assert(t, lapsed == "old-1" || lapsed == "old-2", lapsed)
}

// Trials go to one engine until it has as much to do as the former ones, since some
// versions are bad only then, and each after some requests at those.
func TestTrialsLoadOneEngineFirst(t *testing.T) {
	des := ordered(t)
	for idx := range 8 {
		des.reserve(repeatable(fmt.Sprint("load-", idx)))
	}
	des.decide()
	granted := make(map[string]int)
	for idx := range 15 {
		name := fmt.Sprint("trial-", idx)
		granted[engineOf(des.reserve(repeatable(name)), name)]++
	}
	assert.Equal(t, granted["new-1"], 3, "%v", granted)
	assert.Equal(t, granted["new-2"], 0)
}

// A version that another order followed gets nothing until it is ordered again.
func TestVersionOfAFormerOrderGetsNothing(t *testing.T) {
	des := ordered(t)
	des.handle(scheduler.RolloutsChanged{Standings: []rollout.Standing{standingOf("v3", 9)}})
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{versioned("new-1", "v2"), versioned("old-1", "v1")}})
	des.decide()
	for idx := range 3 {
		name := fmt.Sprint("r-", idx)
		assert.Equal(t, engineOf(des.reserve(repeatable(name)), name), "old-1")
	}
}

// Failures of the version end its roll-out with its tenth bad answer at the latest, and
// nothing goes there any more.
func TestFailuresEndTheRollout(t *testing.T) {
	des := ordered(t)
	des.decide()
	bad := 0
	for idx := range 60 {
		name := fmt.Sprint("r-", idx)
		granted := engineOf(des.reserve(repeatable(name)), name)
		failed := granted == "new-1" || granted == "new-2"
		if failed {
			bad++
		}
		des.after(100 * time.Millisecond)
		des.release(reservation.Release{ID: id(name), Engine: granted, Dispatched: true, Failed: failed, Total: 20 * time.Millisecond})
		des.decide()
	}
	assert.Assert(t, bad > 0 && bad <= 10, "%d", bad)
	assert.Equal(t, des.core.Dump(des.now).Services[0].Rollout.State, "RolledBack")
}

// Once a roll-out is completed the former engines are taken for stopped, although their
// entries are still there. Engines that come later get work whatever their version, also
// on a host that starts later.
func TestCompletedRolloutStopsTheFormerEnginesOnly(t *testing.T) {
	des := ordered(t)
	completed := standingOf("v2", 7)
	completed.State, completed.StateVersion, completed.StateRevision = rollout.StateCompleted, "v2", 8
	des.handle(scheduler.RolloutsChanged{Standings: []rollout.Standing{completed}})
	granted := make(map[string]int)
	for idx := range 16 {
		name := fmt.Sprint("r-", idx)
		granted[engineOf(des.reserve(repeatable(name)), name)]++
	}
	assert.Equal(t, granted["new-1"]+granted["new-2"], 16, "%v", granted)
	later := []fleet.Engine{versioned("later-1", "v3"), versioned("later-2", "v1")}
	for _, eng := range later {
		des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{eng}})
		assert.Equal(t, engineOf(des.reserve(repeatable(eng.ID.Name)), eng.ID.Name), eng.ID.Name)
	}
	starting := newDesk(later...)
	starting.handle(scheduler.RolloutsChanged{Standings: []rollout.Standing{completed}})
	starting.handle(scheduler.EnginesChanged{Engines: later})
	starting.handle(scheduler.RolloutsChanged{Standings: []rollout.Standing{completed}})
	assert.Assert(t, engineOf(starting.reserve(repeatable("r")), "r") != "")
}

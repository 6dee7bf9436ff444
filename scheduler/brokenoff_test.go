package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

// An engine breaks off an answer and lives on: the poison request, which is granted the engine after that, crashes it. The
// crash doesn't count against the request whose answer was broken off, nor against the parts of its prompt, whatever its
// gateway finds when it checks the engine after the crash.
func TestLaterRequestExplainsCrash(t *testing.T) {
	for name, checked := range map[string]reservation.EngineCrashed{
		"refused soon, so the gateway confirms a crash":   {},
		"refused late, so the list of engines decides it": {Unconfirmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(newModelEngines(1)...)
			sound, poison := prompt("sound", 50), sameRequest("poison", "poison")
			for _, sub := range []quarantine.Subject{sound.Subject(), poison.Subject()} {
				har.handle(scheduler.Received{From: peerEpoch, Message: reservation.CaseReport{Report: quarantine.Report{
					Subject: sub, Crashes: []quarantine.Crash{{Engine: "x"}, {Engine: "y"}},
				}}})
			}
			assert.Equal(t, grantedEngine(har.reserve(sound), "sound"), "e00")
			checked.ID = sound.ID
			checked.Observation = quarantine.Observation{Subject: sound.Subject(), Engine: "e00", Check: quarantine.CheckRunning}
			har.now = har.now.Add(42 * time.Millisecond)
			har.handle(scheduler.Received{From: peerEpoch, Message: reservation.EngineCrashed{ID: sound.ID, Observation: checked.Observation, Unconfirmed: true}})
			har.release(reservation.Release{ID: sound.ID, Engine: "e00", Dispatched: true, Failed: true})
			har.now = har.now.Add(128 * time.Millisecond)
			assert.Equal(t, grantedEngine(har.reserve(poison), "poison"), "e00")
			har.reportCrash(poison, "e00")
			checked.Check = quarantine.CheckNone
			har.handle(scheduler.Received{From: peerEpoch, Message: checked})
			har.handle(scheduler.EnginesChanged{})
			assert.Check(t, har.partLevel(50) == "Clear", har.partLevel(50))
			assert.Equal(t, refusalReason(har.reserve(sameRequest("poison", "again")), "again"), reservation.ReasonHeld)
			assert.Equal(t, len(har.core.CaseReports(har.now, quarantine.LevelHeld, 2)), 1, "the sound request isn't held")
		})
	}
}

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

func engineRun(millis int64) fleet.Engine {
	eng := modelEngine("e")
	eng.ID = fleet.NewEngineID("e", time.UnixMilli(millis))
	return eng
}

func dumpEngine(t *testing.T, har *harness) scheduler.EngineDump {
	t.Helper()
	engines := har.core.Dump(har.now).Services[0].Engines
	assert.Equal(t, len(engines), 1)
	return engines[0]
}

// An engine that restarts under the same name has no running requests, pending prefills or cached
// tokens, and its earlier failures no longer count. Messages about the earlier run don't affect it.
func TestRestartedEngineStartsClean(t *testing.T) {
	har := newHarness(engineRun(1000))
	parts := []call.Part{{ID: 7, Tokens: 500}}
	for idx := range 3 {
		res := promptReservation(fmt.Sprint("lost-", idx), 1000)
		res.Parts = parts
		assert.Equal(t, grantedEngine(har.reserve(res), fmt.Sprint("lost-", idx)), engineRun(1000).ID.String())
		har.advance(time.Millisecond)
	}
	har.release(reservation.Release{ID: requestID("lost-0"), Dispatched: true, Failed: true})
	har.release(reservation.Release{ID: requestID("lost-1"), Dispatched: true, Failed: true})
	assert.Assert(t, dumpEngine(t, har).AsideFor != "")

	har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{engineRun(2000)}})
	restarted := dumpEngine(t, har)
	assert.Equal(t, restarted.ID, engineRun(2000).ID)
	assert.Equal(t, restarted.Running, 0)
	assert.Equal(t, restarted.Unread, "0s")
	assert.Equal(t, restarted.CachedTokens, 0)
	assert.Equal(t, restarted.AsideFor, "")

	assert.Equal(t, grantedEngine(har.reserve(promptReservation("next", 1000)), "next"), engineRun(2000).ID.String())
	har.release(reservation.Release{ID: requestID("lost-2"), Engine: engineRun(1000).ID.String(), Dispatched: true, Failed: true})
	har.handle(scheduler.Received{From: peerEpoch, Message: reservation.Adopt{ID: requestID("inherited"), Engine: engineRun(1000).ID.String(), Service: "model", PromptTokens: 9000, PendingPrefill: true}})
	har.handle(scheduler.Received{From: peerEpoch, Message: reservation.Progress{ID: requestID("lost-2"), FirstToken: time.Second}})
	assert.Equal(t, dumpEngine(t, har).Running, 1)
	assert.Equal(t, dumpEngine(t, har).AsideFor, "")
}

// A retry that excludes an earlier run of an engine may run on the restarted engine.
func TestRetryMayRunOnRestartedEngine(t *testing.T) {
	har := newHarness(engineRun(1000))
	res := promptReservation("r", 100)
	res.Attempt, res.Exclude = 1, []string{engineRun(1000).ID.String()}
	assert.Equal(t, grantedEngine(har.reserve(res), "r"), "")
	assert.Equal(t, grantedEngine(har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{engineRun(2000)}}), "r"), engineRun(2000).ID.String())
}

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

func runOf(millis int64) fleet.Engine {
	eng := modelEngine("e")
	eng.ID = fleet.NewEngineID("e", time.UnixMilli(millis))
	return eng
}

func dumpOf(t *testing.T, des *desk) scheduler.EngineDump {
	t.Helper()
	engines := des.core.Dump(des.now).Services[0].Engines
	assert.Equal(t, len(engines), 1)
	return engines[0]
}

// An engine that starts again under its name runs, reads and caches nothing, and its
// former failures count no more. What is told of the former run doesn't touch it.
func TestEngineThatStartsAgainBeginsAnew(t *testing.T) {
	des := newDesk(runOf(1000))
	parts := []call.Part{{ID: 7, Tokens: 500}}
	for idx := range 3 {
		res := prompt(fmt.Sprint("lost-", idx), 1000)
		res.Parts = parts
		assert.Equal(t, engineOf(des.reserve(res), fmt.Sprint("lost-", idx)), runOf(1000).ID.String())
		des.after(time.Millisecond)
	}
	des.release(reservation.Release{ID: id("lost-0"), Dispatched: true, Failed: true})
	des.release(reservation.Release{ID: id("lost-1"), Dispatched: true, Failed: true})
	assert.Assert(t, dumpOf(t, des).AsideFor != "")

	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{runOf(2000)}})
	anew := dumpOf(t, des)
	assert.Equal(t, anew.ID, runOf(2000).ID)
	assert.Equal(t, anew.Running, 0)
	assert.Equal(t, anew.Unread, "0s")
	assert.Equal(t, anew.CachedTokens, 0)
	assert.Equal(t, anew.AsideFor, "")

	assert.Equal(t, engineOf(des.reserve(prompt("next", 1000)), "next"), runOf(2000).ID.String())
	des.release(reservation.Release{ID: id("lost-2"), Engine: runOf(1000).ID.String(), Dispatched: true, Failed: true})
	des.handle(scheduler.Received{From: peer, Message: reservation.Adopt{ID: id("former"), Engine: runOf(1000).ID.String(), Service: "model", PromptTokens: 9000, Unread: true}})
	des.handle(scheduler.Received{From: peer, Message: reservation.Progress{ID: id("lost-2"), FirstToken: time.Second}})
	assert.Equal(t, dumpOf(t, des).Running, 1)
	assert.Equal(t, dumpOf(t, des).AsideFor, "")
}

// A repeat may go to the run that follows the one that failed it.
func TestRepeatMayGoToTheLaterRun(t *testing.T) {
	des := newDesk(runOf(1000))
	res := prompt("r", 100)
	res.Attempt, res.Exclude = 1, []string{runOf(1000).ID.String()}
	assert.Equal(t, engineOf(des.reserve(res), "r"), "")
	assert.Equal(t, engineOf(des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{runOf(2000)}}), "r"), runOf(2000).ID.String())
}

package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
)

// Seen: every half second an engine ended, 55 in all within three quarters of a minute, and
// with each up to six streams of other callers. In each end that the logs showed whole
// there was one request of the same account, route and length, some 0.1 s old, on its first
// attempt, taken by whichever host.
// Came about so: its caller sent the same request again under another id each time it
// failed, to any host, and whatever engine began to run it ended.
// Cause: nothing that outlives a request remembers what it did to its engine. An engine's
// end counted against the engine alone, so each repeat was new and went to the next one.
// Proof: this test, in which one caller's request reached engines 20 times of 20.
func TestRequestThatEndsEnginesIsHeld(t *testing.T) {
	sys, cra := startCrashing(t, 3, entrytest.CrashConfig{})
	const tries = 20
	for num := range tries {
		cra.UntilUp(cra.Count())
		ans := sendCrashing(t, sys, sys.Hosts[num%len(sys.Hosts)], fmt.Sprintf("again-%d", num))
		assert.Assert(t, ans.Err != nil || ans.Status != http.StatusOK, "nothing can answer it")
	}
	assert.Assert(t, len(cra.Arrivals()) <= 3, "%d arrivals, %d engines ended", len(cra.Arrivals()), len(cra.Ends()))
}

// startCrashing starts hosts before six engines that end when they run a certain request.
func startCrashing(t *testing.T, hosts int, cfg entrytest.CrashConfig) (*entrytest.System, *entrytest.Crashing) {
	t.Helper()
	sys := entrytest.Start(t, entrytest.Config{Hosts: hosts})
	cfg.Engines, cfg.Events = 6, events
	cfg.After, cfg.Lapse, cfg.Back = 10*time.Millisecond, 50*time.Millisecond, 150*time.Millisecond
	cra := sys.AddCrashing(cfg)
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	sys.UntilEngines(cfg.Engines)
	return sys, cra
}

// sendCrashing sends that request under an id.
func sendCrashing(t *testing.T, sys *entrytest.System, hos *entrytest.Host, id string) entrytest.Answer {
	t.Helper()
	return sys.Send(t.Context(), hos, entrytest.Request{
		ID: id, Path: "/stream/week", Body: entrytest.CrashBody,
		Header: map[string]string{"Token-Counts": "100,20", "Deadline-Ms": "3000"},
	})
}

package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// startSuspendable starts hosts whose suspension a test can simulate through their clocks.
func startSuspendable(t *testing.T, hosts int, engines []*upstreamtest.Engine) *entrytest.System {
	t.Helper()
	return startWith(t, entrytest.Config{Hosts: hosts, Engines: engines, Suspendable: true})
}

// Guards against a revoked key that is accepted after a suspension of some seconds. The monotonic
// clock doesn't count these, so the resumed host's snapshot of the store would look fresh, and a key
// that was revoked meanwhile would be accepted until the store answers, which may take arbitrarily
// long. The age of a snapshot must therefore not be measured by the monotonic clock alone.
func TestKeyRevokedDuringSuspensionIsRejected(t *testing.T) {
	engines := twoOfEach()
	sys := startSuspendable(t, 1, engines)
	hos := sys.Hosts[0]
	for _, detected := range []bool{false, true} {
		t.Run(fmt.Sprint("suspension detected: ", detected), func(t *testing.T) {
			sys.WaitForReady()
			hos.SetStoreCut(true)
			hos.Clock.Suspend(10 * time.Second)
			if detected {
				sys.WaitUntil("the suspension is detected", func() bool { return strings.Contains(sys.Log(), "host was suspended") })
			}
			id := fmt.Sprint("revoked-", detected)
			ans := sys.Send(t.Context(), hos, entrytest.Request{ID: id, Path: "/unsafe/x"})
			assert.Equal(t, ans.Status, http.StatusServiceUnavailable, ans.Body)
			assert.Equal(t, len(runsOf(engines, id)), 0)
			hos.SetStoreCut(false)
		})
	}
}

// A deadline that passes while the host is suspended ends the request as soon as the host resumes.
func TestDeadlinePassesDuringSuspension(t *testing.T) {
	engines := twoOfEach()
	sys := startSuspendable(t, 1, engines)
	for _, eng := range engines[2:] {
		eng.InjectFault(upstreamtest.Hang, 1)
	}
	answers := make(chan entrytest.Answer, 1)
	started := time.Now()
	go func() {
		answers <- sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "hangs", Path: "/unsafe/x", Header: map[string]string{"Deadline-Ms": "4500"}})
	}()
	sys.WaitUntil("the request runs", func() bool { return len(runsOf(engines, "hangs")) == 1 })
	sys.Hosts[0].Clock.Suspend(5 * time.Second)
	ans := <-answers
	assert.Equal(t, ans.Status, http.StatusGatewayTimeout, ans.Body)
	assert.Assert(t, time.Since(started) < 3*time.Second, "the request must not wait beyond its deadline")
}

// A host that was suspended for longer than the timeout of its sessions ends all of them. Then the
// hosts open new sessions, and requests are served.
func TestSessionsEndAfterSuspension(t *testing.T) {
	sys := startSuspendable(t, 3, twoOfEach())
	for _, hos := range sys.Hosts {
		before := strings.Count(sys.Log(), "session lost")
		hos.Clock.Suspend(6 * time.Second)
		sys.WaitUntil("the host's sessions end", func() bool { return strings.Count(sys.Log(), "session lost") > before })
		sys.WaitForReady()
		id := "after-" + hos.Settings.Name
		ans := sys.Send(t.Context(), hos, entrytest.Request{ID: id, Path: "/unsafe/x"})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
}

// The age of a snapshot includes the time of a suspension, also for hosts that read the store
// through the suspended host.
func TestSnapshotAgeIncludesSuspension(t *testing.T) {
	sys := startSuspendable(t, 2, twoOfEach())
	for _, hos := range sys.Hosts {
		hos.SetStoreCut(true)
	}
	for _, hos := range sys.Hosts {
		hos.Clock.Suspend(10 * time.Second)
	}
	for num, hos := range sys.Hosts {
		ans := sys.Send(t.Context(), hos, entrytest.Request{ID: fmt.Sprint("stale-", num), Path: "/unsafe/x"})
		assert.Equal(t, ans.Status, http.StatusServiceUnavailable, ans.Body)
	}
}

// Suspensions count towards the duration of a hold: the request is still held after one that is
// shorter than the hold, and is released after a second one.
func TestHoldCountsSuspendedTime(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Suspendable: true})
	cra := sys.AddCrashingEngines(entrytest.CrashConfig{Engines: 6, Events: streamEvents, After: 10 * time.Millisecond, Lapse: 50 * time.Millisecond, Back: 150 * time.Millisecond})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.WaitForEngines(6)
	sendUntilHeld(t, sys, cra)
	hos := sys.Hosts[0]
	hos.Clock.Suspend(30 * time.Minute)
	sys.WaitForReady()
	assert.Assert(t, strings.Contains(sendPoison(t, sys, hos, "half").Body, `"Held"`))
	hos.Clock.Suspend(31 * time.Minute)
	sys.WaitForReady()
	arrived := len(cra.Arrivals())
	cra.WaitForRunning(cra.EngineCount())
	sys.WaitUntil("the hold ends", func() bool {
		sendPoison(t, sys, hos, fmt.Sprint("out-", time.Now().UnixNano()))
		return len(cra.Arrivals()) > arrived
	})
}

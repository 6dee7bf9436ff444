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

// suspendable starts hosts whose clocks a test may suspend.
func suspendable(t *testing.T, hosts int, engines []*upstreamtest.Engine) *entrytest.System {
	t.Helper()
	return startWith(t, entrytest.Config{Hosts: hosts, Engines: engines, Suspendable: true})
}

// Seen: the pages tell that a host may be suspended for seconds, and that the steady clock
// doesn't count that time.
// Came about so: a host that wakes up believes to have heard of the store a moment ago. A
// key that was taken away in the meantime is served until the store is heard of again,
// which takes as long as it likes where the host is cut off from it.
// Cause: all ages were told by the steady clock.
// Proof: this test; the request ran.
func TestKeyTakenAwayDuringASuspensionOpensNothing(t *testing.T) {
	engines := twoOfEach()
	sys := suspendable(t, 1, engines)
	hos := sys.Hosts[0]
	for _, noticed := range []bool{false, true} {
		t.Run(fmt.Sprint("noticed ", noticed), func(t *testing.T) {
			sys.UntilReady()
			hos.CutStore(true)
			hos.Clock.Suspend(10 * time.Second)
			if noticed {
				sys.Until("the suspension is noticed", func() bool { return strings.Contains(sys.Log(), "host was suspended") })
			}
			id := fmt.Sprint("revoked-", noticed)
			ans := sys.Send(t.Context(), hos, entrytest.Request{ID: id, Path: "/unsafe/x"})
			assert.Equal(t, ans.Status, http.StatusServiceUnavailable, ans.Body)
			assert.Equal(t, len(runsOf(engines, id)), 0)
			hos.CutStore(false)
		})
	}
}

// A deadline that passes while the host is suspended has passed when it wakes up.
func TestDeadlinePassesDuringASuspension(t *testing.T) {
	engines := twoOfEach()
	sys := suspendable(t, 1, engines)
	for _, eng := range engines[2:] {
		eng.Trouble(upstreamtest.Hang, 1)
	}
	answers := make(chan entrytest.Answer, 1)
	started := time.Now()
	go func() {
		answers <- sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "hangs", Path: "/unsafe/x", Header: map[string]string{"Deadline-Ms": "4500"}})
	}()
	sys.Until("it runs", func() bool { return len(runsOf(engines, "hangs")) == 1 })
	sys.Hosts[0].Clock.Suspend(5 * time.Second)
	ans := <-answers
	assert.Equal(t, ans.Status, http.StatusGatewayTimeout, ans.Body)
	assert.Assert(t, time.Since(started) < 3*time.Second, "it waits on after its deadline")
}

// A host that was suspended for longer than its sessions last trusts none of them: whoever
// decided for others asks, and its gateways are given anew.
func TestSessionsEndWithASuspension(t *testing.T) {
	sys := suspendable(t, 3, twoOfEach())
	for _, hos := range sys.Hosts {
		before := strings.Count(sys.Log(), "session lost")
		hos.Clock.Suspend(6 * time.Second)
		sys.Until("its sessions end", func() bool { return strings.Count(sys.Log(), "session lost") > before })
		sys.UntilReady()
		id := "after-" + hos.Settings.Name
		ans := sys.Send(t.Context(), hos, entrytest.Request{ID: id, Path: "/unsafe/x"})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
}

// What a host that was suspended knows of the store is as old as that for those that read
// through it.
func TestSuspendedHostPassesNothingOnAsNew(t *testing.T) {
	sys := suspendable(t, 2, twoOfEach())
	for _, hos := range sys.Hosts {
		hos.CutStore(true)
	}
	for _, hos := range sys.Hosts {
		hos.Clock.Suspend(10 * time.Second)
	}
	for num, hos := range sys.Hosts {
		ans := sys.Send(t.Context(), hos, entrytest.Request{ID: fmt.Sprint("stale-", num), Path: "/unsafe/x"})
		assert.Equal(t, ans.Status, http.StatusServiceUnavailable, ans.Body)
	}
}

// A hold counts the time that its host was suspended, and outlasts it.
func TestHoldEndsByTheClockThatCountsSuspensions(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Suspendable: true})
	cra := sys.AddCrashing(entrytest.CrashConfig{Engines: 6, Events: events, After: 10 * time.Millisecond, Lapse: 50 * time.Millisecond, Back: 150 * time.Millisecond})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	sys.UntilEngines(6)
	untilHeld(t, sys, cra)
	hos := sys.Hosts[0]
	hos.Clock.Suspend(30 * time.Minute)
	sys.UntilReady()
	assert.Assert(t, strings.Contains(sendCrashing(t, sys, hos, "half").Body, `"Held"`))
	hos.Clock.Suspend(31 * time.Minute)
	sys.UntilReady()
	arrived := len(cra.Arrivals())
	cra.UntilUp(cra.Count())
	sys.Until("it is let out", func() bool {
		sendCrashing(t, sys, hos, fmt.Sprint("out-", time.Now().UnixNano()))
		return len(cra.Arrivals()) > arrived
	})
}

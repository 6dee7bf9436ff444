package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// cutOff cuts the host off from all engines and waits until it serves through the others.
func cutOff(t *testing.T, sys *entrytest.System, host int) {
	t.Helper()
	sys.Hosts[host].EnginePath.Set(cuts["refused"])
	sys.WaitUntil("the cut host forwards", func() bool {
		return sendOne(t, sys, host, "before").Status == http.StatusOK && strings.Contains(sys.Log(), "request forwarded through another host")
	})
}

// Guards against a key that was revoked and still opens a cut host that can't read the store either.
func TestCutHostRefusesRevokedKey(t *testing.T) {
	engines := plainEngines(2)
	sys := startWithLongRevocation(t, 3, engines)
	cutOff(t, sys, 0)
	sys.Hosts[0].SetStoreCut(true)
	sys.Configure(entrytest.Configuration{Version: 2, Keys: []string{"second"}})
	for _, hos := range sys.Hosts[1:] {
		sys.WaitUntil("the key is revoked", func() bool { return strings.Contains(sys.Metrics(hos), "ConfigurationVersion 2\n") })
	}
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "revoked", Path: "/unsafe/x", Header: map[string]string{"Deadline-Ms": "1000"}})
	assert.Assert(t, ans.Status != http.StatusOK, ans.Body)
	assert.Equal(t, runsWithPrefix(engines, "revoked"), 0)
}

// Guards against DRAIN over a forwarding host, from a cut host that can't read the store either.
func TestForwardedRequestsReachNoDrainingEngine(t *testing.T) {
	engines := plainEngines(2)
	sys := startWithLongRevocation(t, 3, engines)
	cutOff(t, sys, 0)
	sys.Hosts[0].SetStoreCut(true)
	sys.PutEngineState(engines[0].ID(), entrytest.EngineState{Service: entrytest.Plain, Address: "127.0.0.1:1", Slots: 4, Draining: true})
	for _, hos := range sys.Hosts[1:] {
		sys.WaitUntil("the engine is known to drain", func() bool { return strings.Contains(sys.Metrics(hos), "EnginesReady 1\n") })
	}
	drained := len(engines[0].Arrivals())
	for num := range 40 {
		ans := sendPlain(t, sys, sys.Hosts[0], "unsafe", num)
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
	assert.Equal(t, len(engines[0].Arrivals()), drained)
}

// Guards against limits that forwarded requests escape: what cut hosts send through others counts against the
// same account.
func TestAccountLimitHoldsOverForwardingHosts(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Engines: plainEngines(2), Bounds: settings.Bounds{LimitSlack: 1}})
	sys.Configure(entrytest.Configuration{Version: 1, Rate: 1e6, Burst: 1000})
	sys.WaitForReady()
	for host := range 2 {
		cutOff(t, sys, host)
	}
	sys.Configure(entrytest.Configuration{Version: 2, Rate: 0.001, Burst: 1000})
	sys.WaitForVersion(2)
	served := 0
	for num := range 60 {
		ans := sys.Send(t.Context(), sys.Hosts[num%3], entrytest.Request{ID: fmt.Sprint("r", num), Path: "/unsafe/", Header: map[string]string{"Token-Counts": "40,10"}})
		if ans.Status == http.StatusOK {
			served++
		}
	}
	// 1000 tokens suffice for 20 requests of 50 tokens, and the last one may leave a debt.
	assert.Assert(t, served >= 10 && served <= 21, "%d served", served)
}

// Guards against an engine's rate limit that forwarded requests escape.
func TestEngineRateLimitIsRespectedOverForwardingHosts(t *testing.T) {
	const perSecond = 1.5
	engines := plainEngines(2)
	sys := startWithLongRevocation(t, 3, engines)
	for host := range 2 {
		cutOff(t, sys, host)
	}
	engines[0].SetRateLimit(perSecond)
	for num := range 40 {
		for _, hos := range sys.Hosts {
			ans := sendPlain(t, sys, hos, "unsafe", num)
			assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
		}
	}
	assert.Assert(t, len(engines[0].Arrivals()) > 0, "the engine serves requests within its limit")
	most := maxArrivalsInWindow(engines[0], sys.Hosts)
	assert.Check(t, most <= allowedRequests(perSecond), "%d requests within %s", most, rateWindow)
}

// Guards against a planned stop that breaks the requests off which the host forwards for others.
func TestPlannedStopOfForwardingHostLosesNoRequests(t *testing.T) {
	const events = 80
	slow := upstreamtest.NewEngine(upstreamtest.Config{ID: "m1", Service: entrytest.Model, Slots: 4, Events: events, Step: 50 * time.Millisecond})
	sys := start(t, 2, append(plainEngines(2), slow))
	cutOff(t, sys, 0)
	answers := make(chan entrytest.Answer, 1)
	go func() {
		answers <- sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "midway", Path: "/stream/"})
	}()
	sys.WaitUntil("the request runs", func() bool { return len(slow.Runs()) == 1 })
	assert.NilError(t, sys.Hosts[1].Drain(t.Context()))
	sys.Hosts[1].Stop()
	ans := <-answers
	assert.NilError(t, ans.Err)
	assert.Equal(t, ans.Body, upstreamtest.StreamBody("midway", events))
}

// Guards against a second run of a request that may run once only: its forwarding host is lost midway, while
// another host could forward it again.
func TestLossOfForwardingHostRunsNothingTwice(t *testing.T) {
	engines := plainEngines(2)
	sys := start(t, 3, engines)
	cutOff(t, sys, 0)
	cutOff(t, sys, 1)
	for _, eng := range engines {
		eng.InjectFault(upstreamtest.Hang, 1)
	}
	answers := make(chan entrytest.Answer, 1)
	go func() {
		answers <- sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "midway", Path: "/unsafe/"})
	}()
	sys.WaitUntil("the request runs", func() bool { return runsWithPrefix(engines, "midway") == 1 })
	for _, eng := range engines {
		eng.ClearFaults()
	}
	sys.Hosts[1].EnginePath.Set(upstreamtest.PathState{})
	sys.WaitUntil("the second host reaches engines", func() bool { return strings.Contains(sys.Log(), `"message":"engines reachable again"`) })
	sys.Hosts[2].Stop()
	ans := <-answers
	assert.Assert(t, ans.Status >= http.StatusInternalServerError, "%d %s", ans.Status, ans.Body)
	sys.WaitUntil("the cut host forwards through the second host", func() bool { return sendOne(t, sys, 0, "after").Status == http.StatusOK })
	assert.Equal(t, runsWithPrefix(engines, "midway"), 1)
}

// Guards against a budget for repeats that forwarded requests escape: what cut hosts repeat through others counts
// against the same budget.
func TestRepeatBudgetHoldsOverForwardingHosts(t *testing.T) {
	const requests, ratio, slack = 60, 0.2, 4
	engines := plainEngines(4)
	sys := startWith(t, entrytest.Config{Hosts: 3, Engines: engines, Bounds: settings.Bounds{RepeatRatio: ratio, RepeatSlack: slack}})
	for host := range 2 {
		cutOff(t, sys, host)
	}
	for _, eng := range engines {
		eng.InjectFault(upstreamtest.Error, 10*requests)
	}
	before := arrivalCount(engines)
	for num := range requests {
		sendPlain(t, sys, sys.Hosts[num%3], "safe", num)
	}
	sent := arrivalCount(engines) - before
	assert.Assert(t, float64(sent) <= requests*(1+ratio)+slack, "%d requests sent %d times", requests, sent)
}

package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/settings"
)

func TestHostWithoutStoreStopsServingAfterRevocationBound(t *testing.T) {
	engines := twoOfEach()
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: engines, Bounds: settings.Bounds{RevokeMilliseconds: 2500}})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	sys.WaitUntil("the host rejects requests", func() bool {
		return sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r", Path: "/safe/"}).Status == http.StatusServiceUnavailable
	})
	assert.Equal(t, len(sys.Addresses(sys.Hosts[0])), 0, "the host must not send clients to itself")
	sys.Store.SetFaults(platformtest.Faults{})
	sys.WaitForReady()
	assert.Equal(t, sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r2", Path: "/safe/"}).Status, http.StatusOK)
	assert.Assert(t, strings.Contains(sys.Log(), "store unreachable") && strings.Contains(sys.Log(), "store reachable again"))
}

func TestHostWithoutStoreKeepsServingWhenRevocationIsNotStrict(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: twoOfEach(), Bounds: settings.Bounds{
		RevokeMilliseconds: 500, RevocationIsStrict: settings.ToggleOff,
	}})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	sys.WaitUntil("store unreachable", func() bool { return strings.Contains(sys.Log(), "store unreachable") })
	boundPassed := time.Now().Add(2 * time.Second)
	sys.WaitUntil("the outage outlasts the bound", func() bool { return time.Now().After(boundPassed) })
	assert.Equal(t, sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/safe/"}).Status, http.StatusOK)
	assert.Equal(t, sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r2", Path: "/safe/", Key: "unknown"}).Status, http.StatusUnauthorized)
	assert.Equal(t, len(sys.Addresses(sys.Hosts[0])), 1, "clients are still sent to the host")
	assert.Assert(t, sys.IsReady(sys.Hosts[0]))
}

func TestHostReadsChangesAfterCompaction(t *testing.T) {
	sys := start(t, 1, twoOfEach())
	sys.Store.Compact()
	sys.Configure(entrytest.Configuration{Version: 7, Keys: []string{"new"}})
	sys.WaitForVersion(7)
}

// Requests that reach a starting host are served once it knows the configuration. A host that
// gets no configuration rejects them soon.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	for name, tst := range map[string]struct {
		faults platformtest.Faults
		status int
	}{
		"slow store": {platformtest.Faults{Delay: 100 * time.Millisecond}, http.StatusOK},
		"lost store": {platformtest.Faults{Down: true}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			sys := entrytest.StartWithoutHosts(t, twoOfEach())
			sys.Configure(entrytest.Configuration{Version: 1})
			sys.Store.SetFaults(tst.faults)
			sys.StartHosts(entrytest.Config{Hosts: 1})
			started := time.Now()
			ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/safe/"})
			assert.NilError(t, ans.Err)
			assert.Equal(t, ans.Status, tst.status, ans.Body)
			assert.Assert(t, time.Since(started) < time.Second, "%s", time.Since(started))
		})
	}
}

func TestEngineMeasurementsSurviveLossOfAllHosts(t *testing.T) {
	sys := start(t, 2, twoOfEach())
	for idx := range 20 {
		sys.Send(t.Context(), sys.Hosts[idx%2], entrytest.Request{ID: fmt.Sprint("r", idx), Path: "/stream/", Header: map[string]string{"Token-Counts": "500,20"}})
	}
	sys.WaitUntil("measurements written", func() bool { return strings.Contains(sys.Log(), "measurements written") })
	for _, hos := range sys.Hosts {
		hos.Stop()
	}
	sys.Hosts = nil
	sys.StartHosts(entrytest.Config{Hosts: 1})
	sys.WaitForReady()
	assert.Assert(t, len(sys.Hosts[0].Dump().Scheduler.Services) > 0)
	known := 0
	for _, svc := range sys.Hosts[0].Dump().Scheduler.Services {
		for _, eng := range svc.Engines {
			if eng.Weight > 0 {
				known++
			}
		}
	}
	assert.Assert(t, known > 0, "%+v", sys.Hosts[0].Dump().Scheduler)
}

// Guards against requests to a deregistered engine: a host that was cut off from the store for
// 5 s sent some for 8.8 s, since it ignored deletions during its outage and for two seconds more.
// While the store is down for all hosts, entries of running engines expire, so deletions are
// ignored. While the store serves the peers, entries don't expire, and a deletion that the peers
// report must be applied.
func TestHostCutOffFromStoreDropsDeregisteredEngines(t *testing.T) {
	sys := start(t, 3, twoOfEach())
	sys.Hosts[0].SetStoreCut(true)
	sys.WaitUntil("the store is unreachable", func() bool { return strings.Contains(sys.Log(), "store unreachable") })
	sys.RemoveEngine("p1")
	sys.WaitForEngines(3)
	assert.Assert(t, !strings.Contains(sys.Log(), "store reachable again"))
}

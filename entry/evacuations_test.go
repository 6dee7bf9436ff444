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
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/upstreamtest"
)

const (
	// evacuatedDomain is the failure domain that tests evacuate.
	evacuatedDomain = "d1"
	// coldFor is how long engines are cold.
	coldFor = 2 * time.Second
)

func engineInDomain(domain, id string) *upstreamtest.Engine {
	return upstreamtest.NewEngine(upstreamtest.Config{ID: id, Service: entrytest.Plain, Slots: 8, Domain: domain})
}

// isPublished reports whether the store holds a published state of the evacuation.
func isPublished(sys *entrytest.System) bool {
	return sys.EvacuationState(evacuatedDomain).State != ""
}

// sendAll sends count requests to each host, all of which must be served.
func sendAll(t *testing.T, sys *entrytest.System, from, count int) {
	t.Helper()
	for num := range count {
		for _, hos := range sys.Hosts {
			ans := sendPlain(t, sys, hos, "unsafe", from+num)
			assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
		}
	}
}

// Once the state of an evacuation is published, no host sends a request to the failure domain. When
// the order is withdrawn, the domain is used again and the published state is deleted.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	remaining, evacuated := engineInDomain("d0", "remaining"), engineInDomain(evacuatedDomain, "evacuated")
	sys := startWithLongRevocation(t, 3, []*upstreamtest.Engine{remaining, evacuated})
	sys.WaitUntil("both engines serve", func() bool {
		sendAll(t, sys, 0, 3)
		return len(evacuated.Arrivals()) > 0 && len(remaining.Arrivals()) > 0
	})
	sys.Evacuate(evacuatedDomain, "{}")
	sys.WaitUntil("the state is published", func() bool { return isPublished(sys) })
	before := len(evacuated.Arrivals())
	sendAll(t, sys, 100, 20)
	assert.Equal(t, len(evacuated.Arrivals()), before)
	sys.WaitUntil("the domain is empty", func() bool { return sys.EvacuationState(evacuatedDomain).State == "empty" })
	sys.WithdrawEvacuation(evacuatedDomain)
	sys.WaitUntil("the domain is used again", func() bool {
		sendAll(t, sys, 200, 3)
		return len(evacuated.Arrivals()) > before
	})
	sys.WaitUntil("the published state is deleted", func() bool { return !isPublished(sys) })
}

// Hosts that are cut off from the store, or throttled by it, receive the order from their peers.
func TestEvacuationReachesHostsWithoutStore(t *testing.T) {
	evacuated := engineInDomain(evacuatedDomain, "evacuated")
	sys := startWithLongRevocation(t, 3, []*upstreamtest.Engine{engineInDomain("d0", "remaining"), evacuated})
	sys.Hosts[1].SetStoreCut(true)
	sys.Hosts[2].SetStoreThrottled(true)
	sys.Evacuate(evacuatedDomain, "{}")
	sys.WaitUntil("the state is published", func() bool { return isPublished(sys) })
	before := len(evacuated.Arrivals())
	sendAll(t, sys, 0, 20)
	assert.Equal(t, len(evacuated.Arrivals()), before)
}

// A coordinator that is cut off from the store asks to be replaced, and the next one publishes the state.
// Guards against a coordinator that keeps its sessions and its lease, whose writes fail for half a minute.
func TestEvacuationIsPublishedWithoutCoordinatorsStore(t *testing.T) {
	for name, lose := range map[string]func(*entrytest.Host){
		"cut off":   func(hos *entrytest.Host) { hos.SetStoreCut(true) },
		"throttled": func(hos *entrytest.Host) { hos.SetStoreThrottled(true) },
	} {
		t.Run(name, func(t *testing.T) {
			sys := startWithLongRevocation(t, 3, []*upstreamtest.Engine{engineInDomain("d0", "remaining"), engineInDomain(evacuatedDomain, "evacuated")})
			var first *entrytest.Host
			sys.WaitUntil("one host coordinates", func() bool { first = coordinator(sys); return first != nil })
			lose(first)
			sys.Evacuate(evacuatedDomain, "{}")
			sys.WaitUntil("the state is published", func() bool { return isPublished(sys) })
			sys.WaitUntil("another host coordinates", func() bool { next := coordinator(sys); return next != nil && next != first })
			sendAll(t, sys, 0, 5)
		})
	}
}

// Running requests finish. Until then the published state of the evacuation is closed, after that
// empty.
func TestRunningRequestsFinishInEvacuatedDomain(t *testing.T) {
	evacuated := upstreamtest.NewEngine(upstreamtest.Config{ID: "evacuated", Service: entrytest.Model, Slots: 4, Events: 60, Step: 20 * time.Millisecond, Domain: evacuatedDomain})
	sys := startWithLongRevocation(t, 2, []*upstreamtest.Engine{evacuated})
	answers := make(chan entrytest.Answer, 1)
	go func() {
		answers <- sys.Send(t.Context(), sys.Hosts[1], entrytest.Request{ID: "runs", Path: "/stream/x", Header: map[string]string{"Token-Counts": "10,60"}})
	}()
	sys.WaitUntil("the request runs", func() bool { return len(evacuated.Runs()) == 1 })
	sys.Evacuate(evacuatedDomain, "{}")
	sys.WaitUntil("the domain is closed", func() bool { return sys.EvacuationState(evacuatedDomain).State == "closed" })
	ans := <-answers
	assert.NilError(t, ans.Err)
	assert.Equal(t, ans.Body, upstreamtest.StreamBody("runs", 60))
	sys.WaitUntil("the domain is empty", func() bool { return sys.EvacuationState(evacuatedDomain).State == "empty" })
	rejected := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "later", Path: "/stream/x", Header: map[string]string{"Token-Counts": "10,60"}})
	assert.Equal(t, rejected.Status, http.StatusServiceUnavailable)
	assert.Equal(t, len(evacuated.Runs()), 1, "a rejected request must not run")
}

// While a registered host hasn't confirmed that it enforces the order, no state is published, and
// the coordinator's dump names that host.
func TestEvacuationIsNotPublishedUntilAllHostsConfirm(t *testing.T) {
	evacuated := engineInDomain(evacuatedDomain, "evacuated")
	sys := startWithLongRevocation(t, 2, []*upstreamtest.Engine{engineInDomain("d0", "remaining"), evacuated})
	const silent = request.Epoch(4711)
	sys.RegisterLostHost("silent", silent, nil)
	sys.WaitUntil("the silent host is known", func() bool { return strings.Contains(sys.Log(), `"EnteredNames":["silent"]`) })
	sys.Evacuate(evacuatedDomain, "{}")
	var first *entrytest.Host
	sys.WaitUntil("all other hosts enforce the order", func() bool {
		first = coordinator(sys)
		if first == nil {
			return false
		}
		evs := first.Dump().Evacuations
		return len(evs) == 1 && len(evs[0].Missing) == 1 && evs[0].Missing[0] == silent.String()
	})
	before := len(evacuated.Arrivals())
	sendAll(t, sys, 0, 10)
	assert.Equal(t, len(evacuated.Arrivals()), before, "the other hosts enforce the order before it is published")
	assert.Assert(t, !isPublished(sys))
	sys.RemoveHost("silent")
	sys.WaitUntil("the state is published", func() bool { return isPublished(sys) })
}

// The answer to a write of the state is lost, and then the coordinator. A published state is neither
// lost nor written again by the next coordinator.
func TestPublishedEvacuationSurvivesLossOfCoordinator(t *testing.T) {
	sys := startWithLongRevocation(t, 3, []*upstreamtest.Engine{engineInDomain("d0", "remaining"), engineInDomain(evacuatedDomain, "evacuated")})
	var first *entrytest.Host
	sys.WaitUntil("one host coordinates", func() bool { first = coordinator(sys); return first != nil })
	sys.Store.SetFaults(platformtest.Faults{LoseReplies: 1})
	sys.Evacuate(evacuatedDomain, "{}")
	sys.WaitUntil("the state is published", func() bool { return isPublished(sys) })
	revision := sys.EvacuationState(evacuatedDomain).Revision
	first.Stop()
	sys.Hosts = hostsWithout(sys.Hosts, first)
	sys.WaitUntil("another host coordinates", func() bool { return coordinator(sys) != nil })
	sendAll(t, sys, 0, 5)
	sys.WaitUntil("the domain is empty", func() bool { return sys.EvacuationState(evacuatedDomain).State == "empty" })
	assert.Equal(t, sys.EvacuationState(evacuatedDomain).Revision, revision)
	assert.Assert(t, strings.Count(sys.Log(), `"State":"Closed"`)+strings.Count(sys.Log(), `"State":"Empty"`) <= 3, "two states, one of them written again after the lost answer")
}

// An order with an invalid value or an unknown failure domain is logged and applies by its key. An
// order that is written again after it was withdrawn is another order.
func TestInvalidAndUnknownEvacuationOrdersApply(t *testing.T) {
	evacuated := engineInDomain(evacuatedDomain, "evacuated")
	sys := startWithLongRevocation(t, 2, []*upstreamtest.Engine{engineInDomain("d0", "remaining"), evacuated})
	sys.Evacuate(evacuatedDomain, "\x00 no value")
	sys.Evacuate("nowhere", "{}")
	sys.WaitUntil("both states are published", func() bool { return isPublished(sys) && sys.EvacuationState("nowhere").State == "empty" })
	for _, want := range []string{"evacuation order invalid", "evacuation ordered for a failure domain without registered engines and hosts; the name may be wrong"} {
		assert.Assert(t, strings.Contains(sys.Log(), want), want)
	}
	assert.Assert(t, strings.Contains(sys.Metrics(sys.Hosts[0]), "EvacuationsOfUnknownDomains 1\n"))
	first := sys.EvacuationState(evacuatedDomain).Revision
	sys.WithdrawEvacuation(evacuatedDomain)
	sys.Evacuate(evacuatedDomain, "{}")
	sys.WaitUntil("the second order is published", func() bool { return sys.EvacuationState(evacuatedDomain).Revision > first })
	before := len(evacuated.Arrivals())
	sendAll(t, sys, 0, 10)
	assert.Equal(t, len(evacuated.Arrivals()), before)
}

// A host that starts during an evacuation sends no requests to that failure domain.
func TestStartingHostEnforcesEvacuation(t *testing.T) {
	evacuated := engineInDomain(evacuatedDomain, "evacuated")
	sys := entrytest.StartWithoutHosts(t, []*upstreamtest.Engine{engineInDomain("d0", "remaining"), evacuated})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.Evacuate(evacuatedDomain, "{}")
	sys.StartHosts(entrytest.Config{Hosts: 2})
	sys.WaitForReady()
	sendAll(t, sys, 0, 10)
	assert.Equal(t, len(evacuated.Arrivals()), 0)
	sys.WaitUntil("the state is published", func() bool { return isPublished(sys) })
}

// Cold engines that are added beside a warm one get no more requests from all hosts together than
// their cold rate allows. Once they are warm they get more.
func TestColdEnginesStayWithinColdRate(t *testing.T) {
	const perSecond = 6
	warm := upstreamtest.NewEngine(upstreamtest.Config{ID: "warm", Service: entrytest.Plain, Slots: 1})
	sys := startWithLongRevocation(t, 3, []*upstreamtest.Engine{warm})
	sys.Configure(entrytest.Configuration{Version: 2, ColdFor: coldFor, ColdRate: perSecond})
	sys.WaitForVersion(2)
	tra := startTraffic(t, sys, sys.Hosts)
	var cold []*upstreamtest.Engine
	for num := range 3 {
		eng := engineInDomain(evacuatedDomain, fmt.Sprint("cold-", num))
		eng.MarkCold(upstreamtest.Cold{PerSecond: perSecond, For: coldFor})
		sys.PutEngineState(eng.ID(), entrytest.EngineState{Service: eng.Service(), Address: sys.StartEngine(eng), Slots: eng.Slots(), Domain: evacuatedDomain, Cold: coldFor})
		cold = append(cold, eng)
	}
	sys.WaitUntil("the cold engines get requests", func() bool { return arrivalCount(cold) > 3*perSecond })
	for _, eng := range cold {
		assert.Assert(t, !eng.Crashed())
	}
	sys.WaitUntil("the engines are in full use", func() bool { return arrivalCount(cold) > 300 })
	tra.stop()
	for _, eng := range cold {
		assert.Assert(t, !eng.Crashed())
	}
}

func arrivalCount(engines []*upstreamtest.Engine) int {
	count := 0
	for _, eng := range engines {
		count += len(eng.Arrivals())
	}
	return count
}

// leaseLeft is the least time for which the entry of a host that is cut off stays in the store.
const leaseLeft = 2 * time.Second

// Guards against requests to a failure domain that is published as closed: a host that was cut off was deregistered, and
// its entry's absence counted as its end.
func TestDomainIsClosedOnlyOnceDeregisteredHostSendsNothing(t *testing.T) {
	for name, cut := range outOfStep {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			evacuated := engineInDomain(evacuatedDomain, "evacuated")
			sys := start(t, 3, []*upstreamtest.Engine{evacuated})
			sys.WaitForEngines(1)
			alone := sys.Hosts[2]
			alone.SetCutOff(cut)
			cutAt := time.Now()
			sys.WaitUntil("the lease expires", func() bool { return time.Since(cutAt) > leaseLeft })
			sys.Evacuate(evacuatedDomain, "{}")
			sys.RemoveHost(alone.Settings.Name)
			num := 0
			sys.WaitUntil("the state is published", func() bool {
				sendPlain(t, sys, alone, "unsafe", num)
				num++
				return isPublished(sys)
			})
			before := len(evacuated.Arrivals())
			for sys.IsReady(alone) {
				sendPlain(t, sys, alone, "unsafe", num)
				num++
			}
			assert.Equal(t, len(evacuated.Arrivals()), before, "%d requests sent", num)
		})
	}
}

// Guards against evacuations that go on waiting for hosts that have ended, or that are cut off: each order is published,
// and the log says after how long.
func TestEvacuationIsPublishedAfterHostsHaveLeft(t *testing.T) {
	for name, leave := range map[string]func(*entrytest.Host){
		"none left": func(*entrytest.Host) {},
		"stopped as planned": func(hos *entrytest.Host) {
			assert.NilError(t, hos.Drain(t.Context()))
			hos.Stop()
		},
		"killed":                  func(hos *entrytest.Host) { hos.Stop() },
		"cut, connections reset":  func(hos *entrytest.Host) { hos.SetCutOff(outOfStep["connections reset"]) },
		"cut, connections silent": func(hos *entrytest.Host) { hos.SetCutOff(outOfStep["connections silent"]) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sys := start(t, 3, []*upstreamtest.Engine{engineInDomain(evacuatedDomain, "evacuated")})
			sys.WaitUntil("the hosts have the leases of a small fleet", func() bool { return haveShortLeases(sys) })
			leave(sys.Hosts[2])
			orderedAt := time.Now()
			sys.Evacuate(evacuatedDomain, "{}")
			sys.WaitUntil("the state is published", func() bool { return isPublished(sys) })
			t.Logf("published %s after the order", time.Since(orderedAt).Round(10*time.Millisecond))
		})
	}
}

// haveShortLeases reports whether the leases of all hosts last for three seconds: hosts that start have longer ones.
func haveShortLeases(sys *entrytest.System) bool {
	registered := linesWith(sys.Log(), `"LeaseTime":3000,`)
	for _, hos := range sys.Hosts {
		if !strings.Contains(registered, `"Host":"`+hos.Settings.Name+`"`) {
			return false
		}
	}
	return true
}

// Guards against an order that waits for a host that has reported it before it was stopped as planned.
func TestEvacuationDoesNotWaitForStoppedHostThatEnforcedIt(t *testing.T) {
	sys := start(t, 3, []*upstreamtest.Engine{engineInDomain(evacuatedDomain, "evacuated")})
	const silent = request.Epoch(4711)
	sys.RegisterLostHost("silent", silent, nil)
	sys.WaitUntil("the silent host is known", func() bool { return strings.Contains(sys.Log(), `"EnteredNames":["silent"]`) })
	sys.Evacuate(evacuatedDomain, "{}")
	waitForMissing(sys, silent)
	assert.NilError(t, sys.Hosts[2].Drain(t.Context()))
	sys.Hosts[2].Stop()
	sys.Hosts = hostsWithout(sys.Hosts, sys.Hosts[2])
	waitForMissing(sys, silent)
	sys.RemoveHost("silent")
	sys.WaitUntil("the state is published", func() bool { return isPublished(sys) })
}

// waitForMissing waits until the evacuation waits for one host alone.
func waitForMissing(sys *entrytest.System, missing request.Epoch) {
	sys.WaitUntil("the evacuation waits for the host alone", func() bool {
		first := coordinator(sys)
		if first == nil {
			return false
		}
		evs := first.Dump().Evacuations
		return len(evs) == 1 && len(evs[0].Missing) == 1 && evs[0].Missing[0] == missing.String()
	})
}

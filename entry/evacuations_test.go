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
	// emptiedDomain is the failure domain that tests have emptied.
	emptiedDomain = "d1"
	// coldFor is for how long engines are cold.
	coldFor = 2 * time.Second
)

func engineIn(domain, id string) *upstreamtest.Engine {
	return upstreamtest.NewEngine(upstreamtest.Config{ID: id, Service: entrytest.Plain, Slots: 8, Domain: domain})
}

// told returns whether operators read that a domain is closed, or empty.
func told(sys *entrytest.System) bool {
	return sys.EvacuationState(emptiedDomain).State != ""
}

// sendAll sends so many requests by each host, all of which are to be served.
func sendAll(t *testing.T, sys *entrytest.System, from, count int) {
	t.Helper()
	for num := range count {
		for _, hos := range sys.Hosts {
			ans := sendPlain(t, sys, hos, "unsafe", from+num)
			assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
		}
	}
}

// From the moment on at which operators read that a failure domain is closed, no host sends
// anything there; it is used again when the order is taken back, and then nothing is told.
func TestEmptiedDomainGetsNothing(t *testing.T) {
	stays, emptied := engineIn("d0", "stays"), engineIn(emptiedDomain, "emptied")
	sys := startPatient(t, 3, []*upstreamtest.Engine{stays, emptied})
	sys.Until("both serve", func() bool {
		sendAll(t, sys, 0, 3)
		return len(emptied.Arrivals()) > 0 && len(stays.Arrivals()) > 0
	})
	sys.Evacuate(emptiedDomain, "{}")
	sys.Until("it is told", func() bool { return told(sys) })
	before := len(emptied.Arrivals())
	sendAll(t, sys, 100, 20)
	assert.Equal(t, len(emptied.Arrivals()), before)
	sys.Until("it is empty", func() bool { return sys.EvacuationState(emptiedDomain).State == "empty" })
	sys.TakeBack(emptiedDomain)
	sys.Until("it is used again", func() bool {
		sendAll(t, sys, 200, 3)
		return len(emptied.Arrivals()) > before
	})
	sys.Until("nothing is told", func() bool { return !told(sys) })
}

// Hosts that have lost the store, or that it turns away, hear of the order by others.
func TestOrderReachesHostsWithoutTheStore(t *testing.T) {
	emptied := engineIn(emptiedDomain, "emptied")
	sys := startPatient(t, 3, []*upstreamtest.Engine{engineIn("d0", "stays"), emptied})
	sys.Hosts[1].CutStore(true)
	sys.Hosts[2].RefuseStore(true)
	sys.Evacuate(emptiedDomain, "{}")
	sys.Until("it is told", func() bool { return told(sys) })
	before := len(emptied.Arrivals())
	sendAll(t, sys, 0, 20)
	assert.Equal(t, len(emptied.Arrivals()), before)
}

// What runs there goes on to its end; operators read that it is closed, and empty only then.
func TestWhatRunsInAnEmptiedDomainEnds(t *testing.T) {
	emptied := upstreamtest.NewEngine(upstreamtest.Config{ID: "emptied", Service: entrytest.Model, Slots: 4, Events: 60, Step: 20 * time.Millisecond, Domain: emptiedDomain})
	sys := startPatient(t, 2, []*upstreamtest.Engine{emptied})
	answers := make(chan entrytest.Answer, 1)
	go func() {
		answers <- sys.Send(t.Context(), sys.Hosts[1], entrytest.Request{ID: "runs", Path: "/stream/x", Header: map[string]string{"Token-Counts": "10,60"}})
	}()
	sys.Until("it runs", func() bool { return len(emptied.Runs()) == 1 })
	sys.Evacuate(emptiedDomain, "{}")
	sys.Until("it is closed", func() bool { return sys.EvacuationState(emptiedDomain).State == "closed" })
	ans := <-answers
	assert.NilError(t, ans.Err)
	assert.Equal(t, ans.Body, upstreamtest.StreamBody("runs", 60))
	sys.Until("it is empty", func() bool { return sys.EvacuationState(emptiedDomain).State == "empty" })
	refused := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "later", Path: "/stream/x", Header: map[string]string{"Token-Counts": "10,60"}})
	assert.Equal(t, refused.Status, http.StatusServiceUnavailable)
	assert.Equal(t, len(emptied.Runs()), 1, "a refusal is true")
}

// While some host that has an entry hasn't said to keep to the order, nothing is told, and the
// state of who decides names it.
func TestOrderIsNotToldWhileAHostMayNotKnow(t *testing.T) {
	emptied := engineIn(emptiedDomain, "emptied")
	sys := startPatient(t, 2, []*upstreamtest.Engine{engineIn("d0", "stays"), emptied})
	const silent = request.Epoch(4711)
	sys.EnterLost("silent", silent, nil)
	sys.Until("it is known", func() bool { return strings.Contains(sys.Log(), `"EnteredNames":["silent"]`) })
	sys.Evacuate(emptiedDomain, "{}")
	var first *entrytest.Host
	sys.Until("all others keep to it", func() bool {
		first = coordinator(sys)
		if first == nil {
			return false
		}
		evs := first.Dump().Evacuations
		return len(evs) == 1 && len(evs[0].Missing) == 1 && evs[0].Missing[0] == silent.String()
	})
	before := len(emptied.Arrivals())
	sendAll(t, sys, 0, 10)
	assert.Equal(t, len(emptied.Arrivals()), before, "they keep to it all the same")
	assert.Assert(t, !told(sys))
	sys.RemoveHost("silent")
	sys.Until("it is told", func() bool { return told(sys) })
}

// Whoever is to tell is lost, and answers of the store are: what was told is told once.
func TestToldOrderOutlastsWhoTold(t *testing.T) {
	sys := startPatient(t, 3, []*upstreamtest.Engine{engineIn("d0", "stays"), engineIn(emptiedDomain, "emptied")})
	var first *entrytest.Host
	sys.Until("one host coordinates", func() bool { first = coordinator(sys); return first != nil })
	sys.Store.SetFaults(platformtest.Faults{LoseReplies: 1})
	sys.Evacuate(emptiedDomain, "{}")
	sys.Until("it is told", func() bool { return told(sys) })
	order := sys.EvacuationState(emptiedDomain).Order
	first.Stop()
	sys.Hosts = without(sys.Hosts, first)
	sys.Until("another host coordinates", func() bool { return coordinator(sys) != nil })
	sendAll(t, sys, 0, 5)
	sys.Until("it is empty", func() bool { return sys.EvacuationState(emptiedDomain).State == "empty" })
	assert.Equal(t, sys.EvacuationState(emptiedDomain).Order, order)
	assert.Assert(t, strings.Count(sys.Log(), `"State":"Closed"`)+strings.Count(sys.Log(), `"State":"Empty"`) <= 3, "one of two steps, with one answer lost")
}

// Orders that can't be meant as they stand are named, and hold by their key; one that is taken
// back and given again is another order.
func TestOrdersThatAreOddHold(t *testing.T) {
	emptied := engineIn(emptiedDomain, "emptied")
	sys := startPatient(t, 2, []*upstreamtest.Engine{engineIn("d0", "stays"), emptied})
	sys.Evacuate(emptiedDomain, "\x00 no value")
	sys.Evacuate("nowhere", "{}")
	sys.Until("both are told", func() bool { return told(sys) && sys.EvacuationState("nowhere").State == "empty" })
	for _, want := range []string{"evacuation with a value that can't be read", "evacuation of a failure domain without engines and hosts"} {
		assert.Assert(t, strings.Contains(sys.Log(), want), want)
	}
	assert.Assert(t, strings.Contains(sys.Figures(sys.Hosts[0]), "EvacuationsOfUnknownDomains 1\n"))
	first := sys.EvacuationState(emptiedDomain).Order
	sys.TakeBack(emptiedDomain)
	sys.Evacuate(emptiedDomain, "{}")
	sys.Until("the second is told", func() bool { return sys.EvacuationState(emptiedDomain).Order > first })
	before := len(emptied.Arrivals())
	sendAll(t, sys, 0, 10)
	assert.Equal(t, len(emptied.Arrivals()), before)
}

// A host that starts while a failure domain is being emptied sends nothing there.
func TestHostThatStartsKeepsToOrders(t *testing.T) {
	emptied := engineIn(emptiedDomain, "emptied")
	sys := entrytest.Prepare(t, []*upstreamtest.Engine{engineIn("d0", "stays"), emptied})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.Evacuate(emptiedDomain, "{}")
	sys.StartHosts(entrytest.Config{Hosts: 2})
	sys.UntilReady()
	sendAll(t, sys, 0, 10)
	assert.Equal(t, len(emptied.Arrivals()), 0)
	sys.Until("it is told", func() bool { return told(sys) })
}

// Cold engines, a whole failure domain of them that comes back among others, get no more than
// they bear from all hosts together, and are in use when they are warm.
func TestColdEnginesGetWhatTheyBear(t *testing.T) {
	const perSecond = 6
	warm := upstreamtest.NewEngine(upstreamtest.Config{ID: "warm", Service: entrytest.Plain, Slots: 1})
	sys := startPatient(t, 3, []*upstreamtest.Engine{warm})
	sys.Configure(entrytest.Configuration{Version: 2, ColdFor: coldFor, ColdRate: perSecond})
	sys.UntilVersion(2)
	tra := startTraffic(t, sys, sys.Hosts)
	var cold []*upstreamtest.Engine
	for num := range 3 {
		eng := engineIn(emptiedDomain, fmt.Sprint("cold-", num))
		eng.Chill(upstreamtest.Cold{PerSecond: perSecond, For: coldFor})
		sys.EnterState(eng.ID(), entrytest.EngineState{Service: eng.Service(), Address: sys.Listen(eng), Slots: eng.Slots(), Domain: emptiedDomain, Cold: coldFor})
		cold = append(cold, eng)
	}
	sys.Until("they are warmed", func() bool { return arrivalCount(cold) > 3*perSecond })
	for _, eng := range cold {
		assert.Assert(t, !eng.Fallen())
	}
	sys.Until("they are in use", func() bool { return arrivalCount(cold) > 300 })
	tra.end()
	for _, eng := range cold {
		assert.Assert(t, !eng.Fallen())
	}
}

func arrivalCount(engines []*upstreamtest.Engine) int {
	count := 0
	for _, eng := range engines {
		count += len(eng.Arrivals())
	}
	return count
}

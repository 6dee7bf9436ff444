package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// The cuts of a host from all engines.
var cuts = map[string]upstreamtest.PathState{
	"refused":           {Refused: true, OpenReset: true},
	"silent":            {Silent: true, OpenSilent: true},
	"refused old alive": {Refused: true},
	"silent old reset":  {Silent: true, OpenReset: true},
}

const (
	// contactTime is the users' bound: from then on after a cut, clients of a cut host must be served.
	contactTime = 3 * time.Second
	// cutTime is how long the cuts of these tests last.
	cutTime = 5 * time.Second
	// requestInterval is the time between two requests of a test's client to a host.
	requestInterval = 40 * time.Millisecond
	// maxDetour is how much longer a cut host may take than the others: tens of milliseconds.
	maxDetour = 100 * time.Millisecond
)

// Guards against RECOVER: hosts that had lost their links to all engines answered 3 of 62 requests where
// the others answered 186 of 186, and their failed grants took capacity from the sound ones.
func TestHostsCutFromEnginesServe(t *testing.T) {
	for name, cut := range cuts {
		for _, count := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s/%d of 4", name, count), func(t *testing.T) {
				t.Parallel()
				engines := []*upstreamtest.Engine{plainEngine("p1"), plainEngine("p2"), plainEngine("p3")}
				sys := start(t, 4, engines)
				sendToAll(t, sys, "before")
				for _, hos := range sys.Hosts[:count] {
					hos.EnginePath.Set(cut)
				}
				assertCutHostsServe(t, loadDuringCut(t, sys), count)
				assertRanAtMostOnce(t, engines)
				assert.Assert(t, !strings.Contains(sys.Log(), `"message":"engine ejected"`), "a cut host's failures ejected an engine")
			})
		}
	}
}

// Guards against RECOVER where all hosts of a failure domain are cut off: they have to go through hosts of
// another one.
func TestDomainCutFromEnginesServes(t *testing.T) {
	const perDomain = 3
	for _, name := range []string{"refused", "silent"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engines := []*upstreamtest.Engine{plainEngine("p1"), plainEngine("p2"), plainEngine("p3")}
			sys := startWith(t, entrytest.Config{Hosts: 2 * perDomain, HostsPerDomain: perDomain, Engines: engines})
			sendToAll(t, sys, "before")
			for _, hos := range sys.Hosts[:perDomain] {
				hos.EnginePath.Set(cuts[name])
			}
			assertCutHostsServe(t, loadDuringCut(t, sys), perDomain)
			assertRanAtMostOnce(t, engines)
		})
	}
}

// Guards against the end of a cut going unnoticed: a host whose links are back uses them again.
func TestHostUsesItsOwnPathAfterCut(t *testing.T) {
	engines := []*upstreamtest.Engine{plainEngine("p1"), plainEngine("p2"), plainEngine("p3")}
	sys := start(t, 2, engines)
	sys.Hosts[0].EnginePath.Set(cuts["refused"])
	sys.WaitUntil("the cut host serves", func() bool { return sendOne(t, sys, 0, "during").Status == http.StatusOK })
	sys.Hosts[0].EnginePath.Set(upstreamtest.PathState{})
	sys.WaitUntil("the host has noticed the end of the cut", func() bool { return strings.Contains(sys.Log(), `"message":"engines reachable again"`) })
	sys.Hosts[1].EnginePath.Set(cuts["refused"])
	sys.WaitUntil("the first host serves for the second", func() bool { return sendOne(t, sys, 1, "after").Status == http.StatusOK })
}

// Guards against a false hold: a host whose connections were reset and whose new ones were refused for a
// moment took the refusals for crashes, and the popular requests that it had been running got 502 Held at
// every host, although each engine answered the other hosts meanwhile.
func TestCutHostCondemnsNoRequest(t *testing.T) {
	var engines []*upstreamtest.Engine
	for idx := range 4 {
		engines = append(engines, upstreamtest.NewEngine(upstreamtest.Config{
			ID: fmt.Sprint("m", idx), Service: entrytest.Model, Slots: 4, Events: 12, Step: 50 * time.Millisecond,
		}))
	}
	sys := start(t, 3, engines)
	for round := range 3 {
		var wait sync.WaitGroup
		for num := range 8 {
			wait.Go(func() { sendPopular(t, sys, 0, fmt.Sprintf("cut-%d-%d", round, num)) })
		}
		sys.WaitUntil("a copy runs", func() bool { return runsWithPrefix(engines, fmt.Sprintf("cut-%d-", round)) > 0 })
		sys.Hosts[0].EnginePath.Set(cuts["refused"])
		wait.Wait()
		sys.WaitUntil("the engines have been checked", func() bool { return checksAreDone(sys) })
		sys.Hosts[0].EnginePath.Set(upstreamtest.PathState{})
	}
	for idx := range sys.Hosts {
		ans := sendPopular(t, sys, idx, fmt.Sprint("last-", idx))
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
}

// checksAreDone reports whether each engine that ended a connection has been checked.
func checksAreDone(sys *entrytest.System) bool {
	log := sys.Log()
	return strings.Count(log, `"EngineEnded":"InDoubt"`) <= strings.Count(log, "engine checked after it ended a connection")
}

func sendPopular(t *testing.T, sys *entrytest.System, host int, id string) entrytest.Answer {
	t.Helper()
	return sys.Send(t.Context(), sys.Hosts[host], entrytest.Request{
		ID: id, Path: "/stream/week", Body: "popular", Header: map[string]string{"Token-Counts": "100,20", "Deadline-Ms": "4000"},
	})
}

func runsWithPrefix(engines []*upstreamtest.Engine, prefix string) int {
	count := 0
	for _, eng := range engines {
		for _, run := range eng.Runs() {
			if strings.HasPrefix(run.ID, prefix) {
				count++
			}
		}
	}
	return count
}

func sendOne(t *testing.T, sys *entrytest.System, host int, id string) entrytest.Answer {
	t.Helper()
	return sys.Send(t.Context(), sys.Hosts[host], entrytest.Request{ID: fmt.Sprintf("%s-%d-%d", id, host, time.Now().UnixNano()), Path: "/unsafe/week", Body: id})
}

// sendToAll sends some requests to each host, so that it has open connections.
func sendToAll(t *testing.T, sys *entrytest.System, id string) {
	t.Helper()
	for idx := range sys.Hosts {
		for range 3 {
			assert.Equal(t, sendOne(t, sys, idx, id).Status, http.StatusOK)
		}
	}
}

// cutResult counts the requests that a client sent to one host from contactTime after the cut on.
type cutResult struct {
	sent, answered int
	took           []time.Duration
}

func (cre *cutResult) median() time.Duration {
	if len(cre.took) == 0 {
		return 0
	}
	slices.Sort(cre.took)
	return cre.took[len(cre.took)/2]
}

// loadDuringCut sends requests to each host at the same time until cutTime has passed.
func loadDuringCut(t *testing.T, sys *entrytest.System) []*cutResult {
	t.Helper()
	began := time.Now()
	results := make([]*cutResult, len(sys.Hosts))
	var wait sync.WaitGroup
	for idx := range sys.Hosts {
		res := &cutResult{}
		results[idx] = res
		wait.Go(func() {
			tick := time.NewTicker(requestInterval)
			defer tick.Stop()
			for now := range tick.C {
				if now.Sub(began) > cutTime {
					return
				}
				sent := time.Now()
				ans := sendOne(t, sys, idx, "cut")
				if sent.Sub(began) < contactTime {
					continue
				}
				res.sent++
				if ans.Status == http.StatusOK {
					res.answered++
				}
				res.took = append(res.took, time.Since(sent))
			}
		})
	}
	wait.Wait()
	return results
}

// assertCutHostsServe asserts that the cut hosts, which come first, answer nearly all requests, like the
// others, and hardly later.
func assertCutHostsServe(t *testing.T, results []*cutResult, cut int) {
	t.Helper()
	slowest := time.Duration(0)
	for _, res := range results[cut:] {
		assert.Assert(t, 20*res.answered >= 19*res.sent, "a sound host answers %d of %d", res.answered, res.sent)
		slowest = max(slowest, res.median())
	}
	for _, res := range results[:cut] {
		assert.Assert(t, 20*res.answered >= 19*res.sent, "a cut host answers %d of %d", res.answered, res.sent)
		assert.Assert(t, res.median() <= slowest+maxDetour, "median at a cut host %s, elsewhere %s", res.median(), slowest)
	}
}

func assertRanAtMostOnce(t *testing.T, engines []*upstreamtest.Engine) {
	t.Helper()
	ran := make(map[string]int)
	for _, eng := range engines {
		for _, run := range eng.Runs() {
			ran[run.ID]++
			assert.Assert(t, ran[run.ID] <= 1, "request %s ran twice", run.ID)
		}
	}
}

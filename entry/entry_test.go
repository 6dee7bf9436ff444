package entry_test

import (
	"context"
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

// streamEvents is the number of events of a test's streams.
const streamEvents = 4

func modelEngine(id string) *upstreamtest.Engine {
	return upstreamtest.NewEngine(upstreamtest.Config{ID: id, Service: entrytest.Model, Slots: 4, Events: streamEvents})
}

func plainEngine(id string) *upstreamtest.Engine {
	return upstreamtest.NewEngine(upstreamtest.Config{ID: id, Service: entrytest.Plain, Slots: 4})
}

func twoOfEach() []*upstreamtest.Engine {
	return []*upstreamtest.Engine{modelEngine("m1"), modelEngine("m2"), plainEngine("p1"), plainEngine("p2")}
}

func runsOf(engines []*upstreamtest.Engine, id string) []upstreamtest.Run {
	var runs []upstreamtest.Run
	for _, eng := range engines {
		for _, run := range eng.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

func start(t *testing.T, hosts int, engines []*upstreamtest.Engine) *entrytest.System {
	t.Helper()
	return startWith(t, entrytest.Config{Hosts: hosts, Engines: engines})
}

// startWith starts a system with configuration version 1 and waits until all hosts are ready.
func startWith(t *testing.T, cfg entrytest.Config) *entrytest.System {
	t.Helper()
	sys := entrytest.Start(t, cfg)
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	return sys
}

func TestRequestsOfEveryKindAreServedByEveryHost(t *testing.T) {
	engines := twoOfEach()
	sys := start(t, 3, engines)
	for idx, hos := range sys.Hosts {
		for _, kind := range []string{"stream", "resume", "safe", "unsafe", "public"} {
			id := fmt.Sprintf("%s-%d", kind, idx)
			ans := sys.Send(t.Context(), hos, entrytest.Request{ID: id, Path: "/" + kind + "/x?q=1", Header: map[string]string{
				"Token-Counts": "100,20", "Prompt-Prefix": "a1:40,b2:60", "Deadline-Ms": "3000", "Tenant": "forged", "Expect-Instance": "forged",
			}})
			assert.NilError(t, ans.Err)
			assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
			assert.Equal(t, ans.Header.Get("Response-Signature"), "signed-"+id)
			runs := runsOf(engines, id)
			assert.Equal(t, len(runs), 1)
			assert.Equal(t, runs[0].Target, "/"+kind+"/x?q=1")
			assert.Equal(t, runs[0].Key, "", "the key must not reach an engine")
			account := entrytest.Account
			if kind == "public" {
				account = ""
			}
			assert.Equal(t, runs[0].Account, account)
			want := upstreamtest.PlainBody(id)
			if kind == "stream" || kind == "resume" {
				want = upstreamtest.StreamBody(id, streamEvents)
			}
			assert.Equal(t, ans.Body, want)
		}
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	sys := start(t, 1, twoOfEach())
	cases := map[string]struct {
		request entrytest.Request
		status  int
	}{
		"no route":             {entrytest.Request{ID: "a", Path: "/nowhere/"}, http.StatusNotFound},
		"unknown key":          {entrytest.Request{ID: "b", Path: "/safe/", Key: "wrong"}, http.StatusUnauthorized},
		"no request ID":        {entrytest.Request{Path: "/safe/"}, http.StatusBadRequest},
		"invalid deadline":     {entrytest.Request{ID: "c", Path: "/safe/", Header: map[string]string{"Deadline-Ms": "soon"}}, http.StatusBadRequest},
		"invalid token counts": {entrytest.Request{ID: "d", Path: "/stream/", Header: map[string]string{"Token-Counts": "many"}}, http.StatusBadRequest},
		"body too large":       {entrytest.Request{ID: "e", Path: "/safe/", Body: strings.Repeat("x", 2<<20)}, http.StatusRequestEntityTooLarge},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			ans := sys.Send(t.Context(), sys.Hosts[0], tst.request)
			assert.Equal(t, ans.Status, tst.status, ans.Body)
			assert.Equal(t, ans.Header.Get("Response-Signature"), "")
		})
	}
}

func TestClientDisconnectCancelsEngineRequest(t *testing.T) {
	eng := modelEngine("m1")
	sys := start(t, 1, []*upstreamtest.Engine{eng})
	eng.InjectFault(upstreamtest.Hang, 1)
	ctx, cancel := context.WithCancel(t.Context())
	answers := make(chan entrytest.Answer, 1)
	go func() { answers <- sys.Send(ctx, sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/stream/"}) }()
	sys.WaitUntil("the engine runs the request", func() bool { return len(eng.Runs()) == 1 })
	cancel()
	assert.Assert(t, (<-answers).Err != nil)
	sys.WaitUntil("the engine's request is canceled", func() bool { return eng.AbandonedRequests() == 1 })
}

// Guards against a request that runs although its client waits no more (BUDGET): a deadline of 0 passed for none.
func TestRequestWhoseDeadlineIsOverDoesNotRun(t *testing.T) {
	engines := twoOfEach()
	sys := start(t, 1, engines)
	for _, deadline := range []string{"0", "0.0", "-0", "0.5", "1"} {
		for _, kind := range []string{"stream", "resume", "safe", "unsafe", "public"} {
			id := kind + "-" + deadline
			ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: id, Path: "/" + kind + "/", Header: map[string]string{"Deadline-Ms": deadline}})
			assert.Check(t, ans.Status == http.StatusServiceUnavailable, "%s: %d %s", id, ans.Status, ans.Body)
			assert.Check(t, len(runsOf(engines, id)) == 0, id)
		}
	}
}

func TestDeadlineEndsRequest(t *testing.T) {
	eng := plainEngine("p1")
	sys := start(t, 1, []*upstreamtest.Engine{eng})
	eng.InjectFault(upstreamtest.Hang, 1)
	started := time.Now()
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/unsafe/", Header: map[string]string{"Deadline-Ms": "200"}})
	assert.Equal(t, ans.Status, http.StatusGatewayTimeout, ans.Body)
	assert.Assert(t, time.Since(started) < time.Second)
	assert.Equal(t, eng.Runs()[0].Deadline != "", true)
}

func TestDrainingEngineGetsNoNewRequests(t *testing.T) {
	engines := []*upstreamtest.Engine{plainEngine("p1"), plainEngine("p2")}
	sys := start(t, 2, engines)
	sys.RegisterEngine(engines[0], "127.0.0.1:1", true)
	sys.WaitForEngines(1)
	for idx := range 20 {
		ans := sys.Send(t.Context(), sys.Hosts[idx%2], entrytest.Request{ID: fmt.Sprint("r", idx), Path: "/unsafe/"})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
	assert.Equal(t, len(engines[0].Runs()), 0)
}

func TestNewestConfigurationStaysActive(t *testing.T) {
	sys := start(t, 2, twoOfEach())
	send := func(key string) int {
		return sys.Send(t.Context(), sys.Hosts[1], entrytest.Request{ID: "r", Path: "/safe/", Key: key}).Status
	}
	sys.Configure(entrytest.Configuration{Version: 5, Keys: []string{"second"}})
	sys.WaitUntil("the key is revoked", func() bool { return send(entrytest.Key) == http.StatusUnauthorized })
	assert.Equal(t, send("second"), http.StatusOK)
	sys.Configure(entrytest.Configuration{Version: 4})
	sys.Configure(entrytest.Configuration{Version: 6, Keys: []string{"second", "third"}})
	sys.WaitUntil("the newest configuration is active", func() bool { return send("third") == http.StatusOK })
	assert.Equal(t, send(entrytest.Key), http.StatusUnauthorized)
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	cases := map[string]struct{ from, to, field string }{
		"wrong type":      {`"timeout_ms":5000`, `"timeout_ms":"soon"`, "routes"},
		"unknown kind":    {`"kind":"safe"`, `"kind":"brave"`, "routes[2].kind"},
		"unknown service": {`"service":"plain"`, `"service":"nobody"`, "Routes[2].Shares"},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			sys := start(t, 1, twoOfEach())
			text := entrytest.Configuration{Version: 9}.JSON()
			assert.Assert(t, strings.Contains(text, tst.from))
			sys.ConfigureText(strings.Replace(text, tst.from, tst.to, 1))
			sys.WaitUntil("the rejected configuration is logged", func() bool { return strings.Contains(sys.Log(), "configuration refused") })
			assert.Assert(t, strings.Contains(sys.Log(), tst.field), sys.Log())
			ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/safe/"})
			assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
		})
	}
}

func TestAccountLimitHoldsAcrossHosts(t *testing.T) {
	engines := twoOfEach()
	sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Engines: engines, Bounds: settings.Bounds{LimitSlack: 1}})
	// The bucket holds 100 plain requests and refills by one in ten seconds.
	sys.Configure(entrytest.Configuration{Version: 1, Rate: 1, Burst: 1000})
	sys.WaitForReady()
	sys.Configure(entrytest.Configuration{Version: 2, Rate: 1e6, Burst: 1000})
	sys.WaitForVersion(2)
	served := func() int {
		count := 0
		for idx := range 60 {
			ans := sys.Send(t.Context(), sys.Hosts[idx%3], entrytest.Request{ID: fmt.Sprint("r", idx), Path: "/unsafe/", Header: map[string]string{"Token-Counts": "40,10"}})
			if ans.Status == http.StatusOK {
				count++
			}
		}
		return count
	}
	assert.Equal(t, served(), 60)
	sys.Configure(entrytest.Configuration{Version: 3, Rate: 0.001, Burst: 1000})
	sys.WaitForVersion(3)
	// 1000 tokens suffice for 20 requests of 50 tokens, and the last one may leave a debt.
	assert.Assert(t, served() <= 21)
}

func TestPlannedStopLosesNoRequests(t *testing.T) {
	slow := upstreamtest.NewEngine(upstreamtest.Config{ID: "m1", Service: entrytest.Model, Slots: 4, Events: streamEvents, Step: 50 * time.Millisecond})
	sys := start(t, 2, []*upstreamtest.Engine{slow})
	answers := make(chan entrytest.Answer, 1)
	go func() { answers <- sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/stream/"}) }()
	sys.WaitUntil("the request runs", func() bool { return len(slow.Runs()) == 1 })
	drained := make(chan error, 1)
	go func() { drained <- sys.Hosts[0].Drain(t.Context()) }()
	ans := <-answers
	assert.NilError(t, ans.Err)
	assert.Equal(t, ans.Body, upstreamtest.StreamBody("r1", streamEvents))
	sys.WaitUntil("the host is out of the directory", func() bool { return len(sys.Addresses(sys.Hosts[1])) == 1 })
	late := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r2", Path: "/stream/"})
	assert.Equal(t, late.Status, http.StatusOK, late.Body)
	assert.NilError(t, <-drained)
}

func TestRequestsAreServedAfterLossOfCoordinator(t *testing.T) {
	engines := twoOfEach()
	sys := start(t, 3, engines)
	for round := range 2 {
		sys.Hosts[round].Stop()
		ans := sys.Send(t.Context(), sys.Hosts[2], entrytest.Request{ID: fmt.Sprint("r", round), Path: "/unsafe/"})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
}

func TestHostServesWithoutMetricsListener(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: twoOfEach(), MetricsTaken: true})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	assert.Assert(t, strings.Contains(sys.Log(), "metrics address can't be used, serving no metrics"))
}

func TestMetricsCountRequestsByCause(t *testing.T) {
	sys := start(t, 1, twoOfEach())
	assert.Equal(t, sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/safe/"}).Status, http.StatusOK)
	sys.WaitUntil("the request is counted", func() bool { return strings.Contains(sys.Metrics(sys.Hosts[0]), "Requests.Safe.Answered 1") })
	for _, name := range []string{"Request.Time.Safe.P99", "EngineConnections 1", "StoreFailures 0", "StoreCalls.GrantLease 1"} {
		assert.Assert(t, strings.Contains(sys.Metrics(sys.Hosts[0]), name), sys.Metrics(sys.Hosts[0]))
	}
}

// A host that cuts off a request at the end of the grace period stops at once after that. A
// process that is killed at the end of the grace period can't log why.
func TestStopEndsAtOnceAfterGracePeriod(t *testing.T) {
	eng := upstreamtest.NewEngine(upstreamtest.Config{ID: "m1", Service: entrytest.Model, Slots: 4, Events: 100, Step: 100 * time.Millisecond})
	sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Engines: []*upstreamtest.Engine{eng}, Bounds: settings.Bounds{GraceSeconds: 1}})
	sys.Configure(entrytest.Configuration{Version: 1, Timeout: 20 * time.Second})
	sys.WaitForReady()
	// The hosts are the coordinator, the next candidate and another host.
	for idx, hos := range sys.Hosts {
		answers := make(chan entrytest.Answer)
		go func() {
			answers <- sys.Send(t.Context(), hos, entrytest.Request{ID: fmt.Sprint("r", idx), Path: "/stream/", Header: map[string]string{"Token-Counts": "10,20"}})
		}()
		sys.WaitUntil("the stream has begun", func() bool { return len(eng.Runs()) > idx })
		assert.Assert(t, hos.Drain(t.Context()) != nil)
		started := time.Now()
		hos.Stop()
		assert.Assert(t, time.Since(started) < maxStopTime, "%s", time.Since(started))
		assert.Assert(t, (<-answers).Err != nil)
	}
}

// maxStopTime is how long Stop may take: the part of the grace period that a planned stop
// leaves for it.
const maxStopTime = 400 * time.Millisecond

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
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// events is the length of a test's streams.
const events = 4

func modelEngine(id string) *upstreamtest.Engine {
	return upstreamtest.NewEngine(upstreamtest.Config{ID: id, Service: entrytest.Model, Slots: 4, Events: events})
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

// startWith starts hosts with a first configuration in force.
func startWith(t *testing.T, cfg entrytest.Config) *entrytest.System {
	t.Helper()
	sys := entrytest.Start(t, cfg)
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
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
				want = upstreamtest.StreamBody(id, events)
			}
			assert.Equal(t, ans.Body, want)
		}
	}
}

func TestRefusals(t *testing.T) {
	sys := start(t, 1, twoOfEach())
	cases := map[string]struct {
		request entrytest.Request
		status  int
	}{
		"no route":     {entrytest.Request{ID: "a", Path: "/nowhere/"}, http.StatusNotFound},
		"unknown key":  {entrytest.Request{ID: "b", Path: "/safe/", Key: "wrong"}, http.StatusUnauthorized},
		"no id":        {entrytest.Request{Path: "/safe/"}, http.StatusBadRequest},
		"bad deadline": {entrytest.Request{ID: "c", Path: "/safe/", Header: map[string]string{"Deadline-Ms": "soon"}}, http.StatusBadRequest},
		"bad tokens":   {entrytest.Request{ID: "d", Path: "/stream/", Header: map[string]string{"Token-Counts": "many"}}, http.StatusBadRequest},
		"long body":    {entrytest.Request{ID: "e", Path: "/safe/", Body: strings.Repeat("x", 2<<20)}, http.StatusRequestEntityTooLarge},
	}
	for name, tst := range cases {
		t.Run(name, func(t *testing.T) {
			ans := sys.Send(t.Context(), sys.Hosts[0], tst.request)
			assert.Equal(t, ans.Status, tst.status, ans.Body)
			assert.Equal(t, ans.Header.Get("Response-Signature"), "")
		})
	}
}

// Each trouble of an engine's, for each kind of request: what the caller gets,
// and how often the request ran at most.
func TestTroublesOfEngines(t *testing.T) {
	whole := http.StatusOK
	const broken = 0
	cases := []struct {
		trouble upstreamtest.Trouble
		name    string
		// status by the kind of request; 0 is an answer that breaks off.
		stream, resume, safe, unsafe int
	}{
		{upstreamtest.Error, "Error", 500, whole, whole, 500},
		{upstreamtest.TurnAway, "TurnAway", whole, whole, whole, whole},
		{upstreamtest.Lose, "Lose", 502, whole, whole, 502},
		{upstreamtest.Cut, "Cut", broken, whole, whole, 502},
		{upstreamtest.CutInEvent, "CutInEvent", broken, whole, whole, whole},
		{upstreamtest.Extra, "Extra", whole, whole, whole, whole},
		{upstreamtest.StrayFirst, "StrayFirst", whole, whole, whole, whole},
		{upstreamtest.Unframed, "Unframed", whole, whole, whole, whole},
		{upstreamtest.Unsigned, "Unsigned", 502, whole, whole, 502},
	}
	for _, tst := range cases {
		t.Run(tst.name, func(t *testing.T) {
			for kind, status := range map[string]int{"stream": tst.stream, "resume": tst.resume, "safe": tst.safe, "unsafe": tst.unsafe} {
				t.Run(kind, func(t *testing.T) { meetTrouble(t, tst.trouble, kind, status) })
			}
		})
	}
}

func meetTrouble(t *testing.T, trb upstreamtest.Trouble, kind string, status int) {
	t.Helper()
	one, two := plainEngine("p1"), plainEngine("p2")
	want := upstreamtest.PlainBody("r1")
	if kind == "stream" || kind == "resume" {
		one, two = modelEngine("m1"), modelEngine("m2")
		want = upstreamtest.StreamBody("r1", events)
	}
	sys := start(t, 1, []*upstreamtest.Engine{one, two})
	one.Trouble(trb, 1)
	two.Trouble(trb, 1)
	// The second engine is sound: whichever is chosen first has the trouble.
	ans := sendOnce(t, sys, kind, one, two)
	if status == 0 {
		assert.Assert(t, ans.Err != nil, "a broken answer must not look whole: %q", ans.Body)
		assert.Assert(t, strings.HasPrefix(want, ans.Body), "%q", ans.Body)
		return
	}
	assert.NilError(t, ans.Err)
	assert.Equal(t, ans.Status, status, ans.Body)
	if status == http.StatusOK {
		assert.Equal(t, ans.Body, want)
	}
	runs := len(one.Runs()) + len(two.Runs())
	if kind == "unsafe" || kind == "stream" {
		assert.Assert(t, runs <= 1, "ran %d times", runs)
	}
	sound(t, sys, kind)
}

// A stream that breaks off has long passed its aim: it goes on at an engine that
// is at work on others all the same.
func TestBrokenStreamGoesOnAtABusyEngine(t *testing.T) {
	const events = 8
	var engines []*upstreamtest.Engine
	for _, name := range []string{"m1", "m2"} {
		engines = append(engines, upstreamtest.NewEngine(upstreamtest.Config{
			ID: name, Service: entrytest.Model, Slots: 4, Events: events, Step: 100 * time.Millisecond,
		}))
	}
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: engines})
	sys.Configure(entrytest.Configuration{Version: 1, Aim: 50 * time.Millisecond})
	sys.UntilReady()
	others := make(chan entrytest.Answer)
	for idx := range 4 {
		go func() {
			others <- sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: fmt.Sprint("other-", idx), Path: "/stream/", Header: map[string]string{"Token-Counts": "10,20"}})
		}()
	}
	sys.Until("all others run", func() bool { return len(engines[0].Runs())+len(engines[1].Runs()) == 4 })
	for _, eng := range engines {
		eng.Trouble(upstreamtest.Cut, 1)
	}
	ans := sendOnce(t, sys, "resume", engines[0], engines[1])
	assert.NilError(t, ans.Err)
	assert.Equal(t, ans.Body, upstreamtest.StreamBody("r1", events))
	for range 4 {
		assert.NilError(t, (<-others).Err)
	}
}

// sendOnce sends a request of which only the first engine that takes it has a trouble.
func sendOnce(t *testing.T, sys *entrytest.System, kind string, one, two *upstreamtest.Engine) entrytest.Answer {
	t.Helper()
	one.OnTaken(func() { two.Clear() })
	two.OnTaken(func() { one.Clear() })
	return sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/" + kind + "/", Header: map[string]string{"Token-Counts": "10,20"}})
}

// sound checks that nothing of a trouble is left over for the next requests.
func sound(t *testing.T, sys *entrytest.System, kind string) {
	t.Helper()
	for idx := range 4 {
		id := fmt.Sprintf("after-%d", idx)
		ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: id, Path: "/" + kind + "/", Header: map[string]string{"Token-Counts": "10,20"}})
		assert.NilError(t, ans.Err)
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
		assert.Assert(t, strings.Contains(ans.Body, id), "%q", ans.Body)
	}
}

func TestUnframedAnswerThatIsResetIsNotWhole(t *testing.T) {
	eng := plainEngine("p1")
	sys := start(t, 1, []*upstreamtest.Engine{eng})
	eng.Trouble(upstreamtest.UnframedReset, 1)
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/unsafe/"})
	assert.Equal(t, ans.Status, http.StatusBadGateway, ans.Body)
}

// An engine that answered early must not take what follows on the connection
// for the rest of the body.
func TestEarlyAnswerLeavesNoConnectionBehind(t *testing.T) {
	eng := plainEngine("p1")
	sys := start(t, 1, []*upstreamtest.Engine{eng})
	eng.Trouble(upstreamtest.Early, 1)
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/unsafe/", Body: strings.Repeat("x", 900<<10)})
	assert.Equal(t, ans.Status, http.StatusRequestEntityTooLarge, ans.Body)
	assert.Equal(t, ans.Header.Get("Response-Signature"), "signed-r1")
	sound(t, sys, "unsafe")
}

func TestCallerThatLeavesEndsTheEnginesWork(t *testing.T) {
	eng := modelEngine("m1")
	sys := start(t, 1, []*upstreamtest.Engine{eng})
	eng.Trouble(upstreamtest.Hang, 1)
	ctx, leave := context.WithCancel(t.Context())
	gone := make(chan entrytest.Answer, 1)
	go func() { gone <- sys.Send(ctx, sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/stream/"}) }()
	sys.Until("the engine runs it", func() bool { return len(eng.Runs()) == 1 })
	leave()
	assert.Assert(t, (<-gone).Err != nil)
	sys.Until("the engine's work ended", func() bool { return eng.Left() == 1 })
}

func TestDeadlineEndsARequestInTime(t *testing.T) {
	eng := plainEngine("p1")
	sys := start(t, 1, []*upstreamtest.Engine{eng})
	eng.Trouble(upstreamtest.Hang, 1)
	began := time.Now()
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/unsafe/", Header: map[string]string{"Deadline-Ms": "200"}})
	assert.Equal(t, ans.Status, http.StatusGatewayTimeout, ans.Body)
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, eng.Runs()[0].Deadline != "", true)
}

func TestDrainingEngineGetsNothingNew(t *testing.T) {
	engines := []*upstreamtest.Engine{plainEngine("p1"), plainEngine("p2")}
	sys := start(t, 2, engines)
	sys.Enter(engines[0], "127.0.0.1:1", true)
	sys.UntilEngines(1)
	for idx := range 20 {
		ans := sys.Send(t.Context(), sys.Hosts[idx%2], entrytest.Request{ID: fmt.Sprint("r", idx), Path: "/unsafe/"})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
	assert.Equal(t, len(engines[0].Runs()), 0)
}

func TestNewerConfigurationIsInForceAndNeverGoesBack(t *testing.T) {
	sys := start(t, 2, twoOfEach())
	send := func(key string) int {
		return sys.Send(t.Context(), sys.Hosts[1], entrytest.Request{ID: "r", Path: "/safe/", Key: key}).Status
	}
	sys.Configure(entrytest.Configuration{Version: 5, Keys: []string{"second"}})
	sys.Until("the key is taken away", func() bool { return send(entrytest.Key) == http.StatusUnauthorized })
	assert.Equal(t, send("second"), http.StatusOK)
	sys.Configure(entrytest.Configuration{Version: 4})
	sys.Configure(entrytest.Configuration{Version: 6, Keys: []string{"second", "third"}})
	sys.Until("the newest is in force", func() bool { return send("third") == http.StatusOK })
	assert.Equal(t, send(entrytest.Key), http.StatusUnauthorized)
}

func TestBadConfigurationIsRefusedWhole(t *testing.T) {
	bad := map[string]struct{ from, to, field string }{
		"wrong kind of value": {`"timeout_ms":5000`, `"timeout_ms":"soon"`, "routes"},
		"unknown kind":        {`"kind":"safe"`, `"kind":"brave"`, "routes[2].kind"},
		"unknown service":     {`"service":"plain"`, `"service":"nobody"`, "Routes[2].Shares"},
	}
	for name, tst := range bad {
		t.Run(name, func(t *testing.T) {
			sys := start(t, 1, twoOfEach())
			text := entrytest.Configuration{Version: 9}.JSON()
			assert.Assert(t, strings.Contains(text, tst.from))
			sys.ConfigureText(strings.Replace(text, tst.from, tst.to, 1))
			sys.Until("the refusal is logged", func() bool { return strings.Contains(sys.Log(), "configuration refused") })
			assert.Assert(t, strings.Contains(sys.Log(), tst.field), sys.Log())
			ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/safe/"})
			assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
		})
	}
}

func TestAccountLimitHoldsOverAllHosts(t *testing.T) {
	engines := twoOfEach()
	sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Engines: engines, Bounds: settings.Bounds{LimitSlack: 1}})
	// The bucket holds 100 plain requests and fills by one in ten seconds.
	sys.Configure(entrytest.Configuration{Version: 1, Rate: 1, Burst: 1000})
	sys.UntilReady()
	sys.Configure(entrytest.Configuration{Version: 2, Rate: 1e6, Burst: 1000})
	sys.UntilVersion(2)
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
	sys.UntilVersion(3)
	// 1000 tokens let 20 requests of 50 through, and the last may leave a debt.
	assert.Assert(t, served() <= 21)
}

func TestHostThatCannotSeeTheStoreServesNothingOld(t *testing.T) {
	engines := twoOfEach()
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: engines, Bounds: settings.Bounds{RevokeMilliseconds: 2500}})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	sys.Until("the host refuses", func() bool {
		return sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r", Path: "/safe/"}).Status == http.StatusServiceUnavailable
	})
	assert.Equal(t, len(sys.Addresses(sys.Hosts[0])), 0, "it must not send callers to itself")
	sys.Store.SetFaults(platformtest.Faults{})
	sys.UntilReady()
	assert.Equal(t, sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r2", Path: "/safe/"}).Status, http.StatusOK)
	assert.Assert(t, strings.Contains(sys.Log(), "store lost") && strings.Contains(sys.Log(), "store regained"))
}

func TestHostWithoutTheStoreServesOnWhereRevocationIsNotStrict(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: twoOfEach(), Bounds: settings.Bounds{
		RevokeMilliseconds: 500, RevocationIsStrict: settings.ToggleOff,
	}})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	sys.Until("store lost", func() bool { return strings.Contains(sys.Log(), "store lost") })
	outlasted := time.Now().Add(2 * time.Second)
	sys.Until("the outage outlasts the bound", func() bool { return time.Now().After(outlasted) })
	assert.Equal(t, sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/safe/"}).Status, http.StatusOK)
	assert.Equal(t, sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r2", Path: "/safe/", Key: "unknown"}).Status, http.StatusUnauthorized)
	assert.Equal(t, len(sys.Addresses(sys.Hosts[0])), 1, "callers are still sent to it")
	assert.Assert(t, sys.IsReady(sys.Hosts[0]))
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	sys := start(t, 1, twoOfEach())
	sys.Store.Compact()
	sys.Configure(entrytest.Configuration{Version: 7, Keys: []string{"new"}})
	sys.UntilVersion(7)
}

func TestPlannedStopLosesNothing(t *testing.T) {
	slow := upstreamtest.NewEngine(upstreamtest.Config{ID: "m1", Service: entrytest.Model, Slots: 4, Events: events, Step: 50 * time.Millisecond})
	sys := start(t, 2, []*upstreamtest.Engine{slow})
	answers := make(chan entrytest.Answer, 1)
	go func() { answers <- sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/stream/"}) }()
	sys.Until("it runs", func() bool { return len(slow.Runs()) == 1 })
	drained := make(chan error, 1)
	go func() { drained <- sys.Hosts[0].Drain(t.Context()) }()
	ans := <-answers
	assert.NilError(t, ans.Err)
	assert.Equal(t, ans.Body, upstreamtest.StreamBody("r1", events))
	sys.Until("it is out of the directory", func() bool { return len(sys.Addresses(sys.Hosts[1])) == 1 })
	late := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r2", Path: "/stream/"})
	assert.Equal(t, late.Status, http.StatusOK, late.Body)
	assert.NilError(t, <-drained)
}

func TestLossOfTheCoordinatorCostsAMomentOnly(t *testing.T) {
	engines := twoOfEach()
	sys := start(t, 3, engines)
	for round := range 2 {
		sys.Hosts[round].Stop()
		ans := sys.Send(t.Context(), sys.Hosts[2], entrytest.Request{ID: fmt.Sprint("r", round), Path: "/unsafe/"})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
}

func TestHostServesWithoutItsFigures(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: twoOfEach(), MetricsTaken: true})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	assert.Assert(t, strings.Contains(sys.Log(), "no figures are told"))
}

// Callers that reach a host in its first moments are served once it knows the
// configuration, and one that learns none refuses them soon.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	for name, tst := range map[string]struct {
		faults platformtest.Faults
		status int
	}{
		"slow store": {platformtest.Faults{Delay: 100 * time.Millisecond}, http.StatusOK},
		"lost store": {platformtest.Faults{Down: true}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			sys := entrytest.Prepare(t, twoOfEach())
			sys.Configure(entrytest.Configuration{Version: 1})
			sys.Store.SetFaults(tst.faults)
			sys.StartHosts(entrytest.Config{Hosts: 1})
			began := time.Now()
			ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/safe/"})
			assert.NilError(t, ans.Err)
			assert.Equal(t, ans.Status, tst.status, ans.Body)
			assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))
		})
	}
}

func TestWhatWasLearnedOfEnginesOutlastsAllHosts(t *testing.T) {
	sys := start(t, 2, twoOfEach())
	for idx := range 20 {
		sys.Send(t.Context(), sys.Hosts[idx%2], entrytest.Request{ID: fmt.Sprint("r", idx), Path: "/stream/", Header: map[string]string{"Token-Counts": "500,20"}})
	}
	sys.Until("survey recorded", func() bool { return strings.Contains(sys.Log(), "survey recorded") })
	for _, hos := range sys.Hosts {
		hos.Stop()
	}
	sys.Hosts = nil
	sys.StartHosts(entrytest.Config{Hosts: 1})
	sys.UntilReady()
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

func TestFiguresCountRequestsByCause(t *testing.T) {
	sys := start(t, 1, twoOfEach())
	assert.Equal(t, sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/safe/"}).Status, http.StatusOK)
	sys.Until("counted", func() bool { return strings.Contains(sys.Figures(sys.Hosts[0]), "Requests.Safe.Answered 1") })
	for _, name := range []string{"Request.Time.Safe.P99", "EngineConnections 1", "StoreFailures 0", "StoreCalls.GrantLease 1"} {
		assert.Assert(t, strings.Contains(sys.Figures(sys.Hosts[0]), name), sys.Figures(sys.Hosts[0]))
	}
}

// A stop that must cut its last request ends at once all the same: whoever is
// killed at the end of the grace can't say why.
func TestStopThatCutsARequestEndsAtOnce(t *testing.T) {
	eng := upstreamtest.NewEngine(upstreamtest.Config{ID: "m1", Service: entrytest.Model, Slots: 4, Events: 100, Step: 100 * time.Millisecond})
	sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Engines: []*upstreamtest.Engine{eng}, Bounds: settings.Bounds{GraceSeconds: 1}})
	sys.Configure(entrytest.Configuration{Version: 1, Timeout: 20 * time.Second})
	sys.UntilReady()
	// One of them is the coordinator, one is next, one is neither.
	for idx, one := range sys.Hosts {
		answers := make(chan entrytest.Answer)
		go func() {
			answers <- sys.Send(t.Context(), one, entrytest.Request{ID: fmt.Sprint("r", idx), Path: "/stream/", Header: map[string]string{"Token-Counts": "10,20"}})
		}()
		sys.Until("the stream has begun", func() bool { return len(eng.Runs()) > idx })
		assert.Assert(t, one.Drain(t.Context()) != nil)
		began := time.Now()
		one.Stop()
		assert.Assert(t, time.Since(began) < stopWithin, "%s", time.Since(began))
		assert.Assert(t, (<-answers).Err != nil)
	}
}

// stopWithin is what the end of a host may take: what a planned stop leaves of the
// grace for it.
const stopWithin = 400 * time.Millisecond

// Seen: an engine that had left got requests for 8.8 s, all by one host.
// Came about so: only that host's way to the store was silent, for 5 s. Others told it of the
// entry that was gone; it kept the engine in mind all the while, and two seconds longer.
// Cause: what goes missing in an outage is kept until the outage is over for the host itself,
// since entries lapse then although their engines live. They don't while the store serves
// the others.
// Proof: this test, in which the engine was kept until the end.
func TestHostThatAloneLostTheStoreDropsEnginesThatLeft(t *testing.T) {
	sys := start(t, 3, twoOfEach())
	sys.Hosts[0].CutStore(true)
	sys.Until("the store is lost", func() bool { return strings.Contains(sys.Log(), "store lost") })
	sys.Remove("p1")
	sys.UntilEngines(3)
	assert.Assert(t, !strings.Contains(sys.Log(), "store regained"))
}

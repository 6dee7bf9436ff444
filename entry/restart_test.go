package entry_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// slot is where an engine's runs listen, one after the other.
type slot struct {
	address string
	handler atomic.Pointer[http.Handler]
}

func newSlot(t *testing.T, eng *upstreamtest.Engine) *slot {
	t.Helper()
	slo := &slot{}
	slo.run(eng)
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) { (*slo.handler.Load()).ServeHTTP(wri, req) }))
	t.Cleanup(srv.CloseClientConnections)
	slo.address = srv.Listener.Addr().String()
	return slo
}

// run has a run of the engine take what comes from now on. What the former had taken
// stays silent, as on a host that is lost without a word.
func (slo *slot) run(eng *upstreamtest.Engine) {
	handler := eng.Handler()
	slo.handler.Store(&handler)
}

func (slo *slot) state(eng *upstreamtest.Engine, born time.Time) entrytest.EngineState {
	return entrytest.EngineState{Service: eng.Service(), Address: slo.address, Slots: eng.Slots(), Born: born, Sequence: 1}
}

// The requests that an engine had when it was lost and started again under its id are
// ended as soon as that is known, long before their deadline: what may be repeated is
// served by the new run, what may not is told so, and nothing of that runs twice.
func TestRequestsAtAnEngineThatStartsAgain(t *testing.T) {
	for _, tst := range []struct {
		kind   string
		status int
		runs   int
	}{{"safe", http.StatusOK, 2}, {"unsafe", http.StatusBadGateway, 1}, {"stream", http.StatusBadGateway, 1}, {"resume", http.StatusOK, 2}} {
		t.Run(tst.kind, func(t *testing.T) {
			engine := plainEngine
			if tst.kind == "stream" || tst.kind == "resume" {
				engine = modelEngine
			}
			former, later := engine("e"), engine("e")
			sys := start(t, 2, nil)
			slo := newSlot(t, former)
			born := time.Now().Add(-time.Hour)
			sys.EnterState("e", slo.state(former, born))
			sys.UntilEngines(1)
			former.Trouble(upstreamtest.Hang, 1)
			taken := make(chan struct{})
			former.OnTaken(func() { close(taken) })
			answered := make(chan entrytest.Answer, 1)
			sent := time.Now()
			go func() {
				answered <- sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r", Path: "/" + tst.kind + "/x", Header: map[string]string{"Token-Counts": "10,10"}})
			}()
			<-taken
			slo.run(later)
			// As late as if the engine had needed a second for its start.
			sys.EnterState("e", slo.state(later, time.Now().Add(time.Second)))
			ans := <-answered
			assert.NilError(t, ans.Err)
			assert.Equal(t, ans.Status, tst.status)
			assert.Equal(t, ans.Header.Get("Retry-After"), "")
			assert.Assert(t, time.Since(sent) < 4*time.Second, "%s", time.Since(sent))
			assert.Equal(t, len(runsOf([]*upstreamtest.Engine{former, later}, "r")), tst.runs)
			ans = sys.Send(t.Context(), sys.Hosts[1], entrytest.Request{ID: "next", Path: "/" + tst.kind + "/x", Header: map[string]string{"Token-Counts": "10,10"}})
			assert.Equal(t, ans.Status, http.StatusOK)
			assert.Equal(t, len(runsOf([]*upstreamtest.Engine{later}, "next")), 1)
		})
	}
}

// Whatever state the store is in when an engine starts again, its new run serves: where
// nobody can know of it, the request goes to the address, and the engine by that id takes
// it.
func TestEngineThatStartsAgainServesWhateverTheStoreDoes(t *testing.T) {
	for name, fau := range map[string]platformtest.Faults{
		"up": {}, "slow": {Delay: 300 * time.Millisecond}, "away": {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			former, later := plainEngine("p"), plainEngine("p")
			sys := start(t, 2, nil)
			slo := newSlot(t, former)
			sys.EnterState("p", slo.state(former, time.Now().Add(-time.Hour)))
			sys.UntilEngines(1)
			send := func(id string) {
				for idx, hos := range sys.Hosts {
					ans := sys.Send(t.Context(), hos, entrytest.Request{ID: id + string(rune('a'+idx)), Path: "/safe/x"})
					assert.Equal(t, ans.Status, http.StatusOK, "%s %s", id, ans.Body)
				}
			}
			send("before")
			sys.Store.SetFaults(fau)
			slo.run(later)
			send("unknown")
			sys.Store.SetFaults(platformtest.Faults{})
			sys.EnterState("p", slo.state(later, time.Now()))
			sys.Store.SetFaults(fau)
			send("entered")
			sys.Store.SetFaults(platformtest.Faults{})
			send("after")
			assert.Equal(t, len(former.Runs()), 2)
			assert.Equal(t, len(later.Runs()), 6)
		})
	}
}

// What a former run wrote arrives after the later run's entry, and changes nothing.
func TestFormerRunsEntryThatArrivesLateChangesNothing(t *testing.T) {
	former, later := plainEngine("p"), plainEngine("p")
	sys := start(t, 1, nil)
	slo, gone := newSlot(t, later), newSlot(t, former)
	born := time.Now()
	sys.EnterState("p", slo.state(later, born))
	sys.UntilEngines(1)
	stale := gone.state(former, born.Add(-time.Minute))
	stale.Draining, stale.Sequence = true, 90
	sys.EnterState("p", stale)
	// A configuration that is in force shows that what was written before is read.
	sys.Configure(entrytest.Configuration{Version: 2})
	sys.UntilVersion(2)
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r", Path: "/unsafe/x"})
	assert.Equal(t, ans.Status, http.StatusOK)
	assert.Equal(t, len(later.Runs()), 1)
	assert.Equal(t, len(former.Runs()), 0)
}

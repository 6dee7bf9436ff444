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

// endpoint is an address at which the runs of an engine serve, one after the other.
type endpoint struct {
	address string
	handler atomic.Pointer[http.Handler]
}

func newEndpoint(t *testing.T, eng *upstreamtest.Engine) *endpoint {
	t.Helper()
	end := &endpoint{}
	end.switchTo(eng)
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) { (*end.handler.Load()).ServeHTTP(wri, req) }))
	t.Cleanup(srv.CloseClientConnections)
	end.address = srv.Listener.Addr().String()
	return end
}

// switchTo directs all further requests to an engine's run.
func (end *endpoint) switchTo(eng *upstreamtest.Engine) {
	handler := eng.Handler()
	end.handler.Store(&handler)
}

func (end *endpoint) state(eng *upstreamtest.Engine, startTime time.Time) entrytest.EngineState {
	return entrytest.EngineState{Service: eng.Service(), Address: end.address, Slots: eng.Slots(), Born: startTime, Sequence: 1}
}

// When an engine is lost and restarts under the same ID, its requests end as soon as the host reads
// the new entry, long before their deadline. Repeatable requests are served by the new run. Others
// are rejected as possibly run, and don't run a second time.
func TestRequestsAtRestartedEngineEndEarly(t *testing.T) {
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
			end := newEndpoint(t, former)
			startTime := time.Now().Add(-time.Hour)
			sys.PutEngineState("e", end.state(former, startTime))
			sys.WaitForEngines(1)
			former.InjectFault(upstreamtest.Hang, 1)
			taken := make(chan struct{})
			former.OnNextRequest(func() { close(taken) })
			answered := make(chan entrytest.Answer, 1)
			sent := time.Now()
			go func() {
				answered <- sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r", Path: "/" + tst.kind + "/x", Header: map[string]string{"Token-Counts": "10,10"}})
			}()
			<-taken
			end.switchTo(later)
			// The start time is set as if the engine had needed a second to start.
			sys.PutEngineState("e", end.state(later, time.Now().Add(time.Second)))
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

// An engine's new run serves while the store is up, slow or down. Until the hosts read the new
// entry they send requests to the same address, where the new run accepts them under the same ID.
func TestRestartedEngineServesInAnyStoreState(t *testing.T) {
	for name, fau := range map[string]platformtest.Faults{
		"store up": {}, "store slow": {Delay: 300 * time.Millisecond}, "store down": {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			former, later := plainEngine("p"), plainEngine("p")
			sys := start(t, 2, nil)
			end := newEndpoint(t, former)
			sys.PutEngineState("p", end.state(former, time.Now().Add(-time.Hour)))
			sys.WaitForEngines(1)
			send := func(id string) {
				for idx, hos := range sys.Hosts {
					ans := sys.Send(t.Context(), hos, entrytest.Request{ID: id + string(rune('a'+idx)), Path: "/safe/x"})
					assert.Equal(t, ans.Status, http.StatusOK, "%s %s", id, ans.Body)
				}
			}
			send("before")
			sys.Store.SetFaults(fau)
			end.switchTo(later)
			send("unknown")
			sys.Store.SetFaults(platformtest.Faults{})
			sys.PutEngineState("p", end.state(later, time.Now()))
			sys.Store.SetFaults(fau)
			send("registered")
			sys.Store.SetFaults(platformtest.Faults{})
			send("after")
			assert.Equal(t, len(former.Runs()), 2)
			assert.Equal(t, len(later.Runs()), 6)
		})
	}
}

// An entry of the former run that arrives after the later run's entry is ignored.
func TestLateEntryOfFormerRunIsIgnored(t *testing.T) {
	former, later := plainEngine("p"), plainEngine("p")
	sys := start(t, 1, nil)
	end, formerEnd := newEndpoint(t, later), newEndpoint(t, former)
	startTime := time.Now()
	sys.PutEngineState("p", end.state(later, startTime))
	sys.WaitForEngines(1)
	stale := formerEnd.state(former, startTime.Add(-time.Minute))
	stale.Draining, stale.Sequence = true, 90
	sys.PutEngineState("p", stale)
	// Once the next configuration is in force, the earlier writes have been read, too.
	sys.Configure(entrytest.Configuration{Version: 2})
	sys.WaitForVersion(2)
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r", Path: "/unsafe/x"})
	assert.Equal(t, ans.Status, http.StatusOK)
	assert.Equal(t, len(later.Runs()), 1)
	assert.Equal(t, len(former.Runs()), 0)
}

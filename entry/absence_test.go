package entry_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// longStream is the number of events of a stream that outlasts the planned stop of its engine.
const longStream = 400

// plannedStop is how long an engine serves on after its entry shows that it drains.
const plannedStop = 2 * time.Second

// stoppableEngine is an engine whose process a test can end.
type stoppableEngine struct {
	*upstreamtest.Engine
	server *httptest.Server
	system *entrytest.System
}

func startStoppableEngine(t *testing.T, sys *entrytest.System, id string) *stoppableEngine {
	t.Helper()
	eng := upstreamtest.NewEngine(upstreamtest.Config{ID: id, Service: entrytest.Model, Slots: 4, Events: longStream, Step: 20 * time.Millisecond})
	sto := &stoppableEngine{Engine: eng, server: httptest.NewServer(eng.Handler()), system: sys}
	t.Cleanup(sto.server.CloseClientConnections)
	sys.RegisterEngine(eng, sto.server.Listener.Addr().String(), false)
	return sto
}

// stop stops the engine as planned, while it runs a request of a host: its entry drains for at least plannedStop.
func (sto *stoppableEngine) stop() {
	sto.system.RegisterEngine(sto.Engine, sto.server.Listener.Addr().String(), true)
	drainedAt := time.Now()
	sto.system.WaitUntil("the planned stop is due", func() bool { return time.Since(drainedAt) > plannedStop })
	_ = sto.server.Listener.Close()
	sto.server.CloseClientConnections()
	sto.system.RemoveEngine(sto.ID())
}

// sendSound sends the same request to a host until its answer is complete, or the request is held: the host may not
// schedule for itself yet, and its part of the retry budget is small.
func sendSound(t *testing.T, sys *entrytest.System, hos *entrytest.Host) entrytest.Answer {
	t.Helper()
	for num := 0; ; num++ {
		ans := sys.Send(t.Context(), hos, entrytest.Request{
			ID: fmt.Sprint("sound-", num), Path: "/resume/x", Body: "week", Header: map[string]string{"Token-Counts": "10,500", "Deadline-Ms": "20000"},
		})
		if ans.Err == nil && ans.Status != http.StatusServiceUnavailable || t.Context().Err() != nil {
			return ans
		}
	}
}

// linesWith returns the lines of a log that contain a text.
func linesWith(log, text string) string {
	found := ""
	for line := range strings.Lines(log) {
		if strings.Contains(line, text) {
			found += line
		}
	}
	return found
}

// Guards against a hold of a sound request: a host whose copy of the store was old took the planned stops of engines, which
// the copy doesn't show, for crashes.
func TestHostOutOfStepTakesNoPlannedStopForCrash(t *testing.T) {
	for name, cut := range outOfStep {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Bounds: settings.Bounds{RevokeMilliseconds: 60_000}})
			con := entrytest.Configuration{Version: 1, Timeout: 20 * time.Second, Attempts: 4}
			sys.Configure(con)
			engines := make(map[string]*stoppableEngine)
			for num := range 4 {
				sto := startStoppableEngine(t, sys, fmt.Sprintf("e%d", num))
				engines[sto.ID()] = sto
			}
			sys.WaitForReady()
			sys.WaitForEngines(len(engines))
			alone := sys.Hosts[2]
			sys.WaitUntil("the host begins streams", func() bool {
				return sys.SendUntilEvent(t.Context(), alone, streamRequest("warm", "", 0), 1).Status == http.StatusOK
			})
			// Who has read a later configuration has read the record of the version too.
			con.Version = 2
			sys.Configure(con)
			sys.WaitForVersion(2)
			answer := make(chan entrytest.Answer, 1)
			go func() { answer <- sendSound(t, sys, alone) }()
			sys.WaitUntil("the request has begun", func() bool {
				return slices.ContainsFunc(slices.Collect(maps.Values(engines)), func(sto *stoppableEngine) bool {
					return runsWithPrefix([]*upstreamtest.Engine{sto.Engine}, "sound") > 0
				})
			})
			alone.SetCutOff(cut)
			for range 3 {
				var runs *stoppableEngine
				sys.WaitUntil("the request runs", func() bool {
					for _, sto := range engines {
						if runsWithPrefix([]*upstreamtest.Engine{sto.Engine}, "sound") > 0 {
							runs = sto
						}
					}
					return runs != nil
				})
				runs.stop()
				delete(engines, runs.ID())
			}
			ans := <-answer
			if ans.Err != nil || ans.Status != http.StatusOK {
				t.Log(linesWith(sys.Log(), `"sound-`))
			}
			assert.NilError(t, ans.Err)
			assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
			assert.Assert(t, strings.Contains(ans.Body, fmt.Sprintf("id: %d\n", longStream)), "the stream is complete")
		})
	}
}

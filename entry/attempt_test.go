package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/eventstream"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
)

// The coordinator may still grant an engine that this host knows to be deregistered. The request
// then needs another reservation, but doesn't fail.
func TestGrantOfDeregisteredEngineIsSkipped(t *testing.T) {
	deregistered := fleet.Engine{ID: fleet.EngineID{Name: "deregistered"}, Service: "plain", Slots: 4, Domain: "here"}
	remaining := fleet.Engine{ID: fleet.EngineID{Name: "remaining"}, Service: "plain", Slots: 4, Domain: "there"}
	for _, tst := range []struct {
		name   string
		known  []fleet.Engine
		engine string
	}{{"another engine remains", []fleet.Engine{remaining}, "remaining"}, {"no engine remains", nil, ""}} {
		t.Run(tst.name, func(t *testing.T) {
			hos, err := New(Config{Log: zerolog.Nop()})
			assert.NilError(t, err)
			hos.set.Domain = "here"
			hos.broker.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{deregistered, remaining}})
			snp := &snapshot{engines: make(map[string]fleet.Engine)}
			for _, eng := range tst.known {
				snp.engines[eng.ID.Name] = eng
			}
			hos.snapshot.Store(snp)
			now := time.Now()
			exc := &exchange{
				host: hos, started: now, deadline: now.Add(time.Second), service: "plain",
				route: route.Route{Kind: route.KindSafe, LatencyTarget: time.Second, Public: true},
			}
			eng, pro := exc.reserve(t.Context())
			assert.Equal(t, eng.ID.Name, tst.engine)
			if tst.engine == "" {
				assert.Equal(t, pro.status, http.StatusServiceUnavailable)
				assert.Assert(t, pro.retryAfter > 0)
			}
		})
	}
}

// A stream isn't rejected because of its estimated duration: it starts, or resumes, wherever a
// slot is free.
func TestLongStreamIsAdmittedAndResumed(t *testing.T) {
	eng := fleet.Engine{ID: fleet.EngineID{Name: "busy"}, Service: "model", Slots: 2, Domain: "here"}
	hos, err := New(Config{Log: zerolog.Nop()})
	assert.NilError(t, err)
	hos.broker.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{eng}})
	hos.snapshot.Store(&snapshot{engines: map[string]fleet.Engine{eng.ID.Name: eng}})
	send := func(id string, hint int, lastEvent eventstream.ID) *problem {
		now := time.Now()
		exc := &exchange{
			host: hos, started: now, deadline: now.Add(time.Second), service: "model", position: eventstream.PositionBehind(lastEvent),
			route: route.Route{Kind: route.KindStreaming, LatencyTarget: 200 * time.Millisecond, Public: true},
		}
		exc.request.ID, exc.request.PromptTokens, exc.request.HintTokens = id, 10, hint
		_, pro := exc.reserve(t.Context())
		return pro
	}
	assert.Assert(t, send("other", 1, "") == nil)
	assert.Assert(t, send("starts", 100_000, "") == nil)
	assert.Assert(t, send("resumes", 100_000, "7") == nil)
}

// BenchmarkRequestLogLine measures the log line of a request, compared with a disabled log.
func BenchmarkRequestLogLine(b *testing.B) {
	for _, tst := range []struct {
		name string
		log  zerolog.Logger
	}{{"Written", zerolog.New(io.Discard).With().Timestamp().Logger()}, {"Off", zerolog.Nop()}} {
		b.Run(tst.name, func(b *testing.B) {
			hos, err := New(Config{Log: tst.log})
			assert.NilError(b, err)
			now := time.Now()
			exc := &exchange{
				host: hos, started: now, deadline: now.Add(time.Second), service: "menus", engine: "e1", decidedBy: "c1",
				route: route.Route{Name: "r1", Kind: route.KindStreaming}, account: route.Account{Name: "kitchen"}, eventCount: 76,
			}
			exc.request.PromptTokens = 6000
			b.ReportAllocs()
			for b.Loop() {
				exc.logEnd(http.StatusOK, causeAnswered, "")
			}
		})
	}
}

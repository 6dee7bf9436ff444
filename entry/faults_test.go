package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// Checks each engine fault with each kind of request: what the client receives, and how often
// the request runs at most.
func TestEngineFaults(t *testing.T) {
	complete := http.StatusOK
	const truncated = 0
	cases := []struct {
		fault upstreamtest.Fault
		name  string
		// The status by the kind of request; 0 is a truncated answer.
		stream, resume, safe, unsafe int
	}{
		{upstreamtest.Error, "Error", 500, complete, complete, 500},
		{upstreamtest.Reject, "Reject", complete, complete, complete, complete},
		{upstreamtest.DropAnswer, "DropAnswer", 502, complete, complete, 502},
		{upstreamtest.Truncate, "Truncate", truncated, complete, complete, 502},
		{upstreamtest.TruncateInEvent, "TruncateInEvent", truncated, complete, complete, complete},
		{upstreamtest.Extra, "Extra", complete, complete, complete, complete},
		{upstreamtest.StrayFirst, "StrayFirst", complete, complete, complete, complete},
		{upstreamtest.Unframed, "Unframed", complete, complete, complete, complete},
		{upstreamtest.Unsigned, "Unsigned", 502, complete, complete, 502},
		// Guards against answers that are none of HTTP/1 (MIXED): a client got the body of a head with the status 000, which
		// read as an answer, and a body whose length a blank behind the field's name hid.
		{upstreamtest.StatusZero, "StatusZero", 502, complete, complete, 502},
		{upstreamtest.BlankInName, "BlankInName", 502, complete, complete, 502},
	}
	for _, tst := range cases {
		t.Run(tst.name, func(t *testing.T) {
			for kind, status := range map[string]int{"stream": tst.stream, "resume": tst.resume, "safe": tst.safe, "unsafe": tst.unsafe} {
				t.Run(kind, func(t *testing.T) { checkFault(t, tst.fault, kind, status) })
			}
		})
	}
}

func checkFault(t *testing.T, fau upstreamtest.Fault, kind string, status int) {
	t.Helper()
	one, two := plainEngine("p1"), plainEngine("p2")
	want := upstreamtest.PlainBody("r1")
	if kind == "stream" || kind == "resume" {
		one, two = modelEngine("m1"), modelEngine("m2")
		want = upstreamtest.StreamBody("r1", streamEvents)
	}
	sys := start(t, 1, []*upstreamtest.Engine{one, two})
	one.InjectFault(fau, 1)
	two.InjectFault(fau, 1)
	// Only the engine that takes the request first has the fault.
	ans := sendWithOneFault(t, sys, kind, one, two)
	if status == 0 {
		assert.Assert(t, ans.Err != nil, "a truncated answer must not look complete: %q", ans.Body)
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
		assert.Assert(t, runs <= 1, "the request ran %d times", runs)
	}
	checkServes(t, sys, kind)
}

// A stream that breaks long after its latency target still resumes on another engine, even on
// one that runs other streams.
func TestBrokenStreamResumesOnBusyEngine(t *testing.T) {
	const events = 8
	var engines []*upstreamtest.Engine
	for _, name := range []string{"m1", "m2"} {
		engines = append(engines, upstreamtest.NewEngine(upstreamtest.Config{
			ID: name, Service: entrytest.Model, Slots: 4, Events: events, Step: 100 * time.Millisecond,
		}))
	}
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: engines})
	sys.Configure(entrytest.Configuration{Version: 1, Aim: 50 * time.Millisecond})
	sys.WaitForReady()
	others := make(chan entrytest.Answer)
	for idx := range 4 {
		go func() {
			others <- sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: fmt.Sprint("other-", idx), Path: "/stream/", Header: map[string]string{"Token-Counts": "10,20"}})
		}()
	}
	sys.WaitUntil("all other streams run", func() bool { return len(engines[0].Runs())+len(engines[1].Runs()) == 4 })
	for _, eng := range engines {
		eng.InjectFault(upstreamtest.Truncate, 1)
	}
	ans := sendWithOneFault(t, sys, "resume", engines[0], engines[1])
	assert.NilError(t, ans.Err)
	assert.Equal(t, ans.Body, upstreamtest.StreamBody("r1", events))
	for range 4 {
		assert.NilError(t, (<-others).Err)
	}
}

// sendWithOneFault sends a request and clears the fault of the other engine as soon as one
// engine has taken the request.
func sendWithOneFault(t *testing.T, sys *entrytest.System, kind string, one, two *upstreamtest.Engine) entrytest.Answer {
	t.Helper()
	one.OnNextRequest(func() { two.ClearFaults() })
	two.OnNextRequest(func() { one.ClearFaults() })
	return sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/" + kind + "/", Header: map[string]string{"Token-Counts": "10,20"}})
}

// checkServes checks that a fault doesn't affect the requests that follow it.
func checkServes(t *testing.T, sys *entrytest.System, kind string) {
	t.Helper()
	for idx := range 4 {
		id := fmt.Sprintf("after-%d", idx)
		ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: id, Path: "/" + kind + "/", Header: map[string]string{"Token-Counts": "10,20"}})
		assert.NilError(t, ans.Err)
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
		assert.Assert(t, strings.Contains(ans.Body, id), "%q", ans.Body)
	}
}

func TestUnframedAnswerThatIsResetIsIncomplete(t *testing.T) {
	eng := plainEngine("p1")
	sys := start(t, 1, []*upstreamtest.Engine{eng})
	eng.InjectFault(upstreamtest.UnframedReset, 1)
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/unsafe/"})
	assert.Equal(t, ans.Status, http.StatusBadGateway, ans.Body)
}

// An engine answers before it has read the body. The next request must not arrive on that
// connection, where the engine would take it for the rest of the body.
func TestConnectionIsNotReusedAfterEarlyAnswer(t *testing.T) {
	eng := plainEngine("p1")
	sys := start(t, 1, []*upstreamtest.Engine{eng})
	eng.InjectFault(upstreamtest.Early, 1)
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/unsafe/", Body: strings.Repeat("x", 900<<10)})
	assert.Equal(t, ans.Status, http.StatusRequestEntityTooLarge, ans.Body)
	assert.Equal(t, ans.Header.Get("Response-Signature"), "signed-r1")
	checkServes(t, sys, "unsafe")
}

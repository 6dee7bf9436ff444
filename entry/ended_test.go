package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// engineEnd is what happens to an engine at the end of its answer.
type engineEnd uint8

const (
	engineLives engineEnd = iota
	engineCrashes
	// engineCrashesSlowly takes one more connection.
	engineCrashesSlowly
)

// engineEnds holds the name of each end.
var engineEnds = map[engineEnd]string{engineLives: "lives", engineCrashes: "crashes", engineCrashesSlowly: "crashes slowly"}

// unframedEngine starts an engine of a service whose answers have neither a length nor chunks, and registers it. It answers
// one request with a number of events and then closes the connection; before that it stops listening if it crashes.
func unframedEngine(t *testing.T, sys *entrytest.System, service string, events int, end engineEnd) {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("Request-Id")
		con, _, err := http.NewResponseController(wri).Hijack()
		if err != nil {
			return
		}
		defer con.Close()
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id)
		_, _ = io.WriteString(con, upstreamtest.StreamBody(id, events))
		switch end {
		case engineLives:
		case engineCrashes:
			_ = lis.Close()
		case engineCrashesSlowly:
			for _, hos := range sys.Hosts {
				hos.EnginePath.OnOpened(lis.Addr().String(), func() { _ = lis.Close() })
			}
		}
	})}
	// Serve returns when the listener is closed.
	go func() { _ = srv.Serve(lis) }()
	sys.PutEngineState("unframed", entrytest.EngineState{Service: service, Address: lis.Addr().String(), Slots: 4})
	sys.WaitForEngines(2)
}

// unframedStatus returns the status of an answer that isn't a stream and whose engine has this end.
func unframedStatus(end engineEnd) int {
	if end == engineLives {
		return http.StatusOK
	}
	return http.StatusBadGateway
}

// Guards against a stream that ends as complete although its engine crashed between two events: an answer without a length
// ends with its connection, however many events it has.
func TestUnframedStreamOfCrashedEngineIsIncomplete(t *testing.T) {
	for _, events := range []int{1, 2, 5} {
		for end, name := range engineEnds {
			t.Run(fmt.Sprintf("%d events, %s", events, name), func(t *testing.T) {
				// A host that reaches no engine at all knows nothing of a single one.
				sys := start(t, 1, []*upstreamtest.Engine{plainEngine("p1")})
				unframedEngine(t, sys, entrytest.Model, events, end)
				ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/stream/x", Header: map[string]string{"Token-Counts": "10,20"}})
				assert.Equal(t, ans.Body, upstreamtest.StreamBody("r1", events))
				assert.Equal(t, ans.Err != nil, end != engineLives, "%v", ans.Err)
			})
		}
	}
}

// The same for an answer that isn't a stream: what has arrived of it may be any part.
func TestUnframedAnswerOfCrashedEngineIsIncomplete(t *testing.T) {
	for end, name := range engineEnds {
		t.Run(name, func(t *testing.T) {
			sys := start(t, 1, []*upstreamtest.Engine{modelEngine("m1")})
			unframedEngine(t, sys, entrytest.Plain, 2, end)
			ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/unsafe/x"})
			assert.Equal(t, ans.Status, unframedStatus(end), ans.Body)
		})
	}
}

// The same for an answer that another host forwards.
func TestForwardedUnframedAnswerOfCrashedEngineIsIncomplete(t *testing.T) {
	for end, name := range engineEnds {
		t.Run(name, func(t *testing.T) {
			sys := start(t, 3, []*upstreamtest.Engine{modelEngine("m1")})
			unframedEngine(t, sys, entrytest.Plain, 2, end)
			sys.Hosts[0].EnginePath.Set(cuts["refused"])
			sys.WaitUntil("the host forwards", func() bool {
				return sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "warm", Path: "/stream/x", Header: map[string]string{"Token-Counts": "10,20"}}).Status == http.StatusOK
			})
			ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/unsafe/x"})
			assert.Equal(t, ans.Status, unframedStatus(end), ans.Body)
		})
	}
}

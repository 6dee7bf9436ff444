package entry_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// lateBody is a request's body whose last part is sent once a function returns.
type lateBody struct {
	first io.Reader
	await func()
	rest  io.Reader
}

func (lbo *lateBody) Read(buf []byte) (int, error) {
	count, err := lbo.first.Read(buf)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if lbo.await != nil {
		lbo.await()
		lbo.await = nil
	}
	return lbo.rest.Read(buf)
}

// takesConnections reports whether a host takes connections of clients.
func takesConnections(t *testing.T, hos *entrytest.Host) bool {
	t.Helper()
	var dialer net.Dialer
	con, err := dialer.DialContext(t.Context(), "tcp", hos.Settings.CallerAddress.String())
	if err != nil {
		return false
	}
	assert.NilError(t, con.Close())
	return true
}

// Guards against requests that a host takes late in a planned stop and cuts at its end (LOST): 12 of 12, six of them
// unsafe, whose bodies ended 4.7 s or later after SIGTERM and whose engine took 3 s.
func TestRequestThatIsWholeLateInStopIsRefusedOrAnswered(t *testing.T) {
	for _, tst := range []struct {
		name     string
		path     string
		deadline string
		status   int
		runs     int
	}{
		{"safe", "/safe/x", "8000", http.StatusServiceUnavailable, 0},
		{"unsafe", "/unsafe/x", "8000", http.StatusServiceUnavailable, 0},
		{"stream", "/stream/x", "8000", http.StatusServiceUnavailable, 0},
		{"answered in time", "/unsafe/x", "3500", http.StatusOK, 1},
	} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			eng := upstreamtest.NewEngine(upstreamtest.Config{ID: "p1", Service: entrytest.Plain, Slots: 4})
			model := upstreamtest.NewEngine(upstreamtest.Config{ID: "m1", Service: entrytest.Model, Slots: 4, Events: streamEvents, Step: time.Second})
			sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: []*upstreamtest.Engine{eng, model}})
			sys.Configure(entrytest.Configuration{Version: 1, Timeout: 20 * time.Second, Aim: 10 * time.Second})
			sys.WaitForReady()
			if tst.runs == 0 {
				eng.InjectFault(upstreamtest.Hang, 1)
			}
			hos := sys.Hosts[0]
			stopped := make(chan struct{})
			stop := func() {
				go func() {
					defer close(stopped)
					// An error says that requests were cut; the answer shows that.
					_ = hos.Drain(t.Context())
					hos.Stop()
				}()
				sys.WaitUntil("the host takes no more connections", func() bool { return !takesConnections(t, hos) })
			}
			body := &lateBody{first: strings.NewReader("first"), await: stop, rest: strings.NewReader("rest")}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+hos.Settings.CallerAddress.String()+tst.path, body)
			assert.NilError(t, err)
			req.Host = entrytest.HostName
			for name, value := range map[string]string{"Authorization": "Bearer " + entrytest.Key, "Request-Id": "r1", "Deadline-Ms": tst.deadline, "Token-Counts": "10,10"} {
				req.Header.Set(name, value)
			}
			client := &http.Transport{DisableKeepAlives: true}
			defer client.CloseIdleConnections()
			rep, err := client.RoundTrip(req)
			assert.NilError(t, err)
			text, err := io.ReadAll(rep.Body)
			assert.NilError(t, err)
			assert.Equal(t, rep.StatusCode, tst.status, "%s", text)
			assert.Equal(t, rep.Header.Get("Retry-After") != "", tst.status == http.StatusServiceUnavailable)
			assert.Equal(t, len(eng.Runs())+len(model.Runs()), tst.runs)
			<-stopped
		})
	}
}

// Guards against the same on connections that clients opened before the stop: one that is first used late in it, and one
// that was used before. A request that comes after the host has closed such a connection isn't read, and nothing is sent.
func TestRequestOnEarlierConnectionLateInStopIsNotCut(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprintf("used %t", used), func(t *testing.T) {
			t.Parallel()
			eng := plainEngine("p1")
			sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: []*upstreamtest.Engine{eng}})
			sys.Configure(entrytest.Configuration{Version: 1, Timeout: 20 * time.Second, Aim: 10 * time.Second})
			sys.WaitForReady()
			hos := sys.Hosts[0]
			var dialer net.Dialer
			con, err := dialer.DialContext(t.Context(), "tcp", hos.Settings.CallerAddress.String())
			assert.NilError(t, err)
			defer con.Close()
			reader := bufio.NewReader(con)
			send := func(id string) (*http.Response, error) {
				_, err := fmt.Fprintf(con, "GET /unsafe/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\n\r\n", entrytest.HostName, entrytest.Key, id)
				if err != nil {
					return nil, err
				}
				rep, err := http.ReadResponse(reader, nil)
				if err != nil {
					return nil, err
				}
				_, err = io.Copy(io.Discard, rep.Body)
				return rep, err
			}
			if used {
				rep, err := send("first")
				assert.NilError(t, err)
				assert.Equal(t, rep.StatusCode, http.StatusOK)
			}
			before := len(eng.Runs())
			eng.InjectFault(upstreamtest.Hang, 1)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				// An error says that requests were cut; the answer shows that.
				_ = hos.Drain(t.Context())
				hos.Stop()
			}()
			sys.WaitUntil("the host takes no more connections", func() bool { return !takesConnections(t, hos) })
			rep, err := send("late")
			if err == nil {
				assert.Equal(t, rep.StatusCode, http.StatusServiceUnavailable)
				assert.Assert(t, rep.Header.Get("Retry-After") != "")
			}
			assert.Equal(t, len(eng.Runs()), before)
			<-stopped
		})
	}
}

// Guards against connections that end without an answer at the end of a planned stop (LOST): the client is told that its
// request may have run.
func TestRequestThatOutlastsStopGetsFinalAnswer(t *testing.T) {
	t.Parallel()
	eng := plainEngine("p1")
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: []*upstreamtest.Engine{eng}})
	sys.Configure(entrytest.Configuration{Version: 1, Timeout: 20 * time.Second, Aim: 10 * time.Second})
	sys.WaitForReady()
	eng.InjectFault(upstreamtest.Hang, 1)
	hos := sys.Hosts[0]
	answers := make(chan entrytest.Answer, 1)
	go func() { answers <- sys.Send(t.Context(), hos, entrytest.Request{ID: "r1", Path: "/unsafe/x"}) }()
	sys.WaitUntil("the engine runs the request", func() bool { return len(eng.Runs()) == 1 })
	assert.Assert(t, hos.Drain(t.Context()) != nil)
	hos.Stop()
	ans := <-answers
	assert.NilError(t, ans.Err)
	assert.Equal(t, ans.Status, http.StatusBadGateway, ans.Body)
	assert.Equal(t, ans.Header.Get("Retry-After"), "")
}

// A request that waits for an engine is refused once the host couldn't wait for its answer, long before the host ends.
func TestRequestThatWaitsInStopIsRefused(t *testing.T) {
	t.Parallel()
	eng := upstreamtest.NewEngine(upstreamtest.Config{ID: "p1", Service: entrytest.Plain, Slots: 1})
	sys := entrytest.Start(t, entrytest.Config{Hosts: 1, Engines: []*upstreamtest.Engine{eng}})
	sys.Configure(entrytest.Configuration{Version: 1, Timeout: 30 * time.Second, Aim: 60 * time.Second})
	sys.WaitForReady()
	const requests = 8
	eng.InjectFault(upstreamtest.Hang, requests)
	hos := sys.Hosts[0]
	answers := make(chan entrytest.Answer, requests)
	for idx := range requests {
		go func() {
			answers <- sys.Send(t.Context(), hos, entrytest.Request{ID: fmt.Sprint("r", idx), Path: "/unsafe/x"})
		}()
	}
	sys.WaitUntil("the engine runs requests", func() bool { return len(eng.Runs()) > 0 })
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		// Those that run are given up at the end.
		_ = hos.Drain(t.Context())
		hos.Stop()
	}()
	select {
	case ans := <-answers:
		assert.NilError(t, ans.Err)
		assert.Equal(t, ans.Status, http.StatusServiceUnavailable, ans.Body)
		assert.Assert(t, strings.Contains(ans.Body, "Stopping"), ans.Body)
	case <-drained:
		t.Fatal("the requests were held until the host had drained")
	}
	refused := 1
	for range requests - 1 {
		if ans := <-answers; ans.Status == http.StatusServiceUnavailable {
			refused++
		}
	}
	<-drained
	assert.Equal(t, refused, requests-len(eng.Runs()))
}

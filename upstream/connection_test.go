package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/upstream"
)

// stallingEngine starts an engine that answers each request with start and then sends
// nothing more. The channel receives a value for each request.
func stallingEngine(t *testing.T, start string) (netip.AddrPort, <-chan struct{}) {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	received := make(chan struct{}, 10)
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = con.Close() })
			var request [512]byte
			if _, err := con.Read(request[:]); err != nil {
				return
			}
			_, _ = io.WriteString(con, start)
			received <- struct{}{}
		}
	}()
	return netip.MustParseAddrPort(lis.Addr().String()), received
}

func newClient(t *testing.T) *upstream.Client {
	t.Helper()
	return newClientWith(t, nil)
}

func newClientWith(t *testing.T, dialer upstream.Dialer) *upstream.Client {
	t.Helper()
	cli := upstream.NewClient(upstream.ClientConfig{Dialer: dialer, Decode: func(int, http.Header) call.AnswerHead { return call.AnswerHead{ID: "mine"} }})
	t.Cleanup(cli.Close)
	return cli
}

func newCall(end upstream.Endpoint) upstream.Call {
	return upstream.Call{Endpoint: end, ID: "mine", Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}}
}

// Guards against waiting for a call to an engine run that has ended. A call whose connection
// received data after the later run started may belong to that run and must continue.
func TestCallToEarlierRunIsAbortedWhenLaterRunIsKnown(t *testing.T) {
	earlier := fleet.NewEngineID("e", time.Now().Add(-time.Hour))
	address, received := stallingEngine(t, "")
	cli := newClient(t)
	result := make(chan error, 1)
	go func() {
		ans, err := cli.Do(t.Context(), newCall(upstream.Endpoint{Address: address, Engine: earlier}))
		if err == nil {
			ans.Close()
		}
		result <- err
	}()
	<-received
	cli.AbortEarlierRuns(fleet.NewEngineID("other", time.Now().Add(time.Hour)))
	cli.AbortEarlierRuns(earlier)
	cli.AbortEarlierRuns(fleet.NewEngineID("e", time.Now().Add(-time.Minute)))
	select {
	case err := <-result:
		t.Fatalf("the call was aborted, but no later run has started since its connection received data: %v", err)
	default:
	}
	cli.AbortEarlierRuns(fleet.NewEngineID("e", time.Now().Add(time.Minute)))
	var ree *upstream.RunEndedError
	err := <-result
	assert.Assert(t, errors.As(err, &ree), "%v", err)
	assert.Equal(t, ree.Endpoint.Engine, earlier)
}

// Guards against dropping bytes of an answer that arrived before its run was known to have
// ended.
func TestArrivedBytesAreReadAfterRunEnded(t *testing.T) {
	const body = "complete answer"
	for _, tst := range []struct {
		name     string
		length   int
		complete bool
	}{{"complete answer", len(body), true}, {"truncated answer", len(body) + 1, false}} {
		t.Run(tst.name, func(t *testing.T) {
			earlier := fleet.NewEngineID("e", time.Now().Add(-time.Hour))
			address, received := stallingEngine(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", tst.length, body))
			cli := newClient(t)
			ans, err := cli.Do(t.Context(), newCall(upstream.Endpoint{Address: address, Engine: earlier}))
			assert.NilError(t, err)
			<-received
			cli.AbortEarlierRuns(fleet.NewEngineID("e", time.Now().Add(time.Minute)))
			got, err := io.ReadAll(ans.Body)
			ans.Close()
			assert.Equal(t, string(got), body)
			var ree *upstream.RunEndedError
			assert.Equal(t, errors.As(err, &ree), !tst.complete, "%v", err)
		})
	}
}

// Guards against sending a request for a later run on a connection to an earlier run at the
// same address.
func TestConnectionIsReusedOnlyForSameRun(t *testing.T) {
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wri, "x") }), ReadHeaderTimeout: time.Minute}
	go func() {
		// Serve returns when the server is closed at the end of the test.
		_ = srv.Serve(lis)
	}()
	t.Cleanup(func() { _ = srv.Close() })
	dialed := 0
	cli := upstream.NewClient(upstream.ClientConfig{
		Decode: func(int, http.Header) call.AnswerHead { return call.AnswerHead{ID: "mine"} }, Dialed: func() { dialed++ },
	})
	t.Cleanup(cli.Close)
	address := netip.MustParseAddrPort(lis.Addr().String())
	for idx, tst := range []struct {
		startMillis int64
		dialed      int
	}{{1000, 1}, {1000, 1}, {2000, 2}, {2000, 2}, {1000, 2}} {
		ans, err := cli.Do(t.Context(), newCall(upstream.Endpoint{Address: address, Engine: fleet.NewEngineID("e", time.UnixMilli(tst.startMillis))}))
		assert.NilError(t, err)
		_, err = ans.ReadAll(10)
		assert.NilError(t, err)
		ans.Close()
		assert.Equal(t, dialed, tst.dialed, "call %d", idx)
	}
}

// Guards against a request that is sent on a connection which its engine has closed, and is lost: an idle limit of 0 passed for none.
func TestConnectionIsReusedWithinItsIdleLimit(t *testing.T) {
	for _, tst := range []struct {
		keepAlive string
		dials     int
	}{
		{"", 1},
		{"max=5", 1},
		{"timeout=9223372036854775807", 1},
		{"timeout=5", 1},
		{"timeout=1", 2},
		{"timeout=0", 2},
		{"0", 2},
	} {
		t.Run(tst.keepAlive, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
				wri.Header().Set("Request-Id", req.Header.Get("Request-Id"))
				if tst.keepAlive != "" {
					wri.Header().Set("Keep-Alive", tst.keepAlive)
				}
			}))
			t.Cleanup(srv.Close)
			dials := 0
			cli := upstream.NewClient(upstream.ClientConfig{Decode: platform.DecodeAnswer, Dialed: func() { dials++ }})
			t.Cleanup(cli.Close)
			for range 2 {
				cal := newCall(upstream.Endpoint{Address: netip.MustParseAddrPort(srv.Listener.Addr().String())})
				cal.Header.Set("Request-Id", cal.ID)
				ans, err := cli.Do(t.Context(), cal)
				assert.NilError(t, err)
				_, err = ans.ReadAll(100)
				assert.NilError(t, err)
				ans.Close()
			}
			assert.Equal(t, dials, tst.dials)
		})
	}
}

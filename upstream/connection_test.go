package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/upstream"
)

// silentEngine begins each answer with what it is told to, and then says nothing more.
// It tells of each request that has come.
func silentEngine(t *testing.T, beginning string) (netip.AddrPort, <-chan struct{}) {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	came := make(chan struct{}, 10)
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
			_, _ = io.WriteString(con, beginning)
			came <- struct{}{}
		}
	}()
	return netip.MustParseAddrPort(lis.Addr().String()), came
}

func runClient(t *testing.T) *upstream.Client {
	t.Helper()
	cli := upstream.NewClient(upstream.ClientConfig{Decode: func(int, http.Header) call.AnswerHead { return call.AnswerHead{ID: "mine"} }})
	t.Cleanup(cli.Close)
	return cli
}

func callOf(end upstream.Endpoint) upstream.Call {
	return upstream.Call{Endpoint: end, ID: "mine", Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}}
}

// A call at a run that is over isn't waited for; one whose connection was heard of when
// the later run had started may be that run's, and goes on.
func TestCallAtAFormerRunEndsWhenItIsKnownToBeOver(t *testing.T) {
	former := fleet.NewEngineID("e", time.Now().Add(-time.Hour))
	address, came := silentEngine(t, "")
	cli := runClient(t)
	ended := make(chan error, 1)
	go func() {
		ans, err := cli.Do(t.Context(), callOf(upstream.Endpoint{Address: address, Engine: former}))
		if err == nil {
			ans.Close()
		}
		ended <- err
	}()
	<-came
	cli.EndFormer(fleet.NewEngineID("other", time.Now().Add(time.Hour)))
	cli.EndFormer(former)
	cli.EndFormer(fleet.NewEngineID("e", time.Now().Add(-time.Minute)))
	select {
	case err := <-ended:
		t.Fatalf("ended by what doesn't concern it: %v", err)
	default:
	}
	cli.EndFormer(fleet.NewEngineID("e", time.Now().Add(time.Minute)))
	var over *upstream.RunEndedError
	err := <-ended
	assert.Assert(t, errors.As(err, &over), "%v", err)
	assert.Equal(t, over.Endpoint.Engine, former)
}

// What has arrived of an answer is read, also when its run is known to be over.
func TestWhatHasArrivedIsReadToItsEnd(t *testing.T) {
	const body = "whole answer"
	for _, tst := range []struct {
		name   string
		length int
		whole  bool
	}{{"a whole answer", len(body), true}, {"a part", len(body) + 1, false}} {
		t.Run(tst.name, func(t *testing.T) {
			former := fleet.NewEngineID("e", time.Now().Add(-time.Hour))
			address, came := silentEngine(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", tst.length, body))
			cli := runClient(t)
			ans, err := cli.Do(t.Context(), callOf(upstream.Endpoint{Address: address, Engine: former}))
			assert.NilError(t, err)
			<-came
			cli.EndFormer(fleet.NewEngineID("e", time.Now().Add(time.Minute)))
			got, err := io.ReadAll(ans.Body)
			ans.Close()
			assert.Equal(t, string(got), body)
			var over *upstream.RunEndedError
			assert.Equal(t, errors.As(err, &over), !tst.whole, "%v", err)
		})
	}
}

// A connection that was opened to a former run carries nothing for the later one.
func TestConnectionsBelongToOneRun(t *testing.T) {
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wri, "x") }), ReadHeaderTimeout: time.Minute}
	go func() {
		// It ends with the test, by being closed.
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
		born   int64
		dialed int
	}{{1000, 1}, {1000, 1}, {2000, 2}, {2000, 2}, {1000, 2}} {
		ans, err := cli.Do(t.Context(), callOf(upstream.Endpoint{Address: address, Engine: fleet.NewEngineID("e", time.UnixMilli(tst.born))}))
		assert.NilError(t, err)
		_, err = ans.ReadWhole(10)
		assert.NilError(t, err)
		ans.Close()
		assert.Equal(t, dialed, tst.dialed, "call %d", idx)
	}
}

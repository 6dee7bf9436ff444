package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/upstream"
)

// Guards against passing on the start of an answer over the size limit as a complete
// answer, and against reusing its connection, on which the rest of the body follows.
func TestAnswerOverLimitIsError(t *testing.T) {
	const limit = 100
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		size := limit
		if req.Header.Get("Large") != "" {
			size++
		}
		_, _ = wri.Write([]byte(strings.Repeat("x", size)))
	}))
	t.Cleanup(srv.Close)
	dialed := 0
	cli := upstream.NewClient(upstream.ClientConfig{
		Decode: func(int, http.Header) call.AnswerHead { return call.AnswerHead{ID: "r"} },
		Dialed: func() { dialed++ },
	})
	t.Cleanup(cli.Close)
	send := func(header http.Header) ([]byte, error) {
		ans, err := cli.Do(t.Context(), upstream.Call{
			Endpoint: upstream.Endpoint{Address: netip.MustParseAddrPort(srv.Listener.Addr().String())}, ID: "r", Method: http.MethodGet, Target: "/", Host: "a", Header: header,
		})
		assert.NilError(t, err)
		defer ans.Close()
		return ans.ReadAll(limit)
	}
	body, err := send(http.Header{})
	assert.NilError(t, err)
	assert.Equal(t, len(body), limit)
	var tooLarge *upstream.AnswerTooLargeError
	_, err = send(http.Header{"Large": {"1"}})
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	assert.Equal(t, dialed, 1)
	_, err = send(http.Header{})
	assert.NilError(t, err)
	assert.Equal(t, dialed, 2)
}

// rawEngine starts an engine that writes the same bytes to each connection and then closes its
// sending side.
func rawEngine(t *testing.T, answer string) netip.AddrPort {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer con.Close()
				_, _ = io.WriteString(con, answer)
				if tcp, isTCP := con.(*net.TCPConn); isTCP {
					_ = tcp.CloseWrite()
				}
				_, _ = io.Copy(io.Discard, con)
			}()
		}
	}()
	return netip.MustParseAddrPort(lis.Addr().String())
}

// newIDClient returns a client that decodes only the id of an answer's head.
func newIDClient() *upstream.Client {
	return upstream.NewClient(upstream.ClientConfig{
		Decode: func(_ int, header http.Header) call.AnswerHead { return call.AnswerHead{ID: header.Get("Id")} },
	})
}

// Guards against accepting a success that belongs to another request: a success must carry
// the request's id, while an error status may lack it.
func TestSuccessWithoutRequestIDIsRejected(t *testing.T) {
	for _, tst := range []struct {
		answer string
		accept bool
	}{
		{"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false},
	} {
		cli := newIDClient()
		ans, err := cli.Do(t.Context(), upstream.Call{Endpoint: upstream.Endpoint{Address: rawEngine(t, tst.answer)}, ID: "mine", Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
		assert.Equal(t, err == nil, tst.accept, "%q: %v", tst.answer, err)
		if err == nil {
			ans.Close()
		}
		cli.Close()
	}
}

// keptEngine starts an engine that answers the requests of each connection in turn.
func keptEngine(t *testing.T, answers ...string) netip.AddrPort {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	serve := func(con net.Conn) {
		defer con.Close()
		requests := bufio.NewReader(con)
		for _, answer := range answers {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			_, _ = io.WriteString(con, answer)
		}
		_, _ = io.Copy(io.Discard, con)
	}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(con)
		}
	}()
	return netip.MustParseAddrPort(lis.Addr().String())
}

// Guards against requests that run at two engines: a surplus refusal without an id, in the place of the next answer, counted
// as that answer, and its promise that the request hasn't run was believed.
func TestSurplusRefusalWithoutIDIsNoAnswer(t *testing.T) {
	const whole, refusal = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const other = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"
	for name, tst := range map[string]struct {
		answers []string
		want    []int
	}{
		"behind a whole answer": {[]string{whole, refusal + whole}, []int{200, 200}},
		"behind a stray answer": {[]string{other + refusal + whole}, []int{200}},
		"on a new connection":   {[]string{refusal}, []int{503}},
	} {
		t.Run(name, func(t *testing.T) {
			end := upstream.Endpoint{Address: keptEngine(t, tst.answers...)}
			cli := newIDClient()
			defer cli.Close()
			for _, want := range tst.want {
				ans, err := cli.Do(t.Context(), newCall(end))
				assert.NilError(t, err)
				assert.Equal(t, ans.Status, want)
				_, err = ans.ReadAll(10)
				assert.NilError(t, err)
				ans.Close()
			}
		})
	}
}

// Guards against calls that hang, and against answers without the call's id, for arbitrary
// bytes sent by an engine. An answer must carry the call's id or an error status, and its body
// must be an error or within the limit.
func FuzzAnswerOfAnEngine(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: mine\r\n\r\nok")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	f.Add("\x00\x01not an answer")
	f.Fuzz(func(t *testing.T, answer string) {
		const limit = 1 << 16
		cli := newIDClient()
		defer cli.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		ans, err := cli.Do(ctx, upstream.Call{Endpoint: upstream.Endpoint{Address: rawEngine(t, answer)}, ID: "mine", Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
		assert.NilError(t, ctx.Err(), "the call did not end within its time limit of 5 s")
		if err != nil {
			return
		}
		defer ans.Close()
		assert.Assert(t, ans.Head.ID == "mine" || ans.Status >= http.StatusBadRequest)
		body, err := ans.ReadAll(limit)
		assert.Assert(t, err != nil || len(body) <= limit)
	})
}

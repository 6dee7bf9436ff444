package upstream_test

import (
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

// An answer over the limit is an error: its beginning isn't a whole answer, and
// its connection isn't used again.
func TestAnswerOverTheLimitIsNotWhole(t *testing.T) {
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
		return ans.ReadWhole(limit)
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

// rawEngine answers each connection with the same bytes and closes it.
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

// namedClient reads an answer's id alone.
func namedClient() *upstream.Client {
	return upstream.NewClient(upstream.ClientConfig{
		Decode: func(_ int, header http.Header) call.AnswerHead { return call.AnswerHead{ID: header.Get("Id")} },
	})
}

// A success must name the request that it answers; a failure may lack the name.
func TestAnswerOfNobodyIsNotASuccess(t *testing.T) {
	for _, tst := range []struct {
		answer string
		taken  bool
	}{
		{"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false},
	} {
		cli := namedClient()
		ans, err := cli.Do(t.Context(), upstream.Call{Endpoint: upstream.Endpoint{Address: rawEngine(t, tst.answer)}, ID: "mine", Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
		assert.Equal(t, err == nil, tst.taken, "%q: %v", tst.answer, err)
		if err == nil {
			ans.Close()
		}
		cli.Close()
	}
}

// Whatever an engine sends, a call ends with an error or with an answer that names
// it, and a body is whole only if it was framed.
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
		cli := namedClient()
		defer cli.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		ans, err := cli.Do(ctx, upstream.Call{Endpoint: upstream.Endpoint{Address: rawEngine(t, answer)}, ID: "mine", Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
		assert.NilError(t, ctx.Err(), "the call went on")
		if err != nil {
			return
		}
		defer ans.Close()
		assert.Assert(t, ans.Head.ID == "mine" || ans.Status >= http.StatusBadRequest)
		body, err := ans.ReadWhole(limit)
		assert.Assert(t, err != nil || len(body) <= limit)
	})
}

package upstream_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

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
		Decode: func(int, http.Header) call.AnswerHead { return call.AnswerHead{} },
		Dialed: func() { dialed++ },
	})
	t.Cleanup(cli.Close)
	send := func(header http.Header) ([]byte, error) {
		ans, err := cli.Do(t.Context(), upstream.Call{
			Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), ID: "r", Method: http.MethodGet, Target: "/", Host: "a", Header: header,
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

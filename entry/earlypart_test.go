package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// Guards against a part of an answer that a client gets as the whole (MIXED): an engine answered a long upload at once, without a
// length, ended its side of the connection, and reset it while the upload was on its way.
func TestPartOfAnswerToUnreadUploadIsIncomplete(t *testing.T) {
	for _, tst := range []struct {
		kind   string
		status int
	}{{"stream", 0}, {"resume", http.StatusOK}, {"safe", http.StatusOK}, {"unsafe", http.StatusBadGateway}} {
		for _, size := range []int{3 << 10, 900 << 10} {
			t.Run(fmt.Sprintf("%s/%d bytes", tst.kind, size), func(t *testing.T) {
				t.Parallel()
				engines := []*upstreamtest.Engine{plainEngine("p1"), plainEngine("p2")}
				want := upstreamtest.PlainBody("r1")
				if tst.kind == "stream" || tst.kind == "resume" {
					engines = []*upstreamtest.Engine{modelEngine("m1"), modelEngine("m2")}
					want = upstreamtest.StreamBody("r1", streamEvents)
				}
				sys := start(t, 1, engines)
				for idx, eng := range engines {
					other := engines[1-idx]
					eng.InjectFault(upstreamtest.EarlyPart, 1)
					eng.OnNextRequest(other.ClearFaults)
				}
				ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/" + tst.kind + "/x", Body: strings.Repeat("x", size), Header: map[string]string{"Token-Counts": "10,10"}})
				if tst.status == 0 {
					assert.Assert(t, ans.Err != nil, "a part must not look complete: %q", ans.Body)
					return
				}
				assert.NilError(t, ans.Err)
				assert.Equal(t, ans.Status, tst.status, ans.Body)
				assert.Assert(t, tst.status != http.StatusOK || ans.Body == want, "%q", ans.Body)
			})
		}
	}
}

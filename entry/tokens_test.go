package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// Guards against requests that are refused although they lie within the limit: one that states 0 tokens passed for one that states
// none, and counted as many as that.
func TestRequestOfNoTokensIsWithinItsLimit(t *testing.T) {
	sys := start(t, 1, []*upstreamtest.Engine{modelEngine("m1"), plainEngine("p1")})
	sys.Configure(entrytest.Configuration{Version: 2, Rate: 1, Burst: 15})
	sys.WaitForVersion(2)
	served := 0
	for num := range 10 {
		if sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: fmt.Sprint("z", num), Path: "/stream/", Header: map[string]string{"Token-Counts": "0,0"}}).Status == http.StatusOK {
			served++
		}
	}
	assert.Equal(t, served, 10)
}

package entry_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/transport"
)

// Guards against hosts that hold a megabyte of each connection's head, whoever opens it: no listener reads more than the
// named bound.
func TestLargeHeadsAreRefused(t *testing.T) {
	sys := start(t, 1, nil)
	set := sys.Hosts[0].Settings
	for name, adr := range map[string]netip.AddrPort{
		"CallerAddress": set.CallerAddress, "ReadyAddress": set.ReadyAddress, "DirectoryAddress": set.DirectoryAddress, "MetricsAddress": set.MetricsAddress,
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+adr.String()+"/x", http.NoBody)
			assert.NilError(t, err)
			req.Header.Set("Large", strings.Repeat("z", 2*transport.MaxHeadBytes))
			rep, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			assert.NilError(t, rep.Body.Close())
			assert.Equal(t, rep.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
		})
	}
}

package entry

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/upstream"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// Guards against the word of a host that reaches nothing: a refused probe counted as proof of a crash, although no
// other engine could be reached either.
func TestRefusedProbeNeedsAnotherEngine(t *testing.T) {
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer lis.Close()
	alive := netip.MustParseAddrPort(lis.Addr().String())
	path := upstreamtest.NewPath()
	hos, err := New(Config{Log: zerolog.Nop(), EngineDialer: path})
	assert.NilError(t, err)
	engines := make(map[string]fleet.Engine)
	for idx := range 3 {
		name := fmt.Sprint("e", idx)
		engines[name] = fleet.Engine{ID: fleet.EngineID{Name: name}, Address: alive}
	}
	dead := fleet.Engine{ID: fleet.EngineID{Name: "dead"}, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	engines["dead"] = dead
	hos.snapshot.Store(&snapshot{engines: engines})
	assert.Equal(t, hos.probeEngine(t.Context(), dead), upstream.ProbeRefused, "others accept connections")
	path.Set(upstreamtest.PathState{Refused: true})
	assert.Equal(t, hos.probeEngine(t.Context(), dead), upstream.ProbeUnknown, "no engine accepts connections")
	assert.Equal(t, hos.probeEngine(t.Context(), engines["e0"]), upstream.ProbeUnknown)
}

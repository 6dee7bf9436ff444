package cmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entry"
	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/scheduler"
)

// startEvacuatingHost starts a fake of the coordinator host while domain d1 is evacuated. Its
// dumps report the given published states in turn; the last one repeats.
func startEvacuatingHost(t *testing.T, published ...string) netip.AddrPort {
	t.Helper()
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		now := published[min(calls, len(published)-1)]
		calls++
		evd := evacuation.Dump{Domain: "d1", Order: 7, State: "Ordered", Told: now, Running: 2}
		if now == "" {
			evd.Missing = []string{"00000000000000aa"}
		}
		cold := scheduler.EngineDump{ID: fleet.EngineID{Name: "e1"}, ColdFor: "2s", Rate: &scheduler.RateDump{PerSecond: 8, Own: 4}}
		_ = json.NewEncoder(wri).Encode(entry.Dump{
			Host: "host-1", Own: true, Evacuations: []evacuation.Dump{evd},
			Scheduler: scheduler.Dump{Services: []scheduler.ServiceDump{{Name: "menus", Engines: []scheduler.EngineDump{cold, {}}}}},
		})
	}))
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func TestEvacuationPrintsMissingHostsAndColdEngines(t *testing.T) {
	com := newEvacuationCmd()
	com.opts.entry = startEvacuatingHost(t, "")
	var out bytes.Buffer
	assert.NilError(t, com.run(t.Context(), streams{out: &out}))
	for _, want := range []string{"d1: Ordered (order 7)", "2 running", "waiting for 1 hosts, epochs 00000000000000aa", "e1 of menus is cold for 2s: at most 8 requests per second, 4 granted by this host"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
	com.opts.domain = "d2"
	assert.ErrorContains(t, com.run(t.Context(), streams{out: &out}), "no evacuation order for d2")
	com.opts.entry = netip.AddrPort{}
	assert.ErrorContains(t, com.run(t.Context(), streams{out: &out}), "--entry")
}

func TestEvacuationWatchStopsWhenDomainIsEmpty(t *testing.T) {
	com := newEvacuationCmd()
	com.opts.entry, com.opts.watch = startEvacuatingHost(t, "Closed", "Empty"), true
	var out bytes.Buffer
	assert.NilError(t, com.run(t.Context(), streams{out: &out}))
	assert.Equal(t, strings.Count(out.String(), "d1: "), 2)
}

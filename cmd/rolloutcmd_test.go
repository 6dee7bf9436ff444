package cmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entry"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/rollout"
	"lynxwell.dev/lynxwell/scheduler"
)

// startRolloutHost starts a fake of a host whose dumps report the given states of a roll-out in
// turn; the last one repeats.
func startRolloutHost(t *testing.T, states ...rollout.State) netip.AddrPort {
	t.Helper()
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		sta := states[min(calls, len(states)-1)]
		calls++
		rod := &rollout.Dump{
			Service: "menus", Version: "v2", State: sta.String(), Reason: "too soon", Period: "12s", Reserved: 25, Requests: 400, Given: 12,
			Routes: map[string]rollout.Counts{"r1": {NewGood: 11, NewBad: 1, Loaded: 9, FormerGood: 300, FormerBad: 2}},
		}
		_ = json.NewEncoder(wri).Encode(entry.Dump{
			Host: "host-1", Own: true, Engines: []fleet.Engine{{ID: fleet.NewEngineID("e", time.UnixMilli(5))}},
			Scheduler: scheduler.Dump{Services: []scheduler.ServiceDump{{Name: "menus", Rollout: rod}, {Name: "plain"}}},
		})
	}))
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func TestRolloutPrintsStateAndCounts(t *testing.T) {
	com := newRolloutCmd()
	com.opts.entry, com.opts.service = startRolloutHost(t, rollout.StateRunning), "menus"
	var out bytes.Buffer
	assert.NilError(t, com.run(t.Context(), streams{out: &out}))
	for _, want := range []string{"menus to v2: Running (too soon)", "canary requests: at most 25 of 400, 12 by this host", "route r1: new version 11 good, 1 bad answers (9 under load); old version 300 good, 2 bad"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
	com.opts.service = "plain"
	assert.ErrorContains(t, com.run(t.Context(), streams{out: &out}), "no roll-out of plain")
	com.opts.entry = netip.AddrPort{}
	assert.ErrorContains(t, com.run(t.Context(), streams{out: &out}), "--entry")
}

func TestRolloutWatchStopsWhenRolloutCompletes(t *testing.T) {
	com := newRolloutCmd()
	com.opts.entry, com.opts.watch = startRolloutHost(t, rollout.StateRunning, rollout.StateCompleted), true
	var out bytes.Buffer
	assert.NilError(t, com.run(t.Context(), streams{out: &out}))
	assert.Equal(t, strings.Count(out.String(), "menus to v2"), 2)
}

package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// rolloutPeriod is long enough for a few hundred answers.
const rolloutPeriod = 4 * time.Second

func versionEngine(id, version string, change func(*upstreamtest.Config)) *upstreamtest.Engine {
	cfg := upstreamtest.Config{ID: id, Service: entrytest.Plain, Slots: 8, Version: version}
	change(&cfg)
	return upstreamtest.NewEngine(cfg)
}

func healthy(*upstreamtest.Config) {}

// traffic sends safe and unsafe requests to all hosts until its stop function is called, and
// counts the requests that weren't served.
type traffic struct {
	sent, failed atomic.Int64
	stop         func()
}

func startTraffic(t *testing.T, sys *entrytest.System, hosts []*entrytest.Host) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	tra := &traffic{}
	var senders sync.WaitGroup
	for num := range 8 {
		senders.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				kind := "safe"
				if count%4 == 0 {
					kind = "unsafe"
				}
				hos := hosts[num%len(hosts)]
				ans := sys.Send(ctx, hos, entrytest.Request{ID: fmt.Sprintf("r-%d-%d", num, count), Path: "/" + kind + "/x"})
				if ctx.Err() != nil {
					return
				}
				tra.sent.Add(1)
				if ans.Status != http.StatusOK {
					tra.failed.Add(1)
				}
			}
		})
	}
	tra.stop = func() {
		cancel()
		senders.Wait()
	}
	t.Cleanup(tra.stop)
	return tra
}

func startRollout(t *testing.T, hosts int, engines ...*upstreamtest.Engine) *entrytest.System {
	t.Helper()
	sys := entrytest.Start(t, entrytest.Config{
		Hosts: hosts, Engines: []*upstreamtest.Engine{versionEngine("old-1", "v1", healthy), versionEngine("old-2", "v1", healthy)},
		Bounds: settings.Bounds{ExposureShare: 0.1, ExposureSlack: 30},
	})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.OrderRollout(entrytest.Plain, "v2", rolloutPeriod)
	sys.AddEngines(engines...)
	return sys
}

func rolloutEnded(sys *entrytest.System, service string) func() bool {
	return func() bool {
		state, _ := sys.RolloutState(service)
		return state == "completed" || state == "rolled_back"
	}
}

func runCount(engines ...*upstreamtest.Engine) int {
	count := 0
	for _, eng := range engines {
		count += len(eng.Runs())
	}
	return count
}

// A healthy version serves all requests in the end, and no request fails.
func TestHealthyVersionIsCompleted(t *testing.T) {
	one, two := versionEngine("new-1", "v2", healthy), versionEngine("new-2", "v2", healthy)
	sys := startRollout(t, 2, one, two)
	tra := startTraffic(t, sys, sys.Hosts)
	sys.WaitUntil("the roll-out runs", func() bool { state, _ := sys.RolloutState(entrytest.Plain); return state == "running" })
	sys.WaitUntil("the roll-out ends", rolloutEnded(sys, entrytest.Plain))
	state, name := sys.RolloutState(entrytest.Plain)
	assert.Equal(t, state, "completed")
	assert.Equal(t, name, "v2")
	before := runCount(one, two)
	sys.WaitUntil("the new version serves", func() bool { return runCount(one, two) > before+20 })
	tra.stop()
	assert.Equal(t, tra.failed.Load(), int64(0))
}

// A faulty version is rolled back. It gets no more requests than the bounds allow, and none after
// the rollback. Repeatable requests that failed there are served by engines of the old version.
func TestFaultyVersionIsRolledBack(t *testing.T) {
	for name, change := range map[string]func(*upstreamtest.Config){
		"fails":       func(cfg *upstreamtest.Config) { cfg.FailEvery = 2 },
		"slow":        func(cfg *upstreamtest.Config) { cfg.SlowEvery = 2 },
		"fails later": func(cfg *upstreamtest.Config) { cfg.FailEvery, cfg.Sound = 2, 20 },
	} {
		t.Run(name, func(t *testing.T) {
			one, two := versionEngine("new-1", "v2", change), versionEngine("new-2", "v2", change)
			sys := startRollout(t, 2, one, two)
			tra := startTraffic(t, sys, sys.Hosts)
			sys.WaitUntil("the roll-out ends", rolloutEnded(sys, entrytest.Plain))
			state, _ := sys.RolloutState(entrytest.Plain)
			assert.Equal(t, state, "rolled_back")
			received := runCount(one, two)
			sent := tra.sent.Load()
			sys.WaitUntil("more requests are served", func() bool { return tra.sent.Load() > sent+200 })
			assert.Equal(t, runCount(one, two), received)
			tra.stop()
			assert.Assert(t, float64(received) <= 0.1*float64(tra.sent.Load())+30, "%d of %d", received, tra.sent.Load())
			assert.Assert(t, tra.failed.Load() <= 10, "%d of %d failed", tra.failed.Load(), tra.sent.Load())
		})
	}
}

// The coordinator may be lost and the store be down during a roll-out. The roll-out still ends as
// it would otherwise, and a faulty version gets no more requests than the bounds allow.
func TestRolloutSurvivesLossOfCoordinator(t *testing.T) {
	for name, tst := range map[string]struct {
		change func(*upstreamtest.Config)
		want   string
	}{"healthy": {healthy, "completed"}, "faulty": {func(cfg *upstreamtest.Config) { cfg.FailEvery, cfg.Sound = 2, 25 }, "rolled_back"}} {
		t.Run(name, func(t *testing.T) {
			one, two := versionEngine("new-1", "v2", tst.change), versionEngine("new-2", "v2", tst.change)
			sys := startRollout(t, 3, one, two)
			var first *entrytest.Host
			sys.WaitUntil("one host coordinates", func() bool { first = coordinator(sys); return first != nil })
			sys.Hosts = hostsWithout(sys.Hosts, first)
			tra := startTraffic(t, sys, sys.Hosts)
			sys.WaitUntil("the new version gets requests", func() bool { return runCount(one, two) > 0 })
			first.Stop()
			sys.Store.SetFaults(platformtest.Faults{Down: true})
			sent := tra.sent.Load()
			sys.WaitUntil("requests are served without the store", func() bool { return tra.sent.Load() > sent+100 })
			sys.Store.SetFaults(platformtest.Faults{LoseReplies: 2})
			sys.WaitUntil("the roll-out ends", rolloutEnded(sys, entrytest.Plain))
			state, _ := sys.RolloutState(entrytest.Plain)
			assert.Equal(t, state, tst.want)
			if tst.want == "rolled_back" {
				tra.stop()
				assert.Assert(t, float64(runCount(one, two)) <= 0.1*float64(tra.sent.Load())+30, "%d of %d", runCount(one, two), tra.sent.Load())
			}
		})
	}
}

func hostsWithout(hosts []*entrytest.Host, removed *entrytest.Host) []*entrytest.Host {
	var left []*entrytest.Host
	for _, hos := range hosts {
		if hos != removed {
			left = append(left, hos)
		}
	}
	return left
}

// An invalid order is ignored. An order for a version without engines ends, and so does one for an
// unknown service. A second order replaces the first.
func TestRolloutOrdersWithoutEnginesEnd(t *testing.T) {
	sys := startRollout(t, 1, versionEngine("new-1", "v3", healthy))
	_, err := sys.Store.Put(t.Context(), store.Write{Key: "op/rollout/" + entrytest.Model, Blind: true, Data: []byte(`{"service":"other","target_version":7}`)})
	assert.NilError(t, err)
	sys.OrderRollout("unknown", "v2", time.Second)
	sys.WaitUntil("the first order runs", func() bool { state, _ := sys.RolloutState(entrytest.Plain); return state == "running" })
	sys.OrderRollout(entrytest.Plain, "v9", time.Second)
	sys.WaitUntil("the second order ends", func() bool {
		state, name := sys.RolloutState(entrytest.Plain)
		return state == "rolled_back" && name == "v9"
	})
	sys.WaitUntil("the order of the unknown service ends", rolloutEnded(sys, "unknown"))
	state, _ := sys.RolloutState(entrytest.Model)
	assert.Equal(t, state, "")
	sys.WaitUntil("the invalid order is logged", func() bool { return logContains(sys, "roll-out order refused") })
}

func logContains(sys *entrytest.System, text string) bool { return strings.Contains(sys.Log(), text) }

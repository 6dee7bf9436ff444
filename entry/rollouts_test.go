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

// rolloutPeriod is long enough for some hundred answers.
const rolloutPeriod = 4 * time.Second

func version(id, name string, change func(*upstreamtest.Config)) *upstreamtest.Engine {
	cfg := upstreamtest.Config{ID: id, Service: entrytest.Plain, Slots: 8, Version: name}
	change(&cfg)
	return upstreamtest.NewEngine(cfg)
}

func soundVersion(*upstreamtest.Config) {}

// traffic sends requests of both kinds to all hosts until it is ended, and counts those
// that weren't served.
type traffic struct {
	sent, failed atomic.Int64
	end          func()
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
	tra.end = func() {
		cancel()
		senders.Wait()
	}
	t.Cleanup(tra.end)
	return tra
}

func startRollout(t *testing.T, hosts int, engines ...*upstreamtest.Engine) *entrytest.System {
	t.Helper()
	sys := entrytest.Start(t, entrytest.Config{
		Hosts: hosts, Engines: []*upstreamtest.Engine{version("old-1", "v1", soundVersion), version("old-2", "v1", soundVersion)},
		Bounds: settings.Bounds{ExposureShare: 0.1, ExposureSlack: 30},
	})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	sys.Order(entrytest.Plain, "v2", rolloutPeriod)
	sys.AddEngines(engines...)
	return sys
}

func ended(sys *entrytest.System, service string) func() bool {
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

// A good version serves alone in the end, and nobody noticed.
func TestGoodVersionIsCompleted(t *testing.T) {
	one, two := version("new-1", "v2", soundVersion), version("new-2", "v2", soundVersion)
	sys := startRollout(t, 2, one, two)
	tra := startTraffic(t, sys, sys.Hosts)
	sys.Until("the roll-out runs", func() bool { state, _ := sys.RolloutState(entrytest.Plain); return state == "running" })
	sys.Until("the roll-out ends", ended(sys, entrytest.Plain))
	state, name := sys.RolloutState(entrytest.Plain)
	assert.Equal(t, state, "completed")
	assert.Equal(t, name, "v2")
	former := runCount(one, two)
	sys.Until("the version serves", func() bool { return runCount(one, two) > former+20 })
	tra.end()
	assert.Equal(t, tra.failed.Load(), int64(0))
}

// A bad version is rolled back, and gets no more than the users allow, and nothing more
// from then on. What it failed and may be repeated was served by the former engines.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, change := range map[string]func(*upstreamtest.Config){
		"fails":       func(cfg *upstreamtest.Config) { cfg.FailEvery = 2 },
		"slow":        func(cfg *upstreamtest.Config) { cfg.SlowEvery = 2 },
		"fails later": func(cfg *upstreamtest.Config) { cfg.FailEvery, cfg.Sound = 2, 20 },
	} {
		t.Run(name, func(t *testing.T) {
			one, two := version("new-1", "v2", change), version("new-2", "v2", change)
			sys := startRollout(t, 2, one, two)
			tra := startTraffic(t, sys, sys.Hosts)
			sys.Until("the roll-out ends", ended(sys, entrytest.Plain))
			state, _ := sys.RolloutState(entrytest.Plain)
			assert.Equal(t, state, "rolled_back")
			given := runCount(one, two)
			sent := tra.sent.Load()
			sys.Until("more requests are served", func() bool { return tra.sent.Load() > sent+200 })
			assert.Equal(t, runCount(one, two), given)
			tra.end()
			assert.Assert(t, float64(given) <= 0.1*float64(tra.sent.Load())+30, "%d of %d", given, tra.sent.Load())
			assert.Assert(t, tra.failed.Load() <= 10, "%d of %d failed", tra.failed.Load(), tra.sent.Load())
		})
	}
}

// Whoever decides may be lost at each step, and the store be away in the middle: the
// roll-out goes on, ends once, and the version never gets too much.
func TestRolloutOutlastsTheCoordinator(t *testing.T) {
	for name, tst := range map[string]struct {
		change func(*upstreamtest.Config)
		want   string
	}{"good": {soundVersion, "completed"}, "bad": {func(cfg *upstreamtest.Config) { cfg.FailEvery, cfg.Sound = 2, 25 }, "rolled_back"}} {
		t.Run(name, func(t *testing.T) {
			one, two := version("new-1", "v2", tst.change), version("new-2", "v2", tst.change)
			sys := startRollout(t, 3, one, two)
			var first *entrytest.Host
			sys.Until("one host coordinates", func() bool { first = coordinator(sys); return first != nil })
			sys.Hosts = without(sys.Hosts, first)
			tra := startTraffic(t, sys, sys.Hosts)
			sys.Until("the version is tried", func() bool { return runCount(one, two) > 0 })
			first.Stop()
			sys.Store.SetFaults(platformtest.Faults{Down: true})
			sent := tra.sent.Load()
			sys.Until("requests are served without the store", func() bool { return tra.sent.Load() > sent+100 })
			sys.Store.SetFaults(platformtest.Faults{LoseReplies: 2})
			sys.Until("the roll-out ends", ended(sys, entrytest.Plain))
			state, _ := sys.RolloutState(entrytest.Plain)
			assert.Equal(t, state, tst.want)
			if tst.want == "rolled_back" {
				tra.end()
				assert.Assert(t, float64(runCount(one, two)) <= 0.1*float64(tra.sent.Load())+30, "%d of %d", runCount(one, two), tra.sent.Load())
			}
		})
	}
}

func without(hosts []*entrytest.Host, gone *entrytest.Host) []*entrytest.Host {
	var left []*entrytest.Host
	for _, hos := range hosts {
		if hos != gone {
			left = append(left, hos)
		}
	}
	return left
}

// An order that can't be read is never followed; one whose engines don't come ends, and
// so does one of a service that nobody configured. A second order goes before the first.
func TestOrdersThatLeadNowhere(t *testing.T) {
	sys := startRollout(t, 1, version("new-1", "v3", soundVersion))
	_, err := sys.Store.Put(t.Context(), store.Write{Key: "op/rollout/" + entrytest.Model, Blind: true, Data: []byte(`{"service":"other","target_version":7}`)})
	assert.NilError(t, err)
	sys.Order("unknown", "v2", time.Second)
	sys.Until("the first is tried", func() bool { state, _ := sys.RolloutState(entrytest.Plain); return state == "running" })
	sys.Order(entrytest.Plain, "v9", time.Second)
	sys.Until("the second ends", func() bool {
		state, name := sys.RolloutState(entrytest.Plain)
		return state == "rolled_back" && name == "v9"
	})
	sys.Until("the unknown one ends", ended(sys, "unknown"))
	state, _ := sys.RolloutState(entrytest.Model)
	assert.Equal(t, state, "")
	sys.Until("the refusal is logged", func() bool { return logHas(sys, "roll-out order refused") })
}

func logHas(sys *entrytest.System, text string) bool { return strings.Contains(sys.Log(), text) }

package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/quarantine"
)

const (
	// simEngines engines run simLoad requests each, of simSources traffic sources, and a quarter of the engines crash at
	// once for a reason of their own.
	simEngines = 160
	simCrashed = simEngines / 4
	simLoad    = 5
	simSources = 300
	// simNewShare is the share of the requests that are new on their engine.
	simNewShare = 0.4
)

// simRequest is a request that runs on an engine.
type simRequest struct {
	source quarantine.TrafficSource
	isNew  bool
}

// runningRequests returns the requests on each engine, of sources that differ in how many they send.
func runningRequests(rng *rand.Rand) [][]simRequest {
	zipf := rand.NewZipf(rng, 1.2, 2, simSources-1)
	engines := make([][]simRequest, simEngines)
	for idx := range engines {
		for range simLoad {
			src := quarantine.TrafficSource{Service: "model", Account: fmt.Sprint(zipf.Uint64())}
			engines[idx] = append(engines[idx], simRequest{source: src, isNew: rng.Float64() < simNewShare})
		}
	}
	return engines
}

// sourcesOn returns the sources with a request on the engine, and those with a new one.
func sourcesOn(requests []simRequest) (sources, newSources map[quarantine.TrafficSource]bool) {
	sources, newSources = make(map[quarantine.TrafficSource]bool), make(map[quarantine.TrafficSource]bool)
	for _, req := range requests {
		sources[req.source] = true
		if req.isNew {
			newSources[req.source] = true
		}
	}
	return sources, newSources
}

// presenceAt returns what is known of the sources on an engine that crashes while the others live.
func presenceAt(crashed []simRequest, others [][]simRequest) []quarantine.Presence {
	counts, newCounts := make(map[quarantine.TrafficSource]int), make(map[quarantine.TrafficSource]int)
	for _, requests := range others {
		sources, newSources := sourcesOn(requests)
		for src := range sources {
			counts[src]++
		}
		for src := range newSources {
			newCounts[src]++
		}
	}
	shareOf := func(count int) float64 { return (float64(count) + 0.5) / float64(len(others)+1) }
	sources, newSources := sourcesOn(crashed)
	var present []quarantine.Presence
	for src := range sources {
		present = append(present, quarantine.Presence{
			TrafficSource: src, HasRequest: true, HasNewRequest: newSources[src],
			RequestShare: shareOf(counts[src]), NewRequestShare: shareOf(newCounts[src]),
		})
	}
	return present
}

// Guards against sound client accounts that wait for isolated engines: many engines crash at once, and a source that
// happened to be on several of them is taken for their cause.
func TestCrashOfManyEnginesRestrictsNoSource(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			engines := runningRequests(rand.New(rand.NewPCG(seed, 0)))
			reg := quarantine.New(quarantine.Config{})
			now := time.Unix(1000, 0)
			for idx := range simCrashed {
				reg.RecordUnexplainedCrash(now, presenceAt(engines[idx], engines[idx+1:]))
				now = now.Add(time.Millisecond)
			}
			assert.Equal(t, len(reg.RestrictedSources()), 0)
		})
	}
}

// Guards against sources that crash many engines within a moment, and go on since the crashes are taken for one event.
func TestSourcesOfManyCrashesAreRestricted(t *testing.T) {
	for _, bad := range []int{1, 2} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d sources/%d", bad, seed), func(t *testing.T) {
				engines := runningRequests(rand.New(rand.NewPCG(seed, 0)))
				reg := quarantine.New(quarantine.Config{})
				now := time.Unix(1000, 0)
				for idx := range simCrashed {
					poison := simRequest{source: quarantine.TrafficSource{Service: "model", Account: fmt.Sprint("bad-", idx%bad)}, isNew: true}
					reg.RecordUnexplainedCrash(now, presenceAt(append(engines[idx], poison), engines[idx+1:]))
					now = now.Add(time.Millisecond)
				}
				restricted := 0
				for _, src := range reg.RestrictedSources() {
					if strings.HasPrefix(src.Account, "bad-") {
						restricted++
					}
				}
				assert.Equal(t, restricted, bad)
			})
		}
	}
}

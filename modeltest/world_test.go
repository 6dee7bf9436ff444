package modeltest_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/modeltest"
)

// randomWalk takes up to the given number of steps, each drawn by rapid from the possible choices,
// and checks the invariants after each step.
func randomWalk(t *rapid.T, cfg modeltest.Config, steps int) *modeltest.World {
	wor := modeltest.NewWorld(cfg)
	for range steps {
		choices := wor.Choices()
		if len(choices) == 0 {
			break
		}
		cho := choices[rapid.IntRange(0, len(choices)-1).Draw(t, "choice")]
		t.Log(cho.Name)
		wor.Take(cho)
		if err := wor.Check(); err != nil {
			t.Fatal(err)
		}
	}
	return wor
}

func TestModelRandomWalks(t *testing.T) {
	cases := map[string]modeltest.Config{
		"ThreeDomains": {
			Domains: []string{"a", "b", "c"}, MaxFaults: 4, MaxRetries: 4, Restarts: true, DialErrors: true, Timeouts: true,
		},
		"TwoHostsInOneDomain": {
			Domains: []string{"a", "a", "b", "c"}, MaxFaults: 4, MaxRetries: 4, Uniques: []string{"x", "y"}, Timeouts: true,
		},
		"PlannedStops": {
			Domains: []string{"a", "b", "c"}, MaxFaults: 5, MaxRetries: 4, Restarts: true, Stops: true, Timeouts: true,
		},
		"Shedding": {
			Domains: []string{"a", "b", "c"}, Engines: 3, Slots: 1, MaxWaiting: 1, MaxFaults: 1, MaxRetries: 1, Timeouts: true,
			Uniques: []string{"a", "b", "c", "d", "e", "f", "g", "h"},
			Ranks:   map[string]int{"a": 10, "b": 10, "c": 10, "d": 20, "e": 20, "f": 30, "g": 30, "h": 30},
		},
		"TwoDomains": {
			Domains: []string{"a", "b", "b"}, MaxFaults: 4, MaxRetries: 4, Restarts: true, Stops: true,
		},
	}
	for name, cfg := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { randomWalk(t, cfg, 120) })
		})
	}
}

func TestRequestIsServedWithoutFaults(t *testing.T) {
	wor := modeltest.NewWorld(modeltest.Config{Domains: []string{"a", "b", "c"}})
	for range 100 {
		choices := wor.Choices()
		if len(choices) == 0 {
			break
		}
		wor.Take(choices[0])
		assert.NilError(t, wor.Check())
	}
	assert.Equal(t, wor.Summary(), modeltest.Summary{Dispatched: 1})
}

package mirror

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleets are the numbers of large and small hosts of each failure domain.
var fleets = map[string][][2]int{
	"7 hosts":    {{2, 0}, {2, 0}, {2, 0}, {1, 0}},
	"60 hosts":   {{1, 14}, {1, 14}, {1, 14}, {1, 14}},
	"985 hosts":  {{10, 137}, {10, 177}, {10, 157}, {10, 170}, {10, 137}, {10, 147}},
	"1000 small": {{0, 500}, {0, 500}},
}

// troubles are what happens to a fleet from the second second on, for eight seconds.
var troubles = map[string]func(sim *fleetSim){
	"none": func(*fleetSim) {},
	"the store rejects a third": func(sim *fleetSim) {
		sim.setFor(sim.some(0.35), func(hos *simHost, on bool) { hos.rejected = on })
	},
	"the store is silent to most": func(sim *fleetSim) {
		sim.setFor(sim.some(0.6), func(hos *simHost, on bool) { hos.rejected, hos.silent = on, on })
	},
	"the first hosts of all domains but one are rejected": func(sim *fleetSim) {
		last := sim.hosts[len(sim.hosts)-1].member.Domain
		sim.setFor(sim.first(3), func(hos *simHost, on bool) { hos.rejected = on && hos.member.Domain != last })
	},
	"a third is cut off from the others": func(sim *fleetSim) {
		sim.setFor(sim.some(0.3), func(hos *simHost, on bool) { hos.cut = on })
	},
	"the first hosts are lost": func(sim *fleetSim) {
		sim.setFor(sim.first(2), func(hos *simHost, on bool) {
			hos.down = on
			if !on {
				hos.confirmed, hos.fresh = sim.now, sim.now
				sim.after(0, hos.next)
			}
		})
	},
	"the first hosts are slow": func(sim *fleetSim) {
		sim.setFor(sim.first(1), func(hos *simHost, on bool) {
			hos.share *= 0.05
			if !on {
				hos.share /= 0.05 * 0.05
			}
		})
	},
}

// setFor sets a fault of hosts, and clears it after eight seconds.
func (sim *fleetSim) setFor(hosts []*simHost, set func(hos *simHost, on bool)) {
	sim.after(2*time.Second, func() {
		for _, hos := range hosts {
			set(hos, true)
		}
	})
	sim.after(10*time.Second, func() {
		for _, hos := range hosts {
			set(hos, false)
		}
	})
}

// some returns a share of the hosts.
func (sim *fleetSim) some(share float64) []*simHost {
	var found []*simHost
	for _, idx := range sim.rng.Perm(len(sim.hosts))[:int(share*float64(len(sim.hosts)))] {
		found = append(found, sim.hosts[idx])
	}
	return found
}

// first returns the first hosts of each failure domain.
func (sim *fleetSim) first(count int) []*simHost {
	var found []*simHost
	seen := make(map[string]int)
	for _, hos := range sim.hosts {
		if seen[hos.member.Domain] < count {
			seen[hos.member.Domain]++
			found = append(found, hos)
		}
	}
	return found
}

// playChanges plays a fleet for twelve seconds in which configurations follow one another quickly, and returns
// the greatest age of a copy and the longest time from a change to its effect.
func playChanges(cfg simConfig, trouble func(sim *fleetSim)) (age, lag time.Duration, calls int) {
	sim := newFleetSim(cfg)
	for at := time.Second; at < 9*time.Second; at += changeInterval {
		sim.after(at, sim.configure)
	}
	trouble(sim)
	sim.run(12 * time.Second)
	for _, hos := range sim.hosts {
		age = max(age, hos.oldest)
		lag = max(lag, hos.longest)
	}
	for _, num := range sim.storeCalls {
		calls = max(calls, num)
	}
	return age, lag, calls
}

// changeInterval is the time between two configurations.
const changeInterval = 330 * time.Millisecond

// seedsOf returns how many seeds are played with a fleet.
func seedsOf(domains [][2]int) uint64 {
	hosts := 0
	for _, counts := range domains {
		hosts += counts[0] + counts[1]
	}
	if hosts > 100 {
		return 1
	}
	return 4
}

// storeReads is the number of reading calls a second that the store of the largest fleet bears.
const storeReads = 16_000

// Guards against CONFIG: the copy at any host gets older than it may be used, through quick changes, whoever
// passes it on, is rejected by the store, cut off, lost or slow.
func TestCopiesStayCurrentInAnyFleet(t *testing.T) {
	for size, domains := range fleets {
		for name, trouble := range troubles {
			t.Run(size+"/"+name, func(t *testing.T) {
				t.Parallel()
				for seed := range seedsOf(domains) {
					age, lag, calls := playChanges(simConfig{domains: domains, seed: seed}, trouble)
					t.Logf("seed %d: greatest age %s, longest time to an effect %s, %d calls to the store in a second", seed, age, lag, calls)
					assert.Check(t, age < usedAge && lag < usedAge, "age %s, %s to an effect", age, lag)
					assert.Check(t, calls < storeReads, "%d calls", calls)
				}
			})
		}
	}
}

// BenchmarkPassingOn compares ways to pass the store on, with the same seeds: through one host of each failure domain
// or through a tree, and with answers that are packed for each reader or once.
func BenchmarkPassingOn(b *testing.B) {
	for _, tst := range []struct {
		name     string
		fanOut   int
		packEach bool
	}{{"one/each", 1000, true}, {"one/once", 1000, false}, {"tree/each", defaultFanOut, true}, {"tree/once", defaultFanOut, false}} {
		for _, size := range []string{"60 hosts", "985 hosts", "1000 small"} {
			for name, trouble := range troubles {
				b.Run(tst.name+"/"+size+"/"+name, func(b *testing.B) {
					var age, lag time.Duration
					for b.Loop() {
						age, lag, _ = playChanges(simConfig{domains: fleets[size], seed: 1, fanOut: tst.fanOut, packEach: tst.packEach}, trouble)
					}
					b.ReportMetric(age.Seconds(), "age-s")
					b.ReportMetric(lag.Seconds(), "effect-s")
				})
			}
		}
	}
}

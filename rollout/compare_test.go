package rollout_test

import (
	"testing"
	"time"

	"lynxwell.dev/lynxwell/rollout"
)

// BenchmarkPolicies compares two policies of distributing canary requests, over few engines or
// all, and two tests, sequential and fixed, on the same seeds. Its metrics are the averages per
// run of the seconds until the end, the requests sent to the new version, the harmed clients
// (those with a failed request that can't be repeated) and the answers affected by the fault, and
// the percentage of runs with the wrong result.
func BenchmarkPolicies(b *testing.B) {
	const runs = 100
	for _, policy := range []struct {
		name   string
		change func(*simulation)
	}{
		{"few-engines/sequential", func(*simulation) {}},
		{"few-engines/fixed", func(sim *simulation) { sim.rol.UseFixedTest() }},
		{"all-engines/sequential", func(sim *simulation) { sim.loadedShare = 0 }},
	} {
		for _, size := range []struct {
			name string
			rate float64
		}{{"4", 28}, {"60", 426}, {"650", 4600}} {
			for _, tst := range []struct {
				name    string
				fault   fault
				healthy bool
			}{
				{"healthy", fault{}, true},
				{"fails", fault{share: 0.4}, false},
				{"slow", fault{share: 0.4, slow: true}, false},
				{"late", fault{share: 0.4, from: 5 * time.Second}, false},
				{"route", fault{share: 0.4, route: "unsafe"}, false},
				{"loaded", fault{share: 0.4, loaded: true}, false},
			} {
				b.Run(policy.name+"/"+size.name+"/"+tst.name, func(b *testing.B) {
					var finishedAfter time.Duration
					var exposed, harmed, bad, wrong int
					for b.Loop() {
						finishedAfter, exposed, harmed, bad, wrong = 0, 0, 0, 0, 0
						for seed := range uint64(runs) {
							sim := newSimulation(seed)
							sim.rate, sim.badRate, sim.fault = size.rate, 0.03, tst.fault
							policy.change(sim)
							sim.run(period)
							finishedAfter += sim.finishedAfter
							exposed += sim.exposed
							harmed += sim.harmed
							bad += sim.badAnswers
							if (sim.store.stored.State == rollout.StateCompleted) != tst.healthy {
								wrong++
							}
						}
					}
					b.ReportMetric(finishedAfter.Seconds()/runs, "s-to-end")
					b.ReportMetric(float64(exposed)/runs, "given")
					b.ReportMetric(float64(harmed)/runs, "harmed")
					b.ReportMetric(float64(bad)/runs, "bad")
					b.ReportMetric(100*float64(wrong)/runs, "wrong-in-100")
				})
			}
		}
	}
}

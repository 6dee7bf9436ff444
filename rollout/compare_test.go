package rollout_test

import (
	"testing"
	"time"

	"lynxwell.dev/lynxwell/rollout"
)

// BenchmarkWays compares two ways to spread the trials and two tests, on the same seeds:
// seconds to the end, requests given to the version, callers harmed (whose request failed
// and can't be sent again), bad answers, and ends that are wrong, in a hundred.
func BenchmarkWays(b *testing.B) {
	const plays = 100
	for _, way := range []struct {
		name   string
		change func(*play)
	}{
		{"few-engines/sequential", func(*play) {}},
		{"few-engines/fixed", func(pla *play) { pla.rol.UseFixedTest() }},
		{"all-engines/sequential", func(pla *play) { pla.load = 0 }},
	} {
		for _, size := range []struct {
			name string
			rate float64
		}{{"4", 28}, {"60", 426}, {"650", 4600}} {
			for _, kind := range []struct {
				name string
				bad  badness
				good bool
			}{
				{"good", badness{}, true},
				{"fails", badness{part: 0.4}, false},
				{"slow", badness{part: 0.4, slow: true}, false},
				{"late", badness{part: 0.4, from: 5 * time.Second}, false},
				{"route", badness{part: 0.4, route: "unsafe"}, false},
				{"loaded", badness{part: 0.4, loaded: true}, false},
			} {
				b.Run(way.name+"/"+size.name+"/"+kind.name, func(b *testing.B) {
					var ended time.Duration
					var exposed, harmed, bad, wrong int
					for b.Loop() {
						ended, exposed, harmed, bad, wrong = 0, 0, 0, 0, 0
						for seed := range uint64(plays) {
							pla := newPlay(seed)
							pla.rate, pla.usual, pla.bad = size.rate, 0.03, kind.bad
							way.change(pla)
							pla.run(period)
							ended += pla.ended
							exposed += pla.exposed
							harmed += pla.harmed
							bad += pla.badAnswers
							if (pla.keeper.standing.State == rollout.StateCompleted) != kind.good {
								wrong++
							}
						}
					}
					b.ReportMetric(ended.Seconds()/plays, "s-to-end")
					b.ReportMetric(float64(exposed)/plays, "given")
					b.ReportMetric(float64(harmed)/plays, "harmed")
					b.ReportMetric(float64(bad)/plays, "bad")
					b.ReportMetric(100*float64(wrong)/plays, "wrong-in-100")
				})
			}
		}
	}
}

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"lynxwell.dev/lynxwell/quarantine"
)

// The ways of judging that were weighed: as it was before, three ends whatever ran beside,
// two ends, and a suspected request alone.
var crashWays = []struct {
	name   string
	policy quarantine.Config
}{
	{"never", quarantine.Config{SuspectAt: 1000, HoldAt: 1000, HoldAloneAt: 1000}},
	{"three-ends", quarantine.Config{SuspectAt: 1000, HoldAt: 3, HoldAloneAt: 1000}},
	{"two-ends", quarantine.Config{SuspectAt: 1000, HoldAt: 2, HoldAloneAt: 1000}},
	{"alone-from-first", quarantine.Config{SuspectAt: 1, HoldAt: 3, HoldAloneAt: 2}},
	{"alone-from-second", quarantine.Config{}},
}

// BenchmarkWaysOfJudging prints what each way costs: engines ended by culprits, other
// requests lost and held in 10,000, and when the last engine was ended.
func BenchmarkWaysOfJudging(b *testing.B) {
	for _, size := range []int{4, 18, 60, 650} {
		for _, kind := range []struct {
			name     string
			culprits int
			varied   bool
			chance   float64
		}{
			{"calm", 0, false, 0},
			{"chance", 0, false, 1.0 / 60},
			{"storm", 0, false, 1.0 / 10},
			{"one", 1, false, 0},
			{"one-chance", 1, false, 1.0 / 60},
			{"five", 5, false, 0},
			{"varied", 1, true, 0},
		} {
			for _, way := range crashWays {
				b.Run(fmt.Sprintf("%d/%s/%s", size, kind.name, way.name), func(b *testing.B) {
					seeds := uint64(max(1, 40/size))
					var sum crashResult
					for b.Loop() {
						sum = crashResult{}
						for seed := range seeds {
							res := newCrashPlay(crashPlayConfig{
								seed: seed, engines: size, culprits: kind.culprits, varied: kind.varied, chance: kind.chance, policy: way.policy, length: 40 * time.Second,
							}).run()
							sum.ended += res.ended
							sum.sent += res.sent
							sum.served += res.served
							sum.lost += res.lost
							sum.held += res.held
							sum.last += res.last
						}
					}
					b.ReportMetric(float64(sum.ended)/float64(seeds), "ended")
					b.ReportMetric(10000*float64(sum.lost)/float64(sum.sent), "lost")
					b.ReportMetric(10000*float64(sum.held)/float64(sum.sent), "held")
					b.ReportMetric(100*float64(sum.served)/float64(sum.sent), "served%")
					b.ReportMetric(sum.last.Seconds()/float64(seeds), "s-last")
				})
			}
		}
	}
}

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The hosts never send an engine in total more than its allowance within a window, for any
// partition of the hosts and any coordinators.
func TestRateLimitHoldsForAnyPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := rateSimConfig{
			seed: rapid.Uint64().Draw(rt, "seed"), policy: rateByGrant, engines: rapid.IntRange(1, 6).Draw(rt, "engines"), hosts: rapid.IntRange(1, 12).Draw(rt, "hosts"),
			load: rapid.Float64Range(5, 150).Draw(rt, "load"), duration: 15 * time.Second,
		}
		for range rapid.IntRange(1, cfg.engines).Draw(rt, "limited") {
			cfg.rates = append(cfg.rates, rapid.Float64Range(0, 12).Draw(rt, "rate"))
		}
		for range rapid.IntRange(0, 4).Draw(rt, "changes") {
			cfg.partitions = append(cfg.partitions, ratePartition{
				at: time.Duration(rapid.IntRange(1000, 14000).Draw(rt, "at")) * time.Millisecond, groups: rapid.IntRange(1, min(4, cfg.hosts)).Draw(rt, "groups"),
			})
		}
		if res := newRateSim(cfg).run(); res.peakUse > 1 {
			rt.Fatalf("%+v", res)
		}
	})
}

// While requests wait, an engine gets at least 80% of the requests that its rate limit allows.
func TestRateLimitIsUsedWhileRequestsWait(t *testing.T) {
	for seed := range uint64(3) {
		for _, hosts := range []int{1, 7, 40} {
			res := newRateSim(rateSimConfig{
				seed: seed, policy: rateByGrant, engines: 4, hosts: hosts, rates: []float64{10, 4, 1.5, 0.5}, load: 150, favoredShare: 0.5, duration: 30 * time.Second,
			}).run()
			assert.Assert(t, res.peakUse <= 1 && res.minUse >= 0.8, "%+v", res)
		}
	}
}

// Soon after the rate limits end, including limits of zero, no request is refused any more.
func TestServiceRecoversAfterRateLimitsEnd(t *testing.T) {
	for seed := range uint64(5) {
		for _, hosts := range []int{1, 7, 40} {
			res := newRateSim(rateSimConfig{
				seed: seed, policy: rateByGrant, engines: 4, hosts: hosts, rates: []float64{0, 0, 0.5, 1.5}, load: 120, duration: 20 * time.Second, limitsEndAt: 10 * time.Second,
			}).run()
			assert.Assert(t, res.refused > 0 && res.refusedLate == 0, "%+v", res)
		}
	}
}

// BenchmarkRateLimitPolicies reports for each policy the peak use of an engine's allowance within a
// window, the smallest share of its rate limit that an engine got, the share of requests refused,
// and the mean wait of the requests served.
func BenchmarkRateLimitPolicies(b *testing.B) {
	policies := map[ratePolicy]string{rateIgnored: "ignored", rateByShare: "share", rateByLease: "lease", rateByGrant: "grant"}
	for _, size := range []struct{ engines, hosts int }{{4, 4}, {18, 7}, {140, 300}} {
		for _, kind := range []struct {
			name         string
			limited      float64
			load         float64
			favoredShare float64
			partitions   []ratePartition
		}{
			{"third-limited", 0.3, 0.5, 0, nil},
			{"all-limited", 1, 1, 0, nil},
			{"all-limited-favored-host", 1, 1, 0.7, nil},
			{"all-limited-coordinator-changes", 1, 1, 0, []ratePartition{{8 * time.Second, 1}, {9 * time.Second, 1}, {10 * time.Second, 1}, {16 * time.Second, 1}}},
			{"all-limited-partitions", 1, 1, 0, []ratePartition{{8 * time.Second, 3}, {14 * time.Second, 1}, {20 * time.Second, 2}, {24 * time.Second, 1}}},
		} {
			for policy, name := range policies {
				b.Run(fmt.Sprintf("%d/%s/%s", size.engines, kind.name, name), func(b *testing.B) {
					sum := sumRateSims(b, policy, size.engines, size.hosts, kind.limited, kind.load, kind.favoredShare, kind.partitions)
					b.ReportMetric(sum.peakUse, "peak-use")
					b.ReportMetric(sum.minUse, "min-use")
					b.ReportMetric(100*float64(sum.refused)/float64(sum.sent), "refused%")
					b.ReportMetric(1000*sum.waited.Seconds()/float64(max(1, sum.served)), "ms-waited")
				})
			}
		}
	}
}

func sumRateSims(b *testing.B, policy ratePolicy, engines, hosts int, limited, load, favoredShare float64, partitions []ratePartition) rateResult {
	b.Helper()
	sum := rateResult{minUse: 1}
	for b.Loop() {
		for seed := range uint64(3) {
			cfg := rateSimConfig{seed: seed, policy: policy, engines: engines, hosts: hosts, favoredShare: favoredShare, partitions: partitions, duration: 30 * time.Second}
			total := load * float64(engines) * 6 / rateServiceTime.Seconds() / 6
			for num := range max(1, int(limited*float64(engines))) {
				cfg.rates = append(cfg.rates, []float64{10, 4, 1.5, 0.5}[num%4])
			}
			if limited == 1 {
				// Twice what the limits of all engines allow.
				total = 2 * 4 * float64(engines)
			}
			cfg.load = total
			res := newRateSim(cfg).run()
			sum.sent += res.sent
			sum.served += res.served
			sum.refused += res.refused
			sum.waited += res.waited
			sum.peakUse = max(sum.peakUse, res.peakUse)
			sum.minUse = min(sum.minUse, res.minUse)
		}
	}
	return sum
}

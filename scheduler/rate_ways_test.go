package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Over all hosts together, however they are divided and whoever decides, an engine gets in no
// window more than the users allow.
func TestEngineGetsNoMoreThanItsRateHoweverHostsAreDivided(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := ratePlayConfig{
			seed: rapid.Uint64().Draw(rt, "seed"), way: rateByGrant, engines: rapid.IntRange(1, 6).Draw(rt, "engines"), hosts: rapid.IntRange(1, 12).Draw(rt, "hosts"),
			load: rapid.Float64Range(5, 150).Draw(rt, "load"), length: 15 * time.Second,
		}
		for range rapid.IntRange(1, cfg.engines).Draw(rt, "limited") {
			cfg.rates = append(cfg.rates, rapid.Float64Range(0, 12).Draw(rt, "rate"))
		}
		for range rapid.IntRange(0, 4).Draw(rt, "changes") {
			cfg.changes = append(cfg.changes, rateChange{
				at: time.Duration(rapid.IntRange(1000, 14000).Draw(rt, "at")) * time.Millisecond, groups: rapid.IntRange(1, min(4, cfg.hosts)).Draw(rt, "groups"),
			})
		}
		if res := newRatePlay(cfg).run(); res.worst > 1 {
			rt.Fatalf("%+v", res)
		}
	})
}

// While somebody waits an engine gets what it takes, and its callers are served.
func TestRateIsUsedWhileSomebodyWaits(t *testing.T) {
	for seed := range uint64(3) {
		for _, hosts := range []int{1, 7, 40} {
			res := newRatePlay(ratePlayConfig{
				seed: seed, way: rateByGrant, engines: 4, hosts: hosts, rates: []float64{10, 4, 1.5, 0.5}, load: 150, favored: 0.5, length: 30 * time.Second,
			}).run()
			assert.Assert(t, res.worst <= 1 && res.used >= 0.8, "%+v", res)
		}
	}
}

// When rates end, also rates of nothing, callers are served in full soon after.
func TestFullServiceIsBackSoonAfterRatesEnd(t *testing.T) {
	for seed := range uint64(5) {
		for _, hosts := range []int{1, 7, 40} {
			res := newRatePlay(ratePlayConfig{
				seed: seed, way: rateByGrant, engines: 4, hosts: hosts, rates: []float64{0, 0, 0.5, 1.5}, load: 120, length: 20 * time.Second, endsAt: 10 * time.Second,
			}).run()
			assert.Assert(t, res.refused > 0 && res.refusedLater == 0, "%+v", res)
		}
	}
}

// BenchmarkWaysOfPacing prints what each way gives: the largest part of what the users allow
// that an engine got in some window, the least part of its rate that an engine got, the
// requests refused, and what those waited who were served.
func BenchmarkWaysOfPacing(b *testing.B) {
	ways := map[rateWay]string{rateIgnored: "ignored", rateByParts: "parts", rateByLease: "lease", rateByGrant: "grant"}
	for _, size := range []struct{ engines, hosts int }{{4, 4}, {18, 7}, {140, 300}} {
		for _, kind := range []struct {
			name    string
			limited float64
			load    float64
			favored float64
			changes []rateChange
		}{
			{"third", 0.3, 0.5, 0, nil},
			{"all", 1, 1, 0, nil},
			{"all-favored", 1, 1, 0.7, nil},
			{"all-lost", 1, 1, 0, []rateChange{{8 * time.Second, 1}, {9 * time.Second, 1}, {10 * time.Second, 1}, {16 * time.Second, 1}}},
			{"all-divided", 1, 1, 0, []rateChange{{8 * time.Second, 3}, {14 * time.Second, 1}, {20 * time.Second, 2}, {24 * time.Second, 1}}},
		} {
			for way, name := range ways {
				b.Run(fmt.Sprintf("%d/%s/%s", size.engines, kind.name, name), func(b *testing.B) {
					sum := sumOfRatePlays(b, way, size.engines, size.hosts, kind.limited, kind.load, kind.favored, kind.changes)
					b.ReportMetric(sum.worst, "worst")
					b.ReportMetric(sum.used, "used")
					b.ReportMetric(100*float64(sum.refused)/float64(sum.sent), "refused%")
					b.ReportMetric(1000*sum.waited.Seconds()/float64(max(1, sum.served)), "ms-waited")
				})
			}
		}
	}
}

func sumOfRatePlays(b *testing.B, way rateWay, engines, hosts int, limited, load, favored float64, changes []rateChange) rateResult {
	b.Helper()
	sum := rateResult{used: 1}
	for b.Loop() {
		for seed := range uint64(3) {
			cfg := ratePlayConfig{seed: seed, way: way, engines: engines, hosts: hosts, favored: favored, changes: changes, length: 30 * time.Second}
			usual := load * float64(engines) * 6 / rateWork.Seconds() / 6
			for num := range max(1, int(limited*float64(engines))) {
				cfg.rates = append(cfg.rates, []float64{10, 4, 1.5, 0.5}[num%4])
			}
			if limited == 1 {
				// Twice what they all take.
				usual = 2 * 4 * float64(engines)
			}
			cfg.load = usual
			res := newRatePlay(cfg).run()
			sum.sent += res.sent
			sum.served += res.served
			sum.refused += res.refused
			sum.waited += res.waited
			sum.worst = max(sum.worst, res.worst)
			sum.used = min(sum.used, res.used)
		}
	}
	return sum
}

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
)

// rateSim also simulates engines that become cold. Each host, including a coordinator, reads from
// the store after a random delay that an engine is cold.

const (
	simColdPeriod = 3 * time.Second
	// coldReadDelay is the longest delay until a host reads that an engine is cold.
	coldReadDelay = time.Second
	// A cold engine may get in each coldWindow at most coldFactor times its cold rate plus coldSlack
	// requests.
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
	// coldGrantTTL is how long a host may use a grant of a cold engine.
	coldGrantTTL = 250 * time.Millisecond
)

func tableWithColdRate(perSecond float64) *route.Table {
	tab, err := route.NewTable(route.Configuration{Version: 1, Services: []route.Service{{Name: "plain", ColdFor: simColdPeriod, ColdRate: perSecond}}})
	if err != nil {
		panic(err)
	}
	return tab
}

// markCold marks an engine cold; each host reads this after a random delay.
func (sim *rateSim) markCold(eng *rateEngine) {
	eng.coldUntil = sim.now.Add(simColdPeriod)
	eng.ColdUntil = eng.coldUntil
	for _, hos := range sim.hosts {
		sim.schedule(time.Duration(sim.random.Float64()*float64(coldReadDelay)), func() { sim.readCold(hos, eng) })
	}
}

// readCold has a host read that an engine is cold.
func (sim *rateSim) readCold(hos *rateHost, eng *rateEngine) {
	hos.cold[eng.ID.Name] = eng.coldUntil
	if sim.cfg.policy != rateByGrant {
		// Only with rateByGrant do the coordinators limit the grants of cold engines.
		return
	}
	var all []fleet.Engine
	for _, other := range sim.engines {
		entry := other.Engine
		entry.ColdUntil = hos.cold[entry.ID.Name]
		all = append(all, entry)
	}
	sim.apply(hos, hos.har.core.Handle(sim.now, scheduler.EnginesChanged{Engines: all}))
}

// checkColdRate compares the requests that reached a cold engine with its cold rate.
func (sim *rateSim) checkColdRate(eng *rateEngine) {
	allowed := coldFactor*sim.cfg.coldRate + coldSlack
	first := 0
	for last, at := range eng.coldArrivals {
		for at.Sub(eng.coldArrivals[first]) >= coldWindow {
			first++
		}
		sim.result.coldPeakUse = max(sim.result.coldPeakUse, float64(last-first+1)/allowed)
	}
}

// maySendCold reports whether a host may send a request to an engine that it knows to be cold.
func (sim *rateSim) maySendCold(hos *rateHost, eng *rateEngine, gra reservation.Grant, granted time.Time) bool {
	left := hos.cold[eng.ID.Name].Sub(sim.now)
	switch {
	case left <= 0 || sim.cfg.policy == rateIgnored:
		return true
	case sim.cfg.policy != rateByGrant:
		return sim.shareOf(hos, eng).take(sim.now, sim.cfg.coldRate)
	case gra.Cold && sim.now.Sub(granted) < coldGrantTTL:
		return true
	}
	sim.reportNotice(hos, fleet.Notice{Run: eng.ID, Signal: fleet.Cold{Remaining: left}})
	return false
}

// BenchmarkColdEnginePolicies reports the result of each policy while all engines of a service, or
// a quarter of them, are cold: the peak use of a cold engine's allowance within a second (1 is all
// of it), the share of requests refused, and the mean wait of the requests served.
func BenchmarkColdEnginePolicies(b *testing.B) {
	policies := map[ratePolicy]string{rateIgnored: "ignored", rateByShare: "share", rateByGrant: "grant"}
	for _, size := range []struct{ engines, hosts int }{{4, 4}, {20, 7}, {140, 85}} {
		for _, fraction := range []int{1, 4} {
			for policy, name := range policies {
				b.Run(fmt.Sprintf("%d/one-in-%d/%s", size.engines, fraction, name), func(b *testing.B) {
					var sum rateResult
					for b.Loop() {
						for seed := range uint64(3) {
							cfg := rateSimConfig{seed: seed, policy: policy, engines: size.engines, hosts: size.hosts, load: 25 * float64(size.engines), duration: 8 * time.Second, coldRate: 8.7}
							for range size.engines / fraction {
								cfg.cold = append(cfg.cold, 2*time.Second)
							}
							res := newRateSim(cfg).run()
							sum.coldPeakUse = max(sum.coldPeakUse, res.coldPeakUse)
							sum.sent += res.sent
							sum.served += res.served
							sum.refused += res.refused
							sum.waited += res.waited
						}
					}
					b.ReportMetric(sum.coldPeakUse, "peak-use")
					b.ReportMetric(100*float64(sum.refused)/float64(sum.sent), "refused%")
					b.ReportMetric(1000*sum.waited.Seconds()/float64(max(1, sum.served)), "ms-waited")
				})
			}
		}
	}
}

// The hosts that know an engine to be cold never send it in total more than its cold allowance
// within a second, for any partition of the hosts and any coordinators, also when many engines
// become cold at once and when engines send rate limits too.
func TestColdRateHoldsForAnyPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := rateSimConfig{
			seed: rapid.Uint64().Draw(rt, "seed"), policy: rateByGrant, engines: rapid.IntRange(1, 6).Draw(rt, "engines"), hosts: rapid.IntRange(1, 12).Draw(rt, "hosts"),
			load: rapid.Float64Range(20, 400).Draw(rt, "load"), duration: 12 * time.Second, coldRate: rapid.Float64Range(0.5, 15).Draw(rt, "cold rate"),
		}
		together := time.Duration(rapid.IntRange(1000, 5000).Draw(rt, "together")) * time.Millisecond
		for range rapid.IntRange(1, cfg.engines).Draw(rt, "cold") {
			at := together
			if rapid.Bool().Draw(rt, "at its own time") {
				at = time.Duration(rapid.IntRange(1000, 8000).Draw(rt, "cold at")) * time.Millisecond
			}
			cfg.cold = append(cfg.cold, at)
		}
		for range rapid.IntRange(0, cfg.engines).Draw(rt, "limited") {
			cfg.rates = append(cfg.rates, rapid.Float64Range(0, 12).Draw(rt, "rate"))
		}
		for range rapid.IntRange(0, 4).Draw(rt, "changes") {
			cfg.partitions = append(cfg.partitions, ratePartition{
				at: time.Duration(rapid.IntRange(1000, 11000).Draw(rt, "at")) * time.Millisecond, groups: rapid.IntRange(1, min(4, cfg.hosts)).Draw(rt, "groups"),
			})
		}
		if res := newRateSim(cfg).run(); res.coldPeakUse > 1 || res.peakUse > 1 {
			rt.Fatalf("%+v", res)
		}
	})
}

// A service whose engines all become cold at once serves requests at the cold rate meanwhile, and
// refuses no request soon after.
func TestServiceRecoversAfterAllEnginesWereCold(t *testing.T) {
	for seed := range uint64(3) {
		for _, hosts := range []int{1, 7, 40} {
			res := newRateSim(rateSimConfig{
				seed: seed, policy: rateByGrant, engines: 4, hosts: hosts, load: 120, duration: 12 * time.Second, coldRate: 8,
				cold: []time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second}, limitsEndAt: 2*time.Second + simColdPeriod - rateRecovery + 200*time.Millisecond,
			}).run()
			assert.Assert(t, res.coldPeakUse <= 1 && res.coldPeakUse > 0.2, "%+v", res)
			assert.Equal(t, res.refusedLate, 0, "%+v", res)
		}
	}
}

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

// Engines of a ratePlay that go cold: hosts read so in the store at different times, and those
// who decide among them.

const (
	coldLength = 3 * time.Second
	coldKnown  = time.Second
	coldWindow = time.Second
	coldOver   = 1.5
	coldSlack  = 5
	// coldHolds is for how long a host uses a grant of a cold engine.
	coldHolds = 250 * time.Millisecond
)

func coldTable(perSecond float64) *route.Table {
	tab, err := route.NewTable(route.Configuration{Version: 1, Services: []route.Service{{Name: "plain", ColdFor: coldLength, ColdRate: perSecond}}})
	if err != nil {
		panic(err)
	}
	return tab
}

// chill has an engine go cold.
func (pla *ratePlay) chill(eng *rateEngine) {
	eng.coldUntil = pla.now.Add(coldLength)
	eng.ColdUntil = eng.coldUntil
	for _, hos := range pla.hosts {
		pla.in(time.Duration(pla.random.Float64()*float64(coldKnown)), func() { pla.know(hos, eng) })
	}
}

// know has a host read that an engine is cold.
func (pla *ratePlay) know(hos *rateHost, eng *rateEngine) {
	hos.cold[eng.ID.Name] = eng.coldUntil
	if pla.cfg.way != rateByGrant {
		// Those who decide make nothing of it.
		return
	}
	var all []fleet.Engine
	for _, other := range pla.engines {
		one := other.Engine
		one.ColdUntil = hos.cold[one.ID.Name]
		all = append(all, one)
	}
	pla.take(hos, hos.des.core.Handle(pla.now, scheduler.EnginesChanged{Engines: all}))
}

// judgeCold holds what reached an engine while it was cold against what it bears.
func (pla *ratePlay) judgeCold(eng *rateEngine) {
	allowed := coldOver*pla.cfg.coldRate + coldSlack
	first := 0
	for last, at := range eng.coldArrivals {
		for at.Sub(eng.coldArrivals[first]) >= coldWindow {
			first++
		}
		pla.result.coldWorst = max(pla.result.coldWorst, float64(last-first+1)/allowed)
	}
}

// mayWarm reports whether a host sends a request to an engine that it knows to be cold.
func (pla *ratePlay) mayWarm(hos *rateHost, eng *rateEngine, gra reservation.Grant, granted time.Time) bool {
	left := hos.cold[eng.ID.Name].Sub(pla.now)
	switch {
	case left <= 0 || pla.cfg.way == rateIgnored:
		return true
	case pla.cfg.way != rateByGrant:
		return pla.part(hos, eng).take(pla.now, pla.cfg.coldRate)
	case gra.Cold && pla.now.Sub(granted) < coldHolds:
		return true
	}
	pla.tell(hos, fleet.Notice{Run: eng.ID, Word: fleet.Cold{Left: left}})
	return false
}

// BenchmarkWaysOfWarming prints what each way gives while all engines of a service are cold, or
// a quarter of them: the largest part of what a cold engine bears that it got in a second, the
// requests refused, and what those waited who were served.
func BenchmarkWaysOfWarming(b *testing.B) {
	ways := map[rateWay]string{rateIgnored: "ignored", rateByParts: "parts", rateByGrant: "grant"}
	for _, size := range []struct{ engines, hosts int }{{4, 4}, {20, 7}, {140, 85}} {
		for _, part := range []int{1, 4} {
			for way, name := range ways {
				b.Run(fmt.Sprintf("%d/one-in-%d/%s", size.engines, part, name), func(b *testing.B) {
					var sum rateResult
					for b.Loop() {
						for seed := range uint64(3) {
							cfg := ratePlayConfig{seed: seed, way: way, engines: size.engines, hosts: size.hosts, load: 25 * float64(size.engines), length: 8 * time.Second, coldRate: 8.7}
							for range size.engines / part {
								cfg.cold = append(cfg.cold, 2*time.Second)
							}
							res := newRatePlay(cfg).run()
							sum.coldWorst = max(sum.coldWorst, res.coldWorst)
							sum.sent += res.sent
							sum.served += res.served
							sum.refused += res.refused
							sum.waited += res.waited
						}
					}
					b.ReportMetric(sum.coldWorst, "worst")
					b.ReportMetric(100*float64(sum.refused)/float64(sum.sent), "refused%")
					b.ReportMetric(1000*sum.waited.Seconds()/float64(max(1, sum.served)), "ms-waited")
				})
			}
		}
	}
}

// Over all hosts together that know, however they are divided and whoever decides, also engines
// that name rates beside and a herd of engines that go cold at once, a cold engine gets in no
// second more than it bears.
func TestColdEngineGetsNoMoreThanItBearsHoweverHostsAreDivided(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := ratePlayConfig{
			seed: rapid.Uint64().Draw(rt, "seed"), way: rateByGrant, engines: rapid.IntRange(1, 6).Draw(rt, "engines"), hosts: rapid.IntRange(1, 12).Draw(rt, "hosts"),
			load: rapid.Float64Range(20, 400).Draw(rt, "load"), length: 12 * time.Second, coldRate: rapid.Float64Range(0.5, 15).Draw(rt, "cold rate"),
		}
		together := time.Duration(rapid.IntRange(1000, 5000).Draw(rt, "together")) * time.Millisecond
		for range rapid.IntRange(1, cfg.engines).Draw(rt, "cold") {
			at := together
			if rapid.Bool().Draw(rt, "by itself") {
				at = time.Duration(rapid.IntRange(1000, 8000).Draw(rt, "cold at")) * time.Millisecond
			}
			cfg.cold = append(cfg.cold, at)
		}
		for range rapid.IntRange(0, cfg.engines).Draw(rt, "limited") {
			cfg.rates = append(cfg.rates, rapid.Float64Range(0, 12).Draw(rt, "rate"))
		}
		for range rapid.IntRange(0, 4).Draw(rt, "changes") {
			cfg.changes = append(cfg.changes, rateChange{
				at: time.Duration(rapid.IntRange(1000, 11000).Draw(rt, "at")) * time.Millisecond, groups: rapid.IntRange(1, min(4, cfg.hosts)).Draw(rt, "groups"),
			})
		}
		if res := newRatePlay(cfg).run(); res.coldWorst > 1 || res.worst > 1 {
			rt.Fatalf("%+v", res)
		}
	})
}

// A service all of whose engines go cold at once serves what they bear meanwhile, and in full
// soon after.
func TestServiceOfColdEnginesIsBackSoon(t *testing.T) {
	for seed := range uint64(3) {
		for _, hosts := range []int{1, 7, 40} {
			res := newRatePlay(ratePlayConfig{
				seed: seed, way: rateByGrant, engines: 4, hosts: hosts, load: 120, length: 12 * time.Second, coldRate: 8,
				cold: []time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second}, endsAt: 2*time.Second + coldLength - rateEnded + 200*time.Millisecond,
			}).run()
			assert.Assert(t, res.coldWorst <= 1 && res.coldWorst > 0.2, "%+v", res)
			assert.Equal(t, res.refusedLater, 0, "%+v", res)
		}
	}
}

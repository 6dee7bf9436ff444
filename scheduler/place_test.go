package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

func engineIn(domain, name string) fleet.Engine {
	eng := plainEngine(name, 100)
	eng.Domain = domain
	return eng
}

// An engine whose failure domain is emptied is granted to nobody, what runs there goes on, and
// it is used again when that is taken back.
func TestEmptiedDomainIsGrantedToNobody(t *testing.T) {
	des := newDesk(engineIn("d0", "a"), engineIn("d1", "b"))
	assert.Equal(t, engineOf(des.reserve(plain("before")), "before"), "a", "its own domain")
	emptied := engineIn("d0", "a")
	emptied.Emptied = true
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{emptied, engineIn("d1", "b")}})
	assert.Equal(t, des.core.RunningIn("d0"), 1)
	for num := range 20 {
		assert.Equal(t, des.ask(fmt.Sprint("r", num)), "b")
	}
	des.release(answered("before"))
	assert.Equal(t, des.core.RunningIn("d0"), 0)
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{engineIn("d0", "a"), engineIn("d1", "b")}})
	assert.Equal(t, des.ask("again"), "a")
}

// A gateway may know of an order before this core does: it gets nothing there, and others do.
func TestGatewayThatKeepsToAnOrderIsGrantedNothingThere(t *testing.T) {
	des := newDesk(engineIn("d0", "a"), engineIn("d1", "b"))
	des.handle(scheduler.DomainsClosed{Gateway: peer, Domains: []string{"d0"}})
	other := request.Epoch(77)
	for num := range 10 {
		assert.Equal(t, des.ask(fmt.Sprint("r", num)), "b")
		name := fmt.Sprint("o", num)
		assert.Equal(t, engineOf(des.reserveFrom(other, plain(name)), name), "a")
	}
	des.handle(scheduler.DomainsClosed{Gateway: peer})
	assert.Equal(t, des.ask("again"), "a")
	des.handle(scheduler.DomainsClosed{Gateway: peer, Domains: []string{"d0"}})
	des.handle(scheduler.GatewayLost{Gateway: peer})
	assert.Equal(t, des.ask("started anew"), "a")
}

// Requests of a gateway to which all places are closed wait without holding up the others'.
func TestClosedPlacesHoldUpNobodyElse(t *testing.T) {
	one := engineIn("d0", "a")
	one.Slots = 1
	des := newDesk(one)
	des.handle(scheduler.DomainsClosed{Gateway: peer, Domains: []string{"d0"}})
	assert.Equal(t, des.ask("waits"), "")
	assert.Equal(t, engineOf(des.reserveFrom(77, plain("other")), "other"), "a")
}

func regional(engines ...fleet.Engine) *desk {
	des := &desk{now: time.Unix(5000, 0), core: scheduler.New(scheduler.Config{
		Self: own, Repeats: scheduler.Repeats{Ratio: 0.2, Window: 10 * time.Second, Slack: 10}, LimitSlack: 1000,
		Regions: map[string]string{"d0": "north", "d1": "north", "d2": "south"},
	})}
	des.handle(scheduler.EnginesChanged{Engines: engines})
	return des
}

func within(name string, regions ...string) reservation.Reserve {
	res := plain(name)
	res.Regions = regions
	return res
}

func TestRequestRunsInTheRegionsThatAreAllowed(t *testing.T) {
	des := regional(engineIn("d0", "a"), engineIn("d2", "c"), engineIn("elsewhere", "e"))
	for num := range 20 {
		name := fmt.Sprint("south-", num)
		assert.Equal(t, engineOf(des.reserve(within(name, "south")), name), "c")
		name = fmt.Sprint("north-", num)
		assert.Equal(t, engineOf(des.reserve(within(name, "north", "west")), name), "a")
	}
	assert.Equal(t, reasonOf(des.reserve(within("nowhere", "west")), "nowhere"), reservation.ReasonRegion)
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{engineIn("d0", "a")}})
	assert.Equal(t, reasonOf(des.reserve(within("lost", "south")), "lost"), reservation.ReasonRegion, "the region is lost")
	assert.Equal(t, des.ask("anywhere"), "a")
}

// Requests that are bound to a region whose places are taken wait without holding up others.
func TestFullRegionHoldsUpNobodyElse(t *testing.T) {
	full := engineIn("d2", "c")
	full.Slots = 0
	des := regional(engineIn("d0", "a"), full)
	for num := range 3 {
		des.reserve(within(fmt.Sprint("runs-", num), "south"))
	}
	for num := range 10 {
		name := fmt.Sprint("free-", num)
		assert.Equal(t, engineOf(des.reserve(plain(name)), name), "a")
	}
}

// The own region goes first: the way to another one takes longer than a busier engine.
func TestOwnRegionGoesFirst(t *testing.T) {
	busy := engineIn("d1", "b")
	busy.Slots = 4
	des := regional(busy, engineIn("d2", "c"))
	for num := range 4 {
		name := fmt.Sprint("r", num)
		assert.Equal(t, engineOf(des.reserve(plain(name)), name), "b")
	}
}

// BenchmarkManyWaitingForARegion has thousands of requests that may run in one region wait for
// its engines, all of whose places are taken, and lets time pass.
func BenchmarkManyWaitingForARegion(b *testing.B) {
	for _, regions := range [][]string{nil, {"south"}} {
		b.Run(fmt.Sprint(len(regions), "named"), func(b *testing.B) {
			var engines []fleet.Engine
			for num := range 650 {
				eng := engineIn("d2", fmt.Sprintf("e%03d", num))
				eng.Slots = 0
				engines = append(engines, eng)
			}
			des := regional(engines...)
			long := func(name string) reservation.Reserve {
				res := within(name, regions...)
				res.Aim, res.Remaining = time.Hour, time.Hour
				return res
			}
			for num := range 650 * 2 {
				des.reserve(long(fmt.Sprint("run-", num)))
			}
			for num := range 4096 {
				des.reserveFrom(request.Epoch(100+num%300), long(fmt.Sprint("wait-", num)))
			}
			for b.Loop() {
				des.after(time.Microsecond)
			}
		})
	}
}

// Whatever engines there are, whichever domains are emptied, as far as this core or a gateway
// knows, and whoever asks and comes back: no request is granted an engine outside its regions
// or in a domain that is closed to it, and what could run somewhere is granted or waits.
func TestNothingIsGrantedOutsideItsPlaces(t *testing.T) {
	domains := []string{"d0", "d1", "d2", "elsewhere"}
	regions := map[string]string{"d0": "north", "d1": "north", "d2": "south"}
	rapid.Check(t, func(rt *rapid.T) {
		des := regional()
		engines := make(map[string]fleet.Engine)
		closed := make(map[request.Epoch]map[string]bool)
		for num := range rapid.IntRange(5, 80).Draw(rt, "steps") {
			gateway := request.Epoch(rapid.IntRange(100, 103).Draw(rt, "gateway"))
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				var all []fleet.Engine
				clear(engines)
				for idx := range rapid.IntRange(0, 6).Draw(rt, "engines") {
					eng := engineIn(rapid.SampledFrom(domains).Draw(rt, "domain"), fmt.Sprint("e", num, "-", idx))
					eng.Slots, eng.Emptied = rapid.IntRange(1, 3).Draw(rt, "slots"), rapid.IntRange(0, 3).Draw(rt, "emptied") == 0
					engines[eng.ID.Name] = eng
					all = append(all, eng)
				}
				des.handle(scheduler.EnginesChanged{Engines: all})
			case 1:
				named := rapid.SliceOfNDistinct(rapid.SampledFrom(domains), 0, 2, rapid.ID[string]).Draw(rt, "closed")
				closed[gateway] = make(map[string]bool)
				for _, domain := range named {
					closed[gateway][domain] = true
				}
				des.handle(scheduler.DomainsClosed{Gateway: gateway, Domains: named})
			case 2:
				delete(closed, gateway)
				des.handle(scheduler.GatewayLost{Gateway: gateway})
			default:
				res := within(fmt.Sprint("r", num), rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"north", "south", "west"}), 0, 2, rapid.ID[string]).Draw(rt, "regions")...)
				engine, _ := decisionOn(des.reserveFrom(gateway, res), res.ID.Unique)
				eng := engines[engine]
				if engine == "" {
					continue
				}
				if eng.Emptied || closed[gateway][eng.Domain] || len(res.Regions) > 0 && !slices.Contains(res.Regions, regions[eng.Domain]) {
					rt.Fatalf("%v was granted %+v, closed to it %v", res.Regions, eng, closed[gateway])
				}
			}
		}
	})
}

package scheduler_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
)

const (
	own  = request.Epoch(1)
	peer = request.Epoch(2)
)

// desk drives a core by a clock of its own.
type desk struct {
	core  *scheduler.Core
	now   time.Time
	sends []scheduler.Send
}

func newDesk(engines ...fleet.Engine) *desk {
	des := &desk{
		core: scheduler.New(scheduler.Config{Self: own, Repeats: scheduler.Repeats{Ratio: 0.2, Window: 10 * time.Second, Slack: 10}, LimitSlack: 1000}),
		now:  time.Unix(5000, 0),
	}
	des.handle(scheduler.EnginesChanged{Engines: engines})
	return des
}

func (des *desk) handle(evt scheduler.Event) []scheduler.Send {
	sends := des.core.Handle(des.now, evt)
	des.sends = append(des.sends, sends...)
	return sends
}

func (des *desk) after(wait time.Duration) []scheduler.Send {
	des.now = des.now.Add(wait)
	return des.handle(scheduler.Tick{})
}

func (des *desk) reserve(res reservation.Reserve) []scheduler.Send {
	return des.handle(scheduler.Received{From: peer, Message: res})
}

func (des *desk) release(rel reservation.Release) []scheduler.Send {
	return des.handle(scheduler.Received{From: peer, Message: rel})
}

func (des *desk) configure(accounts ...route.Account) {
	tab, err := route.NewTable(route.Configuration{Version: 1, Accounts: accounts})
	if err != nil {
		panic(err)
	}
	des.handle(scheduler.ConfigurationChanged{Table: tab})
}

func id(name string) request.ID {
	return request.ID{Prefix: request.Prefix{Epoch: peer}, Unique: name}
}

func plainEngine(name string, slots int) fleet.Engine {
	return fleet.Engine{ID: fleet.EngineID(name), Service: "plain", Slots: slots, Domain: "d0", Address: netip.MustParseAddrPort("127.0.0.1:1")}
}

func modelEngine(name string) fleet.Engine {
	return fleet.Engine{ID: fleet.EngineID(name), Service: "model", Slots: 10, Domain: "d0"}
}

func plain(name string) reservation.Reserve {
	return reservation.Reserve{ID: id(name), Service: "plain", Remaining: time.Second, Aim: 400 * time.Millisecond, Domain: "d0"}
}

func prompt(name string, tokens int) reservation.Reserve {
	return reservation.Reserve{ID: id(name), Service: "model", PromptTokens: tokens, Remaining: 10 * time.Second, Aim: time.Second, Domain: "d0"}
}

// engineOf returns the engine granted to a request; empty for none.
func engineOf(sends []scheduler.Send, name string) string {
	for _, snd := range sends {
		if gra, isGrant := snd.Message.(reservation.Grant); isGrant && gra.ID == id(name) {
			return gra.Engine
		}
	}
	return ""
}

func reasonOf(sends []scheduler.Send, name string) reservation.Reason {
	for _, snd := range sends {
		if ref, isRefusal := snd.Message.(reservation.Refuse); isRefusal && ref.ID == id(name) {
			return ref.Reason
		}
	}
	return 0
}

// fill takes all places of the plain engine.
func fill(des *desk, places int) {
	for idx := range places {
		des.reserve(plain(fmt.Sprint("fill-", idx)))
	}
}

// placesOfOne is how many requests an engine of one slot is given.
const placesOfOne = 3

func TestWaitersAreServedByRankThenUrgencyThenArrival(t *testing.T) {
	des := newDesk(plainEngine("e", 1))
	fill(des, placesOfOne)
	for _, tst := range []struct {
		name          string
		rank, urgency int
	}{{"late-low", 1, 0}, {"second", 0, 1}, {"first", 0, 0}, {"third", 0, 1}} {
		res := plain(tst.name)
		res.Rank, res.Urgency = tst.rank, tst.urgency
		assert.Equal(t, engineOf(des.reserve(res), tst.name), "")
	}
	for idx, want := range []string{"first", "second", "third", "late-low"}[:placesOfOne] {
		sends := des.release(reservation.Release{ID: id(fmt.Sprint("fill-", idx)), Dispatched: true, Total: time.Millisecond})
		assert.Equal(t, engineOf(sends, want), "e", want)
	}
}

func TestWaiterIsRefusedWithinAQuarterOfItsAim(t *testing.T) {
	des := newDesk(plainEngine("e", 1))
	fill(des, placesOfOne)
	des.reserve(plain("late"))
	assert.Equal(t, reasonOf(des.after(80*time.Millisecond), "late"), reservation.Reason(0))
	sends := des.after(20 * time.Millisecond)
	assert.Equal(t, reasonOf(sends, "late"), reservation.ReasonOverload)
	ref, isRefusal := sends[0].Message.(reservation.Refuse)
	assert.Assert(t, isRefusal && ref.RetryAfter > 0)
	assert.Assert(t, !des.core.Waiting())
}

func TestRepeatGoesBeforeFirstAttemptsOfItsOwnUrgencyOnly(t *testing.T) {
	des := newDesk(plainEngine("e", 1))
	fill(des, placesOfOne)
	for _, tst := range []struct {
		name             string
		urgency, attempt int
	}{{"first", 0, 0}, {"second", 1, 0}, {"repeat", 1, 1}} {
		res := plain(tst.name)
		res.Urgency, res.Attempt = tst.urgency, tst.attempt
		des.reserve(res)
	}
	for idx, want := range []string{"first", "repeat", "second"} {
		sends := des.release(reservation.Release{ID: id(fmt.Sprint("fill-", idx)), Dispatched: true, Total: time.Millisecond})
		assert.Equal(t, engineOf(sends, want), "e", want)
	}
}

// Callers wait a third of the time they have left at most, and must not return
// in step.
func TestRefusedCallersComeBackWithinTheirTimeAndNotInStep(t *testing.T) {
	for _, remaining := range []time.Duration{time.Second, 15 * time.Second, time.Hour} {
		des := newDesk(plainEngine("e", 1))
		fill(des, placesOfOne)
		for idx := range 20 {
			res := plain(fmt.Sprint("r", idx))
			res.Remaining = remaining
			des.reserve(res)
		}
		waits := make(map[time.Duration]bool)
		for _, snd := range des.after(time.Second) {
			ref, isRefusal := snd.Message.(reservation.Refuse)
			assert.Assert(t, isRefusal)
			assert.Assert(t, ref.RetryAfter > 0 && ref.RetryAfter < remaining/3 && ref.RetryAfter < 5*time.Second, "%s", ref.RetryAfter)
			waits[ref.RetryAfter] = true
		}
		assert.Assert(t, len(waits) > 10, "%d", len(waits))
	}
}

func TestLostGatewayGivesItsPlacesBack(t *testing.T) {
	des := newDesk(plainEngine("e", 1))
	fill(des, placesOfOne)
	res := reservation.Reserve{ID: request.ID{Prefix: request.Prefix{Epoch: own}, Unique: "own"}, Service: "plain", Remaining: time.Second, Aim: time.Second}
	des.handle(scheduler.Received{From: own, Message: res})
	sends := des.handle(scheduler.GatewayLost{Gateway: peer})
	assert.Equal(t, len(sends), 1)
	assert.Equal(t, sends[0].To, own)
}

// However events come, an engine never has more requests than its places, each
// reservation gets one decision at most, and nothing waits beyond its time.
func TestCoreKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		des := newDesk(plainEngine("a", 1), plainEngine("b", 2), modelEngine("m"))
		des.configure(route.Account{Name: "kitchen", Rate: 500, Burst: 500})
		running := make(map[string]string)
		asked := make(map[string]time.Time)
		number := 0
		note := func(sends []scheduler.Send) {
			for _, snd := range sends {
				switch msg := snd.Message.(type) {
				case reservation.Grant:
					if _, waits := asked[msg.ID.Unique]; !waits {
						rt.Fatalf("%s was decided twice", msg.ID.Unique)
					}
					delete(asked, msg.ID.Unique)
					running[msg.ID.Unique] = msg.Engine
				case reservation.Refuse:
					if _, waits := asked[msg.ID.Unique]; !waits {
						rt.Fatalf("%s was decided twice", msg.ID.Unique)
					}
					delete(asked, msg.ID.Unique)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(rt *rapid.T) {
				number++
				name := fmt.Sprint("r", number)
				res := plain(name)
				if rapid.Bool().Draw(rt, "model") {
					res = prompt(name, rapid.IntRange(1, 30_000).Draw(rt, "tokens"))
				}
				res.Rank = rapid.IntRange(0, 2).Draw(rt, "rank")
				res.Account, res.Cost = "kitchen", float64(rapid.IntRange(0, 200).Draw(rt, "cost"))
				asked[name] = des.now
				note(des.reserve(res))
			},
			"release": func(rt *rapid.T) {
				for name := range running {
					delete(running, name)
					note(des.release(reservation.Release{ID: id(name), Dispatched: true, Failed: rapid.Bool().Draw(rt, "failed"), Total: time.Millisecond}))
					return
				}
			},
			"withdraw": func(*rapid.T) {
				for name := range asked {
					delete(asked, name)
					note(des.handle(scheduler.Received{From: peer, Message: reservation.Withdraw{ID: id(name)}}))
					return
				}
			},
			"time": func(rt *rapid.T) {
				note(des.after(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond))
			},
			"": func(rt *rapid.T) {
				counts := make(map[string]int)
				for _, eng := range running {
					counts[eng]++
				}
				for eng, places := range map[string]int{"a": 3, "b": 4, "m": 12} {
					if counts[eng] > places {
						rt.Fatalf("%s has %d requests", eng, counts[eng])
					}
				}
				for name, since := range asked {
					if des.now.Sub(since) > 600*time.Millisecond {
						rt.Fatalf("%s waits since %s", name, des.now.Sub(since))
					}
				}
			},
		})
	})
}

// A caller that has waited longer than its aim can't be served in time any more: it
// yields to those of its own urgency who can, not to less urgent ones.
func TestWhoCanNotBeInTimeYieldsWithinItsUrgency(t *testing.T) {
	des := newDesk(plainEngine("e", 1))
	fill(des, placesOfOne)
	for _, tst := range []struct {
		name    string
		urgency int
		age     time.Duration
	}{{"aged", 0, time.Second}, {"less-urgent", 1, 0}, {"fresh", 0, 0}} {
		res := plain(tst.name)
		res.Urgency, res.Age = tst.urgency, tst.age
		des.reserve(res)
	}
	for idx, want := range []string{"fresh", "aged", "less-urgent"} {
		sends := des.release(reservation.Release{ID: id(fmt.Sprint("fill-", idx)), Dispatched: true, Total: time.Millisecond})
		assert.Equal(t, engineOf(sends, want), "e", want)
	}
}

// While requests are refused that could be in time, who can't be takes a free slot but
// no place beyond the slots.
func TestWhoCanNotBeInTimeWaitsAtNoEngineInOverload(t *testing.T) {
	des := newDesk(plainEngine("e", 1))
	fill(des, placesOfOne)
	des.reserve(plain("refused"))
	assert.Equal(t, reasonOf(des.after(100*time.Millisecond), "refused"), reservation.ReasonOverload)
	aged := plain("aged")
	aged.Age = time.Second
	des.reserve(aged)
	for idx := range placesOfOne {
		sends := des.release(reservation.Release{ID: id(fmt.Sprint("fill-", idx)), Dispatched: true, Total: time.Millisecond})
		want := ""
		if idx == placesOfOne-1 {
			want = "e"
		}
		assert.Equal(t, engineOf(sends, "aged"), want)
	}
}

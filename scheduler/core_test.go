package scheduler_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/pace"
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

func TestDrainingExcludedAndUnknownEnginesGetNothing(t *testing.T) {
	drains := plainEngine("a", 4)
	drains.Draining = true
	des := newDesk(drains, plainEngine("b", 4), plainEngine("c", 4))
	res := plain("r")
	res.Exclude = []string{"b"}
	assert.Equal(t, engineOf(des.reserve(res), "r"), "c")
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{drains}})
	assert.Equal(t, engineOf(des.reserve(plain("s")), "s"), "")
}

func TestPromptsGoWhereLessIsUnread(t *testing.T) {
	des := newDesk(modelEngine("a"), modelEngine("b"))
	first := engineOf(des.reserve(prompt("long", 8000)), "long")
	second := engineOf(des.reserve(prompt("short", 100)), "short")
	assert.Assert(t, first != second)
}

func TestPaceIsLearned(t *testing.T) {
	des := newDesk(modelEngine("a"), modelEngine("b"))
	for idx := range 20 {
		// Engine a takes five times as long as it should, b what it should.
		name := fmt.Sprint("r", idx)
		eng := engineOf(des.reserve(prompt(name, 2000)), name)
		took := 60 * time.Millisecond
		if eng == "a" {
			took = 220 * time.Millisecond
		}
		des.after(took)
		des.handle(scheduler.Received{From: peer, Message: reservation.Progress{ID: id(name), FirstToken: took}})
		des.release(reservation.Release{ID: id(name), Dispatched: true, FirstToken: took, Total: took, DecodeTokens: 1})
	}
	assert.Equal(t, engineOf(des.reserve(prompt("next", 2000)), "next"), "b")
}

func TestCachedPartsDrawARequest(t *testing.T) {
	des := newDesk(modelEngine("a"), modelEngine("b"))
	res := prompt("first", 4000)
	res.Parts = []call.Part{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 3900}}
	eng := engineOf(des.reserve(res), "first")
	des.after(300 * time.Millisecond)
	des.handle(scheduler.Received{From: peer, Message: reservation.Progress{ID: id("first"), FirstToken: 100 * time.Millisecond}})
	des.release(reservation.Release{ID: id("first"), Dispatched: true, Total: time.Second})
	res.ID = id("again")
	assert.Equal(t, engineOf(des.reserve(res), "again"), eng)
}

// answer has the engine answer a request that it was granted.
func (des *desk) answer(name string, first, total time.Duration, events int) {
	des.handle(scheduler.Received{From: peer, Message: reservation.Progress{ID: id(name), FirstToken: first}})
	des.release(reservation.Release{ID: id(name), Dispatched: true, FirstToken: first, DecodeTokens: events, Total: total})
}

func TestLongAnswersAvoidSlowEngines(t *testing.T) {
	far := modelEngine("quick")
	far.Domain = "d1"
	des := newDesk(modelEngine("slow"), far)
	for idx := range 60 {
		// Both read alike; the events of one take ten times as long.
		name := fmt.Sprint("r", idx)
		res := prompt(name, 10)
		res.Domain = []string{"d0", "d1"}[idx%2]
		total := 4 * time.Second
		if engineOf(des.reserve(res), name) == "quick" {
			total = 400 * time.Millisecond
		}
		des.answer(name, 20*time.Millisecond, total, 20)
	}
	short, long := prompt("short", 10), prompt("long", 10)
	short.AnswerTokens, long.AnswerTokens = 1, 60
	assert.Equal(t, engineOf(des.reserve(short), "short"), "slow")
	assert.Equal(t, engineOf(des.reserve(long), "long"), "quick")
}

// What another host recorded decides before the first answer comes.
func TestRecordedSpeedDecidesFromTheStart(t *testing.T) {
	slow, quick := modelEngine("a-slow"), modelEngine("b-quick")
	slow.Address, quick.Address = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	teacher := newDesk(slow, quick)
	for idx := range 40 {
		name := fmt.Sprint("r", idx)
		took := 60 * time.Millisecond
		if engineOf(teacher.reserve(prompt(name, 2000)), name) == "a-slow" {
			took = 300 * time.Millisecond
		}
		teacher.after(took)
		teacher.answer(name, took, took, 1)
	}
	recorded := teacher.core.Survey()
	for name, learner := range map[string]*desk{"before its engines": newDesk(), "after them": newDesk(slow, quick)} {
		t.Run(name, func(t *testing.T) {
			learner.handle(scheduler.SurveyRead{Survey: recorded})
			learner.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{slow, quick}})
			assert.Equal(t, engineOf(learner.reserve(prompt("next", 6000)), "next"), "b-quick")
		})
	}
	assert.Equal(t, engineOf(newDesk(slow, quick).reserve(prompt("next", 6000)), "next"), "a-slow", "without it the first is as good")
}

// taught returns a desk whose engines' speed is recorded: slow takes four times as
// long as quick.
func taught() *desk {
	slow, quick := modelEngine("a-slow"), modelEngine("b-quick")
	slow.Address, quick.Address = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	des := newDesk(slow, quick)
	des.handle(scheduler.SurveyRead{Survey: pace.NewSurvey(map[string]pace.ServiceSurvey{"model": {Reference: pace.Prior, Engines: []pace.Record{
		{Address: slow.Address, Profile: pace.Profile{Read: 4, Event: 4, Weight: 10}},
		{Address: quick.Address, Profile: pace.Profile{Read: 1, Event: 1, Weight: 10}},
	}}})})
	return des
}

func TestPromptThatIsLateEverywhereGoesWhereItIsSoonest(t *testing.T) {
	des := taught()
	assert.Equal(t, engineOf(des.reserve(prompt("other", 10)), "other"), "b-quick")
	// 1.2 s at the quick engine, 4.6 s at the slow one, which is idle.
	assert.Equal(t, engineOf(des.reserve(prompt("long", 54_000)), "long"), "b-quick")
	// Behind that it would take 2.3 s, which its caller may wait for, but the quick
	// engine has enough to read; the slow one answers when nobody waits any more.
	assert.Equal(t, engineOf(des.reserve(prompt("next", 54_000)), "next"), "")
	assert.Equal(t, reasonOf(des.after(300*time.Millisecond), "next"), reservation.ReasonOverload)
}

func TestPromptThatIsLateEverywhereIsServedByASlowServiceToo(t *testing.T) {
	slow := modelEngine("a-slow")
	slow.Address = netip.MustParseAddrPort("127.0.0.1:1")
	des := newDesk(slow)
	des.handle(scheduler.SurveyRead{Survey: pace.NewSurvey(map[string]pace.ServiceSurvey{"model": {Reference: pace.Prior, Engines: []pace.Record{
		{Address: slow.Address, Profile: pace.Profile{Read: 8, Event: 8, Weight: 10}},
	}}})})
	assert.Equal(t, engineOf(des.reserve(prompt("long", 54_000)), "long"), "a-slow")
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

func TestFailingEngineIsSetAsideAndTriedAgain(t *testing.T) {
	des := newDesk(plainEngine("a", 8), plainEngine("b", 8), plainEngine("c", 8))
	failures := 0
	for idx := 0; failures < 2; idx++ {
		name := fmt.Sprint("r", idx)
		eng := engineOf(des.reserve(plain(name)), name)
		if eng == "a" {
			failures++
			des.release(reservation.Release{ID: id(name), Failed: true})
		}
	}
	for idx := range 10 {
		name := fmt.Sprint("s", idx)
		assert.Assert(t, engineOf(des.reserve(plain(name)), name) != "a")
	}
	des.after(time.Second)
	trials := 0
	for idx := range 10 {
		name := fmt.Sprint("t", idx)
		if engineOf(des.reserve(plain(name)), name) == "a" {
			trials++
		}
	}
	assert.Equal(t, trials, 1, "one request finds out whether the engine is back")
}

func TestHalfOfTheEnginesAreNeverSetAside(t *testing.T) {
	des := newDesk(plainEngine("a", 8))
	for idx := range 10 {
		name := fmt.Sprint("r", idx)
		assert.Equal(t, engineOf(des.reserve(plain(name)), name), "a")
		des.release(reservation.Release{ID: id(name), Failed: true})
	}
}

func TestAccountLimit(t *testing.T) {
	des := newDesk(plainEngine("e", 1000))
	des.configure(route.Account{Name: "kitchen", Rate: 100, Burst: 1000, ByTokens: true})
	des.after(time.Minute)
	served := 0
	for idx := range 40 {
		res := plain(fmt.Sprint("r", idx))
		res.Account, res.Cost = "kitchen", 100
		if engineOf(des.reserve(res), fmt.Sprint("r", idx)) != "" {
			served++
		}
	}
	// The burst, widened by a quarter of the slack of 1000.
	assert.Equal(t, served, 13)
	res := plain("over")
	res.Account, res.Cost = "kitchen", 100
	assert.Equal(t, reasonOf(des.reserve(res), "over"), reservation.ReasonLimit)
	des.release(reservation.Release{ID: id("r0"), Dispatched: false})
	res.ID = id("given back")
	assert.Equal(t, engineOf(des.reserve(res), "given back"), "e")
}

func TestPartOfTheLimit(t *testing.T) {
	des := newDesk(plainEngine("e", 1000))
	des.handle(scheduler.ShareChanged{Parts: 3})
	des.configure(route.Account{Name: "kitchen", Rate: 90, Burst: 900, ByTokens: true})
	des.after(time.Minute)
	served := 0
	for idx := range 40 {
		name := fmt.Sprint("r", idx)
		res := plain(name)
		res.Account, res.Cost = "kitchen", 10
		if engineOf(des.reserve(res), name) != "" {
			served++
		}
	}
	// A third of the burst, widened by a quarter of the slack of 1000.
	assert.Assert(t, served >= 38 && served <= 39, "%d", served)
}

func TestLargestRequestOfALimitedAccountGetsIn(t *testing.T) {
	des := newDesk(plainEngine("e", 1000))
	des.configure(route.Account{Name: "kitchen", Rate: 100, Burst: 1000, ByTokens: true})
	des.after(time.Second)
	res := plain("large")
	res.Account, res.Cost = "kitchen", 900
	assert.Equal(t, engineOf(des.reserve(res), "large"), "e")
	res.ID = id("next")
	assert.Equal(t, reasonOf(des.reserve(res), "next"), reservation.ReasonLimit, "the debt is paid first")
}

func TestRepeatsKeepToTheirBudget(t *testing.T) {
	des := newDesk(plainEngine("e", 10000))
	repeated := 0
	for idx := range 200 {
		name := fmt.Sprint("r", idx)
		des.reserve(plain(name))
		des.release(reservation.Release{ID: id(name), Dispatched: true, Total: time.Millisecond})
		res := plain(name)
		res.Attempt = 1
		if engineOf(des.reserve(res), name) != "" {
			repeated++
			des.release(reservation.Release{ID: id(name), Dispatched: true, Total: time.Millisecond})
		}
	}
	assert.Assert(t, repeated > 20 && repeated <= 50, "%d", repeated)
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

func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{90, 650} {
		b.Run(fmt.Sprint(count, "engines"), func(b *testing.B) { benchmarkDecision(b, count) })
	}
}

func benchmarkDecision(b *testing.B, count int) {
	b.Helper()
	engines := make([]fleet.Engine, count)
	for idx := range engines {
		engines[idx] = modelEngine(fmt.Sprint("e", idx))
	}
	des := newDesk(engines...)
	b.ReportAllocs()
	for idx := 0; b.Loop(); idx++ {
		name := fmt.Sprint("r", idx)
		des.sends = nil
		des.now = des.now.Add(10 * time.Millisecond)
		des.reserve(prompt(name, 1000))
		des.release(reservation.Release{ID: id(name), Dispatched: true, FirstToken: 20 * time.Millisecond, Total: 40 * time.Millisecond, DecodeTokens: 10})
	}
}

package scheduler_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

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

// What its caller has waited before counts against a request's aim: the near engine
// is preferred as long as it is in time.
func TestAgeCountsAgainstTheAim(t *testing.T) {
	near, far := modelEngine("near"), modelEngine("far")
	far.Domain = "d1"
	near.Address, far.Address = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	des := newDesk(near, far)
	des.handle(scheduler.SurveyRead{Survey: pace.NewSurvey(map[string]pace.ServiceSurvey{"model": {Reference: pace.Prior, Engines: []pace.Record{
		{Address: near.Address, Profile: pace.Profile{Read: 4, Event: 4, Weight: 10}},
		{Address: far.Address, Profile: pace.Profile{Read: 3.6, Event: 3.6, Weight: 10}},
	}}})})
	for name, tst := range map[string]struct {
		age  time.Duration
		want string
	}{"first-try": {0, "near"}, "second-try": {110 * time.Millisecond, "far"}} {
		res := prompt(name, 1000)
		res.Aim, res.Age = 300*time.Millisecond, tst.age
		assert.Equal(t, engineOf(des.reserve(res), name), tst.want)
		des.release(reservation.Release{ID: id(name)})
	}
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

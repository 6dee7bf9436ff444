package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

func limitedTo(perSecond float64) fleet.Word {
	return fleet.RateLimit{PerSecond: perSecond}
}

// ask has a request reserve, answered at once where it is granted; it returns the engine.
func (des *desk) ask(name string) string {
	engine := engineOf(des.reserve(plain(name)), name)
	if engine != "" {
		des.release(answered(name))
	}
	return engine
}

// countOf asks so many times with a pause in between, and counts the grants of an engine,
// which names its rate in each answer. Others don't answer.
func (des *desk) countOf(engine string, perSecond float64, times int, pause time.Duration) int {
	count := 0
	for num := range times {
		sends := des.after(pause)
		sends = append(sends, des.reserve(plain(fmt.Sprint("ask-", des.now.UnixNano(), "-", num)))...)
		for _, snd := range sends {
			gra, isGrant := snd.Message.(reservation.Grant)
			if !isGrant || gra.Engine != engine {
				continue
			}
			count++
			des.says(peer, engine, limitedTo(perSecond))
			des.release(reservation.Release{ID: gra.ID, Dispatched: true, Answered: true, Total: time.Millisecond})
		}
	}
	return count
}

func TestEngineIsGrantedTheRateThatItTakes(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.5, 4, 20} {
		des := newDesk(plainEngine("a", 6), plainEngine("b", 0))
		des.says(peer, "a", limitedTo(perSecond))
		count := des.countOf("a", perSecond, 4000, 5*time.Millisecond)
		most := perSecond*20 + perSecond/2 + 1
		assert.Assert(t, float64(count) <= most && float64(count) >= 0.8*perSecond*20, "%d at %g a second", count, perSecond)
	}
}

// Nothing is saved up: neither in an hour nor while another core decides.
func TestEngineWithARateGetsNoBurst(t *testing.T) {
	des := newDesk(plainEngine("a", 100))
	des.says(peer, "a", limitedTo(4))
	des.after(time.Hour)
	assert.Equal(t, des.countOf("a", 4, 50, 0), 3)
	des.after(time.Hour)
	des.handle(scheduler.ShareChanged{Parts: 7, Hosts: 7, Elsewhere: true})
	des.after(time.Hour)
	assert.Equal(t, des.countOf("a", 4, 50, 0), 0, "another decides")
	des.handle(scheduler.ShareChanged{Parts: 1, Hosts: 7})
	assert.Equal(t, des.countOf("a", 4, 50, 0), 0, "it knows nothing of what the former granted")
	des.after(250 * time.Millisecond)
	assert.Equal(t, des.countOf("a", 4, 50, 0), 1)
	des.handle(scheduler.ShareChanged{Parts: 4, Hosts: 8})
	assert.Equal(t, des.countOf("a", 4, 41, 100*time.Millisecond), 4, "its part of two of eight hosts")
}

func TestRateEndsWithALaterAnswerWithoutIt(t *testing.T) {
	des := newDesk(plainEngine("a", 100))
	assert.Equal(t, engineOf(des.reserve(plain("before")), "before"), "a")
	des.after(time.Millisecond)
	des.says(peer, "a", limitedTo(1))
	des.handle(scheduler.Received{From: peer, Message: reservation.Adopt{ID: id("inherited"), Engine: "a", Service: "plain"}})
	des.after(time.Second)
	des.release(answered("before"))
	des.release(answered("inherited"))
	assert.Equal(t, des.ask("granted later"), "a")
	assert.Equal(t, des.ask("after its answer"), "a")
	assert.Equal(t, des.ask("once more"), "a")
}

// An answer to what was granted before the rate was named, or by another core, may be older.
func TestRateOutlastsOlderAnswers(t *testing.T) {
	des := newDesk(plainEngine("a", 100))
	assert.Equal(t, engineOf(des.reserve(plain("before")), "before"), "a")
	des.after(time.Millisecond)
	des.says(peer, "a", limitedTo(1))
	des.after(time.Millisecond)
	des.handle(scheduler.Received{From: peer, Message: reservation.Adopt{ID: id("inherited"), Engine: "a", Service: "plain"}})
	des.release(answered("before"))
	des.release(answered("inherited"))
	assert.Equal(t, des.countOf("a", 1, 9, 0), 0)
	des.says(otherPeer, "a", fleet.Unlimited{})
	assert.Equal(t, des.ask("told by a host"), "a")
}

// A grant that isn't sent costs nothing, one that is turned away does.
func TestGrantWithinARateThatIsSentBackSpendsNothing(t *testing.T) {
	des := newDesk(plainEngine("a", 100))
	des.says(peer, "a", limitedTo(1))
	des.after(time.Second)
	assert.Equal(t, engineOf(des.reserve(plain("unsent")), "unsent"), "a")
	des.release(reservation.Release{ID: id("unsent")})
	assert.Equal(t, engineOf(des.reserve(plain("sent")), "sent"), "a")
	des.release(reservation.Release{ID: id("sent"), Dispatched: true, Rejected: true, BackedOff: true})
	assert.Equal(t, engineOf(des.reserve(plain("next")), "next"), "")
	assert.Equal(t, engineOf(des.after(400*time.Millisecond), "next"), "", "it isn't set aside, and takes one a second")
}

// Only an answer tells that an engine which takes nothing takes something again.
func TestEngineWithARateOfNothingIsAskedNowAndThen(t *testing.T) {
	des := newDesk(plainEngine("a", 6), plainEngine("b", 0))
	des.says(peer, "a", limitedTo(0))
	assert.Equal(t, des.countOf("a", 0, 2010, 5*time.Millisecond), 5, "in ten seconds")
}

// Those who can't be granted anything in their time hear at once, in the order of the line,
// and come back one after another, as the engines take them.
func TestWhoCannotBeGrantedWithinRatesHearsAtOnce(t *testing.T) {
	des := newDesk(plainEngine("a", 6), plainEngine("b", 6))
	for _, name := range []string{"a", "b"} {
		des.says(peer, name, limitedTo(10))
	}
	des.after(time.Minute)
	granted, waiting := 0, 0
	var returns []time.Duration
	for num := range 40 {
		res := plain(fmt.Sprint("r", num))
		res.Remaining = 3 * time.Second
		engine, ref := decisionOn(des.reserve(res), fmt.Sprint("r", num))
		switch {
		case engine != "":
			granted++
		case ref.Reason == reservation.ReasonRate:
			returns = append(returns, ref.RetryAfter)
		default:
			waiting++
		}
	}
	// Six tokens each are saved up; of 85 ms the line gets 1.7 more.
	assert.Equal(t, granted, 12)
	assert.Equal(t, waiting, 1)
	for num := 1; num < len(returns) && returns[num] < 900*time.Millisecond; num++ {
		assert.Equal(t, returns[num]-returns[num-1], 50*time.Millisecond, "%v", returns)
	}
	urgent := plain("urgent")
	urgent.Rank = -1
	des.reserve(urgent)
	assert.Equal(t, engineOf(des.after(100*time.Millisecond), "urgent"), "a")
}

// One engine without a rate is there for all: nobody is refused for the others' rates.
func TestEngineWithoutARateTakesTheRest(t *testing.T) {
	des := newDesk(plainEngine("a", 6), plainEngine("b", 0))
	des.says(peer, "a", limitedTo(1))
	for num := range 30 {
		assert.Equal(t, des.ask(fmt.Sprint("r", num)), "b")
	}
}

// BenchmarkManyWaitingForRates has thousands of requests of 300 gateways wait for 650
// engines, some or all of which have named a rate, and lets time pass.
func BenchmarkManyWaitingForRates(b *testing.B) {
	for _, paced := range []int{0, 65, 650} {
		b.Run(fmt.Sprint(paced, "of650"), func(b *testing.B) {
			engines := make([]fleet.Engine, 650)
			for num := range engines {
				engines[num] = plainEngine(fmt.Sprintf("e%03d", num), 0)
			}
			des := newDesk(engines...)
			for num := range 650 * 2 {
				des.reserve(long(fmt.Sprint("run-", num)))
			}
			for num := range paced {
				des.says(peer, fmt.Sprintf("e%03d", num), limitedTo(0))
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

// After a pause an engine gets what its rate allows, and no more for the pause.
func TestRateHoldsAfterAPause(t *testing.T) {
	des := newDesk(plainEngine("a", 100))
	des.says(peer, "a", limitedTo(4))
	des.says(peer, "a", fleet.Pause{Left: 2 * time.Second})
	assert.Equal(t, des.countOf("a", 4, 19, 100*time.Millisecond), 0)
	des.after(time.Second)
	assert.Equal(t, des.countOf("a", 4, 50, 0), 3)
}

// The few places of an engine with a rate go to who finds its prompt in that engine's memory,
// while others are served elsewhere.
func TestPlacesWithinARateGoToWhosePromptIsThere(t *testing.T) {
	des := newDesk(modelEngine("a"), modelEngine("b"))
	part := []call.Part{{ID: 7, Tokens: 6000}}
	long := func(name string) reservation.Reserve {
		res := prompt(name, 6100)
		res.Parts = part
		return res
	}
	assert.Equal(t, engineOf(des.reserve(long("first")), "first"), "a")
	des.says(peer, "a", limitedTo(2))
	des.release(reservation.Release{ID: id("first"), Dispatched: true, Total: time.Millisecond})
	des.after(time.Second)
	there := 0
	for num := range 200 {
		des.after(50 * time.Millisecond)
		name := fmt.Sprint("r", num)
		res := prompt(name, 200)
		if num%20 == 0 {
			res = long(name)
		}
		engine := engineOf(des.reserve(res), name)
		if engine == "a" {
			there += ordinalOf(num%20 == 0)
			des.says(peer, "a", limitedTo(2))
		}
		des.release(reservation.Release{ID: id(name), Dispatched: true, Answered: true, Total: 10 * time.Millisecond})
	}
	assert.Assert(t, there >= 9, "%d of 10", there)
}

// A rate is the word of one run: the next one of the same name, or at its address, is free.
func TestRateIsOfOneRun(t *testing.T) {
	des := newDesk(plainEngine("a", 100))
	des.says(peer, "a", limitedTo(1))
	assert.Equal(t, des.countOf("a", 1, 5, 0), 0)
	later := plainEngine("a", 100)
	later.ID = fleet.NewEngineID("a", time.UnixMilli(9))
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{later}})
	assert.Equal(t, engineOf(des.reserve(plain("free")), "free"), later.ID.String())
	des.says(peer, "a", limitedTo(1))
	assert.Equal(t, engineOf(des.reserve(plain("late word")), "late word"), later.ID.String(), "of the former run")
}

// An engine whose entry has gone still answers; what that tells doesn't count for the others.
func TestRateOfAnEngineThatIsGoneEndsWithoutTheOthers(t *testing.T) {
	des := newDesk(plainEngine("a", 100), plainEngine("b", 100))
	des.says(peer, "a", limitedTo(1))
	des.says(peer, "b", limitedTo(1))
	des.after(time.Second)
	assert.Equal(t, engineOf(des.reserve(plain("r")), "r"), "a")
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{plainEngine("b", 100)}})
	des.release(answered("r"))
	assert.Equal(t, engineOf(des.reserve(plain("s")), "s"), "b")
	assert.Equal(t, reasonOf(des.reserve(plain("t")), "t"), reservation.ReasonRate, "all that are left name a rate")
}

// Seen: one of four engines named a rate for 14 s. The others had room, it counted more in the
// choice, and nothing was asked of it any more, so its rate never ended.
// Cause: only an answer tells that a rate has ended, and nobody saw to it that one came.
// Proof: this test; 0 of 700 requests before.
func TestEngineWithARateIsAskedNowAndThen(t *testing.T) {
	des := newDesk(plainEngine("a", 6), plainEngine("b", 6), plainEngine("c", 6), plainEngine("d", 6))
	des.says(peer, "a", limitedTo(2))
	named := 0
	for num := range 700 {
		des.after(20 * time.Millisecond)
		if engine := engineOf(des.reserve(plain(fmt.Sprint("r", num))), fmt.Sprint("r", num)); engine == "a" {
			named++
			des.says(peer, "a", limitedTo(2))
		}
		des.release(answered(fmt.Sprint("r", num)))
	}
	assert.Assert(t, named >= 6 && named <= 8, "%d in 14 s", named)
	count := 0
	for num := range 350 {
		des.after(20 * time.Millisecond)
		if des.ask(fmt.Sprint("s", num)) == "a" {
			count++
		}
	}
	assert.Assert(t, count > 50, "%d of 350 in the seven seconds after it stopped", count)
}

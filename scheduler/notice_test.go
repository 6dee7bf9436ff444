package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

const otherPeer = request.Epoch(3)

// says has an engine say something to a gateway.
func (des *desk) says(gateway request.Epoch, engine string, word fleet.Word) []scheduler.Send {
	return des.handle(scheduler.Received{From: gateway, Message: reservation.EngineNotice{
		Notice: fleet.Notice{Run: fleet.EngineID{Name: engine}, Word: word},
	}})
}

// reserveFrom reserves for a gateway.
func (des *desk) reserveFrom(gateway request.Epoch, res reservation.Reserve) []scheduler.Send {
	return des.handle(scheduler.Received{From: gateway, Message: res})
}

// decisionOn returns the engine granted to a request, or the refusal; both empty while it
// waits.
func decisionOn(sends []scheduler.Send, name string) (string, reservation.Refuse) {
	for _, snd := range sends {
		switch msg := snd.Message.(type) {
		case reservation.Grant:
			if msg.ID == id(name) {
				return msg.Engine, reservation.Refuse{}
			}
		case reservation.Refuse:
			if msg.ID == id(name) {
				return "", msg
			}
		}
	}
	return "", reservation.Refuse{}
}

func answered(name string) reservation.Release {
	return reservation.Release{ID: id(name), Dispatched: true, Answered: true, Total: 30 * time.Millisecond}
}

// One gateway's word that an engine leaves keeps it from all, also where its entry is
// written again and says that it is ready.
func TestEngineThatLeavesIsGrantedToNobody(t *testing.T) {
	des := newDesk(plainEngine("a", 4), plainEngine("b", 4))
	des.says(peer, "a", fleet.Leaving{})
	ready := plainEngine("a", 4)
	ready.Sequence = 9
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{ready, plainEngine("b", 4)}})
	for num, gateway := range []request.Epoch{own, peer, otherPeer} {
		name := fmt.Sprint("r", num)
		assert.Equal(t, engineOf(des.reserveFrom(gateway, plain(name)), name), "b")
	}
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{plainEngine("b", 4)}})
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{{ID: fleet.NewEngineID("a", time.Unix(9, 0)), Service: "plain", Slots: 4, Domain: "d0"}}})
	assert.Equal(t, engineOf(des.reserve(plain("later")), "later"), "a@9000", "a later run is another engine")
}

// The gateway that was asked keeps away to the end; one request of the others at a time finds
// out whether the engine serves them, and an answer opens it.
func TestPauseIsKeptAndOneRequestTriesFirst(t *testing.T) {
	des := newDesk(plainEngine("a", 4))
	des.says(peer, "a", fleet.Pause{Left: 6 * time.Second})
	des.after(4 * time.Second)
	_, ref := decisionOn(des.reserveFrom(peer, plain("asked")), "asked")
	assert.Equal(t, ref.Reason, reservation.ReasonBackoff)
	assert.Equal(t, engineOf(des.reserveFrom(otherPeer, plain("probe")), "probe"), "a")
	engine, ref := decisionOn(des.reserveFrom(otherPeer, plain("second")), "second")
	assert.Assert(t, engine == "" && ref.Reason == 0, "it waits for what the first finds")
	des.now = des.now.Add(20 * time.Millisecond)
	assert.Equal(t, engineOf(des.handle(scheduler.Received{From: otherPeer, Message: answered("probe")}), "second"), "a")
	_, ref = decisionOn(des.reserveFrom(peer, plain("asked-still")), "asked-still")
	assert.Equal(t, ref.Reason, reservation.ReasonBackoff)
	des.after(2 * time.Second)
	assert.Equal(t, engineOf(des.reserveFrom(peer, plain("over")), "over"), "a")
}

// An engine that asks each who tries is left alone longer each time, up to four seconds, and
// not longer than it asks for.
func TestEngineThatAsksAgainIsTriedLaterEachTime(t *testing.T) {
	des := newDesk(plainEngine("a", 4))
	des.says(request.Epoch(50), "a", fleet.Pause{Left: 10 * time.Second})
	for num, pause := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		gateway := request.Epoch(100 + num)
		if pause > 0 {
			early := fmt.Sprint("early", num)
			des.after(pause - 10*time.Millisecond)
			engine, _ := decisionOn(des.reserveFrom(gateway, plain(early)), early)
			assert.Equal(t, engine, "", "%d", num)
			des.handle(scheduler.Received{From: gateway, Message: reservation.Withdraw{ID: id(early)}})
			des.after(10 * time.Millisecond)
		}
		name := fmt.Sprint("try", num)
		assert.Equal(t, engineOf(des.reserveFrom(gateway, plain(name)), name), "a")
		des.now = des.now.Add(300 * time.Millisecond)
		des.says(gateway, "a", fleet.Pause{Left: 10 * time.Second})
		des.release(reservation.Release{ID: id(name), Engine: "a", Dispatched: true, Rejected: true, BackedOff: true})
	}
	des.after(4 * time.Second)
	assert.Equal(t, engineOf(des.reserveFrom(otherPeer, plain("served")), "served"), "a")
	des.now = des.now.Add(10 * time.Millisecond)
	des.release(answered("served"))
	des.says(request.Epoch(51), "a", fleet.Pause{Left: 10 * time.Second})
	assert.Equal(t, engineOf(des.reserveFrom(otherPeer, plain("anew")), "anew"), "a", "it has served since")
}

// The answer to who tries first may be lost: another one tries after a second.
func TestLostProbeHoldsUpTheOthersForASecond(t *testing.T) {
	des := newDesk(plainEngine("a", 4))
	des.says(peer, "a", fleet.Pause{Left: time.Second})
	assert.Equal(t, engineOf(des.reserveFrom(otherPeer, plain("lost")), "lost"), "a")
	des.after(950 * time.Millisecond)
	engine, _ := decisionOn(des.reserveFrom(otherPeer, plain("waits")), "waits")
	assert.Equal(t, engine, "")
	assert.Equal(t, engineOf(des.after(50*time.Millisecond), "waits"), "a")
}

// What is told again, by a gateway that opens its session anew, keeps the others from the
// engine no longer.
func TestPauseThatIsToldAgainHoldsUpNobodyElse(t *testing.T) {
	des := newDesk(plainEngine("a", 4))
	des.says(peer, "a", fleet.Pause{Left: time.Hour})
	des.now = des.now.Add(5 * time.Second)
	assert.Equal(t, engineOf(des.reserveFrom(otherPeer, plain("probe")), "probe"), "a")
	des.now = des.now.Add(20 * time.Millisecond)
	des.handle(scheduler.Received{From: otherPeer, Message: answered("probe")})
	des.says(peer, "a", fleet.Pause{Left: time.Hour - 5*time.Second})
	assert.Equal(t, engineOf(des.reserveFrom(otherPeer, plain("next")), "next"), "a")
	_, ref := decisionOn(des.reserveFrom(peer, plain("asked")), "asked")
	assert.Equal(t, ref.Reason, reservation.ReasonBackoff)
}

// A probe that shows nothing lets the next one try.
func TestProbeThatEndsWithoutAnAnswerIsFollowedByAnother(t *testing.T) {
	for name, end := range map[string]func(*desk){
		"not sent":     func(des *desk) { des.release(reservation.Release{ID: id("probe")}) },
		"caller left":  func(des *desk) { des.release(reservation.Release{ID: id("probe"), Dispatched: true}) },
		"gateway lost": func(des *desk) { des.handle(scheduler.GatewayLost{Gateway: peer}) },
	} {
		t.Run(name, func(t *testing.T) {
			des := newDesk(plainEngine("a", 4))
			des.says(peer, "a", fleet.Pause{Left: time.Second})
			des.after(time.Second)
			assert.Equal(t, engineOf(des.reserve(plain("probe")), "probe"), "a")
			end(des)
			assert.Equal(t, engineOf(des.reserveFrom(otherPeer, plain("next")), "next"), "a")
		})
	}
}

// Who can't be granted anything in time hears so at once, with when it is worth coming back;
// who can wait for the end of the pause waits, and is served first, in the order of tiers.
func TestAllEnginesThatPauseOrLeave(t *testing.T) {
	des := newDesk(plainEngine("a", 1), plainEngine("b", 4))
	des.says(peer, "b", fleet.Leaving{})
	des.says(peer, "a", fleet.Pause{Left: 2 * time.Second})
	_, ref := decisionOn(des.reserve(plain("early")), "early")
	assert.Equal(t, ref.Reason, reservation.ReasonBackoff)
	assert.Assert(t, ref.RetryAfter >= 100*time.Millisecond && ref.RetryAfter <= 500*time.Millisecond, "other hosts may use it: %s", ref.RetryAfter)
	des.after(1960 * time.Millisecond)
	low, high := plain("low"), plain("high")
	low.Rank = 1
	for _, res := range []reservation.Reserve{low, high} {
		engine, ref := decisionOn(des.reserve(res), res.ID.Unique)
		assert.Assert(t, engine == "" && ref.Reason == 0, "it waits")
	}
	assert.Equal(t, engineOf(des.after(40*time.Millisecond), "high"), "a")
	des.now = des.now.Add(10 * time.Millisecond)
	assert.Equal(t, engineOf(des.release(answered("high")), "low"), "a")
	des.says(peer, "a", fleet.Leaving{})
	_, ref = decisionOn(des.reserve(plain("none")), "none")
	assert.Equal(t, ref.Reason, reservation.ReasonBackoff)
	assert.Assert(t, ref.RetryAfter > 0)
}

// A gateway that was asked doesn't hold up the others: its requests wait, theirs are served.
func TestGatewayThatWasAskedHoldsUpNobody(t *testing.T) {
	des := newDesk(plainEngine("a", 1))
	for num := range 3 {
		name := fmt.Sprint("busy", num)
		assert.Equal(t, engineOf(des.reserve(long(name)), name), "a")
	}
	des.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{plainEngine("a", 1), plainEngine("b", 4)}})
	des.says(peer, "b", fleet.Pause{Left: 50 * time.Millisecond})
	waits := plain("waits")
	waits.Rank = -1
	engine, _ := decisionOn(des.reserve(waits), "waits")
	assert.Equal(t, engine, "")
	assert.Equal(t, engineOf(des.reserveFrom(otherPeer, plain("passes")), "passes"), "b")
}

// A wish for a pause isn't a failure: it doesn't have the engine set aside, nor others used
// that are.
func TestPauseDoesNotCountAgainstHealth(t *testing.T) {
	des := newDesk(plainEngine("a", 8), plainEngine("b", 8))
	for num := range 6 {
		name := fmt.Sprint("r", num)
		engine := engineOf(des.reserve(plain(name)), name)
		des.release(reservation.Release{ID: id(name), Engine: engine, Dispatched: true, Rejected: true, BackedOff: true})
	}
	for _, svc := range des.core.Dump(des.now).Services {
		for _, eng := range svc.Engines {
			assert.Equal(t, eng.AsideFor, "")
		}
	}
}

// A grant that couldn't be used costs the request neither its place nor a repeat.
func TestGrantThatWasSentBackCostsNothing(t *testing.T) {
	des := newDesk(plainEngine("a", 1), plainEngine("b", 1))
	first := plain("first")
	assert.Equal(t, engineOf(des.reserve(first), "first"), "a")
	assert.Equal(t, engineOf(des.reserve(plain("other")), "other"), "b")
	for num := range 6 {
		des.reserve(plain(fmt.Sprint("line", num)))
	}
	des.says(peer, "a", fleet.Leaving{})
	des.release(reservation.Release{ID: first.ID, Engine: "a"})
	first.Again = true
	des.reserve(first)
	assert.Equal(t, engineOf(des.release(answered("other")), "first"), "b", "before those who came later")
	repeat := plain("repeat")
	repeat.Attempt, repeat.Again = 1, true
	for range 50 {
		_, ref := decisionOn(des.reserve(repeat), "repeat")
		assert.Assert(t, ref.Reason != reservation.ReasonBudget)
	}
}

// BenchmarkManyWaitingUnderPauses has thousands of requests of 300 gateways wait for 650
// engines, some of which have asked some gateways for a pause, and lets time pass.
func BenchmarkManyWaitingUnderPauses(b *testing.B) {
	for _, paused := range []int{0, 1, 65, 650} {
		b.Run(fmt.Sprint(paused, "of650"), func(b *testing.B) {
			engines := make([]fleet.Engine, 650)
			for num := range engines {
				engines[num] = plainEngine(fmt.Sprintf("e%03d", num), 0)
			}
			des := newDesk(engines...)
			for num := range 650 * 2 {
				des.reserve(long(fmt.Sprint("run-", num)))
			}
			for num := range paused {
				for gateway := range 20 {
					des.says(request.Epoch(100+gateway*15), fmt.Sprintf("e%03d", num), fleet.Pause{Left: time.Hour})
				}
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

func long(name string) reservation.Reserve {
	res := plain(name)
	res.Aim, res.Remaining = 10*time.Hour, 10*time.Hour
	return res
}

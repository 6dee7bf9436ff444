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

const otherPeerEpoch = request.Epoch(3)

// reportSignal reports an engine's signal that a gateway received.
func (har *harness) reportSignal(gateway request.Epoch, engine string, signal fleet.Signal) []scheduler.Send {
	return har.handle(scheduler.Received{From: gateway, Message: reservation.EngineNotice{
		Notice: fleet.Notice{Run: fleet.EngineID{Name: engine}, Signal: signal},
	}})
}

// reserveFrom places a reservation from the given gateway.
func (har *harness) reserveFrom(gateway request.Epoch, res reservation.Reserve) []scheduler.Send {
	return har.handle(scheduler.Received{From: gateway, Message: res})
}

// decisionFor returns the engine granted to a request, or the refusal; both are empty while the
// request waits.
func decisionFor(sends []scheduler.Send, name string) (string, reservation.Refuse) {
	for _, snd := range sends {
		switch msg := snd.Message.(type) {
		case reservation.Grant:
			if msg.ID == requestID(name) {
				return msg.Engine, reservation.Refuse{}
			}
		case reservation.Refuse:
			if msg.ID == requestID(name) {
				return "", msg
			}
		}
	}
	return "", reservation.Refuse{}
}

func answeredRelease(name string) reservation.Release {
	return reservation.Release{ID: requestID(name), Dispatched: true, Answered: true, Total: 30 * time.Millisecond}
}

// A Draining signal that one gateway reports excludes the engine for all gateways, even if the
// engine's entry is written again as ready.
func TestDrainingSignalExcludesEngineForAllGateways(t *testing.T) {
	har := newHarness(plainEngine("a", 4), plainEngine("b", 4))
	har.reportSignal(peerEpoch, "a", fleet.Draining{})
	ready := plainEngine("a", 4)
	ready.Sequence = 9
	har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{ready, plainEngine("b", 4)}})
	for num, gateway := range []request.Epoch{ownEpoch, peerEpoch, otherPeerEpoch} {
		name := fmt.Sprint("r", num)
		assert.Equal(t, grantedEngine(har.reserveFrom(gateway, plainReservation(name)), name), "b")
	}
	har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{plainEngine("b", 4)}})
	har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{{ID: fleet.NewEngineID("a", time.Unix(9, 0)), Service: "plain", Slots: 4, Domain: "d0"}}})
	assert.Equal(t, grantedEngine(har.reserve(plainReservation("later")), "later"), "a@9000", "a later run counts as another engine")
}

// The gateway that received the backoff request is blocked for the whole backoff. The others probe
// the engine with one request at a time, and an answer unblocks it for them.
func TestBackoffBlocksItsRecipientWhileOthersProbe(t *testing.T) {
	har := newHarness(plainEngine("a", 4))
	har.reportSignal(peerEpoch, "a", fleet.Backoff{Remaining: 6 * time.Second})
	har.advance(4 * time.Second)
	_, ref := decisionFor(har.reserveFrom(peerEpoch, plainReservation("recipient")), "recipient")
	assert.Equal(t, ref.Reason, reservation.ReasonBackoff)
	assert.Equal(t, grantedEngine(har.reserveFrom(otherPeerEpoch, plainReservation("probe")), "probe"), "a")
	engine, ref := decisionFor(har.reserveFrom(otherPeerEpoch, plainReservation("second")), "second")
	assert.Assert(t, engine == "" && ref.Reason == 0, "the request waits for the result of the probe")
	har.now = har.now.Add(20 * time.Millisecond)
	assert.Equal(t, grantedEngine(har.handle(scheduler.Received{From: otherPeerEpoch, Message: answeredRelease("probe")}), "second"), "a")
	_, ref = decisionFor(har.reserveFrom(peerEpoch, plainReservation("recipient-again")), "recipient-again")
	assert.Equal(t, ref.Reason, reservation.ReasonBackoff)
	har.advance(2 * time.Second)
	assert.Equal(t, grantedEngine(har.reserveFrom(peerEpoch, plainReservation("over")), "over"), "a")
}

// If the engine answers each probe with another backoff request, the time until the next probe
// doubles, up to four seconds and at most the backoff requested.
func TestBackoffAfterProbeDelaysNextProbe(t *testing.T) {
	har := newHarness(plainEngine("a", 4))
	har.reportSignal(request.Epoch(50), "a", fleet.Backoff{Remaining: 10 * time.Second})
	for num, delay := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		gateway := request.Epoch(100 + num)
		if delay > 0 {
			early := fmt.Sprint("early", num)
			har.advance(delay - 10*time.Millisecond)
			engine, _ := decisionFor(har.reserveFrom(gateway, plainReservation(early)), early)
			assert.Equal(t, engine, "", "%d", num)
			har.handle(scheduler.Received{From: gateway, Message: reservation.Withdraw{ID: requestID(early)}})
			har.advance(10 * time.Millisecond)
		}
		name := fmt.Sprint("probe", num)
		assert.Equal(t, grantedEngine(har.reserveFrom(gateway, plainReservation(name)), name), "a")
		har.now = har.now.Add(300 * time.Millisecond)
		har.reportSignal(gateway, "a", fleet.Backoff{Remaining: 10 * time.Second})
		har.release(reservation.Release{ID: requestID(name), Engine: "a", Dispatched: true, Rejected: true, Throttled: true})
	}
	har.advance(4 * time.Second)
	assert.Equal(t, grantedEngine(har.reserveFrom(otherPeerEpoch, plainReservation("served")), "served"), "a")
	har.now = har.now.Add(10 * time.Millisecond)
	har.release(answeredRelease("served"))
	har.reportSignal(request.Epoch(51), "a", fleet.Backoff{Remaining: 10 * time.Second})
	assert.Equal(t, grantedEngine(har.reserveFrom(otherPeerEpoch, plainReservation("again")), "again"), "a", "the engine has served a request since, so the delay starts at zero")
}

// The answer to a probe may be lost, so another request probes the engine after a second.
func TestLostProbeBlocksOthersForOneSecond(t *testing.T) {
	har := newHarness(plainEngine("a", 4))
	har.reportSignal(peerEpoch, "a", fleet.Backoff{Remaining: time.Second})
	assert.Equal(t, grantedEngine(har.reserveFrom(otherPeerEpoch, plainReservation("lost")), "lost"), "a")
	har.advance(950 * time.Millisecond)
	engine, _ := decisionFor(har.reserveFrom(otherPeerEpoch, plainReservation("waits")), "waits")
	assert.Equal(t, engine, "")
	assert.Equal(t, grantedEngine(har.advance(50*time.Millisecond), "waits"), "a")
}

// A backoff request that a gateway reports once more, as when it reopens its session, doesn't
// extend the block of the others.
func TestRepeatedBackoffReportDoesNotBlockOthers(t *testing.T) {
	har := newHarness(plainEngine("a", 4))
	har.reportSignal(peerEpoch, "a", fleet.Backoff{Remaining: time.Hour})
	har.now = har.now.Add(5 * time.Second)
	assert.Equal(t, grantedEngine(har.reserveFrom(otherPeerEpoch, plainReservation("probe")), "probe"), "a")
	har.now = har.now.Add(20 * time.Millisecond)
	har.handle(scheduler.Received{From: otherPeerEpoch, Message: answeredRelease("probe")})
	har.reportSignal(peerEpoch, "a", fleet.Backoff{Remaining: time.Hour - 5*time.Second})
	assert.Equal(t, grantedEngine(har.reserveFrom(otherPeerEpoch, plainReservation("next")), "next"), "a")
	_, ref := decisionFor(har.reserveFrom(peerEpoch, plainReservation("recipient")), "recipient")
	assert.Equal(t, ref.Reason, reservation.ReasonBackoff)
}

// After a probe that ends without an answer, the next request may probe the engine.
func TestProbeWithoutAnswerIsFollowedByAnother(t *testing.T) {
	for name, end := range map[string]func(*harness){
		"not sent":     func(har *harness) { har.release(reservation.Release{ID: requestID("probe")}) },
		"client left":  func(har *harness) { har.release(reservation.Release{ID: requestID("probe"), Dispatched: true}) },
		"gateway lost": func(har *harness) { har.handle(scheduler.GatewayLost{Gateway: peerEpoch}) },
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(plainEngine("a", 4))
			har.reportSignal(peerEpoch, "a", fleet.Backoff{Remaining: time.Second})
			har.advance(time.Second)
			assert.Equal(t, grantedEngine(har.reserve(plainReservation("probe")), "probe"), "a")
			end(har)
			assert.Equal(t, grantedEngine(har.reserveFrom(otherPeerEpoch, plainReservation("next")), "next"), "a")
		})
	}
}

// If all engines are draining or in backoff, a request waits only if the backoff ends in time;
// otherwise it is refused at once, with the time after which a retry is worthwhile. After the
// backoff the queue is served in order of rank.
func TestRequestWaitsOnlyForBackoffThatEndsInTime(t *testing.T) {
	har := newHarness(plainEngine("a", 1), plainEngine("b", 4))
	har.reportSignal(peerEpoch, "b", fleet.Draining{})
	har.reportSignal(peerEpoch, "a", fleet.Backoff{Remaining: 2 * time.Second})
	_, ref := decisionFor(har.reserve(plainReservation("early")), "early")
	assert.Equal(t, ref.Reason, reservation.ReasonBackoff)
	assert.Assert(t, ref.RetryAfter >= 100*time.Millisecond && ref.RetryAfter <= 500*time.Millisecond, "other hosts may use the engine, so a retry is worthwhile soon: %s", ref.RetryAfter)
	har.advance(1960 * time.Millisecond)
	low, high := plainReservation("low"), plainReservation("high")
	low.Rank = 1
	for _, res := range []reservation.Reserve{low, high} {
		engine, ref := decisionFor(har.reserve(res), res.ID.Unique)
		assert.Assert(t, engine == "" && ref.Reason == 0, "the request waits for the end of the backoff")
	}
	assert.Equal(t, grantedEngine(har.advance(40*time.Millisecond), "high"), "a")
	har.now = har.now.Add(10 * time.Millisecond)
	assert.Equal(t, grantedEngine(har.release(answeredRelease("high")), "low"), "a")
	har.reportSignal(peerEpoch, "a", fleet.Draining{})
	_, ref = decisionFor(har.reserve(plainReservation("none")), "none")
	assert.Equal(t, ref.Reason, reservation.ReasonBackoff)
	assert.Assert(t, ref.RetryAfter > 0)
}

// The requests of a gateway that is blocked by a backoff wait without blocking those of others.
func TestBackoffOfOneGatewayDoesNotBlockOthers(t *testing.T) {
	har := newHarness(plainEngine("a", 1))
	for num := range 3 {
		name := fmt.Sprint("busy", num)
		assert.Equal(t, grantedEngine(har.reserve(longReservation(name)), name), "a")
	}
	har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{plainEngine("a", 1), plainEngine("b", 4)}})
	har.reportSignal(peerEpoch, "b", fleet.Backoff{Remaining: 50 * time.Millisecond})
	waiting := plainReservation("waits")
	waiting.Rank = -1
	engine, _ := decisionFor(har.reserve(waiting), "waits")
	assert.Equal(t, engine, "")
	assert.Equal(t, grantedEngine(har.reserveFrom(otherPeerEpoch, plainReservation("passes")), "passes"), "b")
}

// Rejections with a backoff request aren't failures, so the engine isn't ejected for them.
func TestBackoffDoesNotCountAsFailure(t *testing.T) {
	har := newHarness(plainEngine("a", 8), plainEngine("b", 8))
	for num := range 6 {
		name := fmt.Sprint("r", num)
		engine := grantedEngine(har.reserve(plainReservation(name)), name)
		har.release(reservation.Release{ID: requestID(name), Engine: engine, Dispatched: true, Rejected: true, Throttled: true})
	}
	for _, svc := range har.core.Dump(har.now).Services {
		for _, eng := range svc.Engines {
			assert.Equal(t, eng.AsideFor, "")
		}
	}
}

// A request whose grant was returned unused keeps its position in the queue and spends nothing of
// the retry budget.
func TestReturnedGrantKeepsPositionAndRetryBudget(t *testing.T) {
	har := newHarness(plainEngine("a", 1), plainEngine("b", 1))
	first := plainReservation("first")
	assert.Equal(t, grantedEngine(har.reserve(first), "first"), "a")
	assert.Equal(t, grantedEngine(har.reserve(plainReservation("other")), "other"), "b")
	for num := range 6 {
		har.reserve(plainReservation(fmt.Sprint("queued", num)))
	}
	har.reportSignal(peerEpoch, "a", fleet.Draining{})
	har.release(reservation.Release{ID: first.ID, Engine: "a"})
	first.Requeued = true
	har.reserve(first)
	assert.Equal(t, grantedEngine(har.release(answeredRelease("other")), "first"), "b", "before the requests that arrived later")
	retry := plainReservation("retry")
	retry.Attempt, retry.Requeued = 1, true
	for range 50 {
		_, ref := decisionFor(har.reserve(retry), "retry")
		assert.Assert(t, ref.Reason != reservation.ReasonBudget)
	}
}

// BenchmarkManyWaitingUnderBackoff measures a tick while thousands of requests of 300 gateways wait
// for 650 engines, some of which have sent a backoff request to some gateways.
func BenchmarkManyWaitingUnderBackoff(b *testing.B) {
	for _, backedOff := range []int{0, 1, 65, 650} {
		b.Run(fmt.Sprint(backedOff, "of650"), func(b *testing.B) {
			engines := make([]fleet.Engine, 650)
			for num := range engines {
				engines[num] = plainEngine(fmt.Sprintf("e%03d", num), 0)
			}
			har := newHarness(engines...)
			for num := range 650 * 2 {
				har.reserve(longReservation(fmt.Sprint("run-", num)))
			}
			for num := range backedOff {
				for gateway := range 20 {
					har.reportSignal(request.Epoch(100+gateway*15), fmt.Sprintf("e%03d", num), fleet.Backoff{Remaining: time.Hour})
				}
			}
			for num := range 4096 {
				har.reserveFrom(request.Epoch(100+num%300), longReservation(fmt.Sprint("wait-", num)))
			}
			for b.Loop() {
				har.advance(time.Microsecond)
			}
		})
	}
}

func longReservation(name string) reservation.Reserve {
	res := plainReservation(name)
	res.LatencyTarget, res.Remaining = 10*time.Hour, 10*time.Hour
	return res
}

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

func TestDrainingExcludedAndDeregisteredEnginesGetNoGrants(t *testing.T) {
	draining := plainEngine("a", 4)
	draining.Draining = true
	har := newHarness(draining, plainEngine("b", 4), plainEngine("c", 4))
	res := plainReservation("r")
	res.Exclude = []string{"b"}
	assert.Equal(t, grantedEngine(har.reserve(res), "r"), "c")
	har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{draining}})
	assert.Equal(t, grantedEngine(har.reserve(plainReservation("s")), "s"), "")
}

func TestPromptGoesToEngineWithFewerPendingPrefills(t *testing.T) {
	har := newHarness(modelEngine("a"), modelEngine("b"))
	first := grantedEngine(har.reserve(promptReservation("long", 8000)), "long")
	second := grantedEngine(har.reserve(promptReservation("short", 100)), "short")
	assert.Assert(t, first != second)
}

func TestEngineSpeedIsLearned(t *testing.T) {
	har := newHarness(modelEngine("a"), modelEngine("b"))
	for idx := range 20 {
		// Engine a takes about five times as long as the prior predicts, b as long as predicted.
		name := fmt.Sprint("r", idx)
		eng := grantedEngine(har.reserve(promptReservation(name, 2000)), name)
		took := 60 * time.Millisecond
		if eng == "a" {
			took = 220 * time.Millisecond
		}
		har.advance(took)
		har.handle(scheduler.Received{From: peerEpoch, Message: reservation.Progress{ID: requestID(name), FirstToken: took}})
		har.release(reservation.Release{ID: requestID(name), Dispatched: true, FirstToken: took, Total: took, DecodeTokens: 1})
	}
	assert.Equal(t, grantedEngine(har.reserve(promptReservation("next", 2000)), "next"), "b")
}

func TestEngineWithCachedPromptPartsIsPreferred(t *testing.T) {
	har := newHarness(modelEngine("a"), modelEngine("b"))
	res := promptReservation("first", 4000)
	res.Parts = []call.Part{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 3900}}
	eng := grantedEngine(har.reserve(res), "first")
	har.advance(300 * time.Millisecond)
	har.handle(scheduler.Received{From: peerEpoch, Message: reservation.Progress{ID: requestID("first"), FirstToken: 100 * time.Millisecond}})
	har.release(reservation.Release{ID: requestID("first"), Dispatched: true, Total: time.Second})
	res.ID = requestID("again")
	assert.Equal(t, grantedEngine(har.reserve(res), "again"), eng)
}

// answer reports the first token of a granted request and releases the request.
func (har *harness) answer(name string, first, total time.Duration, events int) {
	har.handle(scheduler.Received{From: peerEpoch, Message: reservation.Progress{ID: requestID(name), FirstToken: first}})
	har.release(reservation.Release{ID: requestID(name), Dispatched: true, FirstToken: first, DecodeTokens: events, Total: total})
}

func TestLongAnswersAvoidSlowEngines(t *testing.T) {
	far := modelEngine("quick")
	far.Domain = "d1"
	har := newHarness(modelEngine("slow"), far)
	for idx := range 60 {
		// Both engines prefill equally fast; decoding on one takes ten times as long.
		name := fmt.Sprint("r", idx)
		res := promptReservation(name, 10)
		res.Domain = []string{"d0", "d1"}[idx%2]
		total := 4 * time.Second
		if grantedEngine(har.reserve(res), name) == "quick" {
			total = 400 * time.Millisecond
		}
		har.answer(name, 20*time.Millisecond, total, 20)
	}
	short, long := promptReservation("short", 10), promptReservation("long", 10)
	short.AnswerTokens, long.AnswerTokens = 1, 60
	assert.Equal(t, grantedEngine(har.reserve(short), "short"), "slow")
	assert.Equal(t, grantedEngine(har.reserve(long), "long"), "quick")
}

// Measurements that another host stored rank the engines before the first answer arrives.
func TestStoredMeasurementsApplyBeforeFirstAnswer(t *testing.T) {
	slow, quick := modelEngine("a-slow"), modelEngine("b-quick")
	slow.Address, quick.Address = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	measured := newHarness(slow, quick)
	for idx := range 40 {
		name := fmt.Sprint("r", idx)
		took := 60 * time.Millisecond
		if grantedEngine(measured.reserve(promptReservation(name, 2000)), name) == "a-slow" {
			took = 300 * time.Millisecond
		}
		measured.advance(took)
		measured.answer(name, took, took, 1)
	}
	measurements := measured.core.Measurements()
	for name, har := range map[string]*harness{"measurements before engines": newHarness(), "measurements after engines": newHarness(slow, quick)} {
		t.Run(name, func(t *testing.T) {
			har.handle(scheduler.MeasurementsRead{Measurements: measurements})
			har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{slow, quick}})
			assert.Equal(t, grantedEngine(har.reserve(promptReservation("next", 6000)), "next"), "b-quick")
		})
	}
	assert.Equal(t, grantedEngine(newHarness(slow, quick).reserve(promptReservation("next", 6000)), "next"), "a-slow", "without measurements the first engine is as good as the second")
}

// newMeasuredHarness returns a harness with stored measurements of two engines: a-slow takes
// four times as long as b-quick.
func newMeasuredHarness() *harness {
	slow, quick := modelEngine("a-slow"), modelEngine("b-quick")
	slow.Address, quick.Address = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	har := newHarness(slow, quick)
	har.handle(scheduler.MeasurementsRead{Measurements: pace.NewMeasurements(map[string]pace.ServiceMeasurements{"model": {Reference: pace.DefaultReference, Engines: []pace.Record{
		{Address: slow.Address, Profile: pace.Profile{Read: 4, Event: 4, Weight: 10}},
		{Address: quick.Address, Profile: pace.Profile{Read: 1, Event: 1, Weight: 10}},
	}}})})
	return har
}

// The client's wait before this attempt counts against the latency target. The near engine is
// preferred only as long as it meets the target.
func TestClientWaitCountsAgainstLatencyTarget(t *testing.T) {
	near, far := modelEngine("near"), modelEngine("far")
	far.Domain = "d1"
	near.Address, far.Address = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	har := newHarness(near, far)
	har.handle(scheduler.MeasurementsRead{Measurements: pace.NewMeasurements(map[string]pace.ServiceMeasurements{"model": {Reference: pace.DefaultReference, Engines: []pace.Record{
		{Address: near.Address, Profile: pace.Profile{Read: 4, Event: 4, Weight: 10}},
		{Address: far.Address, Profile: pace.Profile{Read: 3.6, Event: 3.6, Weight: 10}},
	}}})})
	for name, tst := range map[string]struct {
		clientWait time.Duration
		want       string
	}{"first-attempt": {0, "near"}, "second-attempt": {110 * time.Millisecond, "far"}} {
		res := promptReservation(name, 1000)
		res.LatencyTarget, res.ClientWait = 300*time.Millisecond, tst.clientWait
		assert.Equal(t, grantedEngine(har.reserve(res), name), tst.want)
		har.release(reservation.Release{ID: requestID(name)})
	}
}

func TestLatePromptGoesToFastestEngine(t *testing.T) {
	har := newMeasuredHarness()
	assert.Equal(t, grantedEngine(har.reserve(promptReservation("other", 10)), "other"), "b-quick")
	// Takes 1.2 s on the quick engine, and 4.6 s on the slow one, which is idle.
	assert.Equal(t, grantedEngine(har.reserve(promptReservation("long", 54_000)), "long"), "b-quick")
	// Behind the first long prompt, another one would take 2.3 s, for which a client would wait, but
	// the quick engine has as many pending prefills as it may have. The slow engine would answer
	// after the client timed out.
	assert.Equal(t, grantedEngine(har.reserve(promptReservation("next", 54_000)), "next"), "")
	assert.Equal(t, refusalReason(har.advance(300*time.Millisecond), "next"), reservation.ReasonOverload)
}

func TestLatePromptIsServedBySlowService(t *testing.T) {
	slow := modelEngine("a-slow")
	slow.Address = netip.MustParseAddrPort("127.0.0.1:1")
	har := newHarness(slow)
	har.handle(scheduler.MeasurementsRead{Measurements: pace.NewMeasurements(map[string]pace.ServiceMeasurements{"model": {Reference: pace.DefaultReference, Engines: []pace.Record{
		{Address: slow.Address, Profile: pace.Profile{Read: 8, Event: 8, Weight: 10}},
	}}})})
	assert.Equal(t, grantedEngine(har.reserve(promptReservation("long", 54_000)), "long"), "a-slow")
}

func TestFailingEngineIsEjectedAndProbed(t *testing.T) {
	har := newHarness(plainEngine("a", 8), plainEngine("b", 8), plainEngine("c", 8))
	failures := 0
	for idx := 0; failures < 2; idx++ {
		name := fmt.Sprint("r", idx)
		eng := grantedEngine(har.reserve(plainReservation(name)), name)
		if eng == "a" {
			failures++
			har.release(reservation.Release{ID: requestID(name), Failed: true})
		}
	}
	for idx := range 10 {
		name := fmt.Sprint("s", idx)
		assert.Assert(t, grantedEngine(har.reserve(plainReservation(name)), name) != "a")
	}
	har.advance(time.Second)
	probes := 0
	for idx := range 10 {
		name := fmt.Sprint("t", idx)
		if grantedEngine(har.reserve(plainReservation(name)), name) == "a" {
			probes++
		}
	}
	assert.Equal(t, probes, 1, "a single request probes the ejected engine")
}

func TestEjectionNamesReportingGateway(t *testing.T) {
	har := newHarness(plainEngine("a", 8))
	for _, name := range []string{"r1", "r2"} {
		har.reserve(plainReservation(name))
		har.release(reservation.Release{ID: requestID(name), Failed: true})
	}
	ejections := har.core.Ejections()
	assert.Equal(t, len(ejections), 1)
	assert.Equal(t, ejections[0].Engine.Name, "a")
	assert.Equal(t, ejections[0].Gateway, peerEpoch)
	assert.Equal(t, len(har.core.Ejections()), 0, "each ejection is returned once")
}

func TestOnlyEngineIsNeverEjected(t *testing.T) {
	har := newHarness(plainEngine("a", 8))
	for idx := range 10 {
		name := fmt.Sprint("r", idx)
		assert.Equal(t, grantedEngine(har.reserve(plainReservation(name)), name), "a")
		har.release(reservation.Release{ID: requestID(name), Failed: true})
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
	har := newHarness(engines...)
	b.ReportAllocs()
	for idx := 0; b.Loop(); idx++ {
		name := fmt.Sprint("r", idx)
		har.sends = nil
		har.now = har.now.Add(10 * time.Millisecond)
		har.reserve(promptReservation(name, 1000))
		har.release(reservation.Release{ID: requestID(name), Dispatched: true, FirstToken: 20 * time.Millisecond, Total: 40 * time.Millisecond, DecodeTokens: 10})
	}
}

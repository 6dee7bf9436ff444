package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

func digestFor(name string) call.Digest {
	return call.Request{Target: name}.Digest("kitchen")
}

// sameRequest returns a reservation for a request that is identical to all others of the given
// name, under its own ID.
func sameRequest(name, uniqueID string) reservation.Reserve {
	res := promptReservation(uniqueID, 100)
	res.Digest, res.Account, res.Route = digestFor(name), "kitchen", "stream"
	return res
}

// reportCrash reports, as the request's gateway does, that an engine crashed while it ran the
// request.
func (har *harness) reportCrash(res reservation.Reserve, engine string) {
	har.handle(scheduler.Received{From: peerEpoch, Message: reservation.EngineCrashed{
		ID: res.ID, Observation: quarantine.Observation{Subject: res.Subject(), Engine: engine},
	}})
	har.release(reservation.Release{ID: res.ID, Engine: engine, Dispatched: true, Failed: true})
	har.now = har.now.Add(50 * time.Millisecond)
}

func (har *harness) answerInFull(res reservation.Reserve) {
	har.release(reservation.Release{ID: res.ID, Dispatched: true, Answered: true, FirstToken: 10 * time.Millisecond, DecodeTokens: 5, Total: 50 * time.Millisecond})
}

func newModelEngines(count int) []fleet.Engine {
	var all []fleet.Engine
	for num := range count {
		all = append(all, modelEngine(fmt.Sprintf("e%02d", num)))
	}
	return all
}

// After an engine has crashed, each request that it ran runs at most once at a time, so that a poison
// request among them crashes at most one engine at a time.
func TestWatchedRequestRunsOnceAtATime(t *testing.T) {
	har := newHarness(newModelEngines(6)...)
	first := sameRequest("poison", "one")
	har.reportCrash(first, grantedEngine(har.reserve(first), "one"))
	assert.Assert(t, grantedEngine(har.reserve(sameRequest("poison", "two")), "two") != "")
	assert.Equal(t, grantedEngine(har.reserve(sameRequest("poison", "three")), "three"), "")
	assert.Assert(t, grantedEngine(har.reserve(sameRequest("other", "four")), "four") != "", "other requests don't wait for the watched one")
	har.answerInFull(sameRequest("poison", "two"))
	assert.Assert(t, grantedEngine(har.sends, "three") != "", "the request was answered, so its copies run as usual")
}

// A suspected request runs exclusively on an engine, so that a crash loses nothing else. While no
// engine is idle, exactly one is isolated and drained for it.
func TestSuspectedRequestRunsExclusively(t *testing.T) {
	har := newHarness(newModelEngines(6)...)
	for num := range 12 {
		har.reserve(sameRequest(fmt.Sprint("work-", num), fmt.Sprint("work-", num)))
	}
	for num := range 2 {
		name := fmt.Sprint("poison-", num)
		har.reportCrash(sameRequest("poison", name), grantedEngine(har.reserve(sameRequest("poison", name)), name))
	}
	assert.Equal(t, grantedEngine(har.reserve(sameRequest("poison", "waits")), "waits"), "", "no engine is idle")
	used := map[string]bool{}
	for num := range 12 {
		name := fmt.Sprint("more-", num)
		used[grantedEngine(har.reserve(sameRequest(name, name)), name)] = true
	}
	assert.Equal(t, len(used), 3, "two engines have crashed, and one is isolated: %v", used)
	for num := range 12 {
		har.answerInFull(sameRequest("", fmt.Sprint("work-", num)))
	}
	exclusive := grantedEngine(har.sends, "waits")
	assert.Assert(t, exclusive != "" && !used[exclusive], exclusive)
	for num := range 8 {
		name := fmt.Sprint("beside-", num)
		assert.Assert(t, grantedEngine(har.reserve(sameRequest(name, name)), name) != exclusive, "the suspected request runs exclusively")
	}
	har.reportCrash(sameRequest("poison", "waits"), exclusive)
	assert.Equal(t, refusalReason(har.reserve(sameRequest("poison", "last")), "last"), reservation.ReasonHeld)
	changed := sameRequest("changed", "changed")
	assert.Assert(t, grantedEngine(har.reserve(changed), "changed") != "", "a changed request counts as another one")
}

// A crashed engine gets no request while its entry is still registered, unless all engines have
// crashed.
func TestCrashedEngineGetsNoGrants(t *testing.T) {
	har := newHarness(newModelEngines(2)...)
	first := sameRequest("one", "one")
	crashed := grantedEngine(har.reserve(first), "one")
	har.reportCrash(first, crashed)
	for num := range 6 {
		name := fmt.Sprint("next-", num)
		assert.Assert(t, grantedEngine(har.reserve(sameRequest(name, name)), name) != crashed)
	}
	second := sameRequest("next-0", "next-0")
	har.reportCrash(second, grantedEngine(har.sends, "next-0"))
	assert.Assert(t, grantedEngine(har.reserve(sameRequest("last", "last")), "last") != "", "an engine that is reported as crashed may still run")
}

// A suspected request that waits for an engine to run on exclusively is refused when its maximum
// wait ends.
func TestSuspectedRequestIsRefusedInTime(t *testing.T) {
	har := newHarness(newModelEngines(5)...)
	for num := range 10 {
		har.reserve(sameRequest(fmt.Sprint("work-", num), fmt.Sprint("work-", num)))
	}
	for num := range 2 {
		name := fmt.Sprint("poison-", num)
		har.reportCrash(sameRequest("poison", name), grantedEngine(har.reserve(sameRequest("poison", name)), name))
	}
	har.reserve(sameRequest("poison", "waits"))
	assert.Equal(t, refusalReason(har.advance(300*time.Millisecond), "waits"), reservation.ReasonOverload)
}

// A new coordinator continues with the cases that were reported to it.
func TestNewCoordinatorContinuesCases(t *testing.T) {
	har := newHarness(newModelEngines(6)...)
	for num := range 2 {
		name := fmt.Sprint("poison-", num)
		har.reportCrash(sameRequest("poison", name), grantedEngine(har.reserve(sameRequest("poison", name)), name))
	}
	next := newHarness(newModelEngines(6)...)
	next.now = har.now
	for _, rep := range har.core.CaseReports(har.now, quarantine.LevelWatched, 10) {
		next.handle(scheduler.Received{From: peerEpoch, Message: reservation.CaseReport{Report: rep}})
	}
	next.now = next.now.Add(time.Second)
	exclusive := grantedEngine(next.reserve(sameRequest("poison", "three")), "three")
	next.reportCrash(sameRequest("poison", "three"), exclusive)
	assert.Equal(t, refusalReason(next.reserve(sameRequest("poison", "four")), "four"), reservation.ReasonHeld)
}

// One poison request crashes at most three engines, at any size of the service, and no harmless
// request is held for it; five poison requests crash at most fifteen. Random crashes cause no
// request to be held. BenchmarkQuarantinePolicies compares this with other policies.
func TestPoisonRequestsCrashFewEngines(t *testing.T) {
	for _, size := range []int{4, 18, 60} {
		for _, poisonClients := range []int{0, 1, 5} {
			t.Run(fmt.Sprint(size, " engines, poison clients: ", poisonClients), func(t *testing.T) {
				res := newCrashSim(crashSimConfig{seed: 3, engines: size, poisonClients: poisonClients, duration: 25 * time.Second}).run()
				assert.Assert(t, res.crashed <= 3*poisonClients, "%+v", res)
				assert.Assert(t, poisonClients > 1 || res.held == 0, "%+v", res)
			})
		}
		t.Run(fmt.Sprint(size, " engines, random crashes"), func(t *testing.T) {
			res := newCrashSim(crashSimConfig{seed: 3, engines: size, randomCrashRate: 1.0 / 60, duration: 25 * time.Second}).run()
			assert.Equal(t, res.held, 0, "%+v", res)
		})
	}
}

// A client that changes its poison request each time crashes a few engines, not one with each
// request.
func TestVaryingPoisonRequestsCrashFewEngines(t *testing.T) {
	res := newCrashSim(crashSimConfig{seed: 3, engines: 18, poisonClients: 1, varied: true, duration: 40 * time.Second}).run()
	assert.Assert(t, res.crashed <= 20, "148 of 148 poison requests crash an engine unless their traffic source is restricted: %+v", res)
}

// crashPolicies are the quarantine policies to compare: no quarantine, hold a request after three
// or two crashes whatever ran beside it, and run a request exclusively after its first or, by
// default, its second crash.
var crashPolicies = []struct {
	name   string
	policy quarantine.Config
}{
	{"none", quarantine.Config{SuspectAt: 1000, HoldAt: 1000, HoldExclusiveAt: 1000}},
	{"hold-at-third-crash", quarantine.Config{SuspectAt: 1000, HoldAt: 3, HoldExclusiveAt: 1000}},
	{"hold-at-second-crash", quarantine.Config{SuspectAt: 1000, HoldAt: 2, HoldExclusiveAt: 1000}},
	{"exclusive-from-first-crash", quarantine.Config{SuspectAt: 1, HoldAt: 3, HoldExclusiveAt: 2}},
	{"exclusive-from-second-crash", quarantine.Config{}},
}

// BenchmarkQuarantinePolicies reports the cost of each policy: engines crashed by poison requests,
// harmless requests lost and held per 10,000, and the time of the last crash.
func BenchmarkQuarantinePolicies(b *testing.B) {
	for _, size := range []int{4, 18, 60, 650} {
		for _, kind := range []struct {
			name          string
			poisonClients int
			varied        bool
			crashRate     float64
		}{
			{"no-crashes", 0, false, 0},
			{"random-crashes", 0, false, 1.0 / 60},
			{"many-random-crashes", 0, false, 1.0 / 10},
			{"one-poison-client", 1, false, 0},
			{"one-poison-client-and-random-crashes", 1, false, 1.0 / 60},
			{"five-poison-clients", 5, false, 0},
			{"one-client-with-varied-poison", 1, true, 0},
		} {
			for _, policy := range crashPolicies {
				b.Run(fmt.Sprintf("%d/%s/%s", size, kind.name, policy.name), func(b *testing.B) {
					seeds := uint64(max(1, 40/size))
					var sum crashResult
					for b.Loop() {
						sum = crashResult{}
						for seed := range seeds {
							res := newCrashSim(crashSimConfig{
								seed: seed, engines: size, poisonClients: kind.poisonClients, varied: kind.varied, randomCrashRate: kind.crashRate, policy: policy.policy, duration: 40 * time.Second,
							}).run()
							sum.crashed += res.crashed
							sum.sent += res.sent
							sum.served += res.served
							sum.lost += res.lost
							sum.held += res.held
							sum.lastCrash += res.lastCrash
						}
					}
					b.ReportMetric(float64(sum.crashed)/float64(seeds), "crashed")
					b.ReportMetric(10000*float64(sum.lost)/float64(sum.sent), "lost")
					b.ReportMetric(10000*float64(sum.held)/float64(sum.sent), "held")
					b.ReportMetric(100*float64(sum.served)/float64(sum.sent), "served%")
					b.ReportMetric(sum.lastCrash.Seconds()/float64(seeds), "s-last-crash")
				})
			}
		}
	}
}

// BenchmarkManyWaiting measures a tick while a thousand requests wait and one engine has crashed.
// In the second case a thousand unconfirmed crashes have been reported too, and one more is
// reported before each tick.
func BenchmarkManyWaiting(b *testing.B) {
	for _, unconfirmed := range []int{0, 1000} {
		b.Run(fmt.Sprint(unconfirmed, "unconfirmed"), func(b *testing.B) {
			har := newHarness(newModelEngines(2)...)
			first := sameRequest("poison", "poison")
			har.reportCrash(first, grantedEngine(har.reserve(first), "poison"))
			for num := range unconfirmed {
				har.reportUnconfirmedCrash(num)
			}
			for num := range 1024 {
				name := fmt.Sprint("wait-", num)
				res := sameRequest(name, name)
				res.LatencyTarget, res.Remaining = time.Hour, time.Hour
				har.reserve(res)
			}
			for b.Loop() {
				if unconfirmed > 0 {
					har.reportUnconfirmedCrash(0)
				}
				har.advance(time.Microsecond)
			}
		})
	}
}

// reportUnconfirmedCrash reports a broken connection to an engine that may still run.
func (har *harness) reportUnconfirmedCrash(num int) {
	res := sameRequest(fmt.Sprint("unconfirmed-", num), fmt.Sprint("unconfirmed-", num))
	har.handle(scheduler.Received{From: peerEpoch, Message: reservation.EngineCrashed{
		ID: res.ID, Observation: quarantine.Observation{Subject: res.Subject(), Engine: "e01"}, Unconfirmed: true,
	}})
}

// Guards against a false hold: one crash of an engine counted twice, since the report of one host
// arrived later after that of another host than the request had run. A popular request was held at
// its second crash. Only a request that this core granted after it knew of the crash, or that its own
// host sent after that, was part of another crash.
func TestDelayedReportOfCrashCountsOnce(t *testing.T) {
	for name, from := range map[string]request.Epoch{"from a gateway": peerEpoch, "from the own gateway": ownEpoch} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(newModelEngines(6)...)
			res := sameRequest("popular", "one")
			har.handle(scheduler.Received{From: peerEpoch, Message: reservation.CaseReport{Report: quarantine.Report{Subject: res.Subject(), Crashes: []quarantine.Crash{{Engine: "e01"}}}}})
			har.now = har.now.Add(330 * time.Millisecond)
			obs := quarantine.Observation{Subject: res.Subject(), Engine: "e01"}
			if from == ownEpoch {
				obs.Began = har.now.Add(-350 * time.Millisecond)
			}
			har.handle(scheduler.Received{From: from, Message: reservation.EngineCrashed{ID: res.ID, Observation: obs}})
			assert.Equal(t, len(har.core.CaseReports(har.now, quarantine.LevelWatched, 1)[0].Crashes), 1)
		})
	}
}

// An engine that restarts and crashes once more before the store shows its new run has crashed twice.
func TestSecondCrashOfRunIsCounted(t *testing.T) {
	har := newHarness(newModelEngines(1)...)
	for num := range 2 {
		res := sameRequest("poison", fmt.Sprint(num))
		engine := grantedEngine(append(har.reserve(res), har.advance(3*time.Second)...), fmt.Sprint(num))
		assert.Equal(t, engine, "e00")
		har.reportCrash(res, engine)
	}
	assert.Equal(t, len(har.core.CaseReports(har.now, quarantine.LevelWatched, 1)[0].Crashes), 2)
}

// An engine cuts off an answer and then answers a request that it was granted later: it has not crashed,
// although its entry is deleted within ten seconds and no gateway has checked it.
func TestEngineThatAnswersLaterHasNotCrashed(t *testing.T) {
	for name, answers := range map[string]func(har *harness, res reservation.Reserve){
		"no answer": func(*harness, reservation.Reserve) {},
		"first token": func(har *harness, res reservation.Reserve) {
			har.handle(scheduler.Received{From: peerEpoch, Message: reservation.Progress{ID: res.ID, FirstToken: time.Millisecond}})
		},
		"complete answer": (*harness).answerInFull,
	} {
		t.Run(name, func(t *testing.T) {
			engines := newModelEngines(1)
			har := newHarness(engines...)
			cut, later := sameRequest("cut", "cut"), sameRequest("later", "later")
			har.reserve(cut)
			har.handle(scheduler.Received{From: peerEpoch, Message: reservation.EngineCrashed{
				ID: cut.ID, Observation: quarantine.Observation{Subject: cut.Subject(), Engine: "e00"}, Unconfirmed: true,
			}})
			har.release(reservation.Release{ID: cut.ID, Engine: "e00", Dispatched: true, Failed: true})
			har.now = har.now.Add(time.Second)
			assert.Equal(t, grantedEngine(har.reserve(later), "later"), "e00")
			answers(har, later)
			har.handle(scheduler.EnginesChanged{})
			assert.Equal(t, har.core.HasCase(cut.Digest), name == "no answer")
		})
	}
}

// The gateway of a poison request that ran exclusively confirms the crash after it has released the
// engine. The request is held then.
func TestExclusiveCrashThatIsConfirmedLaterHoldsRequest(t *testing.T) {
	har := newHarness(newModelEngines(6)...)
	for num := range 2 {
		name := fmt.Sprint("poison-", num)
		har.reportCrash(sameRequest("poison", name), grantedEngine(har.reserve(sameRequest("poison", name)), name))
	}
	last := sameRequest("poison", "last")
	engine := grantedEngine(har.reserve(last), "last")
	msg := reservation.EngineCrashed{ID: last.ID, Observation: quarantine.Observation{Subject: last.Subject(), Engine: engine, Check: quarantine.CheckRunning}, Unconfirmed: true}
	har.handle(scheduler.Received{From: peerEpoch, Message: msg})
	har.release(reservation.Release{ID: last.ID, Engine: engine, Dispatched: true, Failed: true})
	msg.Unconfirmed, msg.Check = false, quarantine.CheckNone
	har.handle(scheduler.Received{From: peerEpoch, Message: msg})
	assert.Equal(t, refusalReason(har.reserve(sameRequest("poison", "next")), "next"), reservation.ReasonHeld)
	rep := har.core.CaseReports(har.now, quarantine.LevelHeld, 1)[0]
	assert.Assert(t, rep.Crashes[2].Alone)
}

// Guards against a false hold where too few engines are left to isolate one: a popular request that had
// run beside two crashes was granted the engine that ran the poison request, and was held with it at the
// third crash. Suspected requests run beside others there, but never beside one another.
func TestSuspectedRequestsRunApartOnFewEngines(t *testing.T) {
	har := newHarness(newModelEngines(1)...)
	for _, name := range []string{"poison", "popular"} {
		har.handle(scheduler.Received{From: peerEpoch, Message: reservation.CaseReport{Report: quarantine.Report{
			Subject: sameRequest(name, name).Subject(), Crashes: []quarantine.Crash{{Engine: "x"}, {Engine: "y"}},
		}}})
	}
	poison, popular := sameRequest("poison", "poison"), sameRequest("popular", "popular")
	assert.Equal(t, grantedEngine(har.reserve(poison), "poison"), "e00")
	assert.Equal(t, grantedEngine(har.reserve(popular), "popular"), "", "the engine runs another suspected request")
	assert.Equal(t, grantedEngine(har.reserve(sameRequest("other", "other")), "other"), "e00", "a request without crashes doesn't wait")
	har.reportCrash(poison, "e00")
	assert.Equal(t, refusalReason(har.reserve(sameRequest("poison", "again")), "again"), reservation.ReasonHeld)
	assert.Equal(t, len(har.core.CaseReports(har.now, quarantine.LevelHeld, 2)), 1, "the popular request isn't held")
}

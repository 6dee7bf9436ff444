package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

// Guards against streams that a host refuses right after its start because its copy of the store isn't confirmed yet: they
// wait for that, for as long as for an engine.
func TestResumptionAwaitsFirstConfirmation(t *testing.T) {
	start := func() *harness {
		har := &harness{core: scheduler.New(scheduler.Config{Share: limitshare.Whole, Self: ownEpoch}), now: time.Unix(5000, 0), cutOff: true}
		har.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1"}}}})
		har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{versionedModel("e1", "v1")}})
		return har
	}
	har := start()
	assert.Equal(t, outcomeOf(har.reserve(resumption("again", "unknown"))), "none")
	assert.Assert(t, har.core.HasWaiting())
	assert.Equal(t, outcomeOf(har.handle(scheduler.CopyConfirmed{At: har.now})), "e1")
	har = start()
	res := resumption("again", "unknown")
	har.reserve(res)
	har.now = har.now.Add(res.MaxWait())
	assert.Equal(t, outcomeOf(har.handle(scheduler.Tick{})), "Version")
	har.reserve(res)
	har.handle(scheduler.Received{From: peerEpoch, Message: reservation.Withdraw{ID: res.ID}})
	assert.Assert(t, !har.core.HasWaiting())
	har.reserve(res)
	har.handle(scheduler.GatewayLost{Gateway: peerEpoch})
	assert.Assert(t, !har.core.HasWaiting())
}

// Guards against streams that a host refuses to begin right after its start, when its copy of the store will be confirmed in
// a moment.
func TestBeginningStreamAwaitsFirstConfirmation(t *testing.T) {
	har := &harness{core: scheduler.New(scheduler.Config{Share: limitshare.Whole, Self: ownEpoch}), now: time.Unix(5000, 0), cutOff: true}
	har.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1"}}}})
	har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{versionedModel("e1", "v1")}})
	res := promptReservation("begins", 10)
	res.Stream, res.StreamLife = affinity.StreamOf("", "begins"), playedLife
	assert.Equal(t, outcomeOf(har.reserve(res)), "none")
	assert.Equal(t, outcomeOf(har.reserve(promptReservation("other", 10))), "e1", "streams that aren't resumed")
	assert.Equal(t, outcomeOf(har.handle(scheduler.CopyConfirmed{At: har.now})), "e1")
}

// Guards against a resumption that is refused, or goes on at another version, because it overtakes the report of the first
// event of its stream: it waits for that, for as long as it may wait at all.
func TestResumptionWaitsForTheReportOfItsStream(t *testing.T) {
	elsewhere := reservation.StreamsBegan{Batch: affinity.Batch{Origin: affinity.Origin{Service: "model", Version: "v2"}, KeepFor: time.Minute, Streams: []affinity.Stream{affinity.StreamOf("", "begun")}}}
	for name, tst := range map[string]struct {
		// report is what arrives while the resumption waits; nil for nothing.
		report reservation.Message
		want   string
		after  time.Duration
		// elsewhere is set if the gateway gives up waiting for this core, and asks its own.
		elsewhere bool
	}{
		"first event here":      {report: reservation.Progress{ID: requestID("begun"), FirstToken: time.Millisecond}, want: "e1"},
		"first event elsewhere": {report: elsewhere, want: "e2"},
		"granted elsewhere":     {report: elsewhere, elsewhere: true, want: "e2"},
		"no report":             {after: 235 * time.Millisecond, want: "Version"},
		"withdrawn":             {report: reservation.Withdraw{ID: requestID("again")}, after: 235 * time.Millisecond, want: "none"},
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(versionedModel("e1", "v1"))
			har.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1", "v2"}}}})
			begin := promptReservation("begun", 10)
			begin.Stream, begin.StreamLife = affinity.StreamOf("", "begun"), playedLife
			assert.Equal(t, outcomeOf(har.reserve(begin)), "e1")
			har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{versionedModel("e1", "v1"), versionedModel("e2", "v2")}})
			if tst.elsewhere {
				har.handle(scheduler.Received{From: peerEpoch, Message: reservation.Withdraw{ID: begin.ID}})
			}
			assert.Equal(t, outcomeOf(har.reserve(resumption("again", "begun"))), "none")
			assert.Assert(t, har.core.HasWaiting())
			var sends []scheduler.Send
			if tst.report != nil {
				sends = har.handle(scheduler.Received{From: peerEpoch, Message: tst.report})
			}
			if tst.after > 0 {
				assert.Equal(t, outcomeOf(har.advance(tst.after-1)), "none")
				sends = har.advance(1)
			}
			assert.Equal(t, outcomeOf(sends), tst.want)
			assert.Assert(t, !har.core.HasWaiting())
			if tst.want == "Version" {
				assert.Assert(t, sends[0].Message.(reservation.Refuse).RetryAfter > 0, "the report may still come")
			}
		})
	}
}

// Guards against a resumption that is refused at once, and for good, at a host that schedules for itself: another core
// granted the stream, and its origin is reported a moment later. A host with an old copy of the store refuses at once, so
// that the client turns to another one.
func TestResumptionWaitsWhileOthersSchedule(t *testing.T) {
	for name, tst := range map[string]struct {
		others, reported bool
		cutOff           time.Duration
		at, after        string
		comesBack        bool
	}{
		"reported":             {others: true, reported: true, at: "none", after: "e2"},
		"no report":            {others: true, at: "none", after: "Version", comesBack: true},
		"old copy":             {others: true, cutOff: affinity.MaxSoleAge + 1, at: "Version", comesBack: true},
		"no others schedule":   {at: "Version"},
		"no others, reported":  {reported: true, at: "Version"},
		"current for a moment": {others: true, reported: true, cutOff: affinity.MaxSoleAge, at: "none", after: "e2"},
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(versionedModel("e1", "v1"), versionedModel("e2", "v2"))
			har.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1", "v2"}}}})
			har.handle(scheduler.HostsChanged{Hosts: 3, OthersSchedule: tst.others})
			har.cutOff = tst.cutOff > 0
			har.now = har.now.Add(tst.cutOff)
			res := resumption("again", "begun")
			sends := har.reserve(res)
			assert.Equal(t, outcomeOf(sends), tst.at)
			if tst.at == "none" {
				assert.Equal(t, outcomeOf(har.advance(res.MaxWait()-1)), "none")
				if tst.reported {
					sends = har.handle(scheduler.Received{From: peerEpoch, Message: reservation.StreamsBegan{Batch: affinity.Batch{Origin: affinity.Origin{Service: "model", Version: "v2"}, KeepFor: time.Minute, Streams: []affinity.Stream{res.Stream}}}})
				} else {
					sends = har.advance(1)
				}
				assert.Equal(t, outcomeOf(sends), tst.after)
			}
			if ref, refused := sends[0].Message.(reservation.Refuse); refused {
				assert.Equal(t, ref.RetryAfter > 0, tst.comesBack)
			}
			assert.Assert(t, !har.core.HasWaiting())
		})
	}
}

// Guards against a resumption that is refused although an engine of its version is free, because the origin of its stream
// was reported at the end of its wait.
func TestResumptionReportedAtItsLastMomentIsGranted(t *testing.T) {
	har := newHarness(versionedModel("e1", "v1"), versionedModel("e2", "v2"))
	har.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1", "v2"}}}})
	har.handle(scheduler.HostsChanged{Hosts: 3, OthersSchedule: true})
	res := resumption("again", "begun")
	assert.Equal(t, outcomeOf(har.reserve(res)), "none")
	har.now, har.cutOff = har.now.Add(res.MaxWait()), true
	sends := har.handle(scheduler.Received{From: peerEpoch, Message: reservation.StreamsBegan{Batch: affinity.Batch{Origin: affinity.Origin{Service: "model", Version: "v2"}, KeepFor: time.Minute, Streams: []affinity.Stream{res.Stream}}}})
	assert.Equal(t, outcomeOf(sends), "e2")
	assert.Assert(t, !har.core.HasWaiting())
}

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

func versionedModel(name, version string) fleet.Engine {
	eng := modelEngine(name)
	eng.Version = version
	return eng
}

// resumption returns a reservation that resumes the account's stream.
func resumption(name, stream string) reservation.Reserve {
	res := promptReservation(name, 100)
	res.Resumed, res.Repeatable, res.Stream, res.StreamLife = true, true, affinity.StreamOf(res.Account, stream), 30*time.Second
	return res
}

// record records which version began streams.
func (har *harness) record(service, version string, streams ...string) {
	bat := affinity.Batch{Origin: affinity.Origin{Service: service, Version: version}, KeepFor: time.Minute}
	for _, str := range streams {
		bat.Streams = append(bat.Streams, affinity.StreamOf("", str))
	}
	har.handle(scheduler.Received{From: peerEpoch, Message: reservation.StreamsBegan{Batch: bat}})
}

// outcomeOf returns the granted engine, or the reason of the refusal.
func outcomeOf(sends []scheduler.Send) string {
	for _, snd := range sends {
		switch msg := snd.Message.(type) {
		case reservation.Grant:
			return msg.Engine
		case reservation.Refuse:
			return msg.Reason.String()
		}
	}
	return "none"
}

// A stream is resumed at the version that began it. A stream that isn't known is resumed only if one version alone can
// have begun it; one of another service, or of a version that is gone, is refused.
func TestResumptionIsLimitedToItsVersion(t *testing.T) {
	first, second := versionedModel("e1", "v1"), versionedModel("e2", "v2")
	draining := second
	draining.Draining = true
	for name, tst := range map[string]struct {
		engines [][]fleet.Engine
		wait    time.Duration
		stream  string
		account string
		// record are the versions that the store names when the core starts; nil stands for no record.
		record []string
		// era is the store's era; the record is of era 0.
		era uint64
		// cutOff is how long the host has been cut off from the store when the stream is resumed.
		cutOff time.Duration
		want   string
	}{
		"first version":                     {engines: [][]fleet.Engine{{first, second}}, stream: "one", want: "e1"},
		"second version":                    {engines: [][]fleet.Engine{{first, second}}, stream: "two", want: "e2"},
		"version gone":                      {engines: [][]fleet.Engine{{first, second}, {first}}, stream: "two", want: "Version"},
		"version drains":                    {engines: [][]fleet.Engine{{first, draining}}, stream: "two", want: "Version"},
		"other service":                     {engines: [][]fleet.Engine{{first}}, stream: "elsewhere", want: "Version"},
		"unknown, two versions":             {engines: [][]fleet.Engine{{first, second}}, stream: "unknown", want: "Version"},
		"no attempt named, two versions":    {engines: [][]fleet.Engine{{first, second}}, want: "Version"},
		"of another account":                {engines: [][]fleet.Engine{{first, second}}, stream: "one", account: "other", want: "Version"},
		"unknown, one version":              {engines: [][]fleet.Engine{{first}}, record: []string{"v1"}, stream: "unknown", want: "e1"},
		"unknown, one listed, two recorded": {engines: [][]fleet.Engine{{first}}, record: []string{"v1", "v2"}, stream: "unknown", want: "Version"},
		"unknown, one listed, no record":    {engines: [][]fleet.Engine{{first}}, stream: "unknown", want: "Version"},
		"unknown, no record for long":       {engines: [][]fleet.Engine{{first}}, wait: 40 * time.Second, stream: "unknown", want: "Version"},
		"unknown, earlier record for long":  {engines: [][]fleet.Engine{{first}}, record: []string{}, era: 1, wait: 40 * time.Second, stream: "unknown", want: "e1"},
		"unknown, earlier record of now":    {engines: [][]fleet.Engine{{first}}, record: []string{}, era: 1, stream: "unknown", want: "Version"},
		"unknown, one version, old copy":    {engines: [][]fleet.Engine{{first}}, record: []string{"v1"}, cutOff: affinity.MaxSoleAge + 1, stream: "unknown", want: "Version"},
		"unknown, one version, newer copy":  {engines: [][]fleet.Engine{{first}}, record: []string{"v1"}, cutOff: affinity.MaxSoleAge, stream: "unknown", want: "e1"},
		"first version, old copy":           {engines: [][]fleet.Engine{{first, second}}, record: []string{"v1"}, cutOff: time.Minute / 2, stream: "one", want: "e1"},
		"unknown, another version left now": {engines: [][]fleet.Engine{{first, second}, {first}}, wait: 20 * time.Second, record: []string{}, era: 1, stream: "unknown", want: "Version"},
		"unknown, another version long ago": {engines: [][]fleet.Engine{{first, second}, {first}}, record: []string{}, era: 1, wait: 40 * time.Second, stream: "unknown", want: "e1"},
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			if tst.record != nil {
				har.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": tst.record}}, Era: tst.era})
			}
			for _, engines := range tst.engines {
				har.handle(scheduler.EnginesChanged{Engines: engines})
			}
			har.record("model", "v1", "one")
			har.record("model", "v2", "two")
			har.record("plain", "v1", "elsewhere")
			for passed := time.Duration(0); passed < tst.wait; passed += time.Second {
				har.now = har.now.Add(time.Second)
				har.handle(scheduler.Tick{})
			}
			har.cutOff = tst.cutOff > 0
			har.now = har.now.Add(tst.cutOff)
			res := resumption("again", tst.stream)
			res.Stream = affinity.StreamOf(tst.account, tst.stream)
			assert.Equal(t, outcomeOf(har.reserve(res)), tst.want)
		})
	}
}

// Guards against streams that a host begins at a version of which the others may have forgotten: a host that is alone and
// hasn't heard from the store for long begins none, one that leads most hosts does.
func TestLoneHostWithOldCopyBeginsNoStreams(t *testing.T) {
	for name, tst := range map[string]struct {
		cutOff time.Duration
		leads  bool
		want   string
	}{
		"current copy":          {affinity.MaxSoleAge, false, "e1"},
		"old copy":              {affinity.MaxSoleAge + 1, false, "CopyStale"},
		"old copy, leads hosts": {time.Minute, true, "e1"},
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(versionedModel("e1", "v1"))
			har.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1"}}}})
			har.handle(scheduler.HostsChanged{Hosts: 4, Leads: tst.leads})
			har.cutOff = true
			har.now = har.now.Add(tst.cutOff)
			res := promptReservation("begins", 10)
			res.Stream, res.StreamLife = affinity.StreamOf("", "begins"), playedLife
			assert.Equal(t, outcomeOf(har.reserve(res)), tst.want)
			assert.Equal(t, outcomeOf(har.reserve(promptReservation("other", 10))), "e1", "streams that aren't resumed")
		})
	}
}

// Guards against clients that give a stream up because of a host whose copy of the store is old: another one may know it.
func TestClientComesBackAfterRefusalFromOldCopy(t *testing.T) {
	for cutOff, comesBack := range map[time.Duration]bool{0: false, affinity.MaxSoleAge + 1: true} {
		har := newHarness(versionedModel("e1", "v1"), versionedModel("e2", "v2"))
		har.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1", "v2"}}}})
		har.cutOff = true
		har.now = har.now.Add(cutOff)
		sends := har.reserve(resumption("again", "unknown"))
		ref, isRefusal := sends[0].Message.(reservation.Refuse)
		assert.Assert(t, isRefusal)
		assert.Equal(t, ref.RetryAfter > 0, comesBack)
	}
}

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

// Guards against resumed streams that are refused while new ones begin, when few engines of their version are
// left and all are full: they go first when a slot becomes free.
func TestResumedStreamsGoFirstAtTheEnginesOfTheirVersion(t *testing.T) {
	engines := []fleet.Engine{versionedModel("old", "v1")}
	for num := range 4 {
		engines = append(engines, versionedModel(fmt.Sprintf("new-%d", num), "v2"))
	}
	har := newHarness()
	har.core = scheduler.New(scheduler.Config{Share: limitshare.Whole, Self: ownEpoch, FairShares: true})
	har.handle(scheduler.EnginesChanged{Engines: engines})
	har.record("model", "v1", "begun")
	granted := 0
	for num := range 100 {
		res := promptReservation(fmt.Sprintf("fresh-%d", num), 10)
		res.Account = fmt.Sprintf("account-%d", num)
		for _, snd := range har.reserve(res) {
			if _, isGrant := snd.Message.(reservation.Grant); isGrant {
				granted++
			}
		}
	}
	assert.Assert(t, granted >= 40 && granted < 100, granted)
	assert.Equal(t, outcomeOf(har.reserve(resumption("again", "begun"))), "none")
	for _, snd := range har.sends {
		gra, isGrant := snd.Message.(reservation.Grant)
		if isGrant && gra.Engine == "old" {
			sends := har.release(reservation.Release{ID: gra.ID, Engine: "old", Dispatched: true, Answered: true, Total: time.Second, FirstToken: time.Millisecond})
			if got := outcomeOf(sends); got != "none" {
				assert.Equal(t, got, "old")
				assert.Equal(t, sends[0].Message.(reservation.Grant).ID, requestID("again"))
				return
			}
		}
	}
	t.Fatal("the resumed stream gets no engine")
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

// A stream that may crash its engine is isolated at an engine of its own version.
func TestSuspectedResumptionStaysAtItsVersion(t *testing.T) {
	har := newHarness(versionedModel("a", "v1"), versionedModel("b", "v1"), versionedModel("c", "v1"), versionedModel("d", "v2"), versionedModel("e", "v2"), versionedModel("f", "v2"))
	har.record("model", "v2", "begun")
	dig := call.Digest{1}
	for _, engine := range []string{"x", "y"} {
		har.handle(scheduler.Received{From: peerEpoch, Message: reservation.EngineCrashed{Observation: quarantine.Observation{Subject: quarantine.Subject{Digest: dig, Service: "model"}, Engine: engine}}})
	}
	res := resumption("again", "begun")
	res.Digest = dig
	assert.Equal(t, outcomeOf(har.reserve(res)), "d")
}

// A stream that may be resumed begins only at a version that the store names and opens: a host that starts after the loss
// of all others knows no other, and one that is out of step knows only those before. Other requests don't wait for that.
func TestStreamsBeginAtRecordedVersions(t *testing.T) {
	har := newHarness()
	har.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1"}}}})
	har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{versionedModel("new", "v2")}})
	res := promptReservation("begins", 10)
	res.Stream, res.StreamLife = affinity.StreamOf("", "begins"), playedLife
	assert.Equal(t, outcomeOf(har.reserve(res)), "none")
	assert.Equal(t, outcomeOf(har.reserve(promptReservation("other", 10))), "new")
	rec, change := har.core.NextVersions(har.now, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Equal(t, outcomeOf(har.handle(scheduler.VersionsRecorded{Record: rec})), "none", "only announced")
	_, change = har.core.NextVersions(har.now, 0, rec.Number-1)
	assert.Equal(t, change, affinity.ChangeNone, "a host may not know of it")
	rec, change = har.core.NextVersions(har.now, 0, rec.Number)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Equal(t, outcomeOf(har.handle(scheduler.VersionsRecorded{Record: rec})), "new")
}

// Guards against a log that tells a stream that waited for a version to open from one that waited for room by nothing.
func TestDecisionNamesEnginesThatAreNotOpen(t *testing.T) {
	har := newHarness()
	har.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1"}}}})
	har.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{versionedModel("new", "v2")}})
	res := promptReservation("begins", 10)
	res.Stream, res.StreamLife = affinity.StreamOf("", "begins"), playedLife
	har.reserve(res)
	sends := har.advance(res.LatencyTarget)
	assert.Equal(t, outcomeOf(sends), "Overload")
	assert.Equal(t, sends[0].Inputs.Unopened, 1)
	sends = har.reserve(promptReservation("other", 10))
	assert.Equal(t, sends[0].Inputs.Unopened, 0, "it waits for no version")
}

// versionPlay plays cores of one host after another, with what their store keeps.
type versionPlay struct {
	*harness
	engines map[string]fleet.Engine
	// record and origins are what the store has.
	record  affinity.Record
	origins []affinity.Batch
	// streams are those that began, began is the version that began each stream, beganAt when.
	streams []string
	began   map[string]string
	beganAt map[string]time.Time
	next    int
	// unreported are the origins that were not reported yet, resumes is the stream that each reservation resumes.
	unreported []affinity.Batch
	resumes    map[string]string
}

// playedLife is how long a client resumes a stream.
const playedLife = 30 * time.Second

func (vpl *versionPlay) list() {
	var list []fleet.Engine
	for _, eng := range vpl.engines {
		list = append(list, eng)
	}
	vpl.handle(scheduler.EnginesChanged{Engines: list})
}

// store makes the store's next record, as hosts do; done says whether the store carries the write out.
func (vpl *versionPlay) store(done bool) {
	rec, change := vpl.core.NextVersions(vpl.now, 0, 0)
	if known := vpl.core.Versions(); known.Number > vpl.record.Number {
		rec, change = known, affinity.ChangeReduces
	}
	if change == affinity.ChangeReduces {
		vpl.handle(scheduler.VersionsRecorded{Record: rec})
	}
	if !done || change == affinity.ChangeNone {
		return
	}
	vpl.record = rec
	vpl.handle(scheduler.VersionsRecorded{Record: rec})
}

// restart replaces the core by one that knows only what the store has.
func (vpl *versionPlay) restart() {
	vpl.core = newHarness().core
	if vpl.record.Number > 0 {
		vpl.handle(scheduler.VersionsRecorded{Record: vpl.record})
	}
	for _, bat := range vpl.origins {
		vpl.handle(scheduler.Received{From: peerEpoch, Message: reservation.StreamsBegan{Batch: bat}})
	}
	vpl.list()
}

// begin begins a stream if an engine is granted. Its origin is lost with the core unless kept is set.
func (vpl *versionPlay) begin(kept bool) {
	vpl.next++
	stream := fmt.Sprint("stream-", vpl.next)
	res := promptReservation(stream, 10)
	res.Stream, res.StreamLife = affinity.StreamOf("", stream), playedLife
	engine := outcomeOf(vpl.reserve(res))
	if version := vpl.engines[engine].Version; version != "" {
		vpl.began[stream], vpl.beganAt[stream] = version, vpl.now
		vpl.streams = append(vpl.streams, stream)
		bat := affinity.Batch{Origin: affinity.Origin{Service: "model", Version: version}, KeepFor: playedLife, Streams: []affinity.Stream{res.Stream}}
		if !kept {
			vpl.unreported = append(vpl.unreported, bat)
		}
		if kept {
			vpl.handle(scheduler.Received{From: peerEpoch, Message: reservation.StreamsBegan{Batch: bat}})
		}
		if kept && vpl.core.MustKeepOrigins("model") {
			vpl.origins = append(vpl.origins, bat)
		}
	}
	vpl.release(reservation.Release{ID: res.ID, Dispatched: true, Answered: true})
}

// resume resumes a stream whose client hasn't given it up.
func (vpl *versionPlay) resume(stream string) {
	if vpl.now.Sub(vpl.beganAt[stream]) > playedLife {
		return
	}
	vpl.next++
	res := resumption(fmt.Sprint("again-", vpl.next), stream)
	vpl.resumes[res.ID.Unique] = stream
	vpl.reserve(res)
}

// check checks the version of each resumption granted since the last call, and ends it.
func (vpl *versionPlay) check(rt *rapid.T) {
	sends := vpl.sends
	vpl.sends = nil
	for _, snd := range sends {
		gra, isGrant := snd.Message.(reservation.Grant)
		stream := vpl.resumes[gra.ID.Unique]
		if !isGrant || stream == "" {
			continue
		}
		if gra.Version != vpl.began[stream] {
			rt.Fatalf("stream of %s goes on at %s", vpl.began[stream], gra.Version)
		}
		vpl.release(reservation.Release{ID: gra.ID, Dispatched: true, Answered: true})
	}
}

// Whatever versions come and go, whichever streams begin and are resumed, and whenever all hosts are lost or the store is
// away, no stream is granted an engine of another version than the one that began it. Guards against a core that takes
// what it has seen since its start for all that was.
func TestNoStreamIsGrantedAnotherVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vpl := &versionPlay{harness: newHarness(), engines: make(map[string]fleet.Engine), began: make(map[string]string), beganAt: make(map[string]time.Time), resumes: make(map[string]string)}
		rt.Repeat(map[string]func(*rapid.T){
			"": vpl.check,
			"report": func(*rapid.T) {
				for _, bat := range vpl.unreported {
					vpl.handle(scheduler.Received{From: peerEpoch, Message: reservation.StreamsBegan{Batch: bat}})
				}
				vpl.unreported = nil
			},
			"engines": func(rt *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "engine")
				if rapid.Bool().Draw(rt, "leaves") {
					delete(vpl.engines, name)
				} else {
					vpl.engines[name] = versionedModel(name, rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(rt, "version"))
				}
				vpl.list()
			},
			"store":   func(rt *rapid.T) { vpl.store(rapid.IntRange(0, 3).Draw(rt, "done") > 0) },
			"restart": func(*rapid.T) { vpl.restart() },
			"begin":   func(rt *rapid.T) { vpl.begin(rapid.Bool().Draw(rt, "kept")) },
			"resume": func(rt *rapid.T) {
				if len(vpl.streams) == 0 {
					return
				}
				stream := rapid.SampledFrom(vpl.streams).Draw(rt, "stream")
				vpl.resume(stream)
			},
			"wait": func(rt *rapid.T) {
				vpl.advance(time.Duration(rapid.SampledFrom([]int{1, 1, 5, 20}).Draw(rt, "seconds")) * time.Second)
			},
		})
	})
}

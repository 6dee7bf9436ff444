package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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

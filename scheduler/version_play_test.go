package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

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

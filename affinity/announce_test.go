package affinity_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/request"
)

// recordOf returns a record that names versions of the service menus, and announces some of them.
func recordOf(number uint64, versions []string, announced ...string) affinity.Record {
	rec := affinity.Record{Number: number, Life: 30 * time.Second, Versions: map[string][]string{"menus": versions}}
	if len(announced) > 0 {
		rec.Announced = map[string][]string{"menus": announced}
	}
	return rec
}

// Guards against streams that begin at a version while a host may still take another one for the only one: a version that
// joins is announced first, and opened once all hosts know of it or conclude nothing any more.
func TestVersionIsAnnouncedBeforeItOpens(t *testing.T) {
	his := affinity.NewHistory()
	his.Confirm(start)
	his.Observe(start, "menus", []string{"v1"})
	rec, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Assert(t, rec.Announced == nil, "no host concludes anything without a record")
	his.Apply(start, rec, 0)
	his.Observe(start, "menus", []string{"v1", "v2"})
	rec, _ = his.Next(start, 0, 0)
	assert.DeepEqual(t, rec.Announced, map[string][]string{"menus": {"v2"}})
	his.Apply(start, rec, 0)
	assert.Assert(t, his.IsOpen("menus", "v1") && !his.IsOpen("menus", "v2"))
	_, sole := his.Sole(start, "menus", time.Second)
	assert.Assert(t, !sole, "v2 may open at any moment")
	_, change = his.Next(start, 0, rec.Number-1)
	assert.Equal(t, change, affinity.ChangeNone, "a host doesn't know of it")
	next, change := his.Next(start, 0, rec.Number)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Equal(t, len(next.Announced), 0, "all hosts know of it")
	late := start.Add(affinity.OpenAfter)
	_, change = his.Next(late.Add(-1), 0, 0)
	assert.Equal(t, change, affinity.ChangeNone)
	next, change = his.Next(late, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Equal(t, len(next.Announced), 0, "who doesn't know of it concludes nothing")
	_, change = his.Next(late, 1, 0)
	assert.Equal(t, change, affinity.ChangeNone, "hosts may confirm an earlier record of a restored store")
}

// Guards against a conclusion from a copy of the store that wasn't confirmed for long, or from one with a gap.
func TestSoleNeedsCurrentRecord(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1"})
	his.Apply(start, recordOf(3, []string{"v1"}), 0)
	_, sole := his.Sole(start, "menus", time.Second)
	assert.Assert(t, !sole, "never confirmed")
	his.Confirm(start)
	_, sole = his.Sole(start.Add(affinity.MaxSoleAge), "menus", time.Second)
	assert.Assert(t, sole)
	_, sole = his.Sole(start.Add(affinity.MaxSoleAge+1), "menus", time.Second)
	assert.Assert(t, !sole)
	his.Apply(start, recordOf(3, []string{"v1"}), 1)
	later := start.Add(affinity.MaxSoleAge + time.Second)
	his.Confirm(later)
	_, sole = his.Sole(later, "menus", 2*time.Second)
	assert.Assert(t, !sole, "a version that the restored store has lost may have served unseen")
}

// Guards against a version that opens by the time of an earlier announcement: a host that has missed its opening, its
// removal and its second announcement took the second one for the first.
func TestSecondAnnouncementCountsAnew(t *testing.T) {
	his := affinity.NewHistory()
	his.Apply(start, recordOf(3, []string{"v1", "v2"}, "v2"), 0)
	later := start.Add(time.Minute)
	his.Apply(later, recordOf(6, []string{"v1", "v2"}, "v2"), 0)
	his.Observe(later, "menus", []string{"v1", "v2"})
	rec, _ := his.Next(later, 0, 5)
	assert.DeepEqual(t, rec.Announced, map[string][]string{"menus": {"v2"}})
}

// Guards against a conclusion from a record that names less than the store's, while the store hasn't taken it: other hosts
// begin streams at what was taken out.
func TestReducedRecordConcludesNothingUntilStored(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1", "v2"})
	his.Apply(start, recordOf(3, []string{"v1", "v2"}), 0)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		his.Observe(now, "menus", []string{"v1"})
		his.Confirm(now)
	}
	rec, change := his.Next(now, 0, 3)
	assert.Equal(t, change, affinity.ChangeReduces)
	his.Reduce(now, rec, 0)
	_, sole := his.Sole(now, "menus", 20*time.Second)
	assert.Assert(t, !sole)
	his.Apply(now, rec, 0)
	version, sole := his.Sole(now, "menus", 20*time.Second)
	assert.Assert(t, sole && version == "v1")
}

// Guards against a conclusion about one service while the store has neither its reduction nor a later one of another service.
func TestSecondReducedRecordConcludesNothingOfTheFirst(t *testing.T) {
	his, now, both := affinity.NewHistory(), start, []string{"v1", "v2"}
	rec := recordOf(3, both)
	rec.Versions["maps"] = both
	his.Apply(now, rec, 0)
	for _, maps := range [][]string{both, {"v1"}} {
		for range 60 {
			now = now.Add(time.Second)
			his.Observe(now, "menus", []string{"v1"})
			his.Observe(now, "maps", maps)
			his.Confirm(now)
		}
		next, change := his.Next(now, 0, 3)
		assert.Equal(t, change, affinity.ChangeReduces)
		his.Reduce(now, next, 0)
	}
	_, sole := his.Sole(now, "menus", 20*time.Second)
	assert.Assert(t, !sole)
	his.Apply(now, his.Record(), 0)
	version, sole := his.Sole(now, "menus", 20*time.Second)
	assert.Assert(t, sole && version == "v1")
}

// Guards against a first record that opens its versions in a restored store: other hosts may conclude from an earlier one.
func TestFirstRecordOfRestoredStoreAnnounces(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1"})
	rec, _ := his.Next(start, 1, 0)
	assert.DeepEqual(t, rec.Announced, map[string][]string{"menus": {"v1"}})
}

// Guards against a version that opens before a host knows of it that isn't registered any more, or whose registration was
// missed.
func TestReadersKnowTheOldestRecord(t *testing.T) {
	const one, two request.Epoch = 1, 2
	after := start.Add
	rds := affinity.NewReaders()
	rds.Confirm(start)
	rds.SetRegistered(start, []request.Epoch{one, two})
	rds.Learned(start, one, 7)
	rds.Learned(start, two, 5)
	assert.Equal(t, rds.KnownToAll(after(affinity.OpenAfter-1)), uint64(0), "a host that was deregistered before may live")
	assert.Equal(t, rds.KnownToAll(after(affinity.OpenAfter)), uint64(5))
	rds.Learned(after(affinity.OpenAfter), two, 4)
	assert.Equal(t, rds.KnownToAll(after(affinity.OpenAfter)), uint64(5), "reports may overtake one another")
	rds.SetRegistered(after(affinity.OpenAfter), []request.Epoch{one})
	assert.Equal(t, rds.KnownToAll(after(2*affinity.OpenAfter-1)), uint64(5), "a deregistered host concludes on")
	assert.Equal(t, rds.KnownToAll(after(2*affinity.OpenAfter)), uint64(7))
	rds.Confirm(after(2 * affinity.OpenAfter))
	assert.Equal(t, rds.KnownToAll(after(2*affinity.OpenAfter)), uint64(0), "a registration may have been missed")
	rds.SetRegistered(after(3*affinity.OpenAfter), []request.Epoch{one, 3})
	assert.Equal(t, rds.KnownToAll(after(3*affinity.OpenAfter)), uint64(0), "a host that has just registered")
}

// playedHost is a host of a fleetPlay. Hosts that are cut off keep their copy.
type playedHost struct {
	epoch   request.Epoch
	history *affinity.History
	readers *affinity.Readers
	// served are the versions that the host listed when it read the store last.
	served []string
	readAt time.Time
	cut    bool
	// known is the number of the host's record.
	known uint64
}

// fleetPlay plays hosts that read one store, are cut off and go on, while versions join and leave.
type fleetPlay struct {
	rt     *rapid.T
	now    time.Time
	record affinity.Record
	// damaged is set while another program's value is in the place of the record.
	damaged bool
	era     uint64
	serving []string
	hosts   []*playedHost
	// registered are the hosts with an entry in the store.
	registered map[request.Epoch]bool
	// copied is what a copy of the store has, of which it may be restored.
	copied           affinity.Record
	copiedRegistered map[request.Epoch]bool
	epochs           request.Epoch
	// began is when the last stream began at each version.
	began map[string]time.Time
	// concluded counts the resumptions that went on.
	concluded int
}

// playedStreamLife is the life of a stream in a fleetPlay.
const playedStreamLife = 30 * time.Second

func (fpl *fleetPlay) start() {
	fpl.epochs++
	hos := &playedHost{epoch: fpl.epochs, history: affinity.NewHistory(), readers: affinity.NewReaders()}
	hos.history.ObserveLife(playedStreamLife)
	fpl.hosts = append(fpl.hosts, hos)
	fpl.sync(hos)
	fpl.registered[hos.epoch] = true
}

// sync lets the host read the store, unless it is cut off.
func (fpl *fleetPlay) sync(hos *playedHost) {
	if hos.cut {
		return
	}
	if fpl.damaged {
		hos.history.LoseRecord()
	}
	if fpl.record.Number >= hos.history.Record().Number {
		hos.history.Apply(fpl.now, fpl.record, fpl.era)
	} else {
		hos.history.FindOlder(fpl.now, fpl.record)
	}
	hos.readAt = fpl.now
	hos.served = slices.Clone(fpl.serving)
	hos.history.Observe(fpl.now, "menus", hos.served)
	hos.readers.Confirm(fpl.now)
	hos.readers.SetRegistered(fpl.now, slices.Collect(maps.Keys(fpl.registered)))
	if fpl.registered[hos.epoch] {
		hos.history.Confirm(fpl.now)
	}
	hos.known = hos.history.Record().Number
}

// report delivers the host's report of its record to another one.
func (fpl *fleetPlay) report(from, to *playedHost) {
	if !from.cut && !to.cut {
		to.readers.Learned(fpl.now, from.epoch, from.known)
		to.history.ObserveReport(from.known)
	}
}

// write lets the host write the record that it wants next, if it has the newest one; lost says that the store doesn't carry
// the write out.
func (fpl *fleetPlay) write(hos *playedHost, lost bool) {
	if hos.cut {
		return
	}
	fpl.sync(hos)
	hos.readers.Learned(fpl.now, hos.epoch, hos.known)
	known := hos.history.Record()
	if known.Number > fpl.record.Number {
		fpl.store(hos, hos.history.Restore(fpl.now))
		return
	}
	rec, change := hos.history.Next(fpl.now, fpl.era, hos.readers.KnownToAll(fpl.now))
	if change == affinity.ChangeReduces && !fpl.registered[hos.epoch] {
		return
	}
	if change == affinity.ChangeReduces {
		hos.history.Reduce(fpl.now, rec, fpl.era)
	}
	if change != affinity.ChangeNone && !lost {
		fpl.store(hos, rec)
	}
}

// store lets the host's write take effect.
func (fpl *fleetPlay) store(hos *playedHost, rec affinity.Record) {
	fpl.record, fpl.damaged = rec, false
	fpl.sync(hos)
}

// damage puts another program's value in the place of the record.
func (fpl *fleetPlay) damage() {
	fpl.record, fpl.damaged = affinity.Record{}, fpl.record.Number > 0 || fpl.damaged
}

// settle lets the host write, and the hosts read and report what was written, until streams may begin at each version that
// serves, or a host is waited for.
func (fpl *fleetPlay) settle(writer *playedHost) {
	for range 3 {
		fpl.write(writer, false)
		for _, hos := range fpl.hosts {
			fpl.sync(hos)
			fpl.report(hos, writer)
		}
	}
}

// restoreStore puts a copy of the store in its place, in the next era.
func (fpl *fleetPlay) restoreStore() {
	fpl.era++
	fpl.record, fpl.damaged, fpl.registered = fpl.copied, false, maps.Clone(fpl.copiedRegistered)
	if fpl.registered == nil {
		fpl.registered = make(map[request.Epoch]bool)
	}
}

// begin begins a stream at a version that the host lists and its record opens, if the host is allowed to serve requests.
func (fpl *fleetPlay) begin(hos *playedHost, version string) {
	if fpl.now.Sub(hos.readAt) <= affinity.MaxSoleAge && slices.Contains(hos.served, version) && hos.history.IsOpen("menus", version) {
		fpl.began[version] = fpl.now
	}
}

// resume checks that a host which takes one version for the only one is right: no stream of another one lives.
func (fpl *fleetPlay) resume(hos *playedHost) {
	version, sole := hos.history.Sole(fpl.now, "menus", playedStreamLife)
	if !sole {
		return
	}
	fpl.concluded++
	for other, at := range fpl.began {
		if other != version && fpl.now.Sub(at) < playedStreamLife {
			fpl.rt.Fatalf("host %d takes %s for the only version, a stream of %s is %s old", hos.epoch, version, other, fpl.now.Sub(at))
		}
	}
}

// Guards against streams at another version for any order of cuts, pauses, restarts, restorations of the store, damaged
// records, versions that come and go, and reports that come late or never.
func TestNoHostOfAFleetConcludesWrongly(t *testing.T) {
	concluded := 0
	rapid.Check(t, func(rt *rapid.T) {
		fpl := &fleetPlay{rt: rt, now: start, serving: []string{"v1"}, registered: make(map[request.Epoch]bool), began: make(map[string]time.Time)}
		for range 3 {
			fpl.start()
		}
		host := func(rt *rapid.T, label string) *playedHost {
			return fpl.hosts[rapid.IntRange(0, len(fpl.hosts)-1).Draw(rt, label)]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"join or leave": func(rt *rapid.T) {
				version := fmt.Sprint("v", rapid.IntRange(1, 3).Draw(rt, "version"))
				if idx := slices.Index(fpl.serving, version); idx >= 0 {
					fpl.serving = slices.Delete(fpl.serving, idx, idx+1)
				} else {
					fpl.serving = append(fpl.serving, version)
				}
			},
			"read all": func(*rapid.T) {
				for _, hos := range fpl.hosts {
					fpl.sync(hos)
				}
			},
			"copy":              func(*rapid.T) { fpl.copied, fpl.copiedRegistered = fpl.record, maps.Clone(fpl.registered) },
			"restore the store": func(*rapid.T) { fpl.restoreStore() },
			"damage the record": func(*rapid.T) { fpl.damage() },
			"read":              func(rt *rapid.T) { fpl.sync(host(rt, "host")) },
			"write":             func(rt *rapid.T) { fpl.write(host(rt, "writer"), rapid.IntRange(0, 4).Draw(rt, "lost") == 4) },
			"report":            func(rt *rapid.T) { fpl.report(host(rt, "from"), host(rt, "to")) },
			"cut":               func(rt *rapid.T) { host(rt, "host").cut = true },
			"reconnect":         func(rt *rapid.T) { host(rt, "host").cut = false },
			"register":          func(rt *rapid.T) { fpl.registered[host(rt, "host").epoch] = true },
			"lapse":             func(rt *rapid.T) { delete(fpl.registered, host(rt, "host").epoch) },
			"restart": func(rt *rapid.T) {
				idx := rapid.IntRange(0, len(fpl.hosts)-1).Draw(rt, "host")
				fpl.hosts = slices.Delete(fpl.hosts, idx, idx+1)
				fpl.start()
			},
			"begin": func(rt *rapid.T) {
				fpl.begin(host(rt, "host"), fmt.Sprint("v", rapid.IntRange(1, 3).Draw(rt, "version")))
			},
			"resume": func(rt *rapid.T) { fpl.resume(host(rt, "host")) },
			"settle": func(rt *rapid.T) { fpl.settle(host(rt, "writer")) },
			"begin all": func(*rapid.T) {
				for _, hos := range fpl.hosts {
					fpl.begin(hos, "v1")
					fpl.begin(hos, "v2")
					fpl.begin(hos, "v3")
				}
			},
			"resume all": func(*rapid.T) {
				for _, hos := range fpl.hosts {
					fpl.resume(hos)
				}
			},
			"wait": func(rt *rapid.T) {
				fpl.now = fpl.now.Add(time.Duration(rapid.SampledFrom([]int{10, 200, 1000, 1000, 3000, 4500, 20_000}).Draw(rt, "wait")) * time.Millisecond)
			},
		})
		concluded += fpl.concluded
	})
	assert.Assert(t, concluded > 0, "some hosts conclude")
}

// Guards against a site that begins no streams for seconds after its start: a first record without versions, of hosts that
// started before the engines, made the engines' version one that joins.
func TestFirstRecordNamesVersions(t *testing.T) {
	his := affinity.NewHistory()
	his.ObserveLife(time.Minute)
	_, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeNone)
	his.Observe(start, "menus", []string{"v1"})
	rec, change := his.Next(start, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	his.Apply(start, rec, 0)
	assert.Assert(t, his.IsOpen("menus", "v1"))
}

// Guards against a conclusion from a record that the store has lost: a host that was cut off confirmed its own old one by a
// copy with an unreadable one, or none, while streams of a version lived that only the lost one named.
func TestLostRecordIsNotConfirmed(t *testing.T) {
	for name, older := range map[string]affinity.Record{"none that can be read": {}, "begun anew": recordOf(2, []string{"v1"})} {
		t.Run(name, func(t *testing.T) {
			his := affinity.NewHistory()
			his.Observe(start, "menus", []string{"v1"})
			his.Apply(start, recordOf(5, []string{"v1"}), 0)
			his.Confirm(start)
			his.FindOlder(start.Add(time.Second), older)
			his.Confirm(start.Add(time.Second))
			_, sole := his.Sole(start.Add(affinity.MaxSoleAge), "menus", time.Second)
			assert.Assert(t, sole, "while no stream can have begun at another one, streams go on")
			later := start.Add(affinity.MaxSoleAge + 1)
			his.Confirm(later)
			_, sole = his.Sole(later, "menus", time.Second)
			assert.Assert(t, !sole, "the lost record may have named another version")
			restored := his.Restore(later)
			assert.Equal(t, restored.Era, affinity.NoEra, "a newer record may have been lost")
			his.Apply(later, restored, 0)
			his.Confirm(later)
			_, sole = his.Sole(later, "menus", time.Second)
			assert.Assert(t, !sole, "the host's own record may lack a version")
		})
	}
}

// Guards against streams of a sole version that are refused because the record was lost, and against a record that is written
// again without the versions of the one that was begun anew.
func TestLostRecordIsRestoredWithWhatWasBegunAnew(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1"})
	his.Apply(start, recordOf(5, []string{"v1"}), 0)
	his.Confirm(start)
	his.FindOlder(start.Add(time.Second), affinity.Record{})
	his.Apply(start.Add(time.Second), his.Restore(start.Add(time.Second)), 0)
	his.Confirm(start.Add(time.Second))
	version, sole := his.Sole(start.Add(time.Second), "menus", 30*time.Second)
	assert.Assert(t, sole && version == "v1", "the host has missed nothing")
	his.FindOlder(start.Add(time.Second), recordOf(2, []string{"v2"}))
	restored := his.Restore(start.Add(time.Second))
	assert.DeepEqual(t, restored.Versions["menus"], []string{"v1", "v2"})
	assert.Assert(t, restored.Number > his.Record().Number)
}

// Guards against a version that opens by reports of a record that the store has lost: their numbers are of other records.
func TestReportOfLostRecordOpensNothing(t *testing.T) {
	his := affinity.NewHistory()
	his.LoseRecord()
	his.Observe(start, "menus", []string{"v1"})
	his.Confirm(start)
	rec, _ := his.Next(start, 0, 0)
	his.Apply(start, rec, 0)
	his.ObserveReport(9)
	rec, change := his.Next(start, 0, 9)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Assert(t, rec.IsAnnounced("menus", "v1"))
	assert.Assert(t, rec.Number > 9+1, "hosts that know the lost record see that they have missed changes")
	assert.Equal(t, rec.Era, affinity.NoEra, "it may lack what the lost record names")
	opened, _ := his.Next(start.Add(affinity.OpenAfter), 0, 9)
	assert.Assert(t, !opened.IsAnnounced("menus", "v1"))
}

// Guards against a record that counts as complete without a version whose streams live: a host took over one that another
// host had begun anew, and had seen more than it names; or it had followed the store for too short a time.
func TestRecordIsCompleteWithAllThatWasSeen(t *testing.T) {
	his := affinity.NewHistory()
	his.Observe(start, "menus", []string{"v1", "v2"})
	his.Confirm(start)
	now := start
	for range 35 {
		now = now.Add(time.Second)
		his.Observe(now, "menus", []string{"v2"})
		his.Confirm(now)
	}
	begun := recordOf(1, []string{"v2"})
	begun.Era = affinity.NoEra
	his.Apply(now, begun, 0)
	rec, change := his.Next(now, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	assert.Equal(t, rec.Era, uint64(0))
	assert.DeepEqual(t, rec.Versions["menus"], []string{"v1", "v2"})
	_, change = his.Next(now.Add(affinity.MaxSoleAge+1), 0, 0)
	assert.Equal(t, change, affinity.ChangeNone, "the host may have missed a version since")
}

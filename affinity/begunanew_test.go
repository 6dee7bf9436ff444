package affinity_test

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/request"
)

// followingHost follows a store as entry does, with a write each second.
type followingHost struct {
	his *affinity.History
}

func (th *followingHost) read(now time.Time, rec affinity.Record, serving map[string][]string) {
	if rec.Number >= th.his.Record().Number {
		th.his.Apply(now, rec, 0)
	} else {
		th.his.FindOlder(now, rec)
	}
	for service, versions := range serving {
		th.his.Observe(now, service, versions)
	}
	th.his.Confirm(now)
}

// follow lets the host read and write each second.
func (th *followingHost) follow(now time.Time, rec affinity.Record, serving map[string][]string, seconds int) (time.Time, affinity.Record) {
	for range seconds {
		now = now.Add(time.Second)
		th.read(now, rec, serving)
		next, change := th.his.Next(now, 0, 0)
		if change == affinity.ChangeReduces {
			th.his.Reduce(now, next, 0)
		}
		if change != affinity.ChangeNone {
			rec = next
			th.his.Apply(now, rec, 0)
		}
	}
	return now, rec
}

func menus(versions ...string) map[string][]string { return map[string][]string{"menus": versions} }

// A host reduces, its write is lost, another one becomes the coordinator, the version comes back and leaves; then the
// host, which isn't the coordinator, adds a version of another service (versionsToWrite calls NextVersions, not
// RestoredVersions, for it).
func TestUnstoredReductionIsNotWrittenOver(t *testing.T) {
	both := map[string][]string{"menus": {"v1", "v2"}, "maps": {"m1"}}
	one := map[string][]string{"menus": {"v1"}, "maps": {"m1"}}
	his := affinity.NewHistory()
	former := &followingHost{his}
	now, stored := former.follow(start, affinity.Record{}, both, 5)
	for range 45 {
		now = now.Add(time.Second)
		former.read(now, stored, one)
		if rec, change := his.Next(now, 0, 0); change == affinity.ChangeReduces {
			his.Reduce(now, rec, 0) // the write is lost, and another host coordinates from now on
			break
		}
	}
	assert.Equal(t, his.Record().Number, stored.Number+1)
	other := &followingHost{his: affinity.NewHistory()} // the new coordinator has just come back in touch: it reduces nothing for 39 s
	other.read(now, stored, one)
	now = now.Add(time.Second)
	former.read(now, stored, both)
	other.read(now, stored, both)
	assert.Assert(t, other.his.IsOpen("menus", "v2"), "a stream of v2 begins")
	began := now
	now = now.Add(time.Second)
	former.read(now, stored, one)
	now = now.Add(time.Second)
	joined := map[string][]string{"menus": {"v1"}, "maps": {"m1", "m2"}}
	former.read(now, stored, joined)
	assert.Assert(t, his.Missing(now) && !his.IsLost())
	rec, change := his.Next(now, 0, 0)
	assert.Equal(t, change, affinity.ChangeExtends)
	t.Logf("stored %+v, written %+v", stored, rec)
	starting := &followingHost{his: affinity.NewHistory()}
	starting.read(now, rec, joined)
	version, sole := starting.his.Sole(now, "menus", 30*time.Second)
	assert.Check(t, !sole, "%s, a stream of v2 is %s old", version, now.Sub(began))
}

// A host that knows an announcement is frozen; the record is damaged and begun anew by hosts that know none, and its number
// reaches the frozen one's when the version joins again.
func TestAnnouncementOfLostRecordOpensNothing(t *testing.T) {
	frozen := &followingHost{his: affinity.NewHistory()}
	frozen.read(start, recordOf(2, []string{"v1", "v3"}), menus("v1", "v3"))
	frozen.read(start, recordOf(3, []string{"v1", "v2", "v3"}, "v2"), menus("v1", "v2", "v3"))
	// All others are killed and restarted, the record is damaged, v2 and v3 leave.
	anew := &followingHost{his: affinity.NewHistory()}
	anew.his.LoseRecord()
	now, rec := anew.follow(start, affinity.Record{}, menus("v1"), 60)
	t.Logf("begun anew %+v", rec)
	reader := &followingHost{his: affinity.NewHistory()}
	reader.read(now, rec, menus("v1")) // is cut off now
	number := rec.Number
	now, rec = anew.follow(now, rec, menus("v1", "v2"), 1)
	t.Logf("announced %+v", rec)
	frozen.read(now, rec, menus("v1", "v2"))
	next, change := frozen.his.Next(now, 0, 0)
	t.Logf("by the frozen host, change %d: %+v", change, next)
	version, sole := reader.his.Sole(now.Add(time.Second), "menus", 30*time.Second)
	t.Logf("the reader of number %d concludes %s, %v", number, version, sole)
	opens := rec.Number == 4 && change == affinity.ChangeExtends && !next.IsAnnounced("menus", "v2")
	assert.Check(t, !sole || !opens, "v2 opens at once while a reader concludes v1")
}

// A host is cut off while all others are killed and restarted, the record is damaged, and v2 leaves the list: the host
// begins a stream of v2 for 4 s more, and a host that began anew concludes after the life of a stream from its start.
func TestRecordBegunAnewConcludesNothingWithinMargin(t *testing.T) {
	for name, restored := range map[string]bool{"damaged": false, "restored": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				fpl := &fleetPlay{rt: rt, now: start, serving: []string{"v1"}, registered: make(map[request.Epoch]bool), began: make(map[string]time.Time)}
				for range 3 {
					fpl.start()
				}
				pass := func(after time.Duration) {
					fpl.now = fpl.now.Add(after)
					for _, hos := range fpl.hosts {
						fpl.sync(hos)
					}
				}
				for range 6 {
					pass(time.Second)
				}
				fpl.settle(fpl.hosts[2])
				fpl.copied, fpl.copiedRegistered = fpl.record, maps.Clone(fpl.registered)
				fpl.serving = []string{"v1", "v2"}
				for range 6 {
					pass(time.Second)
					fpl.settle(fpl.hosts[2])
				}
				cutOff := fpl.hosts[0]
				assert.Assert(rt, cutOff.history.IsOpen("menus", "v2"))
				cutOff.cut = true
				// The others are killed and restarted.
				fpl.hosts = fpl.hosts[:1]
				if restored {
					fpl.restoreStore()
				} else {
					fpl.damage()
				}
				fpl.serving = []string{"v1"}
				fpl.start()
				anew := fpl.hosts[1]
				fpl.write(anew, false)
				for range 3 {
					pass(time.Second)
					fpl.write(anew, false)
				}
				fpl.now = fpl.now.Add(900 * time.Millisecond)
				fpl.begin(cutOff, "v2")
				assert.Equal(rt, fpl.began["v2"], fpl.now)
				for range 27 {
					pass(time.Second)
					fpl.write(anew, false)
					fpl.resume(anew)
				}
			})
		})
	}
}

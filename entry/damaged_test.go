package entry

import (
	"io"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/store"
)

// versionRecord returns a record of versions of the service model.
func versionRecord(number uint64, versions ...string) affinity.Record {
	return affinity.Record{Number: number, Life: 30 * time.Second, Versions: map[string][]string{"model": versions}}
}

// newVersionsBroker returns the broker of a host that has read the store, and whose copy lists an engine of v1.
func newVersionsBroker(t *testing.T) *broker {
	t.Helper()
	bro := newTestHost(t, io.Discard).broker
	bro.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{{ID: fleet.EngineID{Name: "e1"}, Service: "model", Slots: 1, Version: "v1"}}})
	bro.origins.storeRead = true
	return bro
}

// Guards against a host that knows no record and writes one of its own over a damaged one, since it had waited for another
// reason before the damage; and against one that waits on at each damaged value.
func TestWaitForThoseThatKnowARecordBeginsWithItsDamage(t *testing.T) {
	bro := newVersionsBroker(t)
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	wait, _ := affinity.Turn{IsLost: true}.Wait()
	start := bro.host.clock.Now()
	assert.Assert(t, bro.versionsDelay(start, false) > 0, "the coordinator writes the first record")
	damaged := start.Add(wait)
	bro.origins.setDamaged(damaged, 5)
	assert.Assert(t, bro.versionsDelay(damaged, true) > 0)
	assert.Assert(t, bro.versionsDelay(damaged.Add(wait-1), true) > 0)
	bro.origins.setDamaged(damaged.Add(wait-1), 6)
	assert.Equal(t, bro.versionsDelay(damaged.Add(wait), true), time.Duration(0))
}

// Guards against a damaged record that is looked at only at the next check, and against a program that makes the hosts check
// all the time by writing damaged ones.
func TestDamagedRecordIsLookedAtOnceAnInterval(t *testing.T) {
	ori, now := newOrigins(), time.Unix(100, 0)
	for _, tst := range []struct {
		after time.Duration
		looks bool
	}{{0, true}, {1, false}, {versionsInterval, false}, {versionsInterval + 1, true}, {versionsInterval + 2, false}} {
		ori.setDamaged(now.Add(tst.after), 5)
		assert.Equal(t, len(ori.wakeVersions) > 0, tst.looks, "after %s", tst.after)
		for len(ori.wakeVersions) > 0 {
			<-ori.wakeVersions
		}
	}
}

// Guards against a lost record that its knowers leave to others, or that others write before them: what a host knows of the
// store and of the others decides.
func TestLostRecordIsWrittenByThoseThatKnowIt(t *testing.T) {
	unknowing, _ := affinity.Turn{IsLost: true}.Wait()
	knowing, _ := affinity.Turn{IsLost: true, Knows: true}.Wait()
	for name, tst := range map[string]struct {
		// Knows is set if the host has read a record of number 5, reported the number of another host's, and found what
		// the store has then: nothing new, none, one that can't be read, or an older one.
		knows       bool
		reported    uint64
		found       string
		coordinates bool
		// Wait is how long the host leaves the record to others; -1 if it writes none at all.
		wait time.Duration
	}{
		"knows none":             {coordinates: true},
		"knows none, damaged":    {found: "unreadable", coordinates: true, wait: unknowing},
		"knows none, reported":   {reported: 5, coordinates: true, wait: unknowing},
		"knows it, damaged":      {knows: true, found: "unreadable", coordinates: true},
		"other host, not lost":   {knows: true, wait: -1},
		"other host, damaged":    {knows: true, found: "unreadable", wait: knowing},
		"other host, deleted":    {knows: true, found: "none", wait: knowing},
		"other host, begun anew": {knows: true, found: "older", wait: knowing},
	} {
		t.Run(name, func(t *testing.T) {
			wat := newStoreWatcher(newVersionsBroker(t).host)
			bro := wat.host.broker
			if tst.knows {
				wat.applyVersions(storedVersions(t, 5, versionRecord(5, "v1")))
			}
			findVersions(t, wat, tst.found)
			bro.mutex.Lock()
			defer bro.mutex.Unlock()
			bro.recordVersionsKnown(7, tst.reported)
			now := bro.host.clock.Now()
			if tst.wait > 0 {
				assert.Assert(t, bro.versionsDelay(now, tst.coordinates) > 0)
				assert.Assert(t, bro.versionsDelay(now.Add(tst.wait-1), tst.coordinates) > 0)
			}
			delay := bro.versionsDelay(now.Add(max(0, tst.wait)), tst.coordinates)
			assert.Equal(t, delay == 0, tst.wait >= 0)
		})
	}
}

// storedVersions returns a record of versions as the store has it.
func storedVersions(t *testing.T, rev store.Revision, rec affinity.Record) store.Value {
	t.Helper()
	data, err := platform.EncodeVersions(rec)
	assert.NilError(t, err)
	return store.Value{Data: data, Revision: rev}
}

// findVersions lets a host read what the store has in place of the record of versions.
func findVersions(t *testing.T, wat *storeWatcher, found string) {
	t.Helper()
	switch found {
	case "none":
		wat.clearVersions()
	case "unreadable":
		wat.applyVersions(store.Value{Data: []byte(`{"Number":"many"}`), Revision: 6})
	case "older":
		wat.applyVersions(storedVersions(t, 6, versionRecord(2, "v2")))
	}
}

// Guards against a lost record that hosts write again as it was, without the versions that may have begun streams since, or
// that only the coordinator writes again.
func TestLostRecordIsWrittenWithWhatWasBegunAnew(t *testing.T) {
	for name, others := range map[string][]fleet.Member{"coordinator": nil, "other host": {{Name: "h0", Epoch: 2}}} {
		for found, versions := range map[string][]string{"none": {"v1"}, "unreadable": {"v1"}, "older": {"v1", "v2"}} {
			t.Run(name+", "+found, func(t *testing.T) {
				wat := newStoreWatcher(newVersionsBroker(t).host)
				bro := wat.host.broker
				members := slices.Concat(others, []fleet.Member{{Name: "h1", Epoch: bro.host.epoch}})
				bro.updateMembership(membership{members: members, candidates: members})
				assert.Equal(t, bro.coordinates(), len(others) == 0)
				wat.applyVersions(storedVersions(t, 5, versionRecord(5, "v1")))
				findVersions(t, wat, found)
				bro.origins.missingSince = bro.host.clock.Now().Add(-time.Minute)
				rec, expect, _ := bro.versionsToWrite()
				assert.DeepEqual(t, rec.Versions["model"], versions)
				assert.Assert(t, rec.Number > 5+1, "hosts see that they have missed changes")
				assert.Equal(t, expect, bro.origins.revision)
			})
		}
	}
}

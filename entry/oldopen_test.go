package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// waitReduced waits until the record names v1 alone.
func (vsy *versionedSystem) waitReduced() bool {
	return vsy.holdsWithin(80*time.Second, func() bool {
		rec := vsy.record()
		return len(rec.Versions[entrytest.Model]) == 1 && rec.Has(entrytest.Model, "v1")
	})
}

// registerAgain writes the entries of a version's engines once more.
func (vsy *versionedSystem) registerAgain(version string, entries map[string]store.Value) {
	for _, eng := range vsy.engines {
		if eng.Version() == version {
			assert.NilError(vsy.t, vsy.Store.Write(store.Write{Key: entrytest.EngineKey(eng.ID()), Data: entries[eng.ID()].Data, Blind: true}))
		}
	}
}

// entries returns the entries of all engines.
func (vsy *versionedSystem) entries() map[string]store.Value {
	entries := make(map[string]store.Value)
	for _, eng := range vsy.engines {
		entries[eng.ID()] = vsy.Store.Peek(entrytest.EngineKey(eng.ID()))
	}
	return entries
}

// The store is restored to a copy in which v1.1 was open, after v1.1 had left the record; one host is cut off at that moment,
// the others are lost, and one starts.
func TestRestoredRecordOpensNoVersion(t *testing.T) {
	t.Parallel()
	vsy := startWithOneVersion(t, 2)
	vsy.join()
	vsy.waitForOpen(2)
	cop, entries := vsy.Store.Copy(), vsy.entries()
	vsy.removeVersion("v1.1")
	t.Logf("reduced %v", vsy.waitReduced())
	vsy.WaitUntil("known", func() bool { return !vsy.Hosts[1].Dump().Versions.Has(entrytest.Model, "v1.1") })
	cutOff := vsy.Hosts[1]
	cutAt := time.Now()
	cutOff.SetCutOff(outOfStep["connections reset"])
	vsy.Hosts[0].SetStoreCut(true)
	vsy.Hosts[0].Stop()
	vsy.Store.Restore(cop)
	vsy.registerAgain("v1", entries)
	vsy.registerAgain("v1.1", entries)
	started := vsy.AddHost(entrytest.Config{Hosts: 1})
	counts := vsy.handOver([]*entrytest.Host{started}, cutOff, 4500*time.Millisecond-time.Since(cutAt))
	t.Logf("begun %v, resumed %d, refused %d, mixed %d; cut off for %s", counts.begun, counts.resumed, counts.refused, counts.mixed, time.Since(cutAt))
	assert.Equal(t, counts.mixed, 0)
}

// A host that was cut off while v1.1 left the record is back in touch as v1.1 comes back, the record is damaged, and the
// others are cut off or lost: it writes its old record, in which v1.1 is open.
func TestOldRecordOpensNoVersion(t *testing.T) {
	t.Parallel()
	vsy := startWithOneVersion(t, 3)
	vsy.join()
	vsy.waitForOpen(2)
	vsy.WaitUntil("open at all", func() bool {
		for _, hos := range vsy.Hosts {
			if rec := hos.Dump().Versions; !rec.Has(entrytest.Model, "v1.1") || rec.IsAnnounced(entrytest.Model, "v1.1") {
				return false
			}
		}
		return true
	})
	old, current := vsy.Hosts[0], vsy.Hosts[2]
	old.SetCutOff(outOfStep["connections reset"])
	entries := vsy.entries()
	vsy.removeVersion("v1.1")
	t.Logf("reduced %v", vsy.waitReduced())
	vsy.WaitUntil("known", func() bool { return !current.Dump().Versions.Has(entrytest.Model, "v1.1") })
	vsy.Hosts[1].SetStoreCut(true)
	vsy.Hosts[1].Stop()
	current.SetCutOff(outOfStep["connections reset"])
	cutAt := time.Now()
	assert.NilError(t, vsy.Store.Write(store.Write{Key: versionsKey, Data: []byte(`{"Number":"many"}`), Blind: true}))
	vsy.registerAgain("v1.1", entries)
	// Only the paths from the host that is back stay cut to the one that is cut off now.
	old.SetCutOff(upstreamtest.PathState{})
	counts := vsy.handOver([]*entrytest.Host{old}, current, 4500*time.Millisecond-time.Since(cutAt))
	t.Logf("begun %v, resumed %d, refused %d, mixed %d; cut off for %s; record %+v", counts.begun, counts.resumed, counts.refused, counts.mixed, time.Since(cutAt), vsy.record())
	assert.Equal(t, counts.mixed, 0)
}

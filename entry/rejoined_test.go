package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/store"
)

const versionsKey = "lynxwell/versions"

// record returns the store's record of versions; an empty one if it has none that can be read.
func (vsy *versionedSystem) record() affinity.Record {
	rec, err := platform.DecodeVersions(vsy.Store.Peek(versionsKey))
	if err != nil {
		return affinity.Record{}
	}
	return rec
}

// waitForOpen waits until the store's record opens all of the given number of versions.
func (vsy *versionedSystem) waitForOpen(count int) {
	vsy.t.Helper()
	vsy.WaitUntil("versions open", func() bool {
		rec := vsy.record()
		return len(rec.Versions[entrytest.Model]) == count && len(rec.Announced[entrytest.Model]) == 0
	})
}

// begunAt returns how many of the streams that begin began were begun by a version.
func (vsy *versionedSystem) begunAt(version string) int {
	count := 0
	for num := range resumedStreams {
		if vsy.versionsOf(fmt.Sprint("begin-", num))[version] {
			count++
		}
	}
	return count
}

// kill ends all hosts without a call to the store, and starts as many new ones after between.
func (vsy *versionedSystem) kill(between func()) []*entrytest.Host {
	for _, hos := range vsy.Hosts {
		hos.SetStoreCut(true)
	}
	return vsy.restartAll(between)
}

// logged reports whether any host has logged the text.
func (vsy *versionedSystem) logged(text string) bool { return strings.Contains(vsy.Log(), text) }

// startJoined starts hosts with two versions, of which the second has joined after streams had begun at the first, and
// begins more.
func startJoined(t *testing.T, hosts int) *versionedSystem {
	vsy := startWithOneVersion(t, hosts)
	vsy.join()
	vsy.waitForOpen(2)
	vsy.WaitForEngines(8)
	vsy.begin(resumedStreams)
	return vsy
}

// keptStreams is the number of streams of a case in which all have to go on: hosts that have just started share the budget of
// repeats.
const keptStreams = 12

// Guards against streams joined from two versions, and against refusals of streams whose version serves, once all hosts
// have been lost again and again while two versions were recorded.
func TestStreamsGoOnAfterAllHostsAreLostWhileVersionsChange(t *testing.T) {
	nothing := func() {}
	for name, tst := range map[string]struct {
		disturb func(*versionedSystem) []*entrytest.Host
		// leaves is set if v1 leaves.
		leaves bool
	}{
		"lost four times": {disturb: func(vsy *versionedSystem) []*entrytest.Host {
			for range 3 {
				vsy.kill(nothing)
			}
			return vsy.kill(nothing)
		}},
		"lost three times, v1 leaves in between": {leaves: true, disturb: func(vsy *versionedSystem) []*entrytest.Host {
			vsy.kill(nothing)
			vsy.kill(func() { vsy.removeVersion("v1") })
			return vsy.kill(nothing)
		}},
		"v1 leaves just after": {leaves: true, disturb: func(vsy *versionedSystem) []*entrytest.Host {
			hosts := vsy.kill(nothing)
			vsy.removeVersion("v1")
			return hosts
		}},
		"replies lost": {disturb: func(vsy *versionedSystem) []*entrytest.Host {
			vsy.Store.SetFaults(platformtest.Faults{LoseReplies: 20})
			return vsy.kill(nothing)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			vsy := startWithVersions(t, 3)
			vsy.begin(keptStreams)
			vsy.waitForStoredOrigins()
			least := keptStreams
			if tst.leaves {
				least = 0
				for num := range keptStreams {
					if vsy.versionsOf(fmt.Sprint("begin-", num))["v1.1"] {
						least++
					}
				}
			}
			resumed, mixed := vsy.resume(keptStreams, tst.disturb(vsy))
			assert.Equal(t, mixed, 0, "%d of %d streams went on", resumed, keptStreams)
			assert.Assert(t, resumed >= least, "%d of %d streams went on, %d can", resumed, keptStreams, least)
		})
	}
}

// Guards against refusals, after the loss of all hosts, of streams whose origins the store lacked although there was time to
// write them.
func TestOriginsOfAllStreamsAreStored(t *testing.T) {
	for name, play := range map[string]func(*testing.T) *versionedSystem{
		"begun before a version joined": func(t *testing.T) *versionedSystem {
			vsy := startWithOneVersion(t, 3)
			vsy.begin(keptStreams)
			vsy.join()
			vsy.waitForOpen(2)
			return vsy
		},
		"coordinator lost": func(t *testing.T) *versionedSystem {
			vsy := startWithVersions(t, 3)
			vsy.begin(keptStreams)
			vsy.Hosts[0].SetStoreCut(true)
			vsy.Hosts[0].Stop()
			return vsy
		},
		"store away": func(t *testing.T) *versionedSystem {
			vsy := startWithVersions(t, 3)
			// No stream begins at a version that a host doesn't know to be recorded.
			waitForRecord(vsy.System, "v1", "v1.1")
			vsy.Store.SetFaults(platformtest.Faults{Down: true})
			vsy.begin(keptStreams)
			vsy.WaitUntil("a write fails", func() bool { return vsy.logged("writing the origins of streams failed") })
			vsy.Store.SetFaults(platformtest.Faults{})
			return vsy
		},
		"store restored": func(t *testing.T) *versionedSystem {
			vsy := startWithVersions(t, 3)
			cop := vsy.Store.Copy()
			vsy.begin(keptStreams)
			vsy.waitForStoredOrigins()
			vsy.Store.Restore(cop)
			return vsy
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vsy := play(t)
			vsy.waitForStoredOrigins()
			resumed, mixed := vsy.resume(keptStreams, vsy.kill(func() {}))
			assert.Equal(t, mixed, 0)
			assert.Equal(t, resumed, keptStreams)
		})
	}
}

// Guards against a mixed stream after another writer has damaged or deleted the record of versions and all hosts are lost.
func TestDamagedRecordNamesNoSoleVersion(t *testing.T) {
	for name, damage := range map[string]store.Write{
		"unreadable": {Key: versionsKey, Data: []byte(`{"Number":"many"}`), Blind: true},
		"deleted":    {Key: versionsKey, Delete: true, Blind: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vsy := startJoined(t, 3)
			vsy.WaitUntil("some origins are stored", func() bool {
				values, _, err := vsy.Store.List(t.Context(), "lynxwell/streams/")
				assert.NilError(t, err)
				return len(values) > 0
			})
			hosts := vsy.kill(func() {
				vsy.removeVersion("v1")
				assert.NilError(t, vsy.Store.Write(damage))
			})
			vsy.waitForOpen(1)
			resumed, mixed := vsy.resume(resumedStreams, hosts)
			t.Logf("resumed %d, mixed %d", resumed, mixed)
			assert.Equal(t, mixed, 0)
		})
		t.Run(name+", hosts alive", func(t *testing.T) {
			t.Parallel()
			vsy := startJoined(t, 3)
			vsy.waitForStoredOrigins()
			assert.NilError(t, vsy.Store.Write(damage))
			vsy.removeVersion("v1")
			before := time.Now()
			vsy.WaitUntil("record written again", func() bool {
				return len(vsy.record().Versions[entrytest.Model]) == 2
			})
			t.Logf("written again after %s", time.Since(before))
			resumed, mixed := vsy.resume(resumedStreams, vsy.kill(func() {}))
			assert.Equal(t, mixed, 0)
			assert.Equal(t, resumed, vsy.begunAt("v1.1"), "the streams of the version that serves go on")
		})
	}
}

// Guards against a mixed stream after the record of versions was deleted and begun anew at a lower number: it lacks a version
// whose streams live, which the hosts that know the former record have to name again.
func TestVersionRecordBegunAnewIsRestored(t *testing.T) {
	t.Parallel()
	vsy := startJoined(t, 3)
	vsy.waitForStoredOrigins()
	former := vsy.record()
	data, err := platform.EncodeVersions(affinity.Record{Number: 1, Life: former.Life, Versions: map[string][]string{entrytest.Model: {"v1.1"}}})
	assert.NilError(t, err)
	vsy.removeVersion("v1")
	assert.NilError(t, vsy.Store.Write(store.Write{Key: versionsKey, Data: data, Blind: true}))
	vsy.WaitUntil("record written again", func() bool { return len(vsy.record().Versions[entrytest.Model]) == 2 })
	assert.Assert(t, vsy.record().Number > former.Number, "hosts that know the former record follow the new one")
	resumed, mixed := vsy.resume(resumedStreams, vsy.kill(func() {}))
	assert.Equal(t, mixed, 0)
	assert.Equal(t, resumed, vsy.begunAt("v1.1"), "the streams of the version that serves go on")
}

// Guards against mixed streams in a store that is restored from a copy made before the second version joined.
func TestStoreRestoredFromBeforeAVersionJoinedMixesNothing(t *testing.T) {
	for name, lost := range map[string]bool{"hosts alive": false, "all hosts lost": true} {
		for leaver, removed := range map[string]string{"both serve": "", "v1 left": "v1", "v1.1 left": "v1.1"} {
			t.Run(name+", "+leaver, func(t *testing.T) {
				t.Parallel()
				vsy := startWithOneVersion(t, 3)
				cop := vsy.Store.Copy()
				vsy.join()
				vsy.waitForOpen(2)
				vsy.WaitForEngines(8)
				vsy.begin(resumedStreams)
				vsy.waitForStoredOrigins()
				change := func() {
					entries := make(map[string]store.Value)
					for _, eng := range vsy.engines {
						entries[eng.ID()] = vsy.Store.Peek(entrytest.EngineKey(eng.ID()))
					}
					vsy.Store.Restore(cop)
					for _, eng := range vsy.engines {
						if eng.Version() == removed {
							vsy.RemoveEngine(eng.ID())
							continue
						}
						assert.NilError(t, vsy.Store.Write(store.Write{Key: entrytest.EngineKey(eng.ID()), Data: entries[eng.ID()].Data, Blind: true}))
					}
				}
				if lost {
					vsy.kill(change)
				} else {
					change()
					vsy.WaitUntil("restoration noticed", func() bool { return vsy.logged("store was restored from a copy") })
				}
				resumed, mixed := vsy.resume(resumedStreams, vsy.Hosts)
				t.Logf("resumed %d, mixed %d", resumed, mixed)
				assert.Equal(t, mixed, 0)
			})
		}
	}
}

// Guards against a version that is announced for good, and against refusals of the streams of before it, if all hosts are lost
// before it opens.
func TestAnnouncedVersionOpensAfterLossOfAllHosts(t *testing.T) {
	for name, leaves := range map[string]bool{"both serve": false, "v1 left": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vsy := startWithOneVersion(t, 3)
			vsy.begin(keptStreams)
			vsy.join()
			vsy.WaitUntil("announced", func() bool { return len(vsy.record().Announced[entrytest.Model]) == 1 })
			vsy.waitForStoredOrigins()
			want := keptStreams
			hosts := vsy.kill(func() {
				if leaves {
					vsy.removeVersion("v1")
					want = 0
				}
			})
			start := time.Now()
			resumed, mixed := vsy.resume(keptStreams, hosts)
			assert.Equal(t, mixed, 0)
			assert.Equal(t, resumed, want)
			vsy.waitForOpen(2)
			assert.Assert(t, time.Since(start) < affinity.OpenAfter+time.Second, "streams begin after %s", time.Since(start))
			ans := vsy.Send(t.Context(), hosts[0], streamRequest("new", "", 0))
			assert.Equal(t, ans.Status, 200, ans.Body)
		})
	}
}

// Guards against streams that don't begin for OpenAfter when a system starts for the first time: no host can have concluded
// anything before.
func TestVersionsOfNewSystemOpenAtOnce(t *testing.T) {
	sys := entrytest.StartWithoutHosts(t, nil)
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.StartHosts(entrytest.Config{Hosts: 3})
	sys.WaitForReady()
	start := time.Now()
	vsy := &versionedSystem{System: sys, t: t}
	vsy.AddEngines(engineOfVersion("e0", "v1"))
	vsy.WaitForEngines(1)
	vsy.join()
	vsy.waitForOpen(2)
	assert.Assert(t, time.Since(start) < affinity.OpenAfter/2, "open after %s", time.Since(start))
}

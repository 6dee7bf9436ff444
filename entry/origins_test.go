package entry_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/store"
)

// restartAll kills all hosts, calls between, and starts as many new ones, which it returns.
func (vsy *versionedSystem) restartAll(between func()) []*entrytest.Host {
	vsy.t.Helper()
	former := len(vsy.Hosts)
	for _, hos := range vsy.Hosts {
		hos.Stop()
	}
	between()
	vsy.Hosts = nil
	vsy.StartHosts(entrytest.Config{Hosts: former})
	vsy.WaitForReady()
	return vsy.Hosts
}

// removeVersion deletes the entries of a version's engines, which serve on.
func (vsy *versionedSystem) removeVersion(version string) {
	for _, eng := range vsy.engines {
		if eng.Version() == version {
			vsy.RemoveEngine(eng.ID())
		}
	}
}

// waitForStoredOrigins waits until the store has the origins of all streams that have begun: nothing tells when the last
// of them was written, so it waits until no write has come for longer than hosts collect them.
func (vsy *versionedSystem) waitForStoredOrigins() {
	vsy.t.Helper()
	count, since := -1, time.Now()
	vsy.WaitUntil("origins stored", func() bool {
		values, _, err := vsy.Store.List(vsy.t.Context(), "lynxwell/streams/")
		assert.NilError(vsy.t, err)
		if len(values) != count {
			count, since = len(values), time.Now()
		}
		return count > 0 && time.Since(since) > 400*time.Millisecond
	})
}

// Guards against streams that go on at another software version after the loss of all hosts: a host that had just
// started took the versions that it had seen since for all that had served.
func TestStreamsKeepTheirVersionAfterLossOfAllHosts(t *testing.T) {
	// leavesServe says whether v1, whose engines began some of the streams, still serves when clients resume them.
	for name, tst := range map[string]struct {
		disturb func(*versionedSystem) []*entrytest.Host
		least   int
	}{
		"both versions serve": {func(vsy *versionedSystem) []*entrytest.Host { return vsy.restartAll(func() {}) }, 36},
		"one left before": {func(vsy *versionedSystem) []*entrytest.Host {
			vsy.removeVersion("v1")
			vsy.WaitForEngines(4)
			return vsy.restartAll(func() {})
		}, 10},
		"one left while no host ran": {func(vsy *versionedSystem) []*entrytest.Host {
			return vsy.restartAll(func() { vsy.removeVersion("v1") })
		}, 10},
		"hosts lost twice": {func(vsy *versionedSystem) []*entrytest.Host {
			vsy.restartAll(func() { vsy.removeVersion("v1") })
			return vsy.restartAll(func() {})
		}, 10},
		"hosts lost one after another": {func(vsy *versionedSystem) []*entrytest.Host {
			vsy.removeVersion("v1")
			vsy.WaitForEngines(4)
			former := vsy.Hosts
			for _, hos := range former {
				hos.Stop()
				vsy.AddHost(entrytest.Config{Hosts: 1})
			}
			vsy.Hosts = vsy.Hosts[len(former):]
			vsy.WaitUntil("hosts ready", func() bool {
				for _, hos := range vsy.Hosts {
					if !vsy.IsReady(hos) {
						return false
					}
				}
				return true
			})
			return vsy.Hosts
		}, 10},
		"store away before": {func(vsy *versionedSystem) []*entrytest.Host {
			vsy.Store.SetFaults(platformtest.Faults{Down: true})
			return vsy.restartAll(func() {
				vsy.Store.SetFaults(platformtest.Faults{})
				vsy.removeVersion("v1")
			})
		}, 10},
	} {
		t.Run(name, func(t *testing.T) {
			vsy := startWithVersions(t, 3)
			vsy.begin(resumedStreams)
			vsy.waitForStoredOrigins()
			resumed, mixed := vsy.resume(resumedStreams, tst.disturb(vsy))
			assert.Equal(t, mixed, 0, "%d of %d streams went on", resumed, resumedStreams)
			assert.Assert(t, resumed >= tst.least, "%d of %d streams went on", resumed, resumedStreams)
		})
	}
}

// Guards against hosts that each write the origins of their own streams: with many hosts the store would get hundreds of
// writes a second, and each host read them.
func TestCoordinatorAloneStoresOrigins(t *testing.T) {
	vsy := startWithVersions(t, 4)
	vsy.begin(resumedStreams)
	vsy.waitForStoredOrigins()
	values, _, err := vsy.Store.List(t.Context(), "lynxwell/streams/")
	assert.NilError(t, err)
	writers := make(map[string]bool)
	for _, val := range values {
		writer, _, _ := strings.Cut(val.Key, "-")
		writers[writer] = true
	}
	assert.Equal(t, len(writers), 1, "%v", writers)
}

// A store that is restored from a copy made before the second version came, while no host ran, doesn't make a host take
// the first one for the only one.
func TestRestoredStoreNamesNoSoleVersion(t *testing.T) {
	vsy := startWithVersions(t, 2)
	vsy.removeVersion("v1.1")
	vsy.WaitForEngines(4)
	vsy.begin(1)
	record := func() string {
		val, err := vsy.Store.Get(t.Context(), "lynxwell/versions")
		assert.NilError(t, err)
		return string(val.Data)
	}
	both := record()
	cop := vsy.Store.Copy()
	vsy.restartAll(func() {
		vsy.Store.Restore(cop)
		_, err := vsy.Store.Put(t.Context(), store.Write{Key: "lynxwell/versions", Data: []byte(`{"Number":1,"Era":0,"Life":30000000000,"Versions":{"model":["v1"]}}`), Blind: true})
		assert.NilError(t, err)
	})
	assert.Assert(t, both != "")
	req := streamRequest("again", "never-recorded", cutAfterEvent)
	ans := vsy.Send(t.Context(), vsy.Hosts[0], req)
	assert.Equal(t, ans.Status, 503, ans.Body)
}

package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// In a failure domain of some hosts, one reads the store for all.
func TestOneHostReadsTheStoreForItsFailureDomain(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 4, Engines: twoOfEach(), OneDomain: true})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	sys.Until("only one host watches", func() bool {
		before := sys.Store.Counts()["Watch"]
		sys.Configure(entrytest.Configuration{Version: 1})
		sys.UntilVersion(1)
		return sys.Store.Counts()["Watch"]-before <= 1
	})
	sys.Configure(entrytest.Configuration{Version: 2, Keys: []string{"new"}})
	sys.UntilVersion(2)
	for _, hos := range sys.Hosts {
		assert.Equal(t, sys.Send(t.Context(), hos, entrytest.Request{ID: "r1", Path: "/safe/"}).Status, http.StatusUnauthorized)
	}
	// The reader goes: the others read by themselves until one reads for all again.
	sys.Hosts[0].Stop()
	sys.Hosts = sys.Hosts[1:]
	sys.Configure(entrytest.Configuration{Version: 3})
	sys.UntilVersion(3)
}

// silentMirror never answers, like a host without power. It notes for how long it
// was asked to wait.
type silentMirror struct {
	waits chan time.Duration
}

func (sil *silentMirror) Follow(ctx context.Context, _ store.Revision, wait time.Duration) (peer.Following, error) {
	sil.waits <- wait
	<-ctx.Done()
	return peer.Following{}, ctx.Err()
}

// Entries outlive lost hosts by some seconds. A host that starts finds them first in
// its failure domain and doesn't wait for them.
func TestHostThatStartsDoesNotWaitForLostOnes(t *testing.T) {
	sys := entrytest.Prepare(t, twoOfEach())
	sys.Configure(entrytest.Configuration{Version: 1})
	sil := &silentMirror{waits: make(chan time.Duration, 64)}
	for num := range 2 {
		sys.EnterLost(fmt.Sprint("first-", num), request.Epoch(num+1), sil)
	}
	sys.StartHosts(entrytest.Config{Hosts: 1, OneDomain: true})
	assert.Assert(t, <-sil.waits <= time.Millisecond)
	sys.Until("ready beside lost hosts", func() bool { return sys.IsReady(sys.Hosts[0]) })
	sys.Configure(entrytest.Configuration{Version: 2})
	sys.UntilVersion(2)
	for len(sil.waits) > 0 {
		assert.Assert(t, <-sil.waits <= time.Millisecond)
	}
}

func TestForgottenHistoryReachesThoseWhoFollow(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Engines: twoOfEach(), OneDomain: true})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	sys.Store.Compact()
	sys.Remove("p1")
	sys.Configure(entrytest.Configuration{Version: 2})
	sys.UntilVersion(2)
	sys.UntilEngines(3)
}

// With the store away nobody's knowledge becomes young by being passed around.
func TestKnowledgePassedAroundGrowsOld(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Engines: twoOfEach(), OneDomain: true})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	for _, hos := range sys.Hosts {
		sys.Until("the host refuses", func() bool {
			return sys.Send(t.Context(), hos, entrytest.Request{ID: "r", Path: "/safe/"}).Status == http.StatusServiceUnavailable
		})
	}
	sys.Store.SetFaults(platformtest.Faults{})
	sys.UntilReady()
}

// After an outage a host is back at once, not after a whole watch.
func TestStoreThatIsBackForAMomentIsEnough(t *testing.T) {
	sys := start(t, 1, twoOfEach())
	sys.Store.SetFaults(platformtest.Faults{Silent: true})
	sys.Until("the host refuses", func() bool {
		return sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r", Path: "/safe/"}).Status == http.StatusServiceUnavailable
	})
	sys.Store.SetFaults(platformtest.Faults{})
	began := time.Now()
	sys.UntilReady()
	assert.Assert(t, time.Since(began) < backWithin, "%s", time.Since(began))
}

// backWithin is within what time a host must be back: a hanging call's timeout,
// a pause and the next call.
const backWithin = 1200 * time.Millisecond

// With the store away, callers are still told where to go, and those who need no
// key are served.
func TestWithoutTheStoreCallersStillFindHosts(t *testing.T) {
	sys := start(t, 2, twoOfEach())
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	for _, hos := range sys.Hosts {
		sys.Until("the host refuses", func() bool {
			return sys.Send(t.Context(), hos, entrytest.Request{ID: "r", Path: "/safe/"}).Status == http.StatusServiceUnavailable
		})
	}
	for idx, hos := range sys.Hosts {
		other := sys.Hosts[1-idx].Settings.CallerAddress.String()
		assert.DeepEqual(t, sys.Addresses(hos), []string{other})
		assert.Equal(t, sys.Send(t.Context(), hos, entrytest.Request{ID: "p", Path: "/public/"}).Status, http.StatusOK)
		assert.Equal(t, sys.Send(t.Context(), hos, entrytest.Request{ID: "n", Path: "/nowhere/"}).Status, http.StatusServiceUnavailable)
	}
}

// A host that alone can't reach the store lives on what the others know.
func TestHostThatAloneLostTheStoreLivesOnItsPeers(t *testing.T) {
	sys := start(t, 2, twoOfEach())
	sys.Hosts[0].CutStore(true)
	sys.Until("the store is lost", func() bool { return strings.Contains(sys.Log(), "store lost") })
	sys.Configure(entrytest.Configuration{Version: 2, Keys: []string{"new"}})
	sys.UntilVersion(2)
	lost := time.Now()
	sys.Until("it has lasted longer than old knowledge may be acted on", func() bool {
		ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r", Path: "/safe/", Key: "new"})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
		return time.Since(lost) > longCut
	})
}

// A whole fleet that calls on would keep a store down, and each call has its price:
// while it is lost one host of a failure domain asks often, the others seldom.
func TestLostStoreIsAskedSeldomByAFleet(t *testing.T) {
	const hosts, callsPerSecond = 8, 25
	sys := entrytest.Start(t, entrytest.Config{Hosts: hosts, Engines: twoOfEach(), OneDomain: true})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.UntilReady()
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	began, before := time.Now(), calls(sys.Store)
	for _, hos := range sys.Hosts {
		sys.Until("the host is not ready", func() bool { return !sys.IsReady(hos) })
	}
	rate := float64(calls(sys.Store)-before) / time.Since(began).Seconds()
	assert.Assert(t, rate < callsPerSecond, "%.0f calls a second", rate)
	sys.Store.SetFaults(platformtest.Faults{})
	back := time.Now()
	sys.UntilReady()
	assert.Assert(t, time.Since(back) < fleetBackWithin, "%s", time.Since(back))
}

// fleetBackWithin is within what time all hosts serve again after an outage: a
// probe of the host that reads for all, and a question to it.
const fleetBackWithin = 3 * time.Second

func calls(mem *platformtest.Memory) uint64 {
	var sum uint64
	for _, count := range mem.Counts() {
		sum += count
	}
	return sum
}

// longCut is longer than a configuration is acted on unconfirmed.
const longCut = 5 * time.Second

// Many hosts that start at once must not keep one another from the store: whoever
// needs several pages within its rate would never get them all.
func TestManyHostsStartWithinTheStoresRate(t *testing.T) {
	sys := entrytest.Prepare(t, twoOfEach())
	for idx := range 1600 {
		sys.Enter(upstreamtest.NewEngine(upstreamtest.Config{ID: fmt.Sprint("idle-", idx), Service: "idle"}), "127.0.0.1:1", false)
	}
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.Store.SetFaults(platformtest.Faults{CallsPerSecond: 15})
	sys.StartHosts(entrytest.Config{Hosts: 8, OneDomain: true})
	for _, hos := range sys.Hosts {
		sys.Until("host ready", func() bool { return sys.IsReady(hos) })
	}
}

// A host whose entry lapsed counts for nobody: it must not go on deciding beside
// the one that the others have decide, and spend the limits twice.
func TestHostWithoutAnEntryHasTheOthersDecide(t *testing.T) {
	sys := start(t, 3, twoOfEach())
	decidedBy := func(hos *entrytest.Host) string { return hos.Dump().Coordinator }
	sys.Until("one host decides for all", func() bool {
		return decidedBy(sys.Hosts[0]) == decidedBy(sys.Hosts[1]) && decidedBy(sys.Hosts[0]) == decidedBy(sys.Hosts[2])
	})
	first := decidedBy(sys.Hosts[0])
	for _, hos := range sys.Hosts {
		if !hos.Dump().Own {
			continue
		}
		hos.CutStore(true)
		_, err := sys.Store.Put(t.Context(), store.Write{Key: "lynxwell/hosts/" + hos.Settings.Name, Delete: true, Blind: true})
		assert.NilError(t, err)
	}
	sys.Until("another host decides for all", func() bool {
		now := decidedBy(sys.Hosts[0])
		return now != first && now == decidedBy(sys.Hosts[1]) && now == decidedBy(sys.Hosts[2])
	})
}

// A host that the store refuses by its rate still hears of engines that leave, well
// within the two seconds that they serve on.
func TestHostThatTheStoreRefusesHearsOfEnginesFromOthers(t *testing.T) {
	engines := twoOfEach()
	sys := start(t, 2, engines)
	sys.Hosts[0].RefuseStore(true)
	sys.Until("the pause before the store is asked again has grown", func() bool {
		var failures int
		for line := range strings.Lines(sys.Figures(sys.Hosts[0])) {
			// A line of another figure doesn't match, and leaves what was read.
			_, _ = fmt.Sscanf(line, "StoreFailures %d", &failures)
		}
		return failures >= 6
	})
	entry, err := sys.Store.Get(t.Context(), entrytest.EngineKey("m1"))
	assert.NilError(t, err)
	leaving := strings.Replace(string(entry.Data), "ready", "draining", 1)
	_, err = sys.Store.Put(t.Context(), store.Write{Key: entry.Key, Data: []byte(leaving), Blind: true})
	assert.NilError(t, err)
	said := time.Now()
	sys.UntilEngines(3)
	assert.Assert(t, time.Since(said) < 1200*time.Millisecond, "%s", time.Since(said))
}

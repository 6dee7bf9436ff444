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

// In a failure domain of several hosts, one of them watches the store for all.
func TestOneHostWatchesStoreForFailureDomain(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 4, Engines: twoOfEach(), OneDomain: true})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.WaitUntil("only one host watches", func() bool {
		before := sys.Store.Counts()["Watch"]
		sys.Configure(entrytest.Configuration{Version: 1})
		sys.WaitForVersion(1)
		return sys.Store.Counts()["Watch"]-before <= 1
	})
	sys.Configure(entrytest.Configuration{Version: 2, Keys: []string{"new"}})
	sys.WaitForVersion(2)
	for _, hos := range sys.Hosts {
		assert.Equal(t, sys.Send(t.Context(), hos, entrytest.Request{ID: "r1", Path: "/safe/"}).Status, http.StatusUnauthorized)
	}
	// The relay stops. The others read the store themselves until one of them becomes the relay.
	sys.Hosts[0].Stop()
	sys.Hosts = sys.Hosts[1:]
	sys.Configure(entrytest.Configuration{Version: 3})
	sys.WaitForVersion(3)
}

// silentMirror never answers, like a host without power. It sends the wait that each call requests
// to waits.
type silentMirror struct {
	waits chan time.Duration
}

func (sil *silentMirror) Follow(ctx context.Context, que peer.MirrorQuery) (peer.MirrorUpdate, error) {
	sil.waits <- que.Wait
	<-ctx.Done()
	return peer.MirrorUpdate{}, ctx.Err()
}

// Entries of lost hosts remain for some seconds. A starting host whose failure domain's first
// members are lost must not wait for their answers.
func TestStartingHostDoesNotWaitForLostHosts(t *testing.T) {
	sys := entrytest.StartWithoutHosts(t, twoOfEach())
	sys.Configure(entrytest.Configuration{Version: 1})
	sil := &silentMirror{waits: make(chan time.Duration, 64)}
	for num := range 2 {
		sys.RegisterLostHost(fmt.Sprint("first-", num), request.Epoch(num+1), sil)
	}
	sys.StartHosts(entrytest.Config{Hosts: 1, OneDomain: true})
	assert.Assert(t, <-sil.waits <= time.Millisecond)
	sys.WaitUntil("the host is ready", func() bool { return sys.IsReady(sys.Hosts[0]) })
	sys.Configure(entrytest.Configuration{Version: 2})
	sys.WaitForVersion(2)
	for len(sil.waits) > 0 {
		assert.Assert(t, <-sil.waits <= time.Millisecond)
	}
}

func TestFollowersReceiveChangesAfterCompaction(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Engines: twoOfEach(), OneDomain: true})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.Store.Compact()
	sys.RemoveEngine("p1")
	sys.Configure(entrytest.Configuration{Version: 2})
	sys.WaitForVersion(2)
	sys.WaitForEngines(3)
}

// During a store outage a snapshot doesn't become fresh again by being relayed among hosts.
func TestRelayedSnapshotExpires(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: 3, Engines: twoOfEach(), OneDomain: true})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	for _, hos := range sys.Hosts {
		sys.WaitUntil("the host rejects requests", func() bool {
			return sys.Send(t.Context(), hos, entrytest.Request{ID: "r", Path: "/safe/"}).Status == http.StatusServiceUnavailable
		})
	}
	sys.Store.SetFaults(platformtest.Faults{})
	sys.WaitForReady()
}

// A host becomes ready soon after an outage, without waiting for the timeout of a watch.
func TestHostRecoversSoonAfterStoreOutage(t *testing.T) {
	sys := start(t, 1, twoOfEach())
	sys.Store.SetFaults(platformtest.Faults{Silent: true})
	sys.WaitUntil("the host rejects requests", func() bool {
		return sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r", Path: "/safe/"}).Status == http.StatusServiceUnavailable
	})
	sys.Store.SetFaults(platformtest.Faults{})
	started := time.Now()
	sys.WaitForReady()
	assert.Assert(t, time.Since(started) < maxRecoveryTime, "%s", time.Since(started))
}

// maxRecoveryTime is how long a host may take to become ready after an outage: the timeout of
// a hanging call, a pause and the next call.
const maxRecoveryTime = 1200 * time.Millisecond

// During a store outage directories still return addresses to clients, and requests that need no key
// are served.
func TestAddressesResolveDuringStoreOutage(t *testing.T) {
	sys := start(t, 2, twoOfEach())
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	for _, hos := range sys.Hosts {
		sys.WaitUntil("the host rejects requests", func() bool {
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

// A host that is cut off from the store receives changes from its peers.
func TestHostCutOffFromStoreFollowsPeers(t *testing.T) {
	sys := start(t, 2, twoOfEach())
	sys.Hosts[0].SetStoreCut(true)
	sys.WaitUntil("the store is unreachable", func() bool { return strings.Contains(sys.Log(), "store unreachable") })
	sys.Configure(entrytest.Configuration{Version: 2, Keys: []string{"new"}})
	sys.WaitForVersion(2)
	lost := time.Now()
	sys.WaitUntil("the outage is longer than an unconfirmed configuration may be used", func() bool {
		ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "r", Path: "/safe/", Key: "new"})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
		return time.Since(lost) > longOutage
	})
}

// Retries of a whole fleet would keep the store down, and each call has a cost. While the store is
// unreachable, one host of a failure domain calls the store often, the others rarely. The outage begins when all hosts have
// the record of versions, which each of them writes if there is none.
func TestFleetRarelyCallsLostStore(t *testing.T) {
	sys := entrytest.Start(t, entrytest.Config{Hosts: outageHosts, Engines: twoOfEach(), OneDomain: true})
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	waitForRecord(sys, "v1")
	checkStoreOutage(t, sys)
}

// The same for an outage that begins before any host has written the record of versions.
func TestFleetRarelyWritesRecordToLostStore(t *testing.T) {
	sys := entrytest.StartWithoutHosts(t, twoOfEach())
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.Store.SetFaults(platformtest.Faults{UnwritableKey: versionsKey})
	sys.StartHosts(entrytest.Config{Hosts: outageHosts, OneDomain: true})
	sys.WaitForReady()
	assert.Equal(t, sys.Store.Peek(versionsKey).Revision, store.Revision(0))
	checkStoreOutage(t, sys)
	waitForRecord(sys, "v1")
}

const (
	// outageHosts is the number of hosts, all in one failure domain, that lose the store.
	outageHosts = 8
	// maxOutageCalls is how many calls to a lost store they may make in a second.
	maxOutageCalls = 25
)

// checkStoreOutage makes the store unreachable until no host is ready, and checks how often the hosts call it meanwhile, and
// that all are ready soon after.
func checkStoreOutage(t *testing.T, sys *entrytest.System) {
	t.Helper()
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	started, before := time.Now(), sys.Store.Counts()
	for _, hos := range sys.Hosts {
		sys.WaitUntil("the host is not ready", func() bool { return !sys.IsReady(hos) })
	}
	lasted, after := time.Since(started), sys.Store.Counts()
	rate := float64(totalCalls(after)-totalCalls(before)) / lasted.Seconds()
	assert.Check(t, rate < maxOutageCalls, "%.1f calls a second in %s, from %v to %v", rate, lasted, before, after)
	sys.Store.SetFaults(platformtest.Faults{})
	back := time.Now()
	sys.WaitForReady()
	assert.Assert(t, time.Since(back) < maxFleetRecoveryTime, "%s", time.Since(back))
}

// maxFleetRecoveryTime is how long all hosts may take to become ready after an outage: a probe by
// the relay, and a call to the relay.
const maxFleetRecoveryTime = 3 * time.Second

func totalCalls(counts map[string]uint64) uint64 {
	var sum uint64
	for _, count := range counts {
		sum += count
	}
	return sum
}

// longOutage is longer than an unconfirmed configuration may be used.
const longOutage = 5 * time.Second

// Hosts that start at once must all get ready although they share the store's rate limit. Otherwise
// a host that has to read several pages would never get all of them.
func TestManyHostsStartWithinStoreRateLimit(t *testing.T) {
	sys := entrytest.StartWithoutHosts(t, twoOfEach())
	for idx := range 1600 {
		sys.RegisterEngine(upstreamtest.NewEngine(upstreamtest.Config{ID: fmt.Sprint("idle-", idx), Service: "idle"}), "127.0.0.1:1", false)
	}
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.Store.SetFaults(platformtest.Faults{CallsPerSecond: 15})
	sys.StartHosts(entrytest.Config{Hosts: 8, OneDomain: true})
	for _, hos := range sys.Hosts {
		sys.WaitUntil("host ready", func() bool { return sys.IsReady(hos) })
	}
}

// A coordinator whose entry has expired isn't counted by the other hosts. It must be replaced, since
// two coordinators would grant the limits twice.
func TestDeregisteredCoordinatorIsReplaced(t *testing.T) {
	sys := start(t, 3, twoOfEach())
	coordinatorOf := func(hos *entrytest.Host) string { return hos.Dump().Coordinator }
	sys.WaitUntil("all hosts have one coordinator", func() bool {
		return coordinatorOf(sys.Hosts[0]) == coordinatorOf(sys.Hosts[1]) && coordinatorOf(sys.Hosts[0]) == coordinatorOf(sys.Hosts[2])
	})
	first := coordinatorOf(sys.Hosts[0])
	for _, hos := range sys.Hosts {
		if !hos.Dump().Own {
			continue
		}
		hos.SetStoreCut(true)
		_, err := sys.Store.Put(t.Context(), store.Write{Key: "lynxwell/hosts/" + hos.Settings.Name, Delete: true, Blind: true})
		assert.NilError(t, err)
	}
	sys.WaitUntil("all hosts have another coordinator", func() bool {
		now := coordinatorOf(sys.Hosts[0])
		return now != first && now == coordinatorOf(sys.Hosts[1]) && now == coordinatorOf(sys.Hosts[2])
	})
}

// A host that the store throttles receives from its peers which engines are draining, well within
// the two seconds for which draining engines keep serving.
func TestThrottledHostReceivesDrainingEnginesFromPeers(t *testing.T) {
	engines := twoOfEach()
	sys := start(t, 2, engines)
	sys.Hosts[0].SetStoreThrottled(true)
	sys.WaitUntil("the backoff before the next call to the store has grown", func() bool {
		var failures int
		for line := range strings.Lines(sys.Metrics(sys.Hosts[0])) {
			// Lines of other metrics don't match and leave the value unchanged.
			_, _ = fmt.Sscanf(line, "StoreFailures %d", &failures)
		}
		return failures >= 6
	})
	entry, err := sys.Store.Get(t.Context(), entrytest.EngineKey("m1"))
	assert.NilError(t, err)
	draining := strings.Replace(string(entry.Data), "ready", "draining", 1)
	_, err = sys.Store.Put(t.Context(), store.Write{Key: entry.Key, Data: []byte(draining), Blind: true})
	assert.NilError(t, err)
	written := time.Now()
	sys.WaitForEngines(3)
	assert.Assert(t, time.Since(written) < 1200*time.Millisecond, "%s", time.Since(written))
}

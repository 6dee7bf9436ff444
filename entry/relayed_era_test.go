package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// drainAfterRestore writes that the engine p1 drains, with a revision below those that the hosts remember.
func drainAfterRestore(t *testing.T, sys *entrytest.System) {
	t.Helper()
	sys.PutEngineState("p1", entrytest.EngineState{Service: entrytest.Plain, Address: addressOf(t, sys, "p1"), Slots: 4, Draining: true, Sequence: 2})
}

// configurationVersion returns the version of the configuration that is in force at a host.
func configurationVersion(sys *entrytest.System, hos *entrytest.Host) uint64 {
	var version uint64
	for line := range strings.Lines(sys.Metrics(hos)) {
		// Lines of other metrics don't match and leave the value unchanged.
		_, _ = fmt.Sscanf(line, "ConfigurationVersion %d", &version)
	}
	return version
}

// Guards against copies of two eras side by side: hosts that read through another one learn of the restoration
// later than that one does. None may go back to the older configuration, and none may miss what is written.
func TestHostsThatReadThroughAnotherFollowRestore(t *testing.T) {
	engines := []*upstreamtest.Engine{plainEngine("p1"), plainEngine("p2")}
	sys := startWith(t, entrytest.Config{Hosts: 5, OneDomain: true, Engines: engines})
	sys.WaitForEngines(2)
	cop := sys.Store.Copy()
	writeUnrelated(t, sys, lostWrites)
	sys.Configure(entrytest.Configuration{Version: 2, Keys: []string{"second"}})
	sys.WaitForVersion(2)
	sys.Store.Restore(cop)
	drainAfterRestore(t, sys)
	for _, hos := range sys.Hosts {
		sys.WaitUntil("the engine's draining is known", func() bool {
			assert.Equal(t, configurationVersion(sys, hos), uint64(2), "a host went back")
			return strings.Contains(sys.Metrics(hos), "EnginesReady 1\n")
		})
	}
	sys.Configure(entrytest.Configuration{Version: 2, Keys: []string{"second"}})
	sys.Configure(entrytest.Configuration{Version: 3, Keys: []string{"third"}})
	sys.WaitForVersion(3)
}

// Guards against a host that starts while the others merge the restored store with what they know: it knows only
// the copy, and has to follow once owners and operators have written theirs again.
func TestHostStartedDuringRestoreFollows(t *testing.T) {
	engines := []*upstreamtest.Engine{plainEngine("p1"), plainEngine("p2")}
	for _, oneDomain := range []bool{false, true} {
		t.Run(fmt.Sprintf("one domain %t", oneDomain), func(t *testing.T) {
			cfg := entrytest.Config{Hosts: 3, OneDomain: oneDomain, Engines: engines}
			sys := startWith(t, cfg)
			sys.WaitForEngines(2)
			cop := sys.Store.Copy()
			writeUnrelated(t, sys, lostWrites)
			sys.Configure(entrytest.Configuration{Version: 2})
			sys.WaitForVersion(2)
			sys.Store.Restore(cop)
			sys.AddHost(cfg)
			drainAfterRestore(t, sys)
			sys.Configure(entrytest.Configuration{Version: 2})
			sys.WaitForEngines(1)
			sys.WaitForVersion(2)
			sys.WaitForReady()
		})
	}
}

// storeCallsPerSecond is the rate of calls that the users' store bears after a restoration.
const storeCallsPerSecond = 200

// Guards against calls that grow with the hosts: each of many hosts reads and registers again at the same time.
func TestCallsOfManyHostsAreBoundedAfterRestore(t *testing.T) {
	const hosts = 72
	sys := entrytest.StartWithoutHosts(t, plainEngines(2))
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.StartHosts(entrytest.Config{Hosts: hosts, HostsPerDomain: hosts / 3})
	sys.WaitForVersion(1)
	sys.WaitUntil("all hosts are registered", func() bool { return registered(sys) == hosts })
	cop := sys.Store.Copy()
	writeUnrelated(t, sys, lostWrites)
	sys.Configure(entrytest.Configuration{Version: 2})
	sys.WaitForVersion(2)
	calls := func() uint64 {
		counts := sys.Store.Counts()
		return counts["List"] + counts["ListStale"] + counts["Watch"] + counts["Put"] + counts["GrantLease"] + counts["RenewLease"]
	}
	sys.Store.Restore(cop)
	before := calls()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var most uint64
	for range 8 {
		<-tick.C
		now := calls()
		most = max(most, now-before)
		before = now
	}
	t.Log("most calls in a second:", most)
	assert.Assert(t, most <= storeCallsPerSecond, "%d calls in a second", most)
	sys.WaitForVersion(2)
	assert.Equal(t, registered(sys), hosts)
}

// registered returns how many of the hosts are in the store.
func registered(sys *entrytest.System) int {
	count := 0
	for _, hos := range sys.Hosts {
		if sys.Store.Peek("lynxwell/hosts/"+hos.Settings.Name).Revision > store.Revision(0) {
			count++
		}
	}
	return count
}

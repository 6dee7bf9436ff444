package entry_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platformtest"
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

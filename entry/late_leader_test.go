package entry_test

import (
	"testing"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platformtest"
)

// Guards against two coordinators for good: the two hosts that started first, with which all others keep sessions, register
// last, when the others have a leader. They have sessions with one another only, and are to learn of the leader.
func TestFirstHostsThatRegisterLastFollowLeader(t *testing.T) {
	cfg := entrytest.Config{OneDomain: true}
	sys := entrytest.StartWithoutHosts(t, twoOfEach())
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.Store.SetFaults(platformtest.Faults{Down: true})
	for range 2 {
		sys.AddHost(cfg).SetStoreCut(true)
	}
	sys.Store.SetFaults(platformtest.Faults{})
	for range 6 {
		sys.AddHost(cfg)
	}
	sys.WaitUntil("the hosts that are registered have one coordinator", func() bool { return len(coordinatorsOf(sys.Hosts[2:])) == 1 })
	for _, hos := range sys.Hosts[:2] {
		hos.SetStoreCut(false)
	}
	sys.WaitUntil("all hosts have one coordinator", func() bool { return len(coordinatorsOf(sys.Hosts)) == 1 })
	sys.WaitForReady()
}

// coordinatorsOf returns the coordinators that the hosts use.
func coordinatorsOf(hosts []*entrytest.Host) map[string]bool {
	found := make(map[string]bool)
	for _, hos := range hosts {
		found[hos.Dump().Coordinator] = true
	}
	return found
}

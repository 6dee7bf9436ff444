package entry

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
)

const (
	// minRelayHosts is the minimum number of hosts in a failure domain for one of them to read the
	// store for all: with fewer hosts that saves too little.
	minRelayHosts = 3
	// maxRelayCandidates is how many hosts of a failure domain are tried in turn as the relay,
	// before each host reads the store by itself: the first may be lost, and the second rejected by
	// the store, at the same time.
	maxRelayCandidates = 3
	// relaySkipTime is how long a host that failed is skipped: hosts come back within seconds, and a
	// call costs some milliseconds.
	relaySkipTime = 2 * time.Second
)

// relayChooser chooses the relay: the host of a failure domain that reads the store for all others
// of that domain. It skips candidates that have failed: otherwise each host would read the store by
// itself while the first candidate is lost, or is rejected by the store.
type relayChooser struct {
	own request.Epoch
	// skippedUntil is the time until which each host that failed is skipped.
	skippedUntil map[request.Epoch]time.Time
}

func newRelayChooser(own request.Epoch) *relayChooser {
	return &relayChooser{own: own, skippedUntil: make(map[request.Epoch]time.Time)}
}

// relay returns the relay of the failure domain, as far as this host knows; peers are the hosts of
// the domain. There is none if they are too few, or if all candidates have failed.
func (rch *relayChooser) relay(now time.Time, peers []fleet.Member) (fleet.Member, bool) {
	if len(peers) < minRelayHosts {
		return fleet.Member{}, false
	}
	for _, mem := range peers[:min(maxRelayCandidates, len(peers))] {
		if mem.Epoch == rch.own || !now.Before(rch.skippedUntil[mem.Epoch]) {
			return mem, true
		}
	}
	return fleet.Member{}, false
}

// choose returns the relay, unless that is this host itself.
func (rch *relayChooser) choose(now time.Time, peers []fleet.Member) (fleet.Member, bool) {
	mem, found := rch.relay(now, peers)
	if !found || mem.Epoch == rch.own {
		return fleet.Member{}, false
	}
	return mem, true
}

// isRelay reports whether this host is the relay.
func (rch *relayChooser) isRelay(now time.Time, peers []fleet.Member) bool {
	mem, found := rch.relay(now, peers)
	return found && mem.Epoch == rch.own
}

// recordFailure makes a host be skipped for relaySkipTime.
func (rch *relayChooser) recordFailure(now time.Time, mem fleet.Member) {
	for epo, until := range rch.skippedUntil {
		if !now.Before(until) {
			delete(rch.skippedUntil, epo)
		}
	}
	rch.skippedUntil[mem.Epoch] = now.Add(relaySkipTime)
}

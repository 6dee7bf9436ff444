package entry

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
)

const (
	// minRelayHosts is the least number of hosts in a failure domain for which one of them reads
	// the store for all: with fewer hosts that saves too little.
	followers = 3
	// maxReaders is how many hosts of a failure domain are tried in turn as the one that reads for
	// all, before each host reads by itself: the first may be lost, and the second rejected by the
	// store, at the same time.
	maxReaders = 3
	// readerPause is how long a host that failed is skipped: hosts come back within seconds, and a
	// call costs some milliseconds.
	readerPause = 2 * time.Second
)

// relayChooser chooses the host of its failure domain through which a host reads the store. Without
// a second choice, each host would read the store by itself while the first choice is lost, or is
// rejected by the store.
type readers struct {
	own request.Epoch
	// skippedUntil is until when hosts that failed are skipped.
	failed map[request.Epoch]time.Time
}

func newReaders(own request.Epoch) *readers {
	return &readers{own: own, failed: make(map[request.Epoch]time.Time)}
}

// relay returns the host that reads the store for all, as far as this host knows. There is none if
// the domain has too few hosts, or if all candidates have failed.
func (rch *readers) reader(now time.Time, peers []fleet.Member) (fleet.Member, bool) {
	if len(peers) < followers {
		return fleet.Member{}, false
	}
	for _, mem := range peers[:min(maxReaders, len(peers))] {
		if mem.Epoch == rch.own || !now.Before(rch.failed[mem.Epoch]) {
			return mem, true
		}
	}
	return fleet.Member{}, false
}

// choose returns the host to read through, unless that is this host itself.
func (rch *readers) choose(now time.Time, peers []fleet.Member) (fleet.Member, bool) {
	mem, found := rch.reader(now, peers)
	if !found || mem.Epoch == rch.own {
		return fleet.Member{}, false
	}
	return mem, true
}

// isRelay reports whether this host is the one that reads for all.
func (rch *readers) reads(now time.Time, peers []fleet.Member) bool {
	mem, found := rch.reader(now, peers)
	return found && mem.Epoch == rch.own
}

// recordFailure makes a host be skipped for readerPause.
func (rch *readers) fail(now time.Time, mem fleet.Member) {
	for epo, until := range rch.failed {
		if !now.Before(until) {
			delete(rch.failed, epo)
		}
	}
	rch.failed[mem.Epoch] = now.Add(readerPause)
}

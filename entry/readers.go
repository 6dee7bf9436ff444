package entry

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
)

const (
	// followers is how many hosts a failure domain has at least before one of them
	// reads the store for all: below, it saves too little.
	followers = 3
	// maxReaders is how many hosts of a failure domain are tried in turn as the one that
	// reads for all, before each reads by itself: the first may be lost, and the second
	// turned away by the store, at once.
	maxReaders = 3
	// readerPause is for how long one that failed is passed over: hosts come back within
	// seconds, and a question costs some milliseconds.
	readerPause = 2 * time.Second
)

// readers chooses through which host of its failure domain a host reads the store.
// Without a next one, each follower would read the store by itself while the first is
// lost, or turned away by the store.
type readers struct {
	own request.Epoch
	// failed is until when those that failed are passed over.
	failed map[request.Epoch]time.Time
}

func newReaders(own request.Epoch) *readers {
	return &readers{own: own, failed: make(map[request.Epoch]time.Time)}
}

// reader returns the host that reads for all, as far as this one knows; none is found
// where they are too few, and where all that may have failed.
func (rea *readers) reader(now time.Time, mates []fleet.Member) (fleet.Member, bool) {
	if len(mates) < followers {
		return fleet.Member{}, false
	}
	for _, mem := range mates[:min(maxReaders, len(mates))] {
		if mem.Epoch == rea.own || !now.Before(rea.failed[mem.Epoch]) {
			return mem, true
		}
	}
	return fleet.Member{}, false
}

// choose returns the host to read through, unless it is this one.
func (rea *readers) choose(now time.Time, mates []fleet.Member) (fleet.Member, bool) {
	mem, found := rea.reader(now, mates)
	if !found || mem.Epoch == rea.own {
		return fleet.Member{}, false
	}
	return mem, true
}

// reads reports whether this host is the one that reads for all.
func (rea *readers) reads(now time.Time, mates []fleet.Member) bool {
	mem, found := rea.reader(now, mates)
	return found && mem.Epoch == rea.own
}

// fail has a host passed over for a while.
func (rea *readers) fail(now time.Time, mem fleet.Member) {
	for epo, until := range rea.failed {
		if !now.Before(until) {
			delete(rea.failed, epo)
		}
	}
	rea.failed[mem.Epoch] = now.Add(readerPause)
}

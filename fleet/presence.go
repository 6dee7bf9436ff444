package fleet

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
)

const (
	// reconnectGrace is how long a host may be without a session, after it had one, before it
	// counts as unreachable. A host reopens a broken session within 75 ms, and within twice that
	// time if the first attempt fails.
	reconnectGrace = 300 * time.Millisecond
	// joinGrace is the same for a host that never had a session. A starting host registers its
	// entry some tenths of a second before it opens its session, a slow host a second before.
	joinGrace = 3 * time.Second
	// maxUnreachableShare is the largest share of the other hosts that may be unreachable. If
	// more are, this host is itself assumed to be partitioned, and reports none of the others as
	// unreachable. The limit is above one half, since a power failure may stop half of all hosts
	// at once.
	maxUnreachableShare = 0.75
)

// Presence tracks which of the registered hosts are reachable, by the sessions that they hold
// with their coordinator. Entries may therefore outlive failed hosts by half a minute, so that
// hundreds of hosts needn't renew them every second: a killed host counts as unreachable after
// 0.3 s, and a host without power 0.3 s after its session has timed out.
//
// Presence is not safe for concurrent use.
type Presence struct {
	self request.Epoch
	// reachable holds the hosts with a session, and unreachableAt the time at which each of the
	// other hosts becomes unreachable.
	reachable     map[request.Epoch]bool
	unreachableAt map[request.Epoch]time.Time
	members       []Member
}

// NewPresence returns a Presence without members or sessions for the host with the epoch self.
func NewPresence(self request.Epoch) *Presence {
	return &Presence{self: self, reachable: make(map[request.Epoch]bool), unreachableAt: make(map[request.Epoch]time.Time)}
}

// SetMembers sets the registered hosts.
func (pre *Presence) SetMembers(now time.Time, members []Member) {
	unreachableAt := make(map[request.Epoch]time.Time, len(pre.unreachableAt))
	for _, mem := range members {
		if pre.reachable[mem.Epoch] || mem.Epoch == pre.self {
			continue
		}
		unreachableAt[mem.Epoch] = now.Add(joinGrace)
		if prev, known := pre.unreachableAt[mem.Epoch]; known {
			unreachableAt[mem.Epoch] = prev
		}
	}
	pre.unreachableAt, pre.members = unreachableAt, members
}

// SessionOpened records that a host has opened its session.
func (pre *Presence) SessionOpened(epo request.Epoch) {
	pre.reachable[epo] = true
	delete(pre.unreachableAt, epo)
}

// SessionEnded records that a host's session has ended.
func (pre *Presence) SessionEnded(now time.Time, epo request.Epoch) {
	delete(pre.reachable, epo)
	if epo == pre.self {
		return
	}
	pre.unreachableAt[epo] = now.Add(reconnectGrace)
}

// Unreachable returns the registered hosts that are unreachable, in the order of SetMembers;
// none if this host itself is assumed to be partitioned.
func (pre *Presence) Unreachable(now time.Time) []request.Epoch {
	var unreachable []request.Epoch
	for _, mem := range pre.members {
		if at, pending := pre.unreachableAt[mem.Epoch]; pending && !now.Before(at) {
			unreachable = append(unreachable, mem.Epoch)
		}
	}
	if others := float64(len(pre.members) - 1); float64(len(unreachable)) > maxUnreachableShare*others {
		return nil
	}
	return slices.Clip(unreachable)
}

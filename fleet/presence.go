package fleet

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
)

const (
	// reconnectGrace is how long a host may be without a session, after it had one, before it
	// counts as unreachable. A session that was cut is opened again within 75 ms, and within
	// twice that time if the first attempt fails too.
	reconnectGrace = 300 * time.Millisecond
	// joinGrace is the same for a host that never had a session. A starting host has its entry
	// some tenths of a second before its session, a slow one a second before.
	joinGrace = 3 * time.Second
	// maxUnreachableShare is the largest share of the other hosts that may be unreachable. A
	// host that reaches fewer than the rest is itself assumed to be partitioned, and knows
	// nothing about the others. A power failure may take out half of all hosts at once.
	maxUnreachableShare = 0.75
)

// Presence tracks which of the registered hosts are reachable, from the sessions that they
// keep with their coordinator. With it, entries may outlive failed hosts by half a minute, so
// that hundreds of hosts needn't renew them every second: a killed host counts as unreachable
// after 0.3 s, one without power as soon as its session has timed out.
//
// Presence is not safe for concurrent use.
type Presence struct {
	self request.Epoch
	// reachable holds the hosts with a session, unreachableAt the time at which each of the
	// others becomes unreachable.
	reachable     map[request.Epoch]bool
	unreachableAt map[request.Epoch]time.Time
	members       []Member
}

// NewPresence returns the presence of a fleet of which only the host itself is known.
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

// Unreachable returns the registered hosts that are unreachable, in the order of the
// members; none if the host itself is assumed to be partitioned.
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

package fleet

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
)

const (
	// lostAfter is for how long a host that was reached isn't any more until it counts
	// as absent: a session that was cut by chance is opened again within 75 ms, and
	// twice as long where the first try fails too.
	lostAfter = 300 * time.Millisecond
	// joinAfter is the same for a host that was never reached: one that starts has its
	// entry some tenths of a second before its session, a slow one a second.
	joinAfter = 3 * time.Second
	// mostAbsent is the part of the other hosts that may be absent. Who reaches fewer than
	// the rest is taken to be cut off itself, and knows nothing of the others. A herd that
	// loses its power may be half of all hosts.
	mostAbsent = 0.75
)

// Presence is which of the hosts with an entry are there, by the sessions that they
// keep with the one that decides for them. It is what lets entries outlast lost hosts
// by half a minute, so that hundreds of hosts needn't renew them each second: a host
// that was killed is known to be absent after 0.3 s, one without power as soon as its
// session has fallen silent.
type Presence struct {
	self request.Epoch
	// reached are the hosts with a session, due is when each of the others is absent.
	reached map[request.Epoch]bool
	due     map[request.Epoch]time.Time
	members []Member
}

// NewPresence returns the presence of a fleet in which only the host itself is known.
func NewPresence(self request.Epoch) *Presence {
	return &Presence{self: self, reached: make(map[request.Epoch]bool), due: make(map[request.Epoch]time.Time)}
}

// SetMembers takes the hosts that have an entry now.
func (pre *Presence) SetMembers(now time.Time, members []Member) {
	due := make(map[request.Epoch]time.Time, len(pre.due))
	for _, mem := range members {
		if pre.reached[mem.Epoch] || mem.Epoch == pre.self {
			continue
		}
		due[mem.Epoch] = now.Add(joinAfter)
		if former, known := pre.due[mem.Epoch]; known {
			due[mem.Epoch] = former
		}
	}
	pre.due, pre.members = due, members
}

// Reached notes a host's session.
func (pre *Presence) Reached(epo request.Epoch) {
	pre.reached[epo] = true
	delete(pre.due, epo)
}

// Lost notes that a host's session is gone.
func (pre *Presence) Lost(now time.Time, epo request.Epoch) {
	delete(pre.reached, epo)
	if epo == pre.self {
		return
	}
	pre.due[epo] = now.Add(lostAfter)
}

// Absent returns the hosts with an entry that aren't there, in the members' order.
func (pre *Presence) Absent(now time.Time) []request.Epoch {
	var absent []request.Epoch
	for _, mem := range pre.members {
		if due, waits := pre.due[mem.Epoch]; waits && !now.Before(due) {
			absent = append(absent, mem.Epoch)
		}
	}
	if others := float64(len(pre.members) - 1); float64(len(absent)) > mostAbsent*others {
		return nil
	}
	return slices.Clip(absent)
}

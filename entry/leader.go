package entry

import (
	"slices"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// A host leads while it decides for more than half of all hosts. Whoever reaches it, or
// reaches one that does, has it decide, whichever hosts come first in the order: when a
// host that was lost or cut off comes back, nothing changes. Each change has all hosts
// tell what they run, to a coordinator that has learned nothing yet, and costs callers.
// Where none leads, as after the loss of all, the first in the order is chosen, and soon
// leads.

// choose returns the host that is to decide for this one: the one that leads, or the
// first candidate that is reached.
func (des *desk) choose() request.Epoch {
	if leader := des.leader(); leader != 0 {
		return leader
	}
	for _, mem := range des.candidates() {
		if des.reaches(mem.Epoch) {
			return mem.Epoch
		}
	}
	return des.host.epoch
}

// reaches reports whether a host can be asked to decide.
func (des *desk) reaches(epo request.Epoch) bool {
	return epo == des.host.epoch || des.links[epo] != nil
}

// leader returns the host that leads and can be asked, as far as this one knows; 0 for
// none.
func (des *desk) leader() request.Epoch {
	for _, epo := range des.leaders() {
		if des.reaches(epo) {
			return epo
		}
	}
	return 0
}

// leaders returns the hosts that lead by the word of those that are reached: more than
// one only while hosts have lost one another. They may have to be reached first.
func (des *desk) leaders() []request.Epoch {
	var told []request.Epoch
	if des.leads() {
		told = append(told, des.host.epoch)
	}
	for _, lin := range des.links {
		if lin.leader != 0 {
			told = append(told, lin.leader)
		}
	}
	if len(told) == 0 {
		return nil
	}
	var found []request.Epoch
	for _, mem := range des.roster.candidates {
		if slices.Contains(told, mem.Epoch) {
			found = append(found, mem.Epoch)
		}
	}
	return found
}

// leads reports whether this host decides for more than half of all.
func (des *desk) leads() bool {
	served := des.served()
	return served > 1 && 2*served > len(des.roster.members)
}

// inCharge reports whether this host decides for all, as far as it knows; the mutex is
// held.
func (des *desk) inCharge() bool {
	return des.active == des.host.epoch && !des.roster.outside && (des.leads() || len(des.roster.members) == 1)
}

// coordinates reports whether this host decides for all.
func (des *desk) coordinates() bool {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	return des.inCharge()
}

// served returns how many hosts have this one decide, itself among them.
func (des *desk) served() int {
	served := 1
	for _, inb := range des.inbound {
		if inb.appointed {
			served++
		}
	}
	return served
}

// tellLeader tells those who may have this host decide who leads, if that has changed;
// the mutex is held.
func (des *desk) tellLeader() {
	leader := des.leader()
	if leader == des.toldLeader {
		return
	}
	des.toldLeader = leader
	for _, inb := range des.inbound {
		des.tellLeaderTo(inb)
	}
}

func (des *desk) tellLeaderTo(inb *inbound) {
	inb.send(reservation.Leader{Host: des.toldLeader})
}

// takeLeader takes a coordinator's word of who leads; the mutex is held.
func (des *desk) takeLeader(by, leader request.Epoch) {
	lin := des.links[by]
	if lin == nil || lin.leader == leader {
		return
	}
	lin.leader = leader
	des.elect()
	des.tellLeader()
	des.wake()
}

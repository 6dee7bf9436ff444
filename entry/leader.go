package entry

import (
	"slices"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// The leader is a host that coordinates more than half of all hosts. A host that can reach the
// leader uses it as its coordinator, regardless of the order of the candidates and even if it
// knows of the leader only from another host's report. So nothing changes when a host that was
// lost or disconnected returns. A change of the coordinator is expensive: all hosts report their
// running requests to a host that has no state yet, and clients are affected. Without a leader,
// as after the loss of all hosts, the first reachable candidate is chosen and soon becomes the
// leader.

// chooseCoordinator returns the host to use as the coordinator: the leader, or the first
// reachable candidate.
func (bro *desk) choose() request.Epoch {
	if leader := bro.leader(); leader != 0 {
		return leader
	}
	for _, mem := range bro.candidates() {
		if bro.reaches(mem.Epoch) {
			return mem.Epoch
		}
	}
	return bro.host.epoch
}

// isReachable reports whether this host can send reservations to a host.
func (bro *desk) reaches(epo request.Epoch) bool {
	return epo == bro.host.epoch || bro.links[epo] != nil
}

// reachableLeader returns the leader that this host knows and can reach; 0 for none.
func (bro *desk) leader() request.Epoch {
	for _, epo := range bro.leaders() {
		if bro.reaches(epo) {
			return epo
		}
	}
	return 0
}

// knownLeaders returns the hosts that this host or its links report as leaders, reachable or not.
// There is more than one only while groups of hosts cannot reach each other.
func (bro *desk) leaders() []request.Epoch {
	var reported []request.Epoch
	if bro.leads() {
		reported = append(reported, bro.host.epoch)
	}
	for _, lin := range bro.links {
		if lin.leader != 0 {
			reported = append(reported, lin.leader)
		}
	}
	if len(reported) == 0 {
		return nil
	}
	var found []request.Epoch
	for _, mem := range bro.roster.candidates {
		if slices.Contains(reported, mem.Epoch) {
			found = append(found, mem.Epoch)
		}
	}
	return found
}

// isLeader reports whether this host coordinates more than half of all hosts.
func (bro *desk) leads() bool {
	served := bro.served()
	return served > 1 && 2*served > len(bro.roster.members)
}

// inCharge reports whether this host coordinates all hosts, as far as it knows; the
// mutex is held.
func (bro *desk) inCharge() bool {
	return bro.active == bro.host.epoch && !bro.roster.outside && (bro.leads() || len(bro.roster.members) == 1)
}

// coordinates reports whether this host coordinates all hosts, as far as it knows.
func (bro *desk) coordinates() bool {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	return bro.inCharge()
}

// servedHosts returns the number of hosts that use this one as their coordinator, including
// itself.
func (bro *desk) served() int {
	served := 1
	for _, inb := range bro.inbound {
		if inb.appointed {
			served++
		}
	}
	return served
}

// tellLeader sends the leader to all gateways with a session if it has changed; the mutex is
// held.
func (bro *desk) tellLeader() {
	leader := bro.leader()
	if leader == bro.toldLeader {
		return
	}
	bro.toldLeader = leader
	for _, inb := range bro.inbound {
		bro.tellLeaderTo(inb)
	}
}

func (bro *desk) tellLeaderTo(inb *inbound) {
	inb.send(reservation.Leader{Host: bro.toldLeader})
}

// takeLeader applies a coordinator's report of the leader; the mutex is held.
func (bro *desk) takeLeader(by, leader request.Epoch) {
	lin := bro.links[by]
	if lin == nil || lin.leader == leader {
		return
	}
	lin.leader = leader
	bro.elect()
	bro.tellLeader()
	bro.wake()
}

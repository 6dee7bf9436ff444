package entry

import (
	"slices"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// The leader is a host that coordinates more than half of all hosts. A host that can reach the
// leader uses it as its coordinator, regardless of the order of the candidates and even if it knows
// of the leader only from another host's report. Therefore the coordinator does not change when a
// host that was lost or disconnected returns. A change of the coordinator is expensive: all hosts
// report their running requests to a host that has no state yet, and clients are affected. Without
// a leader, as after the loss of all hosts, the first reachable candidate is chosen and soon
// becomes the leader.

// chooseCoordinator returns the host to use as the coordinator: the leader, or the first
// reachable candidate.
func (bro *broker) chooseCoordinator() request.Epoch {
	if leader := bro.reachableLeader(); leader != 0 {
		return leader
	}
	var reachable []request.Epoch
	for _, mem := range bro.candidates() {
		if bro.isReachable(mem.Epoch) {
			reachable = append(reachable, mem.Epoch)
		}
	}
	if len(reachable) == 0 {
		return bro.host.epoch
	}
	return bro.withoutDeposed(reachable)[0]
}

// isReachable reports whether this host can send reservations to a host.
func (bro *broker) isReachable(epo request.Epoch) bool {
	return epo == bro.host.epoch || bro.links[epo] != nil
}

// reachableLeader returns the leader that this host knows and can reach; 0 for none.
func (bro *broker) reachableLeader() request.Epoch {
	for _, epo := range bro.knownLeaders() {
		if bro.isReachable(epo) && !bro.isDeposed(epo) {
			return epo
		}
	}
	return 0
}

// knownLeaders returns the hosts that this host or its links report as leaders, reachable or not.
// There is more than one only while groups of hosts cannot reach each other.
func (bro *broker) knownLeaders() []request.Epoch {
	var reported []request.Epoch
	if bro.isLeader() {
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
	for _, mem := range bro.membership.candidates {
		if slices.Contains(reported, mem.Epoch) {
			found = append(found, mem.Epoch)
		}
	}
	return found
}

// isLeader reports whether this host coordinates more than half of all hosts.
func (bro *broker) isLeader() bool {
	served := bro.servedHosts()
	return served > 1 && 2*served > len(bro.membership.members)
}

// coordinatesLocked reports whether this host coordinates all hosts, as far as it knows; the
// mutex must be held.
func (bro *broker) coordinatesLocked() bool {
	return bro.coordinator == bro.host.epoch && !bro.membership.unregistered && (bro.isLeader() || len(bro.membership.members) == 1)
}

// coordinates reports whether this host coordinates all hosts, as far as it knows.
func (bro *broker) coordinates() bool {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	return bro.coordinatesLocked()
}

// servedHosts returns the number of hosts that use this one as their coordinator, including
// itself.
func (bro *broker) servedHosts() int {
	served := 1
	for _, inb := range bro.inbound {
		if inb.delegated {
			served++
		}
	}
	return served
}

// publishLeader sends the leader to all gateways with a session if it has changed; the mutex
// must be held.
func (bro *broker) publishLeader() {
	leader := bro.reachableLeader()
	if leader == bro.publishedLeader {
		return
	}
	bro.publishedLeader = leader
	for _, inb := range bro.inbound {
		bro.sendLeader(inb)
	}
}

func (bro *broker) sendLeader(inb *inbound) {
	inb.send(reservation.Leader{Host: bro.publishedLeader, Deposed: bro.deposed.Latest(bro.host.clock.Now())})
}

// applyLeader applies a coordinator's report of the leader; the mutex must be held.
func (bro *broker) applyLeader(by request.Epoch, msg reservation.Leader) {
	bro.applyDeposed(by, msg.Deposed)
	leader := msg.Host
	lin := bro.links[by]
	if lin == nil || lin.leader == leader {
		return
	}
	lin.leader = leader
	bro.elect()
	bro.publishLeader()
	bro.wakeSessions()
}

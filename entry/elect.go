package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

// minCoordinatorTerm is the minimum term of a newly chosen coordinator while it is reachable. The
// actual term is drawn from one to two times this, so that hosts don't change their coordinators
// simultaneously. Reports of which host is the leader take a few milliseconds, so that all hosts
// have them within a term. Without a minimum term, hosts that have started at the same time can
// keep changing their coordinators in response to one another without end.
const minCoordinatorTerm = 100 * time.Millisecond

// elect makes the host that chooseCoordinator returns the coordinator, once the current one's
// minimum term is over, and moves pending reservations to that host; the mutex must be held.
func (bro *broker) elect() {
	now := bro.host.clock.Now()
	chosen := bro.chooseCoordinator()
	if chosen != bro.coordinator && bro.withinMinTerm(now) {
		bro.scheduleElection(now)
		chosen = bro.coordinator
	}
	bro.updateHosts(chosen)
	if chosen == bro.coordinator {
		return
	}
	bro.minTermEnd = now.Add(minCoordinatorTerm + rand.N(minCoordinatorTerm))
	bro.host.log.Info().Stringer("Coordinator", chosen).Stringer("Former", bro.coordinator).
		Bool("Own", chosen == bro.host.epoch).Int("Hosts", len(bro.membership.members)).Int("Waiting", len(bro.pending)).Msg("coordinator changed")
	old := bro.coordinator
	bro.coordinator = chosen
	bro.unreachableHosts.Store(nil)
	bro.applyUnreachable(bro.host.epoch, bro.publishedUnreachable)
	bro.sendDelegations(old, chosen)
	bro.handOverGrants(old, chosen)
	bro.gate.Reset()
	bro.judge.Reset()
	bro.completeOrigins()
	for id, pen := range bro.pending {
		if pen.coordinator == chosen {
			continue
		}
		bro.send(pen.coordinator, reservation.Withdraw{ID: id, Ballot: pen.reserve.Ballot})
		bro.submit(pen)
	}
}

// withinMinTerm reports whether the coordinator is kept for now, whichever host is the leader: it
// is within its minimum term, reachable and still a member. A host that is its own coordinator
// switches to another one without delay.
func (bro *broker) withinMinTerm(now time.Time) bool {
	return bro.coordinator != bro.host.epoch && now.Before(bro.minTermEnd) && bro.isReachable(bro.coordinator) && bro.isMember(bro.coordinator)
}

func (bro *broker) isMember(epo request.Epoch) bool {
	return slices.ContainsFunc(bro.membership.members, func(mem fleet.Member) bool { return mem.Epoch == epo })
}

// scheduleElection schedules an election for the end of the coordinator's minimum term; the mutex
// must be held.
func (bro *broker) scheduleElection(now time.Time) {
	if bro.electionScheduled {
		return
	}
	bro.electionScheduled = true
	time.AfterFunc(bro.minTermEnd.Sub(now), func() {
		bro.mutex.Lock()
		defer bro.mutex.Unlock()
		bro.electionScheduled = false
		bro.elect()
		bro.publishLeader()
	})
}

// sendDelegations notifies the old and the new coordinator which of them this host uses. Without
// this a coordinator could only count the hosts that send it reservations; after seconds without
// traffic it would consider all hosts lost and enforce only its own share of the limits.
func (bro *broker) sendDelegations(old, chosen request.Epoch) {
	if old != bro.host.epoch {
		bro.send(old, reservation.Delegation{})
	}
	if chosen != bro.host.epoch {
		bro.send(chosen, reservation.Delegation{Delegated: true})
	}
}

// handOverGrants sends the grants in use to the new coordinator and releases them at the old one,
// which would otherwise consider the engines full if it became the coordinator again. The host's
// own scheduler always knows the host's own grants, so it is sent none.
func (bro *broker) handOverGrants(old, chosen request.Epoch) {
	for _, gra := range bro.activeGrants {
		if chosen != bro.host.epoch {
			bro.send(chosen, *gra)
		}
		if old != bro.host.epoch {
			bro.send(old, reservation.Release{ID: gra.ID, Ballot: gra.Ballot, Engine: gra.Engine, Dispatched: true})
		}
	}
}

// setDelegated records whether a gateway uses this host as its coordinator; the mutex must be
// held.
func (bro *broker) setDelegated(inb *inbound, delegated bool) {
	inb.delegated = delegated
	if delegated && len(bro.publishedUnreachable) > 0 {
		bro.sendUnreachable(inb)
	}
	if delegated {
		bro.sendCasesToGateway(inb)
		bro.sendStreamsToKeeper(inb)
		bro.requestLoan(inb)
		bro.wakeShares()
	} else {
		bro.returnLoan(inb)
	}
	bro.updateHosts(bro.coordinator)
	bro.publishLeader()
}

// updateHosts sets this host's place among the hosts, by which those that schedule for themselves divide the
// engines' slots.
func (bro *broker) updateHosts(chosen request.Epoch) {
	standby := chosen != bro.host.epoch && bro.servedHosts() == 1
	hosts := len(bro.membership.members)
	leads := chosen == bro.host.epoch && (bro.isLeader() || hosts == 1)
	othersSchedule := chosen != bro.host.epoch || bro.servedHosts() < hosts
	bro.handleLocked(scheduler.HostsChanged{Hosts: hosts, Position: bro.position(), Standby: standby, Leads: leads, OthersSchedule: othersSchedule})
}

// position returns this host's place among all hosts, in the order of their names.
func (bro *broker) position() int {
	position := 0
	for _, mem := range bro.membership.members {
		if mem.Name < bro.host.set.Name {
			position++
		}
	}
	return position
}

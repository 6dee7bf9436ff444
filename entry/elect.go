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

// steadyTime is the minimum term of a newly chosen coordinator while it is reachable. The
// actual term is drawn from one to two times this, so that no two hosts change in step. It is
// long enough for the reports of the leader, which take a few milliseconds, to converge.
// Without it, hosts that have started at the same time can keep changing their coordinators in
// response to one another without end.
const steadyTime = 100 * time.Millisecond

// elect makes the chosen host the coordinator and moves pending reservations to it; the mutex is
// held.
func (bro *desk) elect() {
	now := bro.host.clock.Now()
	chosen := bro.choose()
	if chosen != bro.active && bro.staysSteady(now) {
		bro.electLater(now)
		chosen = bro.active
	}
	bro.share(chosen)
	if chosen == bro.active {
		return
	}
	bro.steadyUntil = now.Add(steadyTime + rand.N(steadyTime))
	bro.host.log.Info().Stringer("Coordinator", chosen).Stringer("Former", bro.active).
		Bool("Own", chosen == bro.host.epoch).Int("Hosts", len(bro.roster.members)).Int("Waiting", len(bro.tickets)).Msg("coordinator changed")
	old := bro.active
	bro.active = chosen
	bro.absent.Store(nil)
	bro.takeAbsent(bro.host.epoch, bro.toldAbsent)
	bro.appoint(old, chosen)
	bro.tellSpent(chosen)
	bro.moveHolds(old, chosen)
	for id, pen := range bro.tickets {
		if pen.asked == chosen {
			continue
		}
		bro.tell(old, reservation.Withdraw{ID: id, Ballot: pen.reserve.Ballot})
		bro.ask(pen)
	}
}

// staysSteady reports whether the coordinator stays for now, whichever host is the leader: it
// is within its minimum term, reachable and still a member. A host that is its own coordinator
// switches to another one without delay.
func (bro *desk) staysSteady(now time.Time) bool {
	return bro.active != bro.host.epoch && now.Before(bro.steadyUntil) && bro.reaches(bro.active) && bro.isMember(bro.active)
}

func (bro *desk) isMember(epo request.Epoch) bool {
	return slices.ContainsFunc(bro.roster.members, func(mem fleet.Member) bool { return mem.Epoch == epo })
}

// electLater schedules an election for the end of the coordinator's minimum term; the mutex
// is held.
func (bro *desk) electLater(now time.Time) {
	if bro.electing {
		return
	}
	bro.electing = true
	time.AfterFunc(bro.steadyUntil.Sub(now), func() {
		bro.mutex.Lock()
		defer bro.mutex.Unlock()
		bro.electing = false
		bro.elect()
		bro.tellLeader()
	})
}

// appoint notifies the old and the new coordinator which of them this host uses. Without this a
// coordinator could only count the hosts that send it reservations; after seconds without traffic
// it would take all hosts for lost and enforce only its own share of the limits.
func (bro *desk) appoint(old, chosen request.Epoch) {
	if old != bro.host.epoch {
		bro.tell(old, reservation.Appoint{})
	}
	if chosen != bro.host.epoch {
		bro.tell(chosen, reservation.Appoint{Decides: true})
	}
}

// moveHolds sends the grants in use to the new coordinator and releases them at the old one,
// which would otherwise take the engines to be full if it became the coordinator again. The
// host's own scheduler always knows the host's own grants.
func (bro *desk) moveHolds(old, chosen request.Epoch) {
	for _, gra := range bro.holds {
		if chosen != bro.host.epoch {
			bro.tell(chosen, *gra)
		}
		if old != bro.host.epoch {
			bro.tell(old, reservation.Release{ID: gra.ID, Ballot: gra.Ballot, Engine: gra.Engine, Dispatched: true})
		}
	}
}

// setAppointed records whether a gateway uses this host as its coordinator; the mutex is held.
func (bro *desk) appointed(inb *inbound, decides bool) {
	inb.appointed = decides
	if decides && len(bro.toldAbsent) > 0 {
		bro.tellAbsentTo(inb)
	}
	if decides {
		bro.tellCasesTo(inb)
	}
	bro.share(bro.active)
	bro.tellLeader()
}

// outsideParts is the limit divisor of a host that is not registered; it leaves such a
// host almost nothing of the limits.
const outsideParts = 1000

// updateShare sets the share of the limits that the host's own scheduler enforces: that of the
// hosts it coordinates. Two groups of hosts that cannot reach each other then don't serve more in
// total than the limits allow.
func (bro *desk) share(chosen request.Epoch) {
	served := 1
	byAnother := chosen != bro.host.epoch && bro.served() == 1
	if chosen == bro.host.epoch {
		served = bro.served()
	}
	divisor := limitParts(len(bro.roster.members), served)
	if bro.roster.outside && len(bro.roster.candidates) > 0 {
		divisor = outsideParts
	}
	bro.step(scheduler.ShareChanged{Divisor: divisor, Hosts: len(bro.roster.members), Standby: byAnother})
}

// limitParts returns the limit divisor of a scheduler that coordinates the given number of
// hosts.
func limitParts(hosts, served int) float64 {
	return max(1, float64(hosts)/float64(max(1, served)))
}

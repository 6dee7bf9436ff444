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

// steadyTime is for how long, at least, a host that was chosen decides, and at most twice
// as long, while it is reached: long enough for the words of who leads, which take a few
// milliseconds, to have come to rest, and drawn by each host so that no two change in
// step. Without it they chase one another round hosts that have started at once, without end.
const steadyTime = 100 * time.Millisecond

// elect makes the host that is to decide the coordinator; the mutex is held.
// Reservations that wait go to the new one.
func (des *desk) elect() {
	now := des.host.clock.Now()
	chosen := des.choose()
	if chosen != des.active && des.staysSteady(now) {
		des.electLater(now)
		chosen = des.active
	}
	des.share(chosen)
	if chosen == des.active {
		return
	}
	des.steadyUntil = now.Add(steadyTime + rand.N(steadyTime))
	des.host.log.Info().Stringer("Coordinator", chosen).Stringer("Former", des.active).
		Bool("Own", chosen == des.host.epoch).Int("Hosts", len(des.roster.members)).Int("Waiting", len(des.tickets)).Msg("coordinator changed")
	former := des.active
	des.active = chosen
	des.absent.Store(nil)
	des.takeAbsent(des.host.epoch, des.toldAbsent)
	des.appoint(former, chosen)
	des.tellSpent(chosen)
	des.moveHolds(former, chosen)
	for id, tic := range des.tickets {
		if tic.asked == chosen {
			continue
		}
		des.tell(former, reservation.Withdraw{ID: id, Ballot: tic.reserve.Ballot})
		des.ask(tic)
	}
}

// staysSteady reports whether the coordinator stays for now, whoever leads: it was chosen
// lately, and is reached and a member still. A host that decides alone never waits for
// one that decides for others.
func (des *desk) staysSteady(now time.Time) bool {
	return des.active != des.host.epoch && now.Before(des.steadyUntil) && des.reaches(des.active) && des.isMember(des.active)
}

func (des *desk) isMember(epo request.Epoch) bool {
	return slices.ContainsFunc(des.roster.members, func(mem fleet.Member) bool { return mem.Epoch == epo })
}

// electLater elects again when the coordinator has been steady; the mutex is held.
func (des *desk) electLater(now time.Time) {
	if des.electing {
		return
	}
	des.electing = true
	time.AfterFunc(des.steadyUntil.Sub(now), func() {
		des.mutex.Lock()
		defer des.mutex.Unlock()
		des.electing = false
		des.elect()
		des.tellLeader()
	})
}

// appoint tells both coordinators which of them decides for this host. Without it a
// coordinator could go only by who asks, and after seconds without traffic would take all
// hosts for lost and keep to its own part of the limits alone.
func (des *desk) appoint(former, chosen request.Epoch) {
	if former != des.host.epoch {
		des.tell(former, reservation.Appoint{})
	}
	if chosen != des.host.epoch {
		des.tell(chosen, reservation.Appoint{Decides: true})
	}
}

// moveHolds tells the new coordinator of the engines that requests have, and the
// former one that it counts them no more: it may decide again later, and would take
// the engines to be full. The own scheduler knows the own requests at all times.
func (des *desk) moveHolds(former, chosen request.Epoch) {
	for _, hol := range des.holds {
		if chosen != des.host.epoch {
			des.tell(chosen, *hol)
		}
		if former != des.host.epoch {
			des.tell(former, reservation.Release{ID: hol.ID, Ballot: hol.Ballot, Engine: hol.Engine, Dispatched: true})
		}
	}
}

// appointed notes whether a gateway has this host decide; the mutex is held.
func (des *desk) appointed(inb *inbound, decides bool) {
	inb.appointed = decides
	if decides && len(des.toldAbsent) > 0 {
		des.tellAbsentTo(inb)
	}
	if decides {
		des.tellCasesTo(inb)
	}
	des.share(des.active)
	des.tellLeader()
}

// outsideParts leaves a host without an entry next to nothing of the limits.
const outsideParts = 1000

// share tells the own scheduler which part of the limits is its own: that of the
// hosts it decides for. Two groups of hosts that have lost each other then don't
// serve more together than one.
func (des *desk) share(chosen request.Epoch) {
	served := 1
	elsewhere := chosen != des.host.epoch && des.served() == 1
	if chosen == des.host.epoch {
		served = des.served()
	}
	parts := limitParts(len(des.roster.members), served)
	if des.roster.outside && len(des.roster.candidates) > 0 {
		parts = outsideParts
	}
	des.step(scheduler.ShareChanged{Parts: parts, Hosts: len(des.roster.members), Elsewhere: elsewhere})
}

// limitParts returns into how many parts the limits are divided where each part
// decides for so many of the hosts.
func limitParts(hosts, served int) float64 {
	return max(1, float64(hosts)/float64(max(1, served)))
}

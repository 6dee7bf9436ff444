package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/view"
)

const (
	// coordinators is how many hosts a gateway keeps a session with: the one that
	// decides and the one that would next.
	coordinators = 2
	// maxCandidates bounds how many hosts are tried beside them: the hosts that a failure
	// domain's largest are lost with at once, of six, and two more.
	maxCandidates = 5
	// minRedial and maxRedial bound the pause before a lost session is tried again.
	minRedial = 50 * time.Millisecond
	maxRedial = 500 * time.Millisecond
)

// roster is who shares the work.
type roster struct {
	// members are all hosts, candidates those that may coordinate, in their order.
	members    []fleet.Member
	candidates []fleet.Member
	// outside says that this host's own entry is gone while others have theirs:
	// they count without it, so it has no part of the limits of its own.
	outside bool
}

// restart is what a host's own answer told beyond its entry.
type restart struct {
	// former is the epoch of the entry, now the one that the host answered with. A later
	// entry goes before it, whichever is higher: clocks are set back too.
	former request.Epoch
	now    request.Epoch
}

// restarted returns the roster with the epochs of hosts that are known to have
// started again since their entries were written.
func (ros roster) restarted(restarts map[string]restart) roster {
	ros.members = withRestarts(ros.members, restarts)
	ros.candidates = withRestarts(ros.candidates, restarts)
	return ros
}

func withRestarts(members []fleet.Member, restarts map[string]restart) []fleet.Member {
	if len(restarts) == 0 {
		return members
	}
	members = slices.Clone(members)
	for idx, mem := range members {
		if res, known := restarts[mem.Name]; known && res.former == mem.Epoch {
			members[idx].Epoch = res.now
		}
	}
	return members
}

// changeMembers takes a new roster.
func (des *desk) changeMembers(ros roster) {
	des.mutex.Lock()
	des.setRoster(ros)
	des.mutex.Unlock()
	des.wake()
}

// setRoster takes a new roster; the mutex is held.
func (des *desk) setRoster(ros roster) {
	now := time.Now()
	des.listed, des.roster = ros, ros.restarted(des.restarted)
	des.presence.SetMembers(now, des.roster.members)
	des.forgetUnreached()
	des.changeSpending(now)
	des.elect()
	des.tellLeader()
}

// candidates returns the hosts that may coordinate, in order: the first that aren't
// known to be lost, those before them, in case they are back, and whoever leads. Entries
// outlast lost hosts, and who waited for them to lapse would decide alone for as long.
func (des *desk) candidates() []fleet.Member {
	var found []fleet.Member
	reachable := 0
	leaders := des.leaders()
	for _, mem := range des.roster.candidates {
		wanted := reachable < coordinators && len(found) < maxCandidates
		if !wanted && !slices.Contains(leaders, mem.Epoch) {
			continue
		}
		found = append(found, mem)
		if !des.unreached[mem.Epoch] {
			reachable++
		}
	}
	return found
}

// elect makes the first candidate that is reached the coordinator; the mutex is
// held. Reservations that wait go to the new one.
func (des *desk) elect() {
	chosen := des.choose()
	des.share(chosen)
	if chosen == des.active {
		return
	}
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

// appoint tells both coordinators which of them decides for this host. Without it a
// coordinator could go only by who asks: with 300 hosts, after seconds without
// traffic, it took all of them for lost, kept to a 300th of the limits, and refused 3
// in 4 tokens of the first second that followed.
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

// outsideParts leaves a host without an entry next to nothing of the limits.
const outsideParts = 1000

// share tells the own scheduler which part of the limits is its own: that of the
// hosts it decides for. Two groups of hosts that have lost each other then don't
// serve more together than one.
func (des *desk) share(chosen request.Epoch) {
	served := 1
	if chosen == des.host.epoch {
		served = des.served()
	}
	parts := limitParts(len(des.roster.members), served)
	if des.roster.outside && len(des.roster.candidates) > 0 {
		parts = outsideParts
	}
	des.step(scheduler.ShareChanged{Parts: parts, Hosts: len(des.roster.members)})
}

// limitParts returns into how many parts the limits are divided where each part
// decides for so many of the hosts.
func limitParts(hosts, served int) float64 {
	return max(1, float64(hosts)/float64(max(1, served)))
}

// keepSessions keeps a session with each candidate until the context ends.
func (des *desk) keepSessions(ctx context.Context) error {
	ends := make(chan request.Epoch)
	running := make(map[request.Epoch]context.CancelFunc)
	for {
		des.adjustSessions(ctx, running, ends)
		select {
		case <-des.changed:
		case epo := <-ends:
			delete(running, epo)
		case <-ctx.Done():
			for len(running) > 0 {
				delete(running, <-ends)
			}
			return ctx.Err()
		}
	}
}

// adjustSessions starts a keeper for each new candidate and ends those of others.
func (des *desk) adjustSessions(ctx context.Context, running map[request.Epoch]context.CancelFunc, ends chan<- request.Epoch) {
	des.mutex.Lock()
	candidates := des.candidates()
	des.mutex.Unlock()
	wanted := make(map[request.Epoch]bool, len(candidates))
	for _, mem := range candidates {
		wanted[mem.Epoch] = mem.Epoch != des.host.epoch
	}
	for epo, cancel := range running {
		if !wanted[epo] {
			cancel()
		}
	}
	for _, mem := range candidates {
		if !wanted[mem.Epoch] || running[mem.Epoch] != nil {
			continue
		}
		keeping, cancel := context.WithCancel(ctx)
		running[mem.Epoch] = cancel
		go func() {
			des.keepSession(keeping, mem)
			ends <- mem.Epoch
		}()
	}
}

// keepSession opens a session with the host again and again.
func (des *desk) keepSession(ctx context.Context, mem fleet.Member) {
	wait := minRedial
	for ctx.Err() == nil {
		start := time.Now()
		err := des.runSession(ctx, mem)
		if ctx.Err() != nil {
			return
		}
		if time.Since(start) > maxRedial {
			wait = minRedial
		}
		des.host.log.Info().Err(err).Str("Member", mem.Name).Stringer("MemberEpoch", mem.Epoch).Msg("session lost")
		if des.noteRestart(mem, err) {
			return
		}
		des.noteUnreached(mem, time.Since(start))
		task.Sleep(ctx, wait/2+rand.N(wait))
		wait = min(maxRedial, 2*wait)
	}
}

// noteRestart takes another epoch from a host that answers with it: it has started
// again, and its former entry is still there. After the loss of all hosts their first
// coordinator is found so before its new entry is read. It reports whether that is so.
func (des *desk) noteRestart(mem fleet.Member, err error) bool {
	var other *peer.EpochError
	if !errors.As(err, &other) {
		return false
	}
	des.mutex.Lock()
	for _, read := range des.listed.members {
		if read.Name == mem.Name {
			des.restarted[mem.Name] = restart{former: read.Epoch, now: other.Got}
		}
	}
	des.setRoster(des.listed)
	des.mutex.Unlock()
	des.wake()
	des.host.log.Info().Str("Member", mem.Name).Stringer("MemberEpoch", other.Got).Stringer("Former", mem.Epoch).Msg("host has started again")
	return true
}

// noteUnreached goes on to the next candidates where a session couldn't be opened.
func (des *desk) noteUnreached(mem fleet.Member, lasted time.Duration) {
	if lasted > dialTimeout+maxRedial {
		return
	}
	des.mutex.Lock()
	des.unreached[mem.Epoch] = true
	des.mutex.Unlock()
	des.wake()
}

// forgetUnreached forgets what was noted of hosts that have no entry any more.
func (des *desk) forgetUnreached() {
	maps.DeleteFunc(des.unreached, func(epo request.Epoch, _ bool) bool {
		return !slices.ContainsFunc(des.roster.members, func(mem fleet.Member) bool { return mem.Epoch == epo })
	})
	maps.DeleteFunc(des.restarted, func(name string, _ restart) bool {
		return !slices.ContainsFunc(des.roster.members, func(mem fleet.Member) bool { return mem.Name == name })
	})
}

// wake has the sessions adjusted to the candidates.
func (des *desk) wake() {
	select {
	case des.changed <- struct{}{}:
	default:
	}
}

// dialTimeout bounds the opening of a session: a host that is cut off says nothing.
const dialTimeout = 700 * time.Millisecond

// runSession runs one session until it is lost.
func (des *desk) runSession(ctx context.Context, mem fleet.Member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(dialTimeout, cancel)
	lin := &link{member: mem, queue: peer.NewQueue(), cancel: cancel}
	to := view.Member{Name: mem.Name, Epoch: mem.Epoch, Domain: mem.Domain, PeerAddress: mem.PeerAddress}
	err := des.host.peers.Session(ctx, to, lin.queue,
		func() {
			if opening.Stop() {
				des.linkUp(lin)
			}
		},
		func(rec peer.Received) {
			if rec.Message != nil {
				des.linkMessage(lin, rec.Message)
			}
		},
	)
	des.linkLost(lin)
	return err
}

func (des *desk) linkUp(lin *link) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	des.host.log.Info().Str("Member", lin.member.Name).Stringer("MemberEpoch", lin.member.Epoch).Msg("session up")
	des.links[lin.member.Epoch] = lin
	delete(des.unreached, lin.member.Epoch)
	des.elect()
	des.tellLeader()
}

func (des *desk) linkMessage(lin *link, msg reservation.Message) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if des.links[lin.member.Epoch] == lin {
		des.decided(lin.member.Epoch, msg)
	}
}

func (des *desk) linkLost(lin *link) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if des.links[lin.member.Epoch] != lin {
		return
	}
	delete(des.links, lin.member.Epoch)
	des.elect()
	des.tellLeader()
}

// Header implements peer.Sessions.
func (hos *Host) Header() peer.Header {
	return peer.Header{Epoch: hos.epoch, Name: hos.set.Name}
}

// Header implements peer.Sessions.
func (des *desk) Header() peer.Header {
	return des.host.Header()
}

// SessionUp implements peer.Sessions.
func (des *desk) SessionUp(from peer.Header, que *peer.Queue, cancel context.CancelFunc) uint64 {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	for num, inb := range des.inbound {
		if inb.gateway == from.Epoch {
			inb.cancel()
			des.dropInbound(num)
		}
	}
	des.sessions++
	des.presence.Reached(from.Epoch)
	inb := &inbound{gateway: from.Epoch, name: from.Name, queue: que, cancel: cancel}
	des.inbound[des.sessions] = inb
	if des.toldLeader != 0 {
		des.tellLeaderTo(inb)
	}
	des.share(des.active)
	return des.sessions
}

// SessionMessage implements peer.Sessions.
func (des *desk) SessionMessage(session uint64, rec peer.Received) {
	if rec.Message == nil {
		return
	}
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if inb := des.inbound[session]; inb != nil {
		if app, isAppoint := rec.Message.(reservation.Appoint); isAppoint {
			des.appointed(inb, app.Decides)
			return
		}
		des.step(scheduler.Received{From: inb.gateway, Message: rec.Message})
	}
}

// appointed notes whether a gateway has this host decide; the mutex is held.
func (des *desk) appointed(inb *inbound, decides bool) {
	inb.appointed = decides
	if decides && len(des.toldAbsent) > 0 {
		des.tellAbsentTo(inb)
	}
	des.share(des.active)
	des.tellLeader()
}

// SessionLost implements peer.Sessions.
func (des *desk) SessionLost(session uint64) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if des.inbound[session] != nil {
		des.dropInbound(session)
		des.share(des.active)
		des.tellLeader()
	}
}

func (des *desk) dropInbound(session uint64) {
	inb := des.inbound[session]
	delete(des.inbound, session)
	des.presence.Lost(time.Now(), inb.gateway)
	des.step(scheduler.GatewayLost{Gateway: inb.gateway})
}

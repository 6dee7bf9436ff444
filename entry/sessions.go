package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/view"
)

const (
	// minRedial and maxRedial bound the average delay before a lost session is opened again.
	minRedial = 50 * time.Millisecond
	maxRedial = 500 * time.Millisecond
)

// maintainSessions maintains a session with each candidate until the context ends.
func (bro *broker) maintainSessions(ctx context.Context) error {
	if !bro.host.hasPeerKey() {
		select {
		case <-bro.host.secrets.known:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	ended := make(chan request.Epoch)
	running := make(map[request.Epoch]context.CancelFunc)
	for {
		bro.reconcileSessions(ctx, running, ended)
		select {
		case <-bro.candidatesChanged:
		case epo := <-ended:
			delete(running, epo)
		case <-ctx.Done():
			for len(running) > 0 {
				delete(running, <-ended)
			}
			return ctx.Err()
		}
	}
}

// reconcileSessions starts maintaining sessions with new candidates and closes those with hosts
// that are no longer candidates.
func (bro *broker) reconcileSessions(ctx context.Context, running map[request.Epoch]context.CancelFunc, ended chan<- request.Epoch) {
	bro.mutex.Lock()
	candidates := bro.candidates()
	borrower := bro.shares.book.Borrower()
	bro.mutex.Unlock()
	wanted := make(map[request.Epoch]bool, len(candidates))
	for _, mem := range candidates {
		wanted[mem.Epoch] = mem.Epoch != bro.host.epoch
	}
	if running[borrower] != nil {
		// The share comes back over this session.
		wanted[borrower] = true
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
		sessionCtx, cancel := context.WithCancel(ctx)
		running[mem.Epoch] = cancel
		go func() {
			bro.maintainSession(sessionCtx, mem)
			ended <- mem.Epoch
		}()
	}
}

// maintainSession opens a session with a host, and opens it again with exponential backoff and
// jitter whenever it is lost or could not be opened. It ends when the host has restarted, since the
// candidates then include the host with its new epoch.
func (bro *broker) maintainSession(ctx context.Context, mem fleet.Member) {
	wait := minRedial
	for ctx.Err() == nil {
		start := time.Now()
		err := bro.runSession(ctx, mem)
		if ctx.Err() != nil {
			return
		}
		if time.Since(start) > maxRedial {
			wait = minRedial
		}
		bro.host.log.Info().Err(err).Str("Member", mem.Name).Stringer("MemberEpoch", mem.Epoch).Msg("session lost")
		if bro.recordRestart(mem, err) {
			return
		}
		bro.recordUnreachable(mem, time.Since(start))
		task.Sleep(ctx, wait/2+rand.N(wait))
		wait = min(maxRedial, 2*wait)
	}
}

// wakeSessions triggers an adjustment of the sessions to the current candidates.
func (bro *broker) wakeSessions() {
	select {
	case bro.candidatesChanged <- struct{}{}:
	default:
	}
}

// dialTimeout bounds the opening of a session: an unreachable host may not respond at all.
const dialTimeout = 700 * time.Millisecond

// runSession opens a session and returns when it is lost, or could not be opened within dialTimeout.
func (bro *broker) runSession(ctx context.Context, mem fleet.Member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(dialTimeout, cancel)
	lin := &link{member: mem, queue: peer.NewQueue(), cancel: cancel}
	to := view.Member{Name: mem.Name, Epoch: mem.Epoch, Domain: mem.Domain, PeerAddress: mem.PeerAddress}
	err := bro.host.peers.Session(ctx, to, lin.queue,
		func() {
			if opening.Stop() {
				bro.linkUp(lin)
			}
		},
		func(rec peer.Received) {
			if rec.Message != nil {
				bro.linkMessage(lin, rec.Message)
			}
		},
	)
	bro.linkLost(lin, hasEnded(err))
	return err
}

func (bro *broker) linkUp(lin *link) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.host.log.Info().Str("Member", lin.member.Name).Stringer("MemberEpoch", lin.member.Epoch).Msg("session up")
	bro.links[lin.member.Epoch] = lin
	delete(bro.unreachableCandidates, lin.member.Epoch)
	bro.sendCases(lin.member.Epoch)
	bro.sendKnownStreams(lin.member.Epoch)
	bro.reportVersions(lin.member.Epoch)
	bro.sendNotices(lin.member)
	bro.reportEnforcedOrdersTo(lin.member.Epoch)
	bro.elect()
	bro.publishLeader()
}

func (bro *broker) linkMessage(lin *link, msg reservation.Message) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if bro.links[lin.member.Epoch] == lin {
		bro.applyMessage(lin.member.Epoch, msg)
	}
}

// linkLost records the end of a session. ended is set if the other host has ended it.
func (bro *broker) linkLost(lin *link, ended bool) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if bro.links[lin.member.Epoch] != lin {
		return
	}
	delete(bro.links, lin.member.Epoch)
	if ended {
		bro.loseBorrower(lin.member.Epoch)
	}
	bro.elect()
	bro.publishLeader()
}

// Header implements peer.Sessions.
func (hos *Host) Header() peer.Header {
	return peer.Header{Epoch: hos.epoch, Name: hos.set.Name}
}

// Header implements peer.Sessions.
func (bro *broker) Header() peer.Header {
	return bro.host.Header()
}

// SessionUp implements peer.Sessions.
func (bro *broker) SessionUp(from peer.Header, que *peer.Queue, cancel context.CancelFunc) uint64 {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	for num, inb := range bro.inbound {
		if inb.gateway == from.Epoch {
			inb.cancel()
			bro.dropInbound(num)
		}
	}
	bro.lastSession++
	bro.presence.SessionOpened(from.Epoch)
	inb := &inbound{gateway: from.Epoch, name: from.Name, queue: que, cancel: cancel}
	bro.inbound[bro.lastSession] = inb
	bro.updateSenders(bro.host.clock.Now())
	if bro.publishedLeader != 0 || bro.deposed.Latest(bro.host.clock.Now()) != 0 {
		bro.sendLeader(inb)
	}
	return bro.lastSession
}

// SessionMessage implements peer.Sessions.
func (bro *broker) SessionMessage(session uint64, rec peer.Received) {
	if rec.Message == nil {
		return
	}
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if inb := bro.inbound[session]; inb != nil {
		if del, isDelegation := rec.Message.(reservation.Delegation); isDelegation {
			bro.setDelegated(inb, del.Delegated)
			return
		}
		if enf, isEnforced := rec.Message.(reservation.EnforcedOrders); isEnforced {
			bro.applyEnforcedOrders(inb.gateway, enf)
			return
		}
		if slow, isReport := rec.Message.(reservation.CoordinatorSlow); isReport {
			bro.slowReports.Record(bro.host.clock.Now(), inb.gateway, slow.Host, slow.Slow)
			return
		}
		if _, isResignation := rec.Message.(reservation.Resignation); isResignation {
			bro.applyResignation(inb.gateway)
			return
		}
		if str, isStreams := rec.Message.(reservation.StreamsBegan); isStreams && inb.delegated {
			bro.relayStreams(str.Batch)
			bro.completeOrigins()
		}
		if ver, isReport := rec.Message.(reservation.VersionsKnown); isReport {
			bro.recordVersionsKnown(inb.gateway, ver.Number)
			return
		}
		if loan, isLoan := rec.Message.(reservation.ShareLoan); isLoan {
			bro.applyShareLoan(inb, loan)
			return
		}
		bro.handleLocked(scheduler.Received{From: inb.gateway, Message: rec.Message})
	}
}

// SessionLost implements peer.Sessions.
func (bro *broker) SessionLost(session uint64) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if bro.inbound[session] != nil {
		bro.dropInbound(session)
		bro.updateHosts(bro.coordinator)
		bro.publishLeader()
	}
}

func (bro *broker) dropInbound(session uint64) {
	inb := bro.inbound[session]
	delete(bro.inbound, session)
	bro.shares.book.GiveBack(inb.gateway)
	bro.slowReports.Remove(inb.gateway)
	now := bro.host.clock.Now()
	bro.presence.SessionEnded(now, inb.gateway)
	bro.evacuations.ClearEnforced(inb.gateway)
	bro.updateSenders(now)
	bro.handleLocked(scheduler.GatewayLost{Gateway: inb.gateway})
}

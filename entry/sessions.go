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
	// minRedial and maxRedial bound the pause before a lost session is tried again.
	minRedial = 50 * time.Millisecond
	maxRedial = 500 * time.Millisecond
)

// keepSessions keeps a session with each candidate until the context ends.
func (des *desk) keepSessions(ctx context.Context) error {
	if !des.host.keyed() {
		select {
		case <-des.host.secrets.known:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
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
	des.tellCases(lin.member.Epoch)
	des.tellNotices(lin.member)
	des.tellEmptyingTo(lin.member.Epoch)
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
		if emp, isEmptying := rec.Message.(reservation.Emptying); isEmptying {
			des.takeEmptying(inb.gateway, emp)
			return
		}
		des.step(scheduler.Received{From: inb.gateway, Message: rec.Message})
	}
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
	des.presence.Lost(des.host.clock.Now(), inb.gateway)
	des.evacuations.Forget(inb.gateway)
	des.step(scheduler.GatewayLost{Gateway: inb.gateway})
}

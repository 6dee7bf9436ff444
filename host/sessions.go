package host

import (
	"context"
	"math/rand/v2"
	"time"

	"lynxwell.dev/lynxwell/coordinator"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/view"
)

// minReconnectDelay and maxReconnectDelay bound the exponential backoff before a lost
// session is reopened.
const (
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = time.Second
)

// maintainSessions keeps a session open with each member that this gateway connects to, until
// the context ends.
func (hos *Host) maintainSessions(ctx context.Context) error {
	ended := make(chan request.Epoch)
	running := make(map[request.Epoch]context.CancelFunc)
	for {
		changed := hos.shared.nextChange()
		hos.reconcileSessions(ctx, running, ended)
		select {
		case <-changed:
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

// reconcileSessions starts a goroutine for each missing session and cancels the goroutines of
// members that are no longer in the view.
func (hos *Host) reconcileSessions(ctx context.Context, running map[request.Epoch]context.CancelFunc, ended chan<- request.Epoch) {
	vie := hos.shared.view()
	for epo, cancel := range running {
		if _, member := vie.Member(epo); !member {
			cancel()
		}
	}
	for _, mem := range vie.SessionPeers(hos.epoch, hos.Configuration().SlotsByService()) {
		if running[mem.Epoch] != nil {
			continue
		}
		sessionCtx, cancel := context.WithCancel(ctx)
		running[mem.Epoch] = cancel
		go func() {
			hos.maintainSession(sessionCtx, mem)
			ended <- mem.Epoch
		}()
	}
}

// maintainSession opens a session with the member and reopens it with backoff and jitter
// whenever it ends, until the context ends.
func (hos *Host) maintainSession(ctx context.Context, mem view.Member) {
	wait := minReconnectDelay
	for ctx.Err() == nil {
		start := time.Now()
		err := hos.runSession(ctx, mem)
		if time.Since(start) > maxReconnectDelay {
			wait = minReconnectDelay
		}
		hos.log.Debug().Err(err).Str("Peer", mem.Name).Stringer("PeerEpoch", mem.Epoch).Msg("session with a peer ended or could not be opened; reconnecting")
		if !task.Sleep(ctx, wait/2+rand.N(wait)) {
			return
		}
		wait = min(maxReconnectDelay, 2*wait)
	}
}

// runSession opens a session with the member and returns when the session has ended or could
// not be opened.
func (hos *Host) runSession(ctx context.Context, mem view.Member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := &outbound{member: mem, queue: peer.NewQueue(), cancel: cancel}
	lop := hos.loop
	err := hos.peers.Session(ctx, mem, out.queue,
		func() { lop.post(func(now time.Time) { lop.outboundUp(now, out) }) },
		func(rec peer.Received) { lop.post(func(now time.Time) { lop.outboundMessage(now, out, rec) }) },
	)
	lop.post(func(now time.Time) { lop.outboundLost(now, out) })
	return err
}

func (lop *loop) outboundUp(now time.Time, out *outbound) {
	out.up = true
	lop.outbound[out.member.Epoch] = out
	lop.coordinatorEvent(now, coordinator.HostUp{Host: out.member.Epoch})
	lop.gatewayEvent(now, gateway.PeerUp{Peer: out.member.Epoch})
}

// outboundMessage processes a coordinator's message. Messages of sessions that were lost or
// replaced in the meantime are ignored.
func (lop *loop) outboundMessage(now time.Time, out *outbound, rec peer.Received) {
	if lop.outbound[out.member.Epoch] != out {
		return
	}
	if rec.Message == nil {
		lop.host.recordHeader(rec.Header, out.member)
		return
	}
	lop.gatewayEvent(now, gateway.Received{From: out.member.Epoch, Message: rec.Message, Load: rec.Load})
}

// outboundLost reports a lost session, or one that could not be opened, to both cores.
func (lop *loop) outboundLost(now time.Time, out *outbound) {
	if !out.up {
		lop.coordinatorEvent(now, coordinator.HostLost{Host: out.member.Epoch})
		lop.gatewayEvent(now, gateway.PeerUnreachable{Peer: out.member.Epoch})
		return
	}
	if lop.outbound[out.member.Epoch] != out {
		return
	}
	delete(lop.outbound, out.member.Epoch)
	lop.host.shared.deleteHeader(out.member.Epoch)
	lop.coordinatorEvent(now, coordinator.HostLost{Host: out.member.Epoch})
	lop.gatewayEvent(now, gateway.PeerLost{Peer: out.member.Epoch})
}

// inboundUp registers a session that a gateway opened and ends the gateway's previous session.
func (lop *loop) inboundUp(now time.Time, inb *inbound) {
	if previous := lop.inbound[inb.gateway]; previous != nil {
		lop.inboundLost(now, previous)
		previous.cancel()
	}
	lop.inbound[inb.gateway] = inb
	lop.inboundByID[inb.number] = inb
}

func (lop *loop) inboundMessage(now time.Time, number uint64, rec peer.Received) {
	inb := lop.inboundByID[number]
	if inb == nil || rec.Message == nil {
		return
	}
	lop.coordinatorEvent(now, coordinator.Received{From: inb.gateway, Message: rec.Message})
}

func (lop *loop) inboundLost(now time.Time, inb *inbound) {
	delete(lop.inboundByID, inb.number)
	if lop.inbound[inb.gateway] != inb {
		return
	}
	delete(lop.inbound, inb.gateway)
	lop.coordinatorEvent(now, coordinator.GatewayLost{Gateway: inb.gateway})
}

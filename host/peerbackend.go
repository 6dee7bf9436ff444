package host

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// inboundCount counts the sessions that gateways have opened with hosts of this process. Its
// value when a session is opened is the session's number.
var inboundCount atomic.Uint64

// Header implements peer.Backend.
func (hos *Host) Header() peer.Header {
	return peer.Header{
		Epoch: hos.epoch, Name: hos.set.Name,
		View: hos.shared.view().Number, Revision: hos.Configuration().Revision, Window: hos.window(),
	}
}

// SessionUp implements peer.Backend.
func (hos *Host) SessionUp(from peer.Header, que *peer.Queue, cancel context.CancelFunc) uint64 {
	inb := &inbound{number: inboundCount.Add(1), gateway: from.Epoch, name: from.Name, queue: que, cancel: cancel}
	hos.loop.post(func(now time.Time) { hos.loop.inboundUp(now, inb) })
	return inb.number
}

// SessionMessage implements peer.Backend.
func (hos *Host) SessionMessage(session uint64, rec peer.Received) {
	if rec.Message == nil {
		if mem, known := hos.shared.view().Member(rec.Header.Epoch); known {
			hos.recordHeader(rec.Header, mem)
		}
		return
	}
	hos.loop.post(func(now time.Time) { hos.loop.inboundMessage(now, session, rec) })
}

// SessionLost implements peer.Backend.
func (hos *Host) SessionLost(session uint64) {
	hos.loop.post(func(now time.Time) {
		if inb := hos.loop.inboundByNumber[session]; inb != nil {
			hos.loop.inboundLost(now, inb)
		}
	})
}

// Fence implements peer.Backend.
func (hos *Host) Fence(ctx context.Context, fen reservation.Fence) (reservation.FenceAnswer, error) {
	return callLoop(ctx, hos.loop, func(now time.Time) reservation.FenceAnswer {
		ans, actions := hos.loop.coordinator.Fence(now, fen)
		hos.loop.coordinatorActions(now, actions)
		return ans
	})
}

// Vouch implements peer.Backend.
func (hos *Host) Vouch(ctx context.Context, att reservation.Attestation) error {
	_, err := callLoop(ctx, hos.loop, func(now time.Time) struct{} {
		hos.loop.coordinator.Attest(now, att)
		return struct{}{}
	})
	return err
}

// Unvouch implements peer.Backend.
func (hos *Host) Unvouch(ctx context.Context, rev reservation.Revocation) (reservation.RevocationAnswer, error) {
	return callLoop(ctx, hos.loop, func(time.Time) reservation.RevocationAnswer {
		return hos.loop.coordinator.RevokeAttestation(rev)
	})
}

// Handover implements peer.Backend.
func (hos *Host) Handover(ctx context.Context, han reservation.Handover) error {
	_, err := callLoop(ctx, hos.loop, func(now time.Time) struct{} {
		hos.loop.coordinator.TakeOver(now, han)
		return struct{}{}
	})
	return err
}

// State implements peer.Backend.
func (hos *Host) State(_ context.Context, viewsFrom, aboveRevision uint64) (peer.State, error) {
	var sta peer.State
	for _, vie := range hos.shared.viewsSince(viewsFrom) {
		data, err := json.Marshal(vie)
		if err != nil {
			return sta, errors.Wrap(err, "encode view")
		}
		sta.Views = append(sta.Views, data)
	}
	acf := hos.shared.config.Load()
	if acf.configuration.Revision <= aboveRevision {
		return sta, nil
	}
	head, err := json.Marshal(acf.head)
	if err != nil {
		return sta, errors.Wrap(err, "encode head")
	}
	sta.Head = head
	sta.Chunks = hos.chunks.forHead(acf.head)
	return sta, nil
}

// window returns the number of the gateway's current time window. Any goroutine may call it.
func (hos *Host) window() uint64 {
	return gateway.WindowAt(hos.started, hos.set.Timing.Window.Std(), time.Now())
}

// prefix returns the prefix of new request ids of this gateway.
func (hos *Host) prefix() request.Prefix {
	return request.Prefix{View: hos.shared.view().Number, Epoch: hos.epoch, Window: hos.window()}
}

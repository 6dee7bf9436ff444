package host

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/caller"
	"lynxwell.dev/lynxwell/coordinator"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
)

// peerCallTimeout bounds a call to another host.
const peerCallTimeout = time.Second

// maxRetainedBytes bounds the total size of the finished answers that are retained for
// repeated requests.
const maxRetainedBytes = 16 << 20

func (lop *loop) count(name string) {
	metrics.GetOrRegisterCounter(name, lop.host.metrics).Inc(1)
}

// gatewayAction executes one action of the gateway core.
func (lop *loop) gatewayAction(now time.Time, act gateway.Action) {
	switch act := act.(type) {
	case gateway.Attach:
		lop.deliverDecision(act.Client, caller.Attached{Exchange: lop.jobOf(act.ID, act.Client).exchange})
	case gateway.Answer:
		lop.count("Finals." + string(act.Final.Cause))
		lop.deliverDecision(act.Client, caller.Answered{Final: act.Final})
	case gateway.Relay:
		lop.count("Relays")
		lop.deliverDecision(act.Client, caller.Relayed{To: act.To})
	case gateway.Finish:
		lop.count("Finals." + string(act.Final.Cause))
		lop.logUndecided(act)
		if jb := lop.jobs[act.ID]; jb != nil {
			jb.exchange.Fail(act.Final)
		}
	case gateway.Dispatch:
		lop.count("Dispatches")
		lop.runJob(act.ID, act.Engine, lop.host.dispatch)
	case gateway.Resume:
		lop.count("Resumes")
		lop.runJob(act.ID, act.Engine, lop.host.resume)
	case gateway.Cancel:
		lop.count("Cancels")
		if jb := lop.jobs[act.ID]; jb != nil && jb.cancel != nil {
			jb.cancel()
		}
	case gateway.Forget:
		lop.dropAnswer(act.ID)
		delete(lop.jobs, act.ID)
	case gateway.Send:
		lop.sendToCoordinator(now, act.To, act.Message)
	case gateway.SendFence:
		lop.sendFence(now, act)
	case gateway.SendAttestation:
		lop.sendAttestation(now, act)
	case gateway.SendRevocation:
		lop.sendRevocation(now, act)
	}
}

// logUndecided logs the fencing state of each granter when a request failed with
// CauseUndecided.
func (lop *loop) logUndecided(act gateway.Finish) {
	if act.Final.Cause != gateway.CauseUndecided {
		return
	}
	answers := zerolog.Arr()
	for _, ans := range act.Granters {
		answers.Dict(zerolog.Dict().Str("Host", ans.Granter.Name).Stringer("Epoch", ans.Granter.Epoch).
			Stringer("Standing", ans.State).Bool("Stopped", ans.Stopped))
	}
	lop.host.log.Info().Stringer("RequestID", act.ID).Array("Granters", answers).Msg("fencing could not determine whether the request ran")
}

// deliverDecision passes the gateway's decision to the waiting client request.
func (lop *loop) deliverDecision(clientID gateway.ClientID, dec caller.Decision) {
	arr := lop.pending[clientID]
	if arr == nil {
		return
	}
	delete(lop.pending, clientID)
	arr.decision <- dec
}

// jobOf returns the job of a request id. The first client request with the id creates the
// job and supplies its work.
func (lop *loop) jobOf(id request.ID, clientID gateway.ClientID) *job {
	jb := lop.jobs[id]
	if jb == nil {
		jb = &job{exchange: caller.NewExchange()}
		if arr := lop.pending[clientID]; arr != nil {
			jb.work, jb.priority = arr.work, arr.rank
		}
		lop.jobs[id] = jb
	}
	return jb
}

// runner dispatches a request to an engine, or reads the answer to a request that the engine
// has already received, and returns the result.
type runner func(ctx context.Context, id request.ID, engine string, jb *job) gateway.Result

// runJob starts a runner for the request and reports its result to the gateway.
func (lop *loop) runJob(id request.ID, engine string, run runner) {
	jb := lop.jobs[id]
	if jb == nil {
		return
	}
	ctx, cancel := context.WithCancel(lop.ctx)
	jb.cancel = cancel
	lop.host.spawn(func() {
		defer cancel()
		res := run(ctx, id, engine, jb)
		lop.post(func(now time.Time) {
			lop.gatewayEvent(now, gateway.EngineDone{ID: id, Result: res})
			lop.retainAnswer(id, jb)
		})
	})
}

// retainAnswer retains a finished answer for repeated requests. It drops the oldest answers
// while their total size exceeds maxRetainedBytes, and removes the ids of forgotten requests
// from the front of retainedOrder.
func (lop *loop) retainAnswer(id request.ID, jb *job) {
	lop.retainedBytes += jb.exchange.Size() - jb.retained
	jb.retained = jb.exchange.Size()
	lop.retainedOrder = append(lop.retainedOrder, id)
	for len(lop.retainedOrder) > 0 {
		oldest := lop.retainedOrder[0]
		if lop.retainedBytes <= maxRetainedBytes && lop.jobs[oldest] != nil {
			break
		}
		lop.retainedOrder = lop.retainedOrder[1:]
		lop.dropAnswer(oldest)
	}
}

// dropAnswer drops the retained answer of a request, if the request still has a job. An answer
// that a client is reading stays in memory, but no longer counts in retainedBytes.
func (lop *loop) dropAnswer(id request.ID) {
	jb := lop.jobs[id]
	if jb == nil {
		return
	}
	lop.retainedBytes -= jb.retained
	jb.retained = 0
	jb.exchange.Drop()
}

func (lop *loop) sendFence(now time.Time, act gateway.SendFence) {
	lop.count("Fences")
	if act.To.Epoch == lop.host.epoch {
		ans, actions := lop.coordinator.Fence(now, act.Fence)
		lop.coordinatorActions(now, actions)
		// The answer is posted, because the gateway may still be sending fences to other hosts.
		lop.host.spawn(func() {
			lop.post(func(now time.Time) {
				lop.gatewayEvent(now, gateway.FenceAnswered{Ballot: act.Fence.Ballot, Answer: ans})
			})
		})
		return
	}
	ctx := lop.ctx
	lop.host.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		ans, err := lop.host.peers.Fence(ctx, act.To, act.Fence)
		lop.post(func(now time.Time) {
			if err != nil {
				lop.gatewayEvent(now, gateway.FenceFailed{ID: act.Fence.ID, Ballot: act.Fence.Ballot, Peer: act.To.Epoch})
				return
			}
			lop.gatewayEvent(now, gateway.FenceAnswered{Ballot: act.Fence.Ballot, Answer: ans})
		})
	})
}

func (lop *loop) sendAttestation(now time.Time, act gateway.SendAttestation) {
	lop.count("Vouches")
	if act.To.Epoch == lop.host.epoch {
		lop.coordinator.Attest(now, act.Attestation)
		return
	}
	ctx := lop.ctx
	lop.host.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		if err := lop.host.peers.Vouch(ctx, act.To, act.Attestation); err != nil {
			lop.host.log.Warn().Err(err).Str("To", act.To.Name).Msg("sending the attestation of a lost host's grants to a peer failed")
		}
	})
}

func (lop *loop) sendRevocation(now time.Time, act gateway.SendRevocation) {
	if act.To.Epoch == lop.host.epoch {
		ans := lop.coordinator.RevokeAttestation(act.Revocation)
		lop.gatewayEvent(now, gateway.RevocationAnswered{Attester: act.To.Epoch, Answer: ans})
		return
	}
	ctx := lop.ctx
	lop.host.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		ans, err := lop.host.peers.Unvouch(ctx, act.To, act.Revocation)
		if err != nil {
			ans.AttestationKey = act.Revocation.AttestationKey
		}
		lop.post(func(now time.Time) {
			lop.gatewayEvent(now, gateway.RevocationAnswered{Attester: act.To.Epoch, Answer: ans, Failed: err != nil})
		})
	})
}

// drainCores passes a Drain event to both cores, which then reject new work.
func (lop *loop) drainCores(now time.Time) {
	lop.gatewayEvent(now, gateway.Drain{})
	lop.coordinatorEvent(now, coordinator.Drain{})
}

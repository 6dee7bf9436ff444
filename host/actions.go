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

// questionTimeout bounds a question to another host.
const questionTimeout = time.Second

// maxKeptAnswers bounds the bytes of finished answers that are kept for repeats.
const maxKeptAnswers = 16 << 20

func (lop *loop) count(name string) {
	metrics.GetOrRegisterCounter(name, lop.host.metrics).Inc(1)
}

// gatewayAction carries out one action of the gateway.
func (lop *loop) gatewayAction(now time.Time, act gateway.Action) {
	switch act := act.(type) {
	case gateway.Attach:
		lop.decide(act.Caller, caller.Attached{Exchange: lop.jobOf(act.ID, act.Caller).exchange})
	case gateway.Answer:
		lop.count("Finals." + string(act.Final.Cause))
		lop.decide(act.Caller, caller.Answered{Final: act.Final})
	case gateway.Relay:
		lop.count("Relays")
		lop.decide(act.Caller, caller.Relayed{To: act.To})
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
		lop.dropKept(act.ID)
		delete(lop.jobs, act.ID)
	case gateway.Send:
		lop.sendToCoordinator(now, act.To, act.Message)
	case gateway.AskFence:
		lop.askFence(now, act)
	case gateway.SendVouch:
		lop.sendVouch(now, act)
	case gateway.SendUnvouch:
		lop.sendUnvouch(now, act)
	}
}

// logUndecided says which granters kept a request from being decided.
func (lop *loop) logUndecided(act gateway.Finish) {
	if act.Final.Cause != gateway.CauseUndecided {
		return
	}
	words := zerolog.Arr()
	for _, wor := range act.Granters {
		words.Dict(zerolog.Dict().Str("Host", wor.Granter.Name).Stringer("Epoch", wor.Granter.Epoch).
			Stringer("Standing", wor.Standing).Bool("Stopped", wor.Stopped))
	}
	lop.host.log.Info().Stringer("RequestID", act.ID).Array("Granters", words).Msg("request not decided")
}

// decide tells a waiting caller what the gateway has decided.
func (lop *loop) decide(num gateway.CallerID, dec caller.Decision) {
	arr := lop.pending[num]
	if arr == nil {
		return
	}
	delete(lop.pending, num)
	arr.decision <- dec
}

// jobOf returns the request's job; the caller that brings it first brings its work.
func (lop *loop) jobOf(id request.ID, num gateway.CallerID) *job {
	jb := lop.jobs[id]
	if jb == nil {
		jb = &job{exchange: caller.NewExchange()}
		if arr := lop.pending[num]; arr != nil {
			jb.work, jb.priority = arr.work, arr.rank
		}
		lop.jobs[id] = jb
	}
	return jb
}

// runner sends a request to an engine, or resumes it there, and returns how it ended.
type runner func(ctx context.Context, id request.ID, engine string, jb *job) gateway.Result

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
			lop.keepAnswer(id, jb)
		})
	})
}

// keepAnswer keeps a finished answer for repeats, and drops the oldest ones
// where they take too much memory.
func (lop *loop) keepAnswer(id request.ID, jb *job) {
	lop.keptBytes += jb.exchange.Size() - jb.kept
	jb.kept = jb.exchange.Size()
	lop.keptOrder = append(lop.keptOrder, id)
	for len(lop.keptOrder) > 0 {
		oldest := lop.keptOrder[0]
		if lop.keptBytes <= maxKeptAnswers && lop.jobs[oldest] != nil {
			break
		}
		lop.keptOrder = lop.keptOrder[1:]
		lop.dropKept(oldest)
	}
}

// dropKept gives up the answer that is kept of a request, if any.
func (lop *loop) dropKept(id request.ID) {
	jb := lop.jobs[id]
	if jb == nil {
		return
	}
	lop.keptBytes -= jb.kept
	jb.kept = 0
	jb.exchange.Drop()
}

func (lop *loop) askFence(now time.Time, act gateway.AskFence) {
	lop.count("Fences")
	if act.To.Epoch == lop.host.epoch {
		ans, actions := lop.coordinator.Fence(now, act.Fence)
		lop.coordinatorActions(now, actions)
		// Not at once: the gateway may be asking several hosts in one go.
		lop.host.spawn(func() {
			lop.post(func(now time.Time) {
				lop.gatewayEvent(now, gateway.FenceAnswered{Ballot: act.Fence.Ballot, Answer: ans})
			})
		})
		return
	}
	ctx := lop.ctx
	lop.host.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, questionTimeout)
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

func (lop *loop) sendVouch(now time.Time, act gateway.SendVouch) {
	lop.count("Vouches")
	if act.To.Epoch == lop.host.epoch {
		lop.coordinator.Vouch(now, act.Vouch)
		return
	}
	ctx := lop.ctx
	lop.host.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, questionTimeout)
		defer cancel()
		if err := lop.host.peers.Vouch(ctx, act.To, act.Vouch); err != nil {
			lop.host.log.Warn().Err(err).Str("To", act.To.Name).Msg("vouch didn't arrive")
		}
	})
}

func (lop *loop) sendUnvouch(now time.Time, act gateway.SendUnvouch) {
	if act.To.Epoch == lop.host.epoch {
		ans := lop.coordinator.Unvouch(act.Unvouch)
		lop.gatewayEvent(now, gateway.Unvouched{Voucher: act.To.Epoch, Answer: ans})
		return
	}
	ctx := lop.ctx
	lop.host.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, questionTimeout)
		defer cancel()
		ans, err := lop.host.peers.Unvouch(ctx, act.To, act.Unvouch)
		if err != nil {
			ans.VouchKey = act.Unvouch.VouchKey
		}
		lop.post(func(now time.Time) {
			lop.gatewayEvent(now, gateway.Unvouched{Voucher: act.To.Epoch, Answer: ans, Failed: err != nil})
		})
	})
}

// drainCores has both cores take nothing new.
func (lop *loop) drainCores(now time.Time) {
	lop.gatewayEvent(now, gateway.Drain{})
	lop.coordinatorEvent(now, coordinator.Drain{})
}

package scheduler

import (
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// Engines send signals about themselves in their answers, which the gateways forward to this
// core as notices. A gateway that received a backoff request isn't granted the engine until the
// backoff expires, even if no other engine is left. A draining engine is granted to no gateway.
// Unlike outlier ejection, which infers an engine's state, these rules may exclude all engines of
// a service.

// BackoffScope selects the gateways that are affected by an engine's backoff request to one of
// them.
type BackoffScope uint8

// Which scope serves clients best depends on the share of requests that the engine rejects, and
// engines don't report that share; docs/design/engines-own-word.md compares the scopes.
const (
	// BackoffOthersProbe lets one request at a time of the other gateways probe whether the engine
	// serves them: at once after the first backoff request, and after a delay that doubles with
	// each rejected probe.
	BackoffOthersProbe BackoffScope = iota
	// BackoffAll applies the backoff to all gateways for a bounded time. An engine that rejects
	// only a part of its requests is then out of use most of the time.
	BackoffAll
	// BackoffRecipient applies the backoff only to the gateway that received it. An engine that
	// rejects all requests then rejects those of each gateway separately.
	BackoffRecipient
)

const (
	// maxSharedBackoff bounds the backoff of gateways that didn't receive the request, like an
	// ejection for repeated failures: a single gateway may have misread the signal.
	maxSharedBackoff = maxEjection
	// probeTimeout bounds how long one probe holds back other requests: its answer may be lost,
	// and a recovered engine should be in use again within a second.
	probeTimeout = time.Second
	// repeatTolerance is the difference in remaining backoff up to which a notice counts as
	// repeated. It covers the difference between the network delays of two paths from a gateway
	// to this core.
	repeatTolerance = 200 * time.Millisecond
	// minBackoffJitter and maxBackoffJitter bound the jitter added to the end of a backoff in the
	// retry delay of refused requests, so that their clients don't return at the same moment.
	minBackoffJitter = 100 * time.Millisecond
	maxBackoffJitter = 500 * time.Millisecond
)

// signalState holds the signals of an engine that are in force. The state of an engine without
// any is nil, so that the check costs one comparison.
type signalState struct {
	// draining is set if the engine is draining or another one has replaced it at its address.
	draining bool
	// backoffUntil is the end of the backoff of each gateway that received a request for it, and
	// sharedBackoffUntil is the end of the backoff of the others.
	backoffUntil       map[request.Epoch]time.Time
	sharedBackoffUntil time.Time
	// requestedAt is the time of the last backoff request. The engine is recovering until a run
	// granted later is answered; meanwhile it gets one request at a time, the probe.
	requestedAt time.Time
	recovering  bool
	probe       *run
	// sharedBackoff is the duration of the last backoff of the other gateways.
	sharedBackoff time.Duration
}

// applyNotice applies an engine's signal that a gateway received.
func (cor *Core) applyNotice(now time.Time, from request.Epoch, msg reservation.EngineNotice) {
	ene := cor.engines[msg.Run]
	if ene == nil {
		return
	}
	switch sgn := msg.Signal.(type) {
	case fleet.Draining, fleet.Replaced:
		cor.signalsOf(ene).draining = true
	case fleet.Backoff:
		cor.signalsOf(ene).applyBackoff(now, from, sgn.Remaining, cor.cfg.BackoffScope)
	case fleet.RateLimit:
		cor.applyRateLimit(now, ene, sgn)
	case fleet.Unlimited:
		cor.clearRate(now, ene)
	case fleet.Cold:
		cor.markCold(now, ene, now.Add(sgn.Remaining))
	case fleet.Brittle:
		cor.service(ene.Service).markBrittle(now)
	}
	cor.serveEngine(now, ene)
}

// signalsOf returns the signal state of an engine for modification, creating it if necessary.
func (cor *Core) signalsOf(ene *engine) *signalState {
	svc := cor.service(ene.Service)
	if ene.signals == nil {
		ene.signals = &signalState{backoffUntil: make(map[request.Epoch]time.Time)}
		svc.signaledEngines++
	}
	svc.blockCache = blockCache{}
	return ene.signals
}

// String returns the state for dumps.
func (sig *signalState) String() string {
	switch {
	case sig.draining:
		return "Leaves"
	case sig.recovering:
		return "Unproved"
	default:
		return "Paused"
	}
}

// applyBackoff blocks a gateway for the requested time. A new request also blocks the other
// gateways for the time that the scope sets. A repeated notice, such as one sent to a new coordinator or with a
// returned grant, carries no new information.
func (sig *signalState) applyBackoff(now time.Time, from request.Epoch, left time.Duration, scope BackoffScope) {
	until := now.Add(left)
	isNew := until.Sub(sig.backoffUntil[from]) > repeatTolerance
	if until.After(sig.backoffUntil[from]) {
		sig.backoffUntil[from] = until
	}
	if scope == BackoffRecipient || !isNew {
		return
	}
	shared := min(left, maxSharedBackoff)
	if scope == BackoffOthersProbe {
		shared = min(left, sig.nextSharedBackoff(from))
	}
	if until := now.Add(shared); until.After(sig.sharedBackoffUntil) {
		sig.sharedBackoffUntil = until
	}
	sig.requestedAt, sig.recovering = now, true
}

// nextSharedBackoff returns the backoff of the other gateways: none at first, since the engine
// may reject only a part of its requests, and twice as long after each rejected probe.
// Rejections of requests that were granted before the backoff carry no new information.
func (sig *signalState) nextSharedBackoff(from request.Epoch) time.Duration {
	switch {
	case !sig.recovering:
		sig.sharedBackoff = 0
	case sig.probe != nil && sig.probe.gateway == from:
		sig.sharedBackoff = min(maxEjection, max(minEjection, 2*sig.sharedBackoff))
	}
	return sig.sharedBackoff
}

// blocks reports whether the engine may not be granted to the gateway.
func (sig *signalState) blocks(now time.Time, gateway request.Epoch) bool {
	return sig.blocksAll(now) || now.Before(sig.backoffUntil[gateway])
}

// blocksAll reports whether the engine may not be granted to any gateway.
func (sig *signalState) blocksAll(now time.Time) bool {
	return sig.draining || now.Before(sig.sharedBackoffUntil) || sig.probing(now)
}

// probing reports whether a probe of the engine is in progress.
func (sig *signalState) probing(now time.Time) bool {
	return sig.recovering && sig.probe != nil && now.Sub(sig.probe.grantedAt) < probeTimeout
}

// blockedUntil returns the time from which the engine may be granted to the gateway, unless it
// is draining.
func (sig *signalState) blockedUntil(gateway request.Epoch) time.Time {
	if at := sig.backoffUntil[gateway]; at.After(sig.sharedBackoffUntil) {
		return at
	}
	return sig.sharedBackoffUntil
}

// expired reports whether no signal is in force any more, and removes the expired backoffs.
func (sig *signalState) expired(now time.Time) bool {
	maps.DeleteFunc(sig.backoffUntil, func(_ request.Epoch, until time.Time) bool { return !now.Before(until) })
	return !sig.draining && !sig.recovering && len(sig.backoffUntil) == 0 && !now.Before(sig.sharedBackoffUntil)
}

// blockedFor reports whether a signal blocks the engine for the gateway.
func (ene *engine) blockedFor(now time.Time, gateway request.Epoch) bool {
	return ene.signals != nil && ene.signals.blocks(now, gateway)
}

// isDraining reports whether the engine is draining according to its store entry or its signals.
func (ene *engine) isDraining() bool {
	return ene.Closed() || ene.signals != nil && ene.signals.draining
}

// isBlocked reports whether the engine may not be granted to any gateway.
func (ene *engine) isBlocked(now time.Time) bool {
	return ene.Closed() || ene.signals != nil && ene.signals.blocksAll(now)
}

// recordProbe makes the run the probe of an engine that is recovering from a backoff.
func (ene *engine) recordProbe(rnn *run) {
	if ene.signals != nil && ene.signals.recovering {
		ene.signals.probe = rnn
	}
}

// recordRecovery ends the recovery of the engine if the answered run was granted after the last
// backoff request.
func (ene *engine) recordRecovery(rnn *run) {
	if ene.signals != nil && rnn.grantedAt.After(ene.signals.requestedAt) {
		ene.signals.recovering, ene.signals.probe = false, nil
	}
}

// endProbe allows the next probe once this run has ended, whatever its result.
func (ene *engine) endProbe(rnn *run) {
	if ene.signals != nil && ene.signals.probe == rnn {
		ene.signals.probe = nil
	}
}

// expireSignals drops expired signals of the service's engines.
func (svc *service) expireSignals(now time.Time) {
	if svc.signaledEngines == 0 {
		return
	}
	svc.signaledEngines = 0
	for _, ene := range svc.engines {
		if ene.signals == nil {
			continue
		}
		if ene.signals.expired(now) {
			ene.signals = nil
			svc.blockCache = blockCache{}
			continue
		}
		svc.signaledEngines++
	}
}

// blockCache caches when a service's engines are blocked by their signals. It is computed once
// and invalidated by each new signal: thousands of requests of hundreds of gateways may wait for
// the end of hundreds of backoffs (BenchmarkManyWaitingUnderBackoff).
type blockCache struct {
	// available is set if some engine is open and has no signals in force, computed if the cache is
	// valid.
	available bool
	computed  bool
	byGateway map[request.Epoch]blockPeriod
}

// blockPeriod is the time for which no engine may be granted to a gateway.
type blockPeriod struct {
	// blocked is false if an engine is available.
	blocked bool
	// temporary is set if one of the engines is blocked only until a time, the earliest of which is
	// until; otherwise all are draining.
	temporary bool
	until     time.Time
	// othersUntil is the end of the period for gateways that didn't receive a backoff request: a
	// client may retry at any host.
	othersUntil time.Time
}

// hasBackoff reports whether the gateway has a backoff in force at an engine of the service.
func (svc *service) hasBackoff(now time.Time, gateway request.Epoch) bool {
	return slices.ContainsFunc(svc.engines, func(ene *engine) bool {
		return ene.signals != nil && now.Before(ene.signals.backoffUntil[gateway])
	})
}

// blockPeriodFor returns the period for which all engines that the request doesn't exclude are
// blocked.
func (svc *service) blockPeriodFor(wai *waiter) blockPeriod {
	if len(wai.reserve.Exclude) > 0 {
		return svc.computeBlockPeriod(wai.gateway, wai.reserve.Exclude)
	}
	if svc.hasUnsignaled() {
		return blockPeriod{}
	}
	known, found := svc.blockCache.byGateway[wai.gateway]
	if !found {
		known = svc.computeBlockPeriod(wai.gateway, nil)
		svc.blockCache.byGateway[wai.gateway] = known
	}
	return known
}

// hasUnsignaled reports whether an engine of the service is open and has no signals in force.
func (svc *service) hasUnsignaled() bool {
	blk := &svc.blockCache
	if !blk.computed {
		blk.computed = true
		blk.available = slices.ContainsFunc(svc.engines, func(ene *engine) bool { return !ene.Closed() && ene.signals == nil })
		blk.byGateway = make(map[request.Epoch]blockPeriod)
	}
	return blk.available
}

func (svc *service) computeBlockPeriod(gateway request.Epoch, exclude []string) blockPeriod {
	blk := blockPeriod{blocked: true}
	for _, ene := range svc.engines {
		if ene.Closed() || slices.Contains(exclude, ene.name) {
			continue
		}
		if ene.signals == nil {
			return blockPeriod{}
		}
		if ene.signals.draining {
			continue
		}
		at, others := ene.signals.blockedUntil(gateway), ene.signals.sharedBackoffUntil
		if !blk.temporary || at.Before(blk.until) {
			blk.until = at
		}
		if !blk.temporary || others.Before(blk.othersUntil) {
			blk.othersUntil = others
		}
		blk.temporary = true
	}
	return blk
}

// refuseBlocked refuses a request at once if all engines that it may run on are draining, or in
// backoff beyond its maximum wait, and reports whether it did.
func (cor *Core) refuseBlocked(now time.Time, svc *service, wai *waiter) bool {
	if svc.signaledEngines == 0 {
		return false
	}
	blk := svc.blockPeriodFor(wai)
	if !blk.blocked || blk.temporary && !blk.until.After(wai.until) {
		return false
	}
	delay := RetryAfter(wai.reserve)
	if blk.temporary {
		delay = max(0, blk.othersUntil.Sub(now)) + minBackoffJitter + time.Duration(hashFraction(wai.reserve.ID)*float64(maxBackoffJitter-minBackoffJitter))
	}
	cor.refund(wai.reserve.Account, wai.reserve.Cost)
	cor.send(wai.gateway, reservation.Refuse{ID: wai.reserve.ID, Ballot: wai.reserve.Ballot, Reason: reservation.ReasonBackoff, RetryAfter: delay}, svc.inputsFor(now, wai))
	return true
}

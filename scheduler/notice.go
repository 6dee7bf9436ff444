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
// core as notices. A gateway that received a backoff request is never granted the engine until
// it expires, even if no other engine is left. A draining engine is granted to no gateway.
// Unlike outlier ejection, which infers an engine's state, these rules apply regardless of the
// size of the service.

// PauseScope selects the gateways that are affected by an engine's backoff request to one of
// them.
type PauseScope uint8

// Which scope serves clients best depends on the share of requests that the engine rejects,
// which it doesn't report; docs/design/engines-own-word.md compares them.
const (
	// PauseProbing lets one request at a time of the other gateways probe whether the engine
	// serves them: at once after the first backoff request, and after a growing delay when it is
	// repeated.
	PauseProbing PauseScope = iota
	// PauseAll applies the backoff to all gateways for a bounded time. An engine that rejects
	// only a part of its requests is then out of use most of the time.
	PauseAll
	// PauseAsked applies the backoff only to the gateway that received it. An engine that
	// rejects all requests then rejects those of each gateway separately.
	PauseAsked
)

const (
	// maxSharedPause bounds the backoff of gateways that didn't receive the request, like an
	// ejection for repeated failures: a single gateway may have misread the signal.
	maxSharedPause = maxAside
	// probeFor bounds how long one probe holds back other requests: its answer may be lost,
	// and a recovered engine should be in use again within a second.
	probeFor = time.Second
	// toldAgain is the difference in remaining backoff up to which a notice counts as
	// repeated. It covers the difference between the network delays of two paths from a gateway
	// to this core.
	toldAgain = 200 * time.Millisecond
	// minBackoffSpread and maxBackoffSpread bound the jitter added to the end of a backoff in the
	// retry delay of refused requests, so that their clients don't return at the same moment.
	minBackoffSpread = 100 * time.Millisecond
	maxBackoffSpread = 500 * time.Millisecond
)

// signalState holds the signals of an engine that are in force. The state of an engine without
// any is nil, so that the check costs one comparison.
type said struct {
	// draining is set if the engine is draining or another one has replaced it at its address.
	leaves bool
	// backoffUntil is the end of the backoff of each gateway that received a request for it,
	// sharedUntil the end of the backoff of the others.
	asked       map[request.Epoch]time.Time
	sharedUntil time.Time
	// requestedAt is the time of the last backoff request. The engine is recovering until a run
	// granted later is answered; meanwhile it gets one request at a time, the probe.
	at       time.Time
	unproved bool
	probe    *run
	// sharedBackoff is the duration of the last backoff of the other gateways.
	step time.Duration
}

// applyNotice applies an engine's signal that a gateway received.
func (cor *Core) heard(now time.Time, from request.Epoch, msg reservation.EngineNotice) {
	ene := cor.engines[msg.Run]
	if ene == nil {
		return
	}
	switch sgn := msg.Word.(type) {
	case fleet.Leaving, fleet.Replaced:
		cor.speaks(ene).leaves = true
	case fleet.Pause:
		cor.speaks(ene).pause(now, from, sgn.Left, cor.cfg.Pauses)
	case fleet.RateLimit:
		cor.limitRate(now, ene, sgn)
	case fleet.Unlimited:
		cor.unlimit(now, ene)
	case fleet.Cold:
		cor.chill(now, ene, now.Add(sgn.Left))
	}
	cor.serveEngine(now, ene)
}

// signalsOf returns the signal state of an engine for modification, creating it if necessary.
func (cor *Core) speaks(ene *engine) *said {
	svc := cor.service(ene.Service)
	if ene.said == nil {
		ene.said = &said{asked: make(map[request.Epoch]time.Time)}
		svc.said++
	}
	svc.closings = closings{}
	return ene.said
}

// String returns the state for dumps.
func (sig *said) String() string {
	switch {
	case sig.leaves:
		return "Leaves"
	case sig.unproved:
		return "Unproved"
	default:
		return "Paused"
	}
}

// applyBackoff blocks a gateway for the requested time, and the other gateways for a while if
// the request is new. A repeated notice, such as one sent to a new coordinator or with a
// returned grant, carries no new information.
func (sig *said) pause(now time.Time, from request.Epoch, left time.Duration, scope PauseScope) {
	until := now.Add(left)
	isNew := until.Sub(sig.asked[from]) > toldAgain
	if until.After(sig.asked[from]) {
		sig.asked[from] = until
	}
	if scope == PauseAsked || !isNew {
		return
	}
	shared := min(left, maxSharedPause)
	if scope == PauseProbing {
		shared = min(left, sig.nextStep(from))
	}
	if until := now.Add(shared); until.After(sig.sharedUntil) {
		sig.sharedUntil = until
	}
	sig.at, sig.unproved = now, true
}

// nextStep returns the backoff of the other gateways: none at first, since the engine
// may reject only a part of its requests, and twice as long after each rejected probe.
// Rejections of requests that were granted before the backoff carry no new information.
func (sig *said) nextStep(from request.Epoch) time.Duration {
	switch {
	case !sig.unproved:
		sig.step = 0
	case sig.probe != nil && sig.probe.gateway == from:
		sig.step = min(maxAside, max(minAside, 2*sig.step))
	}
	return sig.step
}

// blocks reports whether the engine may not be granted to the gateway.
func (sig *said) bars(now time.Time, gateway request.Epoch) bool {
	return sig.barsAll(now) || now.Before(sig.asked[gateway])
}

// barsAll reports whether the engine may not be granted to any gateway.
func (sig *said) barsAll(now time.Time) bool {
	return sig.leaves || now.Before(sig.sharedUntil) || sig.probing(now)
}

// probing reports whether a probe of the engine is in progress.
func (sig *said) probing(now time.Time) bool {
	return sig.unproved && sig.probe != nil && now.Sub(sig.probe.given) < probeFor
}

// blockedUntil returns the time from which the engine may be granted to the gateway, unless it
// is draining.
func (sig *said) opens(gateway request.Epoch) time.Time {
	if at := sig.asked[gateway]; at.After(sig.sharedUntil) {
		return at
	}
	return sig.sharedUntil
}

// expired reports whether no signal is in force any more, and removes the expired backoffs.
func (sig *said) lapsed(now time.Time) bool {
	maps.DeleteFunc(sig.asked, func(_ request.Epoch, until time.Time) bool { return !now.Before(until) })
	return !sig.leaves && !sig.unproved && len(sig.asked) == 0 && !now.Before(sig.sharedUntil)
}

// barredFor reports whether a signal blocks the engine for the gateway.
func (ene *engine) barredFor(now time.Time, gateway request.Epoch) bool {
	return ene.said != nil && ene.said.bars(now, gateway)
}

// isDraining reports whether the engine is draining according to its store entry or its signals.
func (ene *engine) leaving() bool {
	return ene.Closed() || ene.said != nil && ene.said.leaves
}

// isBlocked reports whether the engine may not be granted to any gateway.
func (ene *engine) silenced(now time.Time) bool {
	return ene.Closed() || ene.said != nil && ene.said.barsAll(now)
}

// noteProbe makes the run the probe of an engine that is recovering from a backoff.
func (ene *engine) noteProbe(rnn *run) {
	if ene.said != nil && ene.said.unproved {
		ene.said.probe = rnn
	}
}

// noteServes ends the recovery of the engine if the answered run was granted after the last
// backoff request.
func (ene *engine) noteServes(rnn *run) {
	if ene.said != nil && rnn.given.After(ene.said.at) {
		ene.said.unproved, ene.said.probe = false, nil
	}
}

// endProbe allows the next probe once this run has ended, whatever its result.
func (ene *engine) endProbe(rnn *run) {
	if ene.said != nil && ene.said.probe == rnn {
		ene.said.probe = nil
	}
}

// forgetSaid drops expired signals of the service's engines.
func (svc *service) forgetSaid(now time.Time) {
	if svc.said == 0 {
		return
	}
	svc.said = 0
	for _, ene := range svc.engines {
		if ene.said == nil {
			continue
		}
		if ene.said.lapsed(now) {
			ene.said = nil
			svc.closings = closings{}
			continue
		}
		svc.said++
	}
}

// blockCache caches when a service's engines are blocked by their signals. It is computed once
// and invalidated by each new signal: thousands of requests of hundreds of gateways may wait for
// the end of hundreds of backoffs (BenchmarkManyWaitingUnderPauses).
type closings struct {
	// available is set if some engine has no signals in force, computed if the cache is valid.
	open   bool
	looked bool
	by     map[request.Epoch]closing
}

// blockPeriod is the time for which no engine may be granted to a gateway.
type closing struct {
	// blocked is false if an engine is available.
	holds bool
	// ends is set if one of the engines is blocked only for a time; otherwise all are draining.
	opens bool
	until time.Time
	// othersUntil is the end of the period for gateways that didn't receive a backoff request: a
	// client may retry at any host.
	elsewhere time.Time
}

// hasAsked reports whether the gateway has a backoff in force at an engine of the service.
func (svc *service) hasAsked(now time.Time, gateway request.Epoch) bool {
	return slices.ContainsFunc(svc.engines, func(ene *engine) bool {
		return ene.said != nil && now.Before(ene.said.asked[gateway])
	})
}

// closingFor returns the period for which all engines that the request doesn't exclude are
// blocked.
func (svc *service) closingFor(wai *waiter) closing {
	if len(wai.reserve.Exclude) > 0 {
		return svc.closing(wai.gateway, wai.reserve.Exclude)
	}
	blk := &svc.closings
	if !blk.looked {
		blk.looked = true
		blk.open = slices.ContainsFunc(svc.engines, func(ene *engine) bool { return !ene.Closed() && ene.said == nil })
		blk.by = make(map[request.Epoch]closing)
	}
	if blk.open {
		return closing{}
	}
	known, found := blk.by[wai.gateway]
	if !found {
		known = svc.closing(wai.gateway, nil)
		blk.by[wai.gateway] = known
	}
	return known
}

func (svc *service) closing(gateway request.Epoch, exclude []string) closing {
	blk := closing{holds: true}
	for _, ene := range svc.engines {
		if ene.Closed() || slices.Contains(exclude, ene.name) {
			continue
		}
		if ene.said == nil {
			return closing{}
		}
		if ene.said.leaves {
			continue
		}
		at, others := ene.said.opens(gateway), ene.said.sharedUntil
		if !blk.opens || at.Before(blk.until) {
			blk.until = at
		}
		if !blk.opens || others.Before(blk.elsewhere) {
			blk.elsewhere = others
		}
		blk.opens = true
	}
	return blk
}

// refuseClosed refuses a request at once if all its engines are draining, or in backoff beyond
// its maximum wait, and reports whether it did.
func (cor *Core) refuseClosed(now time.Time, svc *service, wai *waiter) bool {
	if svc.said == 0 {
		return false
	}
	blk := svc.closingFor(wai)
	if !blk.holds || blk.opens && !blk.until.After(wai.until) {
		return false
	}
	delay := retryAfter(wai.reserve)
	if blk.opens {
		delay = max(0, blk.elsewhere.Sub(now)) + minBackoffSpread + time.Duration(pointOf(wai.reserve.ID)*float64(maxBackoffSpread-minBackoffSpread))
	}
	cor.giveBack(wai.reserve.Account, cor.costOf(wai.reserve))
	cor.send(wai.gateway, reservation.Refuse{ID: wai.reserve.ID, Ballot: wai.reserve.Ballot, Reason: reservation.ReasonBackoff, RetryAfter: delay}, svc.inputsOf(now, wai))
	return true
}

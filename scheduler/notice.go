package scheduler

import (
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// What engines say of themselves in their answers reaches this core from the gateways that
// heard it. A gateway that was asked for a pause is never granted the engine meanwhile, also
// where nothing else is left; an engine that leaves is granted to nobody. It is their own
// word and no guess, so it isn't weighed against an engine's health or the size of a service.

// PauseScope is who keeps away from an engine that has asked one gateway for a pause.
type PauseScope uint8

// Which of them serves callers best hangs on how much the engine turns away, which it doesn't
// say; docs/design/engines-own-word.md has the figures.
const (
	// PauseProbing has one request of the others at a time find out whether the engine
	// serves them: at once, and later each time that it asks again.
	PauseProbing PauseScope = iota
	// PauseAll has all gateways keep away, for a while: an engine that turns away a part of
	// what it gets is out of use most of the time.
	PauseAll
	// PauseAsked has the others go on as if nothing had been said: with many gateways an
	// engine that turns all away does so to each of them.
	PauseAsked
)

const (
	// maxSharedPause bounds for how long those keep away that weren't asked: as long as
	// from an engine that fails again and again. One gateway may have heard wrong.
	maxSharedPause = maxAside
	// probeFor is for how long one request keeps the others waiting that tries an engine
	// first: its answer may be lost, and engines are to be back within a second.
	probeFor = time.Second
	// toldAgain is by how much a pause may seem longer when it is told again: the difference
	// between two ways from a gateway to here.
	toldAgain = 200 * time.Millisecond
	// minBackoffSpread and maxBackoffSpread are how long after a pause's end those come back
	// who were refused until then, so that they don't come in step.
	minBackoffSpread = 100 * time.Millisecond
	maxBackoffSpread = 500 * time.Millisecond
)

// said is what an engine has said of itself. Engines that have said nothing have none, so
// that a calm day costs one comparison an engine.
type said struct {
	// leaves says that it leaves, or that another one answers at its address.
	leaves bool
	// asked is until when the gateways that it asked for a pause send it nothing, sharedUntil
	// until when the others don't.
	asked       map[request.Epoch]time.Time
	sharedUntil time.Time
	// at is when it last asked. Until an answer to a later run shows that it serves again it
	// gets one request at a time, which probe is.
	at       time.Time
	unproved bool
	probe    *run
	// step is for how long the others kept away the last time.
	step time.Duration
}

// heard takes what an engine said to a gateway.
func (cor *Core) heard(now time.Time, from request.Epoch, msg reservation.EngineNotice) {
	ene := cor.engines[msg.Run]
	if ene == nil {
		return
	}
	switch wrd := msg.Word.(type) {
	case fleet.Leaving, fleet.Replaced:
		cor.speaks(ene).leaves = true
	case fleet.Pause:
		cor.speaks(ene).pause(now, from, wrd.Left, cor.cfg.Pauses)
	case fleet.RateLimit:
		cor.limitRate(now, ene, wrd)
	case fleet.Unlimited:
		cor.unlimit(now, ene)
	case fleet.Cold:
		cor.chill(now, ene, now.Add(wrd.Left))
	}
	cor.serveEngine(now, ene)
}

// speaks returns what an engine has said that keeps gateways away, about to be changed.
func (cor *Core) speaks(ene *engine) *said {
	svc := cor.service(ene.Service)
	if ene.said == nil {
		ene.said = &said{asked: make(map[request.Epoch]time.Time)}
		svc.said++
	}
	svc.closings = closings{}
	return ene.said
}

// String returns what holds of it, for dumps.
func (sai *said) String() string {
	switch {
	case sai.leaves:
		return "Leaves"
	case sai.unproved:
		return "Unproved"
	default:
		return "Paused"
	}
}

// pause keeps a gateway away to the end of what it was asked for, and the others for a while
// when it is asked anew: what is told again, as to a host that decides next or with a grant
// that is sent back, says nothing more of the engine.
func (sai *said) pause(now time.Time, from request.Epoch, left time.Duration, scope PauseScope) {
	until := now.Add(left)
	anew := until.Sub(sai.asked[from]) > toldAgain
	if until.After(sai.asked[from]) {
		sai.asked[from] = until
	}
	if scope == PauseAsked || !anew {
		return
	}
	shared := min(left, maxSharedPause)
	if scope == PauseProbing {
		shared = min(left, sai.nextStep(from))
	}
	if until := now.Add(shared); until.After(sai.sharedUntil) {
		sai.sharedUntil = until
	}
	sai.at, sai.unproved = now, true
}

// nextStep returns for how long the others keep away: not at all at first, since the engine
// may turn away a part of what it gets only, and longer each time that it turns away the one
// that tried. What it was given before that and turns away tells nothing new.
func (sai *said) nextStep(from request.Epoch) time.Duration {
	switch {
	case !sai.unproved:
		sai.step = 0
	case sai.probe != nil && sai.probe.gateway == from:
		sai.step = min(maxAside, max(minAside, 2*sai.step))
	}
	return sai.step
}

// bars reports whether the engine may not be granted to a gateway now.
func (sai *said) bars(now time.Time, gateway request.Epoch) bool {
	return sai.barsAll(now) || now.Before(sai.asked[gateway])
}

// barsAll reports whether the engine may be granted to no gateway now.
func (sai *said) barsAll(now time.Time) bool {
	return sai.leaves || now.Before(sai.sharedUntil) || sai.probing(now)
}

// probing reports whether a request is finding out whether the engine serves again.
func (sai *said) probing(now time.Time) bool {
	return sai.unproved && sai.probe != nil && now.Sub(sai.probe.given) < probeFor
}

// opens returns from when on the engine may be granted to a gateway, unless it leaves.
func (sai *said) opens(gateway request.Epoch) time.Time {
	if at := sai.asked[gateway]; at.After(sai.sharedUntil) {
		return at
	}
	return sai.sharedUntil
}

// lapsed reports whether nothing of what was said holds any more.
func (sai *said) lapsed(now time.Time) bool {
	maps.DeleteFunc(sai.asked, func(_ request.Epoch, until time.Time) bool { return !now.Before(until) })
	return !sai.leaves && !sai.unproved && len(sai.asked) == 0 && !now.Before(sai.sharedUntil)
}

// barredFor reports whether the engine said anything that keeps it from a gateway.
func (ene *engine) barredFor(now time.Time, gateway request.Epoch) bool {
	return ene.said != nil && ene.said.bars(now, gateway)
}

// leaving reports whether the engine leaves, by its entry or by its own word.
func (ene *engine) leaving() bool {
	return ene.Closed() || ene.said != nil && ene.said.leaves
}

// silenced reports whether the engine is granted to nobody now.
func (ene *engine) silenced(now time.Time) bool {
	return ene.Closed() || ene.said != nil && ene.said.barsAll(now)
}

// noteProbe has the run find out whether an engine serves again that asked for a pause.
func (ene *engine) noteProbe(rnn *run) {
	if ene.said != nil && ene.said.unproved {
		ene.said.probe = rnn
	}
}

// noteServes takes an answer to a run that the engine got after it last asked for a pause:
// it serves again.
func (ene *engine) noteServes(rnn *run) {
	if ene.said != nil && rnn.given.After(ene.said.at) {
		ene.said.unproved, ene.said.probe = false, nil
	}
}

// endProbe lets the next one try where this run has ended, whatever it showed.
func (ene *engine) endProbe(rnn *run) {
	if ene.said != nil && ene.said.probe == rnn {
		ene.said.probe = nil
	}
}

// forgetSaid drops what engines of the service have said that holds no more.
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

// closings are until when a service's engines may not be granted, by what they have said. It
// is found once and kept until one says more: thousands of requests of hundreds of gateways
// may wait for the end of hundreds of pauses (BenchmarkManyWaitingUnderPauses).
type closings struct {
	// open says that some engine has said nothing, looked that this is known.
	open   bool
	looked bool
	by     map[request.Epoch]closing
}

// closing is until when no engine may be granted to a gateway.
type closing struct {
	// holds is false where an engine has said nothing against it.
	holds bool
	// opens says that one of them may be granted from a time on; otherwise all leave.
	opens bool
	until time.Time
	// elsewhere is from when on one may be granted to gateways that weren't asked: a caller
	// that comes back does so to any host.
	elsewhere time.Time
}

// hasAsked reports whether an engine of the service has asked the gateway for a pause.
func (svc *service) hasAsked(now time.Time, gateway request.Epoch) bool {
	return slices.ContainsFunc(svc.engines, func(ene *engine) bool {
		return ene.said != nil && now.Before(ene.said.asked[gateway])
	})
}

// closingFor returns until when none of the engines that are left to a request may be
// granted to it.
func (svc *service) closingFor(wai *waiter) closing {
	if len(wai.reserve.Exclude) > 0 {
		return svc.closing(wai.gateway, wai.reserve.Exclude)
	}
	clo := &svc.closings
	if !clo.looked {
		clo.looked = true
		clo.open = slices.ContainsFunc(svc.engines, func(ene *engine) bool { return !ene.Closed() && ene.said == nil })
		clo.by = make(map[request.Epoch]closing)
	}
	if clo.open {
		return closing{}
	}
	known, found := clo.by[wai.gateway]
	if !found {
		known = svc.closing(wai.gateway, nil)
		clo.by[wai.gateway] = known
	}
	return known
}

func (svc *service) closing(gateway request.Epoch, exclude []string) closing {
	clo := closing{holds: true}
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
		at, elsewhere := ene.said.opens(gateway), ene.said.sharedUntil
		if !clo.opens || at.Before(clo.until) {
			clo.until = at
		}
		if !clo.opens || elsewhere.Before(clo.elsewhere) {
			clo.elsewhere = elsewhere
		}
		clo.opens = true
	}
	return clo
}

// refuseClosed refuses a request at once that can't be granted before its time is up, since
// all engines that are left leave or have asked for a pause, and reports whether it did.
func (cor *Core) refuseClosed(now time.Time, svc *service, wai *waiter) bool {
	if svc.said == 0 {
		return false
	}
	clo := svc.closingFor(wai)
	if !clo.holds || clo.opens && !clo.until.After(wai.until) {
		return false
	}
	after := retryAfter(wai.reserve)
	if clo.opens {
		after = max(0, clo.elsewhere.Sub(now)) + minBackoffSpread + time.Duration(pointOf(wai.reserve.ID)*float64(maxBackoffSpread-minBackoffSpread))
	}
	cor.giveBack(wai.reserve.Account, cor.costOf(wai.reserve))
	cor.send(wai.gateway, reservation.Refuse{ID: wai.reserve.ID, Ballot: wai.reserve.Ballot, Reason: reservation.ReasonBackoff, RetryAfter: after}, svc.inputsOf(now, wai))
	return true
}

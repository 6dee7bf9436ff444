package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/quarantine"
)

// Requests that may end their engine go to engines that are set apart, where nothing is lost
// with them that needn't be. Engines that have ended get nothing.

const (
	// apartFor is for how long an engine is kept free for a suspected request after one
	// last asked: callers come back within a third of ten seconds, and the answers that it
	// still gives take some seconds too.
	apartFor = 5 * time.Second
	// minToSetApart is how many engines a service has at least where one is set apart: of
	// two, one would be half of the service.
	minToSetApart = 3
	// enginesPerApart is for how many engines one may be set apart, beside the first.
	enginesPerApart = 16
	// endedFor is for how long an engine that ended isn't taken for an idle one: its entry
	// outlasts it by three heartbeats.
	endedFor = 10 * time.Second
	// goneFor is for how long an engine that ended gets nothing: it refuses connections, and a
	// request that meets three such engines is refused. Engines are back after some seconds,
	// and one that was taken for ended by mistake is in use again after this.
	goneFor = 2 * time.Second
)

// chooseApart returns an engine for a request that may end it, where nothing is lost with
// it that needn't be. Where there is none, one gets nothing more until it is free.
func (cor *Core) chooseApart(now time.Time, svc *service, wai *waiter, han handling) candidate {
	if len(svc.engines) < minToSetApart {
		return cor.choose(now, svc, wai)
	}
	open := cor.openTo(now, svc, wai)
	apart := 0
	var free, calmest *engine
	for _, ene := range open {
		if ene.isApart(now) {
			apart++
		}
		switch {
		case ene.admits(now, han):
			if free == nil || ene.isApart(now) && !free.isApart(now) {
				free = ene
			}
		case ene.isApart(now):
		case calmest == nil || ene.emptyIn(now) < calmest.emptyIn(now):
			calmest = ene
		}
	}
	// Of two that are left none is kept free, but an idle one serves.
	more := apart < 1+len(open)/enginesPerApart && len(open) >= minToSetApart
	if free != nil && len(open) < minToSetApart {
		more = apart < 1
	}
	if free != nil && (more || free.isApart(now)) {
		svc.setApart(now, free)
		can := free.candidate(wai.reserve)
		can.first = can.alone
		return can
	}
	svc.keepApart(now, open, calmest, more)
	return candidate{}
}

// admits reports whether the engine may be given a request that may end it.
func (ene *engine) admits(now time.Time, han handling) bool {
	if ene.aloneRuns > 0 || !ene.hasSlot() || !ene.pacing.admits(now) {
		return false
	}
	if han == handleAlone {
		return len(ene.running) == 0
	}
	for _, rnn := range ene.running {
		if !rnn.guarded || now.Sub(rnn.given) < quarantine.YoungFor {
			return false
		}
	}
	return true
}

// openTo returns the engines at which a request may run alone: no others' trials, none
// that it was at before, and none that is taken to have ended.
func (cor *Core) openTo(now time.Time, svc *service, wai *waiter) []*engine {
	acc := svc.access(now, wai.reserve)
	acc.trial = nil
	aside := svc.asideAllowed(now)
	pla := cor.placesFor(wai.gateway, wai.reserve)
	var open []*engine
	for _, ene := range svc.engines {
		barred := !pla.allow(ene) || ene.Closed() || ene.barredFor(now, wai.gateway) || (acc.restricted && !acc.allows(ene)) || slices.Contains(wai.reserve.Exclude, ene.name)
		if barred || ene.endedLately(now) || (aside && !ene.health.usable(now)) {
			continue
		}
		open = append(open, ene)
	}
	return open
}

// keepApart keeps the engines free that are set apart, and sets another one apart where
// there may be one.
func (svc *service) keepApart(now time.Time, open []*engine, calmest *engine, more bool) {
	for _, ene := range open {
		if ene.isApart(now) {
			svc.setApart(now, ene)
		}
	}
	if more && calmest != nil {
		svc.setApart(now, calmest)
	}
}

// setApart keeps an engine for suspected requests for a while.
func (svc *service) setApart(now time.Time, ene *engine) {
	ene.apartUntil = now.Add(apartFor)
	svc.mark(ene.apartUntil)
}

// mark notes that an engine may be set apart or gone until a time.
func (svc *service) mark(until time.Time) {
	if until.After(svc.markedUntil) {
		svc.markedUntil = until
	}
}

// isMarked reports whether an engine may be set apart or gone.
func (svc *service) isMarked(now time.Time) bool {
	return svc.aloneRuns > 0 || now.Before(svc.markedUntil)
}

// isApart reports whether the engine is kept for suspected requests.
func (ene *engine) isApart(now time.Time) bool {
	return now.Before(ene.apartUntil) || ene.runsAlone()
}

// runsAlone reports whether the engine runs a suspected request.
func (ene *engine) runsAlone() bool { return ene.aloneRuns > 0 }

// runsWatched reports whether the engine runs a request that was part of an end.
func (ene *engine) runsWatched() bool {
	for _, rnn := range ene.running {
		if rnn.watched {
			return true
		}
	}
	return false
}

// emptyIn predicts after what time the engine runs nothing, if it gets nothing more.
func (ene *engine) emptyIn(now time.Time) time.Duration {
	var longest time.Duration
	for _, rnn := range ene.running {
		longest = max(longest, rnn.left(now))
	}
	return longest
}

// endedLately reports whether the engine is taken to have ended.
func (ene *engine) endedLately(now time.Time) bool {
	return ene.ended && now.Sub(ene.endedAt) < endedFor
}

// isGone reports whether the engine ended so lately that nothing listens there: its entry
// is still in the store, and it looks idle.
func (ene *engine) isGone(now time.Time) bool {
	return ene.ended && now.Sub(ene.endedAt) < goneFor
}

// goneAllowed reports whether engines that ended may be left out: not while all of a
// service's would be, since one host may take a cut link for an engine's end.
func (svc *service) goneAllowed(now time.Time) bool {
	return slices.ContainsFunc(svc.engines, func(ene *engine) bool { return !ene.leaving() && !ene.isGone(now) })
}

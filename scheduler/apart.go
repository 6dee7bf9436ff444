package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/quarantine"
)

// Requests that may crash their engine are placed on isolated engines, where a crash affects as
// few other requests as possible. Crashed engines are granted nothing.

const (
	// apartFor is how long an engine stays isolated after the last suspect request asked
	// for it. Clients retry within a third of ten seconds, and the answers still in progress
	// take some seconds too.
	apartFor = 5 * time.Second
	// minToSetApart is the minimum number of engines of a service for isolation: one of
	// two would be half of the service.
	minToSetApart = 3
	// enginesPerApart is the number of engines for each isolated engine beyond the first.
	enginesPerApart = 16
	// endedFor is how long a crashed engine isn't regarded as idle: its entry stays registered
	// for three heartbeats.
	endedFor = 10 * time.Second
	// goneFor is how long a crashed engine is granted nothing. It refuses connections, and a
	// request that meets three such engines is refused. Engines restart within seconds, and one
	// that was mistaken for crashed is in use again after this time.
	goneFor = 2 * time.Second
)

// chooseApart returns an engine for a request that may crash it, so that as few other requests
// as possible are affected. If there is none, it may isolate the engine that will be idle first,
// for the request to run there later.
func (cor *Core) chooseApart(now time.Time, svc *service, wai *waiter, han handling) candidate {
	if len(svc.engines) < minToSetApart {
		return cor.choose(now, svc, wai)
	}
	eligible := cor.openTo(now, svc, wai)
	isolated := 0
	var free, soonest *engine
	for _, ene := range eligible {
		if ene.isApart(now) {
			isolated++
		}
		switch {
		case ene.admits(now, han):
			if free == nil || ene.isApart(now) && !free.isApart(now) {
				free = ene
			}
		case ene.isApart(now):
		case soonest == nil || ene.emptyIn(now) < soonest.emptyIn(now):
			soonest = ene
		}
	}
	// With fewer than minToSetApart engines available, none is kept free, but an idle one
	// may be used.
	canIsolate := isolated < 1+len(eligible)/enginesPerApart && len(eligible) >= minToSetApart
	if free != nil && len(eligible) < minToSetApart {
		canIsolate = isolated < 1
	}
	if free != nil && (canIsolate || free.isApart(now)) {
		svc.setApart(now, free)
		can := free.candidate(wai.reserve)
		can.first = can.alone
		return can
	}
	svc.keepApart(now, eligible, soonest, canIsolate)
	return candidate{}
}

// admits reports whether the engine may be granted a request that may crash it.
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

// openTo returns the engines on which a request may run exclusively. It leaves out
// canaries, engines that the request excludes, and those that are regarded as crashed.
func (cor *Core) openTo(now time.Time, svc *service, wai *waiter) []*engine {
	acc := svc.access(now, wai.reserve)
	acc.trial = nil
	eject := svc.asideAllowed(now)
	pla := cor.placesFor(wai.gateway, wai.reserve)
	var eligible []*engine
	for _, ene := range svc.engines {
		blocked := !pla.allow(ene) || ene.Closed() || ene.barredFor(now, wai.gateway) || (acc.restricted && !acc.allows(ene)) || slices.Contains(wai.reserve.Exclude, ene.name)
		if blocked || ene.endedLately(now) || (eject && !ene.health.usable(now)) {
			continue
		}
		eligible = append(eligible, ene)
	}
	return eligible
}

// keepApart extends the isolation of isolated engines, and isolates another engine if more
// are allowed.
func (svc *service) keepApart(now time.Time, eligible []*engine, soonest *engine, canIsolate bool) {
	for _, ene := range eligible {
		if ene.isApart(now) {
			svc.setApart(now, ene)
		}
	}
	if canIsolate && soonest != nil {
		svc.setApart(now, soonest)
	}
}

// setApart reserves an engine for suspect requests for a while.
func (svc *service) setApart(now time.Time, ene *engine) {
	ene.apartUntil = now.Add(apartFor)
	svc.mark(ene.apartUntil)
}

// extendExclusions records that an engine may be isolated or down until a time.
func (svc *service) mark(until time.Time) {
	if until.After(svc.markedUntil) {
		svc.markedUntil = until
	}
}

// isMarked reports whether an engine may be isolated or down.
func (svc *service) isMarked(now time.Time) bool {
	return svc.aloneRuns > 0 || now.Before(svc.markedUntil)
}

// isApart reports whether the engine is reserved for suspect requests.
func (ene *engine) isApart(now time.Time) bool {
	return now.Before(ene.apartUntil) || ene.runsAlone()
}

// runsAlone reports whether the engine runs a suspect request exclusively.
func (ene *engine) runsAlone() bool { return ene.aloneRuns > 0 }

// runsWatched reports whether the engine runs a request that was involved in a crash.
func (ene *engine) runsWatched() bool {
	for _, rnn := range ene.running {
		if rnn.watched {
			return true
		}
	}
	return false
}

// emptyIn predicts when the engine is idle if it is granted nothing more.
func (ene *engine) emptyIn(now time.Time) time.Duration {
	var longest time.Duration
	for _, rnn := range ene.running {
		longest = max(longest, rnn.left(now))
	}
	return longest
}

// endedLately reports whether the engine crashed so recently that it isn't regarded as idle.
func (ene *engine) endedLately(now time.Time) bool {
	return ene.ended && now.Sub(ene.endedAt) < endedFor
}

// isGone reports whether the engine crashed so recently that nothing listens at its address: it
// is still registered and looks idle.
func (ene *engine) isGone(now time.Time) bool {
	return ene.ended && now.Sub(ene.endedAt) < goneFor
}

// goneAllowed reports whether crashed engines may be excluded. They may not if all engines of
// the service would be, since a host may mistake a broken link for a crash.
func (svc *service) goneAllowed(now time.Time) bool {
	return slices.ContainsFunc(svc.engines, func(ene *engine) bool { return !ene.leaving() && !ene.isGone(now) })
}

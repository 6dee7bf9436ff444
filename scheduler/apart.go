package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/quarantine"
)

// Requests that may crash their engine are placed on isolated engines, where a crash affects as
// few other requests as possible. Crashed engines are granted nothing.

const (
	// isolationPeriod is how long an engine stays isolated after it was last reserved for suspect
	// requests. Clients with a timeout of ten seconds retry within a third of that timeout, and the
	// answers in progress at the engine take some seconds too.
	isolationPeriod = 5 * time.Second
	// minEnginesToIsolate is the minimum number of engines of a service for isolation: one of
	// two would be half of the service.
	minEnginesToIsolate = 3
	// enginesPerIsolated is the number of engines for each isolated engine beyond the first.
	enginesPerIsolated = 16
	// crashMemory is how long a crashed engine gets no suspect requests: its entry stays registered
	// for three heartbeats, and until then the engine looks idle.
	crashMemory = 10 * time.Second
	// crashHoldOff is how long a crashed engine is granted nothing. It refuses connections, and a
	// request that meets three such engines is refused. Engines restart within seconds, and one
	// that was mistaken for crashed is in use again after this time.
	crashHoldOff = 2 * time.Second
)

// chooseIsolated returns an engine for a request that may crash it, so that as few other requests
// as possible are affected. If there is none, chooseIsolated may isolate the engine that will be
// idle first, so that the request can run there later.
func (cor *Core) chooseIsolated(now time.Time, svc *service, wai *waiter, han handling) candidate {
	if len(svc.engines) < minEnginesToIsolate {
		return cor.choose(now, svc, wai)
	}
	eligible := cor.eligibleEngines(now, svc, wai)
	isolated := 0
	var free, soonest *engine
	for _, ene := range eligible {
		if ene.isIsolated(now) {
			isolated++
		}
		switch {
		case ene.admitsSuspect(now, han):
			if free == nil || ene.isIsolated(now) && !free.isIsolated(now) {
				free = ene
			}
		case ene.isIsolated(now):
		case soonest == nil || ene.idleIn(now) < soonest.idleIn(now):
			soonest = ene
		}
	}
	// With fewer than minEnginesToIsolate eligible engines, none is kept free, but an idle one may
	// be used.
	canIsolate := isolated < 1+len(eligible)/enginesPerIsolated && len(eligible) >= minEnginesToIsolate
	if free != nil && len(eligible) < minEnginesToIsolate {
		canIsolate = isolated < 1
	}
	if free != nil && (canIsolate || free.isIsolated(now)) {
		svc.isolate(now, free)
		can := free.candidate(wai.reserve)
		can.firstEvent = can.unloaded
		return can
	}
	svc.renewIsolation(now, eligible, soonest, canIsolate)
	return candidate{}
}

// admitsSuspect reports whether the engine may be granted a request that may crash it.
func (ene *engine) admitsSuspect(now time.Time, han handling) bool {
	if ene.exclusiveRuns > 0 || !ene.hasSlot() || !ene.limiter.admits(now) {
		return false
	}
	if han == handleExclusive {
		return len(ene.running) == 0
	}
	for _, rnn := range ene.running {
		if !rnn.restricted || now.Sub(rnn.grantedAt) < quarantine.NewRequestAge {
			return false
		}
	}
	return true
}

// eligibleEngines returns the engines that a suspect request may be granted once they are idle
// enough. Canaries, blocked and ejected engines, engines that the request excludes, and those
// that crashed within crashMemory are left out.
func (cor *Core) eligibleEngines(now time.Time, svc *service, wai *waiter) []*engine {
	acc := svc.access(now, wai.reserve)
	acc.canary = nil
	eject := svc.ejectionAllowed(now)
	pla := cor.placementFor(wai.gateway, wai.reserve)
	var eligible []*engine
	for _, ene := range svc.engines {
		blocked := !wai.suits(ene) || !pla.allows(ene) || ene.Closed() || ene.blockedFor(now, wai.gateway) || (acc.restricted && !acc.allows(ene)) || slices.Contains(wai.reserve.Exclude, ene.name)
		if blocked || ene.crashedRecently(now) || (eject && !ene.health.usable(now)) {
			continue
		}
		eligible = append(eligible, ene)
	}
	return eligible
}

// renewIsolation extends the isolation of isolated engines, and isolates another engine if more
// are allowed.
func (svc *service) renewIsolation(now time.Time, eligible []*engine, soonest *engine, canIsolate bool) {
	for _, ene := range eligible {
		if ene.isIsolated(now) {
			svc.isolate(now, ene)
		}
	}
	if canIsolate && soonest != nil {
		svc.isolate(now, soonest)
	}
}

// isolate reserves an engine for suspect requests for isolationPeriod.
func (svc *service) isolate(now time.Time, ene *engine) {
	ene.isolatedUntil = now.Add(isolationPeriod)
	svc.extendExclusions(ene.isolatedUntil)
}

// extendExclusions records that an engine may be isolated or down until a time.
func (svc *service) extendExclusions(until time.Time) {
	if until.After(svc.exclusionsUntil) {
		svc.exclusionsUntil = until
	}
}

// hasExclusions reports whether an engine may be isolated or down.
func (svc *service) hasExclusions(now time.Time) bool {
	return svc.exclusiveRuns > 0 || now.Before(svc.exclusionsUntil)
}

// isIsolated reports whether the engine is reserved for suspect requests or runs one exclusively.
func (ene *engine) isIsolated(now time.Time) bool {
	return now.Before(ene.isolatedUntil) || ene.runsExclusively()
}

// runsExclusively reports whether the engine runs a suspect request exclusively.
func (ene *engine) runsExclusively() bool { return ene.exclusiveRuns > 0 }

// runsSuspected reports whether the engine runs a request that was suspected when it was granted.
func (ene *engine) runsSuspected() bool {
	for _, rnn := range ene.running {
		if rnn.suspected {
			return true
		}
	}
	return false
}

// runsWatched reports whether the engine runs a request that was involved in a crash.
func (ene *engine) runsWatched() bool {
	for _, rnn := range ene.running {
		if rnn.watched {
			return true
		}
	}
	return false
}

// idleIn predicts when the engine is idle if it is granted nothing more.
func (ene *engine) idleIn(now time.Time) time.Duration {
	var longest time.Duration
	for _, rnn := range ene.running {
		longest = max(longest, rnn.timeLeft(now))
	}
	return longest
}

// crashedRecently reports whether the engine crashed within crashMemory.
func (ene *engine) crashedRecently(now time.Time) bool {
	return ene.crashed && now.Sub(ene.crashedAt) < crashMemory
}

// isDown reports whether the engine crashed so recently that nothing listens at its address,
// while its entry is still registered and makes it look idle.
func (ene *engine) isDown(now time.Time) bool {
	return ene.crashed && now.Sub(ene.crashedAt) < crashHoldOff
}

// mayExcludeDown reports whether engines that are down may be excluded. They may not if every
// engine of the service is draining or down, since a host may mistake a broken link for a crash.
func (svc *service) mayExcludeDown(now time.Time) bool {
	return slices.ContainsFunc(svc.engines, func(ene *engine) bool { return !ene.isDraining() && !ene.isDown(now) })
}

package scheduler

import (
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// A poison request crashes each engine that runs it, and may return under another id. It is
// therefore tracked by its digest: without this, a single client that sent four such requests per
// second put a service of ten engines out of use. Package quarantine distinguishes poison
// requests from those that ran beside them; this file isolates them from other requests.

// HoldsRead carries the held requests that are recorded in the store.
type HoldsRead struct{ Holds []quarantine.Hold }

// RequestReleased reports that an operator released a held request.
type RequestReleased struct{ Digest call.Digest }

func (HoldsRead) isEvent()       {}
func (RequestReleased) isEvent() {}

const (
	// watchedCost is the cost of placing a watched request on an engine that already runs one. If
	// the engine crashes, it should be clear which of the requests caused it.
	watchedCost = 200 * time.Millisecond
)

// handling is how a waiting request is treated.
type handling uint8

const (
	// handleNormal allows any engine.
	handleNormal handling = iota
	// handleDeferred keeps the request waiting for the result of an earlier run with the same
	// digest, or for the end of a pause of its traffic source.
	handleDeferred
	// handleExclusive requires an engine that runs nothing else.
	handleExclusive
	// handleRestricted requires an engine that runs nothing but older requests of restricted
	// sources.
	handleRestricted
	// handleHeld refuses the request.
	handleHeld
)

// handling returns how a request is treated. It returns early while the quarantine is empty.
func (cor *Core) handling(now time.Time, res reservation.Reserve) handling {
	reg := cor.quarantine
	if reg.IsEmpty() {
		return handleNormal
	}
	switch reg.Level(now, res.Digest) {
	case quarantine.LevelHeld:
		return handleHeld
	case quarantine.LevelSuspected:
		if cor.runningByDigest[res.Digest] > 0 {
			return handleDeferred
		}
		return handleExclusive
	case quarantine.LevelWatched:
		if cor.runningByDigest[res.Digest] > 0 {
			return handleDeferred
		}
	case quarantine.LevelClear:
	}
	if han := cor.partHandling(now, res); han != handleNormal {
		return han
	}
	restricted, pause := reg.Restriction(now, res.Subject().TrafficSource())
	switch {
	case pause > 0:
		return handleDeferred
	case restricted:
		return handleRestricted
	default:
		return handleNormal
	}
}

// isSuspected reports whether a request, or a part of its prompt, is suspected: it was part of several crashes.
func (cor *Core) isSuspected(now time.Time, res reservation.Reserve) bool {
	return cor.isSuspectedDigest(now, res.Digest) || cor.worstPart(now, res).level >= quarantine.LevelSuspected
}

func (cor *Core) isSuspectedDigest(now time.Time, dig call.Digest) bool {
	return !cor.quarantine.IsEmpty() && cor.quarantine.Level(now, dig) >= quarantine.LevelSuspected
}

// cachedHandling returns how a waiting request is treated. It caches the normal result until the
// quarantine changes, since it is called for hundreds of waiting requests whenever a run starts
// or ends (BenchmarkManyWaiting).
func (cor *Core) cachedHandling(now time.Time, wai *waiter) handling {
	current := cor.quarantine.Version() + 1
	if wai.normalAt == current {
		return handleNormal
	}
	han := cor.handling(now, wai.reserve)
	if han == handleNormal {
		wai.normalAt = current
	}
	return han
}

// refuseQuarantined refuses a request that can't run in time, and reports whether it did: a held
// request, or one whose traffic source is paused for longer than the request may wait.
func (cor *Core) refuseQuarantined(now time.Time, from request.Epoch, res reservation.Reserve, svc *service) bool {
	if cor.quarantine.IsEmpty() {
		return false
	}
	if ref, held := cor.HeldRefusal(now, res); held {
		cor.send(from, ref, svc.inputs(now, now))
		return true
	}
	_, pause := cor.quarantine.Restriction(now, res.Subject().TrafficSource())
	if pause <= res.MaxWait() {
		return false
	}
	cor.send(from, reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reservation.ReasonOverload, RetryAfter: pause}, svc.inputs(now, now))
	return true
}

// HeldRefusal returns the refusal of a request, and whether the request or a part of its prompt is held.
func (cor *Core) HeldRefusal(now time.Time, res reservation.Reserve) (reservation.Refuse, bool) {
	if cor.quarantine.IsEmpty() {
		return reservation.Refuse{}, false
	}
	if cor.quarantine.Level(now, res.Digest) != quarantine.LevelHeld {
		return cor.partHeldRefusal(now, res)
	}
	left := cor.quarantine.HeldFor(now, res.Digest)
	return reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reservation.ReasonHeld, RetryAfter: left}, true
}

// recordStart counts the run by its digest, and an exclusive run at its engine and service.
func (cor *Core) recordStart(rnn *run) {
	if rnn.subject.Digest != (call.Digest{}) {
		cor.runningByDigest[rnn.subject.Digest]++
	}
	if rnn.exclusive {
		cor.countExclusiveParts(rnn, 1)
		rnn.engine.exclusiveRuns++
		cor.service(rnn.engine.Service).exclusiveRuns++
	}
}

// recordEnd removes the run from the counts, and releases an isolated engine that no request needs.
func (cor *Core) recordEnd(now time.Time, rnn *run) {
	dig := rnn.subject.Digest
	cor.runningByDigest[dig]--
	if cor.runningByDigest[dig] <= 0 {
		delete(cor.runningByDigest, dig)
	}
	if !rnn.exclusive {
		return
	}
	cor.countExclusiveParts(rnn, -1)
	rnn.engine.exclusiveRuns--
	cor.service(rnn.engine.Service).exclusiveRuns--
	if !cor.needsIsolated(now, rnn.engine.Service) {
		// No request needs the isolated engine any more: release it for normal requests.
		rnn.engine.isolatedUntil = time.Time{}
	}
}

// needsIsolated reports whether a request of the service waits for an isolated engine.
func (cor *Core) needsIsolated(now time.Time, service string) bool {
	svc := cor.services[service]
	if svc == nil {
		return false
	}
	needed := false
	svc.queue.Each(func(wai *waiter) {
		han := cor.handling(now, wai.reserve)
		needed = needed || han == handleExclusive || han == handleRestricted
	})
	return needed
}

// recordComplete records a complete answer: it clears the request of suspicion and shows that the
// engine is alive.
func (cor *Core) recordComplete(now time.Time, rnn *run) {
	if cor.quarantine.IsEmpty() {
		return
	}
	cor.quarantine.RecordAnswer(now, rnn.subject.Digest)
	cor.recordLife(rnn)
	if rnn.restricted && cor.quarantine.RecordExclusiveAnswer(rnn.subject.TrafficSource()) {
		cor.sourceChanges = append(cor.sourceChanges, SourceChange{Source: rnn.subject.TrafficSource()})
	}
	if rnn.engine.crashed && rnn.grantedAt.After(rnn.engine.crashedAt) {
		rnn.engine.crashed = false
		cor.quarantine.RecordAlive(now, rnn.engine.name)
	}
}

// recordLife records that the run's engine has answered, which shows that it lived when this core granted
// the run.
func (cor *Core) recordLife(rnn *run) {
	if rnn.ownGrant {
		cor.quarantine.RecordLife(rnn.engine.name, rnn.grantedAt)
	}
}

// applyCrash records a gateway's report that an engine crashed while it ran a request.
func (cor *Core) applyCrash(now time.Time, msg reservation.EngineCrashed) {
	obs := msg.Observation
	rnn := cor.runs[msg.ID]
	if rnn != nil && rnn.engine.name == obs.Engine {
		obs.Exclusive = rnn.exclusive || rnn.restricted && now.Sub(rnn.grantedAt) < quarantine.NewRequestAge
	}
	if rnn != nil && rnn.ownGrant {
		obs.Began = rnn.grantedAt
	}
	if msg.Unconfirmed {
		cor.keepPartsAtEnd(now, obs.Engine)
		cor.quarantine.RecordUnconfirmedCrash(now, obs)
		if cor.engines[fleet.ParseEngineID(obs.Engine)] == nil {
			cor.settleUnconfirmed(now)
		}
		return
	}
	if rnn == nil {
		obs = cor.quarantine.Unconfirmed(obs)
	}
	cor.recordCrash(now, obs)
}

// recordCrash records the crash of an engine that ran a request.
func (cor *Core) recordCrash(now time.Time, obs quarantine.Observation) {
	ene := cor.engines[fleet.ParseEngineID(obs.Engine)]
	// An engine may restart and crash again before its next run is known.
	again := ene != nil && ene.crashed && obs.Began.After(ene.crashedAt)
	if ene != nil && !ene.crashed {
		ene.crashed, ene.crashedAt = true, now
		cor.markCrashedCold(now, ene)
		cor.service(ene.Service).extendExclusions(now.Add(crashHoldOff))
		// The requests that ran at a crash that was confirmed later aren't known any more, apart from their parts.
		if obs.Check == quarantine.CheckNone && ene.isJudgedHere() && !cor.hasKnownCause(now, ene) {
			cor.recordUnexplainedCrash(now, ene)
		}
	}
	if again {
		ene.crashedAt = now
	}
	if ene == nil && !cor.isJudged(now, obs.Engine) || ene != nil && ene.crashedAt.Equal(now) {
		cor.recordPartsAtCrash(now, obs.Service, obs.Engine)
	}
	cor.quarantine.RecordCrash(now, obs)
	if obs.Exclusive {
		cor.quarantine.RecordExclusiveCrash(now, obs.TrafficSource(), len(cor.service(obs.Service).engines))
	}
}

// isJudgedHere reports whether this core knows the engine's runs because it granted them, or took them over. A core that
// another one schedules for knows only those of its own host.
func (ene *engine) isJudgedHere() bool {
	return slices.ContainsFunc(ene.running, (*run).isJudgedHere)
}

// isJudgedHere reports whether this core granted the run, or took it over.
func (rnn *run) isJudgedHere() bool { return rnn.ownGrant || rnn.inherited }

// hasKnownCause reports whether the engine runs a request that was isolated or was involved in an
// earlier crash, as a part of its prompt may have been.
func (cor *Core) hasKnownCause(now time.Time, ene *engine) bool {
	for _, rnn := range ene.running {
		if rnn.exclusive || rnn.restricted || cor.quarantine.Crashes(rnn.subject.Digest) > 0 || cor.hasPartOfCrash(now, rnn) {
			return true
		}
	}
	return false
}

// recordUnexplainedCrash has the registry compare the traffic sources at the crashed engine with
// those at the other engines.
func (cor *Core) recordUnexplainedCrash(now time.Time, crashed *engine) {
	svc := cor.service(crashed.Service)
	otherEngines := 0
	counts := make(map[quarantine.TrafficSource]int)
	newCounts := make(map[quarantine.TrafficSource]int)
	for _, ene := range svc.engines {
		if ene == crashed || ene.isDraining() || ene.crashedRecently(now) {
			continue
		}
		otherEngines++
		sources, newSources := ene.sourcesAt(now)
		for src := range sources {
			counts[src]++
		}
		for src := range newSources {
			newCounts[src]++
		}
	}
	shareOf := func(count int) float64 { return (float64(count) + 0.5) / float64(otherEngines+1) }
	sources, newSources := crashed.sourcesAt(now)
	var present []quarantine.Presence
	for src := range sources {
		present = append(present, quarantine.Presence{TrafficSource: src, HasRequest: true, HasNewRequest: newSources[src], RequestShare: shareOf(counts[src]), NewRequestShare: shareOf(newCounts[src])})
	}
	restricted, lifted := cor.quarantine.RecordUnexplainedCrash(now, present)
	for _, src := range restricted {
		cor.sourceChanges = append(cor.sourceChanges, SourceChange{Source: src, Restricted: true})
	}
	for _, src := range lifted {
		cor.sourceChanges = append(cor.sourceChanges, SourceChange{Source: src})
	}
}

// sourcesAt returns the traffic sources with a request at the engine, and those with a request that
// the engine was granted within quarantine.NewRequestAge.
func (ene *engine) sourcesAt(now time.Time) (sources, newSources map[quarantine.TrafficSource]bool) {
	sources, newSources = make(map[quarantine.TrafficSource]bool), make(map[quarantine.TrafficSource]bool)
	for _, rnn := range ene.running {
		src := rnn.subject.TrafficSource()
		sources[src] = true
		if now.Sub(rnn.grantedAt) <= quarantine.NewRequestAge {
			newSources[src] = true
		}
	}
	return sources, newSources
}

// settleUnconfirmed passes the known engines to the registry, to settle unconfirmed crashes.
func (cor *Core) settleUnconfirmed(now time.Time) {
	if cor.quarantine.IsEmpty() {
		return
	}
	known := make([]quarantine.Engine, 0, len(cor.engines))
	for _, ene := range cor.engines {
		known = append(known, quarantine.Engine{Run: ene.name, Draining: ene.isDraining()})
	}
	for _, obs := range cor.quarantine.ApplyEngines(now, known) {
		cor.recordCrash(now, obs)
	}
}

// SourceChange reports that the requests of a traffic source are restricted to isolated engines
// from now on, or no longer.
type SourceChange struct {
	Source     quarantine.TrafficSource
	Restricted bool
}

// QuarantineChanges returns the changes of requests and traffic sources since the last call, for
// the log and for other hosts.
func (cor *Core) QuarantineChanges() ([]quarantine.Change, []SourceChange) {
	changes, sources := cor.quarantine.Changes(), cor.sourceChanges
	cor.sourceChanges = nil
	return changes, sources
}

// CaseReports returns at most the given number of reports on requests at a level or above, the
// most suspect first, for other hosts.
func (cor *Core) CaseReports(now time.Time, minLevel quarantine.Level, limit int) []quarantine.Report {
	return cor.quarantine.Reports(now, minLevel, limit)
}

// HasCase reports whether the request was involved in a crash.
func (cor *Core) HasCase(dig call.Digest) bool {
	return cor.quarantine.Crashes(dig) > 0
}

// HoldsToStore returns the held requests to be stored, and whether they differ from those last
// read from the store.
func (cor *Core) HoldsToStore() ([]quarantine.Hold, bool) {
	return cor.quarantine.HoldsToStore()
}

// CaseDump is the state of a request that was involved in crashes.
type CaseDump struct {
	Digest call.Digest
	// Part is the id of the part of prompts that the case is about, in hexadecimal digits; empty for a request.
	Part    string `json:",omitempty"`
	Level   string
	Service string
	Account string
	Route   string
	// Engines are those that crashed while they ran the request. Alone is set if it ran
	// exclusively on the last of them.
	Engines []string
	Alone   bool
	// Until is when the request is released. It is the zero time for a request that isn't held or
	// is held permanently.
	Until   time.Time
	ForGood bool
	// Trials is how often the request ran after a hold had expired and crashed another engine.
	Trials int
}

// maxCaseDumps bounds the number of requests in a dump; operators look up only a few.
const maxCaseDumps = 512

func (cor *Core) dumpCases(now time.Time) []CaseDump {
	var dumps []CaseDump
	for _, cas := range cor.quarantine.Cases(now) {
		if len(dumps) >= maxCaseDumps {
			break
		}
		dum := CaseDump{
			Digest: cas.Digest, Level: cor.quarantine.LevelOf(now, cas).String(), Service: cas.Service, Account: cas.Account, Route: cas.Route,
			Part: partName(cas.Subject), Until: cas.Until, ForGood: cas.Held && cas.Until.IsZero(), Trials: cas.Trials,
		}
		for _, crs := range cas.Crashes {
			dum.Engines, dum.Alone = append(dum.Engines, crs.Engine), crs.Alone
		}
		dumps = append(dumps, dum)
	}
	return dumps
}

// dropRuns removes the runs of a lost gateway.
func (cor *Core) dropRuns(now time.Time, gateway request.Epoch) {
	maps.DeleteFunc(cor.runs, func(_ request.ID, rnn *run) bool {
		if rnn.gateway != gateway {
			return false
		}
		rnn.engine.removeRun(rnn)
		rnn.engine.finishPrefill(now, rnn)
		rnn.engine.endProbe(rnn)
		cor.recordEnd(now, rnn)
		return true
	})
}

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

// A request may end each engine that runs it, and come again under another id. What it did
// is remembered by its digest; without that one caller with four such requests a second
// took a service of ten engines from everybody. How such a request is told from those that
// ran beside it stands in package quarantine; here it is kept away from them.

// HeldRead brings the held requests that the store was read to hold.
type HeldRead struct{ Holds []quarantine.Hold }

// RequestFreed says that an operator lets a held request go.
type RequestFreed struct{ Digest call.Digest }

func (HeldRead) isEvent()     {}
func (RequestFreed) isEvent() {}

const (
	// watchedCost is what a request counts in the choice that was part of an engine's end,
	// at an engine that runs another such: if that engine ends too, it should be plain
	// which of them did it.
	watchedCost = 200 * time.Millisecond
)

// handling is how a request that waits is dealt with.
type handling uint8

const (
	// handleUsual gives it any engine.
	handleUsual handling = iota
	// handleLater has it wait for what came of the same request before.
	handleLater
	// handleAlone gives it an engine that runs nothing else.
	handleAlone
	// handleGuarded gives it an engine that runs nothing else but older requests of those
	// whose requests are tried so.
	handleGuarded
	// handleHeld refuses it.
	handleHeld
)

// handling returns how a request is dealt with. On a calm day that is one look.
func (cor *Core) handling(now time.Time, res reservation.Reserve) handling {
	reg := cor.quarantine
	if reg.Quiet() {
		return handleUsual
	}
	switch reg.Level(now, res.Digest) {
	case quarantine.LevelHeld:
		return handleHeld
	case quarantine.LevelSuspected:
		if cor.runningOf[res.Digest] > 0 {
			return handleLater
		}
		return handleAlone
	case quarantine.LevelWatched:
		if cor.runningOf[res.Digest] > 0 {
			return handleLater
		}
	case quarantine.LevelClear:
	}
	restricted, pause := reg.Restriction(now, res.Subject().Source())
	switch {
	case pause > 0:
		return handleLater
	case restricted:
		return handleGuarded
	default:
		return handleUsual
	}
}

// handlingOf returns how a request that waits is dealt with. Hundreds wait in overload, and
// are looked at with each that begins or ends: it looks anew only where more is known
// (BenchmarkManyWaiting).
func (cor *Core) handlingOf(now time.Time, wai *waiter) handling {
	current := cor.quarantine.Version() + 1
	if wai.usualAt == current {
		return handleUsual
	}
	han := cor.handling(now, wai.reserve)
	if han == handleUsual {
		wai.usualAt = current
	}
	return han
}

// heldBack refuses a request that certainly isn't run in time, and reports whether it did:
// one that is held, and one of a source that pauses for longer than it may wait.
func (cor *Core) heldBack(now time.Time, from request.Epoch, res reservation.Reserve, svc *service) bool {
	if cor.quarantine.Quiet() {
		return false
	}
	if ref, held := cor.Held(now, res); held {
		cor.send(from, ref, svc.inputs(now, now))
		return true
	}
	_, pause := cor.quarantine.Restriction(now, res.Subject().Source())
	if pause <= waitTime(res) {
		return false
	}
	cor.send(from, reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reservation.ReasonOverload, RetryAfter: pause}, svc.inputs(now, now))
	return true
}

// Held returns the refusal of a request that is held.
func (cor *Core) Held(now time.Time, res reservation.Reserve) (reservation.Refuse, bool) {
	if cor.quarantine.Quiet() || cor.quarantine.Level(now, res.Digest) != quarantine.LevelHeld {
		return reservation.Refuse{}, false
	}
	left := cor.quarantine.HeldFor(now, res.Digest)
	return reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reservation.ReasonHeld, RetryAfter: left}, true
}

// noteBegun counts a run by its digest.
func (cor *Core) noteBegun(rnn *run) {
	if rnn.subject.Digest != (call.Digest{}) {
		cor.runningOf[rnn.subject.Digest]++
	}
	if rnn.alone {
		rnn.engine.aloneRuns++
		cor.service(rnn.engine.Service).aloneRuns++
	}
}

// noteOver takes a run off that count.
func (cor *Core) noteOver(now time.Time, rnn *run) {
	dig := rnn.subject.Digest
	cor.runningOf[dig]--
	if cor.runningOf[dig] <= 0 {
		delete(cor.runningOf, dig)
	}
	if !rnn.alone {
		return
	}
	rnn.engine.aloneRuns--
	cor.service(rnn.engine.Service).aloneRuns--
	if !cor.anyApart(now, rnn.engine.Service) {
		// The others may use the engine again.
		rnn.engine.apartUntil = time.Time{}
	}
}

// anyApart reports whether a request of the service waits for an engine that is set apart.
func (cor *Core) anyApart(now time.Time, service string) bool {
	svc := cor.services[service]
	return svc != nil && slices.ContainsFunc(svc.waiting, func(wai *waiter) bool {
		han := cor.handling(now, wai.reserve)
		return han == handleAlone || han == handleGuarded
	})
}

// noteWhole takes a whole answer for what it says: the request doesn't end engines, and
// the engine lives.
func (cor *Core) noteWhole(now time.Time, rnn *run) {
	if cor.quarantine.Quiet() {
		return
	}
	cor.quarantine.Answered(now, rnn.subject.Digest)
	if rnn.guarded && cor.quarantine.AnsweredAlone(rnn.subject.Source()) {
		cor.sources = append(cor.sources, SourceChange{Source: rnn.subject.Source()})
	}
	if rnn.engine.ended && rnn.given.After(rnn.engine.endedAt) {
		rnn.engine.ended = false
		cor.quarantine.Lives(now, rnn.engine.name)
	}
}

// engineEnded takes a gateway's word of an engine that ended under a request.
func (cor *Core) engineEnded(now time.Time, msg reservation.EngineEnded) {
	obs := msg.Observation
	if rnn := cor.runs[msg.ID]; rnn != nil && rnn.engine.name == obs.Engine {
		obs.Alone = rnn.alone || rnn.guarded && now.Sub(rnn.given) < quarantine.YoungFor
	}
	if msg.Uncertain {
		cor.quarantine.Doubt(now, obs)
		return
	}
	cor.noteEnd(now, obs)
}

// noteEnd notes an engine's end under a request.
func (cor *Core) noteEnd(now time.Time, obs quarantine.Observation) {
	ene := cor.engines[fleet.ParseEngineID(obs.Engine)]
	if ene != nil && !ene.ended {
		ene.ended, ene.endedAt = true, now
		cor.chillEnded(now, ene)
		cor.service(ene.Service).mark(now.Add(goneFor))
		if !cor.explained(ene) {
			cor.noteUnexplained(now, ene)
		}
	}
	cor.quarantine.Ended(now, obs)
	if obs.Alone {
		cor.quarantine.EndedAlone(now, obs.Source(), len(cor.service(obs.Service).engines))
	}
}

// explained reports whether the engine ran a request that was part of an end before.
func (cor *Core) explained(ene *engine) bool {
	for _, rnn := range ene.running {
		if rnn.alone || rnn.guarded || cor.quarantine.Ends(rnn.subject.Digest) > 0 {
			return true
		}
	}
	return false
}

// noteUnexplained has the registry weigh who was at the engine that ended against who was
// at the others.
func (cor *Core) noteUnexplained(now time.Time, ended *engine) {
	svc := cor.service(ended.Service)
	others := 0
	usual := make(map[quarantine.Source]int)
	usualYoung := make(map[quarantine.Source]int)
	for _, ene := range svc.engines {
		if ene == ended || ene.leaving() || ene.endedLately(now) {
			continue
		}
		others++
		here, young := ene.sourcesAt(now)
		for src := range here {
			usual[src]++
		}
		for src := range young {
			usualYoung[src]++
		}
	}
	part := func(count int) float64 { return (float64(count) + 0.5) / float64(others+1) }
	here, young := ended.sourcesAt(now)
	var present []quarantine.Presence
	for src := range here {
		present = append(present, quarantine.Presence{Source: src, Here: true, Young: young[src], Usual: part(usual[src]), UsualYoung: part(usualYoung[src])})
	}
	for _, src := range cor.quarantine.UnexplainedEnd(now, present) {
		cor.sources = append(cor.sources, SourceChange{Source: src, Restricted: true})
	}
}

// sourcesAt returns who has a request at the engine, and who a new one.
func (ene *engine) sourcesAt(now time.Time) (here, young map[quarantine.Source]bool) {
	here, young = make(map[quarantine.Source]bool), make(map[quarantine.Source]bool)
	for _, rnn := range ene.running {
		src := rnn.subject.Source()
		here[src] = true
		if now.Sub(rnn.given) <= quarantine.YoungFor {
			young[src] = true
		}
	}
	return here, young
}

// settleDoubts tells the registry of the engines that are known now.
func (cor *Core) settleDoubts(now time.Time) {
	if cor.quarantine.Quiet() {
		return
	}
	known := make([]quarantine.Engine, 0, len(cor.engines))
	for _, ene := range cor.engines {
		known = append(known, quarantine.Engine{Run: ene.name, Leaving: ene.leaving()})
	}
	for _, obs := range cor.quarantine.EnginesChanged(now, known) {
		cor.noteEnd(now, obs)
	}
}

// SourceChange says that a source's requests run alone from now on, or no longer.
type SourceChange struct {
	Source     quarantine.Source
	Restricted bool
}

// QuarantineChanges returns what has become of requests and sources since it was last
// called, for the log and for other hosts.
func (cor *Core) QuarantineChanges() ([]quarantine.Change, []SourceChange) {
	changes, sources := cor.quarantine.Changes(), cor.sources
	cor.sources = nil
	return changes, sources
}

// CaseReports returns what another host is told of requests at a level or above, the worst
// first.
func (cor *Core) CaseReports(now time.Time, least quarantine.Level, most int) []quarantine.Report {
	return cor.quarantine.Reports(now, least, most)
}

// KnowsCase reports whether anything is known against a request.
func (cor *Core) KnowsCase(dig call.Digest) bool {
	return cor.quarantine.Ends(dig) > 0
}

// HoldsToStore returns the held requests as the store should hold them, and whether that
// differs from what it was last read to hold.
func (cor *Core) HoldsToStore() ([]quarantine.Hold, bool) {
	return cor.quarantine.ToStore()
}

// CaseDump is what is known against one request.
type CaseDump struct {
	Digest  call.Digest
	Level   string
	Service string
	Account string
	Route   string
	// Engines are those that ended while they ran it; Alone says that it ran alone on the
	// last of them.
	Engines []string
	Alone   bool
	// Until is when it is let out; the zero time for one that isn't held, or is for good.
	Until   time.Time
	ForGood bool
	Trials  int
}

// maxCaseDumps bounds the requests that a dump names: an operator looks for few.
const maxCaseDumps = 512

func (cor *Core) dumpCases(now time.Time) []CaseDump {
	var dumps []CaseDump
	for _, cas := range cor.quarantine.Cases(now) {
		if len(dumps) >= maxCaseDumps {
			break
		}
		dum := CaseDump{
			Digest: cas.Digest, Level: cor.quarantine.LevelOf(now, cas).String(), Service: cas.Service, Account: cas.Account, Route: cas.Route,
			Until: cas.Until, ForGood: cas.Held && cas.Until.IsZero(), Trials: cas.Trials,
		}
		for _, end := range cas.Ends {
			dum.Engines, dum.Alone = append(dum.Engines, end.Engine), end.Alone
		}
		dumps = append(dumps, dum)
	}
	return dumps
}

// dropRuns forgets the runs of a gateway that is lost.
func (cor *Core) dropRuns(now time.Time, gateway request.Epoch) {
	maps.DeleteFunc(cor.runs, func(id request.ID, rnn *run) bool {
		if rnn.gateway != gateway {
			return false
		}
		delete(rnn.engine.running, id)
		rnn.engine.end(now, rnn)
		rnn.engine.endProbe(rnn)
		cor.noteOver(now, rnn)
		return true
	})
}

// Package quarantine tracks requests that crash the engines that run them, and decides how such
// a request may run: as usual, exclusively on an engine, or not at all.
//
// # Usage
//
//	reg := quarantine.New(quarantine.Config{})
//	reg.RecordCrash(now, quarantine.Observation{Subject: sub, Engine: "e1"}) // the engine crashed while it ran the request
//	reg.RecordAnswer(now, sub.Digest)                                     // a later run was answered
//	switch reg.Level(now, sub.Digest) {
//	case quarantine.LevelHeld: // reject the request
//	case quarantine.LevelSuspected: // run it exclusively on an engine
//	}
//	for _, cha := range reg.Changes() { ... } // log the changes and send them to other hosts
//
// A Registry does no I/O and reads no clock: its methods take events and the time. The events
// name the requests that an engine was running when it crashed, but not the request that caused
// the crash. After one crash, all requests on that engine are equally likely to be the cause. A
// request that is part of a second crash is suspected, and a suspected request that crashes an
// engine on which it runs exclusively is the cause. An answer clears its request, since a poison
// request is never answered.
//
// The registry holds digests, not the requests themselves, and its size is bounded: it keeps the
// cases of requests that were part of one crash for ten minutes and of suspected requests for an
// hour, at most 4,096 in all, and evicts those with the least evidence first.
package quarantine

import (
	"time"

	"lynxwell.dev/lynxwell/call"
)

// Level is the quarantine level of a request.
type Level uint8

// The levels, in ascending order of the evidence against a request.
const (
	// LevelClear is the level of a request without a recorded crash.
	LevelClear Level = iota
	// LevelWatched is the level of a request that ran on an engine that crashed or may have
	// crashed. All requests that ran there at the time are watched, and nearly all of them are
	// harmless: a watched request is scheduled like any other, except that it isn't run twice at
	// the same time.
	LevelWatched
	// LevelSuspected is the level of a request that ran on several engines that crashed, or whose
	// hold has expired. It runs exclusively on its engine.
	LevelSuspected
	// LevelHeld is the level of a request that isn't run.
	LevelHeld
)

// String returns the level's name.
func (lev Level) String() string {
	names := [...]string{"Clear", "Watched", "Suspected", "Held"}
	if int(lev) >= len(names) {
		return "Invalid"
	}
	return names[lev]
}

// Config holds the settings of a Registry. Zero fields take the defaults.
type Config struct {
	// SuspectAt is the number of crashes from which a request is suspected, and HoldAt the
	// number from which it is held. HoldExclusiveAt is the number from which it is held if it
	// ran exclusively in the last of them.
	SuspectAt       int
	HoldAt          int
	HoldExclusiveAt int
}

// The defaults of Config. By coincidence, six of eighteen engines may run a request for the
// second time within a minute, so two crashes in a row prove nothing against a request. Users
// allow a poison request to crash three engines. If the request ran exclusively in the second
// crash, two are proof. The scheduler's benchmark of quarantine policies compares these values by
// the engines that crash and the harmless requests that are held.
const (
	defaultSuspectAt       = 2
	defaultHoldAt          = 3
	defaultHoldExclusiveAt = 2
)

const (
	// watchedTTL and suspectedTTL bound how long the case of a request that isn't held is kept:
	// clients retry within seconds, people within minutes.
	watchedTTL   = 10 * time.Minute
	suspectedTTL = time.Hour
	// firstHoldTime is how long a request is held at first, and laterHoldTime how long it is
	// held after a trial (a run after a hold expired) that crashed another engine. After
	// maxTrials such trials it is held until an operator releases it: each trial costs an
	// engine, and users allow three.
	firstHoldTime = time.Hour
	// firstPartHoldTime is how long a part of prompts is held at first: many requests share it, and the trial after
	// it shows whether the part is sound.
	firstPartHoldTime = time.Minute
	laterHoldTime     = 24 * time.Hour
	maxTrials         = 2
	// maxCases bounds the cases, at about 300 bytes each. MaxHeld bounds the held requests among
	// them, which must fit into one value of the store.
	maxCases = 4096
	// casesAfterPrune is the number of cases to which the registry is cut once it holds maxCases,
	// and pruneInterval the minimum time between two searches for expired cases: doing either at
	// each crash would be too expensive.
	casesAfterPrune = 3072
	pruneInterval   = time.Second
	// MaxHeld is the maximum number of held requests.
	MaxHeld = 256
	// maxCrashes bounds the crashes that are recorded for a case.
	maxCrashes = 8
	// unconfirmedTTL bounds how long an unconfirmed crash, which may have been only a broken
	// connection, is checked against the registered engines. The entry of a crashed engine
	// expires after three heartbeats, which is less than four seconds, or some seconds later if
	// the store is unavailable.
	unconfirmedTTL = 10 * time.Second
	// clearedTTL is how long this host ignores other hosts' reports about a request that it has
	// cleared: they may have been sent before the other host received the clearing.
	clearedTTL = 10 * time.Second
)

// Subject identifies a request and its sender, or a part that prompts share.
type Subject struct {
	Digest  call.Digest
	Service string
	Account string
	Route   string
	// Part is the id of a part of prompts to the service if IsPart reports one. A part has no account and no route.
	Part uint64
}

// TrafficSource returns the traffic source of the request.
func (sub Subject) TrafficSource() TrafficSource {
	return TrafficSource{Service: sub.Service, Account: sub.Account, Route: sub.Route}
}

// Observation is the crash of an engine while it ran a request.
type Observation struct {
	Subject
	// Engine is the engine run that crashed.
	Engine string
	// Exclusive reports whether the engine ran nothing else, or whether the request was that of a
	// restricted traffic source and was granted the engine less than NewRequestAge before.
	Exclusive bool
	// Began is when the request was granted or sent, by the clock of the host that records the
	// crash; zero if that host doesn't know.
	Began time.Time
	// Check is the state of the gateway's check of an unconfirmed crash.
	Check Check
}

// Crash is the crash of an engine while it ran the request of a case.
type Crash struct {
	// Engine is the most recent known run of the engine that crashed: the engine may restart and
	// crash once more before the store reports the new run. Again numbers the crashes that are
	// recorded under the same run, from 0.
	Engine string
	Again  int
	// Alone reports whether any host observed the crash with Observation.Exclusive set.
	Alone bool
	// seenAt is when this host detected the crash or received a report of it.
	seenAt time.Time
}

// Case is the evidence against one request.
type Case struct {
	Subject
	Crashes []Crash
	// Held reports whether the request was ever held. The hold lasts until the time Until, or
	// until an operator releases the request if Until is zero.
	Held  bool
	Until time.Time
	// Trials is how often the request ran after its hold had expired and crashed an engine.
	Trials int
	// Seen is when the request was last part of a crash.
	Seen time.Time
}

// isHeld reports whether the request is held at the given time.
func (cas *Case) isHeld(now time.Time) bool {
	return cas.Held && (cas.Until.IsZero() || now.Before(cas.Until))
}

func (cas *Case) level(now time.Time, cfg Config) Level {
	switch {
	case cas.isHeld(now):
		return LevelHeld
	case cas.Held || len(cas.Crashes) >= cfg.SuspectAt:
		// A request whose hold has expired runs exclusively.
		return LevelSuspected
	default:
		return LevelWatched
	}
}

// addCrash records a crash and reports whether the case has changed. The same crash of an engine
// run may be reported by several hosts, each of which had a request with this digest there, and a
// report may arrive at any time after another one. Only if the request is known to have begun after a
// recorded crash of the run was detected here, the observation is another crash.
func (cas *Case) addCrash(now time.Time, obs Observation) bool {
	cra := Crash{Engine: obs.Engine, Alone: obs.Exclusive, seenAt: now}
	for idx, known := range cas.Crashes {
		if known.Engine != obs.Engine {
			continue
		}
		if !known.seenAt.Before(obs.Began) {
			cas.Crashes[idx].Alone = known.Alone || obs.Exclusive
			return cas.Crashes[idx].Alone != known.Alone
		}
		cra.Again = known.Again + 1
	}
	cas.appendCrash(cra)
	return true
}

// mergeCrash records a crash that another host reported, and reports whether the case has changed.
func (cas *Case) mergeCrash(now time.Time, cra Crash) bool {
	for idx, known := range cas.Crashes {
		if known.Engine == cra.Engine && known.Again == cra.Again {
			cas.Crashes[idx].Alone = known.Alone || cra.Alone
			return cas.Crashes[idx].Alone != known.Alone
		}
	}
	cra.seenAt = now
	cas.appendCrash(cra)
	return true
}

func (cas *Case) appendCrash(cra Crash) {
	if len(cas.Crashes) >= maxCrashes {
		cas.Crashes = append(cas.Crashes[:0:0], cas.Crashes[1:]...)
	}
	cas.Crashes = append(cas.Crashes, cra)
}

// firstHoldTime returns how long the case is held at first.
func (cas *Case) firstHoldTime() time.Duration {
	if cas.IsPart() {
		return firstPartHoldTime
	}
	return firstHoldTime
}

// reachesHold reports whether the crashes suffice to hold the request.
func (cas *Case) reachesHold(cfg Config) bool {
	if len(cas.Crashes) >= cfg.HoldAt {
		return true
	}
	return len(cas.Crashes) >= cfg.HoldExclusiveAt && cas.Crashes[len(cas.Crashes)-1].Alone
}

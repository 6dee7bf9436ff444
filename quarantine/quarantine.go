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
// A Registry does no I/O and reads no clock: its methods take events and the time. It learns
// which requests an engine ran when it crashed, but not the cause. After one crash, all
// requests on that engine are equally likely to be the cause. A request that is part of a
// second crash is suspected, and a suspected request that crashes an engine on which it runs
// exclusively is the cause. Each answer clears a request, since a poison request is never
// answered.
//
// The registry keeps only digests, and its size is bounded: it keeps requests that were part of
// one crash for ten minutes and suspected requests for an hour, at most 4,096 in all, and
// evicts those with the least evidence first.
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
	// LevelWatched is the level of a request that ran on an engine that crashed. All requests
	// that ran there at the time are watched, and nearly all of them are innocent: a watched
	// request is scheduled like any other, except that it doesn't run twice at the same time.
	LevelWatched
	// LevelSuspected is the level of a request that ran on several engines that crashed. It
	// runs exclusively on its engine.
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

// The defaults of Config. Six of eighteen engines may by coincidence run a request for a second
// time within a minute, so two crashes in a row prove nothing, and three are the most that users
// allow. If the request ran exclusively on its engine, the second crash is proof. The
// scheduler's benchmark of quarantine policies compares these values by the engines and
// innocent requests that they cost.
const (
	defaultSuspectAt       = 2
	defaultHoldAt          = 3
	defaultHoldExclusiveAt = 2
)

const (
	// watchedTTL and suspectedTTL bound how long a request that isn't held is remembered:
	// clients retry within seconds, or within minutes if a person does.
	watchedTTL   = 10 * time.Minute
	suspectedTTL = time.Hour
	// firstHoldTime is how long a request is held at first, and laterHoldTime how long it is
	// held after each trial (a run after a hold) that crashed another engine. After maxTrials
	// of these it is held until an operator frees it: each trial costs an engine, and users
	// allow three.
	firstHoldTime = time.Hour
	laterHoldTime = 24 * time.Hour
	maxTrials     = 2
	// maxCases bounds the remembered requests, at about 300 bytes each. MaxHeld bounds the held
	// requests among them, which must fit into one value of the store.
	maxCases = 4096
	// casesAfterPrune is the number of cases that are left when there are too many, and
	// pruneInterval the time between two searches for expired cases: doing either at each crash
	// would be too expensive.
	casesAfterPrune = 3072
	pruneInterval   = time.Second
	// MaxHeld is the maximum number of held requests.
	MaxHeld = 256
	// maxCrashes bounds the crashes that are recorded for a case.
	maxCrashes = 8
	// unconfirmedTTL bounds how long an unconfirmed crash, which may have been only a broken
	// connection, is checked against the registered engines. The entry of a crashed engine
	// expires after three heartbeats, less than four seconds, plus some seconds if the store is
	// unavailable.
	unconfirmedTTL = 10 * time.Second
	// clearedTTL is how long reports of other hosts about a request that this host has cleared
	// are ignored, since they may have been sent before the other host learned that it was
	// cleared.
	clearedTTL = 10 * time.Second
)

// Subject identifies a request and its sender.
type Subject struct {
	Digest  call.Digest
	Service string
	Account string
	Route   string
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
	// Exclusive reports whether the engine ran nothing else.
	Exclusive bool
	// RunTime is how long the engine had been running the request.
	RunTime time.Duration
}

// Crash is the crash of an engine while it ran the request of a case.
type Crash struct {
	// Engine is the engine run that crashed, as far as it is known: an engine may restart and
	// crash once more before the store reports the new run. Again numbers the crashes of the
	// same run, from 0.
	Engine string
	Again  int
	Alone  bool
	// seenAt is when this host learned of the crash.
	seenAt time.Time
}

// Case is the evidence against one request.
type Case struct {
	Subject
	Crashes []Crash
	// Held reports whether the request was ever held. The hold lasts until the time Until, or
	// until an operator frees the request if Until is zero.
	Held  bool
	Until time.Time
	// Trials is how often the request ran after a hold had expired and crashed another engine.
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

// addCrash records a crash and reports whether it changes the case. Several hosts may report
// the same crash of an engine run, for requests that ran there at the same time. A run of the
// request that began after the recorded crash was seen belongs to another crash.
func (cas *Case) addCrash(now time.Time, obs Observation) bool {
	cra := Crash{Engine: obs.Engine, Alone: obs.Exclusive, seenAt: now}
	for idx, known := range cas.Crashes {
		if known.Engine != obs.Engine {
			continue
		}
		if !known.seenAt.Before(now.Add(-obs.RunTime)) {
			cas.Crashes[idx].Alone = known.Alone || obs.Exclusive
			return cas.Crashes[idx].Alone != known.Alone
		}
		cra.Again = known.Again + 1
	}
	cas.appendCrash(cra)
	return true
}

// mergeCrash records a crash that another host reported, and reports whether it changes the
// case.
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

// reachesHold reports whether the crashes suffice to hold the request.
func (cas *Case) reachesHold(cfg Config) bool {
	if len(cas.Crashes) >= cfg.HoldAt {
		return true
	}
	return len(cas.Crashes) >= cfg.HoldExclusiveAt && cas.Crashes[len(cas.Crashes)-1].Alone
}

// Package quarantine remembers which requests end the engines that run them, and decides
// what may still be done with such a request: run it as usual, run it alone, or hold it
// back.
//
// # Usage
//
//	reg := quarantine.New(quarantine.Config{})
//	reg.Ended(now, quarantine.Observation{Subject: sub, Engine: "e1"}) // an engine ended while it ran it
//	reg.Answered(now, sub.Digest)                                     // it was answered after all
//	switch reg.Level(now, sub.Digest) {
//	case quarantine.LevelHeld: // refuse it
//	case quarantine.LevelSuspected: // only where nothing else can be lost
//	}
//	for _, cha := range reg.Changes() { ... } // for the log, and for other hosts
//
// A Registry is pure: what happened and the time go in. It is told which requests an engine
// ran when it ended, and nothing of why. One end says little, since all that ran there look
// alike; the same request at a second end is suspected; and a suspected one that ends an
// engine on which it ran alone has done it. Each answer acquits: a request that ends each
// engine is never answered.
//
// Only digests are kept. What is kept is bounded: of requests that were part of one end for
// ten minutes, of suspected ones for an hour, 4,096 in all, of which those that have done
// least go first.
package quarantine

import (
	"time"

	"lynxwell.dev/lynxwell/call"
)

// Level says what may be done with a request.
type Level uint8

// The levels, in the order of what is known against the request.
const (
	// LevelClear is a request that nothing is known against.
	LevelClear Level = iota
	// LevelWatched is one that ran on an engine that ended. As many run beside it at the
	// time are watched, nearly all of them innocent: it is treated as others are, but isn't
	// run twice at the same time.
	LevelWatched
	// LevelSuspected is one that ran on several engines that ended. It runs alone.
	LevelSuspected
	// LevelHeld is one that isn't run.
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

// Config holds what a Registry is made from. Zero stands for the defaults.
type Config struct {
	// SuspectAt is after how many ends a request runs alone, HoldAt after how many it is
	// held; HoldAloneAt is the same where the last of them came while it ran alone.
	SuspectAt   int
	HoldAt      int
	HoldAloneAt int
}

// The defaults of Config. With six engines of eighteen running a request a second time
// by chance within a minute, two ends in a row are no proof, and three are what users allow
// at most; alone on its engine, the second is: TestWaysOfJudging compares these by what
// engines and innocent requests they cost.
const (
	defaultSuspectAt   = 2
	defaultHoldAt      = 3
	defaultHoldAloneAt = 2
)

const (
	// watchedFor and suspectedFor are for how long a request is remembered that isn't held:
	// callers come back within seconds, or minutes where people do.
	watchedFor   = 10 * time.Minute
	suspectedFor = time.Hour
	// firstHold is for how long a request is held, laterHold each time that it was let out
	// and ended another engine. After maxTrials of these it stays until an operator frees
	// it: each is an engine lost, and users allow three.
	firstHold = time.Hour
	laterHold = 24 * time.Hour
	maxTrials = 2
	// maxCases bounds what is remembered, at some 300 bytes each; MaxHeld bounds what of it
	// is held, which has to fit into one value of the store.
	maxCases = 4096
	// keptCases are left when there are too many, and forgetInterval is how often old ones
	// are looked for: neither is to be done at each end.
	keptCases      = 3072
	forgetInterval = time.Second
	// MaxHeld is how many requests are held at most.
	MaxHeld = 256
	// maxEnds bounds the ends that a case names.
	maxEnds = 8
	// doubtFor is for how long an end that may have been the connection's alone is looked
	// for in the list of engines: an entry outlasts its engine by three heartbeats, less
	// than four seconds, and a store that is away for some seconds more.
	doubtFor = 10 * time.Second
	// clearedFor is for how long what other hosts tell of a request that was cleared here
	// isn't believed: it may have crossed.
	clearedFor = 10 * time.Second
)

// Subject is a request as far as it matters here.
type Subject struct {
	Digest  call.Digest
	Service string
	Account string
	Route   string
}

// Source returns who sends such requests.
func (sub Subject) Source() Source {
	return Source{Service: sub.Service, Account: sub.Account, Route: sub.Route}
}

// Observation is an engine's end while it ran a request.
type Observation struct {
	Subject
	// Engine is the run of the engine that ended.
	Engine string
	// Alone says that the engine ran nothing else.
	Alone bool
	// Ran is for how long it had run the request.
	Ran time.Duration
}

// End is an engine's end under a request.
type End struct {
	// Engine is the run that ended, as far as it is known: one may start again, and end
	// again, before the store tells of it. Again counts its ends from 0 on.
	Engine string
	Again  int
	Alone  bool
	// seen is when this host learnt of it.
	seen time.Time
}

// Case is what is known against one request.
type Case struct {
	Subject
	Ends []End
	// Held says that the request was held; it still is until the time, for good where that
	// is zero.
	Held  bool
	Until time.Time
	// Trials is how often it was let out and ended another engine.
	Trials int
	// Seen is when it last was part of an end.
	Seen time.Time
}

// heldAt reports whether the request is held back.
func (cas *Case) heldAt(now time.Time) bool {
	return cas.Held && (cas.Until.IsZero() || now.Before(cas.Until))
}

func (cas *Case) level(now time.Time, cfg Config) Level {
	switch {
	case cas.heldAt(now):
		return LevelHeld
	case cas.Held || len(cas.Ends) >= cfg.SuspectAt:
		// One that was held is let out alone.
		return LevelSuspected
	default:
		return LevelWatched
	}
}

// addEnd adds an end, and reports whether anything is new. Several hosts may tell of the
// same one, whose requests ran at the same time; what began after it was seen is another.
func (cas *Case) addEnd(now time.Time, obs Observation) bool {
	end := End{Engine: obs.Engine, Alone: obs.Alone, seen: now}
	for idx, known := range cas.Ends {
		if known.Engine != obs.Engine {
			continue
		}
		if !known.seen.Before(now.Add(-obs.Ran)) {
			cas.Ends[idx].Alone = known.Alone || obs.Alone
			return cas.Ends[idx].Alone != known.Alone
		}
		end.Again = known.Again + 1
	}
	cas.append(end)
	return true
}

// mergeEnd adds an end that another host told of, and reports whether anything is new.
func (cas *Case) mergeEnd(now time.Time, end End) bool {
	for idx, known := range cas.Ends {
		if known.Engine == end.Engine && known.Again == end.Again {
			cas.Ends[idx].Alone = known.Alone || end.Alone
			return cas.Ends[idx].Alone != known.Alone
		}
	}
	end.seen = now
	cas.append(end)
	return true
}

func (cas *Case) append(end End) {
	if len(cas.Ends) >= maxEnds {
		cas.Ends = append(cas.Ends[:0:0], cas.Ends[1:]...)
	}
	cas.Ends = append(cas.Ends, end)
}

// provedBy reports whether the ends suffice to hold the request.
func (cas *Case) provedBy(cfg Config) bool {
	if len(cas.Ends) >= cfg.HoldAt {
		return true
	}
	return len(cas.Ends) >= cfg.HoldAloneAt && cas.Ends[len(cas.Ends)-1].Alone
}

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/call"
)

// Registry holds the evidence against requests and traffic sources. It isn't safe for
// concurrent use.
type Registry struct {
	cfg   Config
	cases map[call.Digest]*Case
	// unconfirmed holds the unconfirmed crashes, which may have been only broken connections.
	// unconfirmedCounts and unconfirmedByEngine count them by request and by engine run, and
	// aliveCounts those by request whose engine run lived on: searching them all for each waiting
	// request or answer would make a host that schedules hundreds of requests fall behind.
	unconfirmed         map[unconfirmedKey]unconfirmedCrash
	unconfirmedCounts   map[call.Digest]int
	unconfirmedByEngine map[string]int
	aliveCounts         map[call.Digest]int
	// cleared is when each request was cleared on this host, for clearedTTL.
	cleared map[call.Digest]time.Time
	sources map[TrafficSource]*sourceState
	// bursts are the latest crashes of each service.
	bursts    map[string]*burst
	changes   []Change
	nextPrune time.Time
	// version counts the recorded crashes, merged reports and restrictions of traffic sources.
	version uint64
	// stored is the content of the store's list of held requests as last read.
	stored map[call.Digest]storedHold
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	cfg.SuspectAt = cmp.Or(cfg.SuspectAt, defaultSuspectAt)
	cfg.HoldAt = cmp.Or(cfg.HoldAt, defaultHoldAt)
	cfg.HoldExclusiveAt = cmp.Or(cfg.HoldExclusiveAt, defaultHoldExclusiveAt)
	return &Registry{
		cfg: cfg, cases: make(map[call.Digest]*Case), unconfirmed: make(map[unconfirmedKey]unconfirmedCrash), unconfirmedCounts: make(map[call.Digest]int),
		unconfirmedByEngine: make(map[string]int), aliveCounts: make(map[call.Digest]int), cleared: make(map[call.Digest]time.Time),
		sources: make(map[TrafficSource]*sourceState), bursts: make(map[string]*burst), stored: make(map[call.Digest]storedHold),
	}
}

// IsEmpty reports whether the registry holds no evidence against any request or traffic
// source.
func (reg *Registry) IsEmpty() bool {
	return len(reg.cases) == 0 && len(reg.unconfirmed) == 0 && len(reg.sources) == 0
}

// Version changes with each recorded crash, merged report and restriction of a traffic source,
// but not with an unconfirmed crash. While it stays the same, no request's level rises above
// LevelWatched, and no further traffic source is restricted.
func (reg *Registry) Version() uint64 { return reg.version }

// Level returns the quarantine level of a request.
func (reg *Registry) Level(now time.Time, dig call.Digest) Level {
	if cas := reg.cases[dig]; cas != nil {
		return cas.level(now, reg.cfg)
	}
	if reg.unconfirmedCounts[dig] > reg.aliveCounts[dig] {
		return LevelWatched
	}
	return LevelClear
}

// HeldFor returns how much longer a held request is held, or 0 if it is held until an operator
// releases it.
func (reg *Registry) HeldFor(now time.Time, dig call.Digest) time.Duration {
	cas := reg.cases[dig]
	if cas == nil || cas.Until.IsZero() {
		return 0
	}
	return max(0, cas.Until.Sub(now))
}

// RecordCrash records the crash of an engine while it ran a request.
func (reg *Registry) RecordCrash(now time.Time, obs Observation) {
	if obs.Digest == (call.Digest{}) {
		return
	}
	reg.prune(now)
	reg.removeUnconfirmed(unconfirmedKey{digest: obs.Digest, engine: obs.Engine})
	reg.version++
	delete(reg.cleared, obs.Digest)
	cas := reg.cases[obs.Digest]
	if cas == nil {
		cas = &Case{Subject: obs.Subject}
		reg.cases[obs.Digest] = cas
	}
	before := cas.level(now, reg.cfg)
	known := len(cas.Crashes) > 0
	cas.Seen = now
	if !cas.addCrash(now, obs) {
		return
	}
	reg.updateHold(now, cas)
	reg.recordLevel(now, cas, before, known)
}

// updateHold holds a request with sufficient crashes, and holds a request again that has crashed
// an engine after its hold expired.
func (reg *Registry) updateHold(now time.Time, cas *Case) {
	switch {
	case cas.isHeld(now):
	case cas.Held:
		cas.Trials++
		cas.Until = now.Add(laterHoldTime)
		if cas.Trials >= maxTrials {
			cas.Until = time.Time{}
		}
	case cas.reachesHold(reg.cfg):
		cas.Held, cas.Until = true, now.Add(cas.firstHoldTime())
		reg.limitHeld(now)
	}
}

// RecordAnswer records that an engine answered a request, which clears the request.
func (reg *Registry) RecordAnswer(now time.Time, dig call.Digest) {
	reg.clear(now, dig, KindCleared)
	if len(reg.unconfirmed) > 0 {
		reg.removeUnconfirmedOf(dig)
	}
}

// Release clears a request because an operator released it, and reports whether it was known.
func (reg *Registry) Release(now time.Time, dig call.Digest) bool {
	return reg.clear(now, dig, KindReleased)
}

func (reg *Registry) clear(now time.Time, dig call.Digest, kin Kind) bool {
	cas := reg.cases[dig]
	if cas == nil {
		return false
	}
	delete(reg.cases, dig)
	reg.cleared[dig] = now
	reg.recordChange(now, kin, cas)
	return true
}

// clearFromPeer clears a request because another host has cleared or released it.
func (reg *Registry) clearFromPeer(now time.Time, dig call.Digest, kin Kind) {
	if reg.clear(now, dig, kin) {
		reg.changes[len(reg.changes)-1].ClearedByPeer = true
	}
}

// RecordAlive records that an engine run that was recorded as crashed has answered since: only
// its connections had failed. Its crashes are removed from all cases that were never held.
func (reg *Registry) RecordAlive(now time.Time, engine string) {
	for dig, cas := range reg.cases {
		remaining := slices.DeleteFunc(slices.Clone(cas.Crashes), func(cra Crash) bool { return cra.Engine == engine })
		switch {
		case len(remaining) == len(cas.Crashes) || cas.Held:
		case len(remaining) == 0:
			reg.clear(now, dig, KindCleared)
		default:
			cas.Crashes = remaining
		}
	}
}

// Crashes returns the number of recorded crashes that a request was part of.
func (reg *Registry) Crashes(dig call.Digest) int {
	if cas := reg.cases[dig]; cas != nil {
		return len(cas.Crashes)
	}
	return 0
}

// LastCrash returns when the latest crash that a subject was part of became known here; zero for none.
func (reg *Registry) LastCrash(dig call.Digest) time.Time {
	cas := reg.cases[dig]
	if cas == nil || len(cas.Crashes) == 0 {
		return time.Time{}
	}
	return cas.Crashes[len(cas.Crashes)-1].seenAt
}

// Cases returns all cases, those of the highest level first, then the latest first.
func (reg *Registry) Cases(now time.Time) []Case {
	all := make([]Case, 0, len(reg.cases))
	for _, cas := range reg.cases {
		copied := *cas
		copied.Crashes = slices.Clone(cas.Crashes)
		all = append(all, copied)
	}
	slices.SortFunc(all, func(one, two Case) int {
		return cmp.Or(
			cmp.Compare(two.level(now, reg.cfg), one.level(now, reg.cfg)),
			two.Seen.Compare(one.Seen),
			slices.Compare(one.Digest[:], two.Digest[:]),
		)
	})
	return all
}

// LevelOf returns the level of a case that Cases returned.
func (reg *Registry) LevelOf(now time.Time, cas Case) Level {
	return cas.level(now, reg.cfg)
}

// prune removes expired cases and, if there are too many, those of the lowest level, the oldest
// first. A poison request whose case is removed crashes as many engines as at first until it is
// held again.
func (reg *Registry) prune(now time.Time) {
	if now.Before(reg.nextPrune) && len(reg.cases) < maxCases {
		return
	}
	reg.nextPrune = now.Add(pruneInterval)
	for dig, cas := range reg.cases {
		if cas.isExpired(now, reg.cfg) {
			reg.drop(now, dig)
		}
	}
	maps.DeleteFunc(reg.cleared, func(_ call.Digest, at time.Time) bool { return now.Sub(at) > clearedTTL })
	reg.pruneSources(now)
	reg.pruneUnconfirmed(now)
	if len(reg.cases) < maxCases {
		return
	}
	for _, cas := range reg.Cases(now)[casesAfterPrune:] {
		reg.drop(now, cas.Digest)
	}
}

// limitHeld removes the held requests beyond MaxHeld: first those whose hold has expired, then
// the oldest.
func (reg *Registry) limitHeld(now time.Time) {
	held := 0
	for _, cas := range reg.Cases(now) {
		if !cas.Held {
			continue
		}
		held++
		if held > MaxHeld {
			reg.drop(now, cas.Digest)
		}
	}
}

func (cas *Case) isExpired(now time.Time, cfg Config) bool {
	switch {
	case cas.isHeld(now):
		return false
	case cas.Held:
		// The request may be sent again, and without its case would crash as many engines as at
		// first.
		return now.Sub(cas.Until) > laterHoldTime
	case len(cas.Crashes) >= cfg.SuspectAt:
		return now.Sub(cas.Seen) > suspectedTTL
	default:
		return now.Sub(cas.Seen) > watchedTTL
	}
}

func (reg *Registry) drop(now time.Time, dig call.Digest) {
	if cas := reg.cases[dig]; cas != nil {
		delete(reg.cases, dig)
		reg.recordChange(now, KindPruned, cas)
	}
}

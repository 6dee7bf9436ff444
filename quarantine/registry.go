package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/call"
)

// Registry is what is known against requests.
type Registry struct {
	cfg   Config
	cases map[call.Digest]*Case
	// doubts are ends of which it isn't known whether the engine's or the connection's.
	// doubted counts them by request: going through all for each of those who wait would
	// have a host that decides for hundreds fall behind.
	doubts  map[doubtKey]doubt
	doubted map[call.Digest]int
	// cleared is when requests were cleared here lately.
	cleared    map[call.Digest]time.Time
	sources    map[Source]*sourceState
	changes    []Change
	nextForget time.Time
	// version counts what may make a request another level, or restrict a source.
	version uint64
	// stored is what the store was last read to hold of held requests.
	stored map[call.Digest]storedHold
}

// New returns a registry that knows nothing.
func New(cfg Config) *Registry {
	cfg.SuspectAt = cmp.Or(cfg.SuspectAt, defaultSuspectAt)
	cfg.HoldAt = cmp.Or(cfg.HoldAt, defaultHoldAt)
	cfg.HoldAloneAt = cmp.Or(cfg.HoldAloneAt, defaultHoldAloneAt)
	return &Registry{
		cfg: cfg, cases: make(map[call.Digest]*Case), doubts: make(map[doubtKey]doubt), doubted: make(map[call.Digest]int), cleared: make(map[call.Digest]time.Time),
		sources: make(map[Source]*sourceState), stored: make(map[call.Digest]storedHold),
	}
}

// Quiet reports whether nothing is known against any request, as on a calm day.
func (reg *Registry) Quiet() bool {
	return len(reg.cases) == 0 && len(reg.doubts) == 0 && len(reg.sources) == 0
}

// Version changes whenever a request of which nothing was known may have become another
// matter. Those who ask again and again, as for each that waits, needn't meanwhile.
func (reg *Registry) Version() uint64 { return reg.version }

// Level returns what may be done with a request.
func (reg *Registry) Level(now time.Time, dig call.Digest) Level {
	if cas := reg.cases[dig]; cas != nil {
		return cas.level(now, reg.cfg)
	}
	if reg.doubted[dig] > 0 {
		return LevelWatched
	}
	return LevelClear
}

// HeldFor returns for how much longer a held request is held; 0 for good.
func (reg *Registry) HeldFor(now time.Time, dig call.Digest) time.Duration {
	cas := reg.cases[dig]
	if cas == nil || cas.Until.IsZero() {
		return 0
	}
	return max(0, cas.Until.Sub(now))
}

// Ended notes an engine's end while it ran a request.
func (reg *Registry) Ended(now time.Time, obs Observation) {
	if obs.Digest == (call.Digest{}) {
		return
	}
	reg.forget(now)
	reg.version++
	delete(reg.cleared, obs.Digest)
	cas := reg.cases[obs.Digest]
	if cas == nil {
		cas = &Case{Subject: obs.Subject}
		reg.cases[obs.Digest] = cas
	}
	before := cas.level(now, reg.cfg)
	known := len(cas.Ends) > 0
	cas.Seen = now
	if !cas.addEnd(now, obs) {
		return
	}
	reg.judge(now, cas)
	reg.tell(now, cas, before, known)
}

// judge holds a case that is proved, or that has ended an engine since it was let out.
func (reg *Registry) judge(now time.Time, cas *Case) {
	switch {
	case cas.heldAt(now):
	case cas.Held:
		cas.Trials++
		cas.Until = now.Add(laterHold)
		if cas.Trials >= maxTrials {
			cas.Until = time.Time{}
		}
	case cas.provedBy(reg.cfg):
		cas.Held, cas.Until = true, now.Add(firstHold)
		reg.boundHeld(now)
	}
}

// Answered notes that an engine answered a request: it doesn't end engines.
func (reg *Registry) Answered(now time.Time, dig call.Digest) {
	reg.clear(now, dig, KindAcquitted)
	if len(reg.doubts) > 0 {
		reg.settleDoubtsOf(dig)
	}
}

// Free lets a request go on an operator's word, and reports whether it was known.
func (reg *Registry) Free(now time.Time, dig call.Digest) bool {
	return reg.clear(now, dig, KindFreed)
}

func (reg *Registry) clear(now time.Time, dig call.Digest, why Kind) bool {
	cas := reg.cases[dig]
	if cas == nil {
		return false
	}
	delete(reg.cases, dig)
	reg.cleared[dig] = now
	reg.change(now, why, cas)
	return true
}

// clearHeard clears a case on another host's word.
func (reg *Registry) clearHeard(now time.Time, dig call.Digest, why Kind) {
	if reg.clear(now, dig, why) {
		reg.changes[len(reg.changes)-1].Heard = true
	}
}

// Lives notes that an engine that was taken to have ended has answered since: what looked
// like its end was that of its connections.
func (reg *Registry) Lives(now time.Time, engine string) {
	for dig, cas := range reg.cases {
		kept := slices.DeleteFunc(slices.Clone(cas.Ends), func(end End) bool { return end.Engine == engine })
		switch {
		case len(kept) == len(cas.Ends) || cas.Held:
		case len(kept) == 0:
			reg.clear(now, dig, KindAcquitted)
		default:
			cas.Ends = kept
		}
	}
}

// Ends returns in how many ends a request was.
func (reg *Registry) Ends(dig call.Digest) int {
	if cas := reg.cases[dig]; cas != nil {
		return len(cas.Ends)
	}
	return 0
}

// Cases returns all cases, those with most against them first.
func (reg *Registry) Cases(now time.Time) []Case {
	all := make([]Case, 0, len(reg.cases))
	for _, cas := range reg.cases {
		copied := *cas
		copied.Ends = slices.Clone(cas.Ends)
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

// forget drops what is too old, and what is too much: first those that have done least,
// the oldest of them first. What is dropped of a request that does end engines is learnt
// again, at the cost of as many engines.
func (reg *Registry) forget(now time.Time) {
	if now.Before(reg.nextForget) && len(reg.cases) < maxCases {
		return
	}
	reg.nextForget = now.Add(forgetInterval)
	for dig, cas := range reg.cases {
		if cas.tooOld(now, reg.cfg) {
			reg.drop(now, dig)
		}
	}
	maps.DeleteFunc(reg.cleared, func(_ call.Digest, at time.Time) bool { return now.Sub(at) > clearedFor })
	reg.forgetSources(now)
	reg.forgetDoubts(now)
	if len(reg.cases) < maxCases {
		return
	}
	for _, cas := range reg.Cases(now)[keptCases:] {
		reg.drop(now, cas.Digest)
	}
}

// boundHeld drops the oldest of too many held requests.
func (reg *Registry) boundHeld(now time.Time) {
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

func (cas *Case) tooOld(now time.Time, cfg Config) bool {
	switch {
	case cas.heldAt(now):
		return false
	case cas.Held:
		// It may still come back, and would end as many engines as the first time.
		return now.Sub(cas.Until) > laterHold
	case len(cas.Ends) >= cfg.SuspectAt:
		return now.Sub(cas.Seen) > suspectedFor
	default:
		return now.Sub(cas.Seen) > watchedFor
	}
}

func (reg *Registry) drop(now time.Time, dig call.Digest) {
	if cas := reg.cases[dig]; cas != nil {
		delete(reg.cases, dig)
		reg.change(now, KindForgotten, cas)
	}
}

package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Source is who sends requests, and by which route: a client account's other routes aren't
// concerned by what it sends on one.
type Source struct {
	Service string
	Account string
	Route   string
}

// Presence is how a source stood to an engine that ended without any request there being
// known for it.
type Presence struct {
	Source Source
	// Here says that it had a request there, Young that it had one that was new.
	Here  bool
	Young bool
	// Usual and UsualYoung are the parts of the service's other engines at which it had
	// any request, and a new one, at that moment.
	Usual      float64
	UsualYoung float64
}

// sourceState is what is known against a source whose requests change each time, so that
// none of them is ever seen twice.
type sourceState struct {
	// score is the logarithm of how much likelier the ends are by its doing than by chance.
	score float64
	at    time.Time
	// restricted has its requests tried apart; after an end they pause until a time.
	restricted bool
	until      time.Time
	// answered counts what was answered alone, in a row.
	answered int
}

const (
	// YoungFor is for how long a request counts as new at an engine: what ends an engine
	// does so soon after it begins, as a rule.
	YoungFor = 500 * time.Millisecond
	// youngShare is the part of such ends that comes within that time.
	youngShare = 0.7
	// restrictAt is the score from which a source is restricted: a thousand times likelier.
	restrictAt = 6.9
	// absentStep is what an end costs a source that wasn't there. Its request may have been
	// given back before the end was told, so that it doesn't begin anew at once.
	absentStep = 3.0
	// sourceFor is for how long ends count against a source.
	sourceFor = 10 * time.Minute
	// endCost is for how long an engine that ended is away, endShare the part of the
	// engines' time that a restricted source may take: after each end its requests pause for
	// as long as that asks for, some seconds with few engines, a moment with hundreds. A
	// larger part ends more engines and serves nobody better.
	endCost  = 3 * time.Second
	endShare = 0.02
	// answersToTrust is how many of a restricted source's requests must be answered in a
	// row until it is trusted again, trustedScore what its score is then: it takes fewer
	// ends than the first time.
	answersToTrust = 100
	trustedScore   = restrictAt / 2
	// maxSourcePause bounds the pause after an end.
	maxSourcePause = 30 * time.Second
	// maxSources bounds the sources that are remembered.
	maxSources = 1024
)

// UnexplainedEnd notes an engine's end under requests of which none was part of an end
// before. Whoever changes its request each time is found by being there each time, beyond
// what its share of the work explains.
func (reg *Registry) UnexplainedEnd(now time.Time, present []Presence) []Source {
	seen := make(map[Source]bool, len(present))
	var restricted []Source
	for _, pre := range present {
		seen[pre.Source] = true
		sta := reg.sources[pre.Source]
		if sta == nil {
			if len(reg.sources) >= maxSources {
				continue
			}
			sta = &sourceState{}
			reg.sources[pre.Source] = sta
		}
		sta.at = now
		sta.score = max(0, sta.score+pre.step())
		if sta.score >= restrictAt && !sta.restricted {
			sta.restricted, sta.answered = true, 0
			reg.version++
			restricted = append(restricted, pre.Source)
		}
	}
	for src, sta := range reg.sources {
		if len(present) > 0 && src.Service == present[0].Source.Service && !seen[src] {
			sta.score = max(0, sta.score-absentStep)
		}
	}
	return restricted
}

// step returns by how much the end makes it likelier that the source did it.
func (pre Presence) step() float64 {
	likely := 0.0
	if pre.Young {
		likely += youngShare / pre.UsualYoung
	}
	if pre.Here {
		likely += (1 - youngShare) / pre.Usual
	}
	if likely == 0 {
		return -absentStep
	}
	return math.Log(likely)
}

// Restriction tells whether a source's requests run alone, and for how much longer none of
// them is run.
func (reg *Registry) Restriction(now time.Time, src Source) (bool, time.Duration) {
	sta := reg.sources[src]
	if sta == nil || !sta.restricted {
		return false, 0
	}
	return true, max(0, sta.until.Sub(now))
}

// EndedAlone notes that a restricted source's request ended an engine of so many: its
// others wait for a while.
func (reg *Registry) EndedAlone(now time.Time, src Source, engines int) {
	sta := reg.sources[src]
	if sta == nil || !sta.restricted {
		return
	}
	sta.answered, sta.at = 0, now
	pause := float64(endCost) / (endShare * float64(max(1, engines)))
	sta.until = now.Add(min(maxSourcePause, time.Duration(pause)))
}

// AnsweredAlone notes that a restricted source's request was answered, and reports whether
// the source is trusted again.
func (reg *Registry) AnsweredAlone(src Source) bool {
	sta := reg.sources[src]
	if sta == nil || !sta.restricted {
		return false
	}
	sta.answered++
	if sta.answered < answersToTrust {
		return false
	}
	sta.restricted, sta.score = false, trustedScore
	return true
}

// Restricted returns the sources that are restricted, sorted.
func (reg *Registry) Restricted() []Source {
	var all []Source
	for src, sta := range reg.sources {
		if sta.restricted {
			all = append(all, src)
		}
	}
	slices.SortFunc(all, func(one, two Source) int {
		return cmp.Or(cmp.Compare(one.Service, two.Service), cmp.Compare(one.Account, two.Account), cmp.Compare(one.Route, two.Route))
	})
	return all
}

func (reg *Registry) forgetSources(now time.Time) {
	maps.DeleteFunc(reg.sources, func(_ Source, sta *sourceState) bool { return now.Sub(sta.at) > sourceFor && !now.Before(sta.until) })
}

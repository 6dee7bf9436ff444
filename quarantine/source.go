package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// TrafficSource is a traffic source: a client account's requests to a service by one route.
// The account's other routes aren't restricted because of what it sends on this one.
type TrafficSource struct {
	Service string
	Account string
	Route   string
}

// Presence describes the requests of a traffic source on an engine that crashed while it ran no
// request with a recorded crash.
type Presence struct {
	TrafficSource TrafficSource
	// HasRequest reports whether the source had a request on the engine, and HasNewRequest
	// whether it had one that was new.
	HasRequest    bool
	HasNewRequest bool
	// RequestShare and NewRequestShare are the shares of the service's other engines on which
	// the source had any request and a new one at that moment.
	RequestShare    float64
	NewRequestShare float64
}

// sourceState is the evidence against a traffic source that changes its requests each time, so
// that no digest is seen twice.
type sourceState struct {
	// score is the logarithm of how much likelier the crashes are if the source caused them
	// than by coincidence.
	score     float64
	lastCrash time.Time
	// restricted reports whether the source's requests run only on isolated engines. After a
	// crash none of them is run until pausedUntil.
	restricted  bool
	pausedUntil time.Time
	// consecutiveAnswers counts the requests answered in a row while the source is restricted.
	consecutiveAnswers int
}

const (
	// NewRequestAge is how long a request counts as new on an engine: a poison request usually
	// crashes its engine soon after it starts.
	NewRequestAge = 500 * time.Millisecond
	// newRequestCrashShare is the share of crashes by poison requests that occur within
	// NewRequestAge.
	newRequestCrashShare = 0.7
	// restrictScore is the score from which a source is restricted: the crashes are then a
	// thousand times likelier if the source caused them.
	restrictScore = 6.9
	// absenceStep is subtracted from a source's score for a crash at which it had no request on
	// the engine. The score isn't reset, because the request may have been released before the
	// crash was reported.
	absenceStep = 3.0
	// sourceTTL is how long crashes count against a source.
	sourceTTL = 10 * time.Minute
	// crashDowntime is how long a crashed engine is unavailable, and maxDowntimeShare the share
	// of the engines' time that a restricted source may cost. After each crash the source's
	// requests pause for as long as this share requires, some seconds with few engines and a
	// moment with hundreds. A larger share crashes more engines and serves no client better.
	crashDowntime    = 3 * time.Second
	maxDowntimeShare = 0.02
	// answersToLift is the number of a restricted source's requests that must be answered in a
	// row before the restriction is lifted. Its score is then set to scoreAfterLift, so that
	// fewer crashes restrict it than the first time.
	answersToLift  = 100
	scoreAfterLift = restrictScore / 2
	// maxSourcePause bounds the pause after a crash.
	maxSourcePause = 30 * time.Second
	// maxSources bounds the remembered sources.
	maxSources = 1024
)

// RecordUnexplainedCrash records the crash of an engine whose requests were part of no earlier
// crash, and returns the sources that it restricts. A source that changes its request each time
// is detected because it is present at each crash more often than its share of the work
// explains.
func (reg *Registry) RecordUnexplainedCrash(now time.Time, present []Presence) []TrafficSource {
	seen := make(map[TrafficSource]bool, len(present))
	var restricted []TrafficSource
	for _, pre := range present {
		seen[pre.TrafficSource] = true
		sta := reg.sources[pre.TrafficSource]
		if sta == nil {
			if len(reg.sources) >= maxSources {
				continue
			}
			sta = &sourceState{}
			reg.sources[pre.TrafficSource] = sta
		}
		sta.lastCrash = now
		sta.score = max(0, sta.score+pre.scoreStep())
		if sta.score >= restrictScore && !sta.restricted {
			sta.restricted, sta.consecutiveAnswers = true, 0
			reg.version++
			restricted = append(restricted, pre.TrafficSource)
		}
	}
	for src, sta := range reg.sources {
		if len(present) > 0 && src.Service == present[0].TrafficSource.Service && !seen[src] {
			sta.score = max(0, sta.score-absenceStep)
		}
	}
	return restricted
}

// scoreStep returns the change of the source's score by one crash.
func (pre Presence) scoreStep() float64 {
	likely := 0.0
	if pre.HasNewRequest {
		likely += newRequestCrashShare / pre.NewRequestShare
	}
	if pre.HasRequest {
		likely += (1 - newRequestCrashShare) / pre.RequestShare
	}
	if likely == 0 {
		return -absenceStep
	}
	return math.Log(likely)
}

// Restriction reports whether a source's requests run only on isolated engines, and returns how
// much longer none of them is run.
func (reg *Registry) Restriction(now time.Time, src TrafficSource) (bool, time.Duration) {
	sta := reg.sources[src]
	if sta == nil || !sta.restricted {
		return false, 0
	}
	return true, max(0, sta.pausedUntil.Sub(now))
}

// RecordExclusiveCrash records that a restricted source's request crashed one of a service's
// engines, whose number is given. The source's other requests pause.
func (reg *Registry) RecordExclusiveCrash(now time.Time, src TrafficSource, engines int) {
	sta := reg.sources[src]
	if sta == nil || !sta.restricted {
		return
	}
	sta.consecutiveAnswers, sta.lastCrash = 0, now
	pause := float64(crashDowntime) / (maxDowntimeShare * float64(max(1, engines)))
	sta.pausedUntil = now.Add(min(maxSourcePause, time.Duration(pause)))
}

// RecordExclusiveAnswer records that a restricted source's request was answered, and reports
// whether this lifts the restriction.
func (reg *Registry) RecordExclusiveAnswer(src TrafficSource) bool {
	sta := reg.sources[src]
	if sta == nil || !sta.restricted {
		return false
	}
	sta.consecutiveAnswers++
	if sta.consecutiveAnswers < answersToLift {
		return false
	}
	sta.restricted, sta.score = false, scoreAfterLift
	return true
}

// RestrictedSources returns the restricted sources, sorted.
func (reg *Registry) RestrictedSources() []TrafficSource {
	var all []TrafficSource
	for src, sta := range reg.sources {
		if sta.restricted {
			all = append(all, src)
		}
	}
	slices.SortFunc(all, func(one, two TrafficSource) int {
		return cmp.Or(cmp.Compare(one.Service, two.Service), cmp.Compare(one.Account, two.Account), cmp.Compare(one.Route, two.Route))
	})
	return all
}

func (reg *Registry) pruneSources(now time.Time) {
	maps.DeleteFunc(reg.sources, func(_ TrafficSource, sta *sourceState) bool {
		return now.Sub(sta.lastCrash) > sourceTTL && !now.Before(sta.pausedUntil)
	})
}

package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// TrafficSource identifies a client account's requests to a service by one route. The account's
// other routes aren't restricted because of the requests on this one.
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
	// RequestShare and NewRequestShare are the shares, from 0 to 1, of the service's other engines
	// on which the source had any request and a new one at the time of the crash.
	RequestShare    float64
	NewRequestShare float64
}

// sourceState is the evidence against a traffic source. It detects a source that changes its
// request each time, so that no digest is part of two crashes.
type sourceState struct {
	// score is the log-likelihood ratio of the hypotheses that the source caused the crashes and
	// that it was present by coincidence.
	score     float64
	lastCrash time.Time
	// restricted reports whether the source's requests run only on isolated engines, from
	// restrictedAt on. None of them is run until pausedUntil.
	restricted   bool
	restrictedAt time.Time
	pausedUntil  time.Time
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
	// thousand times likelier if the source caused them than by coincidence.
	restrictScore = 6.9
	// absenceStep is subtracted from a source's score for a crash of an engine on which it had
	// no request. The score isn't reset, because the source's request may have been released
	// from the engine before the crash was reported.
	absenceStep = 3.0
	// sourceTTL is how long after its last crash the evidence against a source is kept.
	sourceTTL = 10 * time.Minute
	// crashDowntime is how long a crashed engine is unavailable, and maxDowntimeShare the share
	// of the engines' time that the crashes of a restricted source may cost. After each crash
	// the source's requests pause for as long as this share requires, some seconds with few
	// engines and a fraction of a second with hundreds. With a larger share more engines would
	// crash, and no client would be served better.
	crashDowntime    = 3 * time.Second
	maxDowntimeShare = 0.02
	// answersToLift is the number of a restricted source's requests that must be answered in a
	// row before the restriction is lifted. The score is then set to scoreAfterLift, so that
	// fewer crashes restrict the source than the first time.
	answersToLift  = 100
	scoreAfterLift = restrictScore / 2
	// maxSourcePause bounds the pause after a crash.
	maxSourcePause = 30 * time.Second
	// maxSources bounds the sources with recorded evidence.
	maxSources = 1024
)

// RecordUnexplainedCrash records the crash of an engine whose requests were part of no earlier
// crash, and returns the sources that are restricted from now on, and those that no longer are. A
// source that changes its request each time is detected because it is present at more crashes than
// its share of the engines explains. A restriction that rests on a burst of crashes ends once the
// burst shows that the source hasn't caused a part of it.
func (reg *Registry) RecordUnexplainedCrash(now time.Time, present []Presence) (restricted, lifted []TrafficSource) {
	if len(present) == 0 {
		return nil, nil
	}
	service := present[0].TrafficSource.Service
	bur := reg.burstOf(service)
	bur.add(now, present)
	innocent := bur.innocent()
	seen := make(map[TrafficSource]bool, len(present))
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
		if sta.score >= restrictScore && !sta.restricted && !innocent(pre.TrafficSource) {
			sta.restricted, sta.restrictedAt, sta.consecutiveAnswers = true, now, 0
			reg.version++
			restricted = append(restricted, pre.TrafficSource)
		}
	}
	for src, sta := range reg.sources {
		if src.Service != service {
			continue
		}
		if !seen[src] {
			sta.score = max(0, sta.score-absenceStep)
		}
		if !innocent(src) {
			continue
		}
		sta.score = min(sta.score, scoreAfterLift)
		if sta.restricted && !sta.restrictedAt.Before(bur.began()) {
			sta.restricted = false
			reg.version++
			lifted = append(lifted, src)
		}
	}
	return restricted, lifted
}

// burstOf returns the latest crashes of the service.
func (reg *Registry) burstOf(service string) *burst {
	bur := reg.bursts[service]
	if bur == nil {
		bur = &burst{}
		reg.bursts[service] = bur
	}
	return bur
}

// scoreStep returns by how much the crash changes the source's score.
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

// RecordExclusiveCrash records that a restricted source's request crashed an engine of a service
// that has the given number of engines. The source's other requests pause.
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

// ForgetSources drops the evidence against the traffic sources of a service, and returns those that were restricted: the
// crashes have another cause.
func (reg *Registry) ForgetSources(service string) []TrafficSource {
	var lifted []TrafficSource
	for src, sta := range reg.sources {
		if src.Service != service {
			continue
		}
		if sta.restricted {
			lifted = append(lifted, src)
		}
		delete(reg.sources, src)
	}
	delete(reg.bursts, service)
	return lifted
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
	maps.DeleteFunc(reg.bursts, func(_ string, bur *burst) bool { return bur.isOver(now) })
}

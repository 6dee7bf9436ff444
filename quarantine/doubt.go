package quarantine

import (
	"maps"
	"time"

	"lynxwell.dev/lynxwell/call"
)

// doubtKey names a request and the run of an engine that it was at.
type doubtKey struct {
	digest call.Digest
	engine string
}

// doubt is a request whose connection to its engine ended, without it being known whether
// the engine did.
type doubt struct {
	observed Observation
	since    time.Time
}

// Doubt notes that the connection to an engine ended while it ran a request, but not
// whether the engine did: it may be the link, or one broken answer, and by the time that
// the host looked another run may have been there. The list of engines will tell.
func (reg *Registry) Doubt(now time.Time, obs Observation) {
	reg.forget(now)
	if obs.Digest == (call.Digest{}) || len(reg.doubts) >= maxCases {
		return
	}
	reg.version++
	reg.doubts[doubtKey{digest: obs.Digest, engine: obs.Engine}] = doubt{observed: obs, since: now}
}

// Engine is a run of an engine that is known.
type Engine struct {
	// Run is its name and start.
	Run string
	// Leaving engines end as planned.
	Leaving bool
}

// EnginesChanged takes the engines that are known now. It returns the ends that were in
// doubt and are certain by this: the run is known no more, and never said that it leaves.
func (reg *Registry) EnginesChanged(now time.Time, engines []Engine) []Observation {
	if len(reg.doubts) == 0 {
		return nil
	}
	leaving := make(map[string]bool, len(engines))
	for _, eng := range engines {
		leaving[eng.Run] = eng.Leaving
	}
	var certain []Observation
	for key, dou := range reg.doubts {
		leaves, known := leaving[key.engine]
		switch {
		case leaves || now.Sub(dou.since) > doubtFor:
			delete(reg.doubts, key)
		case !known:
			delete(reg.doubts, key)
			obs := dou.observed
			obs.Ran += now.Sub(dou.since)
			certain = append(certain, obs)
		}
	}
	return certain
}

func (reg *Registry) forgetDoubts(now time.Time) {
	maps.DeleteFunc(reg.doubts, func(_ doubtKey, dou doubt) bool { return now.Sub(dou.since) > doubtFor })
}

func (reg *Registry) doubted(dig call.Digest) bool {
	for key := range reg.doubts {
		if key.digest == dig {
			return true
		}
	}
	return false
}

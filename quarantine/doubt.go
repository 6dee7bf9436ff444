package quarantine

import (
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
	key := doubtKey{digest: obs.Digest, engine: obs.Engine}
	if _, known := reg.doubts[key]; !known {
		reg.doubted[key.digest]++
	}
	reg.doubts[key] = doubt{observed: obs, since: now}
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
			reg.settleDoubt(key)
		case !known:
			reg.settleDoubt(key)
			obs := dou.observed
			obs.Ran += now.Sub(dou.since)
			certain = append(certain, obs)
		}
	}
	return certain
}

func (reg *Registry) settleDoubt(key doubtKey) {
	delete(reg.doubts, key)
	reg.doubted[key.digest]--
	if reg.doubted[key.digest] <= 0 {
		delete(reg.doubted, key.digest)
	}
}

func (reg *Registry) settleDoubtsOf(dig call.Digest) {
	if reg.doubted[dig] == 0 {
		return
	}
	for key := range reg.doubts {
		if key.digest == dig {
			reg.settleDoubt(key)
		}
	}
}

func (reg *Registry) forgetDoubts(now time.Time) {
	for key, dou := range reg.doubts {
		if now.Sub(dou.since) > doubtFor {
			reg.settleDoubt(key)
		}
	}
}

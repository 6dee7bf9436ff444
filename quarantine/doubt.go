package quarantine

import (
	"time"

	"lynxwell.dev/lynxwell/call"
)

// unconfirmedKey identifies a request and the engine run that it was sent to.
type unconfirmedKey struct {
	digest call.Digest
	engine string
}

// unconfirmedCrash is a request whose connection to its engine ended and whose engine may
// have crashed. The connection ended at the time since.
type unconfirmedCrash struct {
	observation Observation
	since       time.Time
}

// RecordUnconfirmedCrash records that the connection to an engine ended while the engine ran a
// request, and that it isn't known whether the engine crashed: the link may have failed, one
// answer may have been invalid, or another run of the engine may have started before the host
// probed its address. ApplyEngines confirms or drops the crash. A request without a digest, and
// any request beyond maxCases, is ignored.
func (reg *Registry) RecordUnconfirmedCrash(now time.Time, obs Observation) {
	reg.prune(now)
	if obs.Digest == (call.Digest{}) || len(reg.unconfirmed) >= maxCases {
		return
	}
	key := unconfirmedKey{digest: obs.Digest, engine: obs.Engine}
	if _, known := reg.unconfirmed[key]; !known {
		reg.unconfirmedCounts[key.digest]++
	}
	reg.unconfirmed[key] = unconfirmedCrash{observation: obs, since: now}
}

// Engine is a registered run of an engine.
type Engine struct {
	// Run is the engine's name and start.
	Run string
	// Draining reports whether the engine is draining, so that its exit is planned.
	Draining bool
}

// ApplyEngines applies the list of registered engines and returns the unconfirmed crashes that it
// confirms: those whose engine run is no longer registered. It drops those that are older than
// unconfirmedTTL, and those of a draining engine, whose exit is planned.
func (reg *Registry) ApplyEngines(now time.Time, engines []Engine) []Observation {
	if len(reg.unconfirmed) == 0 {
		return nil
	}
	draining := make(map[string]bool, len(engines))
	for _, eng := range engines {
		draining[eng.Run] = eng.Draining
	}
	var confirmed []Observation
	for key, ucr := range reg.unconfirmed {
		isDraining, registered := draining[key.engine]
		switch {
		case isDraining || now.Sub(ucr.since) > unconfirmedTTL:
			reg.removeUnconfirmed(key)
		case !registered:
			reg.removeUnconfirmed(key)
			confirmed = append(confirmed, ucr.observation)
		}
	}
	return confirmed
}

func (reg *Registry) removeUnconfirmed(key unconfirmedKey) {
	delete(reg.unconfirmed, key)
	reg.unconfirmedCounts[key.digest]--
	if reg.unconfirmedCounts[key.digest] <= 0 {
		delete(reg.unconfirmedCounts, key.digest)
	}
}

func (reg *Registry) removeUnconfirmedOf(dig call.Digest) {
	if reg.unconfirmedCounts[dig] == 0 {
		return
	}
	for key := range reg.unconfirmed {
		if key.digest == dig {
			reg.removeUnconfirmed(key)
		}
	}
}

func (reg *Registry) pruneUnconfirmed(now time.Time) {
	for key, ucr := range reg.unconfirmed {
		if now.Sub(ucr.since) > unconfirmedTTL {
			reg.removeUnconfirmed(key)
		}
	}
}

package quarantine

import (
	"time"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
)

// Check is how far a gateway has checked whether an engine lives whose connection it has lost.
type Check uint8

// The states of a check.
const (
	// CheckNone means that the gateway doesn't check, or that its check had no result.
	CheckNone Check = iota
	// CheckRunning means that the gateway is checking, and reports the result within checkTimeout.
	CheckRunning
	// CheckAlive means that something at the engine's address accepted a connection some time after
	// the lost one had ended: the engine, or a later run of it.
	CheckAlive
)

const (
	// checkTimeout is how long the result of a gateway's check is awaited.
	checkTimeout = 2 * time.Second
	// maxClockSkew bounds the difference between the clocks of a host and an engine.
	maxClockSkew = 250 * time.Millisecond
)

// unconfirmedKey identifies a request and the engine run that it was sent to.
type unconfirmedKey struct {
	digest call.Digest
	engine string
}

// unconfirmedCrash is a request whose connection to its engine ended and whose engine may
// have crashed. The connection ended at the time since, and the observation has the newest state of
// the gateway's check. aliveAt is when the check found the engine's address listening.
type unconfirmedCrash struct {
	observation Observation
	since       time.Time
	aliveAt     time.Time
}

// isBeingChecked reports whether the result of the gateway's check may still arrive.
func (ucr unconfirmedCrash) isBeingChecked(now time.Time) bool {
	return ucr.observation.Check == CheckRunning && now.Sub(ucr.since) < checkTimeout
}

// wasAliveBefore reports whether the engine run of the crash answered the check before the given later
// run of the engine started, so that it did not crash when the connection ended.
func (ucr unconfirmedCrash) wasAliveBefore(later fleet.EngineID) bool {
	return !ucr.aliveAt.IsZero() && later.StartTime.After(ucr.aliveAt.Add(maxClockSkew))
}

// RecordUnconfirmedCrash records that the connection to an engine ended while the engine ran a
// request, and that it isn't known whether the engine crashed: the link may have failed, one
// answer may have been invalid, or another run of the engine may have started before the host
// probed its address. It also records the result of the gateway's check. ApplyEngines confirms or
// drops the crash. A request without a digest, and any request beyond maxCases, is ignored.
func (reg *Registry) RecordUnconfirmedCrash(now time.Time, obs Observation) {
	reg.prune(now)
	key := unconfirmedKey{digest: obs.Digest, engine: obs.Engine}
	ucr, known := reg.unconfirmed[key]
	switch {
	case obs.Digest == (call.Digest{}) || !known && len(reg.unconfirmed) >= maxCases:
		return
	case obs.Check == CheckAlive && !known:
		// The crash was dropped or confirmed since.
		return
	case obs.Check == CheckAlive:
		ucr.observation.Check, ucr.aliveAt = CheckAlive, now
	case known && obs.Check == CheckNone && ucr.observation.Check == CheckRunning:
		ucr.observation.Check = CheckNone
	default:
		ucr = unconfirmedCrash{observation: obs, since: now}
	}
	reg.removeUnconfirmed(key)
	reg.addUnconfirmed(key, ucr)
}

// Unconfirmed returns the observation of a crash with what is known of it since it was reported as
// unconfirmed: the run that it belongs to may be released by now.
func (reg *Registry) Unconfirmed(obs Observation) Observation {
	ucr, known := reg.unconfirmed[unconfirmedKey{digest: obs.Digest, engine: obs.Engine}]
	if !known {
		return obs
	}
	return ucr.observation
}

// RecordLife records that an engine run ran a request that was sent to it at the given time, so that
// the run did not crash before.
func (reg *Registry) RecordLife(engine string, sentAt time.Time) {
	if reg.unconfirmedByEngine[engine] == 0 {
		return
	}
	for key, ucr := range reg.unconfirmed {
		if key.engine == engine && ucr.since.Before(sentAt) {
			reg.removeUnconfirmed(key)
		}
	}
}

// Engine is a registered run of an engine.
type Engine struct {
	// Run is the engine's name and start.
	Run string
	// Draining reports whether the engine is draining, so that its exit is planned.
	Draining bool
}

// ApplyEngines applies the list of registered engines and returns the unconfirmed crashes that it
// confirms: those whose engine run is no longer registered, and did not live on after the connection
// had ended. It drops those that are older than unconfirmedTTL, and those of an engine whose exit is
// planned: a draining engine, and one that lived on until its entry was deleted.
func (reg *Registry) ApplyEngines(now time.Time, engines []Engine) []Observation {
	if len(reg.unconfirmed) == 0 {
		return nil
	}
	draining := make(map[string]bool, len(engines))
	runs := make(map[string]fleet.EngineID, len(engines))
	for _, eng := range engines {
		draining[eng.Run] = eng.Draining
		run := fleet.ParseEngineID(eng.Run)
		runs[run.Name] = run
	}
	var confirmed []Observation
	for key, ucr := range reg.unconfirmed {
		isDraining, registered := draining[key.engine]
		later, replaced := runs[fleet.ParseEngineID(key.engine).Name]
		switch {
		case isDraining || now.Sub(ucr.since) > unconfirmedTTL:
			reg.removeUnconfirmed(key)
		case registered || ucr.isBeingChecked(now):
		case ucr.observation.Check == CheckAlive && (!replaced || ucr.wasAliveBefore(later)):
			reg.removeUnconfirmed(key)
		default:
			reg.removeUnconfirmed(key)
			confirmed = append(confirmed, ucr.observation)
		}
	}
	return confirmed
}

func (reg *Registry) addUnconfirmed(key unconfirmedKey, ucr unconfirmedCrash) {
	reg.unconfirmed[key] = ucr
	reg.unconfirmedCounts[key.digest]++
	reg.unconfirmedByEngine[key.engine]++
	if ucr.observation.Check == CheckAlive {
		reg.aliveCounts[key.digest]++
	}
}

func (reg *Registry) removeUnconfirmed(key unconfirmedKey) {
	ucr, known := reg.unconfirmed[key]
	if !known {
		return
	}
	delete(reg.unconfirmed, key)
	decrement(reg.unconfirmedCounts, key.digest)
	decrement(reg.unconfirmedByEngine, key.engine)
	if ucr.observation.Check == CheckAlive {
		decrement(reg.aliveCounts, key.digest)
	}
}

// decrement decrements a count, and deletes it at 0.
func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
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

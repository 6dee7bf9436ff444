package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
)

const (
	// failuresToEject is the number of consecutive failures after which an engine is ejected: a
	// single failure may be random, two in a row rarely are.
	failuresToEject = 2
	// minEjection and maxEjection bound the duration of an ejection. It doubles with each
	// consecutive ejection until the engine answers.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// failureGain is the weight of a new outcome in the failure rate.
	failureGain = 0.15
	// maxFailureRate is the failure rate at which an engine is ejected. Some healthy services fail
	// one request in seven.
	maxFailureRate = 0.35
)

// health tracks the failures of an engine, for outlier ejection.
type health struct {
	failures     int
	failureRate  float64
	ejectedFor   time.Duration
	ejectedUntil time.Time
	// probing is set while a single request probes an ejected engine.
	probing bool
}

// usable reports whether the engine may be granted a request.
func (hea *health) usable(now time.Time) bool {
	if hea.ejectedFor == 0 {
		return true
	}
	return !now.Before(hea.ejectedUntil) && !hea.probing
}

// recordGrant records that the engine was granted a request.
func (hea *health) recordGrant() {
	hea.probing = hea.ejectedFor > 0
}

// recordSuccess records a valid answer.
func (hea *health) recordSuccess() {
	hea.failures = 0
	hea.failureRate *= 1 - failureGain
	hea.ejectedFor = 0
	hea.probing = false
}

// recordFailure records a failure.
func (hea *health) recordFailure(now time.Time) {
	hea.failures++
	hea.failureRate += failureGain * (1 - hea.failureRate)
	wasProbing := hea.probing
	hea.probing = false
	if hea.failures < failuresToEject && hea.failureRate < maxFailureRate && !wasProbing {
		return
	}
	hea.ejectedFor = min(maxEjection, max(minEjection, 2*hea.ejectedFor))
	hea.ejectedUntil = now.Add(hea.ejectedFor)
	hea.failureRate = 0
}

// recordUnknown records that a request ended without information about the engine's health.
func (hea *health) recordUnknown() {
	hea.probing = false
}

// ejectionAllowed reports whether engines may be ejected: not if that would be more than half of a
// service's engines.
func (svc *service) ejectionAllowed(now time.Time) bool {
	return svc.mayEject(svc.ejected(now))
}

// ejected counts the engines that outlier detection would eject.
func (svc *service) ejected(now time.Time) int {
	count := 0
	svc.unhealthy = slices.DeleteFunc(svc.unhealthy, func(ene *engine) bool {
		if ene.health.ejectedFor > 0 && !ene.health.usable(now) {
			count++
		}
		ene.unhealthy = ene.health.ejectedFor > 0
		return !ene.unhealthy
	})
	return count
}

// Ejection is an engine that was ejected, and the gateway whose report was the last that led to it.
type Ejection struct {
	Engine  fleet.EngineID
	Gateway request.Epoch
	For     time.Duration
}

// Ejections returns the ejections since the last call.
func (cor *Core) Ejections() []Ejection {
	found := cor.ejections
	cor.ejections = nil
	return found
}

// recordFailure records a failure of an engine that a gateway has reported.
func (cor *Core) recordFailure(now time.Time, ene *engine, gateway request.Epoch) {
	before := ene.health.ejectedUntil
	cor.service(ene.Service).recordFailure(now, ene)
	if ene.health.ejectedUntil.After(before) {
		cor.ejections = append(cor.ejections, Ejection{Engine: ene.ID, Gateway: gateway, For: ene.health.ejectedFor})
	}
}

// recordFailure records a failure of an engine.
func (svc *service) recordFailure(now time.Time, ene *engine) {
	ene.health.recordFailure(now)
	if ene.health.ejectedFor > 0 && !ene.unhealthy && ene.isListed() {
		ene.unhealthy = true
		svc.unhealthy = append(svc.unhealthy, ene)
	}
}

func (svc *service) mayEject(count int) bool {
	return 2*count <= len(svc.engines)
}

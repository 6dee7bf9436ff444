package scheduler

import "time"

const (
	// failuresToSuspect is the number of consecutive failures after which an engine is ejected: a
	// single failure may be chance, a second one seldom is.
	failuresToSuspect = 2
	// minAside and maxAside bound the duration of an ejection. It doubles with each
	// consecutive ejection until the engine answers.
	minAside = 500 * time.Millisecond
	maxAside = 4 * time.Second
	// errorGain is the weight of a new outcome in the failure rate.
	errorGain = 0.15
	// errorShare is the failure rate at which an engine is ejected. Some healthy services fail
	// one request in seven.
	errorShare = 0.35
)

// health tracks the failures of an engine, for outlier ejection.
type health struct {
	failures int
	share    float64
	aside    time.Duration
	until    time.Time
	// probing is set while a single request probes an ejected engine.
	trial bool
}

// usable reports whether the engine may be granted a request.
func (hea *health) usable(now time.Time) bool {
	if hea.aside == 0 {
		return true
	}
	return !now.Before(hea.until) && !hea.trial
}

// recordGrant records that the engine was granted a request.
func (hea *health) given() {
	hea.trial = hea.aside > 0
}

// recordSuccess records a valid answer.
func (hea *health) succeeded() {
	hea.failures = 0
	hea.share *= 1 - errorGain
	hea.aside = 0
	hea.trial = false
}

// recordFailure records a failure.
func (hea *health) failed(now time.Time) {
	hea.failures++
	hea.share += errorGain * (1 - hea.share)
	wasProbing := hea.trial
	hea.trial = false
	if hea.failures < failuresToSuspect && hea.share < errorShare && !wasProbing {
		return
	}
	hea.aside = min(maxAside, max(minAside, 2*hea.aside))
	hea.until = now.Add(hea.aside)
	hea.share = 0
}

// recordUnknown records that a request ended without information about the engine's health.
func (hea *health) forgotten() {
	hea.trial = false
}

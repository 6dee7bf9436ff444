package scheduler

import "time"

const (
	// failuresToSuspect is how many failures in a row have an engine set aside:
	// one may be chance, a second in a row seldom is.
	failuresToSuspect = 2
	// minAside and maxAside bound for how long an engine is set aside; it doubles
	// with each time until an answer comes.
	minAside = 500 * time.Millisecond
	maxAside = 4 * time.Second
	// errorGain is the weight of a new outcome in the share of failures.
	errorGain = 0.15
	// errorShare is the share of failures from which an engine is set aside; some
	// services fail one request in seven in good health.
	errorShare = 0.35
)

// health judges an engine by the traffic that it had.
type health struct {
	failures int
	share    float64
	aside    time.Duration
	until    time.Time
	// trial is set while one request finds out whether the engine is back.
	trial bool
}

// usable reports whether the engine may get a request.
func (hea *health) usable(now time.Time) bool {
	if hea.aside == 0 {
		return true
	}
	return !now.Before(hea.until) && !hea.trial
}

// given notes that the engine got a request.
func (hea *health) given() {
	hea.trial = hea.aside > 0
}

// succeeded notes an answer that was as it should be.
func (hea *health) succeeded() {
	hea.failures = 0
	hea.share *= 1 - errorGain
	hea.aside = 0
	hea.trial = false
}

// failed notes a failure.
func (hea *health) failed(now time.Time) {
	hea.failures++
	hea.share += errorGain * (1 - hea.share)
	wasTrial := hea.trial
	hea.trial = false
	if hea.failures < failuresToSuspect && hea.share < errorShare && !wasTrial {
		return
	}
	hea.aside = min(maxAside, max(minAside, 2*hea.aside))
	hea.until = now.Add(hea.aside)
	hea.share = 0
}

// forgotten notes a request that ended without telling anything of the engine.
func (hea *health) forgotten() {
	hea.trial = false
}

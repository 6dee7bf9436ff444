package scheduler

import "time"

// A cold engine accepts few requests per second and fails under many more. Engines are cold
// after their start and whenever they signal it. The core reads this from store entries and from
// the notices of gateways. It also marks a crashed engine cold when it records the crash, since
// the next run at the address may be registered late, or not at all while the store is
// unavailable.

// markRegisteredCold marks engines cold according to their store entries.
func (cor *Core) markRegisteredCold(now time.Time) {
	for _, ene := range cor.engines {
		cor.markCold(now, ene, ene.ColdUntil)
	}
}

// markCold marks an engine cold until a time. It does nothing if the engine is already marked cold
// for as long, or if the configuration sets no rate for cold engines of the service.
func (cor *Core) markCold(now time.Time, ene *engine, until time.Time) {
	if !until.After(now) || ene.limiter != nil && !until.After(ene.limiter.coldUntil) {
		return
	}
	rate, _ := cor.coldSettings(ene.Service)
	if rate <= 0 {
		return
	}
	cor.limiterOf(now, ene).setCold(now, until, rate)
	svc := cor.service(ene.Service)
	if svc.warmAt.IsZero() || until.Before(svc.warmAt) {
		svc.warmAt = until
	}
}

// coldSettings returns the number of requests per second that a cold engine of the service
// accepts, and how long an engine is cold after its start; 0 if not configured.
func (cor *Core) coldSettings(service string) (float64, time.Duration) {
	if cor.table == nil {
		return 0, 0
	}
	svc, _ := cor.table.Service(service)
	return svc.ColdRate, svc.ColdFor
}

// markCrashedCold marks a crashed engine cold: the next answer from its address comes from another
// run, whatever the entry reports.
func (cor *Core) markCrashedCold(now time.Time, ene *engine) {
	_, dur := cor.coldSettings(ene.Service)
	cor.markCold(now, ene, now.Add(crashHoldOff+dur))
}

// expireCold removes the limits of engines that have become warm.
func (cor *Core) expireCold(now time.Time, svc *service) {
	if svc.warmAt.IsZero() || now.Before(svc.warmAt) {
		return
	}
	svc.warmAt = time.Time{}
	for _, ene := range svc.engines {
		cor.dropLimiter(now, ene)
		if lim := ene.limiter; lim != nil && lim.isCold(now) && (svc.warmAt.IsZero() || lim.coldUntil.Before(svc.warmAt)) {
			svc.warmAt = lim.coldUntil
		}
	}
}

// isCold reports whether the engine is cold.
func (ene *engine) isCold(now time.Time) bool {
	return ene.limiter != nil && ene.limiter.isCold(now)
}

package scheduler

import "time"

// Engines that are cold take few requests a second and fall over under many more: after their
// start, and whenever they say so. It is known from their entries, by the word of a gateway
// that knows more, and to a core that has seen the engine end: the run that is there next may
// enter the store late, or not at all while that is away.

// chillListed takes what the engines' entries tell.
func (cor *Core) chillListed(now time.Time) {
	for _, ene := range cor.engines {
		cor.chill(now, ene, ene.ColdUntil)
	}
}

// chill takes an engine to be cold until a time. It does nothing where operators name no rate
// that a cold engine of the service bears.
func (cor *Core) chill(now time.Time, ene *engine, until time.Time) {
	if !until.After(now) || ene.pacing != nil && !until.After(ene.pacing.coldUntil) {
		return
	}
	rate, _ := cor.coldOf(ene.Service)
	if rate <= 0 {
		return
	}
	cor.pace(now, ene).chill(now, until, rate)
	svc := cor.service(ene.Service)
	if svc.warmAt.IsZero() || until.Before(svc.warmAt) {
		svc.warmAt = until
	}
}

// coldOf returns how many requests a second a cold engine of the service bears, and for how
// long an engine is cold after its start; 0 where that is no matter.
func (cor *Core) coldOf(service string) (float64, time.Duration) {
	if cor.table == nil {
		return 0, 0
	}
	svc, _ := cor.table.Service(service)
	return svc.ColdRate, svc.ColdFor
}

// chillEnded takes an engine to be cold that was told to have ended: what answers there next is
// another run, whatever its entry tells.
func (cor *Core) chillEnded(now time.Time, ene *engine) {
	_, dur := cor.coldOf(ene.Service)
	cor.chill(now, ene, now.Add(goneFor+dur))
}

// warm forgets the engines of the service that are warm by now.
func (cor *Core) warm(now time.Time, svc *service) {
	if svc.warmAt.IsZero() || now.Before(svc.warmAt) {
		return
	}
	svc.warmAt = time.Time{}
	for _, ene := range svc.engines {
		cor.dropPacing(now, ene)
		if pac := ene.pacing; pac != nil && pac.isCold(now) && (svc.warmAt.IsZero() || pac.coldUntil.Before(svc.warmAt)) {
			svc.warmAt = pac.coldUntil
		}
	}
}

// isCold reports whether the engine is cold.
func (ene *engine) isCold(now time.Time) bool {
	return ene.pacing != nil && ene.pacing.isCold(now)
}

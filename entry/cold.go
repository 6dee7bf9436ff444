package entry

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
)

// maxColdGrantAge is how long a grant of a cold engine may be used. It is shorter than
// maxRateGrantAge because a cold engine can be overloaded by the requests that arrive within one
// second.
const maxColdGrantAge = 250 * time.Millisecond

// coldRemaining returns how much longer an engine is cold, by its entry or its own signal, and
// how many requests per second it may get meanwhile. Both are 0 if the engine is not cold or its
// service sets no rate for cold engines.
func (hos *Host) coldRemaining(eng fleet.Engine) (time.Duration, float64) {
	now := hos.clock.Now()
	snp := hos.snapshot.Load()
	left := hos.notices.coldFor(eng.ID)
	if known, registered := snp.engine(eng.ID); registered {
		left = max(left, known.ColdUntil.Sub(now))
	}
	if left <= 0 || snp.table == nil {
		return 0, 0
	}
	svc, _ := snp.table.Service(eng.Service)
	if svc.ColdRate <= 0 {
		return 0, 0
	}
	return left, svc.ColdRate
}

// checkCold returns a *RateExceededError for a cold engine, unless the scheduler knew that the
// engine is cold and granted it within maxColdGrantAge. With the error it also reports the engine
// as cold to the schedulers, since the coordinator grants it for all hosts.
func (hos *Host) checkCold(eng fleet.Engine, grt grant) error {
	left, perSecond := hos.coldRemaining(eng)
	if left <= 0 {
		return nil
	}
	age := hos.clock.Since(grt.grantedAt)
	if grt.cold && age < maxColdGrantAge {
		return nil
	}
	hos.broker.reportNotice(fleet.Notice{Run: eng.ID, Signal: fleet.Cold{Remaining: left}})
	rate := reservation.GrantRateUnknown
	if grt.cold {
		rate = reservation.GrantRateLimited
	}
	return &RateExceededError{Run: eng.ID, PerSecond: perSecond, Rate: rate, Age: age}
}

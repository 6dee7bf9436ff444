package entry

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
)

// coldGrantHolds is how long a grant of a cold engine may be used. It is shorter than
// grantHolds because a cold engine can be overloaded by the requests that arrive within one
// second.
const coldGrantHolds = 250 * time.Millisecond

// coldLeft returns how much longer an engine is cold, by its entry or its own signal, and
// how many requests per second it may get meanwhile. Both are 0 if the engine is not cold or its
// service sets no rate for cold engines.
func (hos *Host) coldLeft(eng fleet.Engine) (time.Duration, float64) {
	now := hos.clock.Now()
	snp := hos.belief.Load()
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

// checkCold returns a *UnpacedError for a cold engine, unless the scheduler knew that the
// engine is cold and granted it within coldGrantHolds. It reports the engine as cold otherwise,
// since the scheduler grants it for all hosts.
func (hos *Host) tooCold(eng fleet.Engine, grt grant) error {
	left, perSecond := hos.coldLeft(eng)
	if left <= 0 {
		return nil
	}
	age := hos.clock.Since(grt.at)
	if grt.cold && age < coldGrantHolds {
		return nil
	}
	hos.desk.tellNotice(fleet.Notice{Run: eng.ID, Word: fleet.Cold{Left: left}})
	rate := reservation.GrantRateUnknown
	if grt.cold {
		rate = reservation.GrantRatePaced
	}
	return &UnpacedError{Run: eng.ID, PerSecond: perSecond, Rate: rate, Age: age}
}

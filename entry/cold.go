package entry

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
)

// coldGrantHolds is for how long a grant of a cold engine may be used: a cold engine falls over
// under what comes within a second, so less may come together than within a rate.
const coldGrantHolds = 250 * time.Millisecond

// coldLeft returns for how much longer an engine is cold, by its entry or by its own word, and
// how many requests a second it bears meanwhile; 0 where that is no matter.
func (hos *Host) coldLeft(eng fleet.Engine) (time.Duration, float64) {
	now := hos.clock.Now()
	bel := hos.belief.Load()
	left := hos.notices.coldFor(eng.ID)
	if known, listed := bel.engine(eng.ID); listed {
		left = max(left, known.ColdUntil.Sub(now))
	}
	if left <= 0 || bel.table == nil {
		return 0, 0
	}
	svc, _ := bel.table.Service(eng.Service)
	if svc.ColdRate <= 0 {
		return 0, 0
	}
	return left, svc.ColdRate
}

// tooCold returns an *UnpacedError for a cold engine, unless who decided knew that it is and
// granted it a moment ago. Else it is told so: it grants for all hosts.
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
	known := reservation.GrantRateUnknown
	if grt.cold {
		known = reservation.GrantRatePaced
	}
	return &UnpacedError{Run: eng.ID, PerSecond: perSecond, Rate: known, Age: age}
}

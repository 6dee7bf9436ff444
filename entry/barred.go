package entry

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
)

// tellNotice tells the own scheduler, the one that decides and the one that would next.
func (des *desk) tellNotice(not fleet.Notice) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	des.tellDeciders(reservation.EngineNotice{Notice: not})
}

// tellNotices tells a host that decides, or would next, all that engines have said to this
// one; the mutex is held.
func (des *desk) tellNotices(to fleet.Member) {
	for _, not := range des.host.notices.current() {
		des.tell(to.Epoch, reservation.EngineNotice{Notice: not})
	}
}

// BarredError reports a request that isn't sent since its engine wants nothing from this
// host.
type BarredError struct {
	Notice fleet.Notice
}

// Error names the engine and what it said.
func (ber *BarredError) Error() string {
	return "engine " + ber.Notice.Run.String() + " wants nothing from this host: " + ber.Notice.Word.String()
}

// barred returns a *BarredError for an engine that wants nothing from this host. Those who
// decide are told again: one of them granted it.
func (hos *Host) barred(run fleet.EngineID) error {
	word := hos.notices.bar(run)
	if word == nil {
		return nil
	}
	not := fleet.Notice{Run: run, Word: word}
	hos.desk.tellNotice(not)
	return &BarredError{Notice: not}
}

// grant is what a request was granted its engine by.
type grant struct {
	// rate is what who decided knew of the engine's rate, when it was asked and had granted it.
	rate reservation.GrantRate
	// cold says that who decided knew the engine to be cold.
	cold  bool
	asked time.Time
	at    time.Time
}

// grantHolds is for how long a grant within an engine's rate may be used: a connection takes
// up to a second to be made, and what was granted in that second would come at once.
const grantHolds = 500 * time.Millisecond

// UnpacedError reports a request that isn't sent since its grant isn't within the rate that
// its engine takes.
type UnpacedError struct {
	Run       fleet.EngineID
	PerSecond float64
	// Rate is what who decided knew of that, Age how long ago it was granted.
	Rate reservation.GrantRate
	Age  time.Duration
}

// Error names the engine, its rate and the grant's age.
func (uer *UnpacedError) Error() string {
	why := "who decided didn't know of it"
	switch uer.Rate {
	case reservation.GrantRatePaced:
		why = "granted " + uer.Age.String() + " ago"
	case reservation.GrantRateEnded:
		why = "named again since who decided was asked"
	case reservation.GrantRateUnknown:
	}
	return fmt.Sprintf("engine %s takes %g requests a second: %s", uer.Run, uer.PerSecond, why)
}

// unpaced returns an *UnpacedError for an engine that has named a rate to this host, unless
// the grant is within it, or who decided knew that it has ended since. Those who decide are
// told again.
func (hos *Host) unpaced(run fleet.EngineID, grt grant) error {
	lim, holds := hos.notices.limit(run)
	if !holds {
		return nil
	}
	age := hos.clock.Since(grt.at)
	switch {
	case grt.rate == reservation.GrantRatePaced && age < grantHolds:
		return nil
	case grt.rate == reservation.GrantRateEnded && grt.asked.After(lim.At):
		hos.notices.endLimit(run, grt.asked)
		return nil
	}
	hos.desk.tellNotice(fleet.Notice{Run: run, Word: lim.RateLimit})
	return &UnpacedError{Run: run, PerSecond: lim.PerSecond, Rate: grt.rate, Age: age}
}

// maySend returns a *BarredError or an *UnpacedError for an engine that doesn't take a request
// now, by its own word or since it is cold, and an *EvacuatedError where its failure domain is
// being emptied.
func (hos *Host) maySend(eng fleet.Engine, grt grant) error {
	if err := hos.barred(eng.ID); err != nil {
		return err
	}
	if err := hos.unpaced(eng.ID, grt); err != nil {
		return err
	}
	if err := hos.tooCold(eng, grt); err != nil {
		return err
	}
	if eng.Emptied {
		return &EvacuatedError{Order: evacuation.Order{Domain: eng.Domain}}
	}
	return nil
}

// unwanted reports whether a request wasn't sent since its engine is to get none of it now.
func unwanted(err error) bool {
	var barred *BarredError
	var unpaced *UnpacedError
	var evacuated *EvacuatedError
	return errors.As(err, &barred) || errors.As(err, &unpaced) || errors.As(err, &evacuated)
}

package entry

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
)

// reportNotice reports an engine's signal to the host's own scheduler, the coordinator and its
// next candidates.
func (bro *broker) reportNotice(not fleet.Notice) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.sendToSchedulers(reservation.EngineNotice{Notice: not})
}

// sendNotices sends all current engine signals to a host with which a session was opened; the
// mutex must be held.
func (bro *broker) sendNotices(to fleet.Member) {
	for _, not := range bro.host.notices.current() {
		bro.send(to.Epoch, reservation.EngineNotice{Notice: not})
	}
}

// BlockedError reports a request that is not sent because one of its engine's signals blocks it
// for this host.
type BlockedError struct {
	Notice fleet.Notice
}

// Error names the engine and the signal.
func (ber *BlockedError) Error() string {
	return "engine " + ber.Notice.Run.String() + " wants nothing from this host: " + ber.Notice.Signal.String()
}

// checkBlocked returns a *BlockedError for an engine that is blocked for this host. It then also
// reports the signal to the schedulers again, since one of them has granted the engine regardless.
func (hos *Host) checkBlocked(run fleet.EngineID) error {
	sgn := hos.notices.blockingSignal(run)
	if sgn == nil {
		return nil
	}
	not := fleet.Notice{Run: run, Signal: sgn}
	hos.broker.reportNotice(not)
	return &BlockedError{Notice: not}
}

// grant holds what a gateway needs to check whether a grant may still be used.
type grant struct {
	// rate is what the scheduler knew of the engine's rate limit. The reservation was sent at
	// requestedAt, and the grant arrived at grantedAt.
	rate reservation.GrantRate
	// cold is set if the scheduler knew that the engine was cold.
	cold        bool
	requestedAt time.Time
	grantedAt   time.Time
}

// maxRateGrantAge is how long a grant within an engine's rate limit may be used. Opening a
// connection takes up to a second, and without this bound all requests granted in that second
// could arrive at once.
const maxRateGrantAge = 500 * time.Millisecond

// RateExceededError reports a request that is not sent because its grant is not within the rate
// limit of its engine.
type RateExceededError struct {
	Run       fleet.EngineID
	PerSecond float64
	// Rate is what the scheduler knew of the limit when it granted the request. Age is the time
	// since the grant arrived.
	Rate reservation.GrantRate
	Age  time.Duration
}

// Error names the engine, its rate limit and why the grant is not within it.
func (ree *RateExceededError) Error() string {
	why := "who decided didn't know of it"
	switch ree.Rate {
	case reservation.GrantRateLimited:
		why = "granted " + ree.Age.String() + " ago"
	case reservation.GrantRateUnlimited:
		why = "named again since who decided was asked"
	case reservation.GrantRateUnknown:
	}
	return fmt.Sprintf("engine %s takes %g requests a second: %s", ree.Run, ree.PerSecond, why)
}

// checkRate returns a *RateExceededError for an engine that has signaled a rate limit to this
// host, unless the grant is within the limit and younger than maxRateGrantAge, or the scheduler knew
// that the limit had ended and the reservation was sent after this host last received the limit.
// With the error it also reports the limit to the schedulers again, since one of them has granted
// the engine regardless.
func (hos *Host) checkRate(run fleet.EngineID, grt grant) error {
	lim, limited := hos.notices.limit(run)
	if !limited {
		return nil
	}
	age := hos.clock.Since(grt.grantedAt)
	switch {
	case grt.rate == reservation.GrantRateLimited && age < maxRateGrantAge:
		return nil
	case grt.rate == reservation.GrantRateUnlimited && grt.requestedAt.After(lim.ReceivedAt):
		hos.notices.endLimit(run, grt.requestedAt)
		return nil
	}
	hos.broker.reportNotice(fleet.Notice{Run: run, Signal: lim.RateLimit})
	return &RateExceededError{Run: run, PerSecond: lim.PerSecond, Rate: grt.rate, Age: age}
}

// checkEngine returns a *BlockedError or a *RateExceededError for an engine that must not get the
// request now because of its signals or because it is cold, and an *EvacuatedError if its failure
// domain is being evacuated.
func (hos *Host) checkEngine(eng fleet.Engine, grt grant) error {
	if err := hos.checkBlocked(eng.ID); err != nil {
		return err
	}
	if err := hos.checkRate(eng.ID, grt); err != nil {
		return err
	}
	if err := hos.checkCold(eng, grt); err != nil {
		return err
	}
	if eng.Emptied {
		return &EvacuatedError{Order: evacuation.Order{Domain: eng.Domain}}
	}
	return nil
}

// blockedBeforeSend reports whether a request was not sent because its engine must not get it
// now.
func blockedBeforeSend(err error) bool {
	var blocked *BlockedError
	var rateExceeded *RateExceededError
	var evacuated *EvacuatedError
	return errors.As(err, &blocked) || errors.As(err, &rateExceeded) || errors.As(err, &evacuated)
}

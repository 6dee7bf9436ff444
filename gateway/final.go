package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/view"
)

// Cause says why a request got no whole answer.
type Cause string

// The causes of a final answer.
const (
	CauseShed          Cause = "Shed"
	CauseExpired       Cause = "DeadlineNotMet"
	CauseAccountRate   Cause = "AccountRateExceeded"
	CauseAccountBusy   Cause = "AccountInFlightExceeded"
	CauseStranded      Cause = "NoCoordinator"
	CauseDraining      Cause = "HostLeaving"
	CauseAbandoned     Cause = "CallerLeft"
	CauseRetired       Cause = "PrefixRetired"
	CauseTooOld        Cause = "IDTooOld"
	CauseNotHandedOut  Cause = "PrefixNotHandedOut"
	CauseOtherBody     Cause = "IDUsedForOtherRequest"
	CauseUndecided     Cause = "NotDecided"
	CauseEngineFailed  Cause = "EngineFailed"
	CauseAnswerExpired Cause = "AnswerNoLongerKept"
	// CauseMoved says that another gateway has taken the request over.
	CauseMoved Cause = "Moved"
)

// Final is a final answer other than a whole one.
type Final struct {
	Cause   Cause
	Outcome request.Outcome
	// RetryAfter is when to come back; 0 stands for at once. It has a meaning
	// only when Retry is set.
	RetryAfter time.Duration
	// Retry is set where a later try makes sense.
	Retry bool
	// Holder is the gateway that has taken the request over, with CauseMoved.
	Holder view.Member
}

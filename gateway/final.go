package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/view"
)

// Cause is the reason why a request got no complete answer. The values are part of
// the interface to clients.
type Cause string

// The causes of a final answer.
const (
	CauseShed            Cause = "Shed"
	CauseExpired         Cause = "DeadlineNotMet"
	CauseAccountRate     Cause = "AccountRateExceeded"
	CauseAccountInFlight Cause = "AccountInFlightExceeded"
	CauseNoCoordinator   Cause = "NoCoordinator"
	CauseDraining        Cause = "HostLeaving"
	CauseClientLeft      Cause = "CallerLeft"
	CausePrefixRetired   Cause = "PrefixRetired"
	CauseTooOld          Cause = "IDTooOld"
	CausePrefixNotIssued Cause = "PrefixNotHandedOut"
	CauseIDReused        Cause = "IDUsedForOtherRequest"
	CauseUndecided       Cause = "NotDecided"
	CauseEngineFailed    Cause = "EngineFailed"
	CauseAnswerExpired   Cause = "AnswerNoLongerKept"
	// CauseMoved means that another gateway has taken the request over.
	CauseMoved Cause = "Moved"
)

// Final is a final answer other than a complete one.
type Final struct {
	Cause   Cause
	Outcome request.Outcome
	// RetryAfter is the delay before a retry; 0 means immediately. It is valid only if
	// Retry is set.
	RetryAfter time.Duration
	// Retry is set if a retry may succeed.
	Retry bool
	// Holder is the gateway that has taken the request over, for CauseMoved.
	Holder view.Member
}

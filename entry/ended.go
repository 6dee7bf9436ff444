package entry

import (
	"context"
	"io"
	"strconv"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/upstream"
)

// An answer may have neither a length nor chunks, and end with its connection. So does one whose engine crashes between
// two events: such an answer is complete only if its engine lives.

// EndedEarlyError reports an answer that ended with its connection before it can have been complete.
type EndedEarlyError struct {
	// Events is the number of events that arrived.
	Events int
}

// Error returns the number of events.
func (eee *EndedEarlyError) Error() string {
	return "the answer ended with its connection after " + strconv.Itoa(eee.Events) + " events"
}

// Unwrap returns io.ErrUnexpectedEOF: the engine ended the connection.
func (eee *EndedEarlyError) Unwrap() error { return io.ErrUnexpectedEOF }

// endedEarly reports whether a stream that has ended with its connection isn't complete: it has no event, or its engine
// isn't known to live.
func (exc *exchange) endedEarly(ctx context.Context, att *attempt, ans *upstream.Answer) bool {
	if !ans.EndsWithConnection() {
		return false
	}
	if att.release.DecodeTokens == 0 && !exc.isResumption() {
		return true
	}
	return !exc.host.isAlive(ctx, att.engine)
}

// isAlive reports whether an engine is known to take connections. A crash of several engines at once may look
// like a lost path of this host, which says nothing of them.
func (hos *Host) isAlive(ctx context.Context, eng fleet.Engine) bool {
	return hos.probeEngine(ctx, eng) == upstream.ProbeListens
}

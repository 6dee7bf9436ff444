package entry

import (
	"context"
	"io"
	"strconv"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/upstream"
)

// An answer may have neither a length nor chunks, and end with its connection. So does one whose engine crashes between
// two events: such an answer is complete only if its engine lives.

// secondLookDelay is the time between the two looks at an engine whose answer has ended with its connection. The
// connections of a process that is ending are closed within milliseconds of one another, its listener among the last.
const secondLookDelay = 50 * time.Millisecond

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
	return !exc.host.isWhole(ctx, exc.request.ID, att.engine, ans)
}

// isWhole reports whether an answer that has ended with its connection is taken for complete: its engine lives, and hasn't reset
// the connection since.
func (hos *Host) isWhole(ctx context.Context, id string, eng fleet.Engine, ans *upstream.Answer) bool {
	if !hos.isAlive(ctx, id, eng) {
		return false
	}
	reset := ans.WasReset()
	if reset {
		hos.log.Info().Str("Request", id).Stringer("Engine", eng.ID).Msg("answer without a length was reset after its end")
	}
	return !reset
}

// isAlive reports whether an engine is known to take connections after an answer to the request has ended with its own.
// It looks twice, since an engine that is ending may still take the first one. A crash of several engines at once may
// look like a lost path of this host, which says nothing of them.
func (hos *Host) isAlive(ctx context.Context, id string, eng fleet.Engine) bool {
	began := hos.clock.Now()
	first := hos.probeEngine(ctx, eng)
	alive := first == upstream.ProbeListens && task.Sleep(ctx, secondLookDelay) && hos.probeEngine(ctx, eng) == upstream.ProbeListens
	hos.log.Info().Str("Request", id).Stringer("Engine", eng.ID).Stringer("First", first).Bool("Alive", alive).
		Dur("Age", hos.clock.Now().Sub(began)).Msg("engine checked behind an answer without a length")
	return alive
}

package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
)

// A host that stops as planned ends at the end of its grace period, whatever still runs. So it sends no request to an engine
// whose answer it might not be able to wait for: the client is told that the request hasn't run, and goes to another
// host. Requests that run at the end get a final answer, unless the answer has begun.

const (
	// acceptAfterDrain is how long a draining host still accepts requests: clients cache an answer
	// with addresses for at most three times addressesTTL.
	acceptAfterDrain = 3 * addressesTTL
	// drainMargin is the part of the grace period that is reserved for the shutdown itself.
	drainMargin = 500 * time.Millisecond
	// finalAnswerTime is the part of drainMargin in which the requests that still run are answered.
	finalAnswerTime = 200 * time.Millisecond
)

// StoppingError reports a request that is not sent, or is given up, because this host stops.
type StoppingError struct {
	// Left is the time until the host stops.
	Left time.Duration
}

// Error returns the time left.
func (ser *StoppingError) Error() string {
	return fmt.Sprintf("this host stops in %s", ser.Left.Round(time.Millisecond))
}

// plannedStop is a planned stop of a host.
type plannedStop struct {
	// acceptsUntil is until when the host takes all requests: any that is cut later was sent by a client that had been told
	// of the stop, or ran for most of the grace period.
	acceptsUntil time.Time
	// endsAt is when the requests that still run are given up.
	endsAt time.Time
}

// check returns a *StoppingError if the host can't be sure to wait for the answer of a request that is sent now.
func (stp *plannedStop) check(now, deadline time.Time) error {
	if stp == nil || now.Before(stp.acceptsUntil) || deadline.Before(stp.endsAt) {
		return nil
	}
	return &StoppingError{Left: stp.endsAt.Sub(now)}
}

// beginStop records a planned stop whose requests are given up after a time.
func (hos *Host) beginStop(length time.Duration) *plannedStop {
	now := hos.clock.Now()
	stp := &plannedStop{acceptsUntil: now.Add(min(length, acceptAfterDrain)), endsAt: now.Add(length)}
	hos.plannedStop.Store(stp)
	hos.draining.Store(true)
	close(hos.drainStarted)
	return stp
}

// checkStop returns a problem if the request isn't to be sent because the host stops. One that an engine may have run
// goes on, as does a stream that has begun.
func (exc *exchange) checkStop() *problem {
	if exc.goesOnInStop() {
		return nil
	}
	err := exc.host.plannedStop.Load().check(exc.host.clock.Now(), exc.deadline)
	if err == nil {
		return nil
	}
	return exc.notRunProblem(causeStopping, err.Error())
}

// goesOnInStop reports whether a planned stop keeps the request from no further attempt.
func (exc *exchange) goesOnInStop() bool { return exc.mayHaveRun || exc.headerSent }

// reserveToSend obtains an engine as reserve does, as long as the request is to be sent although the host may be stopping.
func (exc *exchange) reserveToSend(ctx context.Context) (fleet.Engine, *problem) {
	if pro := exc.checkStop(); pro != nil {
		return fleet.Engine{}, pro
	}
	if exc.goesOnInStop() {
		return exc.reserve(ctx)
	}
	ctx, end := exc.host.whileSendable(ctx, exc.deadline)
	defer end()
	return exc.reserve(ctx)
}

// whileSendable returns a context that also ends, with a *StoppingError as its cause, once a request with a deadline isn't to be
// sent any more because the host stops.
func (hos *Host) whileSendable(ctx context.Context, deadline time.Time) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(hos.accepting, func() {
		if err := hos.plannedStop.Load().check(hos.clock.Now(), deadline); err != nil {
			cancel(err)
		}
	})
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// giveUpRequests gives the requests that still run a final answer, where none has begun.
func (hos *Host) giveUpRequests(srv *http.Server) {
	hos.endRequests(&StoppingError{})
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTime)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		hos.log.Warn().Err(err).Msg("not all requests could be answered before the host stops")
	}
}

// isStopping reports whether a request's context ended because the host stops.
func isStopping(err error) bool {
	var ser *StoppingError
	return errors.As(err, &ser)
}

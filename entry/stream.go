package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/eventstream"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/upstream"
)

// forwardStream forwards the events of an answer as they arrive.
func (exc *exchange) forwardStream(ctx context.Context, att attempt, ans *upstream.Answer) attempt {
	if !ans.Head.Signed {
		att.outcome, att.cause = outcomeLost, causeBadAnswer
		att.release.Failed = true
		return att
	}
	reader := ans.Events()
	run := eventstream.NewRun(exc.position)
	controller := http.NewResponseController(exc.writer)
	for {
		evt, err := reader.Next()
		if errors.Is(err, io.EOF) && exc.endedEarly(ctx, &att, ans) {
			err = &EndedEarlyError{Events: att.release.DecodeTokens}
		}
		if errors.Is(err, io.EOF) {
			ans.MarkComplete()
			att.outcome, att.cause = outcomeDone, causeAnswered
			att.release.Total = time.Since(att.started)
			att.release.Answered = true
			exc.sendHeader(ans)
			return att
		}
		if err != nil {
			att.outcome, att.cause, att.err = outcomeLost, causeStreamAborted, err
			att.release.Failed = ctx.Err() == nil
			return att
		}
		run.Next(evt.Event)
		exc.position = run.Position()
		exc.recordEvent(&att)
		exc.sendHeader(ans)
		if _, err := exc.writer.Write(evt.Raw); err != nil {
			return exc.clientDisconnected(att, err)
		}
		if err := controller.Flush(); err != nil {
			return exc.clientDisconnected(att, err)
		}
	}
}

// recordEvent counts an event, and reports the first one of an attempt to the coordinator and
// the host's own scheduler.
func (exc *exchange) recordEvent(att *attempt) {
	att.release.DecodeTokens++
	exc.eventCount++
	now := exc.host.clock.Now()
	if exc.eventCount > 1 {
		exc.longestPause = max(exc.longestPause, now.Sub(exc.lastEventAt))
	}
	exc.lastEventAt = now
	if att.release.FirstToken > 0 {
		return
	}
	att.release.FirstToken = time.Since(att.started)
	if exc.timeToFirst == 0 {
		exc.timeToFirst = exc.host.clock.Since(exc.started)
		exc.recordOrigin()
	}
	exc.host.broker.progress(reservation.Progress{ID: att.release.ID, FirstToken: att.release.FirstToken})
}

// sendHeader forwards the header of the first engine that answered, once.
func (exc *exchange) sendHeader(ans *upstream.Answer) {
	if exc.headerSent {
		return
	}
	exc.headerSent = true
	copyHeader(exc.writer.Header(), platform.ClientHeader(ans.Header))
	exc.writer.WriteHeader(ans.Status)
}

func (exc *exchange) clientDisconnected(att attempt, err error) attempt {
	att.outcome, att.cause, att.err = outcomeLost, causeClientDisconnected, err
	return att
}

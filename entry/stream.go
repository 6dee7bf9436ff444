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

// waitingEvents are the events of a run that aren't passed on yet.
type waitingEvents struct {
	raw []byte
	// count is their number without comments.
	count int
}

// add adds an event that was read behind the ones that wait.
func (wev *waitingEvents) add(evt upstream.Event) {
	wev.raw = evt.Raw
	if !evt.IsComment {
		wev.count++
	}
}

// forwardStream forwards the events of an answer as they arrive. An answer that resumes the stream is forwarded from the event
// on that shows that it does.
func (exc *exchange) forwardStream(ctx context.Context, att attempt, ans *upstream.Answer) attempt {
	if !ans.Head.Signed {
		att.outcome, att.cause = outcomeLost, causeBadAnswer
		att.release.Failed = true
		return att
	}
	reader := ans.Events()
	run := eventstream.NewRun(exc.position)
	var waiting waitingEvents
	for {
		evt, err := reader.NextBehind(waiting.raw)
		if errors.Is(err, io.EOF) && exc.endedEarly(ctx, &att, ans) {
			err = &EndedEarlyError{Events: att.release.DecodeTokens}
		}
		if errors.Is(err, io.EOF) {
			return exc.endStream(att, ans, run, waiting)
		}
		if err != nil {
			att.outcome, att.cause, att.err = outcomeLost, causeStreamAborted, err
			att.release.Failed = ctx.Err() == nil
			return att
		}
		passed, err := run.Next(evt.Event)
		if err != nil {
			return exc.discontinue(att, err)
		}
		waiting.add(evt)
		if !passed {
			continue
		}
		exc.position = run.Position()
		exc.recordEvents(&att, waiting.count)
		if err := exc.writeEvents(ans, waiting.raw); err != nil {
			return exc.clientDisconnected(att, err)
		}
		waiting = waitingEvents{}
	}
}

// endStream ends a stream whose answer is complete.
func (exc *exchange) endStream(att attempt, ans *upstream.Answer, run *eventstream.Run, waiting waitingEvents) attempt {
	ans.MarkComplete()
	if err := run.End(); err != nil {
		return exc.discontinue(att, err)
	}
	att.outcome, att.cause = outcomeDone, causeAnswered
	att.release.Total = time.Since(att.started)
	att.release.Answered = true
	if err := exc.writeEvents(ans, waiting.raw); err != nil {
		return exc.clientDisconnected(att, err)
	}
	return att
}

// discontinue ends an attempt whose run doesn't go on where the stream broke off. The engine serves other requests well, so it
// counts as no failure of it.
func (exc *exchange) discontinue(att attempt, err error) attempt {
	att.outcome, att.cause, att.err = outcomeLost, causeNotContinued, err
	exc.host.metrics.count("Streams.NotContinued")
	return att
}

// writeEvents writes events to the client, behind the head of the answer that brought the first one.
func (exc *exchange) writeEvents(ans *upstream.Answer, raw []byte) error {
	exc.sendHeader(ans)
	if len(raw) == 0 {
		return nil
	}
	if _, err := exc.writer.Write(raw); err != nil {
		return err
	}
	return http.NewResponseController(exc.writer).Flush()
}

// recordEvents counts events that are passed on, and reports the first one of an attempt to the coordinator and
// the host's own scheduler.
func (exc *exchange) recordEvents(att *attempt, count int) {
	if count == 0 {
		return
	}
	att.release.DecodeTokens += count
	now := exc.host.clock.Now()
	if exc.eventCount > 0 {
		exc.longestPause = max(exc.longestPause, now.Sub(exc.lastEventAt))
	}
	exc.eventCount += count
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

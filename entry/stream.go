package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/upstream"
)

// forwardStream forwards the events of an answer as they arrive.
func (exc *exchange) stream(ctx context.Context, att attempt, ans *upstream.Answer) attempt {
	if !ans.Head.Signed {
		att.outcome, att.cause = outcomeLost, causeBadAnswer
		att.release.Failed = true
		return att
	}
	reader := upstream.NewEventReader(ans.Body)
	controller := http.NewResponseController(exc.writer)
	for {
		evt, err := reader.Next()
		if errors.Is(err, io.EOF) {
			ans.Whole()
			att.outcome, att.cause = outcomeDone, causeAnswered
			att.release.Total = time.Since(att.started)
			att.release.Answered = true
			exc.sendHead(ans)
			return att
		}
		if err != nil {
			att.outcome, att.cause, att.err = outcomeLost, causeBrokenOff, err
			att.release.Failed = ctx.Err() == nil
			return att
		}
		exc.noteEvent(&att, evt)
		exc.sendHead(ans)
		if _, err := exc.writer.Write(evt.Raw); err != nil {
			return exc.callerGone(att, err)
		}
		if err := controller.Flush(); err != nil {
			return exc.callerGone(att, err)
		}
	}
}

// noteEvent counts an event and reports the first one to the coordinator.
func (exc *exchange) noteEvent(att *attempt, evt upstream.Event) {
	att.release.DecodeTokens++
	exc.events++
	now := exc.host.clock.Now()
	if exc.events > 1 {
		exc.longestPause = max(exc.longestPause, now.Sub(exc.lastHeard))
	}
	exc.lastHeard = now
	if evt.ID > 0 {
		exc.lastEvent = evt.ID
	}
	if att.release.FirstToken > 0 {
		return
	}
	att.release.FirstToken = time.Since(att.started)
	if exc.firstAfter == 0 {
		exc.firstAfter = exc.host.clock.Since(exc.started)
	}
	exc.host.desk.progress(reservation.Progress{ID: att.release.ID, FirstToken: att.release.FirstToken})
}

// sendHead forwards the header of the first engine that answered, once.
func (exc *exchange) sendHead(ans *upstream.Answer) {
	if exc.headSent {
		return
	}
	exc.headSent = true
	copyHeader(exc.writer.Header(), platform.CallerHeader(ans.Header))
	exc.writer.WriteHeader(ans.Status)
}

func (exc *exchange) callerGone(att attempt, err error) attempt {
	att.outcome, att.cause, att.err = outcomeLost, causeCallerLeft, err
	return att
}

package host

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/backend"
	"lynxwell.dev/lynxwell/caller"
	"lynxwell.dev/lynxwell/engine"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/task"
)

// maxResumeAttempts bounds the attempts to resume an interrupted stream. resumeDelay is
// the wait before each attempt.
const (
	maxResumeAttempts = 5
	resumeDelay       = 200 * time.Millisecond
)

// cancelTimeout bounds the call that cancels a request on its engine.
const cancelTimeout = 2 * time.Second

// dispatch sends a request to its engine. It never sends the request a second time.
func (hos *Host) dispatch(ctx context.Context, id request.ID, name string, jb *job) gateway.Result {
	eng, known := hos.Configuration().Engine(name)
	if !known {
		return gateway.Result{}
	}
	switch work := jb.work.(type) {
	case caller.ModelWork:
		return hos.dispatchModel(ctx, id, eng.Address, work, jb)
	case caller.PlainWork:
		return hos.dispatchPlain(ctx, id, eng.Address, work, jb)
	default:
		return gateway.Result{}
	}
}

func (hos *Host) dispatchModel(ctx context.Context, id request.ID, adr netip.AddrPort, work caller.ModelWork, jb *job) gateway.Result {
	start := time.Now()
	dis := engine.Dispatch{Address: adr, ID: id, Priority: jb.priority, Body: work.Body}
	res := hos.engines.Dispatch(ctx, dis, modelSink(jb.exchange))
	if res.Dispatched && !res.Whole && !isStatusError(res.Err) {
		res = hos.resumeInterrupted(ctx, id, adr, res, jb)
	}
	return hos.finishModel(ctx, id, adr, res, start, jb)
}

// resume reads the answer to a request that another gateway dispatched.
func (hos *Host) resume(ctx context.Context, id request.ID, name string, jb *job) gateway.Result {
	eng, known := hos.Configuration().Engine(name)
	_, isModel := jb.work.(caller.ModelWork)
	if !known || !isModel {
		// Engines of plain services retain no answers.
		return gateway.Result{Dispatched: true, NotFound: !known}
	}
	start := time.Now()
	res := hos.engines.Resume(ctx, eng.Address, id, 0, modelSink(jb.exchange))
	if res.Answered && !res.Whole && !isStatusError(res.Err) {
		res = hos.resumeInterrupted(ctx, id, eng.Address, res, jb)
	}
	if res.NotKnown {
		return gateway.Result{Dispatched: true, NotFound: true}
	}
	return hos.finishModel(ctx, id, eng.Address, res, start, jb)
}

// resumeInterrupted reads the rest of an interrupted stream from its engine, in at most
// maxResumeAttempts attempts.
func (hos *Host) resumeInterrupted(ctx context.Context, id request.ID, adr netip.AddrPort, interrupted engine.Result, jb *job) engine.Result {
	res := interrupted
	for range maxResumeAttempts {
		if !task.Sleep(ctx, resumeDelay) {
			return res
		}
		next := hos.engines.Resume(ctx, adr, id, res.Events, modelSink(jb.exchange))
		next.Dispatched = true
		next.Answered = res.Answered || (next.Answered && !next.NotKnown)
		next.FirstToken = interrupted.FirstToken
		if next.Whole || isStatusError(next.Err) {
			return next
		}
		res = next
	}
	return res
}

// finishModel completes the exchange of an answered request, or cancels the request on its
// engine if the context has ended, and returns the result for the gateway.
func (hos *Host) finishModel(ctx context.Context, id request.ID, adr netip.AddrPort, res engine.Result, start time.Time, jb *job) gateway.Result {
	var ser *engine.StatusError
	switch {
	case res.Whole:
		jb.exchange.Data([]byte("data: [DONE]\n\n"))
		jb.exchange.End(true)
	case errors.As(res.Err, &ser) && !res.NotKnown:
		jb.exchange.Head(ser.Status, backend.EndToEnd(ser.Header))
		jb.exchange.Data(ser.Body)
		jb.exchange.End(true)
	case ctx.Err() != nil && res.Dispatched:
		hos.cancelOnEngine(id, adr)
	}
	cached := 0
	if res.Usage.Details != nil {
		cached = res.Usage.Details.CachedTokens
	}
	return gateway.Result{
		Dispatched: res.Dispatched, Answered: res.Answered,
		Complete:      res.Whole || (ser != nil && !res.NotKnown),
		PrefillTokens: max(0, res.Usage.PromptTokens-cached), DecodeTokens: res.Usage.CompletionTokens,
		FirstToken: res.FirstToken, Total: time.Since(start),
	}
}

func isStatusError(err error) bool {
	var ser *engine.StatusError
	return errors.As(err, &ser)
}

// cancelOnEngine cancels a request on its engine. A failure is only logged.
func (hos *Host) cancelOnEngine(id request.ID, adr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := hos.engines.Cancel(ctx, adr, id); err != nil {
		hos.log.Debug().Err(err).Stringer("RequestID", id).Msg("canceling a request on its engine failed")
	}
}

// modelSink returns a sink that appends a stream's events to the exchange.
func modelSink(exc *caller.Exchange) engine.Sink {
	return func(data []byte) {
		exc.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-cache"}})
		event := make([]byte, 0, len(data)+len("data: \n\n"))
		event = append(event, "data: "...)
		event = append(event, data...)
		exc.Data(append(event, "\n\n"...))
	}
}

func (hos *Host) dispatchPlain(ctx context.Context, id request.ID, adr netip.AddrPort, work caller.PlainWork, jb *job) gateway.Result {
	res := hos.backends.Call(ctx, backend.Call{
		Address: adr, ID: id, Method: work.Method, Path: work.Path, Query: work.Query, Header: work.Header, Body: work.Body,
	}, jb.exchange)
	if res.Complete {
		jb.exchange.End(true)
	}
	return gateway.Result{
		Dispatched: res.Dispatched, Answered: res.Answered, Complete: res.Complete,
		FirstToken: res.FirstByte, Total: res.Total,
	}
}

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

// resumeTries bounds how often a stream that broke off is resumed, and
// resumePause is the wait before each.
const (
	resumeTries = 5
	resumePause = 200 * time.Millisecond
)

// cancelTimeout bounds a cancellation.
const cancelTimeout = 2 * time.Second

// dispatch sends a request to its engine, once.
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
	if res.Dispatched && !res.Whole && !isRefusal(res.Err) {
		res = hos.resumeBroken(ctx, id, adr, res, jb)
	}
	return hos.endModel(ctx, id, adr, res, start, jb)
}

// resume reads the answer of a request that another gateway dispatched.
func (hos *Host) resume(ctx context.Context, id request.ID, name string, jb *job) gateway.Result {
	eng, known := hos.Configuration().Engine(name)
	_, isModel := jb.work.(caller.ModelWork)
	if !known || !isModel {
		// A plain service keeps no answers to read again.
		return gateway.Result{Dispatched: true, NotKnown: !known}
	}
	start := time.Now()
	res := hos.engines.Resume(ctx, eng.Address, id, 0, modelSink(jb.exchange))
	if res.Answered && !res.Whole && !isRefusal(res.Err) {
		res = hos.resumeBroken(ctx, id, eng.Address, res, jb)
	}
	if res.NotKnown {
		return gateway.Result{Dispatched: true, NotKnown: true}
	}
	return hos.endModel(ctx, id, eng.Address, res, start, jb)
}

// resumeBroken reads on where a stream broke off.
func (hos *Host) resumeBroken(ctx context.Context, id request.ID, adr netip.AddrPort, broken engine.Result, jb *job) engine.Result {
	res := broken
	for range resumeTries {
		if !task.Sleep(ctx, resumePause) {
			return res
		}
		next := hos.engines.Resume(ctx, adr, id, res.Events, modelSink(jb.exchange))
		next.Dispatched = true
		next.Answered = res.Answered || (next.Answered && !next.NotKnown)
		next.FirstToken = broken.FirstToken
		if next.Whole || isRefusal(next.Err) {
			return next
		}
		res = next
	}
	return res
}

func (hos *Host) endModel(ctx context.Context, id request.ID, adr netip.AddrPort, res engine.Result, start time.Time, jb *job) gateway.Result {
	var rer *engine.RefusalError
	switch {
	case res.Whole:
		jb.exchange.Data([]byte("data: [DONE]\n\n"))
		jb.exchange.End(true)
	case errors.As(res.Err, &rer) && !res.NotKnown:
		jb.exchange.Head(rer.Status, backend.EndToEnd(rer.Header))
		jb.exchange.Data(rer.Body)
		jb.exchange.End(true)
	case ctx.Err() != nil && res.Dispatched:
		hos.cancelAt(id, adr)
	}
	cached := 0
	if res.Usage.Details != nil {
		cached = res.Usage.Details.CachedTokens
	}
	return gateway.Result{
		Dispatched: res.Dispatched, Answered: res.Answered,
		Whole:         res.Whole || (rer != nil && !res.NotKnown),
		PrefillTokens: max(0, res.Usage.PromptTokens-cached), DecodeTokens: res.Usage.CompletionTokens,
		FirstToken: res.FirstToken, Total: time.Since(start),
	}
}

func isRefusal(err error) bool {
	var rer *engine.RefusalError
	return errors.As(err, &rer)
}

// cancelAt stops a request at its engine; it is no matter where that fails.
func (hos *Host) cancelAt(id request.ID, adr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := hos.engines.Cancel(ctx, adr, id); err != nil {
		hos.log.Debug().Err(err).Stringer("RequestID", id).Msg("cancellation failed")
	}
}

// modelSink adds a stream's events to the exchange.
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
	if res.Whole {
		jb.exchange.End(true)
	}
	return gateway.Result{
		Dispatched: res.Dispatched, Answered: res.Answered, Whole: res.Whole,
		FirstToken: res.FirstByte, Total: res.Total,
	}
}

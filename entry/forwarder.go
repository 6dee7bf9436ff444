package entry

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/egress"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/upstream"
)

// forwarder sends requests to engines for hosts that can't reach them. It implements peer.Forwarder.
type forwarder struct {
	host *Host
}

// OpenForward implements peer.Forwarder.
func (fwr forwarder) OpenForward(ctx context.Context, engine fleet.EngineID) (peer.ForwardConn, error) {
	hos := fwr.host
	eng, known := hos.snapshot.Load().engine(engine)
	switch {
	case hos.draining.Load():
		return nil, &peer.ForwardError{Result: peer.ForwardNoPath, Detail: "the host is stopping"}
	case hos.paths.areLost():
		return nil, &peer.ForwardError{Result: peer.ForwardNoPath, Detail: "the host reaches no engine"}
	case !known || eng.Closed():
		return nil, &peer.ForwardError{Result: peer.ForwardBlocked, Detail: "the engine isn't known, or takes no requests"}
	}
	cnd, err := hos.connect(ctx, eng)
	if err != nil {
		return nil, fwr.unreachable(ctx, eng, err)
	}
	hos.forwards.add()
	return &forwardConn{host: hos, engine: eng, connected: cnd}, nil
}

// unreachable returns the error for a failed dial: the engine is at fault only if this host reaches another
// one.
func (fwr forwarder) unreachable(ctx context.Context, eng fleet.Engine, cause error) error {
	result := peer.ForwardNoPath
	if ctx.Err() == nil && fwr.host.paths.verify(ctx, fwr.host.clock.Now(), eng.ID) == egress.PathOpen {
		result = peer.ForwardUnreachable
	}
	return &peer.ForwardError{Result: result, Detail: cause.Error()}
}

// CheckEngine implements peer.Forwarder.
func (fwr forwarder) CheckEngine(ctx context.Context, engine fleet.EngineID) upstream.Probe {
	eng, known := fwr.host.snapshot.Load().engine(engine)
	if !known {
		return upstream.ProbeUnknown
	}
	return fwr.host.probeDirectly(ctx, eng)
}

// forwardConn is a connection to an engine that is reserved for a request of another host. It implements
// peer.ForwardConn.
type forwardConn struct {
	host      *Host
	engine    fleet.Engine
	connected *upstream.Connected
}

// Release implements peer.ForwardConn.
func (fco *forwardConn) Release() {
	fco.connected.Release()
	fco.host.forwards.remove()
}

// Send implements peer.ForwardConn.
func (fco *forwardConn) Send(ctx context.Context, req peer.ForwardRequest) (peer.ForwardAnswer, error) {
	hos := fco.host
	arrivedAt := hos.clock.Now()
	ctx, cancel := hos.clock.WithDeadline(ctx, arrivedAt.Add(req.Remaining))
	end := func() {
		cancel()
		hos.forwards.remove()
	}
	ans, err := fco.connected.Do(ctx, upstream.Call{
		Endpoint: upstream.Endpoint{Address: fco.engine.Address, Engine: fco.engine.ID}, ID: req.ID, Method: req.Method, Target: req.Target,
		Host: req.Host, Header: req.Header, Body: req.Body,
		Check:   func() error { return fco.checkBeforeSend(req, arrivedAt) },
		Written: func() { hos.evacuations.endSend(fco.engine.Domain) },
	})
	hos.metrics.count("Forwards.ForOthers")
	if err != nil {
		defer end()
		return peer.ForwardAnswer{}, fco.forwardError(ctx, err)
	}
	body := &forwardBody{conn: fco, context: ctx, request: req.ID, answer: ans, end: end}
	return peer.ForwardAnswer{Status: ans.Status, Header: ans.Header, Body: body}, nil
}

// checkBeforeSend checks the conditions of a request that this host forwards right before it is sent, as
// exchange.checkBeforeSend does for its own: the other host's knowledge may be older, and the engine's signals
// concern the host that sends.
func (fco *forwardConn) checkBeforeSend(req peer.ForwardRequest, arrivedAt time.Time) error {
	hos := fco.host
	now := hos.clock.Now()
	snp := hos.snapshot.Load()
	eng, known := snp.engine(fco.engine.ID)
	switch {
	case !now.Before(arrivedAt.Add(req.Remaining)):
		return &ExpiredError{What: "deadline"}
	case !known || eng.Closed():
		return &ExpiredError{What: "engine"}
	case !req.Public && !hos.isFresh(now):
		return &ExpiredError{What: "configuration"}
	case !req.Public && !snp.holdsKey(platform.AccountOf(req.Header), req.Key):
		return &ExpiredError{What: "key"}
	}
	grt := grant{rate: req.Rate, cold: req.Cold, requestedAt: arrivedAt.Add(-req.SinceRequested), grantedAt: arrivedAt.Add(-req.SinceGranted)}
	if err := hos.checkEngine(eng, grt); err != nil {
		return err
	}
	return hos.evacuations.beginSend(eng.Domain)
}

// holdsKey reports whether the client's key is the account's in the configuration, which may have given it to another one,
// or whether none is needed.
func (snp *snapshot) holdsKey(account, key string) bool {
	if snp.table == nil {
		return false
	}
	acc, known := snp.table.Account(key)
	return known && acc.Name == account || !snp.table.HasAccounts()
}

// forwardError returns the error that tells the other host what is known of a failed request.
func (fco *forwardConn) forwardError(ctx context.Context, err error) error {
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		return &peer.ForwardError{Result: peer.ForwardBlocked, Detail: err.Error()}
	}
	fer := &peer.ForwardError{Result: peer.ForwardBroken, Detail: err.Error()}
	if ctx.Err() != nil || fco.host.paths.verify(ctx, fco.host.clock.Now(), fco.engine.ID) == egress.PathLost {
		return fer
	}
	fer.EngineFailed, fer.EndedByEngine = true, upstream.EndedByPeer(err)
	if fer.EndedByEngine {
		fer.Check = fco.host.probeDirectly(ctx, fco.engine)
	}
	return fer
}

// forwardBody is the body of an answer to a forwarded request. Its errors are of type *peer.ForwardError.
type forwardBody struct {
	conn *forwardConn
	// context is the request's, which the body belongs to.
	context context.Context
	// request is the request's ID.
	request string
	answer  *upstream.Answer
	end     func()
}

// Read implements io.Reader.
func (fbo *forwardBody) Read(buf []byte) (int, error) {
	count, err := fbo.answer.Body.Read(buf)
	if err == nil {
		return count, nil
	}
	if errors.Is(err, io.EOF) && fbo.answer.EndsWithConnection() && !fbo.conn.host.isWhole(fbo.context, fbo.request, fbo.conn.engine, fbo.answer) {
		err = &EndedEarlyError{}
	}
	if errors.Is(err, io.EOF) {
		fbo.answer.MarkComplete()
		return count, io.EOF
	}
	return count, fbo.conn.forwardError(fbo.context, err)
}

// Close implements io.Closer.
func (fbo *forwardBody) Close() error {
	fbo.answer.Close()
	fbo.end()
	return nil
}

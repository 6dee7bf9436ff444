package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/egress"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/upstream"
)

const (
	// forwardPatience is how long another host may take to connect to an engine. One that reaches no
	// engine itself knows that after dialPatience and checkTimeout.
	forwardPatience = 400 * time.Millisecond
	// maxEngineChecks bounds the hosts that are asked whether an engine accepts connections, and
	// engineCheckTimeout the time for each.
	maxEngineChecks    = 3
	engineCheckTimeout = 300 * time.Millisecond
)

// NoPathError reports a request that was not sent because neither this host nor another one that it asked
// reaches the engine. It says nothing about the engine.
type NoPathError struct {
	// Asked is the number of other hosts that were asked.
	Asked int
	Cause error
}

// Error implements error.
func (npe *NoPathError) Error() string {
	return "this host has lost its paths to the engines, and no other host forwards: " + npe.Cause.Error()
}

// Unwrap returns the cause.
func (npe *NoPathError) Unwrap() error { return npe.Cause }

// errPathsLost is the cause of a NoPathError on a host that knows that its paths are lost.
var errPathsLost = errors.New("no engine accepts a connection")

// send sends the call to its engine: directly, or through another host while this host reaches no engine. As
// with upstream.Client.Do, the call is sent at most once.
func (exc *exchange) send(ctx context.Context, eng fleet.Engine, cal upstream.Call) (*upstream.Answer, error) {
	exc.forwarder = ""
	if exc.host.paths.areLost() {
		return exc.forward(ctx, eng, cal, errPathsLost)
	}
	cnd, err := exc.host.connect(ctx, eng)
	if err == nil {
		return cnd.Do(ctx, cal)
	}
	if ctx.Err() != nil {
		return nil, err
	}
	switch exc.host.paths.verify(ctx, exc.host.clock.Now(), eng.ID) {
	case egress.PathLost:
		return exc.forward(ctx, eng, cal, err)
	case egress.PathUnknown:
		ans, ferr := exc.forward(ctx, eng, cal, err)
		var noPath *NoPathError
		if errors.As(ferr, &noPath) {
			return nil, err
		}
		return ans, ferr
	case egress.PathOpen:
		return nil, err
	default:
		return nil, err
	}
}

// connect returns a connection to the engine. A dial that takes long is given up once this host is known to
// reach no engine.
func (hos *Host) connect(ctx context.Context, eng fleet.Engine) (*upstream.Connected, error) {
	dialCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(dialPatience, func() {
		if hos.paths.verify(dialCtx, hos.clock.Now(), eng.ID) == egress.PathLost {
			cancel()
		}
	})
	defer timer.Stop()
	return hos.upstream.Connect(dialCtx, upstream.Endpoint{Address: eng.Address, Engine: eng.ID})
}

// forward sends the call through another host. It tries one after the other until one has a connection to the
// engine.
func (exc *exchange) forward(ctx context.Context, eng fleet.Engine, cal upstream.Call, cause error) (*upstream.Answer, error) {
	hosts := exc.host.paths.forwarders()
	for _, mem := range hosts {
		fwd, err := exc.host.peers.OpenForward(ctx, mem.PeerAddress, eng.ID, forwardPatience)
		if ctx.Err() != nil {
			break
		}
		exc.host.metrics.count("Forwards.Opened." + forwardResult(err).String())
		if forwardResult(err) == peer.ForwardUnreachable {
			return nil, &upstream.NotSentError{Address: cal.Address, Cause: err}
		}
		exc.host.paths.recordForwarder(mem.Epoch, forwardResult(err))
		if err != nil {
			exc.host.log.Info().Err(err).Str("Request", cal.ID).Stringer("Engine", eng.ID).Str("Member", mem.Name).Msg("host can't forward")
			continue
		}
		ans, err := exc.sendThrough(mem, fwd, cal)
		if result := forwardResult(err); result == peer.ForwardNoPath || result == peer.ForwardBlocked {
			continue
		}
		return ans, err
	}
	return nil, &upstream.NotSentError{Address: cal.Address, Cause: &NoPathError{Asked: len(hosts), Cause: cause}}
}

// forwardResult returns how forwarding ended by its error.
func forwardResult(err error) peer.ForwardResult {
	var fer *peer.ForwardError
	if !errors.As(err, &fer) {
		return peer.ForwardComplete
	}
	return fer.Result
}

// sendThrough sends the call on the connection that another host has reserved for it.
func (exc *exchange) sendThrough(mem fleet.Member, fwd *peer.Forwarding, cal upstream.Call) (*upstream.Answer, error) {
	if err := cal.Check(); err != nil {
		_ = fwd.Close()
		return nil, &upstream.NotSentError{Address: cal.Address, Cause: err}
	}
	hos := exc.host
	sentAt := hos.clock.Now()
	exc.forwarder, exc.forwardedAt = mem.Name, time.Now()
	rep, err := fwd.Send(exc.forwardRequest(cal, sentAt))
	cal.Written()
	hos.metrics.count("Forwards.Sent." + forwardResult(err).String())
	hos.log.Info().Err(err).Str("Request", cal.ID).Stringer("Engine", cal.Engine).Str("Member", mem.Name).Str("Result", forwardResult(err).String()).
		Dur("Took", time.Since(exc.forwardedAt)).Msg("request forwarded through another host")
	if err != nil {
		_ = fwd.Close()
		if forwardResult(err) == peer.ForwardBroken {
			return nil, &upstream.BrokenError{Address: cal.Address, Cause: err}
		}
		return nil, &upstream.NotSentError{Address: cal.Address, Cause: err}
	}
	head := platform.DecodeAnswer(rep.Status, rep.Header)
	hos.notices.apply(upstream.HeadReceived{Endpoint: cal.Endpoint, Head: head, Sent: sentAt})
	return upstream.NewForwarded(upstream.Forwarded{
		Status: rep.Status, Header: rep.Header, Head: head, Body: rep.Body, Close: func() { _ = rep.Body.Close() }, Allowance: hos.upstream.Allowance(),
	}), nil
}

func (exc *exchange) forwardRequest(cal upstream.Call, now time.Time) peer.ForwardRequest {
	return peer.ForwardRequest{
		ID: cal.ID, Method: cal.Method, Target: cal.Target, Host: cal.Host, Header: cal.Header, Body: cal.Body,
		Key: exc.request.Key, Public: exc.account.Name == "", Remaining: exc.remaining(),
		Rate: exc.grant.rate, Cold: exc.grant.cold, SinceRequested: now.Sub(exc.grant.requestedAt), SinceGranted: now.Sub(exc.grant.grantedAt),
	}
}

// acquitIfPathLost clears the failure of an engine whose connection failed while this host reached no engine:
// the engine may be well.
func (exc *exchange) acquitIfPathLost(ctx context.Context, eng fleet.Engine, att *attempt) {
	if !att.release.Failed || att.err == nil || att.outcome == outcomeNotSent {
		return
	}
	var fer *peer.ForwardError
	switch {
	case errors.As(att.err, &fer):
		att.pathLost = !fer.EngineFailed
	default:
		att.pathLost = exc.host.paths.areLost() || exc.host.paths.verify(ctx, exc.host.clock.Now(), eng.ID) == egress.PathLost
	}
	if att.pathLost {
		att.release.Failed = false
		exc.host.metrics.count("EngineFailures.PathLost")
	}
}

// probeEngine reports whether an engine accepts connections. A refusal counts only if this host reaches
// another engine, before and after which the engine refuses; otherwise other hosts are asked.
func (hos *Host) probeEngine(ctx context.Context, eng fleet.Engine) upstream.Probe {
	if found := hos.probeDirectly(ctx, eng); found != upstream.ProbeUnknown {
		return found
	}
	asked := 0
	for _, mem := range hos.paths.forwarders() {
		if asked++; asked > maxEngineChecks {
			break
		}
		askCtx, cancel := context.WithTimeout(ctx, engineCheckTimeout)
		found, err := hos.peers.CheckEngine(askCtx, mem.PeerAddress, eng.ID)
		cancel()
		hos.log.Info().Err(err).Stringer("Engine", eng.ID).Str("Member", mem.Name).Stringer("Result", found).Msg("engine checked by another host")
		if err == nil && found != upstream.ProbeUnknown {
			return found
		}
	}
	return upstream.ProbeUnknown
}

// probeDirectly reports whether an engine accepts connections from this host.
func (hos *Host) probeDirectly(ctx context.Context, eng fleet.Engine) upstream.Probe {
	end := upstream.Endpoint{Address: eng.Address, Engine: eng.ID}
	if hos.paths.areLost() {
		return upstream.ProbeUnknown
	}
	found := hos.upstream.Probe(ctx, end)
	if found != upstream.ProbeRefused {
		return found
	}
	if hos.paths.verify(ctx, hos.clock.Now(), eng.ID) != egress.PathOpen {
		return upstream.ProbeUnknown
	}
	return hos.upstream.Probe(ctx, end)
}

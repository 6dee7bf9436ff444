package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
)

// returnGrant records, counts and logs that a grant is returned unused, and why.
func (exc *exchange) returnGrant(err error) {
	exc.lastGrantUnused = true
	exc.returnedGrants++
	exc.host.metrics.count("GrantsSentBack")
	evt := exc.host.log.Info().Str("Request", exc.request.ID).Str("Engine", exc.engine).Str("DecidedBy", exc.decidedBy)
	evt = evt.AnErr("Because", err)
	var blocked *BlockedError
	if errors.As(err, &blocked) {
		evt = evt.Stringer("Says", blocked.Notice.Signal)
		if bac, isBackoff := blocked.Notice.Signal.(fleet.Backoff); isBackoff {
			evt = evt.Dur("For", bac.Remaining)
		}
	}
	evt.Msg("grant returned")
}

// reserve obtains an engine for the next attempt, or returns the final answer. A granted engine
// that is deregistered, draining or in a region that is not allowed is excluded from the next
// reservation, since the coordinator may not know of that yet. For an engine that is blocked for
// this host no exclusion is needed: its signal has been reported to the coordinator.
func (exc *exchange) reserve(ctx context.Context) (fleet.Engine, *problem) {
	unavailable := 0
	for unavailable < maxNotSent && exc.returnedGrants <= maxReturnedGrants {
		eng, pro := exc.reserveOnce(ctx)
		switch {
		case pro == nil:
			return eng, nil
		case pro.grantReturned:
		case pro.cause == causeEngineUnavailable:
			unavailable++
			exc.lastGrantUnused = true
			exc.host.log.Info().Str("Request", exc.request.ID).Str("Engine", exc.engine).Str("DecidedBy", exc.decidedBy).
				Msg("granted engine can't be used; reserving again")
			exc.exclude = append(exc.exclude, exc.engine)
		default:
			return eng, pro
		}
	}
	return fleet.Engine{}, exc.notRunProblem(causeNoEngine, "the engines granted can't be used")
}

// notRunProblem returns the final answer for a request that this attempt did not run.
func (exc *exchange) notRunProblem(cau cause, detail string) *problem {
	return exc.adjustIfMayHaveRun(&problem{status: http.StatusServiceUnavailable, cause: cau, retryAfter: notReadyRetry, detail: detail})
}

// adjustIfMayHaveRun changes the status of a refusal if an earlier attempt may have run: only a
// request that has certainly not run may be refused with a status that says so.
func (exc *exchange) adjustIfMayHaveRun(pro *problem) *problem {
	if exc.mayHaveRun {
		pro.status, pro.retryAfter = http.StatusBadGateway, 0
	}
	return pro
}

func (exc *exchange) reserveOnce(ctx context.Context) (fleet.Engine, *problem) {
	hos := exc.host
	start, requestedAt := time.Now(), hos.clock.Now()
	res := reservation.Reserve{
		ID:      request.ID{Prefix: request.Prefix{Epoch: hos.epoch}, Unique: exc.request.ID},
		Service: exc.service, Rank: exc.rank, Urgency: max(0, exc.route.Rank), Account: exc.account.Name,
		PromptTokens: exc.request.PromptTokens, MaxTokens: exc.request.MaxTokens, AnswerTokens: exc.estimatedAnswerTokens(),
		Remaining: exc.remaining(), Domain: hos.set.Domain, LatencyTarget: exc.latencyTarget(exc.host.clock.Now()), ClientWait: exc.clientWait,
		Route: exc.route.Name, Repeatable: exc.route.Repeatable(),
		Cost: exc.account.Cost(exc.request.Tokens()), Attempt: exc.attempts, Exclude: exc.exclude, Parts: exc.request.Parts,
		Digest: exc.digest, Requeued: exc.lastGrantUnused, Regions: exc.regions,
		Client: clientOf(exc.request.Key),
		Stream: exc.stream, Resumed: exc.isResumption(), Origin: exc.origin(), StreamLife: exc.streamLife(),
	}
	if res.Resumed {
		res.ClientWait = 0
	}
	if exc.route.Kind != route.KindStreaming {
		res.PromptTokens = 0
	}
	dec, err := hos.broker.reserve(ctx, res)
	exc.decisionWait += time.Since(start)
	if err != nil {
		return fleet.Engine{}, exc.contextProblem(err)
	}
	exc.decidedBy = dec.coordinator.String()
	if dec.refusal != nil {
		return fleet.Engine{}, exc.refusalProblem(*dec.refusal)
	}
	exc.grant = grant{rate: dec.grant.Rate, cold: dec.grant.Cold, requestedAt: requestedAt, grantedAt: hos.clock.Now()}
	return exc.checkGrant(*dec.grant, res.ID)
}

// clientOf identifies a client by its key, without revealing the key to other hosts.
func clientOf(key string) uint64 {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[:8])
}

// regionAllowed reports whether the engine's region is one in which the request may be served.
func (exc *exchange) regionAllowed(eng fleet.Engine) bool {
	return len(exc.regions) == 0 || slices.Contains(exc.regions, exc.host.set.Regions[eng.Domain])
}

// estimatedAnswerTokens returns the client's estimate of the answer's length, from which the
// scheduler predicts when the slot becomes free. It returns 0 for a resumed stream, whose
// remaining length is unknown.
func (exc *exchange) estimatedAnswerTokens() int {
	if exc.lastEvent() != "" {
		return 0
	}
	return exc.request.HintTokens
}

const (
	// Clients of a stream disconnect if no event arrives for the longest of minStreamTimeout,
	// streamTimeoutTargets times the route's latency target, and streamTimeoutPauses times its
	// target for the pause between events. These values match the behavior of the platform's
	// clients.
	minStreamTimeout     = 2 * time.Second
	streamTimeoutTargets = 4
	streamTimeoutPauses  = 8
)

// latencyTarget returns the time within which the next attempt's answer is still useful. For the
// first attempt that is what is left of the route's latency target. A retry usually misses the
// target, but its client keeps waiting, and a stream that has begun is lost unless it continues: for
// these the limit is the deadline and, for a stream, the client's timeout for the next event.
func (exc *exchange) latencyTarget(now time.Time) time.Duration {
	if exc.attempts == 0 && !exc.isResumption() {
		return exc.route.LatencyTarget - now.Sub(exc.started)
	}
	left := exc.deadline.Sub(now)
	if exc.route.Kind != route.KindStreaming {
		return left
	}
	lastEventAt := exc.started
	if exc.lastEventAt.After(lastEventAt) {
		lastEventAt = exc.lastEventAt
	}
	timeout := max(minStreamTimeout, streamTimeoutTargets*exc.route.LatencyTarget, streamTimeoutPauses*exc.route.EventGapTarget)
	return min(left, timeout-now.Sub(lastEventAt))
}

// checkGrant checks a grant against what may have changed during the wait for the decision. It
// returns the engine to send to, or releases the grant and returns a problem.
func (exc *exchange) checkGrant(granted reservation.Grant, id request.ID) (fleet.Engine, *problem) {
	hos := exc.host
	name := granted.Engine
	exc.engine = name
	snp := hos.snapshot.Load()
	var pro *problem
	run := fleet.ParseEngineID(name)
	eng, known := snp.engine(run)
	switch {
	case !exc.route.Public && !hos.isFresh(hos.clock.Now()):
		pro = exc.notRunProblem(causeNotReady, "configuration became too old")
	case !known || eng.Draining:
		// The coordinator may have lost its connection to the store and not know of this yet.
		pro = exc.notRunProblem(causeEngineUnavailable, "engine is gone or leaves")
	case exc.isOtherVersion(eng, granted):
		pro = exc.notRunProblem(causeEngineUnavailable, "engine has another software version now")
	case !exc.regionAllowed(eng):
		pro = exc.notRunProblem(causeEngineUnavailable, "engine is in a region where the request may not be served")
	case exc.account.Name != "":
		if _, valid := snp.table.Account(exc.request.Key); !valid {
			pro = &problem{status: http.StatusUnauthorized, cause: causeUnknownKey, detail: "the key was taken away"}
		}
	}
	if pro == nil {
		if err := hos.checkEngine(eng, exc.grant); err != nil {
			exc.returnGrant(err)
			pro = exc.notRunProblem(causeBlocked, err.Error())
			pro.grantReturned = true
		}
	}
	if pro == nil {
		if eng.ID != run {
			hos.broker.updateGrant(id, eng.ID)
			exc.exclude = append(exc.exclude, name)
		}
		return eng, nil
	}
	hos.broker.release(reservation.Release{ID: id, Engine: name})
	return fleet.Engine{}, pro
}

// refusalProblem returns the final answer for a coordinator's refusal.
func (exc *exchange) refusalProblem(ref reservation.Refuse) *problem {
	pro := &problem{status: http.StatusServiceUnavailable, cause: causeOverload, retryAfter: ref.RetryAfter, detail: "no engine has room in time"}
	switch ref.Reason {
	case reservation.ReasonLimit:
		pro.status, pro.cause, pro.detail = http.StatusTooManyRequests, causeLimit, "the client account's limit is used up"
	case reservation.ReasonNoShare:
		pro.cause, pro.detail, pro.retryAfter = causeNoShare, "this host has no share of the client account's limit at the moment", notReadyRetry
	case reservation.ReasonBudget:
		pro.cause, pro.detail = causeBudget, "the service's budget of repeats is used up"
	case reservation.ReasonNoEngine:
		pro.cause, pro.detail = causeNoEngine, "no engine is left to try"
	case reservation.ReasonBackoff:
		pro.cause, pro.detail = causeBlocked, "all engines that are left have asked for a pause, or leave"
	case reservation.ReasonRate:
		pro.cause, pro.detail = causeRateLimit, "all engines that are left have named the rate that they take, and others were before"
	case reservation.ReasonRegion:
		pro.cause, pro.detail = causeNoRegion, "no engine is in the regions that the route and the client account allow"
	case reservation.ReasonVersion:
		pro.cause, pro.detail = causeVersionGone, "the software version that began this stream doesn't serve any more, or the stream isn't known"
	case reservation.ReasonCopyStale:
		pro.cause, pro.detail = causeNotReady, "this host hasn't heard from the store or the other hosts for too long to begin a stream that may be resumed"
	case reservation.ReasonPartHeld:
		pro.cause, pro.detail = causeHeld, "engines ended as they began to answer on a part of this prompt, so it isn't run before Retry-After"
	case reservation.ReasonHeld:
		return heldProblem(ref)
	}
	return exc.adjustIfMayHaveRun(pro)
}

// contextProblem returns the final answer after the deadline has passed, the client has
// disconnected, or the host has given the request up since it stops.
func (exc *exchange) contextProblem(err error) *problem {
	if isStopping(err) {
		return exc.notRunProblem(causeStopping, err.Error())
	}
	pro := &problem{status: http.StatusServiceUnavailable, cause: causeDeadline, detail: err.Error()}
	if !errors.Is(err, context.DeadlineExceeded) {
		pro.cause = causeClientDisconnected
	}
	if exc.mayHaveRun {
		pro.status = http.StatusGatewayTimeout
	}
	return pro
}

package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
)

// sendBack notes that a grant isn't used, and why.
func (exc *exchange) sendBack(err error) {
	exc.again = true
	exc.sentBack++
	exc.host.figures.count("GrantsSentBack")
	evt := exc.host.log.Info().Str("Request", exc.request.ID).Str("Engine", exc.engine).Str("DecidedBy", exc.decidedBy)
	evt = evt.AnErr("Because", err)
	var barred *BarredError
	if errors.As(err, &barred) {
		evt = evt.Stringer("Says", barred.Notice.Word)
		if pau, isPause := barred.Notice.Word.(fleet.Pause); isPause {
			evt = evt.Dur("For", pau.Left)
		}
	}
	evt.Msg("grant sent back")
}

// reserve gets an engine for the next attempt, or says why there is none. One that
// the coordinator doesn't know to be gone yet is passed over; of one that wants nothing from
// this host the coordinator has been told.
func (exc *exchange) reserve(ctx context.Context) (fleet.Engine, *problem) {
	gone := 0
	for gone < maxUnsent && exc.sentBack <= maxSentBack {
		eng, pro := exc.reserveOnce(ctx)
		switch {
		case pro == nil:
			return eng, nil
		case pro.sentBack:
		case pro.cause == causeEngineGone:
			gone++
			exc.again = true
			exc.host.log.Info().Str("Request", exc.request.ID).Str("Engine", exc.engine).Str("DecidedBy", exc.decidedBy).
				Msg("granted engine is gone, asking again")
			exc.exclude = append(exc.exclude, exc.engine)
		default:
			return eng, pro
		}
	}
	return fleet.Engine{}, exc.notRun(causeNoEngine, "the engines granted can't be used")
}

// notRun returns the final answer of a request that this attempt didn't run.
func (exc *exchange) notRun(cau cause, detail string) *problem {
	return exc.unlessRun(&problem{status: http.StatusServiceUnavailable, cause: cau, retryAfter: notReadyRetry, detail: detail})
}

// unlessRun takes the promise out of a refusal where an attempt may have run: only
// what certainly hasn't run may be refused as such.
func (exc *exchange) unlessRun(pro *problem) *problem {
	if exc.mayHaveRun {
		pro.status, pro.retryAfter = http.StatusBadGateway, 0
	}
	return pro
}

func (exc *exchange) reserveOnce(ctx context.Context) (fleet.Engine, *problem) {
	hos := exc.host
	asked, askedAt := time.Now(), hos.clock.Now()
	res := reservation.Reserve{
		ID:      request.ID{Prefix: request.Prefix{Epoch: hos.epoch}, Unique: exc.request.ID},
		Service: exc.service, Rank: exc.rank, Urgency: max(0, exc.route.Rank), Account: exc.account.Name,
		PromptTokens: exc.request.PromptTokens, MaxTokens: exc.request.MaxTokens, AnswerTokens: exc.answerTokens(),
		Remaining: exc.remaining(), Domain: hos.set.Domain, Aim: exc.aim(exc.host.clock.Now()), Age: exc.callerAge,
		Route: exc.route.Name, Repeatable: exc.route.Repeatable(),
		Cost: exc.account.Cost(exc.request.Tokens()), Attempt: exc.attempts, Exclude: exc.exclude, Parts: exc.request.Parts,
		Digest: exc.digest, Again: exc.again, Regions: exc.regions,
	}
	if exc.route.Kind != route.KindStreaming {
		res.PromptTokens = 0
	}
	dec, err := hos.desk.reserve(ctx, res)
	exc.waited += time.Since(asked)
	if err != nil {
		return fleet.Engine{}, exc.ended(err)
	}
	exc.decidedBy = dec.by.String()
	if dec.refusal != nil {
		return fleet.Engine{}, exc.refusal(*dec.refusal)
	}
	exc.grant = grant{rate: dec.grant.Rate, cold: dec.grant.Cold, asked: askedAt, at: hos.clock.Now()}
	return exc.granted(dec.grant.Engine, res.ID)
}

// allows reports whether the request may be served at an engine, by its region.
func (exc *exchange) allows(eng fleet.Engine) bool {
	return len(exc.regions) == 0 || slices.Contains(exc.regions, exc.host.set.Regions[eng.Domain])
}

// answerTokens returns the caller's guess of the answer's length, by which it is
// predicted when its slot falls free; of one that has begun the rest isn't known.
func (exc *exchange) answerTokens() int {
	if max(exc.request.LastEvent, exc.lastEvent) > 0 {
		return 0
	}
	return exc.request.HintTokens
}

const (
	// minPatience, aimPatience and pausePatience are how long callers of a stream
	// wait for its next event before they leave: the longest of a time, of so many
	// aims and of so many pauses in time. The platform's callers behave so.
	minPatience   = 2 * time.Second
	aimPatience   = 4
	pausePatience = 8
)

// aim returns within what time the next attempt's answer is still of use. For the
// first one that is the route's aim. A repeat is too late for it as a rule, but
// its caller waits on: a stream that has begun is lost unless it goes on.
func (exc *exchange) aim(now time.Time) time.Duration {
	if exc.attempts == 0 {
		return exc.route.Aim - now.Sub(exc.started)
	}
	left := exc.deadline.Sub(now)
	if exc.route.Kind != route.KindStreaming {
		return left
	}
	heard := exc.started
	if exc.lastHeard.After(heard) {
		heard = exc.lastHeard
	}
	patience := max(minPatience, aimPatience*exc.route.Aim, pausePatience*exc.route.PauseAim)
	return min(left, patience-now.Sub(heard))
}

// granted checks once more what may have changed while the request waited.
func (exc *exchange) granted(name string, id request.ID) (fleet.Engine, *problem) {
	hos := exc.host
	exc.engine = name
	bel := hos.belief.Load()
	var pro *problem
	run := fleet.ParseEngineID(name)
	eng, known := bel.engine(run)
	switch {
	case !exc.route.Public && !hos.trusted(hos.clock.Now()):
		pro = exc.notRun(causeNotReady, "configuration became too old")
	case !known || eng.Draining:
		// The coordinator may have lost the store, and not know yet.
		pro = exc.notRun(causeEngineGone, "engine is gone or leaves")
	case !exc.allows(eng):
		pro = exc.notRun(causeEngineGone, "engine is in a region where the request may not be served")
	case exc.account.Name != "":
		if _, holds := bel.table.Account(exc.request.Key); !holds {
			pro = &problem{status: http.StatusUnauthorized, cause: causeUnknownKey, detail: "the key was taken away"}
		}
	}
	if pro == nil {
		if err := hos.maySend(eng, exc.grant); err != nil {
			exc.sendBack(err)
			pro = exc.notRun(causeBarred, err.Error())
			pro.sentBack = true
		}
	}
	if pro == nil {
		if eng.ID != run {
			hos.desk.moveHold(id, eng.ID)
			exc.exclude = append(exc.exclude, name)
		}
		return eng, nil
	}
	hos.desk.release(reservation.Release{ID: id, Engine: name})
	return fleet.Engine{}, pro
}

// refusal returns the final answer to a coordinator's refusal.
func (exc *exchange) refusal(ref reservation.Refuse) *problem {
	pro := &problem{status: http.StatusServiceUnavailable, cause: causeOverload, retryAfter: ref.RetryAfter, detail: "no engine has room in time"}
	switch ref.Reason {
	case reservation.ReasonLimit:
		pro.status, pro.cause, pro.detail = http.StatusTooManyRequests, causeLimit, "the client account's limit is used up"
	case reservation.ReasonBudget:
		pro.cause, pro.detail = causeBudget, "the service's budget of repeats is used up"
	case reservation.ReasonNoEngine:
		pro.cause, pro.detail = causeNoEngine, "no engine is left to try"
	case reservation.ReasonBackoff:
		pro.cause, pro.detail = causeBarred, "all engines that are left have asked for a pause, or leave"
	case reservation.ReasonRate:
		pro.cause, pro.detail = causeRate, "all engines that are left have named the rate that they take, and others were before"
	case reservation.ReasonRegion:
		pro.cause, pro.detail = causeNoRegion, "no engine is in the regions that the route and the client account allow"
	case reservation.ReasonHeld:
		return heldProblem(ref)
	}
	return exc.unlessRun(pro)
}

// ended returns the final answer when the time or the caller is gone.
func (exc *exchange) ended(err error) *problem {
	pro := &problem{status: http.StatusServiceUnavailable, cause: causeDeadline, detail: err.Error()}
	if !errors.Is(err, context.DeadlineExceeded) {
		pro.cause = causeCallerLeft
	}
	if exc.mayHaveRun {
		pro.status = http.StatusGatewayTimeout
	}
	return pro
}

package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/upstream"
)

const (
	// maxUnsent bounds the engines tried that couldn't even be reached.
	maxUnsent = 3
	// maxAnswerBytes bounds an answer that isn't a stream; it is read whole before
	// the caller gets any of it.
	maxAnswerBytes = 16 << 20
)

// outcome is what an attempt came to.
type outcome uint8

const (
	// outcomeDone has given the caller its answer.
	outcomeDone outcome = iota
	// outcomeUnsent never reached the engine.
	outcomeUnsent
	// outcomeTurnedAway was not run, by the engine's own word.
	outcomeTurnedAway
	// outcomeLost may have run, without an answer that can be passed on.
	outcomeLost
	// outcomeFailed ran and failed, by the engine's own word.
	outcomeFailed
)

// attempt is one engine's part in a request.
type attempt struct {
	outcome outcome
	cause   cause
	err     error
	release reservation.Release
	started time.Time
	// failure is the engine's own answer with outcomeFailed.
	failure *wholeAnswer
}

// wholeAnswer is an engine's answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run sends the request to engines until one serves it or nothing is left to try.
func (exc *exchange) run(ctx context.Context) {
	unsent := 0
	for {
		eng, pro := exc.reserve(ctx)
		if pro != nil {
			exc.refuse(*pro)
			return
		}
		att := exc.attempt(ctx, eng)
		exc.host.desk.release(att.release)
		if att.outcome == outcomeDone {
			exc.logEnd(http.StatusOK, att.cause, "")
			return
		}
		exc.exclude = append(exc.exclude, string(eng.ID))
		exc.mayHaveRun = exc.mayHaveRun || att.outcome == outcomeLost || att.outcome == outcomeFailed
		if att.outcome == outcomeUnsent {
			unsent++
		} else {
			exc.attempts++
		}
		exc.logAttempt(eng, att)
		if ctx.Err() != nil || !exc.mayRepeat(att, unsent) {
			exc.giveUp(ctx, att)
			return
		}
	}
}

func (exc *exchange) logAttempt(eng fleet.Engine, att attempt) {
	evt := exc.host.log.Info().Str("Request", exc.request.ID).Str("Engine", string(eng.ID)).Stringer("Address", eng.Address).
		Str("Cause", string(att.cause)).Int("Attempts", exc.attempts).Bool("MayHaveRun", exc.mayHaveRun).Dur("Took", time.Since(att.started))
	if att.err != nil {
		evt = evt.Err(att.err)
	}
	evt.Msg("attempt failed")
}

// mayRepeat reports whether the request may be sent to another engine.
func (exc *exchange) mayRepeat(att attempt, unsent int) bool {
	switch att.outcome {
	case outcomeUnsent:
		return unsent < maxUnsent
	case outcomeTurnedAway:
		return exc.attempts < exc.route.MaxAttempts
	case outcomeLost, outcomeFailed:
		return exc.attempts < exc.route.MaxAttempts && exc.route.Repeatable()
	case outcomeDone:
		return false
	default:
		return false
	}
}

// reserve gets an engine for the next attempt, or says why there is none. One that
// the coordinator doesn't know to be gone yet is passed over.
func (exc *exchange) reserve(ctx context.Context) (fleet.Engine, *problem) {
	for range maxUnsent {
		eng, pro := exc.reserveOnce(ctx)
		if pro == nil || pro.cause != causeEngineGone {
			return eng, pro
		}
		exc.host.log.Info().Str("Request", exc.request.ID).Str("Engine", exc.engine).Str("DecidedBy", exc.decidedBy).
			Msg("granted engine is gone, asking again")
		exc.exclude = append(exc.exclude, exc.engine)
	}
	return fleet.Engine{}, exc.notRun(causeNoEngine, "the engines granted are gone")
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
	asked := time.Now()
	res := reservation.Reserve{
		ID:      request.ID{Prefix: request.Prefix{Epoch: hos.epoch}, Unique: exc.request.ID},
		Service: exc.service, Rank: exc.rank, Urgency: max(0, exc.route.Rank), Account: exc.account.Name,
		PromptTokens: exc.request.PromptTokens, MaxTokens: exc.request.MaxTokens, AnswerTokens: exc.answerTokens(),
		Remaining: exc.remaining(), Domain: hos.set.Domain, Aim: exc.aim(time.Now()),
		Age:  exc.callerAge,
		Cost: exc.account.Cost(exc.request.Tokens()), Attempt: exc.attempts, Exclude: exc.exclude, Parts: exc.request.Parts,
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
	return exc.granted(dec.grant.Engine, res.ID)
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
	eng, known := bel.engines[fleet.EngineID(name)]
	switch {
	case !exc.route.Public && !hos.trusted(time.Now()):
		pro = exc.notRun(causeNotReady, "configuration became too old")
	case !known || eng.Draining:
		// The coordinator may have lost the store, and not know yet.
		pro = exc.notRun(causeEngineGone, "engine is gone or leaves")
	case exc.account.Name != "":
		if _, holds := bel.table.Account(exc.request.Key); !holds {
			pro = &problem{status: http.StatusUnauthorized, cause: causeUnknownKey, detail: "the key was taken away"}
		}
	}
	if pro == nil {
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

// giveUp gives the caller the final answer after the last attempt.
func (exc *exchange) giveUp(ctx context.Context, att attempt) {
	if err := ctx.Err(); err != nil {
		exc.refuse(*exc.ended(err))
		return
	}
	switch {
	case att.outcome == outcomeFailed && !exc.headSent:
		exc.sendWhole(att.failure)
		exc.logEnd(att.failure.status, causeAnswered, "failure of the engine's own")
	case exc.mayHaveRun:
		exc.refuse(problem{status: http.StatusBadGateway, cause: att.cause, detail: "the request may have run"})
	default:
		exc.refuse(problem{status: http.StatusServiceUnavailable, cause: att.cause, retryAfter: notReadyRetry, detail: "the request has not run"})
	}
}

// attempt sends the request to one engine and passes its answer on.
func (exc *exchange) attempt(ctx context.Context, eng fleet.Engine) attempt {
	att := attempt{started: time.Now()}
	att.release = reservation.Release{
		ID:     request.ID{Prefix: request.Prefix{Epoch: exc.host.epoch}, Unique: exc.request.ID},
		Engine: string(eng.ID), Dispatched: true,
	}
	last := max(exc.request.LastEvent, exc.lastEvent)
	ans, err := exc.host.upstream.Do(ctx, upstream.Call{
		Address: eng.Address, ID: exc.request.ID, Method: exc.request.Method, Target: exc.request.Target,
		Host: exc.request.Host, Body: exc.request.Body,
		Header: platform.EngineHeader(exc.request, platform.Attempt{
			Engine: eng.ID, Account: exc.account.Name, Remaining: exc.remaining(), LastEvent: last,
		}),
	})
	if err != nil {
		return exc.unanswered(ctx, att, err)
	}
	defer ans.Close()
	if ans.Head.NotRun {
		att.outcome, att.cause = outcomeTurnedAway, causeEngineFull
		att.release.Rejected = true
		// Read for its connection alone, which is closed where that fails.
		_, _ = ans.ReadWhole(maxAnswerBytes)
		return att
	}
	if exc.route.Kind == route.KindStreaming && succeeded(ans.Status) {
		return exc.stream(ctx, att, ans)
	}
	return exc.whole(ctx, att, ans)
}

func succeeded(status int) bool {
	return status >= 200 && status < 300
}

// unanswered judges a call without an answer.
func (exc *exchange) unanswered(ctx context.Context, att attempt, err error) attempt {
	att.err = err
	var unsent *upstream.NotSentError
	if errors.As(err, &unsent) {
		att.outcome, att.cause = outcomeUnsent, causeNotReached
		att.release.Dispatched = false
		att.release.Failed = ctx.Err() == nil
		return att
	}
	att.outcome, att.cause = outcomeLost, causeEngineLost
	att.release.Failed = ctx.Err() == nil
	return att
}

// whole reads an answer to its end and passes it on.
func (exc *exchange) whole(ctx context.Context, att attempt, ans *upstream.Answer) attempt {
	body, err := ans.ReadWhole(maxAnswerBytes)
	if err != nil || (succeeded(ans.Status) && !ans.Head.Signed) {
		att.outcome, att.cause, att.err = outcomeLost, causeBadAnswer, err
		att.release.Failed = ctx.Err() == nil
		return att
	}
	att.release.Total = time.Since(att.started)
	answer := &wholeAnswer{status: ans.Status, header: platform.CallerHeader(ans.Header), body: body}
	if !succeeded(ans.Status) {
		att.outcome, att.cause, att.failure = outcomeFailed, causeAnswered, answer
		att.release.Failed = ans.Status >= http.StatusInternalServerError
		return att
	}
	exc.firstAfter = time.Since(exc.started)
	exc.sendWhole(answer)
	att.outcome, att.cause = outcomeDone, causeAnswered
	return att
}

// sendWhole passes a whole answer on as it came.
func (exc *exchange) sendWhole(ans *wholeAnswer) {
	header := exc.writer.Header()
	copyHeader(header, ans.header)
	header.Set("Content-Length", strconv.Itoa(len(ans.body)))
	exc.writer.WriteHeader(ans.status)
	// A caller that has left can't be told anything more.
	_, _ = exc.writer.Write(ans.body)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, given := from["Content-Type"]; !given {
		// A nil value keeps the library from guessing one.
		to["Content-Type"] = nil
	}
}

// stream passes the events of an answer on as they come.
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

// noteEvent counts an event, and tells the coordinator of the first.
func (exc *exchange) noteEvent(att *attempt, evt upstream.Event) {
	att.release.DecodeTokens++
	exc.events++
	now := time.Now()
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
		exc.firstAfter = time.Since(exc.started)
	}
	exc.host.desk.progress(reservation.Progress{ID: att.release.ID, FirstToken: att.release.FirstToken})
}

// sendHead passes the head of the first engine that answered on, once.
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

package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fairqueue"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
)

// engine is the scheduler's state of one engine.
type engine struct {
	fleet.Engine
	// name is the engine's id in messages between hosts.
	name string
	// region is the region of the engine's failure domain; empty if unknown.
	region string
	// stopped is set if a roll-out to another version has stopped the engine.
	stopped bool
	running []*run
	// service is the service in whose list the engine is, at this position; nil if it isn't listed.
	service  *service
	position int
	// ownGrants counts the runs that this core granted.
	ownGrants int
	// unhealthy is set while the engine is among the unhealthy ones of its service.
	unhealthy bool
	// model predicts the engine's prefill and decode times.
	model *pace.Engine
	// prefills are the runs with a pending prefill, in the order of their grants. prefillSince is
	// when the engine began with the first of them.
	prefills     []*run
	prefillSince time.Time
	// serviceTime is the estimated time of a request without a prompt.
	serviceTime time.Duration
	// occupancy is the estimated time that a request with a prompt occupies a slot.
	occupancy time.Duration
	// eventTokens is the number of tokens in one event of an answer.
	eventTokens int
	// cached holds the prompt parts that are assumed to be in the engine's cache, cachedTokens is
	// the number of their tokens. cacheCapacity is the size of the cache in tokens.
	cached        *simplelru.LRU[uint64, int]
	cachedTokens  int
	cacheCapacity int
	health        health
	// pausedUntil is the end of the pause of a brittle engine that has rejected a request.
	pausedUntil time.Time
	// isolatedUntil is the end of the engine's isolation, exclusiveRuns the number of its
	// exclusive runs.
	isolatedUntil time.Time
	exclusiveRuns int
	// crashed is set if the engine was reported to have crashed, at crashedAt. Its entry may still
	// be registered.
	crashed   bool
	crashedAt time.Time
	// signals are the engine's signals in force; nil for none.
	signals *signalState
	// limiter limits the grants of the engine to its signaled rate, and to the configured rate
	// while it is cold; nil if neither applies. rateEnded is set if the engine had a signaled rate
	// limit that has ended.
	limiter   *rateLimiter
	rateEnded bool
	// recorded is set if the store's record of versions opens this engine's. Until then no stream that may be resumed
	// begins here.
	recorded bool
}

// run is a request that was granted an engine.
type run struct {
	engine  *engine
	gateway request.Epoch
	account string
	cost    float64
	// share is who was charged for the run, and work how much. promptTokens is the length of the
	// prompt; 0 if unknown. ownGrant is set if this core granted the run.
	share        fairqueue.Share
	work         time.Duration
	promptTokens int
	ownGrant     bool
	// tokens is the number of prompt tokens to prefill; 0 for a request without a prompt.
	tokens         int
	prefillPending bool
	// prefillTime is the predicted time of the prefill, grantedAt the time of the grant.
	prefillTime time.Duration
	grantedAt   time.Time
	// endsAt is the predicted end of the run.
	endsAt time.Time
	// queued is set if the request had to wait for a slot or for other prefills. Its first event
	// then isn't a measure of the engine's speed.
	queued bool
	// expected is the predicted time to the first token.
	expected time.Duration
	// tookToken is set if the run took a token of the engine's rate limiter, inherited if another
	// core granted it some time ago.
	tookToken bool
	inherited bool
	// cold is set if the engine was cold at the grant, so that the run isn't a measure of its
	// speed when warm.
	cold bool
	// route and repeatable are those of the request if this core granted it. loaded is set if the
	// engine had at least the typical load of an engine of the old version during a roll-out.
	route      string
	repeatable bool
	loaded     bool
	// parts are the digests of the prompt's shared parts. firstEventAt is when the first event arrived, failed is set
	// if the run ended without a complete answer.
	parts        []call.Digest
	firstEventAt time.Time
	failed       bool
	// sound is set once the run has shown that its prompt crashes no engine.
	sound bool
	// stream identifies the resumable stream, 0 for none; streamLife bounds how long it may be resumed.
	stream     affinity.Stream
	streamLife time.Duration
	// subject identifies the request in the quarantine. suspected is set if it was suspected when it was
	// granted, exclusive if it then has the engine for itself, restricted if its traffic source is restricted and only such
	// requests run beside it, watched if it was involved in a crash before.
	subject    quarantine.Subject
	suspected  bool
	exclusive  bool
	restricted bool
	watched    bool
}

// maxCachedParts bounds the number of cached prompt parts tracked per engine.
const maxCachedParts = 4096

// maxExcessRuns bounds the runs beyond an engine's slots that slotWait distinguishes. More than
// maxEngineQueue occur only if several cores have granted the engine independently.
const maxExcessRuns = 8

func newEngine(eng fleet.Engine, model *pace.Engine) *engine {
	ene := &engine{
		Engine: eng, name: eng.ID.String(), model: model, serviceTime: initialServiceTime,
		occupancy: initialOccupancy, eventTokens: 1, cacheCapacity: defaultCacheTokens,
	}
	// NewLRU fails only for a size below 1.
	ene.cached, _ = simplelru.NewLRU(maxCachedParts, func(_ uint64, tokens int) { ene.cachedTokens -= tokens })
	return ene
}

// pendingPrefillTime predicts how long the engine's pending prefills take. A prefill whose first
// event is overdue is assumed to need as long again as it is late, which delays those behind it
// too.
func (ene *engine) pendingPrefillTime(now time.Time) time.Duration {
	if len(ene.prefills) == 0 {
		return 0
	}
	head := ene.prefills[0]
	elapsed := now.Sub(ene.prefillSince)
	late := elapsed - head.prefillTime - ene.model.Overhead()
	left := max(0, head.prefillTime-elapsed, late)
	for _, rnn := range ene.prefills[1:] {
		left += rnn.prefillTime
	}
	return left
}

// start records that the engine was granted a run.
func (ene *engine) start(now time.Time, rnn *run, answerTokens int) {
	rnn.grantedAt, rnn.cold = now, ene.isCold(now)
	rnn.endsAt = now.Add(ene.runTime(rnn, answerTokens))
	if !rnn.prefillPending || rnn.tokens == 0 {
		return
	}
	rnn.prefillTime = ene.model.PrefillTime(rnn.tokens)
	rnn.queued = rnn.queued || len(ene.prefills) > 0
	if len(ene.prefills) == 0 {
		ene.prefillSince = now
	}
	ene.prefills = append(ene.prefills, rnn)
}

// runTime predicts the duration of a run; without a length hint it is the estimated occupancy.
func (ene *engine) runTime(rnn *run, answerTokens int) time.Duration {
	if answerTokens <= 0 {
		return ene.occupancy
	}
	return rnn.expected + ene.decodeTime(answerTokens)
}

// finishPrefill records that the prefill of a run has finished, or that the run has ended.
func (ene *engine) finishPrefill(now time.Time, rnn *run) {
	rnn.prefillPending = false
	pos := slices.Index(ene.prefills, rnn)
	if pos < 0 {
		return
	}
	ene.prefills = slices.Delete(ene.prefills, pos, pos+1)
	if pos > 0 || len(ene.prefills) == 0 {
		return
	}
	// The engine began with the next prefill when it finished this one, which was the model's overhead
	// before the first event arrived. The prefill of a run granted since then counts from now.
	ene.prefillSince = now
	if began := now.Add(-ene.model.Overhead()); began.After(ene.prefills[0].grantedAt) {
		ene.prefillSince = began
	}
}

// uncachedTokens returns the number of prompt tokens that the engine's cache lacks. A part is
// served from the cache only if all parts before it are cached too.
func (ene *engine) uncachedTokens(tokens int, parts []call.Part) int {
	for _, par := range parts {
		if !ene.cached.Contains(par.ID) {
			break
		}
		tokens -= par.Tokens
	}
	return max(1, tokens)
}

// cacheParts adds the prompt's parts to those assumed to be cached.
func (ene *engine) cacheParts(parts []call.Part) {
	for _, par := range parts {
		if _, known := ene.cached.Get(par.ID); known {
			continue
		}
		ene.cached.Add(par.ID, par.Tokens)
		ene.cachedTokens += par.Tokens
	}
	for ene.cachedTokens > int(cacheShare*float64(ene.cacheCapacity)) && ene.cached.Len() > 0 {
		ene.cached.RemoveOldest()
	}
}

// startDelay predicts how long a request waits until the engine begins with it.
func (ene *engine) startDelay(now time.Time, tokens int) time.Duration {
	if tokens == 0 {
		queued := max(0, len(ene.running)-ene.Slots+1)
		return ene.serviceTime * time.Duration(queued) / time.Duration(max(1, ene.Slots))
	}
	return max(ene.pendingPrefillTime(now), ene.slotWait(now))
}

// unloadedFirstEvent predicts the time to the first event on an otherwise idle engine.
func (ene *engine) unloadedFirstEvent(tokens int) time.Duration {
	if tokens == 0 {
		return ene.serviceTime
	}
	return ene.model.PrefillTime(tokens) + ene.model.Overhead()
}

// slotWait predicts how long the next request waits until enough runs have ended for it to get a
// slot.
func (ene *engine) slotWait(now time.Time) time.Duration {
	excess := len(ene.running) - ene.Slots + 1
	if excess <= 0 {
		return 0
	}
	var soonest [maxExcessRuns]time.Duration
	excess = min(excess, maxExcessRuns)
	count := 0
	for _, rnn := range ene.running {
		left := rnn.timeLeft(now)
		pos := count
		for pos > 0 && soonest[pos-1] > left {
			pos--
		}
		if pos >= excess {
			continue
		}
		count = min(count+1, excess)
		copy(soonest[pos+1:count], soonest[pos:count-1])
		soonest[pos] = left
	}
	return soonest[max(0, count-1)]
}

// timeLeft predicts the remaining time of a run. An overdue run is assumed to need half as long
// again as it is late, since long answers are the least predictable.
func (rnn *run) timeLeft(now time.Time) time.Duration {
	left := rnn.endsAt.Sub(now)
	if left < 0 {
		left = -left / 2
	}
	return left
}

// learnPrefill updates the speed model with the measured time to the first event, unless the run
// was queued or the engine was cold.
func (ene *engine) learnPrefill(rnn *run, took time.Duration) {
	if !rnn.queued && !rnn.cold {
		ene.model.ObservePrefill(rnn.tokens, took)
	}
}

// learnServiceTime updates the estimated service time with that of a request without a prompt.
func (ene *engine) learnServiceTime(rnn *run, took time.Duration) {
	if rnn.cold {
		return
	}
	ene.serviceTime += time.Duration(serviceTimeGain * float64(took-ene.serviceTime))
}

// learnOccupancy updates the estimated occupancy with that of a request with a prompt.
func (ene *engine) learnOccupancy(took time.Duration) {
	ene.occupancy += time.Duration(occupancyGain * float64(took-ene.occupancy))
}

// decodeTime predicts the time of an answer from its first event on.
func (ene *engine) decodeTime(answerTokens int) time.Duration {
	return time.Duration(float64(answerTokens) / float64(ene.eventTokens) * float64(ene.model.Event()))
}

// finishProbability returns the probability that a stream ends before its deadline. It takes the
// client's length hint as the median of a log-normal distribution.
func (ene *engine) finishProbability(firstEvent time.Duration, answerTokens int, remaining time.Duration) float64 {
	if answerTokens <= 0 {
		return 1
	}
	available := remaining - firstEvent
	if available <= 0 {
		return 0
	}
	deviation := math.Log2(float64(available)/float64(ene.decodeTime(answerTokens))) / lengthHintDeviation
	return 0.5 * (1 + math.Erf(deviation/math.Sqrt2))
}

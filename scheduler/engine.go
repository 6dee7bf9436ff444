package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
)

// engine is what the scheduler knows of one engine.
type engine struct {
	fleet.Engine
	// name is the run's id as hosts tell it to one another.
	name string
	// region is that of its failure domain; empty where it isn't known.
	region string
	// stopped says that a roll-out to another version has stopped it.
	stopped bool
	running map[request.ID]*run
	// model is how fast it reads prompts and writes answers.
	model *pace.Engine
	// reading are the runs whose prompts it hasn't read, in the order that it got
	// them; headSince is when it began with the first.
	reading   []*run
	headSince time.Time
	// work is the time of a request without a prompt.
	work time.Duration
	// stay is how long a request with a prompt keeps a slot.
	stay time.Duration
	// eventTokens is how many tokens an event of an answer holds.
	eventTokens int
	// parts are the parts of prompts taken to be in the engine's cache.
	parts       *simplelru.LRU[uint64, int]
	partTokens  int
	cacheTokens int
	health      health
	// apartUntil is until when it gets nothing but suspected requests, aloneRuns counts
	// those that it runs.
	apartUntil time.Time
	aloneRuns  int
	// ended says that it was told to have ended, at a time; its entry may outlast it.
	ended   bool
	endedAt time.Time
	// said is what it has said of itself in answers; nil for nothing.
	said *said
	// pacing keeps what it is granted to the rate that it has named, and to what it bears while
	// it is cold; nil for neither. rateEnded says that it had named one, and an answer without
	// came after all that did.
	pacing    *pacing
	rateEnded bool
}

// run is a request that an engine was given.
type run struct {
	engine  *engine
	gateway request.Epoch
	account string
	cost    float64
	// tokens are those to be read; 0 for a request without a prompt.
	tokens int
	unread bool
	// read is how long the engine was predicted to read them, given when it got
	// the run.
	read  time.Duration
	given time.Time
	// ends is when it was predicted to end.
	ends time.Time
	// queued says that it had to wait for a slot or for other prompts, so that its
	// first event tells nothing of the engine's speed.
	queued bool
	// expected is how long the first token was predicted to take.
	expected time.Duration
	// paced says that it took a token of the engine's rate, inherited that another core granted
	// it some time ago.
	paced     bool
	inherited bool
	// cold says that the engine was cold when it got the run: how long that takes tells
	// nothing of a warm one.
	cold bool
	// route and repeatable are the request's, where this scheduler granted it; loaded says
	// that its engine had as much to do as others.
	route      string
	repeatable bool
	loaded     bool
	// subject is the request as far as it matters whether it ends engines. alone says that
	// it may, and has the engine for itself, guarded that those of its sender may, and that
	// only such are beside it; watched that it was part of an end before.
	subject quarantine.Subject
	alone   bool
	guarded bool
	watched bool
}

// maxParts bounds the parts remembered of an engine.
const maxParts = 4096

// maxOver bounds the runs beyond an engine's slots that are told apart; more than
// beyondSlots come only from hosts that decided alone.
const maxOver = 8

func newEngine(eng fleet.Engine, model *pace.Engine) *engine {
	ene := &engine{
		Engine: eng, name: eng.ID.String(), running: make(map[request.ID]*run), model: model, work: assumedWork,
		stay: assumedStay, eventTokens: 1, cacheTokens: assumedCacheTokens,
	}
	// The only error is a size below 1.
	ene.parts, _ = simplelru.NewLRU(maxParts, func(_ uint64, tokens int) { ene.partTokens -= tokens })
	return ene
}

// unreadTime returns how long the engine still reads what it was given. A prompt
// whose first event is overdue is taken to need as long again as it is late: what
// comes behind it waits too.
func (ene *engine) unreadTime(now time.Time) time.Duration {
	if len(ene.reading) == 0 {
		return 0
	}
	head := ene.reading[0]
	spent := now.Sub(ene.headSince)
	late := spent - head.read - ene.model.Overhead()
	left := max(0, head.read-spent, late)
	for _, rnn := range ene.reading[1:] {
		left += rnn.read
	}
	return left
}

// begin notes that the engine got a run.
func (ene *engine) begin(now time.Time, rnn *run, answerTokens int) {
	rnn.given, rnn.cold = now, ene.isCold(now)
	rnn.ends = now.Add(ene.lasting(rnn, answerTokens))
	if !rnn.unread || rnn.tokens == 0 {
		return
	}
	rnn.read = ene.model.ReadTime(rnn.tokens)
	rnn.queued = rnn.queued || len(ene.reading) > 0
	if len(ene.reading) == 0 {
		ene.headSince = now
	}
	ene.reading = append(ene.reading, rnn)
}

// lasting predicts how long a run takes; one whose answer's length isn't known as
// long as others do.
func (ene *engine) lasting(rnn *run, answerTokens int) time.Duration {
	if answerTokens <= 0 {
		return ene.stay
	}
	return rnn.expected + ene.stayTime(answerTokens)
}

// end notes that the engine has read a run's prompt, or has it no more.
func (ene *engine) end(now time.Time, rnn *run) {
	rnn.unread = false
	place := slices.Index(ene.reading, rnn)
	if place < 0 {
		return
	}
	ene.reading = slices.Delete(ene.reading, place, place+1)
	if place > 0 || len(ene.reading) == 0 {
		return
	}
	// It began with the next one when it had read this one, some steps before the
	// first event.
	ene.headSince = now
	if began := now.Add(-ene.model.Overhead()); began.After(ene.reading[0].given) {
		ene.headSince = began
	}
}

// toRead returns how many tokens of a prompt the engine's cache lacks: parts
// count only while all before them are there too.
func (ene *engine) toRead(tokens int, parts []call.Part) int {
	for _, par := range parts {
		if !ene.parts.Contains(par.ID) {
			break
		}
		tokens -= par.Tokens
	}
	return max(1, tokens)
}

// remember takes the prompt's parts to be in the cache.
func (ene *engine) remember(parts []call.Part) {
	for _, par := range parts {
		if _, known := ene.parts.Get(par.ID); known {
			continue
		}
		ene.parts.Add(par.ID, par.Tokens)
		ene.partTokens += par.Tokens
	}
	for ene.partTokens > int(cacheShare*float64(ene.cacheTokens)) && ene.parts.Len() > 0 {
		ene.parts.RemoveOldest()
	}
}

// wait predicts how long a request waits until the engine begins with it.
func (ene *engine) wait(now time.Time, tokens int) time.Duration {
	if tokens == 0 {
		queued := max(0, len(ene.running)-ene.Slots+1)
		return ene.work * time.Duration(queued) / time.Duration(max(1, ene.Slots))
	}
	return max(ene.unreadTime(now), ene.slotWait(now))
}

// alone predicts how long a first event takes where the engine has nothing else to
// do.
func (ene *engine) alone(tokens int) time.Duration {
	if tokens == 0 {
		return ene.work
	}
	return ene.model.ReadTime(tokens) + ene.model.Overhead()
}

// slotWait predicts how long the next request waits for a slot: until as many
// runs have ended as are too many.
func (ene *engine) slotWait(now time.Time) time.Duration {
	over := len(ene.running) - ene.Slots + 1
	if over <= 0 {
		return 0
	}
	var soonest [maxOver]time.Duration
	over = min(over, maxOver)
	count := 0
	for _, rnn := range ene.running {
		left := rnn.left(now)
		place := count
		for place > 0 && soonest[place-1] > left {
			place--
		}
		if place >= over {
			continue
		}
		count = min(count+1, over)
		copy(soonest[place+1:count], soonest[place:count-1])
		soonest[place] = left
	}
	return soonest[max(0, count-1)]
}

// left predicts how much longer a run goes on. One that should have ended is taken
// to need half as long again as it is late: long answers are the least foreseen.
func (rnn *run) left(now time.Time) time.Duration {
	left := rnn.ends.Sub(now)
	if left < 0 {
		left = -left / 2
	}
	return left
}

// learnRead takes in how long a prompt that waited for nothing took to its first
// event.
func (ene *engine) learnRead(rnn *run, took time.Duration) {
	if !rnn.queued && !rnn.cold {
		ene.model.ObserveRead(rnn.tokens, took)
	}
}

// learnWork takes the measured time of a request without a prompt.
func (ene *engine) learnWork(rnn *run, took time.Duration) {
	if rnn.cold {
		return
	}
	ene.work += time.Duration(workGain * float64(took-ene.work))
}

// learnStay takes the measured time of a request with a prompt.
func (ene *engine) learnStay(took time.Duration) {
	ene.stay += time.Duration(stayGain * float64(took-ene.stay))
}

// stayTime predicts how long an answer takes from its first event on.
func (ene *engine) stayTime(answerTokens int) time.Duration {
	return time.Duration(float64(answerTokens) / float64(ene.eventTokens) * float64(ene.model.Event()))
}

// finishChance returns how likely a stream ends before its deadline here: its
// caller's guess of its length is right in the middle, and its logarithm is off
// like a normal variable.
func (ene *engine) finishChance(first time.Duration, answerTokens int, remaining time.Duration) float64 {
	if answerTokens <= 0 {
		return 1
	}
	room := remaining - first
	if room <= 0 {
		return 0
	}
	off := math.Log2(float64(room)/float64(ene.stayTime(answerTokens))) / hintSpread
	return 0.5 * (1 + math.Erf(off/math.Sqrt2))
}

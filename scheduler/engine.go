package scheduler

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
)

// engine is what the scheduler knows of one engine.
type engine struct {
	fleet.Engine
	running map[request.ID]*run
	// pace is the time to read one token of a prompt.
	pace time.Duration
	// work is the time of a request without a prompt.
	work time.Duration
	// stay is how long a request with a prompt keeps a slot.
	stay time.Duration
	// step is the time between two events of an answer, each of eventTokens.
	step        time.Duration
	eventTokens int
	// readUntil is when everything given to the engine so far is read.
	readUntil time.Time
	// parts are the parts of prompts taken to be in the engine's cache.
	parts       *simplelru.LRU[uint64, int]
	partTokens  int
	cacheTokens int
	health      health
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
	// expected is how long the first token was predicted to take.
	expected time.Duration
}

// maxParts bounds the parts remembered of an engine.
const maxParts = 4096

func newEngine(eng fleet.Engine) *engine {
	ene := &engine{
		Engine: eng, running: make(map[request.ID]*run), pace: assumedPace, work: assumedWork,
		stay: assumedStay, step: assumedStep, eventTokens: 1, cacheTokens: assumedCacheTokens,
	}
	// The only error is a size below 1.
	ene.parts, _ = simplelru.NewLRU(maxParts, func(_ uint64, tokens int) { ene.partTokens -= tokens })
	return ene
}

// unreadTime returns how long the engine still reads what it was given.
func (ene *engine) unreadTime(now time.Time) time.Duration {
	return max(0, ene.readUntil.Sub(now))
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

// firstToken predicts how long a request would wait for its first token.
func (ene *engine) firstToken(now time.Time, tokens int) time.Duration {
	if tokens == 0 {
		queued := max(0, len(ene.running)-ene.Slots+1)
		return ene.work + ene.work*time.Duration(queued)/time.Duration(max(1, ene.Slots))
	}
	queued := max(0, len(ene.running)-ene.Slots+1)
	slotWait := ene.stay * time.Duration(queued) / time.Duration(max(1, ene.Slots))
	return max(ene.unreadTime(now), slotWait) + time.Duration(tokens)*ene.pace + firstOverhead
}

// learn takes a measured first token into the pace.
func (ene *engine) learn(rnn *run, took time.Duration) {
	if rnn.tokens < minLearnTokens || rnn.expected <= firstOverhead {
		return
	}
	ratio := float64(max(time.Millisecond, took-firstOverhead)) / float64(rnn.expected-firstOverhead)
	ratio = min(3, max(1.0/3, ratio))
	pace := float64(ene.pace) * (1 + paceGain*(ratio-1))
	ene.pace = min(maxPace, max(minPace, time.Duration(pace)))
}

// learnWork takes the measured time of a request without a prompt.
func (ene *engine) learnWork(took time.Duration) {
	ene.work += time.Duration(paceGain * float64(took-ene.work))
}

// learnStay takes the measured time of a request with a prompt.
func (ene *engine) learnStay(took time.Duration) {
	ene.stay += time.Duration(stayGain * float64(took-ene.stay))
}

// learnStep takes the measured time between the events of an answer.
func (ene *engine) learnStep(events int, took time.Duration) {
	if events < minLearnEvents {
		return
	}
	step := took / time.Duration(events-1)
	ene.step += time.Duration(paceGain * float64(step-ene.step))
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
	need := float64(answerTokens) / float64(ene.eventTokens) * float64(ene.step)
	off := math.Log2(float64(room)/need) / hintSpread
	return 0.5 * (1 + math.Erf(off/math.Sqrt2))
}

// read says that the engine has read a run's prompt.
func (ene *engine) read(now time.Time, rnn *run) {
	rnn.unread = false
	if ene.unreadCount() == 0 {
		ene.readUntil = now
	}
}

func (ene *engine) unreadCount() int {
	count := 0
	for _, rnn := range ene.running {
		if rnn.unread && rnn.tokens > 0 {
			count++
		}
	}
	return count
}

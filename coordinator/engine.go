package coordinator

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
)

// The speeds to start from where the engine's resource names none, in tokens a second.
const (
	defaultPrefillSpeed = 4000
	defaultDecodeSpeed  = 40
)

// learnRate is the weight of a new measurement of an engine's speed.
const learnRate = 0.2

// minMeasuredTime is the shortest run whose speed is learned from; shorter ones
// measure the network.
const minMeasuredTime = 5 * time.Millisecond

// ejectionTime is for how long an engine that failed gets nothing new.
const ejectionTime = time.Second

// engineState is what a coordinator knows of one engine.
type engineState struct {
	engine resource.Engine
	// slots is this host's share of the engine's slots.
	slots  int
	deputy bool
	held   map[request.ID]*hold
	// prefill and decode are the learned speeds, in tokens a second.
	prefill  float64
	decode   float64
	prefixes *prefixSet
	// ready is when grants may start: before it, a former coordinator's grants
	// are still being told.
	readyAt      time.Time
	ejectedUntil time.Time
	draining     bool
}

// hold is one slot in use.
type hold struct {
	gateway request.Epoch
	// prefilled is when the request's prompt is expected to be done.
	prefilled time.Time
	// orphaned is when the gateway was lost; zero while it is there.
	orphaned time.Time
}

func newEngineState(eng resource.Engine, ready time.Time) *engineState {
	ens := &engineState{held: make(map[request.ID]*hold), prefixes: newPrefixSet(), readyAt: ready}
	ens.prefill = orDefault(eng.PrefillTokensPerSecond, defaultPrefillSpeed)
	ens.decode = orDefault(eng.DecodeTokensPerSecond, defaultDecodeSpeed)
	return ens
}

func orDefault(val, def float64) float64 {
	if val <= 0 {
		return def
	}
	return val
}

func (ens *engineState) free(now time.Time) int {
	if ens.draining || ens.engine.Leaving || now.Before(ens.readyAt) || now.Before(ens.ejectedUntil) {
		return 0
	}
	return max(0, ens.slots-len(ens.held))
}

// predict returns the run time of a request on the engine.
func (ens *engineState) predict(prompt, cached, maxTokens int) time.Duration {
	seconds := float64(max(0, prompt-cached))/ens.prefill + float64(maxTokens)/ens.decode
	return time.Duration(seconds * float64(time.Second))
}

// pendingPrefillTime is how long the engine is expected to work on prompts that were
// granted already: until then every stream on it is slow.
func (ens *engineState) pendingPrefillTime(now time.Time) time.Duration {
	var total time.Duration
	for _, hol := range ens.held {
		total += max(0, hol.prefilled.Sub(now))
	}
	return total
}

// prefillTime is how long the engine works on a prompt.
func (ens *engineState) prefillTime(res reservation.Reserve) time.Duration {
	uncached := res.PromptTokens
	if ens.prefixes.has(res.PrefixHash) {
		uncached -= res.PrefixTokens
	}
	return ens.predict(uncached, 0, 0)
}

// learn corrects the engine's speeds by one finished run.
func (ens *engineState) learn(prefillTokens, decodeTokens int, firstToken, total time.Duration) {
	if prefillTokens > 0 && firstToken >= minMeasuredTime {
		ens.prefill = blend(ens.prefill, float64(prefillTokens)/firstToken.Seconds())
	}
	if decode := total - firstToken; decodeTokens > 1 && decode >= minMeasuredTime {
		ens.decode = blend(ens.decode, float64(decodeTokens-1)/decode.Seconds())
	}
}

func blend(old, measured float64) float64 {
	return old*(1-learnRate) + measured*learnRate
}

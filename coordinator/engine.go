package coordinator

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
)

// The initial speeds, in tokens per second, of an engine whose resource sets none.
const (
	defaultPrefillSpeed = 4000
	defaultDecodeSpeed  = 40
)

// speedSmoothing is the weight of a new measurement in the moving average of a speed.
const speedSmoothing = 0.2

// minMeasuredTime is the shortest time from which a speed is computed. Shorter times
// consist mostly of network delay.
const minMeasuredTime = 5 * time.Millisecond

// ejectionTime is how long an engine gets no grants after a failure.
const ejectionTime = time.Second

// engineState is the coordinator's state of one engine.
type engineState struct {
	engine resource.Engine
	// slots is this host's share of the engine's slots.
	slots int
	// deputy is set if another host is the engine's main coordinator. This host's slots
	// let the gateways in that host's failure domain use the engine, too.
	deputy bool
	held   map[request.ID]*heldSlot
	// prefill and decode are the estimated speeds, in tokens per second.
	prefill  float64
	decode   float64
	prefixes *prefixSet
	// readyAt is when grants may start. Until then, the gateways report the slots that
	// previous coordinators granted.
	readyAt      time.Time
	ejectedUntil time.Time
	draining     bool
}

// heldSlot is one occupied slot.
type heldSlot struct {
	gateway request.Epoch
	// prefilled is when the request's prefill is expected to finish.
	prefilled time.Time
	// orphaned is when the gateway was lost; zero while it is connected.
	orphaned time.Time
}

func newEngineState(eng resource.Engine, ready time.Time) *engineState {
	ens := &engineState{held: make(map[request.ID]*heldSlot), prefixes: newPrefixSet(), readyAt: ready}
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

func (ens *engineState) freeSlots(now time.Time) int {
	if ens.draining || ens.engine.Leaving || now.Before(ens.readyAt) || now.Before(ens.ejectedUntil) {
		return 0
	}
	return max(0, ens.slots-len(ens.held))
}

// predict returns the predicted run time of a request on the engine. prompt, cached
// and maxTokens are in tokens.
func (ens *engineState) predict(prompt, cached, maxTokens int) time.Duration {
	seconds := float64(max(0, prompt-cached))/ens.prefill + float64(maxTokens)/ens.decode
	return time.Duration(seconds * float64(time.Second))
}

// pendingPrefillTime returns the predicted time until the prefills of the running
// requests are finished. Until then, every answer stream of the engine is slow.
func (ens *engineState) pendingPrefillTime(now time.Time) time.Duration {
	var total time.Duration
	for _, hol := range ens.held {
		total += max(0, hol.prefilled.Sub(now))
	}
	return total
}

// prefillTime returns the predicted prefill time of a reservation on the engine.
func (ens *engineState) prefillTime(res reservation.Reserve) time.Duration {
	uncached := res.PromptTokens
	if ens.prefixes.has(res.PrefixHash) {
		uncached -= res.PrefixTokens
	}
	return ens.predict(uncached, 0, 0)
}

// updateSpeeds updates the estimated speeds with the measurements of one finished run.
func (ens *engineState) updateSpeeds(prefillTokens, decodeTokens int, firstToken, total time.Duration) {
	if prefillTokens > 0 && firstToken >= minMeasuredTime {
		ens.prefill = blend(ens.prefill, float64(prefillTokens)/firstToken.Seconds())
	}
	if decode := total - firstToken; decodeTokens > 1 && decode >= minMeasuredTime {
		ens.decode = blend(ens.decode, float64(decodeTokens-1)/decode.Seconds())
	}
}

func blend(old, measured float64) float64 {
	return old*(1-speedSmoothing) + measured*speedSmoothing
}

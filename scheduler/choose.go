package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/reservation"
)

// choice is the engine for a request; nil for none.
type choice struct {
	engine *engine
	// tokens are those that the engine reads of the prompt.
	tokens int
	cost   time.Duration
	// unlikely says that an engine was passed over since the stream would hardly
	// end there in time.
	unlikely bool
}

// candidate is an engine that has room for a request, and what is predicted there.
type candidate struct {
	engine *engine
	tokens int
	// first is when its first event would come, alone without what else the engine
	// has to do.
	first time.Duration
	alone time.Duration
}

// choose returns the engine with room that serves the request best. Where all of
// them would be late, it is the one with the first answer.
func (cor *Core) choose(now time.Time, svc *service, wai *waiter) choice {
	var cho choice
	var late candidate
	res := wai.reserve
	aim := res.Aim - now.Sub(wai.since)
	aside := svc.asideAllowed(now)
	quickest := time.Duration(0)
	for _, ene := range svc.engines {
		if ene.Draining || slices.Contains(res.Exclude, string(ene.ID)) || (aside && !ene.health.usable(now)) {
			continue
		}
		can := ene.candidate(now, res)
		if quickest == 0 || can.alone < quickest {
			quickest = can.alone
		}
		if !ene.hasRoom(now, cor.strangers()) {
			continue
		}
		if can.first > aim {
			if len(ene.running) <= ene.Slots/2 && (late.engine == nil || can.first < late.first) {
				late = can
			}
			continue
		}
		chance := ene.finishChance(can.first, res.AnswerTokens, res.Remaining)
		if chance < minChance && len(ene.running) >= ene.Slots/2 {
			cho.unlikely = true
			continue
		}
		cost := ene.costOf(res, can, chance)
		if cho.engine == nil || cost < cho.cost {
			cho.engine, cho.tokens, cho.cost = ene, can.tokens, cost
		}
	}
	if cho.engine == nil && late.engine != nil && late.bearable(res.Aim, quickest) {
		cho.engine, cho.tokens = late.engine, late.tokens
	}
	return cho
}

// bearable reports whether a late answer is still of use: callers wait for some
// times their aim. Where no engine could do it sooner, by itself, the wait is
// measured by the quickest instead.
func (can candidate) bearable(aim, quickest time.Duration) bool {
	return can.first < time.Duration(lateShare*float64(max(aim, quickest)))
}

// candidate returns what is predicted for a request at the engine.
func (ene *engine) candidate(now time.Time, res reservation.Reserve) candidate {
	can := candidate{engine: ene}
	if res.PromptTokens > 0 {
		can.tokens = ene.toRead(res.PromptTokens, res.Parts)
	}
	can.first = ene.firstToken(now, can.tokens)
	can.alone = ene.alone(can.tokens)
	return can
}

// maxStrangers bounds how many others are taken to use the engines unseen: more
// than a few dozen hosts that each give an engine one request fill it as well.
const maxStrangers = 16

// strangers returns how many times its own use of the engines this core takes all
// of it to be. Where it decides for most hosts, the rest hardly counts: hosts that
// were just lost are still among them.
func (cor *Core) strangers() float64 {
	if cor.parts < 2 {
		return 1
	}
	return min(maxStrangers, cor.parts)
}

// hasRoom reports whether the engine is given more at all, where its whole use is
// so many times what this core sees of it.
func (ene *engine) hasRoom(now time.Time, times float64) bool {
	running := times * float64(len(ene.running))
	unread := time.Duration(times * float64(ene.unreadTime(now)))
	return running < float64(ene.Slots+beyondSlots) && unread <= unreadLimit
}

// costOf returns what the engine counts in the choice for a request: its time to
// the first token, and what its load, its place and a stream cut short add to it.
func (ene *engine) costOf(res reservation.Reserve, can candidate, chance float64) time.Duration {
	cost := can.first + loadCost*time.Duration(len(ene.running))/time.Duration(max(1, ene.Slots))
	cost += time.Duration((1 - chance) * float64(finishCost))
	if ene.Domain != res.Domain {
		cost += crossCost
	}
	return cost
}

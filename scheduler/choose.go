package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/reservation"
)

// candidate is an engine that may serve a request, and what is predicted there.
type candidate struct {
	engine *engine
	// tokens are those that it would read of the prompt.
	tokens int
	// alone is how long the first event would take if the engine had nothing else to
	// do, first what it takes as things are; that is predicted where there is room.
	alone time.Duration
	first time.Duration
}

// choice is the candidate for a request; without an engine for none.
type choice struct {
	candidate
	cost time.Duration
}

// choose returns the engine with room that serves the request best. Where all of
// them would be late, it is the one with the soonest first event.
func (cor *Core) choose(now time.Time, svc *service, wai *waiter) candidate {
	var cho choice
	var late candidate
	var quickest time.Duration
	res := wai.reserve
	aim := wai.aimLeft(now)
	aside := svc.asideAllowed(now)
	yields := wai.late && svc.overloaded(now)
	for _, ene := range svc.engines {
		if ene.Draining || slices.Contains(res.Exclude, string(ene.ID)) || (aside && !ene.health.usable(now)) {
			continue
		}
		can := ene.candidate(res)
		if quickest == 0 || can.alone < quickest {
			quickest = can.alone
		}
		if !ene.hasRoom(now) || (yields && !ene.hasSlot()) {
			continue
		}
		can.first = ene.wait(now, can.tokens) + can.alone
		switch {
		case can.first <= aim:
			cho.weigh(can, res)
		case ene.halfFree() && (late.engine == nil || can.first < late.first):
			late = can
		}
	}
	if cho.engine == nil && late.engine != nil && late.bearable(res.Aim, quickest) {
		return late
	}
	return cho.candidate
}

// aimLeft returns within what time the first of the answer is in time. One that
// can't be any more is served as soon as if it were new.
func (wai *waiter) aimLeft(now time.Time) time.Duration {
	left := wai.reserve.Aim - now.Sub(wai.since)
	if !wai.late {
		left -= wai.reserve.Age
	}
	return left
}

// weigh takes the candidate if it is better than the one chosen so far.
func (cho *choice) weigh(can candidate, res reservation.Reserve) {
	chance := can.engine.finishChance(can.first, res.AnswerTokens, res.Remaining)
	cost := can.engine.costOf(res, can, chance)
	if cho.engine == nil || cost < cho.cost {
		*cho = choice{candidate: can, cost: cost}
	}
}

// bearable reports whether a late answer is still of use: callers wait for some
// times their aim. Where no engine could do it sooner, by itself, the wait is
// measured by the quickest instead.
func (can candidate) bearable(aim, quickest time.Duration) bool {
	return can.first < time.Duration(lateShare*float64(max(aim, quickest)))
}

// candidate returns what is predicted for a request at the engine by itself.
func (ene *engine) candidate(res reservation.Reserve) candidate {
	can := candidate{engine: ene}
	if res.PromptTokens > 0 {
		can.tokens = ene.toRead(res.PromptTokens, res.Parts)
	}
	can.alone = ene.alone(can.tokens)
	return can
}

// hasRoom reports whether the engine is given more at all.
func (ene *engine) hasRoom(now time.Time) bool {
	return len(ene.running) < ene.Slots+beyondSlots && ene.unreadTime(now) <= unreadLimit
}

// hasSlot reports whether the engine has a slot free. In overload who can't be in time
// any more doesn't wait at an engine for one: that place is worth more to who can,
// 0.005 of the credit of days with trouble, 0.02 of the hardest. Where nobody else
// needs it, refusing it would cost up to 0.015.
func (ene *engine) hasSlot() bool {
	return len(ene.running) < ene.Slots
}

// overloaded reports whether the service lately refused requests that could have been
// in time.
func (svc *service) overloaded(now time.Time) bool {
	return now.Sub(svc.refusedAt) < overloadMemory
}

// halfFree reports whether at least half of the engine's slots are free, so that a
// late request holds up little that could be in time.
func (ene *engine) halfFree() bool {
	return len(ene.running) <= ene.Slots/2
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

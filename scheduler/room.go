package scheduler

import "math/bits"

// engineSet is a set of a service's engines, as positions in the list of engines. The engines that have
// room are kept in such sets: in overload nearly all are full, and the search for an engine then costs
// next to nothing, however many there are.
type engineSet struct {
	words []uint64
	count int
}

const wordBits = 64

// reset empties the set, for a number of engines.
func (set *engineSet) reset(engines int) {
	set.words = make([]uint64, (engines+wordBits-1)/wordBits)
	set.count = 0
}

func (set *engineSet) isEmpty() bool { return set.count == 0 }

func (set *engineSet) put(pos int, has bool) {
	word, bit := &set.words[pos/wordBits], uint64(1)<<(pos%wordBits)
	if (*word&bit != 0) == has {
		return
	}
	*word ^= bit
	if has {
		set.count++
	} else {
		set.count--
	}
}

// has reports whether the set contains a position.
func (set *engineSet) has(pos int) bool {
	return set.words[pos/wordBits]&(uint64(1)<<(pos%wordBits)) != 0
}

// all yields the positions in ascending order.
func (set *engineSet) all(yield func(int) bool) {
	for idx, word := range set.words {
		for ; word != 0; word &= word - 1 {
			if !yield(idx*wordBits + bits.TrailingZeros64(word)) {
				return
			}
		}
	}
}

// list adds an engine to the service's list.
func (svc *service) list(ene *engine) {
	ene.service, ene.position = svc, len(svc.engines)
	svc.engines = append(svc.engines, ene)
	if ene.unhealthy {
		svc.unhealthy = append(svc.unhealthy, ene)
	}
}

// isListed reports whether the engine is in its service's list. Runs may outlast the entry of their
// engine.
func (ene *engine) isListed() bool { return ene.service != nil }

// addRun adds a run to the engine.
func (ene *engine) addRun(rnn *run) {
	ene.running = append(ene.running, rnn)
	if rnn.ownGrant {
		ene.ownGrants++
	}
	ene.updateRoom()
}

// removeRun removes a run from the engine.
func (ene *engine) removeRun(rnn *run) {
	for pos, other := range ene.running {
		if other == rnn {
			last := len(ene.running) - 1
			ene.running[pos], ene.running[last] = ene.running[last], nil
			ene.running = ene.running[:last]
			if rnn.ownGrant {
				ene.ownGrants--
			}
			break
		}
	}
	ene.updateRoom()
}

func (ene *engine) updateRoom() {
	if ene.isListed() {
		ene.service.room.put(ene.position, ene.hasQueueRoom())
		ene.service.free.put(ene.position, ene.hasSlot())
	}
}

// hasQueueRoom reports whether the engine may be granted further requests by the number of its runs.
func (ene *engine) hasQueueRoom() bool {
	if !ene.isListed() {
		return len(ene.running) < ene.Slots+maxEngineQueue
	}
	return len(ene.running) < ene.Slots+ene.service.engineQueue
}

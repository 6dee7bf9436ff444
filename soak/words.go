package soak

import (
	"fmt"
	"net/netip"
	"time"

	"lynxwell.dev/lynxwell/upstreamtest"
	"lynxwell.dev/lynxwell/visitor"
)

const (
	// leaveWordBound is after what time a host that has passed on an engine's word that it
	// leaves sends it nothing more: the users' bound.
	leaveWordBound = 2 * time.Second
	// pauseBound is from when on an engine that asked a host for a pause gets no more than
	// maxInPause requests from it until the pause's end: the users' bounds.
	pauseBound = 500 * time.Millisecond
	maxInPause = 2
	// maxPause is the longest pause that an engine asks for.
	maxPause = 3 * time.Second
)

// engineSays has an engine say something of itself in its answers: that it leaves, which
// its entry doesn't tell, or that it wants a pause. Engines that turned all away before serve
// again, some of them.
func (sys *system) engineSays() {
	for _, eng := range sys.engines {
		if eng.pauses && sys.words.IntN(2) == 0 {
			sys.endPause(eng)
		}
	}
	eng := sys.engines[sys.words.IntN(len(sys.engines))]
	if eng.hasEnded() || eng.saysLeaves {
		return
	}
	if sys.words.IntN(4) == 0 {
		eng.saysLeaves = true
		sys.word(eng, upstreamtest.Word{Leaves: true, Rate: eng.rate})
		sys.addEngine(fmt.Sprintf("%s-%d", eng.id, len(sys.engines)), eng.service)
		return
	}
	eng.pauses = true
	sys.word(eng, upstreamtest.Word{Rate: eng.rate, Pause: time.Second + time.Duration(sys.words.Int64N(int64(maxPause-time.Second)))})
}

// endPauses has all engines serve again.
func (sys *system) endPauses() {
	for _, eng := range sys.engines {
		if eng.pauses {
			sys.endPause(eng)
		}
	}
}

func (sys *system) endPause(eng *engine) {
	eng.pauses = false
	sys.word(eng, upstreamtest.Word{Rate: eng.rate})
}

func (sys *system) word(eng *engine, word upstreamtest.Word) {
	if eng.hasEnded() {
		return
	}
	sys.t.Log(time.Now().Format("05.000"), eng.id, "says", word)
	sys.tell(eng, upstreamtest.PathWord, word)
}

// checkWords holds what reached engines against what they had said to the host before.
func (sys *system) checkWords(sent []sending) {
	sys.t.Helper()
	attempts := make(map[string]visitor.Attempt)
	for _, snd := range sent {
		for _, att := range snd.result.Attempts {
			attempts[att.ID] = att
		}
	}
	words := 0
	for _, eng := range sys.engines {
		if eng.hasEnded() {
			// What it knew is lost with it.
			continue
		}
		by := make(map[netip.AddrPort][]upstreamtest.Arrival)
		for _, arr := range read[upstreamtest.Arrival](sys, eng, upstreamtest.PathArrivals) {
			if arr.Leaves || arr.Pause > 0 || arr.Rate != nil {
				words++
			}
			if att, known := attempts[arr.ID]; known {
				by[att.Address] = append(by[att.Address], arr)
			}
		}
		for _, hos := range sys.hosts {
			arrivals := by[hos.set.CallerAddress]
			sys.checkLeave(eng, hos, arrivals, attempts)
			sys.checkPauses(eng, hos, arrivals)
		}
		sys.checkRates(eng, by, attempts)
	}
	sys.t.Logf("%d answers in which engines spoke of themselves", words)
}

func (sys *system) checkLeave(eng *engine, hos *host, arrivals []upstreamtest.Arrival, attempts map[string]visitor.Attempt) {
	for _, first := range arrivals {
		att := attempts[first.ID]
		if !first.Leaves || first.Silent || att.Status == 0 || att.Err != nil {
			continue
		}
		passedOn := att.Sent.Add(att.Took)
		for _, arr := range arrivals {
			late := attempts[arr.ID].Sent.Sub(passedOn)
			if late > leaveWordBound && !hos.disturbedIn(first.At, arr.At) {
				sys.t.Errorf("%s sent %s to %s, which had told it %s before that it leaves", hos.set.Name, arr.ID, eng.id, late)
			}
		}
		return
	}
}

func (sys *system) checkPauses(eng *engine, hos *host, arrivals []upstreamtest.Arrival) {
	for _, asked := range arrivals {
		if asked.Pause == 0 || hos.disturbedIn(asked.At.Add(-time.Second), asked.At.Add(asked.Pause)) {
			continue
		}
		count := 0
		for _, arr := range arrivals {
			if since := arr.At.Sub(asked.At); since > pauseBound && since < asked.Pause {
				count++
			}
		}
		if count > maxInPause {
			sys.t.Errorf("%s sent %d requests to %s in a pause of %s that it had asked for", hos.set.Name, count, eng.id, asked.Pause)
		}
	}
}

// disturbedIn reports whether the host was killed, stopped, started or frozen in between.
func (hos *host) disturbedIn(from, until time.Time) bool {
	for _, at := range hos.disturbed {
		if !at.Before(from) && !at.After(until) {
			return true
		}
	}
	return false
}

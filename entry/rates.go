package entry

import (
	"sync"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/upstream"
)

// ratePause is how often, at most, a line tells of a run's rate: an engine may name another
// one with each answer.
const ratePause = time.Second

// rates are the rates that engines have named in their answers to this host.
type rates struct {
	host  *Host
	mutex sync.Mutex
	heard *fleet.Rates
	// loggedAt is when a line last told of a run's rate.
	loggedAt map[fleet.EngineID]time.Time
}

func newRates(hos *Host) *rates {
	return &rates{host: hos, heard: fleet.NewRates(), loggedAt: make(map[fleet.EngineID]time.Time)}
}

// take notes what the head of an answer says of the rate that its engine takes.
func (rts *rates) take(hrd upstream.Heard) {
	if hrd.Head.Misdirected || hrd.Head.Instance != "" && hrd.Head.Instance != hrd.Engine.Name {
		// Another engine's word.
		return
	}
	now := rts.host.clock.Now()
	rts.mutex.Lock()
	defer rts.mutex.Unlock()
	switch {
	case hrd.Head.HasRate:
		news := rts.heard.Take(now, fleet.Rate{Run: hrd.Engine, PerSecond: hrd.Head.Rate})
		rts.host.figures.count("EngineRates.Named")
		rts.log(now, hrd, "engine names a rate", news)
	case hrd.Head.UnreadRate != "":
		// What it named before holds on.
		rts.host.figures.count("EngineRates.Unread")
		rts.log(now, hrd, "rate that an engine names is not taken", true)
	case !hrd.Stray && rts.heard.End(hrd.Engine, hrd.Sent):
		rts.host.figures.count("EngineRates.Ended")
		rts.log(now, hrd, "engine names no rate any more", true)
	}
}

// log writes what is news; the mutex is held.
func (rts *rates) log(now time.Time, hrd upstream.Heard, what string, news bool) {
	if !news || now.Sub(rts.loggedAt[hrd.Engine]) < ratePause {
		return
	}
	rts.loggedAt[hrd.Engine] = now
	evt := rts.host.log.Info().Stringer("Engine", hrd.Engine).Stringer("Address", hrd.Address).Str("AnswerTo", hrd.Head.ID)
	if rat, known := rts.heard.Known(hrd.Engine); known {
		evt = evt.Float64("PerSecond", rat.PerSecond)
	}
	if hrd.Head.UnreadRate != "" {
		evt = evt.Str("Unread", hrd.Head.UnreadRate)
	}
	evt.Msg(what)
}

// forget drops the rates of runs that are gone.
func (rts *rates) forget(bel *belief) {
	now := rts.host.clock.Now()
	rts.mutex.Lock()
	defer rts.mutex.Unlock()
	rts.heard.Forget(now, bel.lists)
	for run, at := range rts.loggedAt {
		if now.Sub(at) >= ratePause {
			delete(rts.loggedAt, run)
		}
	}
}

package fleet

import (
	"maps"
	"time"
)

// unlistedFor is for how long a notice is kept of a run that isn't listed: an entry that
// lapsed in an outage is back within about two seconds of its end, and one that was held up
// on its way as late as the longest outage that was seen, half a minute.
const unlistedFor = time.Minute

// Notices are what engines have said of themselves in their answers to one host. An answer
// comes straight from the engine, also while the store is away or hasn't taken what the
// engine wrote there, so it goes before the engine's entry: a run that said it leaves is
// leaving, whatever an entry of the same run says, since entries are late and answers
// aren't. Another run is another engine, also under the same name or at the same address.
type Notices struct {
	// gone are the runs that leave or are replaced, by what they said.
	gone map[EngineID]Word
	// pauses are until when runs want nothing.
	pauses map[EngineID]time.Time
	// limits are the rates that runs take.
	limits map[EngineID]NamedLimit
	// cold is until when runs have said to be cold.
	cold map[EngineID]time.Time
	// listed is when each run with a notice was last listed.
	listed map[EngineID]time.Time
}

// NamedLimit is a rate, and when the run last named it.
type NamedLimit struct {
	RateLimit
	At time.Time
}

// NewNotices returns the notices of a host that has heard nothing yet.
func NewNotices() *Notices {
	return &Notices{
		gone: make(map[EngineID]Word), pauses: make(map[EngineID]time.Time),
		limits: make(map[EngineID]NamedLimit), cold: make(map[EngineID]time.Time), listed: make(map[EngineID]time.Time),
	}
}

// Take notes what a run said now, and reports whether it is news: its leave for the first
// time, a pause where none was kept, a rate where none or another one was. A shorter pause
// doesn't end a longer one, and that it leaves doesn't lapse with a pause.
func (ntc *Notices) Take(now time.Time, not Notice) bool {
	if not.Word == nil {
		return false
	}
	ntc.listed[not.Run] = now
	switch wrd := not.Word.(type) {
	case Leaving, Replaced:
		_, known := ntc.gone[not.Run]
		ntc.gone[not.Run] = wrd
		return !known
	case Pause:
		former := ntc.pauses[not.Run]
		if until := now.Add(wrd.Left); until.After(former) {
			ntc.pauses[not.Run] = until
		}
		return !now.Before(former)
	case RateLimit:
		former, known := ntc.limits[not.Run]
		ntc.limits[not.Run] = NamedLimit{RateLimit: wrd, At: now}
		return !known || former.RateLimit != wrd
	case Cold:
		former := ntc.cold[not.Run]
		if until := now.Add(wrd.Left); until.After(former) {
			ntc.cold[not.Run] = until
		}
		return !now.Before(former)
	case Unlimited:
		_, known := ntc.limits[not.Run]
		delete(ntc.limits, not.Run)
		return known
	default:
		return false
	}
}

// Bar returns the word that keeps this host from sending anything to a run, with what is left
// of a pause; nil for none.
func (ntc *Notices) Bar(now time.Time, run EngineID) Word {
	if wrd, gone := ntc.gone[run]; gone {
		return wrd
	}
	if left := ntc.pauses[run].Sub(now); left > 0 {
		return Pause{Left: left}
	}
	return nil
}

// ColdFor returns for how much longer a run is cold by its own word.
func (ntc *Notices) ColdFor(now time.Time, run EngineID) time.Duration {
	return max(0, ntc.cold[run].Sub(now))
}

// Limit returns the rate that a run last named, and whether it holds.
func (ntc *Notices) Limit(run EngineID) (NamedLimit, bool) {
	lim, holds := ntc.limits[run]
	return lim, holds
}

// EndsLimit reports whether an answer without a rate, to a request that was sent at a time,
// ends the one that the run had named. An answer to what was sent before that may be older.
func (ntc *Notices) EndsLimit(run EngineID, sent time.Time) bool {
	lim, known := ntc.limits[run]
	return known && sent.After(lim.At)
}

// Current returns all that holds now, in no order.
func (ntc *Notices) Current(now time.Time) []Notice {
	var current []Notice
	for run := range ntc.listed {
		if wrd := ntc.Bar(now, run); wrd != nil {
			current = append(current, Notice{Run: run, Word: wrd})
		}
		if lim, holds := ntc.Limit(run); holds {
			current = append(current, Notice{Run: run, Word: lim.RateLimit})
		}
		if left := ntc.ColdFor(now, run); left > 0 {
			current = append(current, Notice{Run: run, Word: Cold{Left: left}})
		}
	}
	return current
}

// Forget drops what has lapsed, and the notices of runs that aren't listed any more.
func (ntc *Notices) Forget(now time.Time, isListed func(EngineID) bool) {
	lapsed := func(_ EngineID, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(ntc.pauses, lapsed)
	maps.DeleteFunc(ntc.cold, lapsed)
	for run, last := range ntc.listed {
		_, gone := ntc.gone[run]
		_, pauses := ntc.pauses[run]
		_, limited := ntc.limits[run]
		switch {
		case !gone && !pauses && !limited && ntc.ColdFor(now, run) == 0:
			delete(ntc.listed, run)
		case isListed(run):
			ntc.listed[run] = now
		case now.Sub(last) >= unlistedFor && !pauses:
			delete(ntc.listed, run)
			delete(ntc.gone, run)
			delete(ntc.limits, run)
		}
	}
}

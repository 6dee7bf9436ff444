package fleet

import (
	"maps"
	"time"
)

// Bar is why a host may not send an engine anything new, by what the engine has answered
// that host.
type Bar uint8

const (
	// BarNone is no reason.
	BarNone Bar = iota
	// BarDraining is an engine that has said that it leaves.
	BarDraining
	// BarReplaced is an engine at whose address another one has answered.
	BarReplaced
	// BarBackoff is an engine that has asked this host for a pause.
	BarBackoff
)

// String returns the bar's name.
func (bar Bar) String() string {
	names := [...]string{"None", "Draining", "Replaced", "Backoff"}
	if int(bar) >= len(names) {
		return "Invalid"
	}
	return names[bar]
}

// Notice is what an engine has said of itself in an answer.
type Notice struct {
	Run EngineID
	Bar Bar
	// Left is for how much longer it holds with BarBackoff; the others hold for as long as
	// the run lasts.
	Left time.Duration
}

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
	// gone are the runs that leave or are replaced, by the bar.
	gone map[EngineID]Bar
	// backoffs are until when runs want nothing.
	backoffs map[EngineID]time.Time
	// listed is when each run with a notice was last listed.
	listed map[EngineID]time.Time
}

// NewNotices returns the notices of a host that has heard nothing yet.
func NewNotices() *Notices {
	return &Notices{gone: make(map[EngineID]Bar), backoffs: make(map[EngineID]time.Time), listed: make(map[EngineID]time.Time)}
}

// Take notes what a run said, and reports whether it is news: its leave for the first
// time, or a pause where none was kept. A shorter wish doesn't end a longer one, and that
// it leaves doesn't lapse with its wish for a pause.
func (ntc *Notices) Take(now time.Time, not Notice) bool {
	if not.Bar == BarNone {
		return false
	}
	ntc.listed[not.Run] = now
	if not.Bar != BarBackoff {
		_, known := ntc.gone[not.Run]
		ntc.gone[not.Run] = not.Bar
		return !known
	}
	former := ntc.backoffs[not.Run]
	if until := now.Add(not.Left); until.After(former) {
		ntc.backoffs[not.Run] = until
	}
	return !now.Before(former)
}

// Bar returns whether anything keeps this host from sending to a run, and for how much
// longer a wish for a pause does.
func (ntc *Notices) Bar(now time.Time, run EngineID) Notice {
	if bar, gone := ntc.gone[run]; gone {
		return Notice{Run: run, Bar: bar}
	}
	if left := ntc.backoffs[run].Sub(now); left > 0 {
		return Notice{Run: run, Bar: BarBackoff, Left: left}
	}
	return Notice{Run: run}
}

// Current returns all that holds now, in no order.
func (ntc *Notices) Current(now time.Time) []Notice {
	var current []Notice
	for run := range ntc.listed {
		if not := ntc.Bar(now, run); not.Bar != BarNone {
			current = append(current, not)
		}
	}
	return current
}

// Forget drops what has lapsed, and the notices of runs that aren't listed any more.
func (ntc *Notices) Forget(now time.Time, isListed func(EngineID) bool) {
	maps.DeleteFunc(ntc.backoffs, func(_ EngineID, until time.Time) bool { return !now.Before(until) })
	for run, last := range ntc.listed {
		_, gone := ntc.gone[run]
		_, pauses := ntc.backoffs[run]
		switch {
		case !gone && !pauses:
			delete(ntc.listed, run)
		case isListed(run):
			ntc.listed[run] = now
		case now.Sub(last) >= unlistedFor && !pauses:
			delete(ntc.listed, run)
			delete(ntc.gone, run)
		}
	}
}

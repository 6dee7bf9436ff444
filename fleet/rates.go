package fleet

import "time"

// Rate is the most requests a second that an engine takes from all hosts together, by its
// own word.
type Rate struct {
	Run       EngineID
	PerSecond float64
}

// Rates are the rates that engines have named in their answers to one host. Each answer
// names the rate as it is then; one without it says that there is none any more.
type Rates struct {
	named map[EngineID]namedRate
}

// namedRate is what a run has named.
type namedRate struct {
	perSecond float64
	// at is when it last did so, listedAt when it was last listed among the engines.
	at       time.Time
	listedAt time.Time
}

// NewRates returns the rates of a host that has heard none yet.
func NewRates() *Rates {
	return &Rates{named: make(map[EngineID]namedRate)}
}

// Take notes a rate that an engine names now, and reports whether it is news: none was
// known, or another one.
func (rts *Rates) Take(now time.Time, rat Rate) bool {
	former, known := rts.named[rat.Run]
	rts.named[rat.Run] = namedRate{perSecond: rat.PerSecond, at: now, listedAt: now}
	return !known || former.perSecond != rat.PerSecond
}

// Known returns the rate that a run last named, and whether it named one.
func (rts *Rates) Known(run EngineID) (Rate, bool) {
	nam, known := rts.named[run]
	return Rate{Run: run, PerSecond: nam.perSecond}, known
}

// End takes an answer without a rate to a request that was sent at a time, and reports
// whether it ends one. An answer to what was sent before the engine last named its rate may
// be older than that.
func (rts *Rates) End(run EngineID, sent time.Time) bool {
	nam, known := rts.named[run]
	if !known || !sent.After(nam.at) {
		return false
	}
	delete(rts.named, run)
	return true
}

// Current returns all rates, in no order.
func (rts *Rates) Current() []Rate {
	var current []Rate
	for run, nam := range rts.named {
		current = append(current, Rate{Run: run, PerSecond: nam.perSecond})
	}
	return current
}

// Forget drops the rates of runs that haven't been listed for long: entries that lapse in an
// outage come back.
func (rts *Rates) Forget(now time.Time, isListed func(EngineID) bool) {
	for run, nam := range rts.named {
		switch {
		case isListed(run):
			nam.listedAt = now
			rts.named[run] = nam
		case now.Sub(nam.listedAt) >= unlistedFor:
			delete(rts.named, run)
		}
	}
}

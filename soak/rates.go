package soak

import (
	"net/netip"
	"time"

	"lynxwell.dev/lynxwell/upstreamtest"
	"lynxwell.dev/lynxwell/visitor"
)

// The users' bounds: from rateGrace after an engine first named a rate it gets in each window
// no more than rateFactor times what that allows, and rateSlack more, of all hosts together
// that had passed on such an answer rateTold before.
const (
	rateGrace  = 3 * time.Second
	rateTold   = 500 * time.Millisecond
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
)

// namedRates are what engines name, in requests a second; callers ask for more.
var namedRates = []float64{0, 0.5, 1.5, 3}

// engineNamesRate has an engine name a rate, or end it: it serves all that it gets either way.
func (sys *system) engineNamesRate() {
	eng := sys.engines[sys.rates.IntN(len(sys.engines))]
	if eng.pauses {
		// A word here would end its pause.
		return
	}
	if eng.rate != nil && sys.rates.IntN(2) == 0 {
		return
	}
	if eng.rate != nil {
		eng.rate = nil
	} else {
		eng.rate = &namedRates[sys.rates.IntN(len(namedRates))]
	}
	sys.word(eng, upstreamtest.Word{Rate: eng.rate, Leaves: eng.saysLeaves})
}

// checkRates holds what reached engines against the rates that they had named.
func (sys *system) checkRates(eng *engine, by map[netip.AddrPort][]upstreamtest.Arrival, attempts map[string]visitor.Attempt) {
	sys.t.Helper()
	var counted []upstreamtest.Arrival
	for _, hos := range sys.hosts {
		counted = append(counted, hos.afterTold(by[hos.set.CallerAddress], attempts)...)
	}
	for _, spa := range spansOfRates(read[upstreamtest.Arrival](sys, eng, upstreamtest.PathArrivals)) {
		allowed := int(rateFactor*spa.rate*rateWindow.Seconds() + rateSlack)
		for _, first := range counted {
			count := 0
			for _, arr := range counted {
				if since := arr.At.Sub(first.At); since >= 0 && since < rateWindow && spa.holds(first.At) && spa.holds(arr.At) {
					count++
				}
			}
			if count > allowed {
				sys.t.Errorf("%s, which named %g requests a second, got %d in %s of hosts that it had told, from %s on; allowed %d", eng.id, spa.rate, count, rateWindow, first.At.Format("05.000"), allowed)
				break
			}
		}
	}
}

// afterTold returns the requests that a host sent to an engine after it had passed on an
// answer with a rate, up to its next disturbance each time.
func (hos *host) afterTold(arrivals []upstreamtest.Arrival, attempts map[string]visitor.Attempt) []upstreamtest.Arrival {
	var told time.Time
	var after []upstreamtest.Arrival
	for _, arr := range arrivals {
		if hos.disturbedIn(told, arr.At) {
			told = time.Time{}
		}
		if !told.IsZero() && arr.At.Sub(told) >= rateTold {
			after = append(after, arr)
		}
		att := attempts[arr.ID]
		if told.IsZero() && arr.Rate != nil && !arr.Silent && att.Status != 0 && att.Err == nil {
			told = att.Sent.Add(att.Took)
		}
	}
	return after
}

// rateSpan is a time in which an engine named one rate in all its answers.
type rateSpan struct {
	rate        float64
	from, until time.Time
}

// holds reports whether requests at a time are held against the rate.
func (spa rateSpan) holds(at time.Time) bool {
	return !at.Before(spa.from.Add(rateGrace)) && !at.After(spa.until)
}

// spansOfRates returns the spans in which arrivals were answered with the same rate.
func spansOfRates(arrivals []upstreamtest.Arrival) []rateSpan {
	var spans []rateSpan
	named := false
	for _, arr := range arrivals {
		switch {
		case arr.Rate == nil:
			named = false
		case named && spans[len(spans)-1].rate == *arr.Rate:
			spans[len(spans)-1].until = arr.At
		default:
			named = true
			spans = append(spans, rateSpan{rate: *arr.Rate, from: arr.At, until: arr.At})
		}
	}
	return spans
}

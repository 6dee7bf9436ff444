package soak

import (
	"net/netip"
	"time"

	"lynxwell.dev/lynxwell/upstreamtest"
	"lynxwell.dev/lynxwell/visitor"
)

// The users' bounds on rate limits: from rateGrace after an engine first sent a rate limit, the
// engine receives in each rateWindow at most rateFactor times the limit plus rateSlack requests.
// Requests of all hosts count, but of each host only those that arrived at least rateReportDelay
// after the host had passed on an answer with a rate limit.
const (
	rateGrace       = 3 * time.Second
	rateReportDelay = 500 * time.Millisecond
	rateWindow      = 4 * time.Second
	rateFactor      = 1.5
	rateSlack       = 5
)

// rateLimits are the limits that engines send, in requests per second. The visitors' load exceeds
// them.
var rateLimits = []float64{0, 0.5, 1.5, 3}

// changeRateLimit makes a random engine send a rate limit in its answers. If the engine already
// sends one, it stops doing so with a probability of one half. It serves all requests in any case.
func (sys *system) changeRateLimit() {
	eng := sys.engines[sys.rateRandom.IntN(len(sys.engines))]
	if eng.signalsBackoff {
		// Setting the rate limit replaces all signals, and would end the backoff request.
		return
	}
	if eng.rateLimit != nil && sys.rateRandom.IntN(2) == 0 {
		return
	}
	if eng.rateLimit != nil {
		eng.rateLimit = nil
	} else {
		eng.rateLimit = &rateLimits[sys.rateRandom.IntN(len(rateLimits))]
	}
	sys.setSignals(eng, upstreamtest.Signals{Rate: eng.rateLimit, Draining: eng.signalsDraining})
}

// checkRates checks the requests that an engine received against the rate limits that it had sent.
// byHost holds the requests by the address at which the sending host serves clients, and attempts
// holds the clients' attempts by request id.
func (sys *system) checkRates(eng *engine, byHost map[netip.AddrPort][]upstreamtest.Arrival, attempts map[string]visitor.Attempt) {
	sys.t.Helper()
	var counted []upstreamtest.Arrival
	for _, hos := range sys.hosts {
		counted = append(counted, hos.sentAfterRateLimit(byHost[hos.set.CallerAddress], attempts)...)
	}
	for _, spa := range rateSpans(readList[upstreamtest.Arrival](sys, eng, upstreamtest.PathArrivals)) {
		allowed := int(rateFactor*spa.rate*rateWindow.Seconds() + rateSlack)
		for _, first := range counted {
			count := 0
			for _, arr := range counted {
				if since := arr.At.Sub(first.At); since >= 0 && since < rateWindow && spa.covers(first.At) && spa.covers(arr.At) {
					count++
				}
			}
			if count > allowed {
				sys.t.Errorf("engine %s with a limit of %g requests per second received %d in %s from hosts that knew the limit, from %s on; allowed %d", eng.id, spa.rate, count, rateWindow, first.At.Format("05.000"), allowed)
				break
			}
		}
	}
}

// sentAfterRateLimit returns the requests from a host that arrived at an engine at least
// rateReportDelay after the host had passed on an answer with a rate limit. After a disturbance
// of the host, requests count again only after the host has passed on another such answer.
func (hos *host) sentAfterRateLimit(arrivals []upstreamtest.Arrival, attempts map[string]visitor.Attempt) []upstreamtest.Arrival {
	var reportedAt time.Time
	var after []upstreamtest.Arrival
	for _, arr := range arrivals {
		if hos.disturbedDuring(reportedAt, arr.At) {
			reportedAt = time.Time{}
		}
		if !reportedAt.IsZero() && arr.At.Sub(reportedAt) >= rateReportDelay {
			after = append(after, arr)
		}
		att := attempts[arr.ID]
		if reportedAt.IsZero() && arr.Rate != nil && !arr.Silent && att.Status != 0 && att.Err == nil {
			reportedAt = att.Sent.Add(att.Took)
		}
	}
	return after
}

// rateSpan is a period in which all answers of an engine carried the same rate limit.
type rateSpan struct {
	rate        float64
	from, until time.Time
}

// covers reports whether requests at the time are checked against the rate.
func (spa rateSpan) covers(at time.Time) bool {
	return !at.Before(spa.from.Add(rateGrace)) && !at.After(spa.until)
}

// rateSpans returns the periods in which arrivals were answered with the same rate limit.
func rateSpans(arrivals []upstreamtest.Arrival) []rateSpan {
	var spans []rateSpan
	limited := false
	for _, arr := range arrivals {
		switch {
		case arr.Rate == nil:
			limited = false
		case limited && spans[len(spans)-1].rate == *arr.Rate:
			spans[len(spans)-1].until = arr.At
		default:
			limited = true
			spans = append(spans, rateSpan{rate: *arr.Rate, from: arr.At, until: arr.At})
		}
	}
	return spans
}

package soak

import (
	"fmt"
	"net/netip"
	"time"

	"lynxwell.dev/lynxwell/upstreamtest"
	"lynxwell.dev/lynxwell/visitor"
)

const (
	// drainSignalBound is the time that the users' requirements allow a host, after it has passed
	// on an engine's draining signal to a client, to stop sending requests to the engine.
	drainSignalBound = 2 * time.Second
	// backoffGrace and maxRequestsInBackoff are the users' bounds on requests during a backoff: from
	// backoffGrace after an engine asked a host to back off until the end of the backoff, the host
	// sends the engine at most maxRequestsInBackoff requests.
	backoffGrace         = 500 * time.Millisecond
	maxRequestsInBackoff = 2
	// maxBackoff is the longest backoff that an engine requests.
	maxBackoff = 3 * time.Second
)

// changeSignals makes a random engine send, in its answers, a draining signal, which its store
// entry does not show, or a backoff request, unless the engine has crashed or already sends a
// draining signal. Before that, each engine that sends a backoff request stops doing so with a
// probability of one half.
func (sys *system) changeSignals() {
	for _, eng := range sys.engines {
		if eng.signalsBackoff && sys.signalRandom.IntN(2) == 0 {
			sys.clearBackoff(eng)
		}
	}
	eng := sys.engines[sys.signalRandom.IntN(len(sys.engines))]
	if eng.hasCrashed() || eng.signalsDraining {
		return
	}
	if sys.signalRandom.IntN(4) == 0 {
		eng.signalsDraining = true
		sys.setSignals(eng, upstreamtest.Signals{Draining: true, Rate: eng.rateLimit})
		sys.addEngine(fmt.Sprintf("%s-%d", eng.id, len(sys.engines)), eng.service)
		return
	}
	eng.signalsBackoff = true
	sys.setSignals(eng, upstreamtest.Signals{Rate: eng.rateLimit, Backoff: time.Second + time.Duration(sys.signalRandom.Int64N(int64(maxBackoff-time.Second)))})
}

// clearBackoffs ends the backoff requests of all engines, so that they serve again.
func (sys *system) clearBackoffs() {
	for _, eng := range sys.engines {
		if eng.signalsBackoff {
			sys.clearBackoff(eng)
		}
	}
}

func (sys *system) clearBackoff(eng *engine) {
	eng.signalsBackoff = false
	sys.setSignals(eng, upstreamtest.Signals{Rate: eng.rateLimit})
}

func (sys *system) setSignals(eng *engine, sig upstreamtest.Signals) {
	if eng.hasCrashed() {
		return
	}
	sys.t.Log(time.Now().Format("05.000"), eng.id, "signals", sig)
	sys.control(eng, upstreamtest.PathSignals, sig)
}

// checkSignals checks the requests that each engine received from each host against the signals
// that the engine had sent to that host before.
func (sys *system) checkSignals(sent []sentRequest) {
	sys.t.Helper()
	attempts := make(map[string]visitor.Attempt)
	for _, snd := range sent {
		for _, att := range snd.result.Attempts {
			attempts[att.ID] = att
		}
	}
	signaled := 0
	for _, eng := range sys.engines {
		if eng.hasCrashed() {
			// The engine's records of arrivals are lost with its process.
			continue
		}
		byHost := make(map[netip.AddrPort][]upstreamtest.Arrival)
		for _, arr := range readList[upstreamtest.Arrival](sys, eng, upstreamtest.PathArrivals) {
			if arr.Draining || arr.Backoff > 0 || arr.Rate != nil {
				signaled++
			}
			if att, known := attempts[arr.ID]; known {
				byHost[att.Address] = append(byHost[att.Address], arr)
			}
		}
		for _, hos := range sys.hosts {
			arrivals := byHost[hos.set.CallerAddress]
			sys.checkDraining(eng, hos, arrivals, attempts)
			sys.checkBackoffs(eng, hos, arrivals)
		}
		sys.checkRates(eng, byHost, attempts)
	}
	sys.t.Logf("%d answers carried engine signals", signaled)
}

func (sys *system) checkDraining(eng *engine, hos *host, arrivals []upstreamtest.Arrival, attempts map[string]visitor.Attempt) {
	for _, first := range arrivals {
		att := attempts[first.ID]
		if !first.Draining || first.Silent || att.Status == 0 || att.Err != nil {
			continue
		}
		passedOnAt := att.Sent.Add(att.Took)
		for _, arr := range arrivals {
			delay := attempts[arr.ID].Sent.Sub(passedOnAt)
			if delay > drainSignalBound && !hos.disturbedDuring(first.At, arr.At) {
				sys.t.Errorf("host %s sent %s to engine %s, %s after the host had passed on the engine's draining signal", hos.set.Name, arr.ID, eng.id, delay)
			}
		}
		return
	}
}

func (sys *system) checkBackoffs(eng *engine, hos *host, arrivals []upstreamtest.Arrival) {
	for _, backoff := range arrivals {
		if backoff.Backoff == 0 || hos.disturbedDuring(backoff.At.Add(-time.Second), backoff.At.Add(backoff.Backoff)) {
			continue
		}
		count := 0
		for _, arr := range arrivals {
			if since := arr.At.Sub(backoff.At); since > backoffGrace && since < backoff.Backoff {
				count++
			}
		}
		if count > maxRequestsInBackoff {
			sys.t.Errorf("host %s sent %d requests to engine %s during a requested backoff of %s", hos.set.Name, count, eng.id, backoff.Backoff)
		}
	}
}

// disturbedDuring reports whether the host was killed, stopped, started, frozen or resumed in the
// period.
func (hos *host) disturbedDuring(from, until time.Time) bool {
	for _, at := range hos.disturbances {
		if !at.Before(from) && !at.After(until) {
			return true
		}
	}
	return false
}

package upstreamtest

import (
	"encoding/json"
	"net/http"
	"time"
)

// The control paths of the fake engine.
const (
	// PathFault takes a FaultRequest by POST.
	PathFault = "/standin/trouble"
	// PathRuns returns the values of Engine.Runs.
	PathRuns = "/standin/runs"
	// PathArrivals returns the values of Engine.Arrivals.
	PathArrivals = "/standin/arrivals"
	// PathSignals takes Signals by POST.
	PathSignals = "/standin/word"
	// PathCold takes a Cold by POST.
	PathCold = "/standin/cold"
)

// FaultRequest is the body of PathFault.
type FaultRequest struct {
	Fault Fault `json:"Trouble"`
	// Times is the number of requests that get the fault.
	Times int
	// Clear removes all queued faults first.
	Clear bool
}

// Signals is the body of PathSignals: the signals that the engine sends from then on.
type Signals struct {
	// Draining makes all answers report that the engine is draining; false doesn't reset
	// this.
	Draining bool `json:"Leaves"`
	// Backoff makes the engine reject all requests with a backoff request of this duration; 0
	// makes it serve again.
	Backoff time.Duration `json:"Pause"`
	// Rate is the rate limit sent with all answers, in requests per second; nil means none.
	Rate *float64
}

// serveControl serves the control paths; it returns false for all other paths.
func (eng *Engine) serveControl(wri http.ResponseWriter, req *http.Request) bool {
	switch req.URL.Path {
	case PathFault:
		var frq FaultRequest
		if err := json.NewDecoder(req.Body).Decode(&frq); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return true
		}
		if frq.Clear {
			eng.ClearFaults()
		}
		eng.InjectFault(frq.Fault, frq.Times)
	case PathCold:
		var col Cold
		if err := json.NewDecoder(req.Body).Decode(&col); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return true
		}
		eng.MarkCold(col)
	case PathSignals:
		var sig Signals
		if err := json.NewDecoder(req.Body).Decode(&sig); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return true
		}
		if sig.Draining {
			eng.StartDraining()
		}
		eng.SetBackoff(sig.Backoff)
		if sig.Rate != nil {
			eng.SetRateLimit(*sig.Rate)
		} else {
			eng.ClearRateLimit()
		}
	case PathArrivals:
		wri.Header().Set("Content-Type", "application/json")
		// An encoding error means that the client has disconnected.
		_ = json.NewEncoder(wri).Encode(eng.Arrivals())
	case PathRuns:
		wri.Header().Set("Content-Type", "application/json")
		// An encoding error means that the client has disconnected.
		_ = json.NewEncoder(wri).Encode(eng.Runs())
	default:
		return false
	}
	return true
}

package upstreamtest

import (
	"encoding/json"
	"net/http"
	"time"
)

// The control paths of the fake engine.
const (
	// PathTrouble takes a Switch by POST.
	PathTrouble = "/standin/trouble"
	// PathRuns answers GET with all values of Engine.Runs.
	PathRuns = "/standin/runs"
	// PathArrivals answers GET with all values of Engine.Arrivals.
	PathArrivals = "/standin/arrivals"
	// PathWord takes a Word by POST.
	PathWord = "/standin/word"
	// PathCold takes a Cold by POST.
	PathCold = "/standin/cold"
)

// Switch is the body of PathTrouble.
type Switch struct {
	Trouble Trouble `json:"Trouble"`
	// Times is the number of requests that get the fault.
	Times int
	// Clear removes all queued faults first.
	Clear bool
}

// Word is the set of signals that the engine sends from now on: the body of PathWord.
type Word struct {
	// Leaves makes all answers report that the engine is draining; it can't be reset.
	Leaves bool `json:"Leaves"`
	// Pause makes the engine reject all requests with a backoff request of this duration; 0
	// makes it serve again.
	Pause time.Duration `json:"Pause"`
	// Rate is the rate limit sent with all answers, in requests per second; nil means none.
	Rate *float64
}

// serveControl serves the control paths; it returns false for all other paths.
func (eng *Engine) serveControl(wri http.ResponseWriter, req *http.Request) bool {
	switch req.URL.Path {
	case PathTrouble:
		var swi Switch
		if err := json.NewDecoder(req.Body).Decode(&swi); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return true
		}
		if swi.Clear {
			eng.Clear()
		}
		eng.Trouble(swi.Trouble, swi.Times)
	case PathCold:
		var col Cold
		if err := json.NewDecoder(req.Body).Decode(&col); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return true
		}
		eng.Chill(col)
	case PathWord:
		var sig Word
		if err := json.NewDecoder(req.Body).Decode(&sig); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return true
		}
		if sig.Leaves {
			eng.Leave()
		}
		eng.Pause(sig.Pause)
		if sig.Rate != nil {
			eng.Limit(*sig.Rate)
		} else {
			eng.Unlimit()
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

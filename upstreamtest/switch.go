package upstreamtest

import (
	"encoding/json"
	"net/http"
	"time"
)

// The paths of the stand-in's own switches.
const (
	// PathTrouble takes a Switch by POST.
	PathTrouble = "/standin/trouble"
	// PathRuns answers GET with all runs.
	PathRuns = "/standin/runs"
	// PathArrivals answers GET with all arrivals.
	PathArrivals = "/standin/arrivals"
	// PathWord takes a Word by POST.
	PathWord = "/standin/word"
	// PathCold takes a Cold by POST.
	PathCold = "/standin/cold"
)

// Switch is the body of PathTrouble.
type Switch struct {
	Trouble Trouble
	// Times is how many requests have it. Clear takes back those that haven't come yet before.
	Times int
	Clear bool
}

// Word is what the engine says of itself from now on: the body of PathWord.
type Word struct {
	// Leaves has it say that it leaves, to its end; Pause turns requests away and asks for
	// so long a pause, 0 ends that.
	Leaves bool
	Pause  time.Duration
	// Rate is the most requests a second that all answers name; nil for none.
	Rate *float64
}

// serveControl serves the stand-in's own paths; it returns false for all others.
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
		var word Word
		if err := json.NewDecoder(req.Body).Decode(&word); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return true
		}
		if word.Leaves {
			eng.Leave()
		}
		eng.Pause(word.Pause)
		if word.Rate != nil {
			eng.Limit(*word.Rate)
		} else {
			eng.Unlimit()
		}
	case PathArrivals:
		wri.Header().Set("Content-Type", "application/json")
		// A reader that has left can't be told anything more.
		_ = json.NewEncoder(wri).Encode(eng.Arrivals())
	case PathRuns:
		wri.Header().Set("Content-Type", "application/json")
		// A reader that has left can't be told anything more.
		_ = json.NewEncoder(wri).Encode(eng.Runs())
	default:
		return false
	}
	return true
}

package upstreamtest

import (
	"encoding/json"
	"net/http"
)

// The paths of the stand-in's own switches.
const (
	// PathTrouble takes a Switch by POST.
	PathTrouble = "/standin/trouble"
	// PathRuns answers GET with all runs.
	PathRuns = "/standin/runs"
)

// Switch is the body of PathTrouble.
type Switch struct {
	Trouble Trouble
	// Times is how many requests have it.
	Times int
}

// serveSwitch serves the stand-in's own paths; it returns false for all others.
func (eng *Engine) serveSwitch(wri http.ResponseWriter, req *http.Request) bool {
	switch req.URL.Path {
	case PathTrouble:
		var swi Switch
		if err := json.NewDecoder(req.Body).Decode(&swi); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return true
		}
		eng.Trouble(swi.Trouble, swi.Times)
	case PathRuns:
		wri.Header().Set("Content-Type", "application/json")
		// A reader that has left can't be told anything more.
		_ = json.NewEncoder(wri).Encode(eng.Runs())
	default:
		return false
	}
	return true
}

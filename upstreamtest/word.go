package upstreamtest

import (
	"net/http"
	"strconv"
	"time"
)

// The headers in which an engine speaks of itself.
const (
	headerDraining = "Server-Leaving"
	headerRate   = "Server-Limit"
)

// Arrival is a request that reached the engine, whether it ran or not.
type Arrival struct {
	ID string
	At time.Time
	// Leaves says that the answer told of the engine's leave, Pause for how long a pause it
	// asked in place of an answer; 0 for none.
	Leaves bool
	Pause  time.Duration
	// Rate is the rate that the answer named; nil for none.
	Rate *float64
	// Silent says that no head of an answer left the engine, so that it told nothing.
	Silent bool
	// Fell says that the engine fell over under it, or had before.
	Fell bool
}

// Leave has the engine say in all its answers that it leaves; it serves on.
func (eng *Engine) Leave() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.draining = true
}

// Pause has the engine turn all requests away and ask for so long a pause each time; 0 has
// it serve again.
func (eng *Engine) Pause(dur time.Duration) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.backoff = dur
}

// Arrivals returns all requests that reached the engine, in order.
func (eng *Engine) Arrivals() []Arrival {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return append([]Arrival(nil), eng.arrivals...)
}

// Limit has all answers name the most requests a second that the engine takes from all
// hosts together; it serves what it gets all the same. Unlimit ends that.
func (eng *Engine) Limit(perSecond float64) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.rateLimit = &perSecond
}

// Unlimit has the answers name no rate any more.
func (eng *Engine) Unlimit() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.rateLimit = nil
}

// arrive notes a request, with what its answer says of the engine.
func (eng *Engine) recordArrival(id string) Arrival {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	arr := Arrival{ID: id, At: time.Now(), Leaves: eng.draining, Pause: eng.backoff, Rate: eng.rateLimit}
	eng.arrivals = append(eng.arrivals, arr)
	if !eng.survives(arr.At) {
		eng.arrivals[len(eng.arrivals)-1].Fell = true
		panic(http.ErrAbortHandler)
	}
	return arr
}

// recordSilent notes that the newest request with an id gets no answer.
func (eng *Engine) recordSilent(id string) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	for num := len(eng.arrivals) - 1; num >= 0; num-- {
		if eng.arrivals[num].ID == id {
			eng.arrivals[num].Silent = true
			return
		}
	}
}

// speak writes what the engine says of itself into an answer's head, and reports whether it
// has turned the request away with it.
func (eng *Engine) sendSignals(wri http.ResponseWriter, req *http.Request) bool {
	arr := eng.recordArrival(req.Header.Get("Request-Id"))
	if arr.Leaves {
		wri.Header().Set(headerDraining, "1")
	}
	if arr.Rate != nil {
		wri.Header().Set(headerRate, formatRate(*arr.Rate))
	}
	if arr.Pause <= 0 {
		return false
	}
	wri.Header().Set("Request-Id", arr.ID)
	wri.Header().Set("Not-Executed", "1")
	wri.Header().Set("Retry-After", strconv.FormatFloat(arr.Pause.Seconds(), 'f', -1, 64))
	wri.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func formatRate(perSecond float64) string {
	return strconv.FormatFloat(perSecond, 'f', -1, 64)
}

// signalHeader returns what the engine says of itself as lines of a head.
func (eng *Engine) signalHeader() string {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	var lines string
	if eng.draining {
		lines += headerDraining + ": 1\r\n"
	}
	if eng.rateLimit != nil {
		lines += headerRate + ": " + formatRate(*eng.rateLimit) + "\r\n"
	}
	return lines
}

// The bound under which a cold engine stands: so many times the rate that it bears, and so many
// requests more, in one second.
const (
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
)

// Cold is how an engine is cold: the body of PathCold.
type Cold struct {
	// PerSecond is how many requests a second it bears, For for how long it is cold.
	PerSecond float64
	For       time.Duration
}

// Chill has the engine be cold: it falls over, and serves nothing any more, once more requests
// reach it within a second than it bears.
func (eng *Engine) Chill(col Cold) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.coldRate, eng.coldUntil = col.PerSecond, time.Now().Add(col.For)
}

// Fallen reports whether the engine fell over while it was cold.
func (eng *Engine) Fallen() bool {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return eng.crashed
}

// bears reports whether the engine stands the newest arrival; the mutex is held.
func (eng *Engine) survives(now time.Time) bool {
	if eng.crashed || !now.Before(eng.coldUntil) {
		return !eng.crashed
	}
	count := 0
	for num := len(eng.arrivals) - 1; num >= 0 && now.Sub(eng.arrivals[num].At) < coldWindow; num-- {
		count++
	}
	eng.crashed = float64(count) > coldFactor*eng.coldRate+coldSlack
	return !eng.crashed
}

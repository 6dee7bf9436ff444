package upstreamtest

import (
	"net/http"
	"strconv"
	"time"
)

// The headers in which an engine speaks of itself.
const (
	headerLeaves = "Server-Leaving"
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
	eng.leaves = true
}

// Pause has the engine turn all requests away and ask for so long a pause each time; 0 has
// it serve again.
func (eng *Engine) Pause(dur time.Duration) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.pause = dur
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
	eng.rate = &perSecond
}

// Unlimit has the answers name no rate any more.
func (eng *Engine) Unlimit() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.rate = nil
}

// arrive notes a request, with what its answer says of the engine.
func (eng *Engine) arrive(id string) Arrival {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	arr := Arrival{ID: id, At: time.Now(), Leaves: eng.leaves, Pause: eng.pause, Rate: eng.rate}
	eng.arrivals = append(eng.arrivals, arr)
	if !eng.bears(arr.At) {
		eng.arrivals[len(eng.arrivals)-1].Fell = true
		panic(http.ErrAbortHandler)
	}
	return arr
}

// noteSilent notes that the newest request with an id gets no answer.
func (eng *Engine) noteSilent(id string) {
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
func (eng *Engine) speak(wri http.ResponseWriter, req *http.Request) bool {
	arr := eng.arrive(req.Header.Get("Request-Id"))
	if arr.Leaves {
		wri.Header().Set(headerLeaves, "1")
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

// rawHeader returns what the engine says of itself as lines of a head.
func (eng *Engine) rawHeader() string {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	var lines string
	if eng.leaves {
		lines += headerLeaves + ": 1\r\n"
	}
	if eng.rate != nil {
		lines += headerRate + ": " + formatRate(*eng.rate) + "\r\n"
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
	return eng.fallen
}

// bears reports whether the engine stands the newest arrival; the mutex is held.
func (eng *Engine) bears(now time.Time) bool {
	if eng.fallen || !now.Before(eng.coldUntil) {
		return !eng.fallen
	}
	count := 0
	for num := len(eng.arrivals) - 1; num >= 0 && now.Sub(eng.arrivals[num].At) < coldWindow; num-- {
		count++
	}
	eng.fallen = float64(count) > coldFactor*eng.coldRate+coldSlack
	return !eng.fallen
}

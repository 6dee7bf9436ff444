package upstreamtest

import (
	"net/http"
	"strconv"
	"time"
)

// The headers of the engine signals.
const (
	headerDraining = "Server-Leaving"
	headerRate     = "Server-Limit"
)

// Arrival is a request that reached the engine, whether it ran or not.
type Arrival struct {
	ID string
	At time.Time
	// Draining is set if the answer reported that the engine is draining.
	Draining bool `json:"Leaves"`
	// Backoff is the backoff that the engine requested when it rejected the request; 0 if it
	// requested none.
	Backoff time.Duration `json:"Pause"`
	// Rate is the rate limit sent with the answer; nil means none.
	Rate *float64
	// Silent is set if the head of an answer was not sent, and therefore no signal either.
	Silent bool
	// Crashed is set if the engine crashed on receiving the request or had crashed before.
	Crashed bool `json:"Fell"`
}

// StartDraining makes all answers report that the engine is draining. It continues to serve
// requests.
func (eng *Engine) StartDraining() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.draining = true
}

// SetBackoff makes the engine reject all requests with a backoff request of the duration; 0 makes
// it serve again.
func (eng *Engine) SetBackoff(dur time.Duration) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.backoff = dur
}

// Arrivals returns all requests that reached the engine, in order of arrival.
func (eng *Engine) Arrivals() []Arrival {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return append([]Arrival(nil), eng.arrivals...)
}

// SetRateLimit makes all answers send a rate limit in requests per second, for all hosts
// together. The engine doesn't enforce the limit. ClearRateLimit removes the limit.
func (eng *Engine) SetRateLimit(perSecond float64) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.rateLimit = &perSecond
}

// ClearRateLimit removes the rate limit from all further answers.
func (eng *Engine) ClearRateLimit() {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.rateLimit = nil
}

// recordArrival records a request with the signals that its answer sends. It aborts the
// connection if the engine has crashed.
func (eng *Engine) recordArrival(id string) Arrival {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	arr := Arrival{ID: id, At: time.Now(), Draining: eng.draining, Backoff: eng.backoff, Rate: eng.rateLimit}
	eng.arrivals = append(eng.arrivals, arr)
	if !eng.survives(arr.At) {
		eng.arrivals[len(eng.arrivals)-1].Crashed = true
		panic(http.ErrAbortHandler)
	}
	return arr
}

// recordSilent records that the most recent request with the id gets no answer.
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

// sendSignals records the request and adds the engine's signals to the head of the answer. It
// reports whether it rejected the request because of a backoff.
func (eng *Engine) sendSignals(wri http.ResponseWriter, req *http.Request) bool {
	arr := eng.recordArrival(req.Header.Get("Request-Id"))
	if arr.Draining {
		wri.Header().Set(headerDraining, "1")
	}
	if arr.Rate != nil {
		wri.Header().Set(headerRate, formatRate(*arr.Rate))
	}
	if arr.Backoff <= 0 {
		return false
	}
	wri.Header().Set("Request-Id", arr.ID)
	wri.Header().Set("Not-Executed", "1")
	wri.Header().Set("Retry-After", strconv.FormatFloat(arr.Backoff.Seconds(), 'f', -1, 64))
	wri.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func formatRate(perSecond float64) string {
	return strconv.FormatFloat(perSecond, 'f', -1, 64)
}

// signalHeader returns the engine's signals as header lines.
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

// A cold engine crashes when it receives more than coldFactor times its rate plus coldSlack
// requests within coldWindow.
const (
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
)

// Cold describes the load that a cold engine survives: the body of PathCold.
type Cold struct {
	// PerSecond is the request rate that the engine survives, For is how long it stays cold.
	PerSecond float64
	For       time.Duration
}

// MarkCold makes the engine cold. A cold engine crashes permanently when it receives more
// requests within one second than it survives.
func (eng *Engine) MarkCold(col Cold) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.coldRate, eng.coldUntil = col.PerSecond, time.Now().Add(col.For)
}

// Crashed reports whether the engine crashed while it was cold.
func (eng *Engine) Crashed() bool {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return eng.crashed
}

// survives reports whether the engine survives the most recent arrival. The caller holds the
// mutex.
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

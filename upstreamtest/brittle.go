package upstreamtest

import (
	"net/http"
	"strconv"
	"time"
)

// headerBrittle announces that an engine falls over if it has to reject more requests in a second.
const headerBrittle = "Server-Brittle"

const (
	// brittleWindow is the time in which rejections are counted, and fallenFor is how long an engine that has
	// fallen over is away.
	brittleWindow = time.Second
	fallenFor     = 2 * time.Second
)

// brittleness is the state of a brittle engine.
type brittleness struct {
	// limit is the number of rejections in brittleWindow that the engine survives.
	limit       int
	rejected    []time.Time
	fallenUntil time.Time
	falls       int
}

// SetBrittle makes the engine announce that it is brittle, let no request wait, and fall over when it rejects
// more than the limit of requests within a second.
func (eng *Engine) SetBrittle(limit int) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.brittle = &brittleness{limit: limit}
}

// Falls returns how often the engine has fallen over.
func (eng *Engine) Falls() int {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	if eng.brittle == nil {
		return 0
	}
	return eng.brittle.falls
}

// announceBrittle announces a brittle engine's limit, and aborts the request if the engine has fallen over.
func (eng *Engine) announceBrittle(wri http.ResponseWriter) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	if eng.brittle == nil {
		return
	}
	wri.Header().Set(headerBrittle, strconv.Itoa(eng.brittle.limit))
	if time.Now().Before(eng.brittle.fallenUntil) {
		panic(http.ErrAbortHandler)
	}
}

// admits reports whether the engine has room for one of its active requests; the mutex must be held.
func (eng *Engine) admits() bool {
	if eng.cfg.Slots == 0 {
		return true
	}
	if eng.brittle == nil {
		return eng.active <= 2*eng.cfg.Slots
	}
	if eng.active <= eng.cfg.Slots {
		return true
	}
	eng.brittle.reject(time.Now())
	return false
}

// reject counts a rejection, after which the engine may fall over.
func (bri *brittleness) reject(now time.Time) {
	bri.rejected = append(bri.rejected, now)
	for now.Sub(bri.rejected[0]) >= brittleWindow {
		bri.rejected = bri.rejected[1:]
	}
	if len(bri.rejected) > bri.limit {
		bri.rejected, bri.fallenUntil = nil, now.Add(fallenFor)
		bri.falls++
	}
}

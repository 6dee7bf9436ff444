package pace

import "time"

const (
	// forget is the share of all earlier observations' weight that each new one takes
	// away: the last hundred count, over all engines of a service.
	forget = 0.01
	// priorWeight is the weight of what a line begins with, beside one observation's.
	priorWeight = 3.0
	// priorTokens is where the prior tells the time of a token: a prompt of middling
	// length.
	priorTokens = 4000
	// errorFloor keeps short prompts from counting more than their noise allows: the
	// way there and back alone varies by some milliseconds.
	errorFloor = 30 * time.Millisecond
	// minToken bounds the learned time of a token, minOverhead that of a first event.
	minToken    = time.Microsecond
	minOverhead = time.Millisecond
)

// line fits the time to a first event as a fixed part and a part per token, by
// least squares of the relative errors; older observations count less.
type line struct {
	overhead time.Duration
	token    time.Duration
	one      float64
	sumX     float64
	sumY     float64
	sumXX    float64
	sumXY    float64
}

// newLine returns a line that begins with the given parts.
func newLine(overhead, token time.Duration) line {
	lin := line{overhead: max(minOverhead, overhead), token: max(minToken, token)}
	lin.add(0, lin.overhead, priorWeight)
	lin.add(priorTokens, lin.overhead+priorTokens*lin.token, priorWeight)
	return lin
}

// observe takes in a time for so many effective tokens.
func (lin *line) observe(tokens float64, took time.Duration) {
	keep := 1 - forget
	lin.one *= keep
	lin.sumX *= keep
	lin.sumY *= keep
	lin.sumXX *= keep
	lin.sumXY *= keep
	lin.add(tokens, took, 1)
	lin.fit()
}

func (lin *line) add(tokens float64, took time.Duration, weight float64) {
	millis := float64(took) / float64(time.Millisecond)
	floor := float64(errorFloor) / float64(time.Millisecond)
	weight /= (millis + floor) * (millis + floor)
	lin.one += weight
	lin.sumX += weight * tokens
	lin.sumY += weight * millis
	lin.sumXX += weight * tokens * tokens
	lin.sumXY += weight * tokens * millis
}

// fit solves for both parts; observations that are all alike leave them as they are.
func (lin *line) fit() {
	det := lin.one*lin.sumXX - lin.sumX*lin.sumX
	if det <= 0 {
		return
	}
	slope := (lin.one*lin.sumXY - lin.sumX*lin.sumY) / det
	base := (lin.sumY - slope*lin.sumX) / lin.one
	lin.token = max(minToken, time.Duration(slope*float64(time.Millisecond)))
	lin.overhead = max(minOverhead, time.Duration(base*float64(time.Millisecond)))
}

package pace

import "time"

const (
	// forget is the fraction by which each new observation reduces the weight of all earlier
	// ones: about the last hundred of a service's engines count.
	forget = 0.01
	// priorWeight is the weight of each of the two points that a line starts with, relative to
	// one observation.
	priorWeight = 3.0
	// priorTokens is the prompt length of the second of these points, that of a medium prompt.
	priorTokens = 4000
	// errorFloor is added to a time before it scales the relative error, so that short prompts
	// don't count more than their noise allows: the network round trip alone varies by some
	// milliseconds.
	errorFloor = 30 * time.Millisecond
	// minToken bounds the learned time per token, minOverhead the learned fixed time.
	minToken    = time.Microsecond
	minOverhead = time.Millisecond
)

// line fits the time to the first event as a fixed part plus a part per token, by least squares
// of the relative errors with exponentially decreasing weights.
type line struct {
	overhead time.Duration
	token    time.Duration
	one      float64
	sumX     float64
	sumY     float64
	sumXX    float64
	sumXY    float64
}

// newLine returns a line with initial values for both parts.
func newLine(overhead, token time.Duration) line {
	lin := line{overhead: max(minOverhead, overhead), token: max(minToken, token)}
	lin.add(0, lin.overhead, priorWeight)
	lin.add(priorTokens, lin.overhead+priorTokens*lin.token, priorWeight)
	return lin
}

// observe adds the time measured for a number of effective tokens.
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

// fit solves for both parts. They stay unchanged if all observations have the same length.
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

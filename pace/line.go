package pace

import "time"

const (
	// forgetShare is the fraction by which each new observation reduces the weight of all earlier
	// ones: the fit follows about the hundred most recent answers of a service's engines.
	forgetShare = 0.01
	// priorWeight is the weight of each of the two points that a fit starts with, relative to
	// one observation.
	priorWeight = 3.0
	// priorTokens is the prompt length of the second of these points, that of a medium prompt.
	priorTokens = 4000
	// errorFloor is added to the measured time that an error is divided by, so that the noise in
	// the times of short prompts doesn't dominate the fit: the network round trip alone varies by
	// some milliseconds.
	errorFloor = 30 * time.Millisecond
	// minToken is the lower bound of the learned time per token, minOverhead that of the learned
	// fixed part.
	minToken    = time.Microsecond
	minOverhead = time.Millisecond
)

// linearFit fits the time to the first event as a fixed part plus a part per token, by least
// squares of the relative errors with exponentially decreasing weights.
type linearFit struct {
	overhead  time.Duration
	token     time.Duration
	sumWeight float64
	sumX      float64
	sumY      float64
	sumXX     float64
	sumXY     float64
}

// newLinearFit returns a fit that starts with the given fixed part and part per token.
func newLinearFit(overhead, token time.Duration) linearFit {
	fit := linearFit{overhead: max(minOverhead, overhead), token: max(minToken, token)}
	fit.add(0, fit.overhead, priorWeight)
	fit.add(priorTokens, fit.overhead+priorTokens*fit.token, priorWeight)
	return fit
}

// observe adds the time measured for a number of effective tokens.
func (fit *linearFit) observe(tokens float64, took time.Duration) {
	keep := 1 - forgetShare
	fit.sumWeight *= keep
	fit.sumX *= keep
	fit.sumY *= keep
	fit.sumXX *= keep
	fit.sumXY *= keep
	fit.add(tokens, took, 1)
	fit.solve()
}

func (fit *linearFit) add(tokens float64, took time.Duration, weight float64) {
	millis := float64(took) / float64(time.Millisecond)
	floor := float64(errorFloor) / float64(time.Millisecond)
	weight /= (millis + floor) * (millis + floor)
	fit.sumWeight += weight
	fit.sumX += weight * tokens
	fit.sumY += weight * millis
	fit.sumXX += weight * tokens * tokens
	fit.sumXY += weight * tokens * millis
}

// solve updates both parts. They stay unchanged if all observations have the same prompt length.
func (fit *linearFit) solve() {
	det := fit.sumWeight*fit.sumXX - fit.sumX*fit.sumX
	if det <= 0 {
		return
	}
	slope := (fit.sumWeight*fit.sumXY - fit.sumX*fit.sumY) / det
	base := (fit.sumY - slope*fit.sumX) / fit.sumWeight
	fit.token = max(minToken, time.Duration(slope*float64(time.Millisecond)))
	fit.overhead = max(minOverhead, time.Duration(base*float64(time.Millisecond)))
}

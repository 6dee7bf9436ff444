// Package turn predicts how long a request waits in a queue until its turn, from the work that is served
// before it and from the rate at which the engines took work lately.
//
// # Usage
//
//	pre := turn.New()
//	pre.Served(now, work)          // whenever waiting work is served
//	pre.Waiting(now, que.Len() > 0) // whenever the queue may have become empty or not
//	if wait, known := pre.Wait(now, ahead); known && pre.TooLate(wait, maxWait) {
//		// refuse the request at once
//	}
//	pre.Started(wait, trueWait)    // for each request that was predicted and served
//
// A Predictor isn't safe for concurrent use. It reads no clock.
package turn

import (
	"math"
	"time"
)

const (
	// memory is the time constant of the measured rate. Bursts and losses of engines change it within a
	// second.
	memory = 500 * time.Millisecond
	// minMeasured is how long requests must have waited, within memory, before the rate is known.
	minMeasured = 100 * time.Millisecond
	// minServed is the least work that counts as served within memory.
	minServed = 100 * time.Millisecond
	// errorGain is the weight of a new error, initialError the error assumed at first, as a factor.
	errorGain    = 0.05
	initialError = 2.0
	// lowDeviations is how many mean deviations below the prediction a wait still counts as possible.
	// About one request in ten waits for less than that.
	lowDeviations = 1.5
	// minPredicted is the least prediction whose error counts: shorter ones are within the noise of
	// message delays.
	minPredicted = 10 * time.Millisecond
)

// Predictor predicts the waits in one queue.
type Predictor struct {
	// served is the work served while requests waited, waited the time for which they did, both in
	// seconds and decaying; updatedAt is when.
	served    float64
	waited    float64
	updatedAt time.Time
	isWaiting bool
	// bias and deviation describe the logarithm of the ratio of true to predicted waits.
	bias      float64
	deviation float64
	errors    int
}

// New returns a predictor that knows no rate yet.
func New() *Predictor {
	return &Predictor{deviation: math.Log(initialError)}
}

func (pre *Predictor) update(now time.Time) {
	elapsed := now.Sub(pre.updatedAt)
	if elapsed <= 0 {
		return
	}
	pre.updatedAt = now
	decay := math.Exp(-elapsed.Seconds() / memory.Seconds())
	pre.served *= decay
	pre.waited *= decay
	if pre.isWaiting {
		pre.waited += memory.Seconds() * (1 - decay)
	}
}

// Waiting records whether requests wait from now on.
func (pre *Predictor) Waiting(now time.Time, waiting bool) {
	pre.update(now)
	pre.isWaiting = waiting
}

// Served records that waiting work was served.
func (pre *Predictor) Served(now time.Time, work time.Duration) {
	pre.update(now)
	if pre.isWaiting {
		pre.served += work.Seconds()
	}
}

// Rate returns the work served per second while requests waited, or false if it isn't known.
func (pre *Predictor) Rate(now time.Time) (float64, bool) {
	pre.update(now)
	if pre.waited < minMeasured.Seconds() {
		return 0, false
	}
	// A queue from which nothing was served in the measured time counts as one that is served slowly.
	return max(pre.served, minServed.Seconds()) / pre.waited, true
}

// Wait predicts how long a request waits with so much work ahead of it, or false if the rate isn't known.
func (pre *Predictor) Wait(now time.Time, ahead time.Duration) (time.Duration, bool) {
	rate, known := pre.Rate(now)
	if !known {
		return 0, false
	}
	return time.Duration(ahead.Seconds() / rate * math.Exp(pre.bias) * float64(time.Second)), true
}

// TooLate reports whether a request with a predicted wait certainly waits for longer than it may, as far
// as the errors of the latest predictions show.
func (pre *Predictor) TooLate(wait, maxWait time.Duration) bool {
	return pre.Excess(wait, maxWait) > 0
}

// Excess returns by how much a predicted wait certainly exceeds the longest one that is acceptable.
func (pre *Predictor) Excess(wait, maxWait time.Duration) time.Duration {
	return max(0, time.Duration(float64(wait)*pre.low())-maxWait)
}

// low returns the ratio of a short true wait to the predicted one.
func (pre *Predictor) low() float64 { return math.Exp(-lowDeviations * pre.deviation) }

// Started records the true wait of a request that was predicted to wait.
func (pre *Predictor) Started(predicted, wait time.Duration) {
	if predicted < minPredicted {
		return
	}
	ratio := math.Log(float64(max(wait, time.Millisecond)) / float64(predicted))
	pre.errors++
	pre.bias += errorGain * ratio
	pre.bias = max(-math.Ln2, min(math.Ln2, pre.bias))
	pre.deviation += errorGain * (math.Abs(ratio) - pre.deviation)
}

// Error is how far the predictions are off.
type Error struct {
	// Count is the number of predictions that were compared with true waits.
	Count int
	// Factor is the mean factor, 1 or more, between predicted and true waits.
	Factor float64
}

// Error returns how far the predictions are off.
func (pre *Predictor) Error() Error {
	return Error{Count: pre.errors, Factor: math.Exp(pre.deviation)}
}

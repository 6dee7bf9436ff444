package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestClientWaitIsDifferenceToUsualTimeout(t *testing.T) {
	est := newWaitEstimator()
	const clientTimeout = 12 * time.Second
	for range minTimeoutCount - 1 {
		assert.Equal(t, est.observe("r", clientTimeout), time.Duration(0))
	}
	assert.Equal(t, est.observe("r", 9*time.Second), time.Duration(0), "no timeout is usual yet")
	assert.Equal(t, est.observe("r", clientTimeout), time.Duration(0))
	assert.Equal(t, est.observe("r", 9100*time.Millisecond), 2900*time.Millisecond)
	assert.Equal(t, est.observe("other", 9100*time.Millisecond), time.Duration(0), "clients of another route")
	assert.Equal(t, est.observe("r", 0), time.Duration(0), "a client that reports no timeout")
	assert.Equal(t, est.observe("r", 15*time.Second), time.Duration(0), "longer than any usual timeout")
}

// Clients of one route may have different timeouts. A request with the shorter usual timeout is a
// first attempt, not a retry by a client with the longer one.
func TestShorterUsualTimeoutIsFirstAttempt(t *testing.T) {
	est := newWaitEstimator()
	for range minTimeoutCount {
		est.observe("r", 12*time.Second)
		est.observe("r", 5*time.Second)
	}
	assert.Equal(t, est.observe("r", 5*time.Second), time.Duration(0))
	assert.Equal(t, est.observe("r", 4*time.Second), time.Second)
	assert.Equal(t, est.observe("r", 7*time.Second), 5*time.Second)
}

// Clients of a host that lost power retry after the same time, some of them in the same millisecond.
// Their remaining timeout must not become a usual one.
func TestClusteredRetriesAreNotFirstAttempts(t *testing.T) {
	est := newWaitEstimator()
	for range 10 * maxTimeoutCountRatio * minTimeoutCount {
		est.observe("r", 12*time.Second)
	}
	for range minTimeoutCount {
		assert.Equal(t, est.observe("r", 11*time.Second), time.Second)
	}
}

// When the clients of a route change their timeout, the new timeout becomes a usual one.
func TestChangedTimeoutBecomesUsual(t *testing.T) {
	est := newWaitEstimator()
	for range 100 * halvingCount {
		est.observe("r", 12*time.Second)
	}
	for range halvingCount / maxTimeoutCountRatio {
		est.observe("r", 5*time.Second)
	}
	assert.Equal(t, est.observe("r", 5*time.Second), time.Duration(0))
	assert.Equal(t, est.observe("r", 4*time.Second), time.Second)
}

// Whatever other timeouts clients report, a request with the usual timeout counts as a first attempt.
func TestFirstAttemptsHaveNoClientWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		est := newWaitEstimator()
		const clientTimeout = 12 * time.Second
		for range minTimeoutCount {
			est.observe("r", clientTimeout)
		}
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			reported := time.Duration(rapid.Int64Range(-1, int64(clientTimeout/time.Millisecond)).Draw(t, "reported")) * time.Millisecond
			waited := est.observe("r", reported)
			assert.Assert(t, waited >= 0 && waited <= clientTimeout)
			assert.Equal(t, est.observe("r", clientTimeout), time.Duration(0))
		}
	})
}

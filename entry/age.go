package entry

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxTimeoutsPerRoute bounds the distinct client timeouts counted for a route. Timeouts of
	// first attempts recur, whereas those of retries vary and are evicted.
	maxTimeoutsPerRoute = 64
	// minTimeoutCount is how often a timeout must be seen before it counts as that of a first
	// attempt: three retries seldom carry timeouts that are equal to the millisecond.
	minTimeoutCount = 3
	// maxTimeoutCountRatio is by what factor a timeout may be rarer than the most frequent one
	// and still count as that of a first attempt. Timeouts of retries recur too, since all clients
	// wait equally long for a host that has lost power, but they are rarer by a larger factor.
	maxTimeoutCountRatio = 20
	// halvingCount is the count at which all counts of a route are halved, so that a new
	// first-attempt timeout is recognized within some dozen attempts.
	halvingCount = 1000
	// maxTimeoutRoutes bounds the routes whose timeouts are counted. If a busy route is evicted,
	// its timeouts are counted anew in less than a second.
	maxTimeoutRoutes = 1024
)

// waitEstimator estimates how long clients had been waiting when they sent a request. Each
// attempt carries what is left of the client's timeout, and a first attempt carries all of it.
// The estimate therefore needs no knowledge of the earlier attempts, which may have gone to other
// hosts, or to hosts that are lost.
type waitEstimator struct {
	mutex  sync.Mutex
	routes *simplelru.LRU[string, *timeoutCounts]
}

// timeoutCounts counts how often each client timeout was seen; the least recently seen are
// evicted.
type timeoutCounts = simplelru.LRU[time.Duration, int]

func newWaitEstimator() *waitEstimator {
	// The only error is a size below 1.
	routes, _ := simplelru.NewLRU[string, *timeoutCounts](maxTimeoutRoutes, nil)
	return &waitEstimator{routes: routes}
}

// observe records the timeout that a request carries and returns how long its client had been
// waiting; 0 if that is not known.
func (est *waitEstimator) observe(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	est.mutex.Lock()
	defer est.mutex.Unlock()
	counts, known := est.routes.Get(route)
	if !known {
		counts, _ = simplelru.NewLRU[time.Duration, int](maxTimeoutsPerRoute, nil)
		est.routes.Add(route, counts)
	}
	count, _ := counts.Get(timeout)
	counts.Add(timeout, count+1)
	if count+1 > halvingCount {
		halveCounts(counts)
	}
	return firstAttemptTimeout(counts, timeout) - timeout
}

// halveCounts halves all counts, so that recent timeouts count for more.
func halveCounts(counts *timeoutCounts) {
	for _, value := range counts.Keys() {
		count, _ := counts.Peek(value)
		counts.Add(value, count/2)
	}
}

// firstAttemptTimeout returns the shortest first-attempt timeout that is not below the one
// given, or that one itself if there is none.
func firstAttemptTimeout(counts *timeoutCounts, timeout time.Duration) time.Duration {
	values := counts.Keys()
	most := 0
	for _, value := range values {
		count, _ := counts.Peek(value)
		most = max(most, count)
	}
	least := max(minTimeoutCount, most/maxTimeoutCountRatio)
	shortest := time.Duration(math.MaxInt64)
	for _, value := range values {
		if count, _ := counts.Peek(value); count >= least && value >= timeout {
			shortest = min(shortest, value)
		}
	}
	if shortest == math.MaxInt64 {
		return timeout
	}
	return shortest
}

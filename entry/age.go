package entry

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPatiences bounds the callers' patiences remembered of a route. Those of
	// first tries are the same again and again; those of later tries pass through.
	maxPatiences = 64
	// usualTries is how often a patience was told before it counts as that of a first
	// try: three later tries seldom come in the same millisecond.
	usualTries = 3
	// usualShare is how many times as often the most frequent one may have been told:
	// later tries gather at the times that callers wait for a host without power.
	usualShare = 20
	// maxCounted is the count at which all of a route's are halved, so that a patience
	// that is new becomes a usual one within some dozen tries.
	maxCounted = 1000
	// maxAgedRoutes bounds the routes remembered; busy ones are learned in less than a
	// second.
	maxAgedRoutes = 1024
)

// ages tells how long callers had waited before they sent a request: each of their
// tries says what is left of the same patience, and a first try has it whole. So a
// host knows of earlier tries although it may have seen none of them, since callers
// choose a host anew each time and hosts are lost.
type ages struct {
	mutex  sync.Mutex
	routes *simplelru.LRU[string, *patiences]
}

// patiences counts how often each patience was told, by those told last.
type patiences = simplelru.LRU[time.Duration, int]

func newAges() *ages {
	// The only error is a size below 1.
	routes, _ := simplelru.NewLRU[string, *patiences](maxAgedRoutes, nil)
	return &ages{routes: routes}
}

// note takes in the patience that a request tells, and returns how much of it had
// passed before; 0 where that isn't known.
func (age *ages) note(route string, told time.Duration) time.Duration {
	if told <= 0 {
		return 0
	}
	age.mutex.Lock()
	defer age.mutex.Unlock()
	pat, known := age.routes.Get(route)
	if !known {
		pat, _ = simplelru.NewLRU[time.Duration, int](maxPatiences, nil)
		age.routes.Add(route, pat)
	}
	count, _ := pat.Get(told)
	pat.Add(told, count+1)
	if count+1 > maxCounted {
		halve(pat)
	}
	return usualAbove(pat, told) - told
}

// halve has what was told lately count for more.
func halve(pat *patiences) {
	for _, value := range pat.Keys() {
		count, _ := pat.Peek(value)
		pat.Add(value, count/2)
	}
}

// usualAbove returns the shortest usual patience that isn't below the one told, or
// that one itself.
func usualAbove(pat *patiences, told time.Duration) time.Duration {
	values := pat.Keys()
	most := 0
	for _, value := range values {
		count, _ := pat.Peek(value)
		most = max(most, count)
	}
	least := max(usualTries, most/usualShare)
	usual := time.Duration(math.MaxInt64)
	for _, value := range values {
		if count, _ := pat.Peek(value); count >= least && value >= told {
			usual = min(usual, value)
		}
	}
	if usual == math.MaxInt64 {
		return told
	}
	return usual
}

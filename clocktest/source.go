// Package clocktest is a stand-in of a host's clocks, which a test may suspend and set.
//
// # Usage
//
//	src := clocktest.NewSource()
//	clk := clock.New(clock.Config{Source: src})
//	src.Suspend(10 * time.Second) // the steady clock doesn't notice
//	src.Set(-2 * time.Second)     // somebody sets the time of day
package clocktest

import (
	"sync"
	"time"
)

// Source goes on as the real clocks do, beside what the test does to it.
type Source struct {
	start     time.Time
	mutex     sync.Mutex
	suspended time.Duration
	set       time.Duration
	// stopped has the steady clock stand at a time that Advance moves.
	stopped bool
	steady  time.Duration
	boots   int
	err     error
}

// NewSource returns clocks that go on by themselves.
func NewSource() *Source {
	return &Source{start: time.Now()}
}

// NewStopped returns clocks that Advance moves, and nothing else.
func NewStopped() *Source {
	return &Source{start: time.Unix(1_000_000, 0), stopped: true}
}

// Suspend lets time pass that the steady clock doesn't count.
func (src *Source) Suspend(dur time.Duration) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	src.suspended += dur
}

// Set moves the time of day, forward or back.
func (src *Source) Set(by time.Duration) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	src.set += by
}

// Advance lets time pass on stopped clocks.
func (src *Source) Advance(dur time.Duration) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	src.steady += dur
}

// Fail has the clock that counts suspensions fail from now on; nil has it work.
func (src *Source) Fail(err error) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	src.err = err
}

// Boots returns how often the clock that counts suspensions was read.
func (src *Source) Boots() int {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	return src.boots
}

// Now implements clock.Source.
func (src *Source) Now() (time.Duration, time.Time) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	steady := src.elapsed()
	return steady, src.start.Round(0).Add(steady + src.suspended + src.set)
}

// Boot implements clock.Source.
func (src *Source) Boot() (time.Duration, error) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	src.boots++
	return src.elapsed() + src.suspended, src.err
}

func (src *Source) elapsed() time.Duration {
	if src.stopped {
		return src.steady
	}
	return time.Since(src.start)
}

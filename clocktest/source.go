// Package clocktest provides a fake of a host's clocks, with which a test simulates suspensions
// and changes of the wall clock.
//
// # Usage
//
//	src := clocktest.NewSource()
//	clk := clock.New(clock.Config{Source: src})
//	src.Suspend(10 * time.Second)        // the monotonic clock doesn't advance
//	src.ShiftWallClock(-2 * time.Second) // the wall clock is set back
package clocktest

import (
	"sync"
	"time"
)

// Source is a fake of the operating system's clocks. It is safe for concurrent use.
type Source struct {
	start time.Time
	mutex sync.Mutex
	// suspended is the total of all suspensions, shift the total of all shifts of the wall clock.
	suspended time.Duration
	shift     time.Duration
	// stopped is set if the monotonic clock returns monotonic, which Advance increases, instead
	// of the real time since start.
	stopped   bool
	monotonic time.Duration
	bootReads int
	// err is the error of each read of the boot-time clock.
	err error
}

// NewSource returns a source whose clocks follow the real time.
func NewSource() *Source {
	return &Source{start: time.Now()}
}

// NewStopped returns a source whose clocks only change through Advance, Suspend and
// ShiftWallClock.
func NewStopped() *Source {
	return &Source{start: time.Unix(1_000_000, 0), stopped: true}
}

// Suspend simulates a suspension: it advances the boot-time clock and the wall clock, but not the
// monotonic clock.
func (src *Source) Suspend(dur time.Duration) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	src.suspended += dur
}

// ShiftWallClock moves the wall clock forward, or back if the duration is negative.
func (src *Source) ShiftWallClock(by time.Duration) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	src.shift += by
}

// Advance advances all clocks of a source that NewStopped returned.
func (src *Source) Advance(dur time.Duration) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	src.monotonic += dur
}

// FailBoot makes each read of the boot-time clock return the error; nil ends the failures.
func (src *Source) FailBoot(err error) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	src.err = err
}

// BootReads returns the number of reads of the boot-time clock.
func (src *Source) BootReads() int {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	return src.bootReads
}

// Now implements clock.Source.
func (src *Source) Now() (time.Duration, time.Time) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	monotonic := src.elapsed()
	return monotonic, src.start.Round(0).Add(monotonic + src.suspended + src.shift)
}

// Boot implements clock.Source.
func (src *Source) Boot() (time.Duration, error) {
	src.mutex.Lock()
	defer src.mutex.Unlock()
	src.bootReads++
	return src.elapsed() + src.suspended, src.err
}

func (src *Source) elapsed() time.Duration {
	if src.stopped {
		return src.monotonic
	}
	return time.Since(src.start)
}

// Package clock provides the time by which a host checks leases, deadlines, holds and the age of
// its snapshots, and which includes the time for which the host was suspended.
//
// A host may be suspended for seconds. The monotonic clock of the operating system and all
// timers stop during a suspension. The wall clock continues, but may be set at any time. A
// Clock follows the monotonic clock and adds the length of each suspension, so that a resumed
// host detects which leases and deadlines have expired.
//
// # Usage
//
//	clk := clock.New(clock.Config{OnSuspension: func(dur time.Duration) { ... }})
//	lease := clk.Now().Add(ttl)
//	ctx, cancel := clk.WithDeadline(ctx, clk.Now().Add(wait))
//	go clk.Watch(ctx) // detects suspensions while the clock isn't read
//
// Compare the times of a Clock only with one another, never with time.Now: they carry no
// monotonic reading. Code that only measures a duration, such as the time until an answer
// arrived, uses time.Since.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minSuspended is the shortest suspension that counts. Shorter differences between the
	// boot-time and the monotonic clock occur because the two are read one after the other.
	minSuspended = 2 * time.Millisecond
	// maxDrift is how far the wall clock may diverge from the monotonic clock before the
	// boot-time clock is read. A wall clock disciplined by NTP diverges by at most half a
	// millisecond per second. A larger divergence means that the wall clock was set or the host
	// was suspended. The boot-time clock, whose reading takes a system call, is thus rarely read.
	maxDrift = 5 * time.Millisecond
	// watchInterval is the interval at which Watch checks for a suspension: a quarter of the
	// second after which clients switch to another host.
	watchInterval = 250 * time.Millisecond
)

// Source provides the readings of the operating system's clocks.
type Source interface {
	// Now returns the monotonic clock's time since an arbitrary fixed point, and the wall
	// clock's time.
	Now() (monotonic time.Duration, wall time.Time)
	// Boot returns the boot-time clock's time since an arbitrary fixed point, including the
	// time for which the host was suspended.
	Boot() (time.Duration, error)
}

// Config holds the settings of a Clock.
type Config struct {
	// Source provides the readings; nil means the operating system's clocks.
	Source Source
	// OnSuspension is called after each suspension with the suspension's length. It may be nil
	// and must not block.
	OnSuspension func(time.Duration)
	// OnBootError is called with the error if the boot-time clock can't be read. It may be nil.
	OnBootError func(error)
}

// Clock follows the monotonic clock and adds the length of each suspension. It is safe for
// concurrent use.
type Clock struct {
	cfg Config
	// base, monotonic and boot are the readings of the wall clock, the monotonic clock and the
	// boot-time clock at the start.
	base      time.Time
	monotonic time.Duration
	boot      time.Duration
	// suspended is the total length of the suspensions since the start, in nanoseconds.
	suspended atomic.Int64
	// divergence is the divergence of the wall clock from the monotonic clock at the most
	// recent check for a suspension, in nanoseconds.
	divergence atomic.Int64

	mutex     sync.Mutex
	deadlines map[*deadline]struct{}
}

// New returns a clock that starts at the current time of the wall clock.
func New(cfg Config) *Clock {
	if cfg.Source == nil {
		cfg.Source = newSystem()
	}
	if cfg.OnSuspension == nil {
		cfg.OnSuspension = func(time.Duration) {}
	}
	if cfg.OnBootError == nil {
		cfg.OnBootError = func(error) {}
	}
	clk := &Clock{cfg: cfg, deadlines: make(map[*deadline]struct{})}
	monotonic, wall := cfg.Source.Now()
	clk.monotonic, clk.base = monotonic, wall.Round(0)
	boot, err := cfg.Source.Boot()
	if err != nil {
		cfg.OnBootError(err)
	}
	clk.boot = boot
	return clk
}

// Now returns the time, which never goes backwards. It checks for a suspension if the wall clock
// has diverged.
func (clk *Clock) Now() time.Time {
	monotonic, wall := clk.cfg.Source.Now()
	monotonic -= clk.monotonic
	divergence := int64(wall.Round(0).Sub(clk.base) - monotonic)
	if drift := time.Duration(divergence - clk.divergence.Load()); drift > maxDrift || drift < -maxDrift {
		clk.checkSuspension(divergence)
	}
	return clk.base.Add(monotonic + time.Duration(clk.suspended.Load()))
}

// nowUnchecked returns the time without checking for a suspension.
func (clk *Clock) nowUnchecked() time.Time {
	monotonic, _ := clk.cfg.Source.Now()
	return clk.base.Add(monotonic - clk.monotonic + time.Duration(clk.suspended.Load()))
}

// Since returns the duration since a time of this clock.
func (clk *Clock) Since(at time.Time) time.Duration {
	return clk.Now().Sub(at)
}

// Until returns the duration until a time of this clock.
func (clk *Clock) Until(at time.Time) time.Duration {
	return at.Sub(clk.Now())
}

// checkSuspension reads the boot-time clock and, if the host was suspended, advances the clock by
// the suspension, resets the timers of all deadlines and reports the suspension.
func (clk *Clock) checkSuspension(divergence int64) {
	// Until the suspension is counted, readings by others have to look for it, too.
	defer clk.divergence.Store(divergence)
	boot, err := clk.cfg.Source.Boot()
	if err != nil {
		clk.cfg.OnBootError(err)
		return
	}
	monotonic, _ := clk.cfg.Source.Now()
	total := boot - clk.boot - (monotonic - clk.monotonic)
	known := time.Duration(clk.suspended.Load())
	if total-known < minSuspended || !clk.suspended.CompareAndSwap(int64(known), int64(total)) {
		return
	}
	clk.resetDeadlineTimers()
	clk.cfg.OnSuspension(total - known)
}

// Watch checks for suspensions until the context is canceled, and returns the context's error.
func (clk *Clock) Watch(ctx context.Context) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			clk.Now()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

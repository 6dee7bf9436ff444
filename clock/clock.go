// Package clock tells by what time a host's rights last and lapse: leases, ages of what it
// knows, deadlines, holds.
//
// A host may be suspended for seconds. The steady clock of the operating system stands
// still meanwhile, and so do all timers; the time of day goes on, but may be set at any
// moment. A Clock goes on like the former and counts what the host was suspended, so that
// a host that wakes up knows what has lapsed.
//
// # Usage
//
//	clk := clock.New(clock.Config{Suspended: func(dur time.Duration) { ... }})
//	lease := clk.Now().Add(ttl)
//	ctx, cancel := clk.WithDeadline(ctx, clk.Now().Add(wait))
//	go clk.Watch(ctx) // notices a suspension while nobody asks for the time
//
// Its times hold no reading of the steady clock, so they are compared with one another
// only, never with time.Now. What only measures, such as how long an answer took, keeps to
// time.Since.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minSuspended is the least suspension that counts: readings of two clocks, one after the
	// other, differ by less.
	minSuspended = 2 * time.Millisecond
	// drift is by how much the time of day may part from the steady clock before the clock
	// that counts suspensions is asked: a clock that is disciplined by the network parts by
	// half a millisecond a second at most, one that was set or a host that was suspended at
	// once. So that one, which costs a system call, is hardly ever asked.
	drift = 5 * time.Millisecond
	// watchInterval is how often a Clock that nobody asks looks for a suspension: a
	// quarter of the second after which callers go elsewhere.
	watchInterval = 250 * time.Millisecond
)

// Source are the clocks of the operating system.
type Source interface {
	// Now returns the steady clock's time since some start, and the time of day.
	Now() (steady time.Duration, day time.Time)
	// Boot returns the time since some start, with what the host was suspended.
	Boot() (time.Duration, error)
}

// Config holds what a Clock is made from.
type Config struct {
	// Source is nil for the operating system's clocks.
	Source Source
	// Suspended is called after each suspension, with its length; nil for nobody. It must
	// not wait.
	Suspended func(time.Duration)
	// Failed is called where the clock that counts suspensions can't be read; nil for
	// nobody.
	Failed func(error)
}

// Clock tells the time; it is safe for use by several goroutines.
type Clock struct {
	cfg Config
	// base is the time of day at the start, steady and boot are the clocks' readings then.
	base   time.Time
	steady time.Duration
	boot   time.Duration
	// suspended is for how long the host was suspended since.
	suspended atomic.Int64
	// parted is by how much the time of day had parted from the steady clock when
	// suspensions were last looked for.
	parted atomic.Int64

	mutex     sync.Mutex
	deadlines map[*deadline]struct{}
}

// New returns a clock that begins with the time of day.
func New(cfg Config) *Clock {
	if cfg.Source == nil {
		cfg.Source = newSystem()
	}
	if cfg.Suspended == nil {
		cfg.Suspended = func(time.Duration) {}
	}
	if cfg.Failed == nil {
		cfg.Failed = func(error) {}
	}
	clk := &Clock{cfg: cfg, deadlines: make(map[*deadline]struct{})}
	steady, day := cfg.Source.Now()
	clk.steady, clk.base = steady, day.Round(0)
	boot, err := cfg.Source.Boot()
	if err != nil {
		cfg.Failed(err)
	}
	clk.boot = boot
	return clk
}

// Now returns the time. It never goes back.
func (clk *Clock) Now() time.Time {
	steady, day := clk.cfg.Source.Now()
	steady -= clk.steady
	parted := int64(day.Round(0).Sub(clk.base) - steady)
	if moved := time.Duration(parted - clk.parted.Load()); moved > drift || moved < -drift {
		clk.look(parted)
	}
	return clk.base.Add(steady + time.Duration(clk.suspended.Load()))
}

// known returns the time by what is known of suspensions, without looking for another.
func (clk *Clock) known() time.Time {
	steady, _ := clk.cfg.Source.Now()
	return clk.base.Add(steady - clk.steady + time.Duration(clk.suspended.Load()))
}

// Since returns how long ago a time of this clock was.
func (clk *Clock) Since(at time.Time) time.Duration {
	return clk.Now().Sub(at)
}

// Until returns how far off a time of this clock is.
func (clk *Clock) Until(at time.Time) time.Duration {
	return at.Sub(clk.Now())
}

// look asks for how long the host was suspended.
func (clk *Clock) look(parted int64) {
	clk.parted.Store(parted)
	boot, err := clk.cfg.Source.Boot()
	if err != nil {
		clk.cfg.Failed(err)
		return
	}
	steady, _ := clk.cfg.Source.Now()
	total := boot - clk.boot - (steady - clk.steady)
	before := time.Duration(clk.suspended.Load())
	if total-before < minSuspended || !clk.suspended.CompareAndSwap(int64(before), int64(total)) {
		return
	}
	clk.moveDeadlines()
	clk.cfg.Suspended(total - before)
}

// Watch looks for suspensions until the context ends.
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

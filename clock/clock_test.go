package clock_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/clock"
	"lynxwell.dev/lynxwell/clocktest"
)

// In any order of events, the clock must advance by the time for which the host ran and the time
// for which it was suspended. Setting the wall clock must change nothing.
func TestClockCountsSuspensionsAndNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := clocktest.NewStopped()
		clk := clock.New(clock.Config{Source: src})
		start, elapsed := clk.Now(), time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			dur := time.Duration(rapid.IntRange(10, 20_000).Draw(t, "milliseconds")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				src.Advance(dur)
				elapsed += dur
			case 1:
				src.Suspend(dur)
				elapsed += dur
			case 2:
				src.ShiftWallClock(dur)
			case 3:
				src.ShiftWallClock(-dur)
			}
			assert.Equal(t, clk.Since(start), elapsed)
		}
	})
}

func TestClockReportsASuspensionOnce(t *testing.T) {
	src := clocktest.NewStopped()
	var reported []time.Duration
	clk := clock.New(clock.Config{Source: src, OnSuspension: func(dur time.Duration) { reported = append(reported, dur) }})
	src.ShiftWallClock(time.Hour)
	clk.Now()
	src.Suspend(3 * time.Second)
	clk.Now()
	clk.Now()
	assert.DeepEqual(t, reported, []time.Duration{3 * time.Second})
}

// Reading the boot-time clock takes a system call. It must be read only when the wall clock and
// the monotonic clock have diverged, and not on each reading of the time.
func TestBootTimeClockIsRarelyRead(t *testing.T) {
	src := clocktest.NewStopped()
	clk := clock.New(clock.Config{Source: src})
	before := src.BootReads()
	for range 1000 {
		src.Advance(time.Second)
		src.ShiftWallClock(100 * time.Microsecond)
		clk.Now()
	}
	assert.Assert(t, src.BootReads()-before <= 20, src.BootReads())
}

func TestClockAdvancesWithoutTheBootTimeClock(t *testing.T) {
	src := clocktest.NewStopped()
	var failed error
	clk := clock.New(clock.Config{Source: src, OnBootError: func(err error) { failed = err }})
	start := clk.Now()
	src.FailBoot(errors.New("no boot-time clock"))
	src.Suspend(time.Second)
	src.Advance(time.Second)
	assert.Equal(t, clk.Since(start), time.Second)
	assert.Error(t, failed, "no boot-time clock")
}

func TestDeadlinePassesDuringASuspension(t *testing.T) {
	src := clocktest.NewSource()
	clk := clock.New(clock.Config{Source: src})
	ctx, cancel := clk.WithDeadline(t.Context(), clk.Now().Add(time.Hour))
	defer cancel()
	later, cancelLater := clk.WithDeadline(t.Context(), clk.Now().Add(3*time.Hour))
	defer cancelLater()
	src.Suspend(2 * time.Hour)
	clk.Now()
	awaitCancel(ctx, t)
	assert.Assert(t, errors.Is(context.Cause(ctx), context.DeadlineExceeded))
	assert.NilError(t, later.Err())
}

func TestDeadlinePassesWithoutASuspension(t *testing.T) {
	clk := clock.New(clock.Config{})
	ctx, cancel := clk.WithDeadline(t.Context(), clk.Now().Add(time.Millisecond))
	defer cancel()
	awaitCancel(ctx, t)
	assert.Assert(t, errors.Is(context.Cause(ctx), context.DeadlineExceeded))
}

func awaitCancel(ctx context.Context, t *testing.T) {
	t.Helper()
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the context was not canceled within 10 s")
	}
}

func TestWatchDetectsASuspensionWhileTheClockIsNotRead(t *testing.T) {
	src := clocktest.NewSource()
	detected := make(chan time.Duration, 1)
	clk := clock.New(clock.Config{Source: src, OnSuspension: func(dur time.Duration) { detected <- dur }})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- clk.Watch(ctx) }()
	src.Suspend(time.Minute)
	select {
	case dur := <-detected:
		assert.Equal(t, dur.Round(time.Second), time.Minute)
	case <-time.After(10 * time.Second):
		t.Fatal("the suspension was not detected within 10 s")
	}
	cancel()
	assert.Assert(t, errors.Is(<-end, context.Canceled))
}

func BenchmarkNow(b *testing.B) {
	clk := clock.New(clock.Config{})
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			_ = clk.Now()
		}
	})
	b.Run("time", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
}

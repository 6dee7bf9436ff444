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

// Whatever happens to the clocks, in whatever order, time goes on by what passed and by
// what the host was suspended; setting the time of day changes nothing.
func TestClockCountsSuspensionsAndNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := clocktest.NewStopped()
		clk := clock.New(clock.Config{Source: src})
		start, passed := clk.Now(), time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			dur := time.Duration(rapid.IntRange(10, 20_000).Draw(t, "milliseconds")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				src.Advance(dur)
				passed += dur
			case 1:
				src.Suspend(dur)
				passed += dur
			case 2:
				src.Set(dur)
			case 3:
				src.Set(-dur)
			}
			assert.Equal(t, clk.Since(start), passed)
		}
	})
}

func TestClockTellsOfASuspension(t *testing.T) {
	src := clocktest.NewStopped()
	var told []time.Duration
	clk := clock.New(clock.Config{Source: src, Suspended: func(dur time.Duration) { told = append(told, dur) }})
	src.Set(time.Hour)
	clk.Now()
	src.Suspend(3 * time.Second)
	clk.Now()
	clk.Now()
	assert.DeepEqual(t, told, []time.Duration{3 * time.Second})
}

// The clock that counts suspensions costs a system call: it is asked when the time of day
// and the steady clock have parted, and not for each reading.
func TestSuspensionsAreLookedForSeldom(t *testing.T) {
	src := clocktest.NewStopped()
	clk := clock.New(clock.Config{Source: src})
	before := src.Boots()
	for range 1000 {
		src.Advance(time.Second)
		src.Set(100 * time.Microsecond)
		clk.Now()
	}
	assert.Assert(t, src.Boots()-before <= 20, src.Boots())
}

func TestClockGoesOnWithoutTheOneThatCountsSuspensions(t *testing.T) {
	src := clocktest.NewStopped()
	var failed error
	clk := clock.New(clock.Config{Source: src, Failed: func(err error) { failed = err }})
	start := clk.Now()
	src.Fail(errors.New("not there"))
	src.Suspend(time.Second)
	src.Advance(time.Second)
	assert.Equal(t, clk.Since(start), time.Second)
	assert.Error(t, failed, "not there")
}

func TestDeadlineEndsInASuspension(t *testing.T) {
	src := clocktest.NewSource()
	clk := clock.New(clock.Config{Source: src})
	ctx, cancel := clk.WithDeadline(t.Context(), clk.Now().Add(time.Hour))
	defer cancel()
	later, cancelLater := clk.WithDeadline(t.Context(), clk.Now().Add(3*time.Hour))
	defer cancelLater()
	src.Suspend(2 * time.Hour)
	clk.Now()
	awaitEnd(ctx, t)
	assert.Assert(t, errors.Is(context.Cause(ctx), context.DeadlineExceeded))
	assert.NilError(t, later.Err())
}

func TestDeadlineEndsWithoutASuspension(t *testing.T) {
	clk := clock.New(clock.Config{})
	ctx, cancel := clk.WithDeadline(t.Context(), clk.Now().Add(time.Millisecond))
	defer cancel()
	awaitEnd(ctx, t)
	assert.Assert(t, errors.Is(context.Cause(ctx), context.DeadlineExceeded))
}

func awaitEnd(ctx context.Context, t *testing.T) {
	t.Helper()
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("it doesn't end")
	}
}

func TestWatchNoticesASuspensionWhileNobodyAsks(t *testing.T) {
	src := clocktest.NewSource()
	noticed := make(chan time.Duration, 1)
	clk := clock.New(clock.Config{Source: src, Suspended: func(dur time.Duration) { noticed <- dur }})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- clk.Watch(ctx) }()
	src.Suspend(time.Minute)
	select {
	case dur := <-noticed:
		assert.Equal(t, dur.Round(time.Second), time.Minute)
	case <-time.After(10 * time.Second):
		t.Fatal("it isn't noticed")
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

package clock

import (
	"context"
	"time"
)

// deadline ends a context at a time of the clock.
type deadline struct {
	at     time.Time
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// WithDeadline returns a context that ends at a time of this clock, also where the host was
// suspended meanwhile, with context.DeadlineExceeded as its cause.
func (clk *Clock) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	dea := &deadline{at: at, cancel: cancel}
	now := clk.Now()
	clk.mutex.Lock()
	dea.timer = time.AfterFunc(at.Sub(now), func() { cancel(context.DeadlineExceeded) })
	clk.deadlines[dea] = struct{}{}
	clk.mutex.Unlock()
	return ctx, func() {
		clk.mutex.Lock()
		delete(clk.deadlines, dea)
		clk.mutex.Unlock()
		dea.timer.Stop()
		cancel(context.Canceled)
	}
}

// moveDeadlines lets all timers end sooner after a suspension, in which they stood still.
func (clk *Clock) moveDeadlines() {
	clk.mutex.Lock()
	defer clk.mutex.Unlock()
	now := clk.known()
	for dea := range clk.deadlines {
		dea.timer.Reset(max(0, dea.at.Sub(now)))
	}
}

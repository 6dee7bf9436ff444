package clock

import (
	"context"
	"time"
)

// deadline cancels a context at a time of the clock.
type deadline struct {
	at     time.Time
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// WithDeadline returns a context that is canceled at a time of this clock, even if the host is
// suspended in the meantime. Its cause is then context.DeadlineExceeded.
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

// moveDeadlines resets all timers after a suspension, during which they didn't run.
func (clk *Clock) moveDeadlines() {
	clk.mutex.Lock()
	defer clk.mutex.Unlock()
	now := clk.nowUnchecked()
	for dea := range clk.deadlines {
		dea.timer.Reset(max(0, dea.at.Sub(now)))
	}
}

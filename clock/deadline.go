package clock

import (
	"context"
	"time"
)

// deadline cancels a context when the clock reaches the time at.
type deadline struct {
	at     time.Time
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// WithDeadline returns a context that is canceled at a time of this clock, with the cause
// context.DeadlineExceeded. If the time passes during a suspension, the context is canceled when
// the suspension is detected.
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

// resetDeadlineTimers resets the timers of all deadlines after a suspension, during which timers
// don't run.
func (clk *Clock) resetDeadlineTimers() {
	clk.mutex.Lock()
	defer clk.mutex.Unlock()
	now := clk.nowUnchecked()
	for dea := range clk.deadlines {
		dea.timer.Reset(max(0, dea.at.Sub(now)))
	}
}

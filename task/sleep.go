package task

import (
	"context"
	"time"
)

// Sleep waits, but not beyond the context; it reports whether the whole time has
// passed.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

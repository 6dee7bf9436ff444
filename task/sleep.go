package task

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context is done. It reports whether the full
// duration has passed.
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

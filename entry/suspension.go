package entry

import (
	"context"
	"time"
)

// A host that was suspended must not act on what has lapsed meanwhile: keys that were taken
// away, deadlines, leases, its place among the hosts. All of these go by its clock, which
// counts the time; what stood still with the host is put right here.

// noteSuspended has the host doubt what others knew of it before it was suspended. Sessions
// that were silent for so long have ended at the other end: until they are opened again
// this host decides alone, with its own part of the limits.
func (hos *Host) noteSuspended(dur time.Duration) {
	hos.figures.count("Suspensions")
	hos.log.Warn().Dur("For", dur).Msg("host was suspended")
	select {
	case hos.woken <- dur:
	default:
		// The one before isn't dealt with yet, and does for both.
	}
}

// keepAwake puts right what a suspension left behind, until the context ends.
func (hos *Host) keepAwake(ctx context.Context) error {
	for {
		select {
		case dur := <-hos.woken:
			hos.doubtLease()
			if dur >= peerTiming.Timeout {
				hos.desk.dropSessions()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// noteClockFailed says that suspensions can't be noticed.
func (hos *Host) noteClockFailed(err error) {
	hos.figures.count("ClockFailures")
	hos.log.Error().Err(err).Msg("clock that counts suspensions can't be read, the steady one is used")
}

// dropSessions ends all sessions with other hosts.
func (des *desk) dropSessions() {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	for _, lin := range des.links {
		lin.cancel()
	}
	for _, inb := range des.inbound {
		inb.cancel()
	}
}

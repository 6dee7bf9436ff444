package entry

import (
	"context"
	"time"
)

// A host that was suspended must not use what may have become invalid meanwhile: client keys,
// deadlines, leases, its own entry. All of these are checked against the host's clock, which counts
// the time of the suspension. The lease and the sessions, which the host couldn't maintain, are
// handled here.

// recordSuspension counts and logs a suspension and wakes handleSuspensions.
func (hos *Host) recordSuspension(dur time.Duration) {
	hos.metrics.count("Suspensions")
	hos.log.Warn().Dur("For", dur).Msg("host was suspended")
	select {
	case hos.resumed <- dur:
	default:
		// The previous suspension isn't handled yet; its handling covers both.
	}
}

// handleSuspensions renews the lease after each suspension, until the context ends. After a
// suspension of at least the peer timeout, the peers have ended their sessions with this host. This
// host then closes them too, and uses its own scheduler with its own share of the limits until
// sessions are open again.
func (hos *Host) handleSuspensions(ctx context.Context) error {
	for {
		select {
		case dur := <-hos.resumed:
			hos.renewLeaseSoon()
			if dur >= peerTiming.Timeout {
				hos.broker.closeSessions()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recordClockFailure reports that suspensions can't be detected.
func (hos *Host) recordClockFailure(err error) {
	hos.metrics.count("ClockFailures")
	hos.log.Error().Err(err).Msg("clock that counts suspensions can't be read, using the monotonic clock")
}

// closeSessions closes all sessions with other hosts.
func (bro *broker) closeSessions() {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	for _, lin := range bro.links {
		lin.cancel()
	}
	for _, inb := range bro.inbound {
		inb.cancel()
	}
}

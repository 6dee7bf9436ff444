package entry

import (
	"context"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

const (
	// presenceInterval is how often a coordinator checks which hosts are unreachable: a fraction
	// of the 0.3 s after which a lost host counts as unreachable. It limits the messages to one
	// per host and interval.
	presenceInterval = 100 * time.Millisecond
	// idlePresence is the interval for hosts without sessions from gateways, which is
	// nearly all of them.
	idlePresence = time.Second
)

// keepPresence publishes the unreachable hosts, whenever they change, to the gateways that
// use this host as their coordinator.
func (bro *desk) keepPresence(ctx context.Context) error {
	timer := time.NewTimer(idlePresence)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(bro.tellAbsent(bro.host.clock.Now()))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tellAbsent publishes the unreachable hosts if they have changed, and returns the time
// until the next check.
func (bro *desk) tellAbsent(now time.Time) time.Duration {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if len(bro.inbound)+len(bro.toldAbsent) == 0 {
		return idlePresence
	}
	unreachable := bro.presence.Absent(now)
	if slices.Equal(unreachable, bro.toldAbsent) {
		return presenceInterval
	}
	if bro.active == bro.host.epoch {
		bro.host.log.Info().Int("Absent", len(unreachable)).Int("Former", len(bro.toldAbsent)).Int("Hosts", len(bro.roster.members)).Msg("unreachable hosts changed")
	}
	bro.toldAbsent = unreachable
	for _, inb := range bro.inbound {
		if inb.appointed {
			bro.tellAbsentTo(inb)
		}
	}
	bro.takeAbsent(bro.host.epoch, unreachable)
	return presenceInterval
}

func (bro *desk) tellAbsentTo(inb *inbound) {
	inb.send(reservation.Absent{Hosts: bro.toldAbsent})
}

// takeAbsent applies a report of unreachable hosts if it is the coordinator's; the mutex is
// held.
func (bro *desk) takeAbsent(by request.Epoch, hosts []request.Epoch) {
	if by != bro.active {
		return
	}
	unreachable := make(map[request.Epoch]bool, len(hosts))
	for _, epo := range hosts {
		unreachable[epo] = true
	}
	bro.absent.Store(&unreachable)
}

// isAbsent reports whether the coordinator takes a registered host to be unreachable.
func (bro *desk) isAbsent(epo request.Epoch) bool {
	unreachable := bro.absent.Load()
	return unreachable != nil && (*unreachable)[epo]
}

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
	// idlePresenceInterval is the interval for hosts without sessions from gateways: nearly all
	// hosts.
	idlePresenceInterval = time.Second
)

// maintainPresence publishes the unreachable hosts, whenever they change, to the gateways that
// use this host as their coordinator.
func (bro *broker) maintainPresence(ctx context.Context) error {
	timer := time.NewTimer(idlePresenceInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(bro.publishUnreachable(bro.host.clock.Now()))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// publishUnreachable publishes the unreachable hosts if they have changed, and returns the time
// until the next check.
func (bro *broker) publishUnreachable(now time.Time) time.Duration {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if len(bro.inbound)+len(bro.publishedUnreachable) == 0 {
		return idlePresenceInterval
	}
	unreachable := bro.presence.Unreachable(now)
	if slices.Equal(unreachable, bro.publishedUnreachable) {
		return presenceInterval
	}
	if bro.coordinator == bro.host.epoch {
		bro.host.log.Info().Int("Absent", len(unreachable)).Int("Former", len(bro.publishedUnreachable)).Int("Hosts", len(bro.membership.members)).Msg("unreachable hosts changed")
	}
	bro.publishedUnreachable = unreachable
	for _, inb := range bro.inbound {
		if inb.delegated {
			bro.sendUnreachable(inb)
		}
	}
	bro.applyUnreachable(bro.host.epoch, unreachable)
	return presenceInterval
}

func (bro *broker) sendUnreachable(inb *inbound) {
	inb.send(reservation.UnreachableHosts{Hosts: bro.publishedUnreachable})
}

// applyUnreachable applies a report of unreachable hosts if it is the coordinator's; the mutex
// must be held.
func (bro *broker) applyUnreachable(by request.Epoch, hosts []request.Epoch) {
	if by != bro.coordinator {
		return
	}
	unreachable := make(map[request.Epoch]bool, len(hosts))
	for _, epo := range hosts {
		unreachable[epo] = true
	}
	bro.unreachableHosts.Store(&unreachable)
}

// isUnreachable reports whether the coordinator has reported a host as unreachable.
func (bro *broker) isUnreachable(epo request.Epoch) bool {
	unreachable := bro.unreachableHosts.Load()
	return unreachable != nil && (*unreachable)[epo]
}

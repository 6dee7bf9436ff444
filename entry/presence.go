package entry

import (
	"context"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

const (
	// presenceInterval is how often a coordinator looks which hosts are absent: a part of
	// the 0.3 s after which a host that was lost is, and one message to each host at most.
	presenceInterval = 100 * time.Millisecond
	// idlePresence is the same for hosts that nobody may have decide, nearly all.
	idlePresence = time.Second
)

// keepPresence has a coordinator tell all hosts that it decides for which ones are
// absent, whenever that changes.
func (des *desk) keepPresence(ctx context.Context) error {
	timer := time.NewTimer(idlePresence)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(des.tellAbsent(des.host.clock.Now()))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tellAbsent tells all hosts which ones are absent if that has changed, and returns
// when to look again.
func (des *desk) tellAbsent(now time.Time) time.Duration {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if len(des.inbound)+len(des.toldAbsent) == 0 {
		return idlePresence
	}
	absent := des.presence.Absent(now)
	if slices.Equal(absent, des.toldAbsent) {
		return presenceInterval
	}
	if des.active == des.host.epoch {
		des.host.log.Info().Int("Absent", len(absent)).Int("Former", len(des.toldAbsent)).Int("Hosts", len(des.roster.members)).Msg("hosts absent")
	}
	des.toldAbsent = absent
	for _, inb := range des.inbound {
		if inb.appointed {
			des.tellAbsentTo(inb)
		}
	}
	des.takeAbsent(des.host.epoch, absent)
	return presenceInterval
}

func (des *desk) tellAbsentTo(inb *inbound) {
	inb.send(reservation.Absent{Hosts: des.toldAbsent})
}

// takeAbsent takes the word of the coordinator that decides for this host; the mutex
// is held.
func (des *desk) takeAbsent(by request.Epoch, hosts []request.Epoch) {
	if by != des.active {
		return
	}
	absent := make(map[request.Epoch]bool, len(hosts))
	for _, epo := range hosts {
		absent[epo] = true
	}
	des.absent.Store(&absent)
}

// isAbsent reports whether the coordinator takes a host with an entry for lost.
func (des *desk) isAbsent(epo request.Epoch) bool {
	absent := des.absent.Load()
	return absent != nil && (*absent)[epo]
}

package entry

import (
	"context"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/takeover"
	"lynxwell.dev/lynxwell/task"
)

// maxOwnDelay is how late this host's own timers may be for its judgment to count: a host that is slow
// itself sees every coordinator late, and can't replace one.
const maxOwnDelay = 50 * time.Millisecond

// watchCoordinator reports a coordinator that decides too slowly to the other candidates, and replaces
// one that most hosts report, until the context ends.
func (bro *broker) watchCoordinator(ctx context.Context) error {
	for {
		start := time.Now()
		task.Sleep(ctx, takeover.ReportInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		bro.mutex.Lock()
		if time.Since(start) < takeover.ReportInterval+maxOwnDelay {
			bro.reportSlowCoordinator()
			bro.replaceSlowCoordinator()
		}
		bro.mutex.Unlock()
	}
}

// reportSlowCoordinator reports this host's judgment of its coordinator, if that is slow or was reported
// as slow before; the mutex must be held.
func (bro *broker) reportSlowCoordinator() {
	now := bro.host.clock.Now()
	slow := bro.coordinator != bro.host.epoch && bro.judge.Slow(now)
	if !slow && !bro.reportedSlow {
		return
	}
	if slow != bro.reportedSlow {
		bro.host.log.Info().Stringer("Coordinator", bro.coordinator).Bool("Slow", slow).Int("Limit", bro.gate.State().Limit).Msg("coordinator judged")
	}
	bro.reportedSlow = slow
	for epo := range bro.links {
		if epo != bro.coordinator {
			bro.send(epo, reservation.CoordinatorSlow{Host: bro.coordinator, Slow: slow})
		}
	}
	bro.slowReports.Record(now, bro.host.epoch, bro.coordinator, slow)
}

// replaceSlowCoordinator replaces the coordinator if most hosts report that it is slow and this host is
// the next candidate; the mutex must be held.
func (bro *broker) replaceSlowCoordinator() {
	now := bro.host.clock.Now()
	slow := bro.coordinator
	if slow == bro.host.epoch || !bro.isNextCandidate(bro.host.epoch, slow) {
		return
	}
	hosts := len(bro.membership.members)
	reports := bro.slowReports.Count(now, slow)
	if !bro.slowReports.Decide(now, slow, hosts) {
		return
	}
	bro.host.log.Warn().Stringer("Coordinator", slow).Int("Reports", reports).Int("Hosts", hosts).Msg("replacing a coordinator that decides too slowly")
	bro.replace(slow)
}

// replace replaces a coordinator by this host, and tells all gateways; the mutex must be held.
func (bro *broker) replace(former request.Epoch) {
	bro.host.metrics.count("Coordinator.Replaced")
	bro.depose(bro.host.clock.Now(), former)
	for _, inb := range bro.inbound {
		bro.sendLeader(inb)
	}
}

// depose stops choosing a coordinator that decides too slowly; the mutex must be held.
func (bro *broker) depose(now time.Time, slow request.Epoch) {
	if !bro.deposed.Add(now, slow) {
		return
	}
	bro.slowReports.Replaced(now)
	bro.elect()
	bro.publishLeader()
	bro.wakeSessions()
}

// applyDeposed applies a candidate's notice that it replaces a coordinator; the mutex must be held. Only
// the candidate that is next in order may do so.
func (bro *broker) applyDeposed(by, slow request.Epoch) {
	now := bro.host.clock.Now()
	if slow == 0 || slow == by || bro.deposed.Contains(now, slow) || !bro.isNextCandidate(by, slow) {
		return
	}
	bro.host.log.Info().Stringer("Coordinator", slow).Stringer("Successor", by).Msg("coordinator replaced by another host")
	bro.depose(now, slow)
}

// isNextCandidate reports whether a host is the first candidate that may replace the coordinator.
func (bro *broker) isNextCandidate(epo, coordinator request.Epoch) bool {
	now := bro.host.clock.Now()
	for _, mem := range bro.membership.candidates {
		switch {
		case mem.Epoch == coordinator || bro.deposed.Contains(now, mem.Epoch) || bro.unreachableCandidates[mem.Epoch]:
		default:
			return mem.Epoch == epo
		}
	}
	return false
}

// isDeposed reports whether a host was replaced lately because it decided too slowly.
func (bro *broker) isDeposed(epo request.Epoch) bool {
	return bro.deposed.Contains(bro.host.clock.Now(), epo)
}

// withoutDeposed returns the hosts that weren't replaced lately, or all of them if none is left.
func (bro *broker) withoutDeposed(hosts []request.Epoch) []request.Epoch {
	kept := slices.DeleteFunc(slices.Clone(hosts), bro.isDeposed)
	if len(kept) == 0 {
		return hosts
	}
	return kept
}

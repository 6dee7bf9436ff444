package entry

import (
	"context"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

// Reservations on their way to the coordinator. Those that it would refuse aren't sent, and no more are
// sent than it decides in time: the others are held back, and the most urgent go first.

// reserve requests an engine from the coordinator. It returns the decision, or an error once the
// context ends.
func (bro *broker) reserve(ctx context.Context, res reservation.Reserve) (decision, error) {
	pen := &pendingReservation{reserve: res, arrivedAt: bro.host.clock.Now(), decision: make(chan decision, 1)}
	bro.mutex.Lock()
	res.Origin = bro.core.KnownOrigin(pen.arrivedAt, res)
	pen.reserve = res
	if ref, refused := bro.refuseAtOnce(pen.arrivedAt, res); refused {
		bro.mutex.Unlock()
		return decision{refusal: &ref, coordinator: bro.host.epoch}, nil
	}
	bro.pending[res.ID] = pen
	bro.submit(pen)
	bro.mutex.Unlock()
	timer := time.NewTimer(decisionTimeout(res))
	defer timer.Stop()
	select {
	case dec := <-pen.decision:
		return dec, nil
	case <-timer.C:
		return bro.reserveLocally(ctx, pen)
	case <-ctx.Done():
		return decision{}, bro.withdraw(ctx, pen)
	}
}

// refuseAtOnce returns the refusal of a reservation that needs no decision: the request is held, even if
// the coordinator doesn't know of it yet, or the coordinator has refused a similar one and would do so
// again.
func (bro *broker) refuseAtOnce(now time.Time, res reservation.Reserve) (reservation.Refuse, bool) {
	if ref, held := bro.core.HeldRefusal(now, res); held {
		return ref, true
	}
	if bro.coordinator == bro.host.epoch || res.Resumed {
		return reservation.Refuse{}, false
	}
	known, refused := bro.gate.Repeat(now, res)
	if !refused {
		return reservation.Refuse{}, false
	}
	bro.host.metrics.count("Refusals.Repeated." + known.Reason.String())
	bro.host.log.Info().Str("Request", res.ID.Unique).Stringer("Reason", known.Reason).Stringer("Coordinator", bro.coordinator).
		Dur("ValidFor", known.ValidFor).Bool("AnyAccount", known.AnyAccount).Msg("refusal repeated")
	return reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: known.Reason, RetryAfter: max(known.ValidFor, scheduler.RetryAfter(res))}, true
}

// recordDecided records a decision on a reservation that waited for some time at the coordinator; the
// mutex must be held.
func (bro *broker) recordDecided(pen *pendingReservation, waited time.Duration) {
	now := bro.host.clock.Now()
	lag, sent := bro.gate.Decided(now, pen.reserve.ID, waited)
	if !sent {
		return
	}
	bro.judge.Decided(now, lag)
	bro.host.metrics.observe("Coordinator.Lag", lag)
	bro.sendReady()
}

// decisionSlack is how long a gateway waits for a decision beyond a quarter of the reservation's
// latency target, for which the coordinator may queue the reservation. It covers some round trips
// and a short stall of the coordinator.
const decisionSlack = 150 * time.Millisecond

func decisionTimeout(res reservation.Reserve) time.Duration {
	return res.LatencyTarget/4 + decisionSlack
}

// reserveLocally moves a reservation that the coordinator has not decided in time to the host's own
// scheduler, and waits for the decision.
func (bro *broker) reserveLocally(ctx context.Context, pen *pendingReservation) (decision, error) {
	bro.mutex.Lock()
	if pen.coordinator != bro.host.epoch && bro.pending[pen.reserve.ID] == pen {
		bro.host.log.Warn().Str("Request", pen.reserve.ID.Unique).Stringer("Coordinator", pen.coordinator).Int("Undecided", bro.gate.State().Undecided).
			Msg("coordinator did not answer in time; using the host's own scheduler")
		bro.host.metrics.count("Coordinator.Late")
		if now := bro.host.clock.Now(); bro.gate.Late(now, pen.reserve.ID) {
			bro.judge.Late(now)
			bro.send(pen.coordinator, reservation.Withdraw{ID: pen.reserve.ID, Ballot: pen.reserve.Ballot})
		}
		bro.sendReady()
		bro.submitTo(pen, bro.host.epoch)
	}
	bro.mutex.Unlock()
	select {
	case dec := <-pen.decision:
		return dec, nil
	case <-ctx.Done():
		return decision{}, bro.withdraw(ctx, pen)
	}
}

// withdraw withdraws a reservation whose context has ended, and releases a grant that has arrived
// meanwhile.
func (bro *broker) withdraw(ctx context.Context, pen *pendingReservation) error {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if bro.pending[pen.reserve.ID] == pen {
		delete(bro.pending, pen.reserve.ID)
		if sent := bro.gate.Withdrawn(pen.reserve.ID); sent || pen.coordinator == bro.host.epoch {
			bro.send(pen.coordinator, reservation.Withdraw{ID: pen.reserve.ID, Ballot: pen.reserve.Ballot})
		}
		bro.sendReady()
		return context.Cause(ctx)
	}
	if dec := <-pen.decision; dec.grant != nil {
		bro.releaseLocked(reservation.Release{ID: pen.reserve.ID, Engine: dec.grant.Engine})
	}
	return context.Cause(ctx)
}

// submit submits a reservation to the coordinator; the mutex must be held.
func (bro *broker) submit(pen *pendingReservation) {
	bro.submitTo(pen, bro.coordinator)
}

// submitTo submits a reservation to a host. To a coordinator it is sent as soon as the gate allows. Each submission has a
// ballot of its own: a decision on an earlier one, which may have been about another engine version, isn't one on this.
func (bro *broker) submitTo(pen *pendingReservation, to request.Epoch) {
	bro.submissions++
	pen.coordinator, pen.reserve.Ballot = to, request.Ballot{Round: bro.submissions, Holder: bro.host.epoch}
	now := bro.host.clock.Now()
	if res := pen.remaining(now); to == bro.host.epoch || bro.gate.Submit(now, res) {
		bro.send(to, res)
		return
	}
	bro.scheduleTick()
}

// minWaitLimit is the wait limit of a reservation that has waited for as long as it may: it is granted an
// engine at once or refused.
const minWaitLimit = time.Millisecond

// remaining returns the reservation with what is left of its times.
func (pen *pendingReservation) remaining(now time.Time) reservation.Reserve {
	res := pen.reserve
	passed := now.Sub(pen.arrivedAt)
	if passed <= 0 {
		return res
	}
	res.WaitLimit = max(minWaitLimit, res.MaxWait()-passed)
	res.Remaining -= passed
	switch {
	case res.IsLate():
	case passed < res.LatencyTarget:
		res.LatencyTarget -= passed
	default:
		// The target can't be met any more.
		res.ClientWait += passed
	}
	return res
}

// pendingFor returns the reservation on which a host's message with the ballot decides; nil if it waits for no decision any
// more, or for one on another submission. The mutex must be held.
func (bro *broker) pendingFor(by request.Epoch, id request.ID, bal request.Ballot) *pendingReservation {
	pen := bro.pending[id]
	if pen == nil || pen.coordinator != by || pen.reserve.Ballot != bal {
		return nil
	}
	return pen
}

// dropGrant gives up a grant that no reservation waits for. If the request has another reservation at that host, the grant
// was released there by the withdrawal of the earlier one, and a release would end the later one. The mutex must be held.
func (bro *broker) dropGrant(by request.Epoch, gra reservation.Grant) {
	bro.host.metrics.count("Grants.Unexpected")
	if pen := bro.pending[gra.ID]; pen != nil && pen.coordinator == by {
		bro.host.log.Info().Str("Request", gra.ID.Unique).Str("Engine", gra.Engine).Stringer("Coordinator", by).Stringer("Ballot", gra.Ballot).
			Stringer("Awaited", pen.reserve.Ballot).Msg("grant of an earlier reservation ignored")
		return
	}
	bro.send(by, reservation.Release{ID: gra.ID, Engine: gra.Engine})
}

// sendReady sends the reservations that the gate no longer holds back; the mutex must be held.
func (bro *broker) sendReady() {
	now := bro.host.clock.Now()
	for _, id := range bro.gate.Ready(now) {
		if pen := bro.pending[id]; pen != nil {
			bro.send(pen.coordinator, pen.remaining(now))
		}
	}
}

// refuseHeldBack refuses the reservations that the gate has held back for as long as they may wait; the
// mutex must be held.
func (bro *broker) refuseHeldBack() {
	for _, id := range bro.gate.Expired(bro.host.clock.Now()) {
		pen := bro.pending[id]
		if pen == nil {
			continue
		}
		sta := bro.gate.State()
		bro.host.metrics.count("Refusals.Unsent")
		bro.host.log.Info().Str("Request", id.Unique).Stringer("Coordinator", pen.coordinator).Int("Limit", sta.Limit).Int("Undecided", sta.Undecided).
			Dur("Waited", bro.host.clock.Since(pen.arrivedAt)).Msg("reservation refused unsent")
		bro.resolve(pen, decision{refusal: &reservation.Refuse{ID: id, Ballot: pen.reserve.Ballot, Reason: reservation.ReasonOverload, RetryAfter: scheduler.RetryAfter(pen.reserve)}, coordinator: bro.host.epoch})
	}
}

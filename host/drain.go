package host

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/view"
)

// drainStep is how often a leaving host looks whether its last request has ended.
const drainStep = 20 * time.Millisecond

// successorCount is how many hosts get the ledger of one that stops.
const successorCount = 2

// handoverTimeout bounds the handing over of the ledger to one host.
const handoverTimeout = 5 * time.Second

// DrainError reports a drain that ended before the last request did.
type DrainError struct {
	InFlight int
	Cause    error
}

// Error names the requests left.
func (der *DrainError) Error() string {
	return fmt.Sprintf("drain ended with %d requests in flight: %v", der.InFlight, der.Cause)
}

// Unwrap returns the cause.
func (der *DrainError) Unwrap() error {
	return der.Cause
}

// Drain makes a planned stop of the host: it takes nothing new, waits until the
// last request has its answer, and hands its ledger over to other hosts. Stop
// should follow.
func (hos *Host) Drain(ctx context.Context) error {
	hos.draining.Store(true)
	hos.log.Info().Msg("host is leaving")
	select {
	case hos.leaving <- struct{}{}:
	default:
	}
	if _, err := ask(ctx, hos.loop, func(now time.Time) struct{} {
		hos.loop.drainCores(now)
		return struct{}{}
	}); err != nil {
		return err
	}
	if err := hos.waitIdle(ctx); err != nil {
		return err
	}
	hos.handOver(ctx)
	return hos.closeCallers(ctx)
}

// waitIdle waits until no request is in flight here.
func (hos *Host) waitIdle(ctx context.Context) error {
	for {
		left, err := ask(ctx, hos.loop, func(time.Time) int { return hos.loop.gateway.InFlight() })
		if err != nil {
			return err
		}
		if left == 0 {
			return nil
		}
		if !task.Sleep(ctx, drainStep) {
			return &DrainError{InFlight: left, Cause: ctx.Err()}
		}
	}
}

// closeCallers lets the last answers reach their callers.
func (hos *Host) closeCallers(ctx context.Context) error {
	return errors.Wrap(hos.servers[0].Shutdown(ctx), "close the callers' interface")
}

// handOver gives the ledger to hosts in different failure domains, so that
// they can answer for what this one granted.
func (hos *Host) handOver(ctx context.Context) {
	han, err := ask(ctx, hos.loop, func(time.Time) reservation.Handover { return hos.loop.coordinator.Handover() })
	if err != nil {
		return
	}
	given := 0
	for _, mem := range hos.successors() {
		if given == successorCount {
			return
		}
		if hos.handOverTo(ctx, mem, han) {
			given++
		}
	}
	hos.log.Warn().Int("Given", given).Msg("ledger handed over to fewer hosts than wanted")
}

func (hos *Host) handOverTo(ctx context.Context, mem view.Member, han reservation.Handover) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := hos.peers.Handover(ctx, mem, han); err != nil {
		hos.log.Warn().Err(err).Str("To", mem.Name).Msg("handover failed")
		return false
	}
	hos.log.Info().Str("To", mem.Name).Int("Records", len(han.Records)).Msg("ledger handed over")
	return true
}

// successors returns the other active hosts, a new failure domain first.
func (hos *Host) successors() []view.Member {
	var others []view.Member
	for _, mem := range hos.shared.view().Active() {
		if mem.Epoch != hos.epoch {
			others = append(others, mem)
		}
	}
	return view.Spread(others, len(others))
}

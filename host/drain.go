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

// drainPollInterval is the interval at which a draining host checks for requests in flight.
const drainPollInterval = 20 * time.Millisecond

// successorCount is the number of hosts that receive the ledger of a draining host.
const successorCount = 2

// handoverTimeout bounds the transfer of the ledger to one host.
const handoverTimeout = 5 * time.Second

// DrainError reports a drain that ended while requests were still in flight.
type DrainError struct {
	// InFlight is the number of requests in flight.
	InFlight int
	// Cause is why the drain ended, such as a deadline.
	Cause error
}

// Error returns the number of requests in flight and the cause.
func (der *DrainError) Error() string {
	return fmt.Sprintf("drain ended with %d requests in flight: %v", der.InFlight, der.Cause)
}

// Unwrap returns the cause.
func (der *DrainError) Unwrap() error {
	return der.Cause
}

// Drain prepares the host for a planned stop: it rejects new work, waits until no request
// is in flight, hands its ledger over to other hosts, and shuts down its client-facing server.
// It returns a *DrainError if the context ends while requests are in flight. Stop should
// follow.
func (hos *Host) Drain(ctx context.Context) error {
	hos.draining.Store(true)
	hos.log.Info().Msg("host is draining")
	select {
	case hos.drainStarted <- struct{}{}:
	default:
	}
	if _, err := callLoop(ctx, hos.loop, func(now time.Time) struct{} {
		hos.loop.drainCores(now)
		return struct{}{}
	}); err != nil {
		return err
	}
	if err := hos.waitIdle(ctx); err != nil {
		return err
	}
	hos.handOver(ctx)
	return hos.shutDownClientServer(ctx)
}

// waitIdle waits until this gateway has no requests in flight.
func (hos *Host) waitIdle(ctx context.Context) error {
	for {
		left, err := callLoop(ctx, hos.loop, func(time.Time) int { return hos.loop.gateway.InFlight() })
		if err != nil {
			return err
		}
		if left == 0 {
			return nil
		}
		if !task.Sleep(ctx, drainPollInterval) {
			return &DrainError{InFlight: left, Cause: ctx.Err()}
		}
	}
}

// shutDownClientServer stops the client-facing server gracefully: it waits until the answers
// that are being sent are complete.
func (hos *Host) shutDownClientServer(ctx context.Context) error {
	return errors.Wrap(hos.servers[0].Shutdown(ctx), "shut down the client-facing server")
}

// handOver sends the ledger to successorCount other hosts, in different failure domains if
// possible, so that they can answer fences for the requests that this host granted.
func (hos *Host) handOver(ctx context.Context) {
	han, err := callLoop(ctx, hos.loop, func(time.Time) reservation.Handover { return hos.loop.coordinator.Handover() })
	if err != nil {
		return
	}
	sent := 0
	for _, mem := range hos.successors() {
		if sent == successorCount {
			return
		}
		if hos.handOverTo(ctx, mem, han) {
			sent++
		}
	}
	hos.log.Warn().Int("Given", sent).Msg("ledger handed over to fewer hosts than required")
}

func (hos *Host) handOverTo(ctx context.Context, mem view.Member, han reservation.Handover) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := hos.peers.Handover(ctx, mem, han); err != nil {
		hos.log.Warn().Err(err).Str("To", mem.Name).Msg("handing over the ledger to a host failed")
		return false
	}
	hos.log.Info().Str("To", mem.Name).Int("Records", len(han.Records)).Msg("ledger handed over")
	return true
}

// successors returns the other active hosts, one of each failure domain before any
// second one.
func (hos *Host) successors() []view.Member {
	var others []view.Member
	for _, mem := range hos.shared.view().Active() {
		if mem.Epoch != hos.epoch {
			others = append(others, mem)
		}
	}
	return view.PickAcrossDomains(others, len(others))
}

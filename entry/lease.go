package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
)

const (
	// leaseTime is after what time without a renewal the host's entry goes: soon
	// enough that callers aren't sent to a lost host for long, and three renewals
	// may fail before.
	leaseTime = 3 * time.Second
	// renewInterval is how often the lease is renewed.
	renewInterval = time.Second
	// leaseRetry is the pause after a call that failed.
	leaseRetry = 400 * time.Millisecond
	// leaveTimeout bounds the removal of the entry at a planned stop.
	leaveTimeout = 2 * time.Second
)

// keepLease keeps the host's own entry in the store until it leaves.
func (hos *Host) keepLease(ctx context.Context) error {
	var lease store.LeaseID
	for {
		var err error
		wait := renewInterval
		if lease == 0 {
			lease, err = hos.enter(ctx)
		} else {
			err = hos.store.RenewLease(ctx, lease)
		}
		var lapsed *store.LeaseError
		switch {
		case errors.As(err, &lapsed):
			hos.log.Warn().Err(err).Msg("lease lapsed")
			lease, wait = 0, 0
		case err != nil:
			hos.log.Debug().Err(err).Msg("lease not renewed")
			wait = leaseRetry/2 + rand.N(leaseRetry)
		}
		select {
		case <-time.After(wait):
		case <-hos.leaving:
			hos.leave(ctx, lease)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// enter takes a lease and writes the host's entry under it. A write whose answer
// is lost is made again under a new lease; the former one lapses by itself.
func (hos *Host) enter(ctx context.Context) (store.LeaseID, error) {
	lease, err := hos.store.GrantLease(ctx, leaseTime)
	if err != nil {
		return 0, err
	}
	data, err := platform.EncodeMember(hos.member())
	if err != nil {
		return 0, err
	}
	rev, err := hos.store.Put(ctx, store.Write{Key: platform.MemberKey(hos.set.Name), Data: data, Lease: lease, Blind: true})
	if err != nil {
		return 0, err
	}
	hos.log.Info().Uint64("Lease", uint64(lease)).Uint64("Revision", uint64(rev)).Msg("host entered")
	return lease, nil
}

// leave takes the host's entry away.
func (hos *Host) leave(ctx context.Context, lease store.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := hos.store.RevokeLease(ctx, lease); err != nil {
		// The entry goes when its lease lapses.
		hos.log.Warn().Err(err).Msg("host entry not taken away")
		return
	}
	hos.log.Info().Uint64("Lease", uint64(lease)).Msg("host left")
}

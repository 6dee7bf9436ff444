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
	// minLeaseRetry and maxLeaseRetry bound the pause after a call that failed: the
	// first soon, since the lease runs on, the later ones seldom, since a store that
	// is lost or over its rate isn't helped by a whole fleet that calls on. The
	// observer tells when the store is back.
	minLeaseRetry = 400 * time.Millisecond
	maxLeaseRetry = 2 * time.Second
	// enterSpread is the time over which hosts come back to a store that is back.
	enterSpread = 300 * time.Millisecond
	// leaveTimeout bounds the removal of the entry at a planned stop.
	leaveTimeout = 2 * time.Second
)

// keepLease keeps the host's own entry in the store until it leaves.
func (hos *Host) keepLease(ctx context.Context) error {
	var lease store.LeaseID
	var pause time.Duration
	for {
		var err error
		if lease == 0 {
			lease, err = hos.enter(ctx)
		} else {
			err = hos.store.RenewLease(ctx, lease)
		}
		wait := renewInterval
		var lapsed *store.LeaseError
		switch {
		case errors.As(err, &lapsed):
			hos.log.Warn().Err(err).Msg("lease lapsed")
			lease, wait = 0, 0
		case err != nil:
			hos.log.Debug().Err(err).Msg("lease not renewed")
			pause = min(maxLeaseRetry, max(minLeaseRetry, 2*pause))
			wait = pause/2 + rand.N(pause)
		default:
			pause = 0
		}
		if !hos.waitForLease(ctx, wait, pause > 0) {
			break
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	hos.leave(ctx, lease)
	return nil
}

// waitForLease waits until the lease is due, where its calls fail only until the
// store is back. It reports whether the host stays.
func (hos *Host) waitForLease(ctx context.Context, wait time.Duration, failing bool) bool {
	var back <-chan struct{}
	if failing {
		back = hos.storeBack
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-back:
			back = nil
			timer.Reset(min(wait, rand.N(enterSpread)))
		case <-hos.leaving:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// tellStoreBack has the lease kept at once after the store was lost.
func (hos *Host) tellStoreBack() {
	select {
	case hos.storeBack <- struct{}{}:
	default:
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

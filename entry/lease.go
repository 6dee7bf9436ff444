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
	// minRenew and maxRenew bound how often a lease is renewed. In a small fleet a lost
	// host's entry lapses within seconds. In a large one it takes half a minute at most:
	// callers aren't sent there for so long, since the coordinator sees its session end;
	// what lapses is the entry of a host that never comes back.
	minRenew = time.Second
	maxRenew = 10 * time.Second
	// renewalsToLapse is how many renewals must fail before the entry goes.
	renewalsToLapse = 3
	// awaitSize bounds how long a host that starts waits to learn of the fleet before it
	// enters: a first reading takes some milliseconds.
	awaitSize = 150 * time.Millisecond
	// fleetRenewals is how many renewals a second all hosts make together: with hundreds of
	// hosts they would be most calls of a calm day.
	fleetRenewals = 30
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
	var pause, ttl time.Duration
	hos.awaitListed(ctx)
	for {
		var err error
		hosts := len(hos.belief.Load().members)
		if lease == 0 || hos.entryBroken.Swap(false) || hos.settled() && misfits(ttl, leaseTime(hosts)) {
			ttl = leaseTime(hosts)
			lease, err = hos.enter(ctx, ttl)
		} else {
			err = hos.store.RenewLease(ctx, lease)
		}
		wait := renewInterval(hosts)
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
		if !hos.waitForLease(ctx, wait) {
			break
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	hos.leave(ctx, lease)
	return nil
}

// renewInterval returns how often each of so many hosts renews its lease.
func renewInterval(hosts int) time.Duration {
	return min(maxRenew, max(minRenew, time.Second*time.Duration(hosts)/fleetRenewals))
}

// leaseTime returns after what time without a renewal the entry of one of so many hosts
// goes. A host that knows of no other yet takes the longest: hundreds may be starting.
func leaseTime(hosts int) time.Duration {
	if hosts <= 1 {
		return renewalsToLapse * maxRenew
	}
	return renewalsToLapse * renewInterval(hosts)
}

// misfits reports whether a lease's time is so far from the one wanted that another is
// worth its two calls.
func misfits(ttl, wanted time.Duration) bool {
	return ttl > 2*wanted || wanted > 2*ttl
}

// settled reports whether hosts that started with this one have entered too.
func (hos *Host) settled() bool {
	return hos.clock.Since(hos.started) > startSettles
}

// awaitListed waits for the first reading of the store.
func (hos *Host) awaitListed(ctx context.Context) {
	timer := time.NewTimer(awaitSize)
	defer timer.Stop()
	select {
	case <-hos.listed:
	case <-timer.C:
	case <-hos.leaving:
	case <-ctx.Done():
	}
}

// waitForLease waits until the lease is due, or may have lapsed. It reports whether
// the host stays.
func (hos *Host) waitForLease(ctx context.Context, wait time.Duration) bool {
	back := hos.leaseDoubt
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

// doubtLease has the lease renewed soon: after the store was lost, and where the
// host's own entry is gone.
func (hos *Host) doubtLease() {
	select {
	case hos.leaseDoubt <- struct{}{}:
	default:
	}
}

// enter takes a lease and writes the host's entry under it. A write whose answer
// is lost is made again under a new lease; the former one lapses by itself.
func (hos *Host) enter(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	lease, err := hos.store.GrantLease(ctx, ttl)
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
	hos.log.Info().Uint64("Lease", uint64(lease)).Dur("LeaseTime", ttl).Uint64("Revision", uint64(rev)).Msg("host entered")
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

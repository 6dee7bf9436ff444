package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/mirror"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
)

const (
	// minRenew and maxRenew bound the interval between renewals of a lease. In a small fleet a lost
	// host's entry expires within seconds, in a large one within half a minute. Clients no longer
	// get the address of a lost host once its session with the coordinator has ended, which is
	// earlier, so the expiry matters only if the host never returns.
	minRenew = time.Second
	maxRenew = 10 * time.Second
	// renewalsToExpiry is how many renewals must fail before the entry expires.
	renewalsToExpiry = 3
	// firstReadTimeout bounds how long a starting host waits for its first read of the store before
	// it registers, so that it knows the size of the fleet: a first read takes some milliseconds.
	firstReadTimeout = 150 * time.Millisecond
	// fleetRenewalsPerSecond bounds the renewals of all hosts together: those of hundreds of hosts
	// would otherwise be most of the calls to the store on a day without faults.
	fleetRenewalsPerSecond = 30
	// minLeaseRetry and maxLeaseRetry bound the backoff after a failed call. The first retry is
	// soon, since the lease is about to expire; later ones are rare, since the calls of a whole
	// fleet only add to the load of a store that is unreachable or over its rate limit. The store
	// watcher wakes maintainLease when the store is reachable again.
	minLeaseRetry = 400 * time.Millisecond
	maxLeaseRetry = 2 * time.Second
	// registerJitter is the jitter with which a host registers whose entry is missing.
	registerJitter = 300 * time.Millisecond
	// deregisterTimeout bounds the removal of the entry at a planned stop.
	deregisterTimeout = 2 * time.Second
)

// maintainLease keeps the host registered in the store until a planned stop.
func (hos *Host) maintainLease(ctx context.Context) error {
	var lease store.LeaseID
	var backoff, ttl time.Duration
	hos.awaitStoreRead(ctx)
	for {
		var err error
		hosts := len(hos.snapshot.Load().members)
		if lease.IsZero() || hos.entryInvalid.Swap(false) || hos.pastStartup() && needsNewLease(ttl, leaseDuration(hosts)) {
			ttl = leaseDuration(hosts)
			lease, err = hos.register(ctx, ttl)
		} else {
			err = hos.store.RenewLease(ctx, lease)
		}
		wait := renewInterval(hosts)
		var expired *store.LeaseError
		switch {
		case errors.As(err, &expired):
			hos.log.Warn().Err(err).Msg("lease expired")
			lease, wait = store.LeaseID{}, 0
		case err != nil:
			hos.log.Debug().Err(err).Msg("renewing the lease or registering the host failed")
			backoff = min(maxLeaseRetry, max(minLeaseRetry, 2*backoff))
			wait = backoff/2 + rand.N(backoff)
		default:
			backoff = 0
		}
		if !hos.awaitLeaseRenewal(ctx, wait) {
			break
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	hos.deregister(ctx, lease)
	return nil
}

// renewInterval returns the interval at which each host renews its lease in a fleet of the given
// number of hosts.
func renewInterval(hosts int) time.Duration {
	return min(maxRenew, max(minRenew, time.Second*time.Duration(hosts)/fleetRenewalsPerSecond))
}

// renewalSpread returns the time over which a fleet of the given number of hosts spreads renewals that
// fall due together.
func renewalSpread(hosts int) time.Duration {
	return renewInterval(hosts) / 2
}

// leaseDuration returns the duration of a lease in a fleet of the given number of hosts. It is the
// longest for a host that knows no other host yet: hundreds may be starting.
func leaseDuration(hosts int) time.Duration {
	if hosts <= 1 {
		return renewalsToExpiry * maxRenew
	}
	return renewalsToExpiry * renewInterval(hosts)
}

// needsNewLease reports whether a lease's duration differs so much from the wanted one that a new
// lease is worth its two calls.
func needsNewLease(ttl, wanted time.Duration) bool {
	return ttl > 2*wanted || wanted > 2*ttl
}

// pastStartup reports whether hosts that started together with this one have had time to register.
func (hos *Host) pastStartup() bool {
	return hos.clock.Since(hos.started) > mirror.StartupPeriod
}

// awaitStoreRead waits for the first read of the store, at most firstReadTimeout.
func (hos *Host) awaitStoreRead(ctx context.Context) {
	timer := time.NewTimer(firstReadTimeout)
	defer timer.Stop()
	select {
	case <-hos.storeRead:
	case <-timer.C:
	case <-hos.drainStarted:
	case <-ctx.Done():
	}
}

// awaitLeaseRenewal waits until the lease is due for renewal, or for a random time after a call of
// renewLeaseSoon or renewLeaseWithOthers. It reports false once the host stops.
func (hos *Host) awaitLeaseRenewal(ctx context.Context, wait time.Duration) bool {
	soon, withOthers := hos.renewalRequests, hos.spreadRenewals
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-soon:
			soon, withOthers = nil, nil
			timer.Reset(min(wait, rand.N(registerJitter)))
		case <-withOthers:
			withOthers = nil
			timer.Reset(min(wait, rand.N(renewalSpread(len(hos.snapshot.Load().members)))))
		case <-hos.drainStarted:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// renewLeaseSoon makes maintainLease renew the lease soon: after a suspension, and when the host's own
// entry is missing or invalid.
func (hos *Host) renewLeaseSoon() {
	select {
	case hos.renewalRequests <- struct{}{}:
	default:
	}
}

// renewLeaseWithOthers makes maintainLease renew the lease before its next renewal, at a time that the
// hosts spread: after the store was unreachable, whose end all hosts notice at once.
func (hos *Host) renewLeaseWithOthers() {
	select {
	case hos.spreadRenewals <- struct{}{}:
	default:
	}
}

// register requests a lease and writes the host's entry under it. A write whose answer is lost is
// retried under a new lease; the previous lease expires by itself.
func (hos *Host) register(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	lease, err := hos.store.GrantLease(ctx, ttl)
	if err != nil {
		return store.LeaseID{}, err
	}
	data, err := platform.EncodeMember(hos.member())
	if err != nil {
		return store.LeaseID{}, err
	}
	rev, err := hos.store.Put(ctx, store.Write{Key: platform.MemberKey(hos.set.Name), Data: data, Lease: lease, Blind: true})
	if err != nil {
		return store.LeaseID{}, err
	}
	hos.log.Info().Uint64("Lease", lease.Number).Dur("LeaseTime", ttl).Uint64("Revision", rev.Number()).Msg("host registered")
	return lease, nil
}

// deregister removes the host's entry by revoking its lease.
func (hos *Host) deregister(ctx context.Context, lease store.LeaseID) {
	if lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := hos.store.RevokeLease(ctx, lease); err != nil {
		// The entry is removed when its lease expires.
		hos.log.Warn().Err(err).Msg("revoking the lease failed, the host entry stays until the lease expires")
		return
	}
	hos.log.Info().Uint64("Lease", lease.Number).Msg("host deregistered")
}

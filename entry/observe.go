package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reconcile"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

const (
	// batchInterval is how long further changes are collected after some have arrived: each read is
	// a call, and it is enough that changes take effect within seconds.
	batchInterval = 100 * time.Millisecond
	// startupBatchInterval is the same during startupPeriod after the host's start: hosts that start
	// together each use their own scheduler until they know one another, which costs more than the
	// calls that a longer interval saves.
	startupBatchInterval = 50 * time.Millisecond
	startupPeriod        = 1500 * time.Millisecond
	// minStoreRetry and maxStoreRetry bound the backoff before the store is called again: each call
	// counts against the store's rate limit, and a new configuration must become active soon.
	minStoreRetry = 50 * time.Millisecond
	maxStoreRetry = 200 * time.Millisecond
	// peerReadInterval is how often other hosts' copies are read during that backoff: draining
	// engines must get no new requests after two seconds.
	peerReadInterval = 400 * time.Millisecond
	// maxRateLimitRetry bounds the backoff where the store's rate limit is exhausted.
	maxRateLimitRetry = 2 * time.Second
	// expiryHold is how long after an outage of the store the entries that expired during the outage
	// are kept: their owners register again within about two seconds.
	expiryHold = 2200 * time.Millisecond
	// oldCopyAge is the age from which a copy of the store is logged as old: two thirds of the age up
	// to which a host uses it where the operators' bound is the smallest.
	oldCopyAge = 2500 * time.Millisecond
	// maxPeerReadGap is the longest gap between two successful reads from other hosts for which the
	// store is assumed to serve these hosts all the while: without changes, their copies are as old
	// as the answer to their most recent watch.
	maxPeerReadGap = watchTimeout
)

// storeWatcher reads the store and maintains the host's snapshot of it.
type storeWatcher struct {
	host      *Host
	directory *fleet.Directory
	table     *route.Table
	revision  store.Revision
	// needsFullRead is set until all keys have been read, and again once the store has compacted the
	// changes after revision.
	needsFullRead bool
	// invalidValues records the keys whose values can't be used.
	invalidValues *invalidValues
	// unrecognized records the keys and configuration fields that are not recognized.
	unrecognized *unrecognizedKeys
	// rollouts is the stored state of roll-outs.
	rollouts rollouts
	// evacuations is the stored state of evacuations by failure domain. evacuationsChanged is set
	// while it has unpublished changes. withdrawnDomains are the domains whose order was
	// withdrawn since the last publication, and loggedOrders are the orders that were logged because
	// their domain is unknown.
	evacuations        map[string]evacuation.StoredState
	evacuationsChanged bool
	withdrawnDomains   []string
	loggedOrders       map[evacuation.Order]bool
	// knowledge is what has been read of the store. restoredAt is when a restoration of the store was last
	// noticed, and rereadAt when all keys are read once more after it; both are zero before the first.
	knowledge  *reconcile.Knowledge
	restoredAt time.Time
	rereadAt   time.Time
	// hostChanges collects what the update that is being applied changes in the list of hosts.
	hostChanges memberChanges
	// applying is the update that is being applied.
	applying update
	// waitedForHosts is set once this host, which found no other host at its start, has waited for
	// others to register.
	waitedForHosts bool
	// relays chooses the relay, through which the store is read.
	relays *relayChooser
	// peerIndex is the index, modulo the number of hosts, of the host that was most recently read
	// from while the store was unreachable.
	peerIndex int
	// probedRelay is the epoch of the relay that has answered a short call; 0 for none.
	probedRelay request.Epoch
	// directUntil is the time until which the store is read directly.
	directUntil time.Time
	// nextProbe is when a host that reads through another one probes an unreachable store again.
	nextProbe time.Time
	// unreachableSince is when the store became unreachable; zero while it is reachable.
	unreachableSince time.Time
	// peersCurrentSince is the time since which other hosts have had the current content of the
	// store. peerReadAt is when this host most recently read it from one of them.
	peersCurrentSince time.Time
	peerReadAt        time.Time
	// lastError is the error of the most recent call to the store that failed.
	lastError error
	backoff   time.Duration
}

func newStoreWatcher(hos *Host) *storeWatcher {
	return &storeWatcher{
		host: hos, directory: fleet.NewDirectory(), relays: newRelayChooser(hos.epoch), needsFullRead: true,
		invalidValues: newInvalidValues(hos.log, hos.metrics.invalidValues), unrecognized: newUnrecognizedKeys(hos),
		knowledge:   reconcile.NewKnowledge(),
		evacuations: make(map[string]evacuation.StoredState), loggedOrders: make(map[evacuation.Order]bool),
	}
}

// watchStore reads the store until the context ends.
func (hos *Host) watchStore(ctx context.Context) error {
	wat := newStoreWatcher(hos)
	for ctx.Err() == nil {
		upd, err := wat.nextUpdate(ctx)
		if err != nil {
			wat.storeFailed(ctx, err)
			continue
		}
		wat.storeRecovered()
		wat.apply(upd)
		wat.rereadIfDue()
		if len(upd.changes.Changes) > 0 && !upd.complete {
			task.Sleep(ctx, wat.batchDelay(wat.host.clock.Now()))
		}
	}
	return ctx.Err()
}

// batchDelay returns how long further changes are collected.
func (wat *storeWatcher) batchDelay(now time.Time) time.Duration {
	if now.Sub(wat.host.started) < startupPeriod {
		return startupBatchInterval
	}
	return batchInterval
}

// apply applies an update and publishes the resulting snapshot.
func (wat *storeWatcher) apply(upd update) {
	wat.needsFullRead = false
	wat.applying = upd
	wat.observeAge(upd)
	if upd.complete {
		upd.values = wat.reconcile(upd.values, upd.changes.Revision)
		wat.replace(upd.values, upd.changes.Revision)
		wat.host.mirror.replace(upd.values, max(wat.revision, upd.changes.Revision), upd.confirmed)
	} else {
		wat.hostChanges = memberChanges{}
		for _, cha := range upd.changes.Changes {
			wat.recordChange(cha)
			wat.applyChange(cha)
		}
		wat.hostChanges.log(wat.host.log, upd.changes.Revision)
		wat.host.mirror.apply(upd.changes, upd.confirmed)
	}
	wat.revision = max(wat.revision, upd.changes.Revision)
	settled := wat.directory.DropMissing(wat.host.clock.Now())
	if upd.complete || len(upd.changes.Changes) > 0 || settled {
		wat.publish()
	}
	wat.host.confirm(upd.confirmed)
	wat.host.storeReadOnce.Do(func() { close(wat.host.storeRead) })
	wat.host.markConfigured()
}

// observeAge records how old the copy was when an update arrived: how long it has been certain until
// then that the host lacks no change.
func (wat *storeWatcher) observeAge(upd update) {
	hos := wat.host
	if upd.confirmed.IsZero() || hos.confirmed.Load() == neverConfirmed {
		return
	}
	age := hos.snapshotAge(hos.clock.Now())
	hos.metrics.observe("Configuration.Age", age)
	if age > oldCopyAge {
		hos.metrics.count("Configuration.Old")
		hos.log.Warn().Dur("Age", age).Dur("AgeOfUpdate", hos.clock.Since(upd.confirmed)).Str("Through", upd.relay).Bool("Whole", upd.complete).
			Int("Changes", len(upd.changes.Changes)).Uint64("Revision", upd.changes.Revision.Number()).Msg("copy of the store was old")
	}
}

// storeFailed records that a call to the store failed, and waits before the next call.
func (wat *storeWatcher) storeFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := wat.host.clock.Now()
	if wat.unreachableSince.IsZero() {
		wat.unreachableSince = now
		wat.backoff = minStoreRetry
		wat.host.log.Warn().Err(err).Uint64("Revision", wat.revision.Number()).Msg("store unreachable")
	}
	wat.lastError = err
	wat.host.metrics.storeFailures.Inc(1)
	if !wat.storeServesPeers(now) {
		wat.directory.HoldRemovals(now.Add(expiryHold))
	}
	limit := maxStoreRetry
	var rate *store.RateError
	if errors.As(err, &rate) {
		// The hosts that share the rate limit must retry later, and not all at once.
		wat.backoff = max(wat.backoff, rate.RetryAfter)
		limit = maxRateLimitRetry
	}
	wat.readFromPeersUntil(ctx, now.Add(wat.backoff/2+rand.N(wat.backoff)))
	wat.backoff = min(limit, 2*wat.backoff)
}

// readFromPeersUntil reads from other hosts until the next call to the store. While the store's rate
// limit is exhausted, that call may be seconds away, and draining engines must be known earlier.
func (wat *storeWatcher) readFromPeersUntil(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		wat.readFromPeers(ctx)
		left := wat.host.clock.Until(until)
		task.Sleep(ctx, min(left, peerReadInterval))
		if left <= peerReadInterval {
			return
		}
	}
}

// storeRecovered records that the store was reached again.
func (wat *storeWatcher) storeRecovered() {
	if wat.unreachableSince.IsZero() {
		return
	}
	now := wat.host.clock.Now()
	wat.host.log.Info().Dur("After", now.Sub(wat.unreachableSince)).Uint64("Revision", wat.revision.Number()).Uint64("Era", uint64(wat.host.storeEra())).Msg("store reachable again")
	wat.unreachableSince = time.Time{}
	wat.nextProbe = time.Time{}
	// All hosts reach the store again at about the same time, so that the relay is ready soon.
	wat.directUntil = now.Add(startupDirectReadTime)
	wat.host.storeUnavailable.Store(false)
	wat.host.renewLeaseWithOthers()
	if !wat.storeServesPeers(now) {
		wat.directory.HoldRemovals(now.Add(expiryHold))
	}
	wat.peerReadAt = time.Time{}
}

// storeServesPeers reports whether the store certainly serves other hosts while this host can't
// reach it. In an outage entries expire although their owners are running, so removals are deferred.
// If only this host can't reach the store, a removed entry is that of an engine or host that has
// stopped, which must get no requests. Other hosts detect an outage within maxPeerCopyAge, which is
// less than expiryHold.
func (wat *storeWatcher) storeServesPeers(now time.Time) bool {
	return now.Sub(wat.peerReadAt) <= maxPeerReadGap && now.Sub(wat.peersCurrentSince) > expiryHold
}

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

const (
	// gatherPause is how long further changes are collected after some have arrived: each answer is
	// a call, and a bound of seconds on their delay leaves room for it.
	gatherPause = 100 * time.Millisecond
	// startGather is the same shortly after the host's start, for startSettles: hosts that start
	// together decide alone until they know one another, which costs more than the calls that a
	// longer pause saves.
	startGather  = 50 * time.Millisecond
	startSettles = 1500 * time.Millisecond
	// minRetry and maxRetry bound the backoff before the store is called again: each call counts
	// against its rate limit, and a configuration must be in force soon.
	minRetry = 50 * time.Millisecond
	maxRetry = 200 * time.Millisecond
	// peerInterval is how often other hosts are asked meanwhile: draining engines must get no new
	// requests after two seconds.
	peerInterval = 400 * time.Millisecond
	// maxRateRetry bounds the backoff where the store's rate limit is exhausted.
	maxRateRetry = 2 * time.Second
	// lapseHold is how long after an outage of the store entries that expired in it are kept: their
	// owners register again within about two seconds.
	lapseHold = 2200 * time.Millisecond
	// peersGap is the longest gap between two successful reads from other hosts in which the store
	// is taken to serve them: where nothing changes, their copies are as old as their watches.
	peersGap = watchWait
)

// storeWatcher reads the store and maintains the host's snapshot of it.
type observer struct {
	host      *Host
	directory *fleet.Directory
	table     *route.Table
	revision  store.Revision
	// needsFullRead is set while all keys must be read again.
	whole bool
	// invalidValues records the keys whose values can't be used.
	refused *refusals
	// unrecognized records the keys and configuration fields that are not recognized.
	unread *unread
	// rollouts is the stored state of roll-outs.
	rollouts rollouts
	// evacuations is the stored state of evacuations by failure domain. evacuationsChanged is set
	// until it is published. reopened are the domains whose order was withdrawn since, and
	// unknownDomains the orders that were logged because their domain is unknown.
	evacuations        map[string]evacuation.Standing
	evacuationsChanged bool
	reopened           []string
	unknownDomains     map[evacuation.Order]bool
	// hostChanges collects what the update that is being applied changes in the list of hosts.
	changed changeList
	// waitedForHosts is set once a host that found no other host has waited for some.
	paused bool
	// relays chooses the host of the failure domain through which the store is read.
	readers *readers
	// nextPeer is the index of the host that was last asked while the store is unreachable.
	nextPeer int
	// probedRelay is the epoch of the host of the own failure domain that answered a first call.
	met request.Epoch
	// directUntil is until when the store is read directly.
	direct time.Time
	// nextProbe is when a host that reads through another one probes an unreachable store again.
	nextProbe time.Time
	// lostAt is since when the store has been unreachable; zero while it is reachable.
	lostAt time.Time
	// peersKnow is since when other hosts, asked in place of the store, have had its current
	// content, and peersTold when one of them last passed it on.
	peersKnow time.Time
	peersTold time.Time
	// lastError is the last error of a call to the store.
	cause error
	pause time.Duration
}

func newObserver(hos *Host) *observer {
	return &observer{
		host: hos, directory: fleet.NewDirectory(), readers: newReaders(hos.epoch), whole: true,
		refused: newRefusals(hos.log, hos.figures.refused), unread: newUnread(hos),
		evacuations: make(map[string]evacuation.Standing), unknownDomains: make(map[evacuation.Order]bool),
	}
}

// watchStore reads the store until the context ends.
func (hos *Host) observe(ctx context.Context) error {
	wat := newObserver(hos)
	for ctx.Err() == nil {
		upd, err := wat.read(ctx)
		if err != nil {
			wat.lost(ctx, err)
			continue
		}
		wat.regained()
		wat.apply(upd)
		if len(upd.changes.Changes) > 0 && !upd.whole {
			task.Sleep(ctx, wat.gather(wat.host.clock.Now()))
		}
	}
	return ctx.Err()
}

// batchDelay returns how long further changes are collected.
func (wat *observer) gather(now time.Time) time.Duration {
	if now.Sub(wat.host.started) < startSettles {
		return startGather
	}
	return gatherPause
}

// apply applies an update and publishes the resulting snapshot.
func (wat *observer) apply(upd update) {
	wat.whole = false
	if upd.whole {
		wat.replace(upd.values, upd.changes.Revision)
		wat.host.mirror.replace(upd.values, max(wat.revision, upd.changes.Revision), upd.confirmed)
	} else {
		wat.changed = changeList{}
		for _, cha := range upd.changes.Changes {
			wat.take(cha)
		}
		wat.changed.log(wat.host.log, upd.changes.Revision)
		wat.host.mirror.apply(upd.changes, upd.confirmed)
	}
	wat.revision = max(wat.revision, upd.changes.Revision)
	settled := wat.directory.Settle(wat.host.clock.Now())
	wat.host.confirm(upd.confirmed)
	if upd.whole || len(upd.changes.Changes) > 0 || settled {
		wat.publish()
	}
	wat.host.listing.Do(func() { close(wat.host.listed) })
	wat.host.noteBegun()
}

// storeFailed records that a call to the store failed, and waits before the next call.
func (wat *observer) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := wat.host.clock.Now()
	if wat.lostAt.IsZero() {
		wat.lostAt = now
		wat.pause = minRetry
		wat.host.log.Warn().Err(err).Uint64("Revision", uint64(wat.revision)).Msg("store lost")
	}
	wat.cause = err
	wat.host.figures.storeFailures.Inc(1)
	if !wat.servesOthers(now) {
		wat.directory.Hold(now.Add(lapseHold))
	}
	limit := maxRetry
	var rate *store.RateError
	if errors.As(err, &rate) {
		// The hosts that share the rate limit must come back later, and not all at once.
		wat.pause = max(wat.pause, rate.RetryAfter)
		limit = maxRateRetry
	}
	wat.liveOnPeers(ctx, now.Add(wat.pause/2+rand.N(wat.pause)))
	wat.pause = min(limit, 2*wat.pause)
}

// liveOnPeers reads from other hosts until the next call to the store. That may take long while the
// store's rate limit is exhausted, and draining engines must be known before then.
func (wat *observer) liveOnPeers(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		wat.askPeers(ctx)
		left := wat.host.clock.Until(until)
		task.Sleep(ctx, min(left, peerInterval))
		if left <= peerInterval {
			return
		}
	}
}

// storeRecovered records that the store was reached again.
func (wat *observer) regained() {
	if wat.lostAt.IsZero() {
		return
	}
	now := wat.host.clock.Now()
	wat.host.log.Info().Dur("After", now.Sub(wat.lostAt)).Uint64("Revision", uint64(wat.revision)).Msg("store regained")
	wat.lostAt = time.Time{}
	wat.nextProbe = time.Time{}
	// A fleet that reaches the store again all at once soon returns to reading through other hosts.
	wat.direct = now.Add(startDirect)
	wat.host.storeAway.Store(false)
	wat.host.doubtLease()
	if !wat.servesOthers(now) {
		wat.directory.Hold(now.Add(lapseHold))
	}
	wat.peersTold = time.Time{}
}

// servesOthers reports whether the store certainly serves other hosts while this host can't reach
// it. In an outage entries expire although their owners live, so expired entries are held. Where
// only this host is cut off, a removed entry is of an engine or host that has stopped, which must
// get no requests. Other hosts notice an outage within followAge, which is less than lapseHold.
func (wat *observer) servesOthers(now time.Time) bool {
	return now.Sub(wat.peersTold) <= peersGap && now.Sub(wat.peersKnow) > lapseHold
}

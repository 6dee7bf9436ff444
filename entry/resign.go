package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/takeover"
)

// Only the coordinator writes the states of evacuations and roll-outs and the held requests. A coordinator that is partitioned from the store keeps its sessions and schedules with
// what it reads from its peers, but can't write. It then asks the next candidate to replace it: its entry
// expires after a lease, which takes up to half a minute, and nobody writes until then.

const (
	// storeCheckTimeout bounds the read that shows whether this host reaches the store.
	storeCheckTimeout = 500 * time.Millisecond
	// resignInterval is the least time between two resignations: no candidate may have taken over.
	resignInterval = time.Second
)

// coordinatorWrites tracks the writes that only the coordinator makes.
type coordinatorWrites struct {
	host   *Host
	mutex  sync.Mutex
	writes takeover.Writes
	// resignedAt is when this host last asked to be replaced.
	resignedAt time.Time
}

// put makes a write that only the coordinator makes. If such writes keep failing, although other hosts
// reach the store, it asks to be replaced as the coordinator.
func (cow *coordinatorWrites) put(ctx context.Context, wri store.Write) (store.Revision, error) {
	rev, err := cow.host.store.Put(ctx, wri)
	if cow.failing(err) {
		cow.resignIfServed(ctx, err)
	}
	return rev, err
}

// resignIfServed asks to be replaced if the store serves other hosts but not this one.
func (cow *coordinatorWrites) resignIfServed(ctx context.Context, cause error) {
	now := cow.host.clock.Now()
	age := cow.host.snapshotAge(now)
	others := cow.servesOthers(now, now.Add(-age))
	own := others && cow.reachesStore(ctx)
	cow.host.log.Info().Err(cause).Dur("Age", age).Bool("ServesOthers", others).Bool("ServesThisHost", own).
		Bool("Resigns", others && !own).Msg("coordinator's writes keep failing")
	if others && !own {
		cow.host.broker.resign(cause)
	}
}

// failing records the result of a write, and reports whether writes have failed for so long that this host
// should ask to be replaced, at most once per resignInterval.
func (cow *coordinatorWrites) failing(err error) bool {
	cow.mutex.Lock()
	defer cow.mutex.Unlock()
	var conflict *store.ConflictError
	if err == nil || errors.As(err, &conflict) {
		cow.writes.Succeeded()
		return false
	}
	now := cow.host.clock.Now()
	cow.writes.Failed(now)
	if !cow.writes.Failing(now) || now.Sub(cow.resignedAt) < resignInterval {
		return false
	}
	cow.resignedAt = now
	return true
}

// servesOthers reports whether the store serves other hosts. As this host can't reach the store itself, the
// time at which its copy was confirmed is that of an answer to another host.
func (cow *coordinatorWrites) servesOthers(now, confirmed time.Time) bool {
	cow.mutex.Lock()
	defer cow.mutex.Unlock()
	return cow.writes.ServesOthers(now, confirmed)
}

// reachesStore reports whether the store answers a read of this host: it may refuse writes of all hosts.
func (cow *coordinatorWrites) reachesStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeCheckTimeout)
	defer cancel()
	if _, err := cow.host.store.Get(ctx, platform.HoldsKey()); err != nil {
		return false
	}
	cow.mutex.Lock()
	defer cow.mutex.Unlock()
	cow.writes.Succeeded()
	return true
}

// resign asks the candidates to replace this host as the coordinator, since its writes fail.
func (bro *broker) resign(cause error) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if bro.coordinator != bro.host.epoch {
		return
	}
	bro.host.log.Warn().Err(cause).Int("Candidates", len(bro.links)).Msg("coordinator can't write to the store, asking to be replaced")
	bro.host.metrics.count("Coordinator.Resigned")
	for epo := range bro.links {
		bro.send(epo, reservation.Resignation{})
	}
}

// applyResignation replaces a coordinator that asks for it, if this host is the next candidate; the mutex
// must be held.
func (bro *broker) applyResignation(from request.Epoch) {
	if bro.isDeposed(from) || !bro.isNextCandidate(bro.host.epoch, from) {
		return
	}
	bro.host.log.Warn().Stringer("Coordinator", from).Msg("replacing a coordinator that can't write to the store")
	bro.replace(from)
}

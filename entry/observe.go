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
	// gatherPause is how long changes are let come together after some have come:
	// each answer is a call, and a bound of seconds leaves room for it.
	gatherPause = 100 * time.Millisecond
	// startGather is the same in a host's first moments, which startSettles bounds:
	// hosts that start together decide alone until they know one another, which costs
	// more than the calls that a longer pause saves.
	startGather  = 50 * time.Millisecond
	startSettles = 1500 * time.Millisecond
	// minRetry and maxRetry bound the pause before the store is asked again: each
	// call counts against its rate, and a configuration must be in force soon.
	minRetry = 50 * time.Millisecond
	maxRetry = 200 * time.Millisecond
	// peerInterval is how often other hosts are asked meanwhile: engines that leave
	// must get nothing new after two seconds.
	peerInterval = 400 * time.Millisecond
	// maxRateRetry bounds it where the store's rate is used up.
	maxRateRetry = 2 * time.Second
	// lapseHold is for how long after an outage of the store entries that lapsed
	// meanwhile are kept: their owners are back within about two seconds.
	lapseHold = 2200 * time.Millisecond
	// peersGap is for how long other hosts may have nothing new to tell although the store
	// serves them: what they know is as old as their watch, where nothing changes.
	peersGap = watchWait
)

// observer follows the store and makes the host's belief of it.
type observer struct {
	host      *Host
	directory *fleet.Directory
	table     *route.Table
	revision  store.Revision
	// whole is set while everything must be read anew.
	whole bool
	// refused are the keys whose values can't be used.
	refused *refusals
	// unread are the keys and fields that nobody reads.
	unread *unread
	// rollouts is what the store holds of roll-outs.
	rollouts rollouts
	// evacuations is what the store holds of failure domains that are being emptied, by their
	// names, evacuationsChanged is set until that is in force. reopened are those whose order
	// was taken back since, unknownDomains the orders that were named for what they are.
	evacuations        map[string]evacuation.Standing
	evacuationsChanged bool
	reopened           []string
	unknownDomains     map[evacuation.Order]bool
	// changed is what the update that is being taken changes of the hosts.
	changed changeList
	// paused says that a host that found no other has waited for some.
	paused bool
	// readers chooses the host of the failure domain that reads for all.
	readers *readers
	// nextPeer goes round the hosts that are asked while the store is lost.
	nextPeer int
	// met is the epoch of the host of the own failure domain that has answered.
	met request.Epoch
	// direct is until when the store is read itself.
	direct time.Time
	// nextProbe is when a lost store is asked again by a host that follows another.
	nextProbe time.Time
	// lostAt is when the store was first not reached; zero while it is.
	lostAt time.Time
	// peersKnow is since when other hosts, asked in its place, have known what it holds, and
	// peersTold when one last did.
	peersKnow time.Time
	peersTold time.Time
	// cause is why it was last not reached.
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

// observe follows the store until the context ends.
func (hos *Host) observe(ctx context.Context) error {
	obs := newObserver(hos)
	for ctx.Err() == nil {
		upd, err := obs.read(ctx)
		if err != nil {
			obs.lost(ctx, err)
			continue
		}
		obs.regained()
		obs.apply(upd)
		if len(upd.changes.Changes) > 0 && !upd.whole {
			task.Sleep(ctx, obs.gather(obs.host.clock.Now()))
		}
	}
	return ctx.Err()
}

// gather returns how long changes are let come together.
func (obs *observer) gather(now time.Time) time.Duration {
	if now.Sub(obs.host.started) < startSettles {
		return startGather
	}
	return gatherPause
}

// apply takes an update.
func (obs *observer) apply(upd update) {
	obs.whole = false
	if upd.whole {
		obs.replace(upd.values, upd.changes.Revision)
		obs.host.mirror.replace(upd.values, max(obs.revision, upd.changes.Revision), upd.confirmed)
	} else {
		obs.changed = changeList{}
		for _, cha := range upd.changes.Changes {
			obs.take(cha)
		}
		obs.changed.log(obs.host.log, upd.changes.Revision)
		obs.host.mirror.apply(upd.changes, upd.confirmed)
	}
	obs.revision = max(obs.revision, upd.changes.Revision)
	settled := obs.directory.Settle(obs.host.clock.Now())
	obs.host.confirm(upd.confirmed)
	if upd.whole || len(upd.changes.Changes) > 0 || settled {
		obs.publish()
	}
	obs.host.listing.Do(func() { close(obs.host.listed) })
	obs.host.noteBegun()
}

// lost notes that the store wasn't reached, and waits before the next call.
func (obs *observer) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := obs.host.clock.Now()
	if obs.lostAt.IsZero() {
		obs.lostAt = now
		obs.pause = minRetry
		obs.host.log.Warn().Err(err).Uint64("Revision", uint64(obs.revision)).Msg("store lost")
	}
	obs.cause = err
	obs.host.figures.storeFailures.Inc(1)
	if !obs.servesOthers(now) {
		obs.directory.Hold(now.Add(lapseHold))
	}
	limit := maxRetry
	var rate *store.RateError
	if errors.As(err, &rate) {
		// Those who share the rate must come back later, and not all at once.
		obs.pause = max(obs.pause, rate.RetryAfter)
		limit = maxRateRetry
	}
	obs.liveOnPeers(ctx, now.Add(obs.pause/2+rand.N(obs.pause)))
	obs.pause = min(limit, 2*obs.pause)
}

// liveOnPeers asks other hosts until the store is asked again. That may take long
// where its rate is used up, and engines that leave must be known before.
func (obs *observer) liveOnPeers(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		obs.askPeers(ctx)
		left := obs.host.clock.Until(until)
		task.Sleep(ctx, min(left, peerInterval))
		if left <= peerInterval {
			return
		}
	}
}

// regained notes that the store was reached.
func (obs *observer) regained() {
	if obs.lostAt.IsZero() {
		return
	}
	now := obs.host.clock.Now()
	obs.host.log.Info().Dur("After", now.Sub(obs.lostAt)).Uint64("Revision", uint64(obs.revision)).Msg("store regained")
	obs.lostAt = time.Time{}
	obs.nextProbe = time.Time{}
	// A fleet that regains the store at once goes back to following soon.
	obs.direct = now.Add(startDirect)
	obs.host.storeAway.Store(false)
	obs.host.doubtLease()
	if !obs.servesOthers(now) {
		obs.directory.Hold(now.Add(lapseHold))
	}
	obs.peersTold = time.Time{}
}

// servesOthers reports whether the store certainly serves other hosts while this one has
// lost it. Entries lapse in an outage although their owners live, and are kept for that;
// where only this host is cut off, what is gone has left, and mustn't get requests. Others know of an outage within followAge, which is less than lapseHold.
func (obs *observer) servesOthers(now time.Time) bool {
	return now.Sub(obs.peersTold) <= peersGap && now.Sub(obs.peersKnow) > lapseHold
}

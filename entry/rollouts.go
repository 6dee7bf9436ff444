package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/rollout"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/store"
)

const (
	// rolloutInterval is how often the coordinator decides on roll-outs while any is unfinished: a
	// faulty version does harm within a second.
	rolloutInterval = 100 * time.Millisecond
	// rolloutTimeout bounds the writing of a ledger or a state.
	rolloutTimeout = time.Second
)

// rollouts is the stored state of roll-outs, by service.
type rollouts struct {
	stored map[string]rollout.StoredState
	// changed is set while changes have not been passed to the scheduler.
	changed bool
}

func (rls *rollouts) set(service string, change func(*rollout.StoredState)) {
	if rls.stored == nil {
		rls.stored = make(map[string]rollout.StoredState)
	}
	sst := rls.stored[service]
	change(&sst)
	rls.stored[service] = sst
	rls.changed = true
}

// ordered returns the roll-outs that were ordered, sorted by service.
func (rls *rollouts) ordered() []rollout.StoredState {
	var ordered []rollout.StoredState
	for _, name := range slices.Sorted(maps.Keys(rls.stored)) {
		if sst := rls.stored[name]; sst.Order.Revision > 0 {
			ordered = append(ordered, sst)
		}
	}
	return ordered
}

// applyRolloutOrder applies an operator's order. An invalid one is ignored, and the previous one
// stays in force.
func (wat *storeWatcher) applyRolloutOrder(val store.Value) {
	ord, err := platform.DecodeRolloutOrder(val)
	if !wat.invalidValues.checkValue(val, err, "roll-out order refused, keeping the previous one") {
		return
	}
	known := wat.rollouts.stored[ord.Service].Order
	if ord.Revision <= known.Revision || wat.isRewritten(known, ord) {
		return
	}
	if tab := wat.table; tab != nil {
		if _, configured := tab.Service(ord.Service); !configured {
			wat.host.log.Warn().Str("Service", ord.Service).Uint64("Revision", store.Revision(ord.Revision).Number()).Msg("roll-out of a service that isn't configured")
		}
	}
	wat.host.log.Info().Str("Service", ord.Service).Str("Version", ord.Version).Dur("Period", ord.Period).Uint64("Revision", store.Revision(ord.Revision).Number()).Msg("roll-out ordered")
	wat.rollouts.set(ord.Service, func(sst *rollout.StoredState) { sst.Order = ord })
}

// isRewritten reports whether an order is the known one, which the operator has written again after the store was
// restored. It stays the same order, so that its roll-out goes on.
func (wat *storeWatcher) isRewritten(known, ord rollout.Order) bool {
	return wat.inRestoreGrace(wat.host.clock.Now()) && store.Revision(known.Revision).Era() < store.Revision(ord.Revision).Era() &&
		known.Version == ord.Version && known.Period == ord.Period
}

// applyRolloutState applies the published state of a roll-out.
func (wat *storeWatcher) applyRolloutState(name string, val store.Value) {
	sta, version, err := platform.DecodeRolloutState(val)
	// The revision is recorded even if the state is invalid: the next state is written on condition
	// of that revision. The same holds for a ledger.
	wat.invalidValues.checkValue(val, err, "stored roll-out state invalid, ignored")
	wat.rollouts.set(name, func(sst *rollout.StoredState) {
		sst.State, sst.StateVersion, sst.StateRevision = sta, version, uint64(val.Revision)
	})
}

// applyLedger applies the shared ledger of a roll-out.
func (wat *storeWatcher) applyLedger(name string, val store.Value) {
	led, err := platform.DecodeLedger(val)
	wat.invalidValues.checkValue(val, err, "stored roll-out ledger invalid, ignored")
	wat.rollouts.set(name, func(sst *rollout.StoredState) { sst.Ledger, sst.LedgerRevision = led, uint64(val.Revision) })
}

// publishRollouts passes changes of roll-outs to this host's scheduler.
func (wat *storeWatcher) publishRollouts() {
	if !wat.rollouts.changed {
		return
	}
	wat.rollouts.changed = false
	ordered := wat.rollouts.ordered()
	if len(ordered) == 0 {
		return
	}
	wat.host.broker.handle(scheduler.RolloutsChanged{States: ordered})
	select {
	case wat.host.rolloutUpdates <- struct{}{}:
	default:
	}
}

// rolloutWrites makes this host's scheduler decide on roll-outs if this host is the coordinator,
// and returns what is to be written. Other hosts send no requests to a new version until its
// roll-out is completed. It also reports whether any roll-out is unfinished.
func (bro *broker) rolloutWrites(now time.Time) ([]rollout.Write, bool) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if !bro.core.RolloutsPending() {
		return nil, false
	}
	if !bro.coordinatesLocked() {
		return nil, true
	}
	writes := bro.core.RolloutWrites(now)
	// The decisions may allow waiting requests to be dispatched.
	bro.handleLocked(scheduler.Tick{})
	return writes, true
}

// maintainRollouts decides on roll-outs, while any are unfinished and this host is the coordinator,
// and writes the decisions to the store.
func (hos *Host) maintainRollouts(ctx context.Context) error {
	written := make(chan struct{})
	writing := 0
	tick := time.NewTicker(rolloutInterval)
	defer tick.Stop()
	tick.Stop()
	for {
		select {
		case <-hos.rolloutUpdates:
			tick.Reset(rolloutInterval)
		case <-tick.C:
			writes, open := hos.broker.rolloutWrites(hos.clock.Now())
			if !open {
				tick.Stop()
			}
			for _, wri := range writes {
				writing++
				go func() {
					hos.writeRollout(ctx, wri)
					written <- struct{}{}
				}()
			}
		case <-written:
			writing--
		case <-ctx.Done():
			for ; writing > 0; writing-- {
				<-written
			}
			return ctx.Err()
		}
	}
}

// writeRollout writes a ledger or a state on condition of its revision. If the answer is
// lost, the write may have been made; the next read of the store shows its result.
func (hos *Host) writeRollout(ctx context.Context, wri rollout.Write) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	key, data, err := encodeRollout(wri)
	var rev store.Revision
	if err == nil {
		rev, err = hos.coordinatorWrites.put(ctx, store.Write{Key: key, Data: data, Expect: store.Revision(wri.Expect)})
	}
	evt := hos.log.Info().Str("Service", wri.Service).Str("Key", key).Uint64("Expected", store.Revision(wri.Expect).Number()).Uint64("Revision", rev.Number())
	if wri.Ledger != nil {
		evt = evt.Int("Reserved", wri.Ledger.Reserved).Int("Requests", wri.Ledger.Tally.Requests).Interface("Routes", wri.Ledger.Tally.Routes)
	} else {
		evt = evt.Stringer("State", wri.State).Str("Version", wri.Version).Str("Reason", wri.Reason)
	}
	if err != nil {
		evt.Err(err).Msg("writing the roll-out state or ledger failed")
		return
	}
	evt.Msg("roll-out state or ledger written")
	hos.broker.handle(scheduler.RolloutRecorded{Write: wri, Revision: uint64(rev)})
}

func encodeRollout(wri rollout.Write) (string, []byte, error) {
	if wri.Ledger != nil {
		data, err := platform.EncodeLedger(*wri.Ledger)
		return platform.LedgerKey(wri.Service), data, err
	}
	data, err := platform.EncodeRolloutState(wri.State, wri.Version)
	return platform.RolloutStateKey(wri.Service), data, err
}

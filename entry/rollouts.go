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
	// rolloutInterval is how often the coordinator decides on roll-outs while there are any: a
	// fraction of the second within which a version that became faulty does harm.
	rolloutInterval = 100 * time.Millisecond
	// rolloutTimeout bounds the writing of a ledger or a state.
	rolloutTimeout = time.Second
)

// rollouts is the stored state of roll-outs, by service.
type rollouts struct {
	standings map[string]rollout.Standing
	// changed is set until the scheduler has been informed.
	changed bool
}

func (rls *rollouts) set(service string, change func(*rollout.Standing)) {
	if rls.standings == nil {
		rls.standings = make(map[string]rollout.Standing)
	}
	sst := rls.standings[service]
	change(&sst)
	rls.standings[service] = sst
	rls.changed = true
}

// ordered returns the roll-outs that were ordered, sorted by service.
func (rls *rollouts) ordered() []rollout.Standing {
	var ordered []rollout.Standing
	for _, name := range slices.Sorted(maps.Keys(rls.standings)) {
		if sst := rls.standings[name]; sst.Order.Revision > 0 {
			ordered = append(ordered, sst)
		}
	}
	return ordered
}

// takeOrder applies an operator's order. An invalid one is ignored, and the previous one stays in
// force.
func (wat *observer) takeOrder(val store.Value) {
	ord, err := platform.DecodeOrder(val)
	if !wat.refused.usable(val, err, "roll-out order refused, keeping the previous one") {
		return
	}
	if ord.Revision <= wat.rollouts.standings[ord.Service].Order.Revision {
		return
	}
	if tab := wat.table; tab != nil {
		if _, known := tab.Service(ord.Service); !known {
			wat.host.log.Warn().Str("Service", ord.Service).Uint64("Revision", ord.Revision).Msg("roll-out of a service that isn't configured")
		}
	}
	wat.host.log.Info().Str("Service", ord.Service).Str("Version", ord.Version).Dur("Period", ord.Period).Uint64("Revision", ord.Revision).Msg("roll-out ordered")
	wat.rollouts.set(ord.Service, func(sst *rollout.Standing) { sst.Order = ord })
}

// takeRolloutState applies the published state of a roll-out.
func (wat *observer) takeRolloutState(name string, val store.Value) {
	sta, version, err := platform.DecodeRolloutState(val)
	// The revision of an invalid state is needed all the same: the next state is written in its
	// place. So is a ledger's.
	wat.refused.usable(val, err, "stored roll-out state invalid, ignored")
	wat.rollouts.set(name, func(sst *rollout.Standing) {
		sst.State, sst.StateVersion, sst.StateRevision = sta, version, uint64(val.Revision)
	})
}

// takeLedger applies the shared ledger of a roll-out.
func (wat *observer) takeLedger(name string, val store.Value) {
	led, err := platform.DecodeLedger(val)
	wat.refused.usable(val, err, "stored roll-out ledger invalid, ignored")
	wat.rollouts.set(name, func(sst *rollout.Standing) { sst.Ledger, sst.LedgerRevision = led, uint64(val.Revision) })
}

// publishRollouts passes changes of roll-outs to this host's scheduler.
func (wat *observer) publishRollouts() {
	if !wat.rollouts.changed {
		return
	}
	wat.rollouts.changed = false
	ordered := wat.rollouts.ordered()
	if len(ordered) == 0 {
		return
	}
	wat.host.desk.handle(scheduler.RolloutsChanged{States: ordered})
	select {
	case wat.host.rolloutNews <- struct{}{}:
	default:
	}
}

// rolloutWrites makes this host's scheduler decide on roll-outs if this host is the coordinator,
// and returns what is to be written. Other hosts use no new versions. It also reports whether any
// roll-out is unfinished.
func (bro *desk) rolloutWrites(now time.Time) ([]rollout.Write, bool) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if !bro.core.RolloutsPending() {
		return nil, false
	}
	if !bro.inCharge() {
		return nil, true
	}
	writes := bro.core.RolloutWrites(now)
	// The decisions may allow waiting requests to be dispatched.
	bro.step(scheduler.Tick{})
	return writes, true
}

// keepRollouts decides on roll-outs while any are unfinished.
func (hos *Host) keepRollouts(ctx context.Context) error {
	written := make(chan struct{})
	writing := 0
	tick := time.NewTicker(rolloutInterval)
	defer tick.Stop()
	tick.Stop()
	for {
		select {
		case <-hos.rolloutNews:
			tick.Reset(rolloutInterval)
		case <-tick.C:
			writes, open := hos.desk.rolloutWrites(hos.clock.Now())
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

// writeRollout writes a ledger or a state on condition of its revision. A write without an answer
// may have been made; what is read from the store next decides.
func (hos *Host) writeRollout(ctx context.Context, wri rollout.Write) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	key, data, err := encodeRollout(wri)
	var rev store.Revision
	if err == nil {
		rev, err = hos.store.Put(ctx, store.Write{Key: key, Data: data, Expect: store.Revision(wri.Expect)})
	}
	evt := hos.log.Info().Str("Service", wri.Service).Str("Key", key).Uint64("Expected", wri.Expect).Uint64("Revision", uint64(rev))
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
	hos.desk.handle(scheduler.RolloutRecorded{Write: wri, Revision: uint64(rev)})
}

func encodeRollout(wri rollout.Write) (string, []byte, error) {
	if wri.Ledger != nil {
		data, err := platform.EncodeLedger(*wri.Ledger)
		return platform.LedgerKey(wri.Service), data, err
	}
	data, err := platform.EncodeRolloutState(wri.State, wri.Version)
	return platform.RolloutStateKey(wri.Service), data, err
}

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
	// rolloutInterval is how often the coordinator decides on roll-outs while there are
	// any: a part of the second in which a version that turned bad does harm.
	rolloutInterval = 100 * time.Millisecond
	// rolloutTimeout bounds the writing of a ledger or a state.
	rolloutTimeout = time.Second
)

// rollouts is what the store holds of roll-outs, by service.
type rollouts struct {
	standings map[string]rollout.Standing
	// changed is set until the scheduler was told.
	changed bool
}

func (rls *rollouts) set(service string, change func(*rollout.Standing)) {
	if rls.standings == nil {
		rls.standings = make(map[string]rollout.Standing)
	}
	std := rls.standings[service]
	change(&std)
	rls.standings[service] = std
	rls.changed = true
}

// ordered returns the roll-outs that were ordered, by service.
func (rls *rollouts) ordered() []rollout.Standing {
	var ordered []rollout.Standing
	for _, name := range slices.Sorted(maps.Keys(rls.standings)) {
		if std := rls.standings[name]; std.Order.Revision > 0 {
			ordered = append(ordered, std)
		}
	}
	return ordered
}

// takeOrder takes an operator's order. One that can't be read is never followed, and the
// former one goes on.
func (obs *observer) takeOrder(val store.Value) {
	ord, err := platform.DecodeOrder(val)
	if !obs.refused.usable(val, err, "roll-out order refused, the former one stays") {
		return
	}
	if ord.Revision <= obs.rollouts.standings[ord.Service].Order.Revision {
		return
	}
	if tab := obs.table; tab != nil {
		if _, known := tab.Service(ord.Service); !known {
			obs.host.log.Warn().Str("Service", ord.Service).Uint64("Revision", ord.Revision).Msg("roll-out of a service that isn't configured")
		}
	}
	obs.host.log.Info().Str("Service", ord.Service).Str("Version", ord.Version).Dur("Period", ord.Period).Uint64("Revision", ord.Revision).Msg("roll-out ordered")
	obs.rollouts.set(ord.Service, func(std *rollout.Standing) { std.Order = ord })
}

// takeRolloutState takes what was told of a roll-out.
func (obs *observer) takeRolloutState(name string, val store.Value) {
	sta, version, err := platform.DecodeRolloutState(val)
	// The revision of a state that can't be read counts all the same: the next one is told
	// in its place. So does a ledger's.
	obs.refused.usable(val, err, "roll-out state passed over")
	obs.rollouts.set(name, func(std *rollout.Standing) {
		std.State, std.StateVersion, std.StateRevision = sta, version, uint64(val.Revision)
	})
}

// takeLedger takes what hosts keep of a roll-out.
func (obs *observer) takeLedger(name string, val store.Value) {
	led, err := platform.DecodeLedger(val)
	obs.refused.usable(val, err, "roll-out ledger passed over")
	obs.rollouts.set(name, func(std *rollout.Standing) { std.Ledger, std.LedgerRevision = led, uint64(val.Revision) })
}

// publishRollouts tells the own scheduler what has changed of roll-outs.
func (obs *observer) publishRollouts() {
	if !obs.rollouts.changed {
		return
	}
	obs.rollouts.changed = false
	ordered := obs.rollouts.ordered()
	if len(ordered) == 0 {
		return
	}
	obs.host.desk.handle(scheduler.RolloutsChanged{Standings: ordered})
	select {
	case obs.host.rolloutNews <- struct{}{}:
	default:
	}
}

// rolloutWrites has the own scheduler decide on roll-outs if this host decides for all,
// and returns what is to be written. Others leave the new versions alone.
func (des *desk) rolloutWrites(now time.Time) ([]rollout.Write, bool) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if !des.core.RolloutsOpen() {
		return nil, false
	}
	if !des.inCharge() {
		return nil, true
	}
	writes := des.core.RolloutWrites(now)
	// What was decided may let requests go that wait.
	des.step(scheduler.Tick{})
	return writes, true
}

// keepRollouts decides on roll-outs while there are any.
func (hos *Host) keepRollouts(ctx context.Context) error {
	ends := make(chan struct{})
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
					ends <- struct{}{}
				}()
			}
		case <-ends:
			writing--
		case <-ctx.Done():
			for ; writing > 0; writing-- {
				<-ends
			}
			return ctx.Err()
		}
	}
}

// writeRollout writes a ledger or a state under the condition of its revision. One that
// isn't answered may have been done; what the store holds is read, and decides.
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
		evt.Err(err).Msg("roll-out not written")
		return
	}
	evt.Msg("roll-out written")
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

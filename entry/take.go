package entry

import (
	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/rollout"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
)

// replace applies a complete read of the store at a revision.
func (wat *storeWatcher) replace(values []store.Value, rev store.Revision) {
	var engines []fleet.Engine
	var members []fleet.Member
	var invalid []string
	wat.clearKeyRing()
	wat.clearHeldRevision()
	wat.clearLimitShares()
	wat.clearVersions()
	wat.clearOrigins()
	wat.resetEvacuations(values, rev)
	for _, val := range values {
		switch kind, name := platform.ParseKey(val.Key); kind {
		case platform.KeyConfiguration:
			wat.applyConfiguration(val)
		case platform.KeyEngine:
			if eng, usable := wat.decodeEngine(val); usable {
				engines = append(engines, eng)
			} else {
				invalid = append(invalid, name)
			}
		case platform.KeyMember:
			if mem, usable := wat.decodeMember(val); usable {
				members = append(members, mem)
			}
		case platform.KeyMeasurements:
			wat.applyMeasurements(val)
		case platform.KeyRing:
			wat.applyKeyRing(val)
		case platform.KeyRolloutOrder:
			wat.applyRolloutOrder(val)
		case platform.KeyRolloutState:
			wat.applyRolloutState(name, val)
		case platform.KeyLedger:
			wat.applyLedger(name, val)
		case platform.KeyHolds:
			wat.applyHeld(val)
		case platform.KeyLimitShares:
			wat.applyLimitShares(val)
		case platform.KeyVersions:
			wat.applyVersions(val)
		case platform.KeyOrigins:
			wat.applyOrigins(val)
		case platform.KeyEvacuation:
			wat.applyEvacuation(val)
		case platform.KeyEvacuationState:
			wat.applyEvacuationState(name, val)
		case platform.KeyOther:
			wat.unrecognized.recordKey(val)
		}
	}
	wat.endFirstRead()
	wat.endVersionsRead()
	wat.directory.Replace(wat.host.clock.Now(), engines, members)
	for _, name := range invalid {
		wat.directory.DropEngine(name)
	}
	if wat.directory.IsMissing(wat.host.set.Name) {
		wat.host.renewLeaseSoon()
	}
}

// decodeEngine decodes an engine's entry, and reports whether it is valid. The caller drops the
// engine if it isn't.
func (wat *storeWatcher) decodeEngine(val store.Value) (fleet.Engine, bool) {
	eng, err := platform.DecodeEngine(val)
	return eng, wat.invalidValues.checkValue(val, err, "engine entry invalid, engine not used")
}

// decodeMember decodes a host's entry, and reports whether it is valid. If this host's own entry is
// invalid, it is written again.
func (wat *storeWatcher) decodeMember(val store.Value) (fleet.Member, bool) {
	mem, err := platform.DecodeMember(val)
	usable := wat.invalidValues.checkValue(val, err, "host entry invalid, host not used")
	if !usable && val.Key == platform.MemberKey(wat.host.set.Name) {
		wat.host.entryInvalid.Store(true)
		wat.host.renewLeaseSoon()
	}
	return mem, usable
}

// applyChange applies one change of the store.
func (wat *storeWatcher) applyChange(cha store.Change) {
	if cha.Deleted {
		wat.applyDeletion(cha)
		return
	}
	switch kind, name := platform.ParseKey(cha.Key); kind {
	case platform.KeyConfiguration:
		wat.applyConfiguration(cha.Value)
	case platform.KeyMeasurements:
		wat.applyMeasurements(cha.Value)
	case platform.KeyEngine:
		if eng, usable := wat.decodeEngine(cha.Value); usable {
			wat.applyEngine(eng, cha.Revision)
		} else {
			wat.directory.DropEngine(name)
		}
	case platform.KeyMember:
		if mem, usable := wat.decodeMember(cha.Value); usable {
			wat.hostChanges.registered = append(wat.hostChanges.registered, name)
			wat.directory.SetMember(mem)
		} else {
			wat.removeMember(name)
		}
	case platform.KeyRing:
		wat.applyKeyRing(cha.Value)
	case platform.KeyRolloutOrder:
		wat.applyRolloutOrder(cha.Value)
	case platform.KeyRolloutState:
		wat.applyRolloutState(name, cha.Value)
	case platform.KeyLedger:
		wat.applyLedger(name, cha.Value)
	case platform.KeyHolds:
		wat.applyHeld(cha.Value)
	case platform.KeyLimitShares:
		wat.applyLimitShares(cha.Value)
	case platform.KeyVersions:
		wat.applyVersions(cha.Value)
	case platform.KeyOrigins:
		wat.applyOrigins(cha.Value)
	case platform.KeyEvacuation:
		wat.applyEvacuation(cha.Value)
	case platform.KeyEvacuationState:
		wat.applyEvacuationState(name, cha.Value)
	case platform.KeyOther:
		wat.unrecognized.recordKey(cha.Value)
	}
}

// applyDeletion applies the deletion of a key. A configuration, the measurements and the order of a
// roll-out remain in use after their keys are deleted.
func (wat *storeWatcher) applyDeletion(cha store.Change) {
	wat.invalidValues.recordValid(cha.Key)
	switch kind, name := platform.ParseKey(cha.Key); kind {
	case platform.KeyEngine:
		if now := wat.host.clock.Now(); wat.host.snapshotAge(now) <= maxStopCopyAge {
			wat.host.departures.record(now, name)
		}
		wat.host.log.Info().Str("Engine", name).Uint64("Revision", cha.Revision.Number()).Msg("engine deregistered")
		wat.directory.RemoveEngine(wat.host.clock.Now(), name)
	case platform.KeyMember:
		wat.removeMember(name)
		if name == wat.host.set.Name {
			wat.host.renewLeaseSoon()
		}
	case platform.KeyRolloutState:
		wat.rollouts.set(name, func(sta *rollout.StoredState) { sta.State, sta.StateVersion, sta.StateRevision = 0, "", 0 })
	case platform.KeyLedger:
		wat.rollouts.set(name, func(sta *rollout.StoredState) { sta.Ledger, sta.LedgerRevision = rollout.Ledger{}, 0 })
	case platform.KeyRing:
		wat.clearKeyRing()
	case platform.KeyHolds:
		wat.clearHeldRevision()
	case platform.KeyLimitShares:
		wat.clearLimitShares()
	case platform.KeyVersions:
		wat.clearVersions()
	case platform.KeyEvacuation:
		wat.withdrawEvacuation(name, cha.Revision)
	case platform.KeyEvacuationState:
		wat.setEvacuation(name, func(sta *evacuation.StoredState) { sta.Published = evacuation.PublishedState{} })
	case platform.KeyConfiguration, platform.KeyMeasurements, platform.KeyRolloutOrder, platform.KeyOrigins, platform.KeyOther:
	}
}

func (wat *storeWatcher) removeMember(name string) {
	wat.hostChanges.deregistered = append(wat.hostChanges.deregistered, name)
	wat.directory.RemoveMember(wat.host.clock.Now(), name)
}

func (wat *storeWatcher) applyEngine(eng fleet.Engine, rev store.Revision) {
	newer := wat.directory.SetEngine(wat.host.clock.Now(), eng)
	wat.host.log.Info().Stringer("Engine", eng.ID).Str("Service", eng.Service).Str("Version", eng.Version).Stringer("Address", eng.Address).Bool("Draining", eng.Draining).Dur("ColdFor", eng.ColdFor).
		Uint64("Sequence", eng.Sequence).Bool("Newer", newer).Uint64("Revision", rev.Number()).Msg("engine entry read")
}

// applyConfiguration makes a newer configuration the active one. An invalid one is refused as a
// whole, and the last valid one stays active.
func (wat *storeWatcher) applyConfiguration(val store.Value) {
	con, err := platform.DecodeConfiguration(val.Data)
	if err != nil {
		wat.invalidValues.recordInvalid(val, err, "configuration refused, keeping the last valid one")
		return
	}
	if wat.table != nil && con.Version <= wat.table.Version() {
		return
	}
	tab, err := route.NewTable(con)
	if err != nil {
		wat.invalidValues.recordInvalid(val, err, "configuration refused, keeping the last valid one")
		return
	}
	wat.invalidValues.recordValid(val.Key)
	wat.unrecognized.recordFields(val)
	wat.table = tab
	wat.checkRegions(tab, val)
	for _, acc := range con.Accounts {
		wat.host.log.Debug().Str("Account", acc.Name).Float64("Rate", acc.Rate).Float64("Burst", acc.Burst).Bool("ByTokens", acc.ByTokens).
			Interface("Rank", acc.Rank).Int("Keys", len(acc.Keys)).Uint64("Version", con.Version).Msg("client account configured")
	}
	evt := wat.host.log.Info().Uint64("Version", con.Version).Uint64("Revision", val.Revision.Number()).
		Int("Routes", len(con.Routes)).Int("Accounts", len(con.Accounts)).Int("Bytes", len(val.Data)).
		Str("Through", wat.applying.relay).Bool("Whole", wat.applying.complete)
	if !wat.applying.confirmed.IsZero() {
		evt = evt.Dur("AgeOfUpdate", wat.host.clock.Since(wat.applying.confirmed))
	}
	evt.Msg("configuration active")
}

package entry

import (
	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/rollout"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
)

// replace takes a whole reading of a revision.
func (obs *observer) replace(values []store.Value, rev store.Revision) {
	var engines []fleet.Engine
	var members []fleet.Member
	var refused []string
	obs.loseRing()
	obs.loseHeld()
	obs.replaceEvacuations(values, rev)
	for _, val := range values {
		switch kind, name := platform.KindOf(val.Key); kind {
		case platform.KeyConfiguration:
			obs.takeConfiguration(val)
		case platform.KeyEngine:
			if eng, usable := obs.decodeEngine(val); usable {
				engines = append(engines, eng)
			} else {
				refused = append(refused, name)
			}
		case platform.KeyMember:
			if mem, usable := obs.decodeMember(val); usable {
				members = append(members, mem)
			}
		case platform.KeySurvey:
			obs.takeSurvey(val)
		case platform.KeyRing:
			obs.takeRing(val)
		case platform.KeyOrder:
			obs.takeOrder(val)
		case platform.KeyRolloutState:
			obs.takeRolloutState(name, val)
		case platform.KeyLedger:
			obs.takeLedger(name, val)
		case platform.KeyHolds:
			obs.takeHeld(val)
		case platform.KeyEvacuation:
			obs.takeEvacuation(val)
		case platform.KeyEvacuationState:
			obs.takeEvacuationState(name, val)
		case platform.KeyOther:
			obs.unread.takeKey(val)
		}
	}
	obs.directory.Replace(obs.host.clock.Now(), engines, members)
	for _, name := range refused {
		obs.directory.DropEngine(name)
	}
	if obs.directory.Missing(obs.host.set.Name) {
		obs.host.doubtLease()
	}
}

// decodeEngine reads an engine's entry; one that can't be used names no engine, and
// whoever stood there is lost.
func (obs *observer) decodeEngine(val store.Value) (fleet.Engine, bool) {
	eng, err := platform.DecodeEngine(val)
	return eng, obs.refused.usable(val, err, "engine entry names no engine to use")
}

// decodeMember reads a host's entry. Where this host's own can't be read by others, it
// is written again.
func (obs *observer) decodeMember(val store.Value) (fleet.Member, bool) {
	mem, err := platform.DecodeMember(val)
	usable := obs.refused.usable(val, err, "host entry names no host to use")
	if !usable && val.Key == platform.MemberKey(obs.host.set.Name) {
		obs.host.entryBroken.Store(true)
		obs.host.doubtLease()
	}
	return mem, usable
}

// take takes one change.
func (obs *observer) take(cha store.Change) {
	if cha.Deleted {
		obs.takeDeleted(cha)
		return
	}
	switch kind, name := platform.KindOf(cha.Key); kind {
	case platform.KeyConfiguration:
		obs.takeConfiguration(cha.Value)
	case platform.KeySurvey:
		obs.takeSurvey(cha.Value)
	case platform.KeyEngine:
		if eng, usable := obs.decodeEngine(cha.Value); usable {
			obs.noteEngine(eng, cha.Revision)
		} else {
			obs.directory.DropEngine(name)
		}
	case platform.KeyMember:
		if mem, usable := obs.decodeMember(cha.Value); usable {
			obs.changed.entered = append(obs.changed.entered, name)
			obs.directory.SetMember(mem)
		} else {
			obs.removeMember(name)
		}
	case platform.KeyRing:
		obs.takeRing(cha.Value)
	case platform.KeyOrder:
		obs.takeOrder(cha.Value)
	case platform.KeyRolloutState:
		obs.takeRolloutState(name, cha.Value)
	case platform.KeyLedger:
		obs.takeLedger(name, cha.Value)
	case platform.KeyHolds:
		obs.takeHeld(cha.Value)
	case platform.KeyEvacuation:
		obs.takeEvacuation(cha.Value)
	case platform.KeyEvacuationState:
		obs.takeEvacuationState(name, cha.Value)
	case platform.KeyOther:
		obs.unread.takeKey(cha.Value)
	}
}

// takeDeleted takes a key's removal. A configuration, a survey and a roll-out stay in
// force without theirs.
func (obs *observer) takeDeleted(cha store.Change) {
	obs.refused.accept(cha.Key)
	switch kind, name := platform.KindOf(cha.Key); kind {
	case platform.KeyEngine:
		obs.host.log.Info().Str("Engine", name).Uint64("Revision", uint64(cha.Revision)).Msg("engine gone")
		obs.directory.RemoveEngine(obs.host.clock.Now(), name)
	case platform.KeyMember:
		obs.removeMember(name)
		if name == obs.host.set.Name {
			obs.host.doubtLease()
		}
	case platform.KeyRolloutState:
		obs.rollouts.set(name, func(std *rollout.Standing) { std.State, std.StateVersion, std.StateRevision = 0, "", 0 })
	case platform.KeyLedger:
		obs.rollouts.set(name, func(std *rollout.Standing) { std.Ledger, std.LedgerRevision = rollout.Ledger{}, 0 })
	case platform.KeyRing:
		obs.loseRing()
	case platform.KeyHolds:
		obs.loseHeld()
	case platform.KeyEvacuation:
		obs.endEvacuation(name, cha.Revision)
	case platform.KeyEvacuationState:
		obs.setEvacuation(name, func(std *evacuation.Standing) { std.Told = evacuation.Told{} })
	case platform.KeyConfiguration, platform.KeySurvey, platform.KeyOrder, platform.KeyOther:
	}
}

func (obs *observer) removeMember(name string) {
	obs.changed.gone = append(obs.changed.gone, name)
	obs.directory.RemoveMember(obs.host.clock.Now(), name)
}

func (obs *observer) noteEngine(eng fleet.Engine, rev store.Revision) {
	newer := obs.directory.SetEngine(obs.host.clock.Now(), eng)
	obs.host.log.Info().Stringer("Engine", eng.ID).Str("Service", eng.Service).Str("Version", eng.Version).Stringer("Address", eng.Address).Bool("Draining", eng.Draining).Dur("ColdFor", eng.ColdFor).
		Uint64("Sequence", eng.Sequence).Bool("Newer", newer).Uint64("Revision", uint64(rev)).Msg("engine entry")
}

// takeConfiguration puts a newer configuration in force; one that can't be used
// is passed over whole, and the last good one stays.
func (obs *observer) takeConfiguration(val store.Value) {
	con, err := platform.DecodeConfiguration(val.Data)
	if err != nil {
		obs.refused.refuse(val, err, "configuration refused, the last good one stays")
		return
	}
	if obs.table != nil && con.Version <= obs.table.Version() {
		return
	}
	tab, err := route.NewTable(con)
	if err != nil {
		obs.refused.refuse(val, err, "configuration refused, the last good one stays")
		return
	}
	obs.refused.accept(val.Key)
	obs.unread.takeConfiguration(val)
	obs.table = tab
	obs.checkRegions(tab, val)
	for _, acc := range con.Accounts {
		obs.host.log.Debug().Str("Account", acc.Name).Float64("Rate", acc.Rate).Float64("Burst", acc.Burst).Bool("ByTokens", acc.ByTokens).
			Interface("Rank", acc.Rank).Int("Keys", len(acc.Keys)).Uint64("Version", con.Version).Msg("client account")
	}
	obs.host.log.Info().Uint64("Version", con.Version).Uint64("Revision", uint64(val.Revision)).
		Int("Routes", len(con.Routes)).Int("Accounts", len(con.Accounts)).Msg("configuration in force")
}

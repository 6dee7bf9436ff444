package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/rollout"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
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

// publish makes what the observer knows the host's belief.
func (obs *observer) publish() {
	obs.publishEvacuations(obs.host.clock.Now(), obs.table)
	engines := obs.directory.Engines()
	obs.markEmptied(engines)
	bel := &belief{table: obs.table, engines: make(map[string]fleet.Engine, len(engines)), members: obs.directory.Members()}
	for _, eng := range engines {
		bel.engines[eng.ID.Name] = eng
	}
	obs.gauge(bel)
	former := obs.host.belief.Swap(bel)
	obs.endFormerRuns(former, engines)
	if bel.table != nil && former.table != bel.table {
		obs.host.desk.handle(scheduler.ConfigurationChanged{Table: bel.table})
	}
	obs.publishRollouts()
	obs.host.desk.handle(scheduler.EnginesChanged{Engines: engines})
	ros := roster{members: bel.members, candidates: bel.members, outside: obs.directory.Missing(obs.host.set.Name)}
	if ros.outside {
		ros.candidates = obs.directory.Current()
	}
	obs.host.desk.changeMembers(ros)
}

// endFormerRuns ends what still waits for engines that have started again.
func (obs *observer) endFormerRuns(former *belief, engines []fleet.Engine) {
	for _, eng := range engines {
		if known, found := former.engines[eng.ID.Name]; eng.ID.Born.IsZero() || found && known.ID == eng.ID {
			continue
		}
		obs.host.upstream.EndFormer(eng.ID)
	}
}

// gauge tells what the host believes.
func (obs *observer) gauge(bel *belief) {
	ready := int64(0)
	for _, eng := range bel.engines {
		if !eng.Closed() {
			ready++
		}
	}
	obs.host.figures.engines.Update(ready)
	obs.host.figures.members.Update(int64(len(bel.members)))
	if bel.table != nil {
		obs.host.figures.version.Update(int64(bel.table.Version()))
	}
}

package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

const (
	// watchWait is how long a watch waits for a change: its answer confirms the
	// configuration's age, and a silent store is noticed by its lack.
	watchWait = 1400 * time.Millisecond
	// followedWait is that of a host through which others read: their knowledge is
	// older than its own by what they wait.
	followedWait = 800 * time.Millisecond
	// followWait is how long a host waits for another to pass changes on.
	followWait = 700 * time.Millisecond
	// followSlack is how much longer than its wait the answer may take.
	followSlack = 300 * time.Millisecond
	// probeWait is that of the calls that find out whether a lost store is back.
	probeWait = time.Millisecond
	// peersAsked is how many other hosts are asked each time the store fails.
	peersAsked = 3
	// meetTimeout bounds the first question to a host that is to be followed: entries
	// outlive lost hosts by some seconds, and one without power would hold up a host
	// that starts for a second. An answer takes some milliseconds, and tens from a
	// busy processor.
	meetTimeout = 200 * time.Millisecond
	// followAge is the age of another host's knowledge from which the store is
	// asked directly: its own watch must be late by then.
	followAge = 1900 * time.Millisecond
	// directFor is how long a host reads the store itself after the one that it
	// followed failed it.
	directFor = 2 * time.Second
	// startDirect is the same in a host's first moments and once a lost store is back:
	// the one to follow is seldom ready then and soon is, and a whole fleet that reads by
	// itself meanwhile is most of a day's calls.
	startDirect = 300 * time.Millisecond
	// followRetry is the pause before a host that has nothing to pass on yet is asked
	// again, and followPatience for how long that goes on: hosts that start together do
	// so within some tenths of a second, and one whose reader was lost notices it within
	// a few milliseconds of its mates.
	followRetry    = 40 * time.Millisecond
	followPatience = 400 * time.Millisecond
	// firstPause is for how long a host that finds no other at all lets others enter, as
	// long as no caller asks: a fleet that starts for the first time has none yet, but one
	// whose entries have lapsed in an outage has.
	firstPause = 400 * time.Millisecond
	// followerProbe is how often, on average, a host that follows another asks a lost
	// store itself, in case only the other has lost it.
	followerProbe = time.Second
)

// update is what a reading of the store, or of another host, brought.
type update struct {
	// whole has the values replace all that was known before.
	whole   bool
	values  []store.Value
	changes store.Changes
	// confirmed is when the store certainly was as told.
	confirmed time.Time
	// from is the host that passed it on; empty for the store itself.
	from string
}

// read gets the next update: from the host of the own failure domain that reads
// the store for all, or from the store.
func (obs *observer) read(ctx context.Context) (update, error) {
	if obs.whole && obs.revision == 0 {
		return obs.listStale(ctx)
	}
	if obs.findsNobody() {
		obs.paused = true
		obs.host.awaitWanted(ctx)
		return obs.listStale(ctx)
	}
	patient := obs.host.clock.Now().Add(followPatience)
	for {
		mem, found := obs.followed(obs.host.clock.Now())
		obs.host.mirror.setRelayed(found)
		if !found && obs.rests(obs.host.clock.Now()) {
			return update{}, obs.cause
		}
		if !found {
			return obs.readStore(ctx)
		}
		upd, err := obs.followMember(ctx, mem)
		if err == nil || ctx.Err() != nil {
			return upd, err
		}
		if isNotReady(err) && obs.host.clock.Now().Before(patient) {
			task.Sleep(ctx, followRetry)
			continue
		}
		if obs.lostAt.IsZero() {
			obs.host.log.Info().Err(err).Str("Member", mem.Name).Msg("the host followed failed")
		}
		now := obs.host.clock.Now()
		obs.met = 0
		obs.readers.fail(now, mem)
		if _, another := obs.followed(now); another {
			continue
		}
		return obs.readAlone(ctx, now, err)
	}
}

// findsNobody reports whether this host found no other when it started, and hasn't
// waited for others yet.
func (obs *observer) findsNobody() bool {
	return !obs.paused && obs.host.confirmed.Load() == neverConfirmed && len(obs.directory.Members()) <= 1
}

// readAlone reads the store where no host could be followed, for a while where this
// host isn't one that reads for others.
func (obs *observer) readAlone(ctx context.Context, now time.Time, cause error) (update, error) {
	if obs.rests(now) {
		return update{}, cause
	}
	if !obs.readers.reads(now, obs.mates()) {
		obs.direct = now.Add(obs.directTime())
	}
	obs.host.mirror.setRelayed(false)
	return obs.readStore(ctx)
}

// rests reports whether this host leaves the asking of a lost store to the first of
// its failure domain for now.
func (obs *observer) rests(now time.Time) bool {
	mates := obs.mates()
	if obs.lostAt.IsZero() || len(mates) < followers || mates[0].Epoch == obs.host.epoch {
		return false
	}
	return !obs.storeDue(now)
}

// isNotReady reports whether a host answered that it has nothing to pass on yet, and
// soon may.
func isNotReady(err error) bool {
	var unready *peer.UnreadyError
	var behind *BehindMirrorError
	return errors.As(err, &unready) || errors.As(err, &behind)
}

// directTime returns how long the store is read directly after the host followed
// failed this one.
func (obs *observer) directTime() time.Duration {
	if obs.host.clock.Since(obs.host.started) < startSettles {
		return startDirect
	}
	return directFor
}

// followMember reads through a host of the own failure domain, which must have
// answered a short question before it is waited for.
func (obs *observer) followMember(ctx context.Context, mem fleet.Member) (update, error) {
	if obs.met == mem.Epoch {
		return obs.follow(ctx, mem, followWait)
	}
	meeting, cancel := context.WithTimeout(ctx, meetTimeout)
	defer cancel()
	upd, err := obs.follow(meeting, mem, probeWait)
	if err == nil {
		obs.met = mem.Epoch
	}
	return upd, err
}

// readStore gets the next update from the store.
func (obs *observer) readStore(ctx context.Context) (update, error) {
	if obs.whole {
		return obs.list(ctx)
	}
	return obs.watch(ctx)
}

// storeDue reports whether a host that follows another asks a lost store now; it does
// so seldom.
func (obs *observer) storeDue(now time.Time) bool {
	if now.Before(obs.nextProbe) {
		return false
	}
	obs.nextProbe = now.Add(followerProbe/2 + rand.N(followerProbe))
	return true
}

// followed returns the host to read through, if there is one. A host that finds others
// when it starts has callers too, and doesn't wait until one of those is ready, which may
// have started just after it.
func (obs *observer) followed(now time.Time) (fleet.Member, bool) {
	if obs.host.confirmed.Load() == neverConfirmed && !obs.paused || !obs.host.knowsPeers() {
		return fleet.Member{}, false
	}
	if obs.lostAt.IsZero() && now.Before(obs.direct) {
		return fleet.Member{}, false
	}
	return obs.readers.choose(now, obs.mates())
}

// mates returns the hosts of the own failure domain, but for those known to be lost.
func (obs *observer) mates() []fleet.Member {
	var mates []fleet.Member
	for _, mem := range obs.directory.Members() {
		if mem.Domain == obs.host.set.Domain && !obs.host.desk.isAbsent(mem.Epoch) {
			mates = append(mates, mem)
		}
	}
	return mates
}

// StaleMirrorError reports a host that passes on what is too old.
type StaleMirrorError struct {
	Member string
	Age    time.Duration
}

// Error names the host and the age.
func (sme *StaleMirrorError) Error() string {
	return "what " + sme.Member + " knows of the store is " + sme.Age.String() + " old"
}

// BehindMirrorError reports a host that knows less of the store than the one that asks
// it: one that reads for others was slower to start than they.
type BehindMirrorError struct {
	Member string
	// Revision is how far the host is, Known how far the one is that asks.
	Revision store.Revision
	Known    store.Revision
}

// Error names the host and both revisions.
func (bme *BehindMirrorError) Error() string {
	return fmt.Sprintf("what %s knows of the store ends at revision %d, before %d", bme.Member, bme.Revision, bme.Known)
}

// askPeers reads through any other host while the store is lost to this one. It
// notes whether the store is away for others too.
func (obs *observer) askPeers(ctx context.Context) {
	members := obs.directory.Members()
	away := false
	for range min(peersAsked, len(members)) {
		obs.nextPeer++
		mem := members[obs.nextPeer%len(members)]
		if mem.Epoch == obs.host.epoch {
			continue
		}
		upd, err := obs.follow(ctx, mem, probeWait)
		if err == nil {
			obs.apply(upd)
			obs.notePeersKnow()
			away = false
			break
		}
		var stale *StaleMirrorError
		away = away || errors.As(err, &stale)
	}
	obs.host.storeAway.Store(away)
}

// notePeersKnow notes that another host has told what the store holds now.
func (obs *observer) notePeersKnow() {
	now := obs.host.clock.Now()
	if now.Sub(obs.peersTold) > peersGap {
		obs.peersKnow = now
	}
	obs.peersTold = now
}

// follow reads through another host.
func (obs *observer) follow(ctx context.Context, mem fleet.Member, wait time.Duration) (update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	after := obs.revision
	if obs.whole {
		after = 0
	}
	asked := obs.host.clock.Now()
	fol, err := obs.host.peers.Follow(ctx, mem.PeerAddress, after, wait)
	if err != nil {
		return update{}, err
	}
	upd := update{whole: fol.Whole, changes: fol.Changes, confirmed: asked.Add(fol.Confirmed), from: mem.Name}
	if age := obs.host.clock.Since(upd.confirmed); age > followAge {
		return update{}, &StaleMirrorError{Member: mem.Name, Age: age}
	}
	if upd.changes.Revision < obs.revision {
		// What it lacks must not be taken back.
		return update{}, &BehindMirrorError{Member: mem.Name, Revision: upd.changes.Revision, Known: obs.revision}
	}
	if fol.Whole {
		for _, cha := range fol.Changes.Changes {
			upd.values = append(upd.values, cha.Value)
		}
	}
	return upd, nil
}

// listStale reads everything from the store as of some seconds ago, at a start: that
// counts against no rate however many hosts start at once, and confirms nothing. What
// follows, a watch or another host's word, brings what has changed since.
func (obs *observer) listStale(ctx context.Context) (update, error) {
	values, rev, err := obs.host.store.ListStale(ctx, platform.Prefix)
	if err != nil {
		return update{}, err
	}
	return update{whole: true, values: values, changes: store.Changes{Revision: rev}}, nil
}

// list reads everything from the store.
func (obs *observer) list(ctx context.Context) (update, error) {
	confirmed := obs.host.clock.Now()
	values, rev, err := obs.host.store.List(ctx, platform.Prefix)
	if err != nil {
		return update{}, err
	}
	return update{whole: true, values: values, changes: store.Changes{Revision: rev}, confirmed: confirmed}, nil
}

// watch waits for changes at the store. Where it has forgotten its history,
// everything is read.
func (obs *observer) watch(ctx context.Context) (update, error) {
	wait := watchWait
	if !obs.lostAt.IsZero() || obs.host.confirmed.Load() == neverConfirmed {
		// A watch that waits would tell only at its end that the store is there.
		wait = probeWait
	} else if obs.readers.reads(obs.host.clock.Now(), obs.mates()) {
		wait = followedWait
	}
	asked := obs.host.clock.Now()
	changes, err := obs.host.store.Watch(ctx, platform.Prefix, obs.revision, wait)
	var gone *store.CompactedError
	if errors.As(err, &gone) {
		obs.host.log.Info().Err(err).Msg("the store forgot its history, reading all")
		obs.whole = true
		return obs.list(ctx)
	}
	return update{changes: changes, confirmed: asked}, err
}

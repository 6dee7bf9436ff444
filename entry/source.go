package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
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
	// probeWait and probeTimeout bound the calls that find out whether a lost store
	// is back: a slow one answers within some hundred milliseconds.
	probeWait    = time.Millisecond
	probeTimeout = 600 * time.Millisecond
	// peersAsked is how many other hosts are asked each time the store fails.
	peersAsked = 3
	// followers is how many hosts a failure domain has at least before one of them
	// reads the store for all: below, it saves too little.
	followers = 3
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
	// the one to follow is seldom ready then and soon is, and each host of a fleet of 78
	// made 20 to 30 calls within two seconds, half of the calls of a whole day.
	startDirect = 300 * time.Millisecond
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
	mem, found := obs.followed()
	obs.host.mirror.setRelayed(found)
	if !found {
		return obs.readStore(ctx)
	}
	upd, err := obs.followMember(ctx, mem)
	if err == nil || ctx.Err() != nil {
		return upd, err
	}
	if !obs.storeDue(time.Now()) {
		return update{}, err
	}
	obs.met = 0
	obs.direct = time.Now().Add(obs.directTime())
	if obs.lostAt.IsZero() {
		obs.host.log.Info().Err(err).Str("Member", mem.Name).Msg("reading the store itself, the host followed failed")
	}
	obs.host.mirror.setRelayed(false)
	return obs.readStore(ctx)
}

// directTime returns how long the store is read directly after the host followed
// failed this one.
func (obs *observer) directTime() time.Duration {
	if time.Since(obs.host.started) < startSettles {
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

// storeDue reports whether a host that follows another asks the store now. While
// the store is lost it does so seldom: the host followed asks often, for all.
func (obs *observer) storeDue(now time.Time) bool {
	if now.Before(obs.nextProbe) {
		return false
	}
	if !obs.lostAt.IsZero() {
		obs.nextProbe = now.Add(followerProbe/2 + rand.N(followerProbe))
	}
	return true
}

// followed returns the host to read through, if it isn't this one.
func (obs *observer) followed() (fleet.Member, bool) {
	if obs.host.confirmed.Load() == neverConfirmed {
		return fleet.Member{}, false
	}
	if obs.lostAt.IsZero() && time.Now().Before(obs.direct) {
		return fleet.Member{}, false
	}
	mates := obs.mates()
	if len(mates) < followers || mates[0].Epoch == obs.host.epoch {
		return fleet.Member{}, false
	}
	return mates[0], true
}

// mates returns the hosts of the own failure domain.
func (obs *observer) mates() []fleet.Member {
	var mates []fleet.Member
	for _, mem := range obs.directory.Members() {
		if mem.Domain == obs.host.set.Domain {
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
			away = false
			break
		}
		var stale *StaleMirrorError
		away = away || errors.As(err, &stale)
	}
	obs.host.storeAway.Store(away)
}

// follow reads through another host.
func (obs *observer) follow(ctx context.Context, mem fleet.Member, wait time.Duration) (update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	after := obs.revision
	if obs.whole {
		after = 0
	}
	asked := time.Now()
	fol, err := obs.host.peers.Follow(ctx, mem.PeerAddress, after, wait)
	if err != nil {
		return update{}, err
	}
	upd := update{whole: fol.Whole, changes: fol.Changes, confirmed: asked.Add(fol.Confirmed), from: mem.Name}
	if age := time.Since(upd.confirmed); age > followAge {
		return update{}, &StaleMirrorError{Member: mem.Name, Age: age}
	}
	if upd.changes.Revision < obs.revision {
		// It is behind: what it lacks must not be taken back.
		return update{}, &StaleMirrorError{Member: mem.Name, Age: time.Since(upd.confirmed)}
	}
	if fol.Whole {
		for _, cha := range fol.Changes.Changes {
			upd.values = append(upd.values, cha.Value)
		}
	}
	return upd, nil
}

// list reads everything from the store: at the start as of some seconds ago, which
// counts against no rate however many hosts start at once, and confirms nothing.
// The watch that follows brings what has changed since.
func (obs *observer) list(ctx context.Context) (update, error) {
	read := obs.host.store.List
	confirmed := time.Now()
	if obs.revision == 0 {
		read = obs.host.store.ListStale
		confirmed = time.Time{}
	}
	values, rev, err := read(ctx, platform.Prefix)
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
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		wait = probeWait
	} else if mates := obs.mates(); len(mates) >= followers && mates[0].Epoch == obs.host.epoch {
		wait = followedWait
	}
	asked := time.Now()
	changes, err := obs.host.store.Watch(ctx, platform.Prefix, obs.revision, wait)
	var gone *store.CompactedError
	if errors.As(err, &gone) {
		obs.host.log.Info().Err(err).Msg("the store forgot its history, reading all")
		obs.whole = true
		return obs.list(ctx)
	}
	return update{changes: changes, confirmed: asked}, err
}

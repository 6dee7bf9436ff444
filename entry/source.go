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
	// watchWait is how long a watch waits for a change. Each answer confirms the age of the
	// configuration, and a missing answer shows that the store doesn't respond.
	watchWait = 1400 * time.Millisecond
	// followedWait is the same on a host that other hosts read through: their copies are older than
	// its own by the time that they wait.
	followedWait = 800 * time.Millisecond
	// followWait is how long a host waits for another host to pass on changes.
	followWait = 700 * time.Millisecond
	// followSlack is how much longer than the requested wait the answer may take.
	followSlack = 300 * time.Millisecond
	// probeWait is the wait of calls that check whether an unreachable store responds again.
	probeWait = time.Millisecond
	// peersAsked bounds how many other hosts are asked each time the store fails.
	peersAsked = 3
	// meetTimeout bounds the first call to a host before reading through it. Entries outlive lost
	// hosts by some seconds, and one without power would delay a starting host by a second. An
	// answer takes some milliseconds, and tens of milliseconds from a busy processor.
	meetTimeout = 200 * time.Millisecond
	// followAge is the age of another host's copy from which the store is read directly: that
	// host's own watch must be overdue by then.
	followAge = 1900 * time.Millisecond
	// directFor is how long a host reads the store directly after reading through another host
	// failed.
	directFor = 2 * time.Second
	// startDirect is the same shortly after the host's start and after the store has recovered: the
	// other host is seldom ready at that moment but soon is, and a whole fleet that reads directly
	// meanwhile makes most of a day's calls.
	startDirect = 300 * time.Millisecond
	// followRetry is the pause before a host that has nothing to pass on yet is asked again, and
	// followPatience bounds how long that is repeated: hosts that start together become ready
	// within some tenths of a second, and a host that loses the one it reads through notices it
	// within a few milliseconds of its domain peers.
	followRetry    = 40 * time.Millisecond
	followPatience = 400 * time.Millisecond
	// firstPause is how long a host that finds no other host waits for others to register, as long
	// as no client waits: the entries of a fleet that starts for the first time don't exist yet,
	// nor do those of a fleet whose leases expired in an outage.
	firstPause = 400 * time.Millisecond
	// followerProbe is the average interval at which a host that reads through another one probes
	// an unreachable store itself, in case only the other host can't reach it.
	followerProbe = time.Second
)

// update is the result of one read of the store, directly or through another host.
type update struct {
	// complete makes values replace all that was known before.
	whole   bool
	values  []store.Value
	changes store.Changes
	// confirmed is a time at which the store certainly had these values.
	confirmed time.Time
	// relay is the name of the host that passed the update on; empty for the store itself.
	from string
}

// nextUpdate returns the next update, through the host of the own failure domain that reads the
// store for its domain peers, or from the store.
func (wat *observer) read(ctx context.Context) (update, error) {
	if wat.whole && wat.revision == 0 {
		return wat.listStale(ctx)
	}
	if wat.findsNobody() {
		wat.paused = true
		wat.host.awaitWanted(ctx)
		return wat.listStale(ctx)
	}
	deadline := wat.host.clock.Now().Add(followPatience)
	for {
		mem, found := wat.followed(wat.host.clock.Now())
		wat.host.mirror.setRelayed(found)
		if !found && wat.rests(wat.host.clock.Now()) {
			return update{}, wat.cause
		}
		if !found {
			return wat.readStore(ctx)
		}
		upd, err := wat.followMember(ctx, mem)
		if err == nil || ctx.Err() != nil {
			return upd, err
		}
		if isNotReady(err) && wat.host.clock.Now().Before(deadline) {
			task.Sleep(ctx, followRetry)
			continue
		}
		if wat.lostAt.IsZero() {
			wat.host.log.Info().Err(err).Str("Member", mem.Name).Msg("reading the store through another host failed")
		}
		now := wat.host.clock.Now()
		wat.met = 0
		wat.readers.fail(now, mem)
		if _, another := wat.followed(now); another {
			continue
		}
		return wat.readAlone(ctx, now, err)
	}
}

// findsNobody reports whether this host found no other host at its start and hasn't waited for
// others yet.
func (wat *observer) findsNobody() bool {
	return !wat.paused && wat.host.confirmed.Load() == neverConfirmed && len(wat.directory.Members()) <= 1
}

// readAlone reads the store directly when reading through other hosts failed. Unless this host is
// itself the one that reads for its domain peers, it continues to do so for directTime.
func (wat *observer) readAlone(ctx context.Context, now time.Time, cause error) (update, error) {
	if wat.rests(now) {
		return update{}, cause
	}
	if !wat.readers.reads(now, wat.mates()) {
		wat.direct = now.Add(wat.directTime())
	}
	wat.host.mirror.setRelayed(false)
	return wat.readStore(ctx)
}

// defersStoreProbe reports whether this host currently leaves the probing of an unreachable store
// to the first host of its failure domain.
func (wat *observer) rests(now time.Time) bool {
	peers := wat.mates()
	if wat.lostAt.IsZero() || len(peers) < followers || peers[0].Epoch == wat.host.epoch {
		return false
	}
	return !wat.storeDue(now)
}

// isNotReady reports whether a host answered that it has nothing to pass on yet; it soon may.
func isNotReady(err error) bool {
	var unready *peer.UnreadyError
	var behind *BehindMirrorError
	return errors.As(err, &unready) || errors.As(err, &behind)
}

// directTime returns how long the store is read directly after reading through another host failed.
func (wat *observer) directTime() time.Duration {
	if wat.host.clock.Since(wat.host.started) < startSettles {
		return startDirect
	}
	return directFor
}

// followMember reads through a host of the own failure domain. The host must have answered a short
// call before a long wait is spent on it.
func (wat *observer) followMember(ctx context.Context, mem fleet.Member) (update, error) {
	if wat.met == mem.Epoch {
		return wat.follow(ctx, mem, followWait)
	}
	probeCtx, cancel := context.WithTimeout(ctx, meetTimeout)
	defer cancel()
	upd, err := wat.follow(probeCtx, mem, probeWait)
	if err == nil {
		wat.met = mem.Epoch
	}
	return upd, err
}

// readStore returns the next update from the store.
func (wat *observer) readStore(ctx context.Context) (update, error) {
	if wat.whole {
		return wat.list(ctx)
	}
	return wat.watch(ctx)
}

// storeDue reports whether a host that reads through another one is to probe an unreachable store
// now, and if so schedules the next probe.
func (wat *observer) storeDue(now time.Time) bool {
	if now.Before(wat.nextProbe) {
		return false
	}
	wat.nextProbe = now.Add(followerProbe/2 + rand.N(followerProbe))
	return true
}

// chooseRelay returns the host to read through, if there is one. A host that finds other hosts at
// its start also has clients, so it doesn't wait for one of them to become ready: that host may
// have started just after it.
func (wat *observer) followed(now time.Time) (fleet.Member, bool) {
	if wat.host.confirmed.Load() == neverConfirmed && !wat.paused || !wat.host.knowsPeers() {
		return fleet.Member{}, false
	}
	if wat.lostAt.IsZero() && now.Before(wat.direct) {
		return fleet.Member{}, false
	}
	return wat.readers.choose(now, wat.mates())
}

// domainPeers returns the hosts of the own failure domain, this host included, except those known
// to be unreachable.
func (wat *observer) mates() []fleet.Member {
	var peers []fleet.Member
	for _, mem := range wat.directory.Members() {
		if mem.Domain == wat.host.set.Domain && !wat.host.desk.isAbsent(mem.Epoch) {
			peers = append(peers, mem)
		}
	}
	return peers
}

// StaleMirrorError reports a host whose copy of the store is too old to use.
type StaleMirrorError struct {
	Member string
	Age    time.Duration
}

// Error names the host and the age of its copy.
func (sme *StaleMirrorError) Error() string {
	return "copy of the store on host " + sme.Member + " is " + sme.Age.String() + " old, too old to use"
}

// BehindMirrorError reports a host whose copy of the store is older than that of the host that asks
// it, such as one that started more slowly than the hosts that read through it.
type BehindMirrorError struct {
	Member string
	// Revision is that of the host's copy, Known that of the host that asks.
	Revision store.Revision
	Known    store.Revision
}

// Error names the host and both revisions.
func (bme *BehindMirrorError) Error() string {
	return fmt.Sprintf("copy of the store on host %s is behind: at revision %d, want at least %d", bme.Member, bme.Revision, bme.Known)
}

// askPeers reads through any other host while this host can't reach the store. It records whether
// the store is unreachable for other hosts too.
func (wat *observer) askPeers(ctx context.Context) {
	members := wat.directory.Members()
	unavailable := false
	for range min(peersAsked, len(members)) {
		wat.nextPeer++
		mem := members[wat.nextPeer%len(members)]
		if mem.Epoch == wat.host.epoch {
			continue
		}
		upd, err := wat.follow(ctx, mem, probeWait)
		if err == nil {
			wat.apply(upd)
			wat.notePeersKnow()
			unavailable = false
			break
		}
		var stale *StaleMirrorError
		unavailable = unavailable || errors.As(err, &stale)
	}
	wat.host.storeAway.Store(unavailable)
}

// notePeersKnow records that another host has passed on the current content of the store.
func (wat *observer) notePeersKnow() {
	now := wat.host.clock.Now()
	if now.Sub(wat.peersTold) > peersGap {
		wat.peersKnow = now
	}
	wat.peersTold = now
}

// readFromHost reads the store through another host.
func (wat *observer) follow(ctx context.Context, mem fleet.Member, wait time.Duration) (update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	after := wat.revision
	if wat.whole {
		after = 0
	}
	askedAt := wat.host.clock.Now()
	reply, err := wat.host.peers.Follow(ctx, mem.PeerAddress, after, wait)
	if err != nil {
		return update{}, err
	}
	upd := update{whole: reply.Whole, changes: reply.Changes, confirmed: askedAt.Add(reply.Confirmed), from: mem.Name}
	if age := wat.host.clock.Since(upd.confirmed); age > followAge {
		return update{}, &StaleMirrorError{Member: mem.Name, Age: age}
	}
	if upd.changes.Revision < wat.revision {
		// An older copy must not undo changes that this host has applied.
		return update{}, &BehindMirrorError{Member: mem.Name, Revision: upd.changes.Revision, Known: wat.revision}
	}
	if reply.Whole {
		for _, cha := range reply.Changes.Changes {
			upd.values = append(upd.values, cha.Value)
		}
	}
	return upd, nil
}

// listStale reads all keys from the store as of some seconds ago, at a start. Such a read counts
// against no rate limit, however many hosts start at once, and confirms nothing. The watch or read
// through another host that follows brings the changes since.
func (wat *observer) listStale(ctx context.Context) (update, error) {
	values, rev, err := wat.host.store.ListStale(ctx, platform.Prefix)
	if err != nil {
		return update{}, err
	}
	return update{whole: true, values: values, changes: store.Changes{Revision: rev}}, nil
}

// list reads all keys from the store.
func (wat *observer) list(ctx context.Context) (update, error) {
	confirmed := wat.host.clock.Now()
	values, rev, err := wat.host.store.List(ctx, platform.Prefix)
	if err != nil {
		return update{}, err
	}
	return update{whole: true, values: values, changes: store.Changes{Revision: rev}, confirmed: confirmed}, nil
}

// watch waits for changes in the store. If the store has compacted the history needed, it reads all
// keys.
func (wat *observer) watch(ctx context.Context) (update, error) {
	wait := watchWait
	if !wat.lostAt.IsZero() || wat.host.confirmed.Load() == neverConfirmed {
		// A longer watch would show only at its end that the store responds.
		wait = probeWait
	} else if wat.readers.reads(wat.host.clock.Now(), wat.mates()) {
		wait = followedWait
	}
	askedAt := wat.host.clock.Now()
	changes, err := wat.host.store.Watch(ctx, platform.Prefix, wat.revision, wait)
	var compacted *store.CompactedError
	if errors.As(err, &compacted) {
		wat.host.log.Info().Err(err).Msg("store compacted its history, reading all keys")
		wat.whole = true
		return wat.list(ctx)
	}
	return update{changes: changes, confirmed: askedAt}, err
}

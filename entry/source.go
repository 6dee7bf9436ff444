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
	// watchTimeout is how long a watch waits for a change. Each answer confirms that the snapshot is
	// current, and a missing answer shows that the store doesn't respond.
	watchTimeout = 1400 * time.Millisecond
	// relayWatchTimeout is the same on a relay. It is shorter, since the hosts that read through the
	// relay wait in addition, and their copies are older than the relay's by that wait.
	relayWatchTimeout = 800 * time.Millisecond
	// relayedWatchTimeout is how long a host waits for its relay to pass on changes.
	relayedWatchTimeout = 700 * time.Millisecond
	// relayAnswerSlack is how much longer than the requested wait the answer may take.
	relayAnswerSlack = 300 * time.Millisecond
	// probeWait is the wait of calls that check whether an unreachable store responds again.
	probeWait = time.Millisecond
	// maxPeerReads bounds how many other hosts are tried at a time while the store is unreachable.
	maxPeerReads = 3
	// relayProbeTimeout bounds the first call to a relay. The entries of lost hosts remain for some
	// seconds, and a relay without power would otherwise delay a starting host by a second. An
	// answer takes some milliseconds, and tens of milliseconds on a busy processor.
	relayProbeTimeout = 200 * time.Millisecond
	// maxPeerCopyAge is the age of another host's copy from which the store is read directly: that
	// host's own watch must be overdue by then.
	maxPeerCopyAge = 1900 * time.Millisecond
	// directReadTime is how long a host reads the store directly after reading through another host
	// failed.
	directReadTime = 2 * time.Second
	// startupDirectReadTime is the same shortly after the host's start and after the store has
	// recovered: the relay is seldom ready at that moment but soon is, and a whole fleet that reads
	// directly for longer would make most of a day's calls.
	startupDirectReadTime = 300 * time.Millisecond
	// relayRetryInterval is the pause before a relay that is not ready is called again, and
	// relayReadyTimeout bounds how long it is called again: hosts that start together become ready
	// within some tenths of a second, and the hosts of a domain that lose their relay detect that
	// within a few milliseconds of one another.
	relayRetryInterval = 40 * time.Millisecond
	relayReadyTimeout  = 400 * time.Millisecond
	// peerArrivalWait is how long a host that finds no other host waits for others to register, as
	// long as no client waits: the entries of a fleet that starts for the first time don't exist
	// yet, nor do those of a fleet whose leases expired in an outage.
	peerArrivalWait = 400 * time.Millisecond
	// relayedProbeInterval is the average interval at which a host that reads through another one
	// probes an unreachable store itself, in case only the other host can't reach the store.
	relayedProbeInterval = time.Second
)

// update is the result of one read of the store, directly or through another host.
type update struct {
	// complete is set if values holds all keys and replaces what was known before.
	complete bool
	values   []store.Value
	changes  store.Changes
	// confirmed is a time at which the store certainly had these values; zero if unknown.
	confirmed time.Time
	// relay is the name of the host that passed the update on; empty for the store itself.
	relay string
}

// nextUpdate returns the next update, through the relay of the own failure domain or from the store.
func (wat *storeWatcher) nextUpdate(ctx context.Context) (update, error) {
	if wat.needsFullRead && wat.revision == 0 {
		return wat.listStale(ctx)
	}
	if wat.foundNoHosts() {
		wat.waitedForHosts = true
		wat.host.awaitPeersOrClient(ctx)
		return wat.listStale(ctx)
	}
	deadline := wat.host.clock.Now().Add(relayReadyTimeout)
	for {
		mem, found := wat.chooseRelay(wat.host.clock.Now())
		wat.host.mirror.setRelayed(found)
		if !found && wat.defersStoreProbe(wat.host.clock.Now()) {
			return update{}, wat.lastError
		}
		if !found {
			return wat.readStore(ctx)
		}
		upd, err := wat.readThroughRelay(ctx, mem)
		if err == nil || ctx.Err() != nil {
			return upd, err
		}
		if isPeerNotReady(err) && wat.host.clock.Now().Before(deadline) {
			task.Sleep(ctx, relayRetryInterval)
			continue
		}
		if wat.unreachableSince.IsZero() {
			wat.host.log.Info().Err(err).Str("Member", mem.Name).Msg("reading the store through another host failed")
		}
		now := wat.host.clock.Now()
		wat.probedRelay = 0
		wat.relays.recordFailure(now, mem)
		if _, another := wat.chooseRelay(now); another {
			continue
		}
		return wat.readDirectly(ctx, now, err)
	}
}

// foundNoHosts reports whether this host found no other host at its start and hasn't waited for
// others yet.
func (wat *storeWatcher) foundNoHosts() bool {
	return !wat.waitedForHosts && wat.host.confirmed.Load() == neverConfirmed && len(wat.directory.Members()) <= 1
}

// readDirectly reads the store directly when reading through other hosts failed. Unless this host
// is itself the relay, it continues to do so for directReadDuration.
func (wat *storeWatcher) readDirectly(ctx context.Context, now time.Time, cause error) (update, error) {
	if wat.defersStoreProbe(now) {
		return update{}, cause
	}
	if !wat.relays.isRelay(now, wat.domainPeers()) {
		wat.directUntil = now.Add(wat.directReadDuration())
	}
	wat.host.mirror.setRelayed(false)
	return wat.readStore(ctx)
}

// defersStoreProbe reports whether this host currently leaves the probing of an unreachable store
// to the first host of its failure domain. If a probe by this host is due, defersStoreProbe returns
// false and schedules the next one.
func (wat *storeWatcher) defersStoreProbe(now time.Time) bool {
	peers := wat.domainPeers()
	if wat.unreachableSince.IsZero() || len(peers) < minRelayHosts || peers[0].Epoch == wat.host.epoch {
		return false
	}
	return !wat.storeProbeDue(now)
}

// isPeerNotReady reports whether a read through a host failed because the host is not ready yet or
// its copy is behind, so that another call may soon succeed.
func isPeerNotReady(err error) bool {
	var unready *peer.UnreadyError
	var behind *BehindMirrorError
	return errors.As(err, &unready) || errors.As(err, &behind)
}

// directReadDuration returns how long the store is read directly after reading through another host
// failed.
func (wat *storeWatcher) directReadDuration() time.Duration {
	if wat.host.clock.Since(wat.host.started) < startupPeriod {
		return startupDirectReadTime
	}
	return directReadTime
}

// readThroughRelay reads through the relay, which must have answered a short call before this host
// waits long for it.
func (wat *storeWatcher) readThroughRelay(ctx context.Context, mem fleet.Member) (update, error) {
	if wat.probedRelay == mem.Epoch {
		return wat.readFromHost(ctx, mem, relayedWatchTimeout)
	}
	probeCtx, cancel := context.WithTimeout(ctx, relayProbeTimeout)
	defer cancel()
	upd, err := wat.readFromHost(probeCtx, mem, probeWait)
	if err == nil {
		wat.probedRelay = mem.Epoch
	}
	return upd, err
}

// readStore returns the next update from the store.
func (wat *storeWatcher) readStore(ctx context.Context) (update, error) {
	if wat.needsFullRead {
		return wat.list(ctx)
	}
	return wat.watch(ctx)
}

// storeProbeDue reports whether a host that reads through another one is to probe an unreachable
// store now, and if so schedules the next probe.
func (wat *storeWatcher) storeProbeDue(now time.Time) bool {
	if now.Before(wat.nextProbe) {
		return false
	}
	wat.nextProbe = now.Add(relayedProbeInterval/2 + rand.N(relayedProbeInterval))
	return true
}

// chooseRelay returns the relay to read through, if there is one. A host that finds other hosts at
// its start first reads the store directly: clients are already using the fleet, and the relay may
// have started later than this host and not be ready.
func (wat *storeWatcher) chooseRelay(now time.Time) (fleet.Member, bool) {
	if wat.host.confirmed.Load() == neverConfirmed && !wat.waitedForHosts || !wat.host.canAuthenticate() {
		return fleet.Member{}, false
	}
	if wat.unreachableSince.IsZero() && now.Before(wat.directUntil) {
		return fleet.Member{}, false
	}
	return wat.relays.choose(now, wat.domainPeers())
}

// domainPeers returns the hosts of the own failure domain, this host included, except those known
// to be unreachable.
func (wat *storeWatcher) domainPeers() []fleet.Member {
	var peers []fleet.Member
	for _, mem := range wat.directory.Members() {
		if mem.Domain == wat.host.set.Domain && !wat.host.broker.isUnreachable(mem.Epoch) {
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

// BehindMirrorError reports a host whose copy of the store is older than that of the host that reads
// through it, such as a host that started more slowly.
type BehindMirrorError struct {
	Member string
	// Revision is that of the host's copy, Known that of the reading host's copy.
	Revision store.Revision
	Known    store.Revision
}

// Error names the host and both revisions.
func (bme *BehindMirrorError) Error() string {
	return fmt.Sprintf("copy of the store on host %s is behind: at revision %d, want at least %d", bme.Member, bme.Revision, bme.Known)
}

// readFromPeers reads through other hosts while this host can't reach the store: at most
// maxPeerReads are tried, until one answers. If none did and the copy of any is too old, it records
// that other hosts can't reach the store either.
func (wat *storeWatcher) readFromPeers(ctx context.Context) {
	members := wat.directory.Members()
	unavailable := false
	for range min(maxPeerReads, len(members)) {
		wat.peerIndex++
		mem := members[wat.peerIndex%len(members)]
		if mem.Epoch == wat.host.epoch {
			continue
		}
		upd, err := wat.readFromHost(ctx, mem, probeWait)
		if err == nil {
			wat.apply(upd)
			wat.recordPeerRead()
			unavailable = false
			break
		}
		var stale *StaleMirrorError
		unavailable = unavailable || errors.As(err, &stale)
	}
	wat.host.storeUnavailable.Store(unavailable)
}

// recordPeerRead records that another host has passed on the current content of the store.
func (wat *storeWatcher) recordPeerRead() {
	now := wat.host.clock.Now()
	if now.Sub(wat.peerReadAt) > maxPeerReadGap {
		wat.peersCurrentSince = now
	}
	wat.peerReadAt = now
}

// readFromHost reads the store through another host.
func (wat *storeWatcher) readFromHost(ctx context.Context, mem fleet.Member, wait time.Duration) (update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayAnswerSlack)
	defer cancel()
	after := wat.revision
	if wat.needsFullRead {
		after = 0
	}
	askedAt := wat.host.clock.Now()
	reply, err := wat.host.peers.Follow(ctx, mem.PeerAddress, after, wait)
	if err != nil {
		return update{}, err
	}
	upd := update{complete: reply.Snapshot, changes: reply.Changes, confirmed: askedAt.Add(reply.Confirmed), relay: mem.Name}
	if age := wat.host.clock.Since(upd.confirmed); age > maxPeerCopyAge {
		return update{}, &StaleMirrorError{Member: mem.Name, Age: age}
	}
	if upd.changes.Revision < wat.revision {
		// An older copy must not revert changes that this host has applied.
		return update{}, &BehindMirrorError{Member: mem.Name, Revision: upd.changes.Revision, Known: wat.revision}
	}
	if reply.Snapshot {
		for _, cha := range reply.Changes.Changes {
			upd.values = append(upd.values, cha.Value)
		}
	}
	return upd, nil
}

// listStale reads all keys from the store at the host's start; their values may be some seconds old.
// Such a read counts against no rate limit, however many hosts start at once, but does not confirm
// that the snapshot is current. The watch or read through another host that follows returns the
// changes since.
func (wat *storeWatcher) listStale(ctx context.Context) (update, error) {
	values, rev, err := wat.host.store.ListStale(ctx, platform.RootPrefix)
	if err != nil {
		return update{}, err
	}
	return update{complete: true, values: values, changes: store.Changes{Revision: rev}}, nil
}

// list reads all keys from the store.
func (wat *storeWatcher) list(ctx context.Context) (update, error) {
	confirmed := wat.host.clock.Now()
	values, rev, err := wat.host.store.List(ctx, platform.RootPrefix)
	if err != nil {
		return update{}, err
	}
	return update{complete: true, values: values, changes: store.Changes{Revision: rev}, confirmed: confirmed}, nil
}

// watch waits for changes in the store. If the store has compacted the history needed, it reads all
// keys.
func (wat *storeWatcher) watch(ctx context.Context) (update, error) {
	wait := watchTimeout
	if !wat.unreachableSince.IsZero() || wat.host.confirmed.Load() == neverConfirmed {
		// A longer watch would show only at its end that the store responds.
		wait = probeWait
	} else if wat.relays.isRelay(wat.host.clock.Now(), wat.domainPeers()) {
		wait = relayWatchTimeout
	}
	askedAt := wat.host.clock.Now()
	changes, err := wat.host.store.Watch(ctx, platform.RootPrefix, wat.revision, wait)
	var compacted *store.CompactedError
	if errors.As(err, &compacted) {
		wat.host.log.Info().Err(err).Uint64("Era", uint64(wat.host.storeEra())).Msg("store compacted its history, reading all keys")
		wat.needsFullRead = true
		return wat.list(ctx)
	}
	return update{changes: changes, confirmed: askedAt}, err
}

// learnStoreEra records the era of an update that another host may have sent. From then on, the store isn't asked
// for what belongs to an earlier era.
func (hos *Host) learnStoreEra(era store.Era) {
	if src, known := hos.cfg.Store.(store.EraSource); known {
		src.LearnEra(era)
	}
}

// storeEra returns the era that the store named most recently; 0 if it named none.
func (hos *Host) storeEra() store.Era {
	src, known := hos.cfg.Store.(store.EraSource)
	if !known {
		return 0
	}
	return src.Era()
}

package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/mirror"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

// sourceStore stands for the store itself among the names of the hosts through which it is read.
const sourceStore = "store"

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
	// lost is set if that host can't reach the store.
	lost bool
}

// situation returns what the decision on the next step is based on.
func (wat *storeWatcher) situation() mirror.Situation {
	hos := wat.host
	sit := mirror.Situation{
		Members: hos.snapshot.Load().members, Unreachable: hos.broker.isUnreachable,
		Revision: wat.revision, Whole: wat.needsFullRead, Authenticated: hos.canAuthenticate(),
	}
	if since := hos.confirmed.Load(); since != neverConfirmed {
		sit.Confirmed = hos.started.Add(time.Duration(since))
	}
	return sit
}

// step carries out one step of reading the store.
func (wat *storeWatcher) step(ctx context.Context) {
	sit := wat.situation()
	switch stp := wat.reader.Next(wat.host.clock.Now(), sit).(type) {
	case mirror.ListStale:
		upd, err := wat.listStale(ctx)
		wat.storeAnswered(ctx, sit, upd, err)
	case mirror.AwaitHosts:
		wat.host.awaitPeersOrClient(ctx)
		upd, err := wat.listStale(ctx)
		wat.storeAnswered(ctx, sit, upd, err)
	case mirror.ReadStore:
		upd, err := wat.readStore(ctx, stp)
		wat.storeAnswered(ctx, sit, upd, err)
	case mirror.ReadHost:
		upd, err := wat.readHost(ctx, stp)
		wat.hostAnswered(ctx, sit, stp.Member, upd, err)
	case mirror.Pause:
		task.Sleep(ctx, stp.For)
	}
	wat.host.storeUnavailable.Store(wat.reader.Unavailable())
	wat.host.mirror.SetLost(!wat.reader.LostSince().IsZero())
}

// storeAnswered handles the end of a call to the store.
func (wat *storeWatcher) storeAnswered(ctx context.Context, sit mirror.Situation, upd update, err error) {
	now := wat.host.clock.Now()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		wat.storeFailed(now, sit, err)
		return
	}
	wat.noteSource(upd)
	wat.recoverAfter(now, func() { wat.reader.StoreRead(now) })
	wat.applyAndBatch(ctx, upd)
}

// hostAnswered handles the end of a call to another host. What a host has passed on is applied even if
// that host isn't a source any longer: it is newer than what this host had.
func (wat *storeWatcher) hostAnswered(ctx context.Context, sit mirror.Situation, mem fleet.Member, upd update, err error) {
	now := wat.host.clock.Now()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		wat.hostFailed(now, sit, mem, time.Time{}, err)
		return
	}
	if err := wat.checkSource(now, upd); err != nil {
		wat.hostFailed(now, sit, mem, upd.confirmed, err)
	} else {
		wat.noteSource(upd)
		wat.recoverAfter(now, func() { wat.reader.HostRead(sit, mem, upd.confirmed) })
	}
	wat.applyAndBatch(ctx, upd)
}

// checkSource returns an error if the host that has passed on an update isn't a source any longer.
func (wat *storeWatcher) checkSource(now time.Time, upd update) error {
	if age := now.Sub(upd.confirmed); age > mirror.MaxCopyAge {
		return &mirror.StaleError{Member: upd.relay, Age: age}
	}
	if upd.lost {
		return &mirror.StoreLostError{Member: upd.relay}
	}
	return nil
}

// hostFailed records that a host is no source for now. Confirmed is when its copy was confirmed; zero if it
// didn't answer.
func (wat *storeWatcher) hostFailed(now time.Time, sit mirror.Situation, mem fleet.Member, confirmed time.Time, err error) {
	fail := mirror.Failure{Kind: failureOf(err), Confirmed: confirmed}
	wat.host.metrics.count("Mirror.Failures." + fail.Kind.String())
	if wat.reader.LostSince().IsZero() && fail.Kind != mirror.FailureUnready {
		wat.host.log.Info().Err(err).Str("Member", mem.Name).Stringer("Failure", fail.Kind).Dur("Age", wat.host.snapshotAge(now)).
			Uint64("Revision", wat.revision.Number()).Msg("reading the store through another host failed")
	}
	wat.reader.HostFailed(now, sit, mem, fail)
}

// failureOf classifies the error of a read through another host.
func failureOf(err error) mirror.FailureKind {
	var unready *peer.UnreadyError
	var behind *mirror.BehindError
	var stale *mirror.StaleError
	var lost *mirror.StoreLostError
	switch {
	case errors.As(err, &unready), errors.As(err, &behind):
		return mirror.FailureUnready
	case errors.As(err, &stale):
		return mirror.FailureStale
	case errors.As(err, &lost):
		return mirror.FailureStoreLost
	default:
		return mirror.FailureLost
	}
}

// noteSource logs from where the store is read whenever that changes.
func (wat *storeWatcher) noteSource(upd update) {
	source := upd.relay
	if source == "" {
		source = sourceStore
	}
	if source == wat.source {
		return
	}
	wat.host.log.Info().Str("From", wat.source).Str("To", source).Dur("Age", wat.host.snapshotAge(wat.host.clock.Now())).
		Bool("Whole", upd.complete).Uint64("Revision", upd.changes.Revision.Number()).Msg("store read through another source")
	wat.source = source
}

// readThroughHost reports whether this host reads the store through another one.
func (wat *storeWatcher) readThroughHost() bool {
	return wat.source != "" && wat.source != sourceStore
}

// readStore returns the next update from the store.
func (wat *storeWatcher) readStore(ctx context.Context, stp mirror.ReadStore) (update, error) {
	if stp.Whole {
		return wat.list(ctx)
	}
	return wat.watch(ctx, stp.Wait)
}

// readHost reads the copy of another host. It returns a *mirror.BehindError if that copy is older than
// this host's.
func (wat *storeWatcher) readHost(ctx context.Context, stp mirror.ReadHost) (update, error) {
	ctx, cancel := context.WithTimeout(ctx, stp.Timeout)
	defer cancel()
	hos := wat.host
	askedAt := hos.clock.Now()
	que := peer.MirrorQuery{After: wat.revision, Wait: stp.Wait, Confirmed: -hos.snapshotAge(askedAt)}
	if wat.needsFullRead {
		que.After = 0
	}
	reply, err := hos.peers.Follow(ctx, stp.Member.PeerAddress, que)
	if err != nil {
		return update{}, err
	}
	upd := update{complete: reply.Snapshot, changes: reply.Changes, confirmed: askedAt.Add(reply.Confirmed), relay: stp.Member.Name, lost: reply.Lost}
	if upd.changes.Revision < wat.revision {
		// An older copy must not revert changes that this host has applied.
		return update{}, &mirror.BehindError{Member: stp.Member.Name, Revision: upd.changes.Revision, Known: wat.revision}
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

// watch waits for changes in the store. If the store has compacted the history needed, or its answer can't be used, it
// reads all keys.
func (wat *storeWatcher) watch(ctx context.Context, wait time.Duration) (update, error) {
	askedAt := wat.host.clock.Now()
	changes, err := wat.host.store.Watch(ctx, platform.RootPrefix, wat.revision, wait)
	var compacted *store.CompactedError
	if errors.As(err, &compacted) {
		wat.host.log.Info().Err(err).Uint64("Era", uint64(wat.host.storeEra())).Msg("store compacted its history, reading all keys")
		wat.needsFullRead = true
		return wat.list(ctx)
	}
	var unusable *store.UnusableChangesError
	if errors.As(err, &unusable) {
		wat.host.metrics.count("StoreChangesUnusable")
		wat.host.log.Warn().Err(err).Uint64("Era", uint64(wat.host.storeEra())).Msg("changes in the store can't be used, reading all keys")
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

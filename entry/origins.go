package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

// A host that starts after the loss of all hosts has seen none of the streams that clients resume there. What it needs
// is in the store: the versions that may have begun streams that live, recorded before any stream begins there, and,
// while there are several, the origin of each stream, in batches. A stream that isn't known then is refused.

const (
	// versionsInterval is the interval at which a host checks the record of versions.
	versionsInterval = time.Second
	// versionsWait is the least time after which a host other than the coordinator adds a missing version to the record,
	// up to twice that: the coordinator may not reach the store.
	versionsWait = 250 * time.Millisecond
	// versionsTimeout bounds the writing of the record.
	versionsTimeout = time.Second
	// maxVersionsGap is the age of the copy of the store, and the time between two checks, from which changes of the
	// engines may have been missed.
	maxVersionsGap = 5 * time.Second
	// originsInterval is the least time between two writes of origins, and originsTimeout bounds one write.
	originsInterval = 250 * time.Millisecond
	originsTimeout  = time.Second
	// maxUnwrittenOrigins bounds the streams whose origins wait to be written.
	maxUnwrittenOrigins = 1 << 16
)

// origins is the part of a broker that keeps in the store what began streams.
type origins struct {
	// storeRead is set once the store has been read. revision is the store's revision of the record of versions, and
	// number the record's; 0 if it has none.
	storeRead bool
	revision  store.Revision
	number    uint64
	// missingSince is when this host first saw that the record lacks a version; zero while it lacks none.
	missingSince time.Time
	// checkedAt is when the record was last checked.
	checkedAt time.Time
	// unwritten are the streams whose origins have to be written, count their number.
	unwritten affinity.Outbox
	count     int
	// wakeVersions wakes maintainVersions, wakeOrigins maintainOrigins.
	wakeVersions chan struct{}
	wakeOrigins  chan struct{}
}

func newOrigins() *origins {
	return &origins{wakeVersions: make(chan struct{}, 1), wakeOrigins: make(chan struct{}, 1)}
}

func wake(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// keepOrigins puts streams down to be written to the store, if their origin has to outlast all hosts; the mutex must
// be held.
func (bro *broker) keepOrigins(bat affinity.Batch) {
	if !bro.core.MustKeepOrigins(bat.Service) {
		return
	}
	ori := bro.origins
	if ori.count += len(bat.Streams); ori.count > maxUnwrittenOrigins {
		bro.host.log.Warn().Int("Streams", ori.count).Msg("too many origins of streams wait for the store, dropped")
		bro.host.metrics.count("Streams.OriginsDropped")
		ori.unwritten, ori.count = affinity.Outbox{}, len(bat.Streams)
	}
	ori.unwritten.Add(bat)
	wake(ori.wakeOrigins)
}

// takeOrigins returns the streams whose origins have to be written, and their number.
func (bro *broker) takeOrigins() ([]affinity.Batch, int) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	count := bro.origins.count
	bro.origins.count = 0
	return bro.origins.unwritten.Take(), count
}

// originsWriter writes the origins of streams to the store, under leases that end once the streams can't be resumed any
// more.
type originsWriter struct {
	host *Host
	// lease is the lease of the next write, which is used until renewAt for streams that are kept for at most keep.
	lease   store.LeaseID
	renewAt time.Time
	keep    time.Duration
	// written counts the writes.
	written uint64
}

// maintainOrigins writes the origins of streams, until the context ends.
func (hos *Host) maintainOrigins(ctx context.Context) error {
	wri := &originsWriter{host: hos}
	for {
		select {
		case <-hos.broker.origins.wakeOrigins:
		case <-ctx.Done():
			return ctx.Err()
		}
		batches, count := hos.broker.takeOrigins()
		if err := wri.write(ctx, batches); err != nil {
			hos.log.Warn().Err(err).Int("Streams", count).Msg("writing the origins of streams failed, a later host can't resume them")
			hos.metrics.count("Streams.OriginsFailed")
		}
		if !task.Sleep(ctx, originsInterval) {
			return ctx.Err()
		}
	}
}

// write writes the origins of streams under a key of their own.
func (ow *originsWriter) write(ctx context.Context, batches []affinity.Batch) error {
	if len(batches) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, originsTimeout)
	defer cancel()
	data, err := platform.EncodeOrigins(batches)
	if err != nil {
		return err
	}
	if err := ow.ensureLease(ctx, batches); err != nil {
		return err
	}
	ow.written++
	name := ow.host.epoch.String() + "-" + strconv.FormatUint(ow.written, 10)
	_, err = ow.host.store.Put(ctx, store.Write{Key: platform.OriginsKey(name), Data: data, Lease: ow.lease, Blind: true})
	if err != nil {
		// The lease may be over, or of an earlier era of the store.
		ow.lease = store.LeaseID{}
		return err
	}
	ow.host.metrics.count("Streams.OriginsWritten")
	return nil
}

// ensureLease makes the writer's lease last for at least as long as the streams may be resumed.
func (ow *originsWriter) ensureLease(ctx context.Context, batches []affinity.Batch) error {
	keep := ow.keep
	for _, bat := range batches {
		keep = max(keep, min(bat.KeepFor, affinity.MaxKeep))
	}
	now := ow.host.clock.Now()
	if !ow.lease.IsZero() && keep == ow.keep && now.Before(ow.renewAt) {
		return nil
	}
	lease, err := ow.host.store.GrantLease(ctx, 2*keep)
	if err != nil {
		return err
	}
	ow.lease, ow.keep, ow.renewAt = lease, keep, now.Add(keep)
	return nil
}

// applyOrigins applies origins of streams in the store.
func (wat *storeWatcher) applyOrigins(val store.Value) {
	batches, err := platform.DecodeOrigins(val)
	if !wat.invalidValues.checkValue(val, err, "stored origins of streams invalid, ignored") {
		return
	}
	for _, bat := range batches {
		wat.host.broker.handle(scheduler.Received{From: wat.host.epoch, Message: reservation.StreamsBegan{Batch: bat}})
	}
}

// applyVersions applies the record of versions in the store. An invalid one leaves the known one in force, but a later
// one may be written over it.
func (wat *storeWatcher) applyVersions(val store.Value) {
	rec, err := platform.DecodeVersions(val)
	bro := wat.host.broker
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if wat.invalidValues.checkValue(val, err, "stored record of versions invalid, keeping the known one") {
		bro.applyStoredVersions(rec, val.Revision)
		return
	}
	bro.origins.revision, bro.origins.number = val.Revision, 0
}

// applyStoredVersions applies a record of versions that the store has, unless this host knows a newer one; the mutex must
// be held.
func (bro *broker) applyStoredVersions(rec affinity.Record, rev store.Revision) {
	bro.origins.revision, bro.origins.number = rev, rec.Number
	if rec.Number >= bro.core.Versions().Number {
		bro.applyVersions(rec)
	}
}

// applyVersions applies a record of versions; the mutex must be held.
func (bro *broker) applyVersions(rec affinity.Record) {
	bro.handleLocked(scheduler.VersionsRecorded{Record: rec, Era: uint64(bro.host.storeEra())})
}

// clearVersions records that the store has no record of versions. The known one stays in force: another writer may have
// deleted the key.
func (wat *storeWatcher) clearVersions() {
	wat.host.broker.mutex.Lock()
	defer wat.host.broker.mutex.Unlock()
	wat.host.broker.origins.revision, wat.host.broker.origins.number = 0, 0
}

// endVersionsRead records that all keys of the store have been read.
func (wat *storeWatcher) endVersionsRead() {
	wat.host.broker.mutex.Lock()
	defer wat.host.broker.mutex.Unlock()
	wat.host.broker.origins.storeRead = true
}

// maintainVersions keeps the record of versions in the store current, until the context ends.
func (hos *Host) maintainVersions(ctx context.Context) error {
	timer := time.NewTimer(versionsInterval)
	defer timer.Stop()
	for {
		select {
		case <-hos.broker.origins.wakeVersions:
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		rec, expect, next := hos.broker.versionsToWrite()
		if rec.Number > 0 && hos.writeVersions(ctx, rec, expect) {
			next = 0
		}
		timer.Reset(next)
	}
}

// versionsToWrite returns the record of versions that this host has to write, of number 0 for none, with the revision
// that it replaces, and the time until the next call.
func (bro *broker) versionsToWrite() (affinity.Record, store.Revision, time.Duration) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	ori, now := bro.origins, bro.host.clock.Now()
	if now.Sub(ori.checkedAt) > maxVersionsGap || bro.host.snapshotAge(now) > maxVersionsGap {
		bro.core.InterruptVersions(now)
	}
	ori.checkedAt = now
	coordinates := bro.coordinatesLocked()
	if !ori.storeRead || !coordinates && !bro.keepsStreams() {
		return affinity.Record{}, 0, versionsInterval
	}
	if !coordinates {
		if wait := bro.versionsDelay(now); wait > 0 {
			return affinity.Record{}, 0, wait
		}
	}
	if known := bro.core.Versions(); coordinates && known.Number > ori.number {
		return known, ori.revision, versionsInterval
	}
	rec, change := bro.core.NextVersions(now, uint64(bro.host.storeEra()))
	switch {
	case change == affinity.ChangeNone, change == affinity.ChangeReduces && !coordinates:
		return affinity.Record{}, 0, versionsInterval
	case change == affinity.ChangeReduces:
		bro.applyVersions(rec)
	}
	return rec, ori.revision, versionsInterval
}

// versionsDelay returns for how long this host, which isn't the coordinator, leaves it to the coordinator to record
// versions; 0 if it has to do so itself. The mutex must be held.
func (bro *broker) versionsDelay(now time.Time) time.Duration {
	ori := bro.origins
	if !bro.core.LacksVersions(now) {
		ori.missingSince = time.Time{}
		return versionsInterval
	}
	if ori.missingSince.IsZero() {
		ori.missingSince = now
	}
	if waited := now.Sub(ori.missingSince); waited < versionsWait {
		return versionsWait - waited + rand.N(versionsWait)
	}
	return 0
}

// keepsStreams reports whether this host is one of those that keep streams; the mutex must be held.
func (bro *broker) keepsStreams() bool {
	for num, mem := range bro.membership.members {
		if num >= streamKeepers {
			break
		}
		if mem.Epoch == bro.host.epoch {
			return true
		}
	}
	return false
}

// writeVersions writes a record of versions on condition that the known one is still in the store, and reports whether it
// was written.
func (hos *Host) writeVersions(ctx context.Context, rec affinity.Record, expect store.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	data, err := platform.EncodeVersions(rec)
	var rev store.Revision
	if err == nil {
		rev, err = hos.store.Put(ctx, store.Write{Key: platform.VersionsKey(), Data: data, Expect: expect})
	}
	hos.log.Info().Err(err).Uint64("Number", rec.Number).Interface("Versions", rec.Versions).Dur("Life", rec.Life).Uint64("Era", rec.Era).
		Uint64("Expected", expect.Number()).Uint64("Revision", rev.Number()).Msg("record of versions written")
	if err != nil {
		return false
	}
	hos.broker.mutex.Lock()
	defer hos.broker.mutex.Unlock()
	if rev > hos.broker.origins.revision {
		hos.broker.applyStoredVersions(rec, rev)
	}
	return true
}

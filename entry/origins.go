package entry

import (
	"context"
	"strconv"
	"time"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

// A host that starts after the loss of all hosts has seen none of the streams that clients resume there. What it needs
// is in the store: the versions that may have begun streams that live, recorded before any stream begins there, and,
// while there are several, the origin of each stream that lives, in batches. A stream that isn't known then is refused.

const (
	// originsInterval is the least time between two writes of origins, originsRetryInterval that after one that failed, and
	// originsTimeout bounds one write.
	originsInterval      = 250 * time.Millisecond
	originsRetryInterval = time.Second
	originsTimeout       = time.Second
	// maxUnwrittenOrigins bounds the streams whose origins wait to be written.
	maxUnwrittenOrigins = 1 << 16
	// originsPerWrite bounds the streams of one write, which takes 11 bytes for each; the store's limit is 1 MiB.
	originsPerWrite = 1 << 15
)

// origins is the part of a broker that keeps in the store what began streams.
type origins struct {
	// storeRead is set once the store has been read. revision is the store's revision of the record of versions, and
	// number the record's; 0 if it has none.
	storeRead bool
	revision  store.Revision
	number    uint64
	// known is the number of the newest record that the store had and that is in force here; 0 for none.
	known uint64
	// foundOrigins is set once the store has had origins of streams.
	foundOrigins bool
	// missingSince is when this host first saw that it has to write what the record lacks unless another one does; zero if
	// it lacks nothing.
	missingSince time.Time
	// damagedAt is when a damaged record was last looked at ahead of the next check.
	damagedAt time.Time
	// readers are the hosts that may conclude from their records of versions.
	readers *affinity.Readers
	// checkedAt is when the record was last checked.
	checkedAt time.Time
	// unwritten are the streams whose origins have to be written, count their number.
	unwritten affinity.Outbox
	count     int
	// complete is set if the next write has to hold all origins that the store may lack.
	complete bool
	// wakeVersions wakes maintainVersions, wakeOrigins maintainOrigins.
	wakeVersions chan struct{}
	wakeOrigins  chan struct{}
}

// isDamaged reports whether the store's record of versions can't be read.
func (ori *origins) isDamaged() bool { return ori.revision != 0 && ori.number == 0 }

// setDamaged records that the store's record of versions of a revision can't be read, and has it looked at.
func (ori *origins) setDamaged(now time.Time, rev store.Revision) {
	if !ori.isDamaged() {
		// What this host has waited for before doesn't count: others may know the record.
		ori.missingSince = time.Time{}
	}
	ori.revision, ori.number = rev, 0
	if now.Sub(ori.damagedAt) > versionsInterval {
		ori.damagedAt = now
		wake(ori.wakeVersions)
	}
}

func newOrigins() *origins {
	return &origins{readers: affinity.NewReaders(), wakeVersions: make(chan struct{}, 1), wakeOrigins: make(chan struct{}, 1)}
}

func wake(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// keepOrigins puts streams down to be written to the store, if their origin has to outlast all hosts. The coordinator does
// so for all hosts, which know their own streams, too. The mutex must be held.
func (bro *broker) keepOrigins(bat affinity.Batch) {
	if bro.coordinator != bro.host.epoch || !bro.core.MustKeepOrigins(bat.Service) {
		return
	}
	ori := bro.origins
	if ori.count += len(bat.Streams); ori.count > maxUnwrittenOrigins {
		ori.unwritten, ori.count, ori.complete = affinity.Outbox{}, 0, true
	}
	if !ori.complete {
		ori.unwritten.Add(bat)
	}
	wake(ori.wakeOrigins)
}

// completeOrigins makes this host, if it is the coordinator, write the origins of streams that began before they had to
// outlast all hosts, or that the former coordinator hasn't written. The mutex must be held.
func (bro *broker) completeOrigins() {
	if bro.coordinator == bro.host.epoch {
		bro.origins.complete = true
		wake(bro.origins.wakeOrigins)
	}
}

// takeOrigins returns the streams whose origins have to be written, and their number.
func (bro *broker) takeOrigins() ([]affinity.Batch, int) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	ori := bro.origins
	batches := ori.unwritten.Take()
	if ori.complete {
		batches = bro.core.UnstoredStreams(bro.host.clock.Now())
	}
	ori.count, ori.complete = 0, false
	count := 0
	for _, bat := range batches {
		count += len(bat.Streams)
	}
	return batches, count
}

// repeatOrigins makes this host write what it couldn't, if it is still the coordinator.
func (bro *broker) repeatOrigins() {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.completeOrigins()
}

// recordStoredOrigins records that the store has the origins of streams.
func (bro *broker) recordStoredOrigins(batches []affinity.Batch) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	for _, bat := range batches {
		bro.core.RecordStoredStreams(bro.host.clock.Now(), bat)
	}
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
		pause := originsInterval
		if err := wri.write(ctx, batches); err != nil {
			hos.log.Warn().Err(err).Int("Streams", count).Msg("writing the origins of streams failed, a later host can't resume them")
			hos.metrics.count("Streams.OriginsFailed")
			hos.broker.repeatOrigins()
			pause = originsRetryInterval
		}
		if !task.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

// write writes the origins of streams under keys of their own.
func (ow *originsWriter) write(ctx context.Context, batches []affinity.Batch) error {
	for len(batches) > 0 {
		number := originsInOneWrite(batches)
		if err := ow.writePart(ctx, batches[:number]); err != nil {
			return err
		}
		ow.host.broker.recordStoredOrigins(batches[:number])
		batches = batches[number:]
	}
	return nil
}

// originsInOneWrite returns how many of the batches, at least one, one write may hold.
func originsInOneWrite(batches []affinity.Batch) int {
	streams := 0
	for number, bat := range batches {
		if streams += len(bat.Streams); number > 0 && streams > originsPerWrite {
			return number
		}
	}
	return len(batches)
}

// writePart writes the origins of streams under one key.
func (ow *originsWriter) writePart(ctx context.Context, batches []affinity.Batch) error {
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
	bro := wat.host.broker
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.origins.foundOrigins = true
	for _, bat := range batches {
		bro.core.RecordStoredStreams(wat.host.clock.Now(), bat)
	}
}

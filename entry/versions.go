package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/store"
)

// The record of versions in the store names those that may have begun streams that live. The coordinator keeps it, and
// the hosts that keep streams add to it what the coordinator doesn't.

const (
	// versionsInterval is the interval at which a host checks the record of versions.
	versionsInterval = time.Second
	// versionsTimeout bounds the writing of the record.
	versionsTimeout = time.Second
	// maxVersionsGap is the age of the copy of the store, and the time between two checks, from which changes of the
	// engines may have been missed.
	maxVersionsGap = 5 * time.Second
)

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
	now := wat.host.clock.Now()
	bro.core.LoseVersions()
	bro.core.FindOlderVersions(now, affinity.Record{})
	bro.origins.setDamaged(now, val.Revision)
}

// applyStoredVersions applies a record of versions that the store has, unless this host knows a newer one; the mutex must
// be held.
func (bro *broker) applyStoredVersions(rec affinity.Record, rev store.Revision) {
	bro.origins.revision, bro.origins.number = rev, rec.Number
	if rec.Number >= bro.core.Versions().Number {
		bro.applyVersions(rec, false)
		return
	}
	bro.core.FindOlderVersions(bro.host.clock.Now(), rec)
}

// applyVersions applies a record of versions, and reports it to the coordinator and its next candidates; the mutex must be
// held. Unstored is set if the store doesn't have it yet: another host may write one of the same number.
func (bro *broker) applyVersions(rec affinity.Record, unstored bool) {
	bro.handleLocked(scheduler.VersionsRecorded{Record: rec, Era: uint64(bro.host.storeEra()), Unstored: unstored})
	if unstored {
		return
	}
	bro.origins.known = rec.Number
	bro.recordVersionsKnown(bro.host.epoch, rec.Number)
	for epo := range bro.links {
		bro.reportVersions(epo)
	}
	bro.completeOrigins()
}

// reportVersions reports this host's record of versions to a host with a link; the mutex must be held.
func (bro *broker) reportVersions(to request.Epoch) {
	if bro.origins.known > 0 {
		bro.send(to, reservation.VersionsKnown{Number: bro.origins.known})
	}
}

// recordVersionsKnown records the number of a host's record of versions, and looks whether streams may begin at an
// announced one; the mutex must be held.
func (bro *broker) recordVersionsKnown(from request.Epoch, number uint64) {
	now := bro.host.clock.Now()
	bro.origins.readers.Learned(now, from, number)
	bro.core.ObserveVersionsReport(number)
	if _, announced := bro.core.VersionOpensIn(now); announced {
		wake(bro.origins.wakeVersions)
	}
}

// confirmVersions records that the copy of the store was current at a time, if this host was registered there: the hosts
// that let streams begin at a version wait for those that are registered.
func (wat *storeWatcher) confirmVersions(at time.Time) {
	_, listed := wat.directory.Member(wat.host.epoch)
	if at.IsZero() || !listed || wat.directory.IsMissing(wat.host.set.Name) {
		return
	}
	bro := wat.host.broker
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.origins.readers.Confirm(at)
	bro.handleLocked(scheduler.CopyConfirmed{At: at})
}

// clearOrigins records that the store has no origins of streams.
func (wat *storeWatcher) clearOrigins() {
	wat.host.broker.mutex.Lock()
	defer wat.host.broker.mutex.Unlock()
	wat.host.broker.core.ForgetStoredStreams()
}

// clearVersions records that the store has no record of versions. The known one stays in force, but isn't confirmed: another
// writer may have deleted the key.
func (wat *storeWatcher) clearVersions() {
	bro := wat.host.broker
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.origins.revision, bro.origins.number = 0, 0
	bro.core.FindOlderVersions(wat.host.clock.Now(), affinity.Record{})
}

// endVersionsRead records that all keys of the store have been read.
func (wat *storeWatcher) endVersionsRead() {
	bro := wat.host.broker
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	now := wat.host.clock.Now()
	bro.origins.storeRead = true
	if bro.origins.foundOrigins && bro.origins.number == 0 {
		// Hosts write no origin of a stream before they have written a record.
		bro.core.LoseVersions()
	}
	if bro.origins.revision == 0 && !bro.origins.foundOrigins && bro.core.Versions().Number == 0 && wat.host.storeEra() == 0 {
		bro.origins.readers.Found(now)
	} else {
		// Hosts may have been registered and deregistered since the last read.
		bro.origins.readers.Restart(now)
	}
	bro.completeOrigins()
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
	if wait := bro.versionsDelay(now, coordinates); wait > 0 {
		return affinity.Record{}, 0, wait
	}
	if bro.core.Versions().Number > ori.number && (coordinates || bro.core.AreVersionsLost()) {
		return bro.core.RestoredVersions(now), ori.revision, versionsInterval
	}
	rec, change := bro.core.NextVersions(now, uint64(bro.host.storeEra()), ori.readers.KnownToAll(now))
	switch {
	case change == affinity.ChangeNone, change == affinity.ChangeReduces && !coordinates:
		return affinity.Record{}, 0, bro.nextVersionsCheck(now)
	case change == affinity.ChangeReduces:
		bro.applyVersions(rec, true)
	}
	return rec, ori.revision, versionsInterval
}

// nextVersionsCheck returns the time until the record of versions is checked if nothing wakes the check; the mutex must be
// held.
func (bro *broker) nextVersionsCheck(now time.Time) time.Duration {
	if opens, announced := bro.core.VersionOpensIn(now); announced {
		return min(versionsInterval, opens)
	}
	return versionsInterval
}

// versionsDelay returns for how long this host leaves the record of versions to other hosts; 0 if it has to write what is
// missing. The mutex must be held.
func (bro *broker) versionsDelay(now time.Time, coordinates bool) time.Duration {
	ori := bro.origins
	wait, writes := affinity.Turn{
		Coordinates: coordinates,
		Knows:       bro.core.Versions().Number > 0,
		IsLost:      ori.isDamaged() || bro.core.AreVersionsLost(),
		Lacks:       bro.core.LacksVersions(now),
	}.Wait()
	if !writes {
		ori.missingSince = time.Time{}
		return versionsInterval
	}
	if wait == 0 {
		ori.missingSince = time.Time{}
		return 0
	}
	if ori.missingSince.IsZero() {
		ori.missingSince = now
	}
	if waited := now.Sub(ori.missingSince); waited < wait {
		return wait - waited + rand.N(affinity.MaxDelay)
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
	hos.log.Info().Err(err).Uint64("Number", rec.Number).Interface("Versions", rec.Versions).Interface("Announced", rec.Announced).Dur("Life", rec.Life).Uint64("Era", rec.Era).
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

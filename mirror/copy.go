package mirror

import (
	"context"
	"sync"
	"time"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/store"
)

// confirmationGain is by how much the confirmation of a copy must be newer than that of the reader's
// for the copy to be passed on without a change. It exceeds the time that a call takes.
const confirmationGain = 100 * time.Millisecond

// Copy is a host's copy of the store, which other hosts read. It is safe for concurrent use.
type Copy struct {
	now       func() time.Time
	mutex     sync.Mutex
	log       *changeLog
	revision  store.Revision
	confirmed time.Time
	// stamp identifies the content of the copy.
	stamp uint64
	// lost is set while this host can't reach the store and has no parent.
	lost bool
	// advanced is closed when the revision or the confirmation has advanced.
	advanced chan struct{}
}

// NewCopy returns an empty copy. The age of a copy is measured by the clock.
func NewCopy(now func() time.Time) *Copy {
	return &Copy{now: now, log: newChangeLog(), advanced: make(chan struct{})}
}

// Replace replaces the copy by a complete read of the store.
func (cop *Copy) Replace(values []store.Value, rev store.Revision, confirmed time.Time) {
	cop.mutex.Lock()
	defer cop.mutex.Unlock()
	cop.log.replace(values, rev)
	cop.stamp++
	cop.advance(rev, confirmed)
}

// Apply applies changes, and returns those that are newer than what the copy had of their keys. The
// pages of a complete read are no consistent snapshot, so that later changes may be older than it.
func (cop *Copy) Apply(changes store.Changes, confirmed time.Time) []store.Change {
	cop.mutex.Lock()
	defer cop.mutex.Unlock()
	newer := cop.log.apply(changes.Changes)
	if len(newer) > 0 {
		cop.stamp++
	}
	cop.advance(changes.Revision, confirmed)
	return newer
}

// advance records the revision and the confirmation of the copy; the mutex must be held.
func (cop *Copy) advance(rev store.Revision, confirmed time.Time) {
	if rev <= cop.revision && !confirmed.After(cop.confirmed) {
		return
	}
	cop.revision = max(cop.revision, rev)
	if confirmed.After(cop.confirmed) {
		cop.confirmed = confirmed
	}
	cop.wakeReaders()
}

// SetLost records whether this host has lost the store. When it does, the hosts that read through it are
// told at once, so that they find another source before their copies get old.
func (cop *Copy) SetLost(lost bool) {
	cop.mutex.Lock()
	defer cop.mutex.Unlock()
	if lost && !cop.lost {
		cop.wakeReaders()
	}
	cop.lost = lost
}

// wakeReaders wakes the calls that wait for news; the mutex must be held.
func (cop *Copy) wakeReaders() {
	close(cop.advanced)
	cop.advanced = make(chan struct{})
}

// Follow implements peer.Mirror. It returns as soon as the copy has changes, or a confirmation, that
// the reader lacks, so that the age of a copy grows little from host to host. It returns an
// *EmptyError if the copy was never confirmed.
func (cop *Copy) Follow(ctx context.Context, que peer.MirrorQuery) (peer.MirrorUpdate, error) {
	askedAt := cop.now()
	limit := time.NewTimer(que.Wait)
	defer limit.Stop()
	for waiting := true; ; {
		upd, confirmed, advanced := cop.read(que.After)
		if confirmed.IsZero() {
			return peer.MirrorUpdate{}, &EmptyError{}
		}
		upd.Confirmed = confirmed.Sub(askedAt)
		if !waiting || hasNews(que, upd) {
			return upd, nil
		}
		select {
		case <-advanced:
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			return peer.MirrorUpdate{}, ctx.Err()
		}
	}
}

// hasNews reports whether an update has what the reader lacks.
func hasNews(que peer.MirrorQuery, upd peer.MirrorUpdate) bool {
	if upd.Snapshot || upd.Lost || len(upd.Changes.Changes) > 0 {
		return true
	}
	return que.Confirmed != 0 && upd.Confirmed > que.Confirmed+confirmationGain
}

// read returns the changes after a revision, or all values if the log doesn't reach back that far. It
// also returns when the copy was last confirmed, and a channel that is closed when the copy advances.
func (cop *Copy) read(after store.Revision) (peer.MirrorUpdate, time.Time, <-chan struct{}) {
	cop.mutex.Lock()
	defer cop.mutex.Unlock()
	changes, complete := cop.log.after(after)
	upd := peer.MirrorUpdate{Snapshot: !complete, Changes: store.Changes{Revision: cop.revision, Changes: changes}, Stamp: cop.stamp, Lost: cop.lost}
	return upd, cop.confirmed, cop.advanced
}

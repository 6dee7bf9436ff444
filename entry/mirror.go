package entry

import (
	"context"
	"sync"
	"time"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/store"
)

// mirrorHistory is how many changes are kept for those who are a little behind:
// some seconds of the busiest minutes; who is further behind gets everything.
const mirrorHistory = 512

// mirror is what this host knows of the store, for others to read.
type mirror struct {
	mutex   sync.Mutex
	values  map[string]store.Value
	history []store.Change
	// floor is the revision after which the history is complete.
	floor     store.Revision
	revision  store.Revision
	confirmed time.Time
	changed   chan struct{}
	// relayed says that this host itself reads through another one.
	relayed bool
}

func newMirror() *mirror {
	return &mirror{values: make(map[string]store.Value), changed: make(chan struct{})}
}

// replace takes a whole reading of the store.
func (mir *mirror) replace(values []store.Value, rev store.Revision, confirmed time.Time) {
	mir.mutex.Lock()
	defer mir.mutex.Unlock()
	mir.values = make(map[string]store.Value, len(values))
	for _, val := range values {
		mir.values[val.Key] = val
	}
	mir.history, mir.floor = nil, rev
	mir.advance(rev, confirmed)
}

// apply takes changes, in their order.
func (mir *mirror) apply(changes store.Changes, confirmed time.Time) {
	mir.mutex.Lock()
	defer mir.mutex.Unlock()
	for _, cha := range changes.Changes {
		if cha.Deleted {
			delete(mir.values, cha.Key)
		} else {
			mir.values[cha.Key] = cha.Value
		}
		mir.history = append(mir.history, cha)
	}
	if over := len(mir.history) - mirrorHistory; over > 0 {
		mir.floor = mir.history[over-1].Revision
		mir.history = append([]store.Change(nil), mir.history[over:]...)
	}
	mir.advance(changes.Revision, confirmed)
}

// advance notes how far the mirror is; the mutex is held.
func (mir *mirror) advance(rev store.Revision, confirmed time.Time) {
	if confirmed.After(mir.confirmed) {
		mir.confirmed = confirmed
	}
	if rev > mir.revision {
		mir.revision = rev
		close(mir.changed)
		mir.changed = make(chan struct{})
	}
}

// setRelayed notes whether this host reads through another one. Those who wait for
// its changes are sent to the store then.
func (mir *mirror) setRelayed(relayed bool) {
	mir.mutex.Lock()
	defer mir.mutex.Unlock()
	if relayed && !mir.relayed {
		close(mir.changed)
		mir.changed = make(chan struct{})
	}
	mir.relayed = relayed
}

func (mir *mirror) isRelayed() bool {
	mir.mutex.Lock()
	defer mir.mutex.Unlock()
	return mir.relayed
}

// look returns what is known after a revision, and a channel that is closed at
// the next change.
func (mir *mirror) look(after store.Revision) (peer.Following, time.Time, <-chan struct{}) {
	mir.mutex.Lock()
	defer mir.mutex.Unlock()
	fol := peer.Following{Changes: store.Changes{Revision: mir.revision}}
	if after < mir.floor || after == 0 {
		fol.Whole = true
		for _, val := range mir.values {
			fol.Changes.Changes = append(fol.Changes.Changes, store.Change{Value: val})
		}
		return fol, mir.confirmed, mir.changed
	}
	for _, cha := range mir.history {
		if cha.Revision > after {
			fol.Changes.Changes = append(fol.Changes.Changes, cha)
		}
	}
	return fol, mir.confirmed, mir.changed
}

// EmptyMirrorError reports a host that has read nothing of the store yet.
type EmptyMirrorError struct{}

// Error says so.
func (*EmptyMirrorError) Error() string {
	return "this host has read nothing of the store yet"
}

// RelayedMirrorError reports a host that reads through another one itself.
type RelayedMirrorError struct{}

// Error says so.
func (*RelayedMirrorError) Error() string {
	return "this host reads the store through another one"
}

// Follow implements peer.Mirror. Nobody waits for the changes of a host that waits
// for another's: hosts that start together may each take the other for the one
// that reads, and would learn nothing for a second.
func (mir *mirror) Follow(ctx context.Context, after store.Revision, wait time.Duration) (peer.Following, error) {
	asked := time.Now()
	mayWait := wait > probeWait
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for waiting := true; ; {
		if mayWait && mir.isRelayed() {
			return peer.Following{}, &RelayedMirrorError{}
		}
		fol, confirmed, changed := mir.look(after)
		if confirmed.IsZero() {
			return peer.Following{}, &EmptyMirrorError{}
		}
		fol.Confirmed = confirmed.Sub(asked)
		if len(fol.Changes.Changes) > 0 || fol.Whole || !waiting {
			return fol, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			return peer.Following{}, ctx.Err()
		}
	}
}

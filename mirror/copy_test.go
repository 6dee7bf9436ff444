package mirror

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/store"
)

// longWait is longer than any test in this file takes.
const longWait = time.Minute

// followInBackground starts a long wait for news, and returns where its result arrives.
func followInBackground(t *testing.T, cop *Copy, que peer.MirrorQuery) <-chan peer.MirrorUpdate {
	t.Helper()
	found := make(chan peer.MirrorUpdate, 1)
	go func() {
		upd, err := cop.Follow(t.Context(), que)
		if err == nil {
			found <- upd
		}
		close(found)
	}()
	return found
}

// Guards against ages that add up from host to host: a newer confirmation is passed on without a change.
func TestReaderGetsNewerConfirmation(t *testing.T) {
	cop := NewCopy(time.Now)
	start := time.Now()
	cop.Replace(nil, 7, start)
	found := followInBackground(t, cop, peer.MirrorQuery{After: 7, Wait: longWait, Confirmed: -time.Millisecond})
	cop.Apply(store.Changes{Revision: 7}, start.Add(time.Second))
	upd := <-found
	assert.Equal(t, len(upd.Changes.Changes), 0)
	assert.Assert(t, upd.Confirmed > confirmationGain, "%s", upd.Confirmed)
}

// Guards against readers that learn only from the age of their copies that their relay has lost the store.
func TestReadersAreToldThatTheirRelayLostTheStore(t *testing.T) {
	cop := NewCopy(time.Now)
	cop.Replace(nil, 7, time.Now())
	found := followInBackground(t, cop, peer.MirrorQuery{After: 7, Wait: longWait, Confirmed: -time.Millisecond})
	cop.SetLost(true)
	assert.Assert(t, (<-found).Lost)
	// Hosts that have lost the store too still get what this host knows.
	upd, err := cop.Follow(t.Context(), peer.MirrorQuery{Wait: ProbeWait})
	assert.NilError(t, err)
	assert.Assert(t, upd.Lost && upd.Snapshot)
	assert.Equal(t, upd.Changes.Revision, store.Revision(7))
	cop.SetLost(false)
	cop.Apply(store.Changes{Revision: 8, Changes: []store.Change{{Value: store.Value{Key: "k", Revision: 8}}}}, time.Now())
	upd, err = cop.Follow(t.Context(), peer.MirrorQuery{After: 7, Wait: longWait})
	assert.NilError(t, err)
	assert.Assert(t, !upd.Lost)
	assert.Equal(t, len(upd.Changes.Changes), 1)
}

func TestCopyThatWasNeverConfirmedIsNotRead(t *testing.T) {
	cop := NewCopy(time.Now)
	cop.Replace(nil, 7, time.Time{})
	_, err := cop.Follow(t.Context(), peer.MirrorQuery{Wait: ProbeWait})
	var empty *EmptyError
	assert.Assert(t, errors.As(err, &empty))
}

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

// isClosed reports whether a channel is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// Guards against readers that sleep through news: each kind of news wakes them, once.
func TestNewsWakesReaders(t *testing.T) {
	cop := NewCopy(time.Now)
	start := time.Now()
	for _, tst := range []struct {
		name  string
		event func()
		wakes bool
	}{
		{"a complete read", func() { cop.Replace(nil, 7, start) }, true},
		{"a newer confirmation", func() { cop.Apply(store.Changes{Revision: 7}, start.Add(time.Second)) }, true},
		{"an older confirmation", func() { cop.Apply(store.Changes{Revision: 7}, start) }, false},
		{"a change", func() { cop.Apply(store.Changes{Revision: 8}, start) }, true},
		{"the store is lost", func() { cop.SetLost(true) }, true},
		{"the store is still lost", func() { cop.SetLost(true) }, false},
		{"the store is back", func() { cop.SetLost(false) }, false},
	} {
		_, _, advanced := cop.read(7)
		tst.event()
		assert.Equal(t, isClosed(advanced), tst.wakes, tst.name)
	}
}

func TestNewsIsWhatTheReaderLacks(t *testing.T) {
	que := peer.MirrorQuery{Confirmed: -time.Second}
	for _, tst := range []struct {
		name string
		que  peer.MirrorQuery
		upd  peer.MirrorUpdate
		want bool
	}{
		{"the same confirmation", que, peer.MirrorUpdate{Confirmed: -time.Second}, false},
		{"the same, counted from the later arrival of the call", que, peer.MirrorUpdate{Confirmed: -time.Second + confirmationGain}, false},
		{"a newer one", que, peer.MirrorUpdate{Confirmed: -time.Second + confirmationGain + 1}, true},
		{"a newer one, which the reader doesn't ask for", peer.MirrorQuery{}, peer.MirrorUpdate{Confirmed: -1}, false},
		{"a change", que, peer.MirrorUpdate{Confirmed: -time.Second, Changes: store.Changes{Changes: make([]store.Change, 1)}}, true},
		{"a whole copy", que, peer.MirrorUpdate{Confirmed: -time.Second, Snapshot: true}, true},
		{"the store is lost", que, peer.MirrorUpdate{Confirmed: -time.Second, Lost: true}, true},
	} {
		assert.Equal(t, hasNews(tst.que, tst.upd), tst.want, tst.name)
	}
}

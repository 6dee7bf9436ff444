package entry

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/store"
)

// A host that stops waits for the end of the loan before it hands its share over, and lends it no more.
func TestHandOverWaitsForLoan(t *testing.T) {
	const coordinator = request.Epoch(1)
	hos, _ := newHostInFleet(t, 1)
	hos.confirmed.Store(int64(hos.clock.Now().Sub(hos.started)))
	hos.set.Name = "gateway-0"
	bro := hos.broker
	apply := func(evt func()) {
		bro.mutex.Lock()
		defer bro.mutex.Unlock()
		evt()
	}
	ask := func() { bro.applyShareRequest(coordinator, reservation.ShareRequest{Term: time.Hour}) }
	apply(func() {
		bro.applyLedger(limitshare.Ledger{Version: 1, Shares: map[string]limitshare.Share{"gateway-0": limitshare.Whole / 2}}, 1)
		bro.coordinator = coordinator
		ask()
	})
	bro.updateMembership(membership{})
	assert.Assert(t, !bro.beginHandover(), "no other host is registered")
	bro.updateMembership(membership{members: []fleet.Member{{Epoch: coordinator, Name: "gateway-1"}}})
	assert.Assert(t, bro.beginHandover())
	wait, lent := bro.shareLentFor()
	assert.Assert(t, lent && wait > 59*time.Minute, "%s", wait)
	apply(func() { bro.shares.book.Returned(coordinator, 1, limitshare.Content{}) })
	_, lent = bro.shareLentFor()
	assert.Assert(t, !lent)
	apply(func() {
		bro.coordinator = coordinator
		ask()
	})
	assert.Equal(t, bro.shares.book.Borrower(), request.Epoch(0))
	assert.Equal(t, bro.shares.book.Usable(), limitshare.Share(0))
	next, _, changed := bro.planHandover()
	assert.Assert(t, changed)
	assert.Equal(t, next.Of("gateway-1"), limitshare.Whole/2)
}

// downStore is a store that doesn't answer reads.
type downStore struct{ store.Store }

func (downStore) Get(context.Context, string) (store.Value, error) {
	return store.Value{}, &store.UnavailableError{Call: "Get", Cause: errors.New("down")}
}

// Guards against a share that nobody spends: a host that is no longer registered, and whose store is down since, gave its
// share up without being able to hand it over.
func TestHandOverNeedsStore(t *testing.T) {
	hos, _ := newHostInFleet(t, 1)
	hos.store = store.NewRecorder(downStore{})
	hos.confirmed.Store(int64(hos.clock.Now().Sub(hos.started)))
	hos.set.Name = "gateway-0"
	bro := hos.broker
	bro.mutex.Lock()
	bro.applyLedger(limitshare.Ledger{Version: 1, Shares: map[string]limitshare.Share{"gateway-0": limitshare.Whole / 2}}, 1)
	bro.mutex.Unlock()
	bro.updateMembership(membership{members: []fleet.Member{{Epoch: 1, Name: "gateway-1"}}})
	assert.Assert(t, bro.mayHandOver())
	drained := make(chan struct{})
	close(drained)
	hos.handOverShare(t.Context(), drained)
	assert.Assert(t, !bro.shares.handsOver)
	assert.Equal(t, bro.shares.book.Usable(), limitshare.Whole/2)
}

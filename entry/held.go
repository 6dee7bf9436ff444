package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/store"
)

// Held requests are stored, so that they stay held after the loss of all hosts: otherwise each such
// request would crash three more engines after each loss. The coordinator writes them only when
// they have changed, so that no calls are made on a day without crashes. Until they are written,
// and while the store is unreachable, each host receives them in the reports of the others.

const (
	// PathRelease is the path on the metrics address that releases a held request: POST with its
	// digest.
	PathRelease = "/held/free"
	// queryDigest is the query parameter that holds the digest.
	queryDigest = "digest"
	// statusHeld is the status of a held request's answer: the request has run, and the status must
	// not promise that it hasn't.
	statusHeld = http.StatusBadGateway
	// heldTimeout bounds the writing of held requests; heldRetry is the time after which a write is
	// checked or retried.
	heldTimeout = time.Second
	heldRetry   = time.Second
)

// applyHeld applies the held requests in the store. Invalid ones leave the known ones held.
func (wat *storeWatcher) applyHeld(val store.Value) {
	holds, err := platform.DecodeHolds(val)
	wat.host.heldRevision.Store(uint64(val.Revision))
	if !wat.invalidValues.checkValue(val, err, "stored held requests invalid, keeping the known ones") {
		return
	}
	wat.host.broker.handle(scheduler.HoldsRead{Holds: holds})
}

// clearHeldRevision records that the store has no held requests. The known ones stay held, since
// another writer may have deleted the key.
func (wat *storeWatcher) clearHeldRevision() {
	wat.host.heldRevision.Store(0)
}

// requestHeldWrite makes maintainHeld write the held requests if they differ from the stored ones.
func (bro *broker) requestHeldWrite() {
	select {
	case bro.host.heldUpdates <- struct{}{}:
	default:
	}
}

// maintainHeld writes the held requests to the store while this host is the coordinator.
func (hos *Host) maintainHeld(ctx context.Context) error {
	retry := time.NewTimer(0)
	defer retry.Stop()
	retry.Stop()
	for {
		select {
		case <-hos.heldUpdates:
		case <-retry.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if hos.writeHeld(ctx) {
			retry.Reset(heldRetry)
		}
	}
}

// writeHeld writes the held requests if they differ from the stored ones, and reports whether that
// must be checked again.
func (hos *Host) writeHeld(ctx context.Context) bool {
	hos.broker.mutex.Lock()
	holds, differ := hos.broker.core.HoldsToStore()
	coordinates := hos.broker.coordinatesLocked()
	hos.broker.mutex.Unlock()
	if !differ {
		return false
	}
	if !coordinates {
		// The coordinator knows them too; this host may be the next coordinator.
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	data, err := platform.EncodeHolds(holds)
	expect := store.Revision(hos.heldRevision.Load())
	var rev store.Revision
	if err == nil {
		rev, err = hos.coordinatorWrites.put(ctx, store.Write{Key: platform.HoldsKey(), Data: data, Expect: expect})
	}
	if err != nil {
		hos.log.Warn().Err(err).Int("Held", len(holds)).Uint64("Expected", expect.Number()).Msg("writing held requests failed")
		return true
	}
	hos.log.Info().Int("Held", len(holds)).Uint64("Revision", rev.Number()).Msg("held requests written")
	return true
}

// UnknownDigestError reports a request that is not held and has no recorded crash of an engine.
type UnknownDigestError struct {
	Digest call.Digest
}

// Error names the digest.
func (ude *UnknownDigestError) Error() string {
	return "nothing is known against a request with digest " + ude.Digest.String()
}

// ReleaseRequest releases a held request, here and at the coordinator, which passes this on to the
// other hosts and writes it to the store. It returns an *UnknownDigestError if the request is not
// held and has no recorded crash of an engine.
func (hos *Host) ReleaseRequest(dig call.Digest) error {
	hos.broker.mutex.Lock()
	defer hos.broker.mutex.Unlock()
	if !hos.broker.core.HasCase(dig) {
		return &UnknownDigestError{Digest: dig}
	}
	hos.log.Info().Stringer("Digest", dig).Msg("operator released a held request")
	hos.broker.handleLocked(scheduler.RequestReleased{Digest: dig})
	return nil
}

func (hos *Host) serveRelease(wri http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		http.Error(wri, "want POST", http.StatusMethodNotAllowed)
		return
	}
	dig, err := call.ParseDigest(req.URL.Query().Get(queryDigest))
	if err == nil && dig == (call.Digest{}) {
		err = errors.New(queryDigest + ": want a digest")
	}
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	var unknown *UnknownDigestError
	if err := hos.ReleaseRequest(dig); errors.As(err, &unknown) {
		http.Error(wri, err.Error(), http.StatusNotFound)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	// The write fails only if the client has disconnected; nothing more can be sent to it.
	_ = json.NewEncoder(wri).Encode(struct{ Freed call.Digest }{Freed: dig})
}

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

// Held requests lie in the store, so that they outlast the loss of all hosts: without it
// each such request would end three more engines after each. The host that decides for all
// writes them when one is newly held, which costs a calm day nothing; until then, and while
// the store is away, each host knows them by the others' word.

const (
	// PathFree is where the metrics address takes a request's digest by POST, to let it go.
	PathFree = "/held/free"
	// queryDigest names the digest there.
	queryDigest = "digest"
	// statusHeld is the status of a held request: it has run, and no promise is made.
	statusHeld = http.StatusBadGateway
	// heldTimeout bounds the writing of held requests, and heldRetry is after what time one
	// that failed is made again.
	heldTimeout = time.Second
	heldRetry   = time.Second
)

// takeHeld takes the held requests that lie in the store.
func (obs *observer) takeHeld(val store.Value) {
	holds, err := platform.DecodeHolds(val)
	obs.host.heldRevision.Store(uint64(val.Revision))
	if !obs.refused.usable(val, err, "held requests passed over, those known stay") {
		return
	}
	obs.host.desk.handle(scheduler.HeldRead{Holds: holds})
}

// loseHeld notes that no held requests lie in the store. Those that are known stay: another
// writer may have taken the key away.
func (obs *observer) loseHeld() {
	obs.host.heldRevision.Store(0)
}

// wakeHeld has the held requests written if they differ from the store's.
func (des *desk) wakeHeld() {
	select {
	case des.host.heldNews <- struct{}{}:
	default:
	}
}

// keepHeld writes the held requests to the store while this host decides for all.
func (hos *Host) keepHeld(ctx context.Context) error {
	retry := time.NewTimer(0)
	defer retry.Stop()
	retry.Stop()
	for {
		select {
		case <-hos.heldNews:
		case <-retry.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if hos.writeHeld(ctx) {
			retry.Reset(heldRetry)
		}
	}
}

// writeHeld writes the held requests if they differ from the store's, and reports whether
// that is to be looked at again.
func (hos *Host) writeHeld(ctx context.Context) bool {
	hos.desk.mutex.Lock()
	holds, differ := hos.desk.core.HoldsToStore()
	inCharge := hos.desk.inCharge()
	hos.desk.mutex.Unlock()
	if !differ {
		return false
	}
	if !inCharge {
		// Whoever is in charge knows them too; this host may be next.
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	data, err := platform.EncodeHolds(holds)
	expect := store.Revision(hos.heldRevision.Load())
	var rev store.Revision
	if err == nil {
		rev, err = hos.store.Put(ctx, store.Write{Key: platform.HoldsKey(), Data: data, Expect: expect})
	}
	if err != nil {
		hos.log.Warn().Err(err).Int("Held", len(holds)).Uint64("Expected", uint64(expect)).Msg("held requests not written")
		return true
	}
	hos.log.Info().Int("Held", len(holds)).Uint64("Revision", uint64(rev)).Msg("held requests written")
	return true
}

// UnknownDigestError reports a request that isn't held and never ended an engine.
type UnknownDigestError struct {
	Digest call.Digest
}

// Error names the digest.
func (ude *UnknownDigestError) Error() string {
	return "nothing is known against a request with digest " + ude.Digest.String()
}

// Free lets a request go, here and by word to the hosts that decide, which tell the others
// and the store. It returns an *UnknownDigestError where nothing was known against it.
func (hos *Host) Free(dig call.Digest) error {
	hos.desk.mutex.Lock()
	defer hos.desk.mutex.Unlock()
	if !hos.desk.core.KnowsCase(dig) {
		return &UnknownDigestError{Digest: dig}
	}
	hos.log.Info().Stringer("Digest", dig).Msg("operator frees a request")
	hos.desk.step(scheduler.RequestFreed{Digest: dig})
	return nil
}

func (hos *Host) serveFree(wri http.ResponseWriter, req *http.Request) {
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
	if err := hos.Free(dig); errors.As(err, &unknown) {
		http.Error(wri, err.Error(), http.StatusNotFound)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	// A reader that has left can't be told anything more.
	_ = json.NewEncoder(wri).Encode(struct{ Freed call.Digest }{Freed: dig})
}

package entry

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/store"
)

// longWait is longer than any test in this file takes.
const longWait = time.Minute

// Two hosts that start together may each choose the other as the relay. Neither may then wait for
// the other's changes.
func TestFollowerDoesNotWaitForRelayedMirror(t *testing.T) {
	mir := newMirror(time.Now)
	mir.replace(nil, 7, time.Now())
	ends := make(chan error, 1)
	go func() {
		_, err := mir.Follow(t.Context(), 7, longWait)
		ends <- err
	}()
	mir.setRelayed(true)
	var relayed *RelayedMirrorError
	assert.Assert(t, errors.As(<-ends, &relayed))
	_, err := mir.Follow(t.Context(), 7, longWait)
	assert.Assert(t, errors.As(err, &relayed))
	// Hosts that have lost the store and don't wait still get what this host knows.
	fol, err := mir.Follow(t.Context(), 0, probeWait)
	assert.NilError(t, err)
	assert.Equal(t, fol.Changes.Revision, store.Revision(7))
	mir.setRelayed(false)
	mir.apply(store.Changes{Revision: 8, Changes: []store.Change{{Value: store.Value{Key: "k", Revision: 8}}}}, time.Now())
	fol, err = mir.Follow(t.Context(), 7, longWait)
	assert.NilError(t, err)
	assert.Equal(t, len(fol.Changes.Changes), 1)
}

package host

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
)

// newTestHost returns a host that isn't started, and its in-memory store.
func newTestHost(t *testing.T) (*Host, *platformtest.Memory) {
	t.Helper()
	mem := platformtest.NewMemory(platformtest.MemoryConfig{})
	set := settings.Settings{Name: "host-1", Domain: "a", PeerKey: "a key for the tests", Timing: settings.Timing{}.WithDefaults()}
	hos, err := New(Config{Settings: set, Log: zerolog.Nop(), Store: mem})
	assert.NilError(t, err)
	return hos, mem
}

// newConfiguration returns a configuration with one tier, whose rank is the revision.
func newConfiguration(t *testing.T, revision uint64) (resource.Head, resource.Configuration, map[string][]byte) {
	t.Helper()
	entry := resource.Entry{Revision: revision, Resource: resource.Tier{Name: "Normal", Rank: int(revision)}}
	con := resource.NewConfiguration(revision, []resource.Entry{entry})
	hea, chunks, err := con.Split(resource.Head{}, "change")
	assert.NilError(t, err)
	return hea, con, chunks
}

// An older configuration, from the platform or from a peer, must never replace a newer one.
func TestOlderRevisionDoesNotReplaceNewer(t *testing.T) {
	hos, _ := newTestHost(t)
	for _, step := range []struct{ received, active uint64 }{{3, 3}, {2, 3}, {3, 3}, {5, 5}, {4, 5}} {
		hea, con, chunks := newConfiguration(t, step.received)
		hos.loop.activateConfiguration(time.Now(), hea, con, chunks)
		assert.Equal(t, hos.Configuration().Revision, step.active)
		tier, _ := hos.Configuration().Tier("Normal")
		assert.Equal(t, uint64(tier.Rank), step.active)
	}
}

// After a restore the platform may store an older configuration than the active one. A
// change based on it would lose the newer revisions, so it must be rejected.
func TestChangeIsRejectedWhenPlatformIsBehind(t *testing.T) {
	hos, mem := newTestHost(t)
	hea, con, chunks := newConfiguration(t, 7)
	hos.loop.activateConfiguration(time.Now(), hea, con, chunks)
	old, _, _ := newConfiguration(t, 5)
	data, err := json.Marshal(old)
	assert.NilError(t, err)
	_, err = mem.Put(t.Context(), store.Write{Key: keyConfigHead, Data: data})
	assert.NilError(t, err)
	wrc := &writer{host: hos, change: resource.Change{ID: "x"}}
	_, settled, err := wrc.try(t.Context())
	assert.Assert(t, !settled)
	assert.ErrorContains(t, err, "serves configuration revision 5, but 7 is in force")
}

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

// newTestHost returns a host that isn't started, over a store in memory.
func newTestHost(t *testing.T) (*Host, *platformtest.Memory) {
	t.Helper()
	mem := platformtest.NewMemory(platformtest.MemoryConfig{})
	set := settings.Settings{Name: "host-1", Domain: "a", PeerKey: "a key for the tests", Timing: settings.Timing{}.WithDefaults()}
	hos, err := New(Config{Settings: set, Log: zerolog.Nop(), Store: mem})
	assert.NilError(t, err)
	return hos, mem
}

func configured(t *testing.T, revision uint64) (resource.Head, resource.Configuration, map[string][]byte) {
	t.Helper()
	entry := resource.Entry{Revision: revision, Resource: resource.Tier{Name: "Normal", Rank: int(revision)}}
	con := resource.NewConfiguration(revision, []resource.Entry{entry})
	hea, parts, err := con.Split(resource.Head{}, "change")
	assert.NilError(t, err)
	return hea, con, parts
}

// Whoever brings it, the platform or a peer, an older configuration never
// replaces a newer one.
func TestRevisionsOnlyGoUp(t *testing.T) {
	hos, _ := newTestHost(t)
	for _, step := range []struct{ brought, inForce uint64 }{{3, 3}, {2, 3}, {3, 3}, {5, 5}, {4, 5}} {
		hea, con, parts := configured(t, step.brought)
		hos.loop.putInForce(time.Now(), hea, con, parts)
		assert.Equal(t, hos.Configuration().Revision, step.inForce)
		tier, _ := hos.Configuration().Tier("Normal")
		assert.Equal(t, uint64(tier.Rank), step.inForce)
	}
}

// A platform that serves an older configuration, as after a restore, gets no
// change on top of it.
func TestChangeOnAnOlderPlatformIsRefused(t *testing.T) {
	hos, mem := newTestHost(t)
	hea, con, parts := configured(t, 7)
	hos.loop.putInForce(time.Now(), hea, con, parts)
	old, _, _ := configured(t, 5)
	data, err := json.Marshal(old)
	assert.NilError(t, err)
	_, err = mem.Put(t.Context(), store.Write{Key: keyConfigHead, Data: data})
	assert.NilError(t, err)
	wrc := &writer{host: hos, change: resource.Change{ID: "x"}}
	_, settled, err := wrc.try(t.Context())
	assert.Assert(t, !settled)
	assert.ErrorContains(t, err, "serves configuration revision 5, but 7 is in force")
}

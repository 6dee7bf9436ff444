package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// Another writer's record has the highest number that hosts accept: what they write next can't be read.
func TestVersionsOpenAfterHighestNumber(t *testing.T) {
	t.Parallel()
	vsy := startWithOneVersion(t, 3)
	data := []byte(`{"Number":9007199254740992,"Era":0,"Life":30000000000,"Versions":{"model":["v1"]}}`)
	assert.NilError(t, vsy.Store.Write(store.Write{Key: versionsKey, Data: data, Blind: true}))
	vsy.WaitUntil("record read", func() bool {
		for _, hos := range vsy.Hosts {
			if hos.Dump().Versions.Number != 1<<53 {
				return false
			}
		}
		return true
	})
	t.Logf("streams that begin at v1: %d", vsy.beginWithin(vsy.Hosts, 4*time.Second))
	vsy.join()
	vsy.removeVersion("v1")
	opened := vsy.holdsWithin(25*time.Second, func() bool {
		ans := vsy.SendUntilEvent(t.Context(), vsy.Hosts[0], requestWithin(fmt.Sprint("probe-", time.Now().UnixNano()), "", 0, 4*time.Second), 1)
		return ans.Status == http.StatusOK
	})
	t.Logf("record in the store %s", vsy.Store.Peek(versionsKey).Data)
	assert.Assert(t, opened, "no stream begins at the version that joined, 25 s after")
}

// More versions than a record may name: what hosts write can't be read.
func TestVersionsOpenBesideManyOthers(t *testing.T) {
	for name, prepare := range map[string]func(vsy *versionedSystem){
		"record with 256 versions": func(vsy *versionedSystem) {
			versions := `"v1"`
			for num := range 255 {
				versions += fmt.Sprintf(`,"w%d"`, num)
			}
			data := fmt.Sprintf(`{"Number":50,"Era":0,"Life":30000000000,"Versions":{"model":[%s]}}`, versions)
			assert.NilError(vsy.t, vsy.Store.Write(store.Write{Key: versionsKey, Data: []byte(data), Blind: true}))
		},
		"engines of 257 versions of another service": func(vsy *versionedSystem) {
			for num := range 257 {
				eng := upstreamtest.NewEngine(upstreamtest.Config{ID: fmt.Sprint("odd", num), Service: "other", Slots: 1, Version: fmt.Sprint("w", num)})
				vsy.RegisterEngine(eng, "127.0.0.1:9", false)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vsy := startWithOneVersion(t, 3)
			vsy.t = t
			prepare(vsy)
			t.Logf("streams that begin at v1: %d", vsy.beginWithin(vsy.Hosts, 4*time.Second))
			vsy.join()
			vsy.removeVersion("v1")
			started := time.Now()
			opened := vsy.holdsWithin(20*time.Second, func() bool {
				id := fmt.Sprint("probe-", time.Now().UnixNano())
				vsy.SendUntilEvent(t.Context(), vsy.Hosts[0], requestWithin(id, "", 0, 4*time.Second), 1)
				return vsy.versionsOf(id)["v1.1"]
			})
			t.Logf("record %d bytes, %d in the host", len(vsy.Store.Peek(versionsKey).Data), len(vsy.Hosts[0].Dump().Versions.Versions[entrytest.Model]))
			t.Logf("opened %v after %s", opened, time.Since(started))
			assert.Assert(t, opened, "no stream begins at the version that joined, 20 s after")
		})
	}
}

package entry

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
)

func validEngineEntry(port int) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"127.0.0.1:%d","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1}`, port)
}

func validHostEntry(t *testing.T, name string) []byte {
	t.Helper()
	address := netip.MustParseAddrPort("127.0.0.1:9")
	data, err := platform.EncodeMember(fleet.Member{Name: name, Epoch: 9, Domain: "z", CallerAddress: address, PeerAddress: address})
	assert.NilError(t, err)
	return data
}

// newTestWatcher returns a store watcher that knows two engines and two hosts, and its log.
func newTestWatcher(t *testing.T) (*storeWatcher, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	hos, err := New(Config{Settings: settings.Entry{Name: "h1", PeerKey: "key between the hosts"}, Log: zerolog.New(&log)})
	assert.NilError(t, err)
	wat := newStoreWatcher(hos)
	wat.apply(update{complete: true, changes: store.Changes{Revision: 10}, values: []store.Value{
		{Key: "servers/e1", Data: validEngineEntry(1), Revision: 1},
		{Key: "servers/e2", Data: validEngineEntry(2), Revision: 2},
		{Key: platform.MemberKey("h1"), Data: validHostEntry(t, "h1"), Revision: 3},
		{Key: platform.MemberKey("h2"), Data: validHostEntry(t, "h2"), Revision: 4},
	}})
	return wat, &log
}

func engineNames(wat *storeWatcher) string {
	var names []string
	for _, eng := range wat.directory.Engines() {
		names = append(names, eng.ID.Name)
	}
	return strings.Join(names, " ")
}

func changeUpdate(rev store.Revision, key string, data []byte) update {
	return update{changes: store.Changes{Revision: rev, Changes: []store.Change{{Value: store.Value{Key: key, Data: data, Revision: rev}}}}}
}

// An engine whose entry is overwritten with an invalid value is removed at once, even while engines
// with expired entries are kept. The other engines stay. The fault is logged once, and again only
// after the entry was valid in between.
func TestInvalidEngineEntryRemovesEngine(t *testing.T) {
	wat, log := newTestWatcher(t)
	wat.directory.HoldRemovals(time.Now().Add(time.Hour))
	rev := store.Revision(10)
	for range 5 {
		rev++
		wat.apply(changeUpdate(rev, "servers/e1", []byte("\x00{")))
	}
	assert.Equal(t, engineNames(wat), "e2")
	assert.Equal(t, strings.Count(log.String(), "engine entry invalid, engine not used"), 1)
	assert.Assert(t, strings.Contains(log.String(), `"Key":"servers/e1"`))
	assert.Equal(t, wat.host.metrics.invalidValues.Count(), int64(5))
	wat.apply(changeUpdate(rev+1, "servers/e1", validEngineEntry(1)))
	assert.Equal(t, engineNames(wat), "e1 e2")
	wat.apply(changeUpdate(rev+2, "servers/e1", []byte(`{}`)))
	assert.Equal(t, engineNames(wat), "e2")
	assert.Equal(t, strings.Count(log.String(), "engine entry invalid, engine not used"), 2)
	wat.apply(update{complete: true, changes: store.Changes{Revision: rev + 3}, values: []store.Value{
		{Key: "servers/e1", Data: validEngineEntry(1)}, {Key: "servers/e2", Data: []byte(`{"service":"s"}`)},
	}})
	assert.Equal(t, engineNames(wat), "e1", "a complete snapshot while entries are kept")
}

// A host whose own entry was overwritten with an invalid value writes it again.
func TestInvalidOwnEntryIsWrittenAgain(t *testing.T) {
	wat, _ := newTestWatcher(t)
	wat.apply(changeUpdate(11, platform.MemberKey("h2"), []byte(`{"Name":"h2"}`)))
	assert.Assert(t, !wat.host.entryInvalid.Load())
	assert.Equal(t, len(wat.directory.Members()), 1)
	wat.apply(changeUpdate(12, platform.MemberKey("h1"), []byte(`7`)))
	assert.Assert(t, wat.host.entryInvalid.Load())
}

// Very many invalid values are all counted, but only a limited number of them is logged.
func TestInvalidEntryLogIsBounded(t *testing.T) {
	wat, log := newTestWatcher(t)
	for idx := range 2 * maxInvalidKeys {
		wat.apply(changeUpdate(store.Revision(11+idx), fmt.Sprintf("servers/invalid-%d", idx), bytes.Repeat([]byte("x"), 100_000)))
	}
	assert.Equal(t, strings.Count(log.String(), "engine entry invalid, engine not used"), maxInvalidKeys)
	assert.Assert(t, log.Len() < maxInvalidKeys*2000, "%d bytes", log.Len())
	assert.Equal(t, wat.host.metrics.invalidValues.Count(), int64(2*maxInvalidKeys))
	assert.Equal(t, engineNames(wat), "e1 e2")
}

// Arbitrary bytes at any other key don't affect the valid entries of engines and hosts.
func TestArbitraryStoreValuesLeaveOtherEntriesUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wat, _ := newTestWatcher(t)
		rev := store.Revision(10)
		for range rapid.IntRange(1, 20).Draw(rt, "changes") {
			rev++
			prefix := rapid.SampledFrom([]string{"", "servers/", platform.MemberKey(""), "op/", "op/rollout/", "lynxwell/"}).Draw(rt, "prefix")
			key := prefix + rapid.SampledFrom([]string{"", "x", "e1/", "survey", "config", "\n"}).Draw(rt, "name")
			data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "data")
			if rapid.Bool().Draw(rt, "typed") {
				data = []byte(rapid.SampledFrom([]string{
					`{}`, `[]`, `null`, `{"service":"s"}`, `{"service":"s","address":"127.0.0.1:1","slots":100000000}`, `{"version":0}`, `{"Services":[{}]}`, `{"Name":"x"}`,
				}).Draw(rt, "value"))
			}
			upd := changeUpdate(rev, key, data)
			upd.changes.Changes[0].Deleted = rapid.Bool().Draw(rt, "deleted")
			wat.apply(upd)
		}
		snp := wat.host.snapshot.Load()
		if engineNames(wat) != "e1 e2" || len(snp.engines) != 2 || len(snp.members) != 2 || snp.table != nil {
			rt.Fatalf("engines %s, %d hosts, configuration %v", engineNames(wat), len(snp.members), snp.table)
		}
	})
}

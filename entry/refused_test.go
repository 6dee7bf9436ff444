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

func soundEntry(port int) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"127.0.0.1:%d","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1}`, port)
}

func soundMember(t *testing.T, name string) []byte {
	t.Helper()
	address := netip.MustParseAddrPort("127.0.0.1:9")
	data, err := platform.EncodeMember(fleet.Member{Name: name, Epoch: 9, Domain: "z", CallerAddress: address, PeerAddress: address})
	assert.NilError(t, err)
	return data
}

// watching returns an observer of two engines and two hosts, and what it logs.
func watching(t *testing.T) (*observer, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	hos, err := New(Config{Settings: settings.Entry{Name: "h1", PeerKey: "key between the hosts"}, Log: zerolog.New(&log)})
	assert.NilError(t, err)
	obs := newObserver(hos)
	obs.apply(update{whole: true, changes: store.Changes{Revision: 10}, values: []store.Value{
		{Key: "servers/e1", Data: soundEntry(1), Revision: 1},
		{Key: "servers/e2", Data: soundEntry(2), Revision: 2},
		{Key: platform.MemberKey("h1"), Data: soundMember(t, "h1"), Revision: 3},
		{Key: platform.MemberKey("h2"), Data: soundMember(t, "h2"), Revision: 4},
	}})
	return obs, &log
}

func engineNames(obs *observer) string {
	var names []string
	for _, eng := range obs.directory.Engines() {
		names = append(names, eng.ID.Name)
	}
	return strings.Join(names, " ")
}

func change(rev store.Revision, key string, data []byte) update {
	return update{changes: store.Changes{Revision: rev, Changes: []store.Change{{Value: store.Value{Key: key, Data: data, Revision: rev}}}}}
}

// An entry that is overwritten with what can't be read loses its engine at once, also
// while entries that lapse are held; the others stay, and one line says so.
func TestOverwrittenEntryNamesNoEngine(t *testing.T) {
	obs, log := watching(t)
	obs.directory.Hold(time.Now().Add(time.Hour))
	rev := store.Revision(10)
	for range 5 {
		rev++
		obs.apply(change(rev, "servers/e1", []byte("\x00{")))
	}
	assert.Equal(t, engineNames(obs), "e2")
	assert.Equal(t, strings.Count(log.String(), "engine entry names no engine to use"), 1)
	assert.Assert(t, strings.Contains(log.String(), `"Key":"servers/e1"`))
	assert.Equal(t, obs.host.figures.refused.Count(), int64(5))
	obs.apply(change(rev+1, "servers/e1", soundEntry(1)))
	assert.Equal(t, engineNames(obs), "e1 e2")
	obs.apply(change(rev+2, "servers/e1", []byte(`{}`)))
	assert.Equal(t, engineNames(obs), "e2")
	assert.Equal(t, strings.Count(log.String(), "engine entry names no engine to use"), 2)
	obs.apply(update{whole: true, changes: store.Changes{Revision: rev + 3}, values: []store.Value{
		{Key: "servers/e1", Data: soundEntry(1)}, {Key: "servers/e2", Data: []byte(`{"service":"s"}`)},
	}})
	assert.Equal(t, engineNames(obs), "e1", "a whole reading in a hold")
}

// A host whose own entry was overwritten writes it again.
func TestOverwrittenHostEntryIsWrittenAgain(t *testing.T) {
	obs, _ := watching(t)
	obs.apply(change(11, platform.MemberKey("h2"), []byte(`{"Name":"h2"}`)))
	assert.Assert(t, !obs.host.entryBroken.Load())
	assert.Equal(t, len(obs.directory.Members()), 1)
	obs.apply(change(12, platform.MemberKey("h1"), []byte(`7`)))
	assert.Assert(t, obs.host.entryBroken.Load())
}

// A writer of very many bad values is counted, and logged in bounds.
func TestManyBadEntriesAreLoggedInBounds(t *testing.T) {
	obs, log := watching(t)
	for idx := range 2 * maxRefused {
		obs.apply(change(store.Revision(11+idx), fmt.Sprintf("servers/bad-%d", idx), bytes.Repeat([]byte("x"), 100_000)))
	}
	assert.Equal(t, strings.Count(log.String(), "names no engine to use"), maxRefused)
	assert.Assert(t, log.Len() < maxRefused*2000, "%d bytes", log.Len())
	assert.Equal(t, obs.host.figures.refused.Count(), int64(2*maxRefused))
	assert.Equal(t, engineNames(obs), "e1 e2")
}

// Any bytes at any other key change nothing for the engines and hosts that are sound.
func TestAnyBytesAtAnyKeyChangeNothingForTheOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		obs, _ := watching(t)
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
			upd := change(rev, key, data)
			upd.changes.Changes[0].Deleted = rapid.Bool().Draw(rt, "deleted")
			obs.apply(upd)
		}
		bel := obs.host.belief.Load()
		if engineNames(obs) != "e1 e2" || len(bel.engines) != 2 || len(bel.members) != 2 || bel.table != nil {
			rt.Fatalf("engines %s, %d hosts, configuration %v", engineNames(obs), len(bel.members), bel.table)
		}
	})
}

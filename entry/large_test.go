package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// foreignValues returns values that another program writes, of the same size.
func foreignValues(prefix string, count, size int) []store.Write {
	data := []byte(strings.Repeat("x", size))
	writes := make([]store.Write, count)
	for idx := range writes {
		writes[idx] = store.Write{Key: fmt.Sprintf("%s%06d", prefix, idx), Data: data, Blind: true}
	}
	return writes
}

// oddValues returns one value of each kind that other programs may write by mistake, under each key that hosts read.
func oddValues() []store.Write {
	entry := `{"service":"s","address":"127.0.0.1:1","zone":"d0","version":"v1","slots":%s,"state":"ready","cold_left_ms":%s,"seq":1}`
	odd := []string{
		"", "null", "[]", `"text"`, "\xff\xfe", strings.Repeat("[", 100_000), strings.Repeat(`{"a":`, 100_000),
		strings.Replace(fmt.Sprintf(entry, "4", "0"), "127.0.0.1:1", "127.0.0.1:99999", 1),
		fmt.Sprintf(entry, "1e400", "0"), fmt.Sprintf(entry, "4", "1e400"), fmt.Sprintf(entry, `"four"`, "{}"),
		strings.Repeat("x", platformtest.MaxValueBytes),
	}
	var writes []store.Write
	for _, known := range platform.StoreKeys() {
		for idx, data := range odd {
			key := known.Key
			if strings.HasSuffix(key, "/") {
				key += fmt.Sprintf("odd-%d", idx)
			}
			writes = append(writes, store.Write{Key: key, Data: []byte(data), Blind: true})
		}
	}
	return writes
}

// manyValues are more values than one answer of the store may have.
const manyValues = 40_000

// foreign are series of values that other programs write at once.
var foreign = map[string]func() []store.Write{
	"values of 1 MB":       func() []store.Write { return foreignValues("servers/", 24, platformtest.MaxValueBytes) },
	"unrecognized of 1 MB": func() []store.Write { return foreignValues("q/", 24, platformtest.MaxValueBytes) },
	"over 64 MB in all":    func() []store.Write { return foreignValues("servers/", 70, platformtest.MaxValueBytes) },
	"many values":          func() []store.Write { return foreignValues("servers/", manyValues, 10) },
	"odd values":           oddValues,
}

// valuesOverMessage returns values that a host keeps, over 8 MB in all, which no message between hosts holds. They can't be compressed.
func valuesOverMessage(t *testing.T) []store.Write {
	t.Helper()
	random := rand.NewChaCha8([32]byte{})
	var writes []store.Write
	for idx := range 4 {
		bat := affinity.Batch{Origin: affinity.Origin{Service: "s", Version: "v"}, KeepFor: time.Minute}
		for range 90_000 {
			bat.Streams = append(bat.Streams, affinity.Stream(random.Uint64()))
		}
		data, err := platform.EncodeOrigins([]affinity.Batch{bat})
		assert.NilError(t, err)
		writes = append(writes, store.Write{Key: platform.OriginsKey(fmt.Sprint("odd-", idx)), Data: data, Blind: true})
	}
	for _, known := range platform.StoreKeys() {
		if strings.HasSuffix(known.Key, "/") {
			continue
		}
		data := make([]byte, platformtest.MaxValueBytes)
		_, err := random.Read(data)
		assert.NilError(t, err)
		writes = append(writes, store.Write{Key: known.Key, Data: data, Blind: true})
	}
	return writes
}

// Guards against hosts that can't read the copy of another host because it is larger than a message.
func TestReadersOfHostsServeWithCopyOverMessage(t *testing.T) {
	for when, meet := range moments {
		t.Run(when, func(t *testing.T) {
			serveBeside(t, entrytest.Config{Hosts: 4, OneDomain: true}, valuesOverMessage(t), meet)
		})
	}
}

// moments are when a host meets the values: each writes them and returns the hosts that have met them.
var moments = map[string]func(sys *entrytest.System, write func()){
	"following": func(_ *entrytest.System, write func()) { write() },
	"starting": func(sys *entrytest.System, write func()) {
		write()
		sys.AddHost(entrytest.Config{OneDomain: len(sys.Hosts) > 2})
	},
	"returning": func(sys *entrytest.System, write func()) {
		for _, hos := range sys.Hosts {
			hos.SetStoreCut(true)
		}
		sys.WaitUntil("hosts notice the cut", func() bool { return strings.Count(sys.Log(), "store unreachable") >= len(sys.Hosts) })
		write()
		for _, hos := range sys.Hosts {
			hos.SetStoreCut(false)
		}
	},
}

// Guards against hosts that stop following the store, or end, by what another program writes there: each goes on to
// serve with an engine that joins afterwards.
func TestHostsServeWhateverTheStoreHolds(t *testing.T) {
	for name, values := range foreign {
		for when, meet := range moments {
			t.Run(name+", "+when, func(t *testing.T) {
				serveBeside(t, entrytest.Config{Hosts: 2}, values(), meet)
			})
		}
	}
}

// Guards against the same at hosts that read the store through one another.
func TestReadersOfHostsServeWhateverTheStoreHolds(t *testing.T) {
	for _, name := range []string{"values of 1 MB", "many values", "odd values"} {
		for when, meet := range moments {
			t.Run(name+", "+when, func(t *testing.T) {
				serveBeside(t, entrytest.Config{Hosts: 4, OneDomain: true}, foreign[name](), meet)
			})
		}
	}
}

// serveBeside writes values to the store of a system while its hosts meet them, and expects each host to serve with an
// engine and a configuration that come afterwards.
func serveBeside(t *testing.T, cfg entrytest.Config, values []store.Write, meet func(*entrytest.System, func())) {
	t.Helper()
	cfg.Engines = []*upstreamtest.Engine{engineOfVersion("e0", "v1")}
	sys := entrytest.Start(t, cfg)
	sys.Configure(entrytest.Configuration{Version: 1})
	sys.WaitForReady()
	sys.WaitForEngines(1)
	waitForRecord(sys, "v1")
	meet(sys, func() {
		for _, wri := range values {
			assert.NilError(t, sys.Store.Write(wri))
		}
	})
	start := time.Now()
	sys.AddEngines(engineOfVersion("e1", "v1"))
	sys.Configure(entrytest.Configuration{Version: 2})
	sys.WaitForVersion(2)
	sys.WaitForEngines(2)
	sys.RemoveEngine("e0")
	sys.WaitForEngines(1)
	sys.WaitForReady()
	for idx, hos := range sys.Hosts {
		ans := sys.Send(t.Context(), hos, streamRequest(fmt.Sprint("after-", idx), "", 0))
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
	if len(values) >= manyValues {
		sys.WaitUntil("it is logged", func() bool { return strings.Contains(sys.Log(), "values in the store left out") })
	}
	t.Logf("served with the engine that joined after %s", time.Since(start))
}

// Guards against hosts that begin no stream, or serve nothing, with values that another program writes before hosts have
// recorded a version. Streams that may be resumed wait until no host can conclude anything from a record of before, other
// requests don't.
func TestHostsServeWithValuesBeforeFirstRecord(t *testing.T) {
	values := map[string]func() []store.Write{
		"odd values":   oddValues,
		"over message": func() []store.Write { return valuesOverMessage(t) },
	}
	for name, write := range values {
		t.Run(name, func(t *testing.T) {
			sys := entrytest.Start(t, entrytest.Config{Hosts: 4, OneDomain: true})
			sys.Configure(entrytest.Configuration{Version: 1})
			sys.WaitForReady()
			for _, wri := range write() {
				assert.NilError(t, sys.Store.Write(wri))
			}
			sys.AddEngines(engineOfVersion("e0", "v1"))
			sys.WaitForEngines(1)
			for _, hos := range sys.Hosts {
				ans := sys.Send(t.Context(), hos, entrytest.Request{ID: "stream-" + hos.Settings.Name, Path: "/stream/x", Header: map[string]string{"Token-Counts": "10,20"}})
				assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
			}
			for idx, hos := range sys.Hosts {
				sys.WaitUntil("streams begin", func() bool {
					return sys.Send(t.Context(), hos, streamRequest(fmt.Sprint("after-", idx), "", 0)).Status == http.StatusOK
				})
			}
		})
	}
}

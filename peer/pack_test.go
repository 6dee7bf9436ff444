package peer

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/store"
)

func largeChange(rev store.Revision) []store.Change {
	data := bytes.Repeat([]byte("route "), compressMinBytes)
	return []store.Change{{Value: store.Value{Key: "config", Data: data, Revision: rev}}, {Value: store.Value{Key: "gone", Revision: rev}, Deleted: true}}
}

// Guards against a relay that compresses the same changes for each of its readers.
func TestEntriesArePackedOnce(t *testing.T) {
	pca := newPackCache()
	first, err := pca.pack(packKey{after: 7, stamp: 1}, largeChange(8))
	assert.NilError(t, err)
	again, err := pca.pack(packKey{after: 7, stamp: 1}, nil)
	assert.NilError(t, err)
	assert.Assert(t, &first[0] == &again[0])
	for _, key := range []packKey{{after: 6, stamp: 1}, {after: 7, stamp: 2}} {
		other, err := pca.pack(key, largeChange(9))
		assert.NilError(t, err)
		entries, err := unpackEntries(other)
		assert.NilError(t, err)
		assert.Equal(t, entries[0].GetRevision(), uint64(9))
	}
}

func TestPackedEntriesAreReadBack(t *testing.T) {
	packed, err := packEntries(largeChange(8))
	assert.NilError(t, err)
	assert.Assert(t, len(packed) < compressMinBytes)
	entries, err := unpackEntries(packed)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, string(entries[0].GetData()), string(largeChange(8)[0].Data))
	assert.Assert(t, entries[1].GetDeleted())
}

// Guards against a small answer that takes much memory.
func TestOversizedEntriesAreRejected(t *testing.T) {
	packed, err := packEntries([]store.Change{{Value: store.Value{Key: "k", Data: make([]byte, maxMessageBytes)}}})
	assert.NilError(t, err)
	_, err = unpackEntries(packed)
	var oversized *OversizedError
	assert.Assert(t, errors.As(err, &oversized))
	_, err = unpackEntries([]byte("not packed"))
	assert.Assert(t, err != nil)
}

func BenchmarkPackPerReader(b *testing.B) {
	for b.Loop() {
		if _, err := packEntries(largeChange(8)); err != nil {
			b.Fatal(err)
		}
	}
}

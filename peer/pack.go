package peer

import (
	"bytes"
	"compress/gzip"
	"io"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"google.golang.org/protobuf/proto"

	"lynxwell.dev/lynxwell/peer/peerpb"
	"lynxwell.dev/lynxwell/store"
)

// maxPacked bounds the packed entries that are kept: hosts that read through this one are at a few
// different revisions at a time.
const maxPacked = 8

// packKey identifies packed entries: the reader's revision, and the content of the copy.
type packKey struct {
	after uint64
	stamp uint64
}

// packCache packs entries once for all readers that are at the same revision. It is safe for
// concurrent use.
type packCache struct {
	mutex sync.Mutex
	// packed holds the compressed entries.
	packed *simplelru.LRU[packKey, []byte]
}

func newPackCache() *packCache {
	// The only error is a size below 1.
	packed, _ := simplelru.NewLRU[packKey, []byte](maxPacked, nil)
	return &packCache{packed: packed}
}

// pack returns the changes as compressed entries.
func (pca *packCache) pack(key packKey, changes []store.Change) ([]byte, error) {
	// The mutex is held while entries are packed, so that readers that come at the same time wait
	// for them.
	pca.mutex.Lock()
	defer pca.mutex.Unlock()
	if packed, known := pca.packed.Get(key); known {
		return packed, nil
	}
	packed, err := packEntries(changes)
	if err == nil {
		pca.packed.Add(key, packed)
	}
	return packed, err
}

func packEntries(changes []store.Change) ([]byte, error) {
	data, err := proto.Marshal(&peerpb.Entries{Entries: entriesToWire(changes)})
	if err != nil {
		return nil, errors.Wrap(err, "encode entries")
	}
	var buf bytes.Buffer
	writer := gzip.NewWriter(&buf)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress entries")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress entries")
	}
	return buf.Bytes(), nil
}

// OversizedError reports packed entries that are larger than a message may be.
type OversizedError struct {
	// Limit is the size in bytes that they exceed.
	Limit int
}

// Error names the limit.
func (oer *OversizedError) Error() string {
	return "peer: packed entries have more than " + strconv.Itoa(oer.Limit) + " bytes"
}

// unpackEntries returns the entries that packEntries has compressed.
func unpackEntries(packed []byte) ([]*peerpb.Entry, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress entries")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxMessageBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress entries")
	}
	if len(data) > maxMessageBytes {
		return nil, &OversizedError{Limit: maxMessageBytes}
	}
	entries := &peerpb.Entries{}
	if err := proto.Unmarshal(data, entries); err != nil {
		return nil, errors.Wrap(err, "decode entries")
	}
	return entries.GetEntries(), nil
}

package host

import (
	"sync"

	"lynxwell.dev/lynxwell/resource"
)

// chunkCache holds the encoded chunks of the active configuration, by digest.
type chunkCache struct {
	mutex sync.Mutex
	data  map[string][]byte
}

func newChunkCache() *chunkCache {
	return &chunkCache{data: make(map[string][]byte)}
}

func (cac *chunkCache) get(digest string) ([]byte, bool) {
	cac.mutex.Lock()
	defer cac.mutex.Unlock()
	data, known := cac.data[digest]
	return data, known
}

// replace replaces the content of the cache.
func (cac *chunkCache) replace(data map[string][]byte) {
	cac.mutex.Lock()
	defer cac.mutex.Unlock()
	cac.data = data
}

// forHead returns the cached chunks that the head refers to.
func (cac *chunkCache) forHead(hea resource.Head) map[string][]byte {
	cac.mutex.Lock()
	defer cac.mutex.Unlock()
	found := make(map[string][]byte, len(hea.Chunks))
	for _, ref := range hea.Chunks {
		if data, known := cac.data[ref.Digest]; known {
			found[ref.Digest] = data
		}
	}
	return found
}

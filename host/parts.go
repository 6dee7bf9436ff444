package host

import (
	"sync"

	"lynxwell.dev/lynxwell/resource"
)

// parts keeps the parts of the configuration in force, by digest.
type parts struct {
	mutex sync.Mutex
	data  map[string][]byte
}

func newParts() *parts {
	return &parts{data: make(map[string][]byte)}
}

func (par *parts) get(digest string) ([]byte, bool) {
	par.mutex.Lock()
	defer par.mutex.Unlock()
	data, known := par.data[digest]
	return data, known
}

// keep replaces what is kept.
func (par *parts) keep(data map[string][]byte) {
	par.mutex.Lock()
	defer par.mutex.Unlock()
	par.data = data
}

// of returns the parts of the head that are kept.
func (par *parts) of(hea resource.Head) map[string][]byte {
	par.mutex.Lock()
	defer par.mutex.Unlock()
	some := make(map[string][]byte, len(hea.Parts))
	for _, ref := range hea.Parts {
		if data, known := par.data[ref.Digest]; known {
			some[ref.Digest] = data
		}
	}
	return some
}

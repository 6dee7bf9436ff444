package platformtest

import (
	"maps"

	"lynxwell.dev/lynxwell/store"
)

// Copy is a copy of the store's content, from which the store can be restored.
type Copy struct {
	values    map[string]store.Value
	deleted   map[string]store.Revision
	revision  store.Revision
	compacted store.Revision
	leases    map[store.LeaseID]lease
	lastID    store.LeaseID
}

// Copy returns a copy of the store's content.
func (mem *Memory) Copy() Copy {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.expireLeases()
	cop := Copy{
		values: maps.Clone(mem.values), deleted: maps.Clone(mem.deleted), revision: mem.revision, compacted: mem.compacted,
		leases: make(map[store.LeaseID]lease), lastID: mem.lastID,
	}
	for id, lea := range mem.leases {
		cop.leases[id] = *lea
	}
	return cop
}

// Restore replaces the content by a copy. Everything acknowledged since the copy is lost, revisions and the
// numbers of leases are given out again, and the era rises by one.
func (mem *Memory) Restore(cop Copy) {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.values, mem.deleted = maps.Clone(cop.values), maps.Clone(cop.deleted)
	mem.revision, mem.compacted, mem.lastID = cop.revision, cop.compacted, cop.lastID
	mem.leases = make(map[store.LeaseID]*lease)
	for id, lea := range cop.leases {
		mem.leases[id] = &lea
	}
	mem.era++
	mem.notifyWatchers()
}

// Era returns the number of restorations so far.
func (mem *Memory) Era() uint64 {
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	return mem.era
}

// Package reconcile merges what a host knows of the store with a complete read of the store after it was restored
// from an older copy.
//
// # Usage
//
//	knl := reconcile.NewKnowledge()
//	knl.Set(val) // for each value and change that is read
//	merged, writes := knl.Merge(listed, policyOf, newer)
//
// The restored store lacks what was acknowledged since the copy, and has again what was removed since. Operators
// and engines write theirs again, and so do the hosts; until then the newer knowledge stays in force. The store
// gives revisions out again, so a number alone doesn't tell an older value from one that was written after the
// restoration. Where the values carry an order of their own, that order decides; otherwise the number does, and a
// later read without Merge corrects it.
//
// The package is pure: it uses no clock, goroutine or network.
package reconcile

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"lynxwell.dev/lynxwell/store"
)

// Policy is what happens to a key that is known and differs in the restored store.
type Policy uint8

const (
	// PolicyListed uses what the store has.
	PolicyListed Policy = iota
	// PolicyOwner keeps newer knowledge of a key that the store has, and its removal. A key that the store
	// lacks is removed: its owner writes it again if it lives.
	PolicyOwner
	// PolicyKeep also keeps a key that the store lacks, since its owner writes it again in any case.
	PolicyKeep
	// PolicyEither uses what the store has, even if it had been removed, and keeps a key that the store lacks:
	// for keys that restrict something.
	PolicyEither
	// PolicyRewrite is PolicyKeep for keys of the hosts themselves, which have to be written again.
	PolicyRewrite
)

// Order compares two values of a key by an order of their own. It returns false if they have none.
type Order func(known, listed store.Value) (int, bool)

// entry is what is known of a key. Number is that of its newest known write or removal, also after a merge.
type entry struct {
	value   store.Value
	number  uint64
	deleted bool
}

// maxRemoved bounds the removed keys that are remembered.
const maxRemoved = 2048

// Knowledge is what a host has read of the store.
type Knowledge struct {
	entries map[string]entry
	// removed are the removed keys, the oldest first.
	removed []string
}

// NewKnowledge returns an empty Knowledge.
func NewKnowledge() *Knowledge {
	return &Knowledge{entries: make(map[string]entry)}
}

// Set records a value that was read.
func (knl *Knowledge) Set(val store.Value) {
	knl.entries[val.Key] = entry{value: val, number: val.Revision.Number()}
}

// Remove records the removal of a key at a revision.
func (knl *Knowledge) Remove(key string, rev store.Revision) {
	ent := knl.entries[key]
	if !ent.deleted {
		knl.removed = append(knl.removed, key)
	}
	ent.number, ent.deleted = rev.Number(), true
	ent.value.Key = key
	knl.entries[key] = ent
	if over := len(knl.removed) - maxRemoved; over > 0 {
		for _, old := range knl.removed[:over] {
			if knl.entries[old].deleted {
				delete(knl.entries, old)
			}
		}
		knl.removed = slices.Clone(knl.removed[over:])
	}
}

// Replace records a complete read at a revision.
func (knl *Knowledge) Replace(values []store.Value, rev store.Revision) {
	listed := make(map[string]bool, len(values))
	for _, val := range values {
		listed[val.Key] = true
		knl.Set(val)
	}
	for key, ent := range knl.entries {
		if !listed[key] && !ent.deleted {
			knl.Remove(key, rev)
		}
	}
}

// Merge merges a complete read of the restored store with what is known, and records the result. It returns the
// values that are in force, and the writes by which the store gets them. A kept value has the revision that the
// key has in the store; 0 if it has none.
func (knl *Knowledge) Merge(listed []store.Value, policyOf func(key string) Policy, order Order) ([]store.Value, []store.Write) {
	mrg := &merge{knowledge: knl, policyOf: policyOf, order: order, entries: make(map[string]entry)}
	for _, val := range listed {
		mrg.addListed(val)
	}
	for _, key := range slices.Sorted(maps.Keys(knl.entries)) {
		mrg.addUnlisted(key)
	}
	knl.entries = mrg.entries
	return mrg.values, mrg.writes
}

// merge is a merge in progress. Entries are what is known after it.
type merge struct {
	knowledge *Knowledge
	policyOf  func(key string) Policy
	order     Order
	entries   map[string]entry
	values    []store.Value
	writes    []store.Write
}

// addListed adds a key that the store has.
func (mrg *merge) addListed(val store.Value) {
	known, found := mrg.knowledge.entries[val.Key]
	policy := mrg.policyOf(val.Key)
	if !found || policy == PolicyListed || policy == PolicyEither || !mrg.isNewer(known, val) {
		mrg.take(val, known.number, policy)
		return
	}
	if policy == PolicyRewrite {
		mrg.writes = append(mrg.writes, store.Write{Key: val.Key, Data: known.value.Data, Expect: val.Revision, Delete: known.deleted})
	}
	mrg.keep(known, val.Revision)
}

// take takes what the store has of a key. A value without a revision comes from a host that has kept it: the
// store lacks it.
func (mrg *merge) take(val store.Value, knownNumber uint64, policy Policy) {
	number := val.Revision.Number()
	if val.Revision == 0 {
		number = knownNumber
		if policy == PolicyRewrite {
			mrg.writes = append(mrg.writes, store.Write{Key: val.Key, Data: val.Data})
		}
	}
	mrg.entries[val.Key] = entry{value: val, number: number}
	mrg.values = append(mrg.values, val)
}

// addUnlisted adds a key that is known and that the store lacks.
func (mrg *merge) addUnlisted(key string) {
	if _, listed := mrg.entries[key]; listed {
		return
	}
	known := mrg.knowledge.entries[key]
	switch policy := mrg.policyOf(key); {
	case known.deleted:
		mrg.entries[key] = known
	case policy == PolicyRewrite:
		mrg.writes = append(mrg.writes, store.Write{Key: key, Data: known.value.Data})
		mrg.keep(known, 0)
	case policy == PolicyKeep, policy == PolicyEither:
		mrg.keep(known, known.value.Revision)
	}
}

// keep keeps what is known of a key. A removed one isn't among the values.
func (mrg *merge) keep(known entry, rev store.Revision) {
	known.value.Revision = rev
	mrg.entries[known.value.Key] = known
	if !known.deleted {
		mrg.values = append(mrg.values, known.value)
	}
}

// isNewer reports whether what is known of a key is newer than what the store has.
func (mrg *merge) isNewer(known entry, listed store.Value) bool {
	if !known.deleted && bytes.Equal(known.value.Data, listed.Data) {
		return false
	}
	by, ordered := mrg.order(known.value, listed)
	if !ordered {
		by = cmp.Compare(known.number, listed.Revision.Number())
	}
	return by > 0 || by == 0 && known.deleted
}

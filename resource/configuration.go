package resource

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Configuration is an immutable set of resources with a revision.
type Configuration struct {
	// Revision increases by one with each change. The configuration before any change is empty
	// and has the revision 0.
	Revision uint64
	entries  map[Key]Entry
}

// NewConfiguration returns a configuration with the revision and entries.
func NewConfiguration(revision uint64, entries []Entry) Configuration {
	con := Configuration{Revision: revision, entries: make(map[Key]Entry, len(entries))}
	for _, ent := range entries {
		con.entries[ent.Resource.Key()] = ent
	}
	return con
}

// Entries returns every entry, sorted by kind and name.
func (con Configuration) Entries() []Entry {
	all := slices.Collect(maps.Values(con.entries))
	slices.SortFunc(all, func(one, two Entry) int {
		first, second := one.Resource.Key(), two.Resource.Key()
		return cmp.Or(cmp.Compare(first.Kind, second.Kind), cmp.Compare(first.Name, second.Name))
	})
	return all
}

// Entry returns the entry with the key, if there is one.
func (con Configuration) Entry(key Key) (Entry, bool) {
	ent, known := con.entries[key]
	return ent, known
}

// Service returns the service with the name, if there is one.
func (con Configuration) Service(name string) (Service, bool) {
	return lookup[Service](con, Key{KindService, name})
}

// Engine returns the engine with the name, if there is one.
func (con Configuration) Engine(name string) (Engine, bool) {
	return lookup[Engine](con, Key{KindEngine, name})
}

// Tier returns the tier with the name, if there is one.
func (con Configuration) Tier(name string) (Tier, bool) {
	return lookup[Tier](con, Key{KindTier, name})
}

// ClientAccount returns the client account with the name, if there is one.
func (con Configuration) ClientAccount(name string) (ClientAccount, bool) {
	return lookup[ClientAccount](con, Key{KindClientAccount, name})
}

// Engines returns the engines of every service, sorted by name.
func (con Configuration) Engines() []Engine {
	return collect[Engine](con)
}

// Services returns the services, sorted by name.
func (con Configuration) Services() []Service {
	return collect[Service](con)
}

// ClientAccounts returns the client accounts, sorted by name.
func (con Configuration) ClientAccounts() []ClientAccount {
	return collect[ClientAccount](con)
}

// EngineSlots is the name of an engine and the number of requests that the engine runs
// concurrently.
type EngineSlots struct {
	Engine string
	Slots  int
}

// SlotsByService returns the engines that accept new work, by service name.
func (con Configuration) SlotsByService() map[string][]EngineSlots {
	groups := make(map[string][]EngineSlots)
	for _, eng := range con.Engines() {
		if !eng.Leaving {
			groups[eng.Service] = append(groups[eng.Service], EngineSlots{Engine: eng.Name, Slots: eng.Slots})
		}
	}
	return groups
}

func lookup[T Resource](con Configuration, key Key) (T, bool) {
	res, known := con.entries[key].Resource.(T)
	return res, known
}

func collect[T Resource](con Configuration) []T {
	var all []T
	for _, ent := range con.Entries() {
		if res, same := ent.Resource.(T); same {
			all = append(all, res)
		}
	}
	return all
}

// Edit writes or deletes one resource.
type Edit struct {
	// Key identifies the resource.
	Key Key
	// Seen is the revision of the resource on which the edit is based; 0 if the resource
	// did not exist.
	Seen uint64
	// Resource is the desired state; nil deletes the resource.
	Resource Resource
}

// Change is a set of edits that take effect together.
type Change struct {
	// ID is chosen by the writer. If a reply was lost, the writer looks the id up in the stored
	// head to determine whether the change was written.
	ID string
	// Edits are all based on the configuration before the change.
	Edits []Edit
}

// ConflictError reports that the current revision of a resource isn't the one on which an
// edit is based, because another writer changed the resource.
type ConflictError struct {
	// Key identifies the resource.
	Key Key
	// Seen is the revision on which the edit is based.
	Seen uint64
	// Newer is the current revision of the resource; 0 if it doesn't exist.
	Newer uint64
	// Fields are the names of the fields in which the desired and the current state differ.
	Fields []string
}

// Error returns the resource, the differing fields and both revisions.
func (cer *ConflictError) Error() string {
	return fmt.Sprintf("%s: changed by another writer: fields %s; you saw revision %d, newer is %d",
		cer.Key, strings.Join(cer.Fields, ", "), cer.Seen, cer.Newer)
}

// With returns the configuration after the change, with the next revision. It returns
// a *ConflictError if the resource of an edit isn't at the revision on which the edit is
// based, and a *CheckError if the result is invalid. If the change has no effect, With
// returns the configuration itself.
func (con Configuration) With(cha Change) (Configuration, error) {
	next := Configuration{Revision: con.Revision + 1, entries: maps.Clone(con.entries)}
	if next.entries == nil {
		next.entries = make(map[Key]Entry)
	}
	changed := false
	for _, edi := range cha.Edits {
		current := con.entries[edi.Key]
		if current.Revision != edi.Seen {
			return Configuration{}, &ConflictError{
				Key: edi.Key, Seen: edi.Seen, Newer: current.Revision, Fields: differingFields(current.Resource, edi.Resource),
			}
		}
		if reflect.DeepEqual(current.Resource, edi.Resource) {
			continue
		}
		changed = true
		if edi.Resource == nil {
			delete(next.entries, edi.Key)
			continue
		}
		next.entries[edi.Key] = Entry{Revision: next.Revision, Resource: edi.Resource}
	}
	if !changed {
		return con, nil
	}
	if problems := next.Check(); len(problems) > 0 {
		return Configuration{}, &CheckError{Problems: problems}
	}
	return next, nil
}

// differingFields returns the names of the fields in which two resources differ, or "(all)"
// if one of them doesn't exist.
func differingFields(current, desired Resource) []string {
	if current == nil || desired == nil {
		return []string{"(all)"}
	}
	one, two := reflect.ValueOf(current), reflect.ValueOf(desired)
	var fields []string
	for idx := range one.NumField() {
		if !reflect.DeepEqual(one.Field(idx).Interface(), two.Field(idx).Interface()) {
			fields = append(fields, one.Type().Field(idx).Name)
		}
	}
	return fields
}

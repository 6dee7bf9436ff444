package resource

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Configuration is every resource under one revision. It is never changed in
// place.
type Configuration struct {
	// Revision orders configurations; 0 is the empty one before any change.
	Revision uint64
	entries  map[Key]Entry
}

// NewConfiguration returns a configuration of the entries.
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

// Entry returns the entry with the key.
func (con Configuration) Entry(key Key) (Entry, bool) {
	ent, known := con.entries[key]
	return ent, known
}

// Service returns the service with the name.
func (con Configuration) Service(name string) (Service, bool) {
	return lookup[Service](con, Key{KindService, name})
}

// Engine returns the engine with the name.
func (con Configuration) Engine(name string) (Engine, bool) {
	return lookup[Engine](con, Key{KindEngine, name})
}

// Tier returns the tier with the name.
func (con Configuration) Tier(name string) (Tier, bool) {
	return lookup[Tier](con, Key{KindTier, name})
}

// ClientAccount returns the client account with the name.
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

// EngineSlots names an engine and the number of requests it runs at once.
type EngineSlots struct {
	Engine string
	Slots  int
}

// SlotsByService returns the engines that take new work, by service.
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

// Edit is one wish of a change: to write a resource, or to delete it.
type Edit struct {
	// Key identifies the resource.
	Key Key
	// Seen is the resource's revision that the operator saw; 0 when it saw none.
	Seen uint64
	// Resource is the wished state; nil deletes.
	Resource Resource
}

// Change is a set of edits that take effect together.
type Change struct {
	// ID is chosen by the writer; it finds out whether a lost reply's write landed.
	ID string
	// Edits are the wishes.
	Edits []Edit
}

// ConflictError reports that somebody else changed a resource since it was seen.
type ConflictError struct {
	// Key identifies the resource.
	Key Key
	// Seen is the revision that the operator saw.
	Seen uint64
	// Newer is the resource's revision now; 0 when it was deleted.
	Newer uint64
	// Fields are the fields in which the wish and the newer state differ.
	Fields []string
}

// Error names the resource, the fields and both revisions.
func (cer *ConflictError) Error() string {
	return fmt.Sprintf("%s: changed by another writer: fields %s; you saw revision %d, newer is %d",
		cer.Key, strings.Join(cer.Fields, ", "), cer.Seen, cer.Newer)
}

// With returns the configuration after the change, one revision higher. It
// returns a *ConflictError when an edit's resource isn't as the writer saw it,
// and a *CheckError when the result isn't fit to be accepted. A change that
// changes nothing returns the configuration itself.
func (con Configuration) With(cha Change) (Configuration, error) {
	next := Configuration{Revision: con.Revision + 1, entries: maps.Clone(con.entries)}
	if next.entries == nil {
		next.entries = make(map[Key]Entry)
	}
	changed := false
	for _, edi := range cha.Edits {
		now := con.entries[edi.Key]
		if now.Revision != edi.Seen {
			return Configuration{}, &ConflictError{
				Key: edi.Key, Seen: edi.Seen, Newer: now.Revision, Fields: differing(now.Resource, edi.Resource),
			}
		}
		if reflect.DeepEqual(now.Resource, edi.Resource) {
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

// differing returns the names of the fields in which two resources differ.
func differing(now, wish Resource) []string {
	if now == nil || wish == nil {
		return []string{"(all)"}
	}
	one, two := reflect.ValueOf(now), reflect.ValueOf(wish)
	var fields []string
	for idx := range one.NumField() {
		if !reflect.DeepEqual(one.Field(idx).Interface(), two.Field(idx).Interface()) {
			fields = append(fields, one.Type().Field(idx).Name)
		}
	}
	return fields
}

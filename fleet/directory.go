package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
)

// Directory is a snapshot of the engines and hosts in the store. While removals are held, an
// entry that disappears from the store stays in the directory until the hold ends: entries
// expire during an outage of the store although their owners are running.
type Directory struct {
	// engines and missingEngines are keyed by engine name; the directory holds one run of each
	// engine.
	engines map[string]Engine
	members map[string]Member
	// missingEngines and missingMembers name the entries that have disappeared from the store
	// and are held.
	missingEngines map[string]bool
	missingMembers map[string]bool
	holdUntil      time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		engines:        make(map[string]Engine),
		members:        make(map[string]Member),
		missingEngines: make(map[string]bool),
		missingMembers: make(map[string]bool),
	}
}

// HoldRemovals defers removals until the given time.
func (dir *Directory) HoldRemovals(until time.Time) {
	dir.holdUntil = until
}

// Replace applies a complete reading of the store, and removes the entries that the reading lacks.
func (dir *Directory) Replace(now time.Time, engines []Engine, members []Member) {
	for name := range dir.engines {
		if !slices.ContainsFunc(engines, func(eng Engine) bool { return eng.ID.Name == name }) {
			dir.RemoveEngine(now, name)
		}
	}
	for name := range dir.members {
		if !slices.ContainsFunc(members, func(mem Member) bool { return mem.Name == name }) {
			dir.RemoveMember(now, name)
		}
	}
	for _, eng := range engines {
		dir.SetEngine(now, eng)
	}
	for _, mem := range members {
		dir.SetMember(mem)
	}
}

// SetEngine applies an engine's entry if it is at least as new as the known one, and reports
// whether it did. An entry without a start time, of an engine whose start time is known, was
// written by another process and has overwritten the engine's entry, so the engine is dropped. If
// the known entry is missing from the store, every entry of the same run is applied.
func (dir *Directory) SetEngine(now time.Time, eng Engine) bool {
	name := eng.ID.Name
	prev, known := dir.engines[name]
	if known && eng.ID.StartTime.IsZero() && !prev.ID.StartTime.IsZero() {
		dir.DropEngine(name)
		return false
	}
	if known && (prev.ID.Follows(eng.ID) || !dir.missingEngines[name] && !eng.Supersedes(prev)) {
		return false
	}
	eng.ColdUntil = coldUntil(now, eng, prev)
	dir.engines[name] = eng
	delete(dir.missingEngines, name)
	return true
}

// coldUntil returns the time until which an engine is cold according to its newest entry. An
// entry that is read a second time doesn't extend that time: otherwise repeated readings would
// keep the engine cold indefinitely.
func coldUntil(now time.Time, eng, prev Engine) time.Time {
	if eng.ID != prev.ID {
		return coldFrom(now, eng.ColdFor)
	}
	until := prev.ColdUntil
	if reported := coldFrom(now, eng.ColdFor); eng.Sequence != prev.Sequence && reported.After(until) {
		until = reported
	}
	return until
}

func coldFrom(now time.Time, remaining time.Duration) time.Time {
	if remaining <= 0 {
		return time.Time{}
	}
	return now.Add(remaining)
}

// MarkCold marks the engines of a failure domain as cold for at least the duration that
// coldFor returns for their service; 0 marks none. Engines may have become cold while they
// were idle, and may receive requests again before their entries report that they are cold.
func (dir *Directory) MarkCold(now time.Time, domain string, coldFor func(service string) time.Duration) {
	for name, eng := range dir.engines {
		if eng.Domain != domain {
			continue
		}
		if until := coldFrom(now, coldFor(eng.Service)); until.After(eng.ColdUntil) {
			eng.ColdUntil = until
			dir.engines[name] = eng
		}
	}
}

// RemoveEngine removes an engine's entry, either immediately or when the hold ends.
func (dir *Directory) RemoveEngine(now time.Time, name string) {
	if _, known := dir.engines[name]; known && now.Before(dir.holdUntil) {
		dir.missingEngines[name] = true
		return
	}
	delete(dir.engines, name)
}

// DropEngine removes an engine immediately, even during a hold. Use DropEngine for an engine whose
// key in the store holds no valid entry.
func (dir *Directory) DropEngine(name string) {
	delete(dir.engines, name)
	delete(dir.missingEngines, name)
}

// SetMember applies a host's newest entry.
func (dir *Directory) SetMember(mem Member) {
	dir.members[mem.Name] = mem
	delete(dir.missingMembers, mem.Name)
}

// RemoveMember removes a host's entry, either immediately or when the hold ends.
func (dir *Directory) RemoveMember(now time.Time, name string) {
	if _, known := dir.members[name]; known && now.Before(dir.holdUntil) {
		dir.missingMembers[name] = true
		return
	}
	delete(dir.members, name)
}

// DropMissing removes the missing entries once the hold has ended, and reports whether it
// removed any.
func (dir *Directory) DropMissing(now time.Time) bool {
	if now.Before(dir.holdUntil) || len(dir.missingEngines)+len(dir.missingMembers) == 0 {
		return false
	}
	for name := range dir.missingEngines {
		delete(dir.engines, name)
	}
	for name := range dir.missingMembers {
		delete(dir.members, name)
	}
	clear(dir.missingEngines)
	clear(dir.missingMembers)
	return true
}

// Engines returns all engines, sorted by name.
func (dir *Directory) Engines() []Engine {
	return slices.SortedFunc(maps.Values(dir.engines), func(one, two Engine) int { return cmp.Compare(one.ID.Name, two.ID.Name) })
}

// Members returns the hosts by descending capacity, and by name among equals. The order doesn't
// depend on epochs: after all hosts have failed at once, the same hosts come first as before,
// and each restarting host reads them from the entries that haven't expired.
func (dir *Directory) Members() []Member {
	return slices.SortedFunc(maps.Values(dir.members), func(one, two Member) int {
		return cmp.Or(cmp.Compare(two.Capacity, one.Capacity), cmp.Compare(one.Name, two.Name))
	})
}

// RegisteredMembers returns the hosts in the order of Members, without those whose entries are
// missing.
func (dir *Directory) RegisteredMembers() []Member {
	return slices.DeleteFunc(dir.Members(), func(mem Member) bool { return dir.missingMembers[mem.Name] })
}

// IsMissing reports whether the host's entry has disappeared from the store and is held.
func (dir *Directory) IsMissing(name string) bool {
	return dir.missingMembers[name]
}

// Member returns the host with the epoch, and whether there is one.
func (dir *Directory) Member(epo request.Epoch) (Member, bool) {
	for _, mem := range dir.members {
		if mem.Epoch == epo {
			return mem, true
		}
	}
	return Member{}, false
}

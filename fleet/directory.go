package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
)

// Directory is what the store says of engines and hosts. While removals are
// held, what goes missing stays known until the hold is over: entries lapse
// while the store is away although their owners live.
type Directory struct {
	// engines and missingEngines are by the engines' names: one run of each is known.
	engines map[string]Engine
	members map[string]Member
	// missing are entries that are gone from the store and still held.
	missingEngines map[string]bool
	missingMembers map[string]bool
	heldUntil      time.Time
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

// Hold keeps what goes missing until the given time.
func (dir *Directory) Hold(until time.Time) {
	dir.heldUntil = until
}

// Replace takes a whole reading of the store: what it lacks has gone missing.
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

// SetEngine takes an engine's entry, and reports whether it is newer than what is known.
// One that tells no start although the engine did isn't the engine's own: whoever stood
// there is lost. Where its entry had gone, any of the same run is newer.
func (dir *Directory) SetEngine(now time.Time, eng Engine) bool {
	name := eng.ID.Name
	former, known := dir.engines[name]
	if known && eng.ID.Born.IsZero() && !former.ID.Born.IsZero() {
		dir.DropEngine(name)
		return false
	}
	if known && (former.ID.Follows(eng.ID) || !dir.missingEngines[name] && !eng.Supersedes(former)) {
		return false
	}
	eng.ColdUntil = coldUntil(now, eng, former)
	dir.engines[name] = eng
	delete(dir.missingEngines, name)
	return true
}

// coldUntil returns until when an engine is cold by its newest entry. An entry that was read
// before and is read again tells nothing new: it would keep the engine cold without end.
func coldUntil(now time.Time, eng, former Engine) time.Time {
	if eng.ID != former.ID {
		return coldFrom(now, eng.ColdFor)
	}
	until := former.ColdUntil
	if told := coldFrom(now, eng.ColdFor); eng.Sequence != former.Sequence && told.After(until) {
		until = told
	}
	return until
}

func coldFrom(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// Chill takes the engines of a failure domain to be cold until a time at least: those that had
// nothing to do for a while may be, and their entries tell so later than they are used again.
// coldFor returns for how long engines of a service are cold, 0 for those that never are.
func (dir *Directory) Chill(now time.Time, domain string, coldFor func(service string) time.Duration) {
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

// RemoveEngine takes an engine's entry away, at once or when the hold is over.
func (dir *Directory) RemoveEngine(now time.Time, name string) {
	if _, known := dir.engines[name]; known && now.Before(dir.heldUntil) {
		dir.missingEngines[name] = true
		return
	}
	delete(dir.engines, name)
}

// DropEngine takes an engine away at once, also during a hold: what lies at its key
// names no engine.
func (dir *Directory) DropEngine(name string) {
	delete(dir.engines, name)
	delete(dir.missingEngines, name)
}

// SetMember takes a host's newest entry.
func (dir *Directory) SetMember(mem Member) {
	dir.members[mem.Name] = mem
	delete(dir.missingMembers, mem.Name)
}

// RemoveMember takes a host's entry away, at once or when the hold is over.
func (dir *Directory) RemoveMember(now time.Time, name string) {
	if _, known := dir.members[name]; known && now.Before(dir.heldUntil) {
		dir.missingMembers[name] = true
		return
	}
	delete(dir.members, name)
}

// Settle drops what is still missing once the hold is over, and reports whether
// anything was dropped.
func (dir *Directory) Settle(now time.Time) bool {
	if now.Before(dir.heldUntil) || len(dir.missingEngines)+len(dir.missingMembers) == 0 {
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

// Engines returns all engines, sorted by their names.
func (dir *Directory) Engines() []Engine {
	return slices.SortedFunc(maps.Values(dir.engines), func(one, two Engine) int { return cmp.Compare(one.ID.Name, two.ID.Name) })
}

// Members returns the hosts, the largest first, and equal ones by their names: after
// all were lost at once those come first that did before, whom each host that starts
// knows from the entries that outlasted them.
func (dir *Directory) Members() []Member {
	return slices.SortedFunc(maps.Values(dir.members), func(one, two Member) int {
		return cmp.Or(cmp.Compare(two.Capacity, one.Capacity), cmp.Compare(one.Name, two.Name))
	})
}

// Current returns the hosts in the same order, without those that are missing.
func (dir *Directory) Current() []Member {
	return slices.DeleteFunc(dir.Members(), func(mem Member) bool { return dir.missingMembers[mem.Name] })
}

// Missing reports whether the host's entry is gone and only held.
func (dir *Directory) Missing(name string) bool {
	return dir.missingMembers[name]
}

// Member returns the host with the epoch.
func (dir *Directory) Member(epo request.Epoch) (Member, bool) {
	for _, mem := range dir.members {
		if mem.Epoch == epo {
			return mem, true
		}
	}
	return Member{}, false
}

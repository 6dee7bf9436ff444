package mirror

import (
	"cmp"
	"slices"

	"lynxwell.dev/lynxwell/store"
)

const (
	// maxDeletions bounds the deletions that the log remembers. A reader that is further behind gets
	// all values.
	maxDeletions = 4096
	// minSuperseded is the minimum number of superseded changes for which the log is compacted.
	minSuperseded = 256
)

// changeLog holds the newest change of each key, in the order in which the changes were applied. A
// reader that is behind gets each key once, however often it has changed.
type changeLog struct {
	entries []logEntry
	// position maps each key to its index in entries.
	position   map[string]int
	superseded int
	deletions  int
	// floor is the revision after which the log is complete.
	floor store.Revision
}

// logEntry is one change. UpTo is the highest revision of this change and all before it.
type logEntry struct {
	change     store.Change
	upTo       store.Revision
	superseded bool
}

func newChangeLog() *changeLog {
	return &changeLog{position: make(map[string]int)}
}

// replace replaces the log by a complete read of the store.
func (clg *changeLog) replace(values []store.Value, rev store.Revision) {
	sorted := slices.SortedFunc(slices.Values(values), func(one, two store.Value) int {
		return cmp.Compare(one.Revision, two.Revision)
	})
	clg.entries = make([]logEntry, 0, len(sorted))
	clg.position = make(map[string]int, len(sorted))
	clg.superseded, clg.deletions, clg.floor = 0, 0, rev
	for _, val := range sorted {
		clg.append(store.Change{Value: val})
	}
}

// apply adds the changes that are newer than the known ones of their keys, and returns them.
func (clg *changeLog) apply(changes []store.Change) []store.Change {
	newer := make([]store.Change, 0, len(changes))
	for _, cha := range changes {
		if clg.isKnown(cha) {
			continue
		}
		clg.supersede(cha.Key)
		clg.append(cha)
		newer = append(newer, cha)
	}
	clg.dropDeletions()
	clg.compact()
	return newer
}

// isKnown reports whether the log has this change of a key, or a newer one.
func (clg *changeLog) isKnown(cha store.Change) bool {
	idx, found := clg.position[cha.Key]
	return found && cha.Revision <= clg.entries[idx].change.Revision
}

func (clg *changeLog) supersede(key string) {
	idx, found := clg.position[key]
	if !found {
		return
	}
	ent := &clg.entries[idx]
	if ent.change.Deleted {
		clg.deletions--
	}
	// The data of a superseded change needn't be kept until the log is compacted.
	*ent = logEntry{upTo: ent.upTo, superseded: true}
	clg.superseded++
}

func (clg *changeLog) append(cha store.Change) {
	upTo := cha.Revision
	if count := len(clg.entries); count > 0 {
		upTo = max(upTo, clg.entries[count-1].upTo)
	}
	if cha.Deleted {
		clg.deletions++
	}
	clg.position[cha.Key] = len(clg.entries)
	clg.entries = append(clg.entries, logEntry{change: cha, upTo: upTo})
}

// dropDeletions forgets the older half of the deletions once there are too many.
func (clg *changeLog) dropDeletions() {
	if clg.deletions <= maxDeletions {
		return
	}
	for idx := 0; clg.deletions > maxDeletions/2; idx++ {
		ent := clg.entries[idx]
		if !ent.change.Deleted {
			continue
		}
		clg.floor = max(clg.floor, ent.upTo)
		clg.supersede(ent.change.Key)
		delete(clg.position, ent.change.Key)
	}
}

// compact removes the superseded changes once they are half of all.
func (clg *changeLog) compact() {
	if clg.superseded < minSuperseded || 2*clg.superseded < len(clg.entries) {
		return
	}
	clg.entries = slices.DeleteFunc(clg.entries, func(ent logEntry) bool { return ent.superseded })
	clg.superseded = 0
	for idx, ent := range clg.entries {
		clg.position[ent.change.Key] = idx
	}
}

// after returns the changes after a revision, or all values and false if the log doesn't reach back
// that far.
func (clg *changeLog) after(rev store.Revision) ([]store.Change, bool) {
	if rev == 0 || rev < clg.floor {
		return clg.values(), false
	}
	var changes []store.Change
	for idx := len(clg.entries) - 1; idx >= 0 && clg.entries[idx].upTo > rev; idx-- {
		// The revision of a superseded change is 0.
		if cha := clg.entries[idx].change; cha.Revision > rev {
			changes = append(changes, cha)
		}
	}
	slices.Reverse(changes)
	return changes, true
}

func (clg *changeLog) values() []store.Change {
	changes := make([]store.Change, 0, len(clg.position))
	for _, ent := range clg.entries {
		if !ent.superseded && !ent.change.Deleted {
			changes = append(changes, ent.change)
		}
	}
	return changes
}

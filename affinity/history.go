package affinity

import (
	"maps"
	"time"
)

const (
	// MaxSoleAge is the age of a host's copy of the store up to which the host concludes from it that one version alone
	// has served.
	MaxSoleAge = 4 * time.Second
	// OpenAfter is the time after which streams may begin at an announced version although a host may not know of it:
	// that host concludes nothing any more.
	OpenAfter = MaxSoleAge + 500*time.Millisecond
	// removalMargin is for how long after a version was last seen to serve another stream may have begun at it: it may have
	// served unseen for MaxSoleAge, and another host may have begun a stream from a copy as old.
	removalMargin = 2 * OpenAfter
	// minLife is the least life of streams in a Record, and lifeStep the step to which it is rounded up, so that it
	// seldom changes.
	minLife  = 30 * time.Second
	lifeStep = 10 * time.Second
	// lostGap is the distance between the numbers of a record that the store has lost and of the one that takes its place:
	// hosts that know the lost one take it for one of which they have missed changes.
	lostGap = 2
)

// History holds which versions of each service have served lately. It has seen only what was since its process
// started; what was before is known from a Record in the store. It isn't safe for concurrent use.
type History struct {
	// began is the time of the first observation.
	began time.Time
	// lastServed is when each version of a service was last known to serve.
	lastServed map[string]map[string]time.Time
	// life is the longest life of a stream that was observed.
	life time.Duration
	// record is the newest record of the store. isComplete is set if it names all versions whose streams may live.
	record     Record
	isComplete bool
	// unstored are the versions that this host has taken out of the record, until the store has done so.
	unstored map[string][]string
	// recordLost is set if hosts had a record that the store hasn't any more.
	recordLost bool
	// known is the highest number of a record that the store had here, and older what it has instead once it has lost
	// that one: an older one, or one that was begun anew; of number 0 for none that can be read.
	known  uint64
	isLost bool
	older  Record
	// reported is the highest number of a record that another host has reported.
	reported uint64
	// era is the store's era when the record was applied last.
	era uint64
	// confirmed is a time at which the store certainly had the record, and this host was registered there; zero if there
	// was none.
	confirmed time.Time
	// announced is when this history first saw each announced version, by service.
	announced map[string]map[string]announcement
}

// announcement is when a history first saw that a version was announced in the store's era.
type announcement struct {
	// number is that of the record which it saw.
	number uint64
	at     time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{lastServed: make(map[string]map[string]time.Time), announced: make(map[string]map[string]announcement)}
}

// Observe records the versions of a service's engines at a time.
func (his *History) Observe(now time.Time, service string, versions []string) {
	if his.began.IsZero() {
		his.began = now
	}
	served := his.lastServed[service]
	if served == nil {
		served = make(map[string]time.Time)
		his.lastServed[service] = served
	}
	for _, version := range versions {
		if at, known := served[version]; !known || at.Before(now) {
			served[version] = now
		}
	}
	maps.DeleteFunc(served, func(_ string, at time.Time) bool { return now.Sub(at) > MaxKeep })
	if len(served) == 0 {
		delete(his.lastServed, service)
	}
}

// ObserveLife records for how long a stream can be resumed.
func (his *History) ObserveLife(life time.Duration) {
	his.life = max(his.life, min(life, MaxKeep))
}

// Confirm records that the store had the record at a time, and that this host was registered there. After a time for which
// that wasn't known, recorded versions may have served until now, and others that this history hasn't seen.
//
// While the store hasn't the record, hosts that know none may begin another one, and streams by that.
func (his *History) Confirm(at time.Time) {
	if his.isLost {
		return
	}
	if !his.began.IsZero() && (his.confirmed.IsZero() || at.Sub(his.confirmed) > MaxSoleAge) {
		his.Interrupt(at)
		his.began = at
	}
	if at.After(his.confirmed) {
		his.confirmed = at
	}
}

// WasConfirmed reports whether the record was ever confirmed.
func (his *History) WasConfirmed() bool { return !his.confirmed.IsZero() }

// IsCurrent reports whether the record was confirmed recently enough to conclude from it what it doesn't name.
func (his *History) IsCurrent(now time.Time) bool {
	return !his.confirmed.IsZero() && now.Sub(his.confirmed) <= MaxSoleAge
}

// Reduce records a record that names less and that the store is about to have. Until it has, other hosts may begin streams
// at what is taken out.
func (his *History) Reduce(now time.Time, rec Record, era uint64) {
	unstored := his.unstored
	if unstored == nil {
		unstored = cloneVersions(his.record.Versions)
	}
	his.apply(now, rec, era)
	his.unstored = unstored
}

// Apply records the newest record of the store, in the store's era. Versions that it names anew may have served until now,
// and so may all of them if changes of the record were missed.
func (his *History) Apply(now time.Time, rec Record, era uint64) {
	his.apply(now, rec, era)
	his.known, his.isLost, his.older = rec.Number, false, Record{}
}

func (his *History) apply(now time.Time, rec Record, era uint64) {
	former := his.record
	his.unstored = nil
	his.record, his.isComplete = rec, rec.Number > 0 && rec.Era == era
	missed := rec.Number != former.Number && rec.Number != former.Number+1
	for service, versions := range rec.Versions {
		for _, version := range versions {
			if missed || !former.Has(service, version) {
				his.Observe(now, service, []string{version})
			}
		}
	}
	his.enterEra(era)
	if missed {
		// What is announced may have been opened, taken out and announced again.
		clear(his.announced)
	}
	his.observeAnnounced(now)
}

// LoseRecord records that hosts have written a record before that the store hasn't any more: the next one may lack
// versions whose streams live, and hosts may conclude from the lost one.
func (his *History) LoseRecord() { his.recordLost = true }

// FindOlder records that the store has a record of a lower number than the one that it had before, or of number 0 for none
// that can be read. Streams may begin at the versions that it names.
func (his *History) FindOlder(now time.Time, rec Record) {
	if rec.Number >= his.known {
		return
	}
	his.isLost, his.older = true, rec
	for service, versions := range rec.Versions {
		his.Observe(now, service, versions)
	}
}

// IsLost reports whether the store has lost a record that this host knows, or of which another one has told this host,
// which knows none.
func (his *History) IsLost() bool { return his.isLost || his.record.Number == 0 && his.reported > 0 }

// ObserveReport records that another host has reported a record of a number.
func (his *History) ObserveReport(number uint64) { his.reported = max(his.reported, number) }

// enterEra records the store's era. In another one the store may have lost what was announced: hosts that don't know of it
// may confirm an earlier record.
func (his *History) enterEra(era uint64) {
	if era == his.era {
		return
	}
	his.era = era
	clear(his.announced)
}

// observeAnnounced records which versions the record announces.
func (his *History) observeAnnounced(now time.Time) {
	former := his.announced
	his.announced = make(map[string]map[string]announcement)
	for service, versions := range his.record.Announced {
		his.announced[service] = make(map[string]announcement)
		for _, version := range versions {
			ann, known := former[service][version]
			if !known {
				ann = announcement{number: his.record.Number, at: now}
			}
			his.announced[service][version] = ann
		}
	}
}

// Interrupt records that changes of the versions may have been missed until now: each recorded one may have served.
func (his *History) Interrupt(now time.Time) {
	for service, versions := range his.record.Versions {
		his.Observe(now, service, versions)
	}
	for service, versions := range his.unstored {
		his.Observe(now, service, versions)
	}
}

// Record returns the newest record of the store.
func (his *History) Record() Record { return his.record }

// covers reports whether this history, with the record, names all versions that have served within a time.
func (his *History) covers(now time.Time, within time.Duration) bool {
	return his.isComplete || his.record.Number > 0 && !his.began.IsZero() && now.Sub(his.began) >= within
}

// Sole returns the only version of a service that can have served within a time, and whether there is exactly one and
// the record is current.
func (his *History) Sole(now time.Time, service string, within time.Duration) (string, bool) {
	candidates := make(map[string]bool)
	for _, version := range his.record.Versions[service] {
		candidates[version] = true
	}
	for _, version := range his.unstored[service] {
		candidates[version] = true
	}
	for version, at := range his.lastServed[service] {
		if now.Sub(at) <= within {
			candidates[version] = true
		}
	}
	if len(candidates) != 1 || !his.IsCurrent(now) || !his.covers(now, within) {
		return "", false
	}
	for version := range candidates {
		return version, true
	}
	return "", false
}

// MustKeepOrigins reports whether the origin of each of the service's streams has to outlast all hosts, since a host
// that starts then can't tell it from the versions.
func (his *History) MustKeepOrigins(service string) bool {
	return !his.isComplete || len(his.record.Versions[service]) > 1
}

// IsOpen reports whether the record names the version of a service, and streams may begin at it.
func (his *History) IsOpen(service, version string) bool {
	return his.record.Has(service, version) && !his.record.IsAnnounced(service, version)
}

// Missing reports whether the record lacks a version that serves at the time, or announces one at which streams may begin.
func (his *History) Missing(now time.Time) bool {
	next, missing := his.withMissing(now)
	return missing || next.open(his.ready(now, 0))
}

// ready returns whether streams may begin at an announced version: all hosts that conclude from their records know the
// record of a number, or those that may not know of the version conclude nothing any more.
func (his *History) ready(now time.Time, known uint64) func(service, version string) bool {
	return func(service, version string) bool {
		ann, seen := his.announced[service][version]
		return seen && (known >= ann.number || now.Sub(ann.at) >= OpenAfter)
	}
}

// OpensIn returns the time until streams may begin at the announced version that has been so for longest, and whether
// there is one.
func (his *History) OpensIn(now time.Time) (time.Duration, bool) {
	least, found := OpenAfter, false
	for _, versions := range his.announced {
		for _, ann := range versions {
			least, found = min(least, ann.at.Add(OpenAfter).Sub(now)), true
		}
	}
	return max(0, least), found
}

// Change is how a record differs from the one before it.
type Change uint8

// The changes.
const (
	// ChangeNone means that there is none.
	ChangeNone Change = iota
	// ChangeExtends means that it names more. It is in force once it is stored.
	ChangeExtends
	// ChangeReduces means that it names less. It is in force before it is stored, since the store may carry the write
	// out late.
	ChangeReduces
)

// Next returns the record that the store has to have next in the era, and how it differs from the newest one: with all
// versions that serve now, and, once nothing has to be added, without those that haven't served within the life of a
// stream. Known is the number of the oldest record that a host may conclude from; 0 if that isn't known.
func (his *History) Next(now time.Time, era, known uint64) (Record, Change) {
	if era != his.era {
		his.enterEra(era)
		his.observeAnnounced(now)
	}
	// Hosts may have a record that the store has lost. The numbers that they report are of other records then.
	isBehind := his.reported > his.record.Number
	if isBehind {
		known = 0
	}
	next, changed := his.withMissing(now)
	if next.Number == 0 && !changed {
		// No version serves yet. The first record is the only one that opens its versions at once.
		return his.record, ChangeNone
	}
	if next.open(his.ready(now, known)) {
		changed = true
	}
	if life := max(minLife, (his.life + lifeStep - 1).Truncate(lifeStep)); life > next.Life {
		next.Life, changed = life, true
	}
	switch {
	case next.Number == 0 && (his.recordLost || his.reported > 0 || era > 0):
		next.Era = NoEra
	case next.Number == 0:
		// The first host that reads a store without a record is the first of all hosts, unless the store was restored.
		next.Era = era
	case isBehind:
		// They follow a record of a higher number, which may lack what the lost one names.
		next.Era, changed = NoEra, true
	case next.Era != era && his.IsCurrent(now) && now.Sub(his.began) > next.Life:
		next.Era, changed = era, true
		his.addSeen(now, &next)
	}
	next.Number = his.nextNumber()
	if changed {
		return next, ChangeExtends
	}
	removed := next.keepOnly(func(service, version string) bool {
		at, known := his.lastServed[service][version]
		return known && now.Sub(at) <= next.Life+removalMargin
	})
	if removed {
		// It is in force at once, so that it has to give way to one that another host has written meanwhile.
		next.Number = his.record.Number + 1
		return next, ChangeReduces
	}
	return his.record, ChangeNone
}

// nextNumber returns the number of the record that follows the newest one. If hosts have reported a higher one, which the
// store has lost, it is beyond that, with a gap by which they see that they have missed changes.
func (his *History) nextNumber() uint64 {
	if his.reported > his.record.Number {
		return his.reported + lostGap
	}
	return his.record.Number + 1
}

// Restore returns the record that the store has to have if it has a lower one than the newest: that one with all versions
// that may have begun streams meanwhile.
func (his *History) Restore(now time.Time) Record {
	next := his.record.clone()
	added := his.addSeen(now, &next)
	switch {
	case his.isLost:
		for service, versions := range his.older.Versions {
			for _, version := range versions {
				next.add(service, version, true)
			}
		}
		next.Life = max(next.Life, his.older.Life)
		next.Number = max(next.Number, his.reported) + lostGap
		if !his.IsCurrent(now) {
			// Other hosts may have known a newer one.
			next.Era = NoEra
		}
	case added:
		next.Number++
	}
	return next
}

// addSeen adds the versions that have served within the life of a stream, and reports whether the record lacked any.
func (his *History) addSeen(now time.Time, rec *Record) bool {
	added := false
	for service, served := range his.lastServed {
		for version, at := range served {
			if now.Sub(at) <= rec.Life+removalMargin && rec.add(service, version, true) {
				added = true
			}
		}
	}
	return added
}

// withMissing returns the record with the versions that serve at the time, and whether it lacked any. One that is added to
// an earlier record is announced: a host may still conclude from that one.
func (his *History) withMissing(now time.Time) (Record, bool) {
	next, missing := his.record.clone(), false
	// A restored store may have lost an earlier record.
	announce := his.record.Number > 0 || his.recordLost || his.reported > 0 || his.era > 0
	for service, served := range his.lastServed {
		for version, at := range served {
			if !at.Before(now) && next.add(service, version, announce) {
				missing = true
			}
		}
	}
	return next, missing
}

// Served returns when each version of each service was last known to serve.
func (his *History) Served() map[string]map[string]time.Time {
	all := make(map[string]map[string]time.Time, len(his.lastServed))
	for service, served := range his.lastServed {
		all[service] = maps.Clone(served)
	}
	return all
}

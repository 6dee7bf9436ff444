package affinity

import (
	"math"
	"slices"
	"time"
)

// NoEra is the era of a record that hasn't been complete in any.
const NoEra uint64 = math.MaxUint64

// Record is what the store holds of the versions that may have begun streams that still live. It outlasts all hosts.
type Record struct {
	// Number counts the changes of the record; 0 stands for no record.
	Number uint64
	// Era is the store's era in which the record was complete. In a later one the store may have lost changes of it.
	Era uint64
	// Life is the longest time for which a stream can be resumed.
	Life time.Duration
	// Versions are the versions by service, in ascending order.
	Versions map[string][]string
	// Announced are those of them at which no stream may begin yet, since a host may not know of them.
	Announced map[string][]string `json:",omitempty"`
}

// Has reports whether the record names the version of a service.
func (rec Record) Has(service, version string) bool {
	return slices.Contains(rec.Versions[service], version)
}

// IsAnnounced reports whether the record names the version of a service as one at which no stream may begin yet.
func (rec Record) IsAnnounced(service, version string) bool {
	return slices.Contains(rec.Announced[service], version)
}

// clone returns a copy that may be changed.
func (rec Record) clone() Record {
	rec.Versions = cloneVersions(rec.Versions)
	if rec.Announced != nil {
		rec.Announced = cloneVersions(rec.Announced)
	}
	return rec
}

// cloneVersions returns a copy of versions by service.
func cloneVersions(versions map[string][]string) map[string][]string {
	cloned := make(map[string][]string, len(versions))
	for service, list := range versions {
		cloned[service] = slices.Clone(list)
	}
	return cloned
}

// add adds a version, announced or open, and reports whether it was missing.
func (rec *Record) add(service, version string, announce bool) bool {
	if rec.Has(service, version) {
		return false
	}
	rec.Versions[service] = append(rec.Versions[service], version)
	slices.Sort(rec.Versions[service])
	if announce {
		if rec.Announced == nil {
			rec.Announced = make(map[string][]string)
		}
		rec.Announced[service] = append(rec.Announced[service], version)
		slices.Sort(rec.Announced[service])
	}
	return true
}

// open lets streams begin at the announced versions for which ready returns true, and reports whether there are any.
func (rec *Record) open(ready func(service, version string) bool) bool {
	return removeVersions(rec.Announced, ready)
}

// keepOnly removes the versions for which keep returns false, and reports whether it removed any.
func (rec *Record) keepOnly(keep func(service, version string) bool) bool {
	remove := func(service, version string) bool { return !keep(service, version) }
	removed := removeVersions(rec.Versions, remove)
	removeVersions(rec.Announced, remove)
	return removed
}

// removeVersions removes the versions for which remove returns true, and reports whether there are any.
func removeVersions(versions map[string][]string, remove func(service, version string) bool) bool {
	removed := false
	for service, list := range versions {
		kept := slices.DeleteFunc(slices.Clone(list), func(version string) bool { return remove(service, version) })
		removed = removed || len(kept) < len(list)
		versions[service] = kept
		if len(kept) == 0 {
			delete(versions, service)
		}
	}
	return removed
}

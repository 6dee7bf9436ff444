package affinity

import (
	"slices"
	"time"
)

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
}

// Has reports whether the record names the version of a service.
func (rec Record) Has(service, version string) bool {
	return slices.Contains(rec.Versions[service], version)
}

// clone returns a copy that may be changed.
func (rec Record) clone() Record {
	versions := make(map[string][]string, len(rec.Versions))
	for service, list := range rec.Versions {
		versions[service] = slices.Clone(list)
	}
	rec.Versions = versions
	return rec
}

// add adds a version and reports whether it was missing.
func (rec *Record) add(service, version string) bool {
	if rec.Has(service, version) {
		return false
	}
	rec.Versions[service] = append(rec.Versions[service], version)
	slices.Sort(rec.Versions[service])
	return true
}

// keepOnly removes the versions for which keep returns false, and reports whether it removed any.
func (rec *Record) keepOnly(keep func(service, version string) bool) bool {
	removed := false
	for service, list := range rec.Versions {
		kept := slices.DeleteFunc(slices.Clone(list), func(version string) bool { return !keep(service, version) })
		removed = removed || len(kept) < len(list)
		rec.Versions[service] = kept
		if len(kept) == 0 {
			delete(rec.Versions, service)
		}
	}
	return removed
}

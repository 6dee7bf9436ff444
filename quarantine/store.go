package quarantine

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/call"
)

// Hold is a held request as stored, which outlasts the loss of all hosts.
type Hold struct {
	Subject
	// Ends are the crashes of the engines that ran the request.
	Ends []Crash
	// Until is the wall-clock time at which the hold expires; zero means that it lasts until an
	// operator releases the request.
	Until  time.Time
	Trials int
}

// storedHold holds the fields of a stored hold whose changes require a new write.
type storedHold struct {
	trials     int
	indefinite bool
}

// ApplyStored applies the held requests read from the store. A request that was there at the
// last read and is missing now was released or cleared by another host.
func (reg *Registry) ApplyStored(now time.Time, holds []Hold) {
	previous := reg.stored
	reg.stored = make(map[call.Digest]storedHold, len(holds))
	for _, hol := range holds {
		reg.stored[hol.Digest] = storedHold{trials: hol.Trials, indefinite: hol.Until.IsZero()}
		reg.Merge(now, Report{Subject: hol.Subject, Crashes: hol.Ends, Held: true, Indefinite: hol.Until.IsZero(), Remaining: hol.Until.Sub(now), Trials: hol.Trials})
	}
	for dig := range previous {
		if _, found := reg.stored[dig]; !found {
			reg.clearFromPeer(now, dig, KindReleased)
		}
	}
}

// HoldsToStore returns the holds to be stored, sorted by digest, and whether they differ from
// those last read from the store.
func (reg *Registry) HoldsToStore() ([]Hold, bool) {
	var holds []Hold
	differs := false
	for dig, cas := range reg.cases {
		if !cas.Held {
			continue
		}
		known, stored := reg.stored[dig]
		differs = differs || !stored || known != (storedHold{trials: cas.Trials, indefinite: cas.Until.IsZero()})
		holds = append(holds, Hold{Subject: cas.Subject, Ends: slices.Clone(cas.Crashes), Until: cas.Until, Trials: cas.Trials})
	}
	slices.SortFunc(holds, func(one, two Hold) int { return slices.Compare(one.Digest[:], two.Digest[:]) })
	return holds, differs || len(holds) != len(reg.stored)
}

package quarantine

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/call"
)

// Hold is a held request as the store keeps it: what has to outlast the loss of all hosts.
type Hold struct {
	Subject
	// Ends are those of the engines that ran it.
	Ends []End
	// Until is by the time of day; zero stands for good.
	Until  time.Time
	Trials int
}

// storedHold is what of a stored hold tells whether it is as it should be.
type storedHold struct {
	trials  int
	forGood bool
}

// TakeStored takes the held requests that the store was read to hold. One that was there
// before and is gone was freed by another host.
func (reg *Registry) TakeStored(now time.Time, holds []Hold) {
	former := reg.stored
	reg.stored = make(map[call.Digest]storedHold, len(holds))
	for _, hol := range holds {
		reg.stored[hol.Digest] = storedHold{trials: hol.Trials, forGood: hol.Until.IsZero()}
		reg.Merge(now, Report{Subject: hol.Subject, Ends: hol.Ends, Held: true, ForGood: hol.Until.IsZero(), Left: hol.Until.Sub(now), Trials: hol.Trials})
	}
	for dig := range former {
		if _, still := reg.stored[dig]; !still {
			reg.clearHeard(now, dig, KindFreed)
		}
	}
}

// ToStore returns the held requests as the store should hold them, sorted by their
// digests, and whether that differs from what it was last read to hold.
func (reg *Registry) ToStore() ([]Hold, bool) {
	var holds []Hold
	differs := false
	for dig, cas := range reg.cases {
		if !cas.Held {
			continue
		}
		known, stored := reg.stored[dig]
		differs = differs || !stored || known != (storedHold{trials: cas.Trials, forGood: cas.Until.IsZero()})
		holds = append(holds, Hold{Subject: cas.Subject, Ends: slices.Clone(cas.Ends), Until: cas.Until, Trials: cas.Trials})
	}
	slices.SortFunc(holds, func(one, two Hold) int { return slices.Compare(one.Digest[:], two.Digest[:]) })
	return holds, differs || len(holds) != len(reg.stored)
}

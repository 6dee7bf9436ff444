package limitshare

import (
	"maps"
	"slices"
	"time"
)

// Ledger says which share of the limits belongs to which host, by the host's name. The shares are never
// more than the whole together.
type Ledger struct {
	// Version counts the changes of the ledger, from 1 on; 0 if there is no ledger yet.
	Version uint64
	Shares  map[string]Share
}

// Of returns the share of a host.
func (led Ledger) Of(name string) Share { return led.Shares[name] }

// Total returns the sum of all shares.
func (led Ledger) Total() Share {
	var total Share
	for _, sha := range led.Shares {
		total += sha
	}
	return total
}

// IsValid reports whether no share is negative and the shares aren't more than the whole together.
func (led Ledger) IsValid() bool {
	for _, sha := range led.Shares {
		if sha < 0 || sha > Whole {
			return false
		}
	}
	return led.Total() <= Whole
}

// next returns a copy of the ledger with the next version.
func (led Ledger) next() Ledger {
	next := Ledger{Version: led.Version + 1, Shares: maps.Clone(led.Shares)}
	if next.Shares == nil {
		next.Shares = make(map[string]Share)
	}
	return next
}

const (
	// absenceTime is how long a host has to be absent before the ledger takes its share away: a restart
	// takes less.
	absenceTime = 5 * time.Second
	// briefAbsenceTime is the same if the hosts that are present hold less than littleShare, so that they serve
	// little. No host may have joined for as long: others may be starting.
	briefAbsenceTime = 2 * time.Second
	littleShare      = Whole / 3
	// longAbsenceTime is the same if the hosts that are present don't hold most shares, and can't know
	// whether those that do run elsewhere and spend them without confirmation.
	longAbsenceTime = 20 * time.Second
	// maxShrink is the share that one change of the ledger takes from hosts that are present, to have it for new ones:
	// nobody spends it for settleTime.
	maxShrink = Whole / 10
	// foundingQuiet is how long the list of hosts must not have changed before the first ledger is made: hosts start
	// together, and a later host gets its share only step by step. It is made after foundingLimit in any case.
	foundingQuiet = 300 * time.Millisecond
	foundingLimit = 3 * time.Second
	// minDifference is the difference between a host's share and an equal one below which the ledger isn't changed,
	// as a fraction of the equal one.
	minDifference = 0.1
)

// Planner decides on changes of the ledger, at the coordinator. It isn't safe for concurrent use.
type Planner struct {
	// version is that of the ledger when it was last observed, total the sum of its shares. takenAt is when a ledger was
	// first observed that may have taken a share away.
	version uint64
	total   Share
	takenAt time.Time
	// known are the hosts that were present when the planner last planned. joinedAt is when another one joined them.
	known    map[string]bool
	joinedAt time.Time
	// absentSince is when hosts with a share were first found absent.
	absentSince map[string]time.Time
	// founders are the hosts that were present when there was no ledger, unchanged since foundersSince. The first of
	// them was found at foundingSince.
	founders      []string
	foundersSince time.Time
	foundingSince time.Time
}

// NewPlanner returns a planner that has observed nothing yet.
func NewPlanner() *Planner {
	return &Planner{absentSince: make(map[string]time.Time)}
}

// Observation is what a coordinator knows when it plans.
type Observation struct {
	Ledger Ledger
	// Present are the hosts that are listed in the store, or have a session with the coordinator.
	Present []string
	// Leaving are those of them that aren't listed, since they stop: they keep their shares and get no more.
	Leaving []string
	// Usable is the share that the coordinator may spend.
	Usable Share
	// Use is how long all hosts spend shares without confirmation.
	Use Use
}

// Plan returns the ledger to be written, and whether it differs from the known one. Without a ledger, the
// present hosts get equal shares. Afterwards a share is first taken away, and given to another host only
// once its former owner can't spend it any more.
func (pla *Planner) Plan(now time.Time, obs Observation) (Ledger, bool) {
	present := make(map[string]bool, len(obs.Present))
	for _, name := range obs.Present {
		present[name] = true
	}
	if obs.Ledger.Version == 0 {
		return pla.found(now, slices.Sorted(maps.Keys(present)))
	}
	pla.observe(now, obs.Ledger, present)
	owners := pla.owners(now, obs, present)
	if next, changed := dropAbsent(obs.Ledger, owners); changed {
		return next, true
	}
	for name := range present {
		if !slices.Contains(obs.Leaving, name) {
			owners[name] = true
		}
	}
	if now.Sub(pla.takenAt) < obs.Use.settleTime() || len(owners) == 0 {
		return Ledger{}, false
	}
	if next, changed := grant(obs.Ledger, slices.Sorted(maps.Keys(owners))); changed {
		return next, true
	}
	return shrink(obs.Ledger, owners)
}

// observe records the ledger and the hosts that are present.
func (pla *Planner) observe(now time.Time, led Ledger, present map[string]bool) {
	total := led.Total()
	// A change that leaves the sum as it is, or adds to it, takes nothing for which somebody has to wait. Of changes
	// that this host hasn't seen one by one that isn't known.
	takesNothing := led.Version == pla.version+1 && pla.version > 0 && total >= pla.total
	if led.Version != pla.version && !takesNothing {
		pla.takenAt = now
	}
	pla.version, pla.total = led.Version, total
	for name := range present {
		if !pla.known[name] {
			pla.joinedAt = now
		}
	}
	pla.known = present
}

// found returns the first ledger once the hosts are known.
func (pla *Planner) found(now time.Time, hosts []string) (Ledger, bool) {
	if pla.foundingSince.IsZero() {
		pla.foundingSince = now
	}
	if !slices.Equal(hosts, pla.founders) {
		pla.founders, pla.foundersSince = hosts, now
	}
	if now.Sub(pla.foundersSince) < foundingQuiet && now.Sub(pla.foundingSince) < foundingLimit {
		return Ledger{}, false
	}
	return grant(Ledger{}, hosts)
}

// absenceLimit returns how long hosts have to be absent before they lose their shares.
func (pla *Planner) absenceLimit(now time.Time, obs Observation) time.Duration {
	switch {
	case obs.Usable.IsMajority():
		return absenceTime
	case !obs.Use.MajorityIsBound:
		return longAbsenceTime
	case obs.Usable < littleShare && now.Sub(pla.joinedAt) >= briefAbsenceTime:
		return briefAbsenceTime
	default:
		return absenceTime
	}
}

// owners returns the hosts with a share that keep it: all but those that have been absent for long.
func (pla *Planner) owners(now time.Time, obs Observation, present map[string]bool) map[string]bool {
	limit := pla.absenceLimit(now, obs)
	owners := make(map[string]bool)
	for name, sha := range obs.Ledger.Shares {
		if present[name] {
			delete(pla.absentSince, name)
		} else if _, known := pla.absentSince[name]; !known {
			pla.absentSince[name] = now
		}
		since, absent := pla.absentSince[name]
		if sha > 0 && (!absent || now.Sub(since) < limit) {
			owners[name] = true
		}
	}
	maps.DeleteFunc(pla.absentSince, func(name string, _ time.Time) bool { return obs.Ledger.Shares[name] == 0 })
	return owners
}

// dropAbsent takes the shares of all but the owners away.
func dropAbsent(led Ledger, owners map[string]bool) (Ledger, bool) {
	next := led.next()
	maps.DeleteFunc(next.Shares, func(name string, _ Share) bool { return !owners[name] })
	return next, len(next.Shares) < len(led.Shares)
}

// grant gives what belongs to nobody to the hosts that have less than an equal share.
func grant(led Ledger, hosts []string) (Ledger, bool) {
	next := led.next()
	spare := Whole - led.Total()
	equal := Whole / Share(max(1, len(hosts)))
	changed := false
	for _, name := range hosts {
		missing := min(equal-next.Shares[name], spare)
		if missing <= 0 || float64(missing) < minDifference*float64(equal) {
			continue
		}
		next.Shares[name] += missing
		spare -= missing
		changed = true
	}
	return next, changed
}

// shrink takes shares from hosts that have more than an equal one, at most maxShrink in total, if others have less.
func shrink(led Ledger, hosts map[string]bool) (Ledger, bool) {
	equal := Whole / Share(max(1, len(hosts)))
	var wanted Share
	for name := range hosts {
		if missing := equal - led.Of(name); float64(missing) >= minDifference*float64(equal) {
			wanted += missing
		}
	}
	wanted = min(wanted-(Whole-led.Total()), maxShrink)
	next := led.next()
	changed := false
	for _, name := range slices.Sorted(maps.Keys(led.Shares)) {
		taken := min(led.Of(name)-equal, wanted)
		if taken <= 0 {
			continue
		}
		next.Shares[name] -= taken
		wanted -= taken
		changed = true
	}
	return next, changed
}

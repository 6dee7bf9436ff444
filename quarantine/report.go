package quarantine

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/call"
)

// Kind is the kind of a change of a case.
type Kind uint8

// The kinds of changes.
const (
	// KindWatched means that the request was part of its first crash.
	KindWatched Kind = iota
	// KindSuspected means that the request runs exclusively from now on.
	KindSuspected
	// KindHeld means that the request isn't run from now on.
	KindHeld
	// KindCleared means that the request was answered, that no engine of its recorded crashes had
	// in fact crashed, or that another host reported it as cleared.
	KindCleared
	// KindReleased means that an operator released the request, or that another host removed its
	// hold from the store.
	KindReleased
	// KindPruned means that the case was removed because it expired or there were too many.
	KindPruned
)

// String returns the kind's name.
func (kin Kind) String() string {
	names := [...]string{"Watched", "Suspected", "Held", "Acquitted", "Freed", "Forgotten"}
	if int(kin) >= len(names) {
		return "Invalid"
	}
	return names[kin]
}

// Change is a change of a case, for the log and for other hosts.
type Change struct {
	Kind Kind
	// Case is the case after the change or, if the change removed it, before the change.
	Case Case
	// Report is sent to other hosts.
	Report Report
	// ClearedByPeer reports whether another host has cleared or released the request. It isn't set
	// for the other kinds of changes, even if the report of another host caused them.
	ClearedByPeer bool
}

// ConcernsGateways reports whether the change is sent to gateways whose requests this host
// schedules. Gateways receive the changes of a request from its second crash on.
func (cha Change) ConcernsGateways() bool {
	switch cha.Kind {
	case KindSuspected, KindHeld:
		return true
	case KindCleared, KindReleased:
		return cha.Case.Held || len(cha.Case.Crashes) > 1
	case KindWatched, KindPruned:
		return false
	default:
		return false
	}
}

// Report is the message in which hosts exchange a case. It holds remaining times instead of
// points in time, since the clocks of hosts differ.
type Report struct {
	Subject
	Crashes []Crash
	Held    bool
	// Indefinite reports whether the request is held until an operator releases it. If not,
	// Remaining is how much longer it is held.
	Indefinite bool
	Remaining  time.Duration
	Trials     int
	// Cleared reports whether the request was cleared or released, which voids all evidence
	// against it.
	Cleared bool
}

func (cas *Case) report(now time.Time) Report {
	rep := Report{Subject: cas.Subject, Crashes: slices.Clone(cas.Crashes), Held: cas.Held, Trials: cas.Trials}
	rep.Indefinite = cas.Held && cas.Until.IsZero()
	if cas.Held && !rep.Indefinite {
		rep.Remaining = cas.Until.Sub(now)
	}
	return rep
}

// recordChange appends a change of a case to those that Changes returns.
func (reg *Registry) recordChange(now time.Time, kin Kind, cas *Case) {
	copied := *cas
	copied.Crashes = slices.Clone(cas.Crashes)
	cha := Change{Kind: kin, Case: copied, Report: cas.report(now)}
	cha.Report.Cleared = kin == KindCleared || kin == KindReleased
	reg.changes = append(reg.changes, cha)
}

// recordLevel records a change if the case has reached a higher level, is new, or is updated
// while the request is suspected after a hold.
func (reg *Registry) recordLevel(now time.Time, cas *Case, before Level, known bool) {
	level := cas.level(now, reg.cfg)
	switch {
	case level == LevelHeld && before != LevelHeld:
		reg.recordChange(now, KindHeld, cas)
	case level == LevelSuspected && (before != LevelSuspected || cas.Held):
		reg.recordChange(now, KindSuspected, cas)
	case !known:
		reg.recordChange(now, KindWatched, cas)
	}
}

// Changes returns the changes of cases since the last call, in order.
func (reg *Registry) Changes() []Change {
	all := reg.changes
	reg.changes = nil
	return all
}

// Reports returns reports of at most limit cases of the level lowest or above, those of the highest
// level first.
func (reg *Registry) Reports(now time.Time, lowest Level, limit int) []Report {
	if len(reg.cases) == 0 {
		return nil
	}
	var reports []Report
	for _, cas := range reg.Cases(now) {
		if len(reports) >= limit || cas.level(now, reg.cfg) < lowest {
			break
		}
		reports = append(reports, cas.report(now))
	}
	return reports
}

// Merge applies the report of another host. The crashes of both hosts are combined, the longer
// hold applies, and a request that was cleared there is cleared here. The result depends neither
// on the order of the reports nor on repetitions.
func (reg *Registry) Merge(now time.Time, rep Report) {
	if rep.Digest == (call.Digest{}) {
		return
	}
	if rep.Cleared {
		reg.clearFromPeer(now, rep.Digest, KindCleared)
		return
	}
	if at, cleared := reg.cleared[rep.Digest]; cleared && now.Sub(at) <= clearedTTL {
		return
	}
	reg.prune(now)
	reg.version++
	cas := reg.cases[rep.Digest]
	if cas == nil {
		cas = &Case{Subject: rep.Subject, Seen: now}
		reg.cases[rep.Digest] = cas
	}
	before := cas.level(now, reg.cfg)
	known := len(cas.Crashes) > 0
	for _, cra := range rep.Crashes[:min(maxCrashes, len(rep.Crashes))] {
		if cas.mergeCrash(now, cra) {
			cas.Seen = now
		}
	}
	if rep.Held {
		newlyHeld := !cas.Held
		cas.mergeHold(now, rep)
		if newlyHeld {
			reg.limitHeld(now)
		}
	} else if !cas.Held && cas.reachesHold(reg.cfg) {
		reg.updateHold(now, cas)
	}
	reg.recordLevel(now, cas, before, known)
}

// mergeHold applies another host's hold if it is the longer one.
func (cas *Case) mergeHold(now time.Time, rep Report) {
	cas.Trials = max(cas.Trials, rep.Trials)
	until := now.Add(rep.Remaining)
	switch {
	case rep.Indefinite:
		cas.Until = time.Time{}
	case !cas.Held || !cas.Until.IsZero() && until.After(cas.Until):
		cas.Until = until
	}
	cas.Held = true
}

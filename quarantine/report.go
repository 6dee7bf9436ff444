package quarantine

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/call"
)

// Kind says what has become of a case.
type Kind uint8

// The kinds of changes.
const (
	// KindWatched is a request's first end.
	KindWatched Kind = iota
	// KindSuspected is one that runs alone from now on.
	KindSuspected
	// KindHeld is one that isn't run from now on.
	KindHeld
	// KindAcquitted is one that was answered.
	KindAcquitted
	// KindFreed is one that an operator let go.
	KindFreed
	// KindForgotten is one that is remembered no longer.
	KindForgotten
)

// String returns the kind's name.
func (kin Kind) String() string {
	names := [...]string{"Watched", "Suspected", "Held", "Acquitted", "Freed", "Forgotten"}
	if int(kin) >= len(names) {
		return "Invalid"
	}
	return names[kin]
}

// Change is something that has become of a case, for the log and for other hosts.
type Change struct {
	Kind Kind
	// Case is as it is now; for one that is cleared or forgotten, as it was.
	Case Case
	// Report is what other hosts are told.
	Report Report
	// Heard says that another host told of it.
	Heard bool
}

// Spreads reports whether hosts that don't decide have to know: those are told of requests
// from their second end on.
func (cha Change) Spreads() bool {
	switch cha.Kind {
	case KindSuspected, KindHeld:
		return true
	case KindAcquitted, KindFreed:
		return cha.Case.Held || len(cha.Case.Ends) > 1
	case KindWatched, KindForgotten:
		return false
	default:
		return false
	}
}

// Report is what hosts tell one another of a case. Times are told as how much is left, as
// hosts' clocks differ.
type Report struct {
	Subject
	Ends []End
	Held bool
	// ForGood says that it is held until an operator frees it, Left for how much longer it
	// is held else.
	ForGood bool
	Left    time.Duration
	Trials  int
	// Cleared says that the request was answered, or freed: nothing of it holds any more.
	Cleared bool
}

func (cas *Case) report(now time.Time) Report {
	rep := Report{Subject: cas.Subject, Ends: slices.Clone(cas.Ends), Held: cas.Held, Trials: cas.Trials}
	rep.ForGood = cas.Held && cas.Until.IsZero()
	if cas.Held && !rep.ForGood {
		rep.Left = cas.Until.Sub(now)
	}
	return rep
}

// change notes what has become of a case.
func (reg *Registry) change(now time.Time, kin Kind, cas *Case) {
	copied := *cas
	copied.Ends = slices.Clone(cas.Ends)
	cha := Change{Kind: kin, Case: copied, Report: cas.report(now)}
	cha.Report.Cleared = kin == KindAcquitted || kin == KindFreed
	reg.changes = append(reg.changes, cha)
}

// tell notes a case that has reached another level, or holds for longer.
func (reg *Registry) tell(now time.Time, cas *Case, before Level, known bool) {
	level := cas.level(now, reg.cfg)
	switch {
	case level == LevelHeld && before != LevelHeld:
		reg.change(now, KindHeld, cas)
	case level == LevelSuspected && (before != LevelSuspected || cas.Held):
		reg.change(now, KindSuspected, cas)
	case !known:
		reg.change(now, KindWatched, cas)
	}
}

// Changes returns what has become of cases since it was last called, in order.
func (reg *Registry) Changes() []Change {
	all := reg.changes
	reg.changes = nil
	return all
}

// Reports returns what another host is told of all cases at a level or above, those with
// most against them first, so many at most.
func (reg *Registry) Reports(now time.Time, least Level, most int) []Report {
	if len(reg.cases) == 0 {
		return nil
	}
	var told []Report
	for _, cas := range reg.Cases(now) {
		if len(told) >= most || cas.level(now, reg.cfg) < least {
			break
		}
		told = append(told, cas.report(now))
	}
	return told
}

// Merge takes what another host tells of a case. Ends add up, the longer hold holds, and
// what is cleared there is cleared here; in whatever order, and however often, it is told.
func (reg *Registry) Merge(now time.Time, rep Report) {
	if rep.Digest == (call.Digest{}) {
		return
	}
	if rep.Cleared {
		reg.clearHeard(now, rep.Digest, KindAcquitted)
		return
	}
	if at, cleared := reg.cleared[rep.Digest]; cleared && now.Sub(at) <= clearedFor {
		return
	}
	reg.forget(now)
	reg.version++
	cas := reg.cases[rep.Digest]
	if cas == nil {
		cas = &Case{Subject: rep.Subject, Seen: now}
		reg.cases[rep.Digest] = cas
	}
	before := cas.level(now, reg.cfg)
	known := len(cas.Ends) > 0
	for _, end := range rep.Ends[:min(maxEnds, len(rep.Ends))] {
		if cas.mergeEnd(now, end) {
			cas.Seen = now
		}
	}
	if rep.Held {
		newly := !cas.Held
		cas.hold(now, rep)
		if newly {
			reg.boundHeld(now)
		}
	} else if !cas.Held && cas.provedBy(reg.cfg) {
		reg.judge(now, cas)
	}
	reg.tell(now, cas, before, known)
}

// hold takes another host's hold where it is the longer one.
func (cas *Case) hold(now time.Time, rep Report) {
	cas.Trials = max(cas.Trials, rep.Trials)
	until := now.Add(rep.Left)
	switch {
	case rep.ForGood:
		cas.Until = time.Time{}
	case !cas.Held || !cas.Until.IsZero() && until.After(cas.Until):
		cas.Until = until
	}
	cas.Held = true
}

package rollout

import (
	"time"
)

// phase is what a running roll-out is at.
type phase uint8

const (
	// phaseProving gives the new version a bounded part of the requests.
	phaseProving phase = iota
	// phaseMoving gives it the requests that couldn't be sent again, while the former
	// engines end those that they have.
	phaseMoving
	// phaseClosing gives it all that begins, for the last moments of the former engines.
	phaseClosing
)

const (
	// exposureMargin is the part of the allowed share that is used before the version is
	// known to be good. The rest is for what a version that turns bad late gets while that
	// is found out, and for requests that are counted here and never reach an engine.
	exposureMargin = 0.6
	// slackMargin is the same for the slack: a first look at a version needs some answers
	// before many requests have passed.
	slackMargin = 0.5
	// moveAt is the part of the period after which a version that is known to be good gets
	// more: some turn bad only after a while, and streams need seconds to end. One that
	// turns bad later still may get more than the users allow.
	moveAt = 0.7
	// decideAt is the part after which a version whose requests were too few to know is
	// judged by what there is.
	decideAt = 0.85
	// closingTime is for how long the former engines go on with what can be sent again.
	closingTime = 700 * time.Millisecond
	// leastAnswers is how many answers that takes.
	leastAnswers = 10
	// loadedAnswers is how many answers a version must have given under load.
	loadedAnswers = 20
	// routeAnswers is from how many answers on a route counts: before, nothing can be known
	// of it, and what is known of the others must do.
	routeAnswers = 30
	// neededRoom is how many slots the new engines need for each of the former ones.
	neededRoom = 0.8
	// trialEvery is how many requests the former version is given between two trials: its
	// answers at the same time tell a trouble of all from one of the new version.
	trialEvery = 4
	// writePause is the least time between two writes of a ledger: each is a call to the
	// store and a change that all hosts read.
	writePause = 500 * time.Millisecond
	// chunk is how many more requests make a write worth it.
	chunk = 10
	// retryWrite is after what time a write that wasn't answered, or not seen, is made
	// again: the store answers in milliseconds, and changes are read within half a second.
	retryWrite = time.Second
	// chargeLapse is after what time without deciding a host isn't in charge any more: five
	// times as long as from one decision to the next.
	chargeLapse = 500 * time.Millisecond
)

// Rollout is one service's move to a version.
type Rollout struct {
	cfg Config
	// isBad is the test by which a version is found to be bad.
	isBad    func(Counts) bool
	standing Standing
	state    State
	// reason says why the state is what it is.
	reason string
	phase  phase
	began  time.Time
	// mine is how many requests the ledger holds for this host to give, given how many of
	// them it gave.
	mine  int
	given int
	// sinceTrial is how many requests were given since the last trial.
	sinceTrial int
	// fresh is what was seen since the ledger was last written, sent what a write holds
	// that isn't answered yet.
	fresh   Tally
	sent    Tally
	sending bool
	speed   speed
	// running are the routes' running ratios.
	running map[string]*running
	// ledgerAt and stateAt are when both were last asked to be written.
	ledgerAt time.Time
	stateAt  time.Time
	// asked is the state that was last asked to be written.
	asked State
	// closingAt is when the last phase began.
	closingAt time.Time
	// decidedAt is when this host last decided as the one in charge.
	decidedAt time.Time
}

// New returns the roll-out of an order as the store knows it.
func New(cfg Config, std Standing) *Rollout {
	rol := &Rollout{sinceTrial: trialEvery, cfg: cfg, isBad: Counts.isBad, running: make(map[string]*running), state: StateRunning, reason: "ordered"}
	rol.Adopt(std)
	if std.state() == StateNone && std.State == StateCompleted && std.StateVersion == std.Order.Version {
		// All requests go to the version since a former order.
		rol.end(StateCompleted, "the version serves already")
	}
	return rol
}

// Order returns what was ordered.
func (rol *Rollout) Order() Order { return rol.standing.Order }

// State returns how far the roll-out is, as this host knows.
func (rol *Rollout) State() State { return rol.state }

// IsOver reports whether the end of the roll-out stands in the store.
func (rol *Rollout) IsOver() bool {
	return rol.state.IsEnd() && rol.standing.state() == rol.state
}

// Adopt takes what the store holds now. An end that was told there goes before what this
// host had in mind: there is only one.
func (rol *Rollout) Adopt(std Standing) {
	if std.Ledger.Order != std.Order.Revision {
		std.Ledger = Ledger{Order: std.Order.Revision, Version: std.Order.Version}
	}
	if std.LedgerRevision < rol.standing.LedgerRevision {
		std.Ledger, std.LedgerRevision = rol.standing.Ledger, rol.standing.LedgerRevision
	}
	if std.LedgerRevision > rol.standing.LedgerRevision && std.Ledger.Writer == rol.cfg.Self && rol.isSending() {
		// The write's answer was lost or is on its way; what it holds is this host's.
		rol.mine += std.Ledger.Reserved - rol.standing.Ledger.Reserved
		rol.sent, rol.sending = Tally{}, false
	}
	if std.StateRevision < rol.standing.StateRevision {
		std.State, std.StateVersion, std.StateRevision = rol.standing.State, rol.standing.StateVersion, rol.standing.StateRevision
	}
	rol.standing = std
	if !std.Ledger.Began.IsZero() {
		rol.began = std.Ledger.Began
	}
	if told := std.state(); told.IsEnd() && told != rol.state {
		rol.state, rol.reason = told, "told by another host"
	}
}

// tally returns all that was seen.
func (rol *Rollout) tally() Tally {
	return rol.standing.Ledger.Tally.plus(rol.sent).plus(rol.fresh)
}

// Access returns to which engines a request may go. A host that has nothing reserved
// gives the new version nothing.
func (rol *Rollout) Access(now time.Time, req Request) Access {
	inCharge := now.Sub(rol.decidedAt) < chargeLapse
	switch {
	case rol.state == StateCompleted:
		return Access{Former: true, New: true}
	case rol.state == StateRolledBack:
		return Access{Former: true}
	case !inCharge:
		return Access{Former: true}
	case rol.phase == phaseClosing:
		return Access{New: true}
	case rol.phase == phaseMoving && !req.Repeatable:
		return Access{New: true, Former: req.Repeated}
	case rol.phase == phaseMoving:
		return Access{Former: true}
	case req.Repeated || rol.given >= rol.mine || rol.sinceTrial < trialEvery:
		return Access{Former: true}
	case !req.Repeatable && rol.tally().Routes[req.Route].isGood():
		// What can't be sent again is only given until its route is known to be good.
		return Access{Former: true}
	default:
		return Access{Former: true, New: true}
	}
}

// Given notes that a request was given to an engine.
func (rol *Rollout) Given(isNew bool) {
	rol.fresh.Requests++
	rol.sinceTrial++
	if isNew && rol.phase == phaseProving {
		rol.given++
		rol.sinceTrial = 0
	}
}

// Answered notes what came of a request.
func (rol *Rollout) Answered(now time.Time, ans Answer) {
	if rol.state.IsEnd() {
		return
	}
	timed := ans.Took > 0 && ans.Expected > 0
	bad := ans.Failed || timed && rol.speed.isSlow(ans.Route, ans.Took, ans.Expected)
	if ans.Unfinished && !bad {
		return
	}
	var cou Counts
	switch {
	case ans.New && bad:
		cou.NewBad = 1
	case ans.New:
		cou.NewGood = 1
	case bad:
		cou.FormerBad = 1
	default:
		cou.FormerGood = 1
	}
	if ans.New && ans.Loaded {
		cou.Loaded = 1
	}
	if timed && !ans.New && !ans.Unfinished {
		rol.speed.observe(ans.Route, ans.Took, ans.Expected)
	}
	rol.fresh.add(ans.Route, cou)
	rol.judge(now, ans, bad)
}

// judge ends the roll-out where the new version's answers are worse, or have become so.
func (rol *Rollout) judge(now time.Time, ans Answer, bad bool) {
	tal := rol.tally()
	run := rol.running[ans.Route]
	if run == nil {
		run = &running{at: now}
		rol.running[ans.Route] = run
	}
	turned := run.observe(now, tal.Routes[ans.Route], ans.New, bad)
	if !ans.New {
		return
	}
	if route, worse := tal.worst(rol.isBad); worse {
		rol.end(StateRolledBack, "answers are worse on "+route)
	} else if turned {
		rol.end(StateRolledBack, "answers have become worse on "+ans.Route)
	}
}

func (rol *Rollout) end(sta State, reason string) {
	rol.state, rol.reason = sta, reason
}

// decide lets time pass: it moves on, or ends, what has been proved or has taken too long.
func (rol *Rollout) decide(now time.Time, fle Fleet) {
	if rol.state.IsEnd() {
		return
	}
	if rol.began.IsZero() {
		rol.began = now
		if fle.FormerSlots == 0 && fle.NewSlots > 0 {
			rol.end(StateCompleted, "no other version is there")
			return
		}
	}
	passed := float64(now.Sub(rol.began)) / float64(max(1, rol.standing.Order.Period))
	room := fle.NewSlots > 0 && float64(fle.NewSlots) >= neededRoom*float64(fle.FormerSlots)
	switch {
	case rol.phase == phaseClosing:
		if fle.Pinned == 0 && (fle.Running == 0 || now.Sub(rol.closingAt) >= closingTime) {
			rol.end(StateCompleted, "the version is good")
		}
	case rol.phase == phaseMoving:
		if fle.Pinned == 0 && passed >= decideAt {
			rol.phase, rol.closingAt = phaseClosing, now
		}
	case passed < moveAt:
		rol.reason = "too soon"
	case room && rol.isProved():
		rol.phase, rol.reason = phaseMoving, "proved"
	case passed < decideAt:
		rol.reason = "not proved yet"
	case fle.NewSlots == 0:
		rol.end(StateRolledBack, "no engine of the version is there")
	case !room:
		rol.end(StateRolledBack, "the version's engines have too few slots")
	case rol.isLikely():
		rol.phase, rol.reason = phaseMoving, "nothing speaks against it, few requests"
	default:
		rol.end(StateRolledBack, "not proved in time")
	}
}

// isProved reports whether the version is known to be good on each route, and under load.
func (rol *Rollout) isProved() bool {
	tal := rol.tally()
	for _, cou := range tal.Routes {
		if seen := cou.FormerGood + cou.FormerBad + cou.NewGood + cou.NewBad; seen >= routeAnswers && !cou.isGood() {
			return false
		}
	}
	all := tal.all()
	return all.isGood() && all.Loaded >= loadedAnswers
}

// isLikely reports whether the few answers of a version speak for it.
func (rol *Rollout) isLikely() bool {
	tal := rol.tally()
	all := tal.all()
	if all.NewGood+all.NewBad < leastAnswers || all.ratio() >= 0 {
		return false
	}
	for _, cou := range tal.Routes {
		if cou.NewBad > 0 && cou.ratio() >= 0 {
			return false
		}
	}
	return true
}

// allowance is how many requests the version may have been given by now.
func (rol *Rollout) allowance() int {
	return int(exposureMargin*rol.cfg.Share*float64(rol.tally().Requests) + slackMargin*rol.cfg.Slack)
}

// Write is something to be put into the store, under the condition of the revision that
// its key has.
type Write struct {
	Service string
	// Expect is the key's revision; 0 for a key that isn't there.
	Expect uint64
	// Ledger is set for a ledger, else State and Version are to be told.
	Ledger  *Ledger
	State   State
	Version string
	Reason  string
}

// Writes decides what is due, and returns what is to be written.
func (rol *Rollout) Writes(now time.Time, fle Fleet) []Write {
	rol.decidedAt = now
	rol.decide(now, fle)
	var writes []Write
	if told := rol.standing.state(); told != rol.state && !told.IsEnd() && (rol.asked != rol.state || now.Sub(rol.stateAt) >= retryWrite) {
		rol.stateAt, rol.asked = now, rol.state
		writes = append(writes, Write{
			Service: rol.standing.Order.Service, Expect: rol.standing.StateRevision, State: rol.state, Version: rol.standing.Order.Version, Reason: rol.reason,
		})
	}
	if wri, due := rol.ledgerWrite(now); due {
		writes = append(writes, wri)
	}
	return writes
}

// ledgerWrite returns the ledger that allows more requests, once enough have passed.
func (rol *Rollout) ledgerWrite(now time.Time) (Write, bool) {
	old := rol.standing.Ledger
	allowed := rol.allowance()
	pause := writePause
	if rol.isSending() {
		pause = retryWrite
	}
	if rol.state.IsEnd() || rol.phase != phaseProving || now.Sub(rol.ledgerAt) < pause {
		return Write{}, false
	}
	if allowed-old.Reserved < chunk && !old.Began.IsZero() {
		return Write{}, false
	}
	rol.ledgerAt = now
	rol.sent, rol.fresh, rol.sending = rol.sent.plus(rol.fresh), Tally{}, true
	led := Ledger{
		Order: rol.standing.Order.Revision, Version: rol.standing.Order.Version, Began: rol.began, Writer: rol.cfg.Self,
		Reserved: max(old.Reserved, allowed), Tally: old.Tally.plus(rol.sent),
	}
	return Write{Service: rol.standing.Order.Service, Expect: rol.standing.LedgerRevision, Ledger: &led}, true
}

// isSending reports whether a ledger is on its way to the store.
func (rol *Rollout) isSending() bool { return rol.sending }

// Recorded notes that a write was done, with the key's revision since.
func (rol *Rollout) Recorded(wri Write, revision uint64) {
	if wri.Ledger == nil {
		if revision > rol.standing.StateRevision {
			rol.standing.State, rol.standing.StateVersion, rol.standing.StateRevision = wri.State, wri.Version, revision
		}
		return
	}
	if wri.Ledger.Order != rol.standing.Order.Revision || wri.Expect != rol.standing.LedgerRevision {
		return
	}
	rol.mine += wri.Ledger.Reserved - rol.standing.Ledger.Reserved
	rol.standing.Ledger, rol.standing.LedgerRevision = *wri.Ledger, revision
	rol.sent, rol.sending = Tally{}, false
}

// Dump is the state of a roll-out.
type Dump struct {
	Service string
	Version string
	State   string
	Reason  string
	Moving  bool
	Began   time.Time
	Period  string
	// Reserved is how many requests the version may have been given at most, of Requests
	// in all; Mine and Given are this host's part.
	Reserved int
	Requests int
	Mine     int
	Given    int
	// Routes are the answers by route.
	Routes map[string]Counts
}

// Dump returns the roll-out's state.
func (rol *Rollout) Dump() Dump {
	tal := rol.tally()
	return Dump{
		Service: rol.standing.Order.Service, Version: rol.standing.Order.Version, State: rol.state.String(), Reason: rol.reason,
		Moving: rol.phase != phaseProving, Began: rol.began, Period: rol.standing.Order.Period.String(),
		Reserved: rol.standing.Ledger.Reserved, Requests: tal.Requests, Mine: rol.mine, Given: rol.given, Routes: tal.Routes,
	}
}

package rollout

import (
	"time"
)

// phase is the phase of a running roll-out.
type phase uint8

const (
	// phaseCanary sends a bounded share of the requests to the new version.
	phaseCanary phase = iota
	// phaseMoving sends new requests that can't be repeated to the new version, while the engines
	// of the old version finish those that they run.
	phaseMoving
	// phaseCutover sends all new requests to the new version, just before the engines of the
	// old version stop.
	phaseCutover
)

const (
	// exposureMargin is the part of Config.Share that is used before the version is known to be
	// healthy. The rest covers the requests that a version which becomes faulty late gets until
	// this is detected, and requests that are counted here but never reach an engine.
	exposureMargin = 0.6
	// slackMargin is the part of Config.Slack that is used. The slack provides the first answers
	// of a version before many requests have arrived.
	slackMargin = 0.5
	// moveAfter is the part of the period after which requests move to a version that is known to
	// be healthy: some versions become faulty only after a while, and streams need seconds to
	// end. A version that becomes faulty later than that may get more requests than users allow.
	moveAfter = 0.7
	// decideAfter is the part of the period after which a version with too few answers for the
	// test is accepted or rolled back by the evidence gathered so far.
	decideAfter = 0.85
	// cutoverTime is how long the engines of the old version continue to run repeatable
	// requests after the cutover began.
	cutoverTime = 700 * time.Millisecond
	// minAnswers is the minimum number of the new version's answers for accepting it after
	// decideAfter.
	minAnswers = 10
	// minLoadedAnswers is the number of answers under load that a version needs to be accepted
	// before decideAfter.
	minLoadedAnswers = 20
	// minRouteAnswers is the number of answers, of both versions, from which a version must be
	// known to be healthy on the route. Fewer answers prove nothing about the route.
	minRouteAnswers = 30
	// minSlotRatio is the number of slots that the new version needs for each slot of the old
	// version.
	minSlotRatio = 0.8
	// requestsPerCanary is the number of requests granted between two canary requests. Answers of
	// the old version at the same time distinguish a failure of the whole service from a fault
	// of the new version.
	requestsPerCanary = 4
	// minWriteInterval is the minimum time between two writes of a ledger: each is a call to
	// the store and a change that all hosts read.
	minWriteInterval = 500 * time.Millisecond
	// minReservation is the minimum number of additional requests that a ledger reserves after
	// the first one.
	minReservation = 10
	// writeRetryInterval is the time after which a write is repeated if it was neither confirmed
	// nor its change read: the store answers in milliseconds, and hosts read changes within half
	// a second.
	writeRetryInterval = time.Second
	// leaderTimeout is the time after which a host that hasn't called Advance no longer counts
	// as the leader: five times the interval between two calls.
	leaderTimeout = 500 * time.Millisecond
)

// Rollout is the roll-out of one service to a version. It isn't safe for concurrent use.
type Rollout struct {
	cfg Config
	// isFaulty reports whether the counts show that the new version is faulty.
	isFaulty func(Counts) bool
	stored   StoredState
	state    State
	// reason explains the state to operators.
	reason string
	phase  phase
	began  time.Time
	// ownReserved is the number of requests that the ledger reserves for this host to grant to
	// the new version, and ownGranted how many of them it has granted.
	ownReserved int
	ownGranted  int
	// sinceCanary is the number of requests granted since the last canary request.
	sinceCanary int
	// unwritten is the evidence since the last write of the ledger, and writing the evidence in
	// a write that isn't confirmed yet.
	unwritten    Tally
	writing      Tally
	writePending bool
	baseline     latencyBaseline
	// cusums holds the cumulative sums by route.
	cusums map[string]*cusum
	// ledgerRequestedAt and stateRequestedAt are when Advance last returned a write of each.
	ledgerRequestedAt time.Time
	stateRequestedAt  time.Time
	// requestedState is the state in the most recent of these writes of the state.
	requestedState State
	// cutoverAt is when phaseCutover began.
	cutoverAt time.Time
	// ledAt is when this host last acted as the leader.
	ledAt time.Time
}

// New returns the roll-out of the order in sto, continued from the ledger and state in sto.
func New(cfg Config, sto StoredState) *Rollout {
	rol := &Rollout{sinceCanary: requestsPerCanary, cfg: cfg, isFaulty: Counts.isFaulty, cusums: make(map[string]*cusum), state: StateRunning, reason: "ordered"}
	rol.ApplyStored(sto)
	if sto.publishedState() == StateNone && sto.State == StateCompleted && sto.StateVersion == sto.Order.Version {
		// An earlier order has already moved all requests to the version.
		rol.finish(StateCompleted, "the version already serves all requests")
	}
	return rol
}

// Order returns the order of the roll-out.
func (rol *Rollout) Order() Order { return rol.stored.Order }

// State returns the state of the roll-out as this host knows it.
func (rol *Rollout) State() State { return rol.state }

// IsOver reports whether the store holds the final state of the roll-out.
func (rol *Rollout) IsOver() bool {
	return rol.state.IsFinal() && rol.stored.publishedState() == rol.state
}

// ApplyStored applies what the store holds now. A final state in the store takes precedence
// over this host's state, since a roll-out has only one.
func (rol *Rollout) ApplyStored(sto StoredState) {
	if sto.Ledger.Order != sto.Order.Revision {
		sto.Ledger = Ledger{Order: sto.Order.Revision, Version: sto.Order.Version}
	}
	if sto.LedgerRevision < rol.stored.LedgerRevision {
		sto.Ledger, sto.LedgerRevision = rol.stored.Ledger, rol.stored.LedgerRevision
	}
	if sto.LedgerRevision > rol.stored.LedgerRevision && sto.Ledger.Writer == rol.cfg.Self && rol.hasPendingWrite() {
		// This host wrote the ledger, and the write isn't confirmed yet or its confirmation was
		// lost. The added reservation belongs to this host.
		rol.ownReserved += sto.Ledger.Reserved - rol.stored.Ledger.Reserved
		rol.writing, rol.writePending = Tally{}, false
	}
	if sto.StateRevision < rol.stored.StateRevision {
		sto.State, sto.StateVersion, sto.StateRevision = rol.stored.State, rol.stored.StateVersion, rol.stored.StateRevision
	}
	rol.stored = sto
	if !sto.Ledger.Began.IsZero() {
		rol.began = sto.Ledger.Began
	}
	if published := sto.publishedState(); published.IsFinal() && published != rol.state {
		rol.state, rol.reason = published, "published by another host"
	}
}

// totals returns all evidence: stored, being written and not yet written.
func (rol *Rollout) totals() Tally {
	return rol.stored.Ledger.Tally.plus(rol.writing).plus(rol.unwritten)
}

// Access returns the versions to whose engines a request may be sent. Until the roll-out is
// completed, only the leader sends requests to the new version, and in the canary phase only
// within its own reservation.
func (rol *Rollout) Access(now time.Time, req Request) Access {
	isLeader := now.Sub(rol.ledAt) < leaderTimeout
	switch {
	case rol.state == StateCompleted:
		return Access{Old: true, New: true}
	case rol.state == StateRolledBack:
		return Access{Old: true}
	case !isLeader:
		return Access{Old: true}
	case rol.phase == phaseCutover:
		return Access{New: true}
	case rol.phase == phaseMoving && !req.Repeatable:
		return Access{New: true, Old: req.Repeated}
	case rol.phase == phaseMoving:
		return Access{Old: true}
	case req.Repeated || rol.ownGranted >= rol.ownReserved || rol.sinceCanary < requestsPerCanary:
		return Access{Old: true}
	case !req.Repeatable && rol.totals().Routes[req.Route].isHealthy():
		// Requests that can't be repeated are used as canary requests only until their route is
		// known to be healthy.
		return Access{Old: true}
	default:
		return Access{Old: true, New: true}
	}
}

// RecordGrant records that a request was granted to an engine.
func (rol *Rollout) RecordGrant(isNew bool) {
	rol.unwritten.Requests++
	rol.sinceCanary++
	if isNew && rol.phase == phaseCanary {
		rol.ownGranted++
		rol.sinceCanary = 0
	}
}

// RecordAnswer records the result of a request.
func (rol *Rollout) RecordAnswer(now time.Time, ans Answer) {
	if rol.state.IsFinal() {
		return
	}
	timed := ans.Elapsed > 0 && ans.Expected > 0
	bad := ans.Failed || timed && rol.baseline.isSlow(ans.Route, ans.Elapsed, ans.Expected)
	if ans.Canceled && !bad {
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
	if timed && !ans.New && !ans.Canceled {
		rol.baseline.observe(ans.Route, ans.Elapsed, ans.Expected)
	}
	rol.unwritten.add(ans.Route, cou)
	rol.evaluate(now, ans, bad)
}

// evaluate rolls the new version back if its answers are worse than the old version's or have
// become worse.
func (rol *Rollout) evaluate(now time.Time, ans Answer, bad bool) {
	tal := rol.totals()
	csm := rol.cusums[ans.Route]
	if csm == nil {
		csm = &cusum{updatedAt: now}
		rol.cusums[ans.Route] = csm
	}
	turnedFaulty := csm.observe(now, tal.Routes[ans.Route], ans.New, bad)
	if !ans.New {
		return
	}
	if route, faulty := tal.faultyRoute(rol.isFaulty); faulty {
		rol.finish(StateRolledBack, "answers of the new version are worse than those of the old version on route "+route)
	} else if turnedFaulty {
		rol.finish(StateRolledBack, "answers of the new version became worse than those of the old version on route "+ans.Route)
	}
}

func (rol *Rollout) finish(sta State, reason string) {
	rol.state, rol.reason = sta, reason
}

// advancePhase moves the roll-out to its next phase or ends it, by the evidence and the time
// passed.
func (rol *Rollout) advancePhase(now time.Time, fle Fleet) {
	if rol.state.IsFinal() {
		return
	}
	if rol.began.IsZero() {
		rol.began = now
		if fle.OldSlots == 0 && fle.NewSlots > 0 {
			rol.finish(StateCompleted, "no engines of an old version")
			return
		}
	}
	elapsed := float64(now.Sub(rol.began)) / float64(max(1, rol.stored.Order.Period))
	hasSlots := fle.NewSlots > 0 && float64(fle.NewSlots) >= minSlotRatio*float64(fle.OldSlots)
	switch {
	case rol.phase == phaseCutover:
		if fle.Pinned == 0 && (fle.Running == 0 || now.Sub(rol.cutoverAt) >= cutoverTime) {
			rol.finish(StateCompleted, "the new version is healthy")
		}
	case rol.phase == phaseMoving:
		if fle.Pinned == 0 && elapsed >= decideAfter {
			rol.phase, rol.cutoverAt = phaseCutover, now
		}
	case elapsed < moveAfter:
		rol.reason = "minimum canary period not over"
	case hasSlots && rol.isProven():
		rol.phase, rol.reason = phaseMoving, "proved"
	case elapsed < decideAfter:
		rol.reason = "not yet known to be healthy"
	case fle.NewSlots == 0:
		rol.finish(StateRolledBack, "no engines of the new version")
	case !hasSlots:
		rol.finish(StateRolledBack, "the engines of the new version have too few slots")
	case rol.isLikelyHealthy():
		rol.phase, rol.reason = phaseMoving, "likely healthy, too few requests to be certain"
	default:
		rol.finish(StateRolledBack, "not known to be healthy in time")
	}
}

// isProven reports whether the version is known to be healthy over all routes, on each route with
// at least minRouteAnswers, and under load.
func (rol *Rollout) isProven() bool {
	tal := rol.totals()
	for _, cou := range tal.Routes {
		if seen := cou.FormerGood + cou.FormerBad + cou.NewGood + cou.NewBad; seen >= minRouteAnswers && !cou.isHealthy() {
			return false
		}
	}
	all := tal.total()
	return all.isHealthy() && all.Loaded >= minLoadedAnswers
}

// isLikelyHealthy reports whether the few answers of a version indicate that it is healthy.
func (rol *Rollout) isLikelyHealthy() bool {
	tal := rol.totals()
	all := tal.total()
	if all.NewGood+all.NewBad < minAnswers || all.logRatio() >= 0 {
		return false
	}
	for _, cou := range tal.Routes {
		if cou.NewBad > 0 && cou.logRatio() >= 0 {
			return false
		}
	}
	return true
}

// allowance returns the maximum number of canary requests that may have been reserved by now.
func (rol *Rollout) allowance() int {
	return int(exposureMargin*rol.cfg.Share*float64(rol.totals().Requests) + slackMargin*rol.cfg.Slack)
}

// Write is a write to the store under the condition that its key has the given revision.
type Write struct {
	Service string
	// Expect is the revision that the key must have; 0 means that the key must not exist.
	Expect uint64
	// Ledger is set for the write of a ledger. If it is nil, State, Version and Reason are
	// published.
	Ledger  *Ledger
	State   State
	Version string
	Reason  string
}

// Advance advances the roll-out as the leader, and returns the writes that are due.
func (rol *Rollout) Advance(now time.Time, fle Fleet) []Write {
	rol.ledAt = now
	rol.advancePhase(now, fle)
	var writes []Write
	if published := rol.stored.publishedState(); published != rol.state && !published.IsFinal() && (rol.requestedState != rol.state || now.Sub(rol.stateRequestedAt) >= writeRetryInterval) {
		rol.stateRequestedAt, rol.requestedState = now, rol.state
		writes = append(writes, Write{
			Service: rol.stored.Order.Service, Expect: rol.stored.StateRevision, State: rol.state, Version: rol.stored.Order.Version, Reason: rol.reason,
		})
	}
	if wri, due := rol.nextLedgerWrite(now); due {
		writes = append(writes, wri)
	}
	return writes
}

// nextLedgerWrite returns the write of a ledger that reserves more requests, and whether one is
// due.
func (rol *Rollout) nextLedgerWrite(now time.Time) (Write, bool) {
	old := rol.stored.Ledger
	allowed := rol.allowance()
	interval := minWriteInterval
	if rol.hasPendingWrite() {
		interval = writeRetryInterval
	}
	if rol.state.IsFinal() || rol.phase != phaseCanary || now.Sub(rol.ledgerRequestedAt) < interval {
		return Write{}, false
	}
	if allowed-old.Reserved < minReservation && !old.Began.IsZero() {
		return Write{}, false
	}
	rol.ledgerRequestedAt = now
	rol.writing, rol.unwritten, rol.writePending = rol.writing.plus(rol.unwritten), Tally{}, true
	led := Ledger{
		Order: rol.stored.Order.Revision, Version: rol.stored.Order.Version, Began: rol.began, Writer: rol.cfg.Self,
		Reserved: max(old.Reserved, allowed), Tally: old.Tally.plus(rol.writing),
	}
	return Write{Service: rol.stored.Order.Service, Expect: rol.stored.LedgerRevision, Ledger: &led}, true
}

// hasPendingWrite reports whether a write of the ledger isn't confirmed yet.
func (rol *Rollout) hasPendingWrite() bool { return rol.writePending }

// ConfirmWrite applies a completed write, given the new revision of its key.
func (rol *Rollout) ConfirmWrite(wri Write, revision uint64) {
	if wri.Ledger == nil {
		if revision > rol.stored.StateRevision {
			rol.stored.State, rol.stored.StateVersion, rol.stored.StateRevision = wri.State, wri.Version, revision
		}
		return
	}
	if wri.Ledger.Order != rol.stored.Order.Revision || wri.Expect != rol.stored.LedgerRevision {
		return
	}
	rol.ownReserved += wri.Ledger.Reserved - rol.stored.Ledger.Reserved
	rol.stored.Ledger, rol.stored.LedgerRevision = *wri.Ledger, revision
	rol.writing, rol.writePending = Tally{}, false
}

// Dump is the state of a roll-out for operators.
type Dump struct {
	Service string
	Version string
	State   string
	Reason  string
	Moving  bool
	Began   time.Time
	Period  string
	// Reserved is the maximum number of requests that the version may have received, of
	// Requests in all. Mine is this host's part of the reservation, and Given the number of
	// requests of that part that the host has granted.
	Reserved int
	Requests int
	Mine     int
	Given    int
	// Routes holds the answers by route.
	Routes map[string]Counts
}

// Dump returns the state of the roll-out for operators.
func (rol *Rollout) Dump() Dump {
	tal := rol.totals()
	return Dump{
		Service: rol.stored.Order.Service, Version: rol.stored.Order.Version, State: rol.state.String(), Reason: rol.reason,
		Moving: rol.phase != phaseCanary, Began: rol.began, Period: rol.stored.Order.Period.String(),
		Reserved: rol.stored.Ledger.Reserved, Requests: tal.Requests, Mine: rol.ownReserved, Given: rol.ownGranted, Routes: tal.Routes,
	}
}

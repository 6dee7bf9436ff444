package entry

import (
	"sync"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/upstream"
)

// The signals in an engine's answer are applied when the head of the answer arrives, before any of
// it is passed on. This host enforces them by itself, regardless of the scheduler and of the store:
// the scheduler may not have received them, and the store may be unreachable.

// noticeLogInterval is the least time between two log lines about the backoff, rate or cold signals
// of one engine run, and between two about invalid signals of all engines: a thousand such answers
// a second must not push other lines out of the log.
const noticeLogInterval = time.Second

// notices holds the signals that engines have sent in their answers to this host.
type notices struct {
	host     *Host
	mutex    sync.Mutex
	received *fleet.Notices
	// loggedAt is when a backoff, rate or cold signal of a run was last logged; invalidLoggedAt is
	// when an invalid signal was last logged.
	loggedAt        map[fleet.EngineID]time.Time
	invalidLoggedAt time.Time
	// unrecognized records the headers of answers that are not recognized.
	unrecognized *unrecognizedHeaders
}

func newNotices(hos *Host) *notices {
	return &notices{host: hos, received: fleet.NewNotices(), loggedAt: make(map[fleet.EngineID]time.Time), unrecognized: newUnrecognizedHeaders(hos)}
}

// apply records the signals in the head of an answer and reports them to the schedulers.
func (ntc *notices) apply(hrd upstream.HeadReceived) {
	ntc.unrecognized.record(hrd)
	if hrd.Head.InvalidBackoff != "" || hrd.Head.InvalidRate != "" || hrd.Head.InvalidCold != "" || hrd.Head.InvalidBrittle != "" {
		ntc.recordInvalid(hrd)
	}
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	signals := ntc.signals(hrd)
	updated := make([]bool, len(signals))
	for num, not := range signals {
		prev, known := ntc.received.Limit(hrd.Engine)
		updated[num] = ntc.received.Record(now, not)
		if updated[num] && !ntc.logThrottled(now, not) {
			ntc.log(now, hrd, not.Signal, prev, known)
		}
	}
	ntc.mutex.Unlock()
	for num, not := range signals {
		ntc.host.metrics.count("EngineNotices." + not.Signal.String())
		if updated[num] || isRepeated(not.Signal) {
			ntc.host.broker.reportNotice(not)
		}
	}
}

// isRepeated reports whether a signal is reported to the schedulers each time it arrives: the time
// of the latest backoff, rate or cold signal determines which answers came after it.
func isRepeated(signal fleet.Signal) bool {
	switch signal.(type) {
	case fleet.Backoff, fleet.RateLimit, fleet.Cold:
		return true
	default:
		return false
	}
}

// signals returns the signals in an answer about the engine that the request was sent to; the mutex
// must be held. If the answer names another engine, or rejects the request as misdirected without
// naming an engine, its signals are that other engine's and are not used. The signals in an answer
// to another request are used, since that answer still came from this engine. Such an answer can't
// end a rate limit, since it is unknown when that request was sent.
func (ntc *notices) signals(hrd upstream.HeadReceived) []fleet.Notice {
	head := hrd.Head
	switch {
	case head.Misdirected && head.Instance != "" && head.Instance != hrd.Engine.Name:
		return []fleet.Notice{{Run: hrd.Engine, Signal: fleet.Replaced{}}}
	case head.Instance != "" && head.Instance != hrd.Engine.Name, head.Misdirected && head.Instance == "":
		return nil
	}
	var nots []fleet.Notice
	if head.Draining {
		nots = append(nots, fleet.Notice{Run: hrd.Engine, Signal: fleet.Draining{}})
	}
	if head.Backoff > 0 {
		nots = append(nots, fleet.Notice{Run: hrd.Engine, Signal: fleet.Backoff{Remaining: head.Backoff}})
	}
	if head.Cold > 0 {
		nots = append(nots, fleet.Notice{Run: hrd.Engine, Signal: fleet.Cold{Remaining: head.Cold}})
	}
	if head.Brittle {
		nots = append(nots, fleet.Notice{Run: hrd.Engine, Signal: fleet.Brittle{Limit: head.BrittleLimit}})
	}
	if signal := ntc.rateSignal(hrd); signal != nil {
		nots = append(nots, fleet.Notice{Run: hrd.Engine, Signal: signal})
	}
	return nots
}

// rateSignal returns the rate signal in an answer, or nil. An invalid rate leaves the previous rate
// limit in force, and that one is returned again, so that the answer doesn't count as one without a
// rate.
func (ntc *notices) rateSignal(hrd upstream.HeadReceived) fleet.Signal {
	switch {
	case hrd.Head.HasRate:
		return fleet.RateLimit{PerSecond: hrd.Head.Rate}
	case hrd.Head.InvalidRate != "":
		if prev, holds := ntc.received.Limit(hrd.Engine); holds {
			return prev.RateLimit
		}
		return nil
	case !hrd.Stray && ntc.received.EndsLimit(hrd.Engine, hrd.Sent):
		return fleet.Unlimited{}
	default:
		return nil
	}
}

// logThrottled reports whether a signal of the run was logged within noticeLogInterval, and
// otherwise records that one is logged now; the mutex must be held. Draining and replacement are
// always logged.
func (ntc *notices) logThrottled(now time.Time, not fleet.Notice) bool {
	switch not.Signal.(type) {
	case fleet.Draining, fleet.Replaced:
		return false
	}
	if now.Sub(ntc.loggedAt[not.Run]) < noticeLogInterval {
		return true
	}
	ntc.loggedAt[not.Run] = now
	return false
}

// log logs a new signal together with the engine's entry in the snapshot; the mutex must be held.
func (ntc *notices) log(now time.Time, hrd upstream.HeadReceived, signal fleet.Signal, prev fleet.ReceivedLimit, limited bool) {
	known, registered := ntc.host.snapshot.Load().engine(hrd.Engine)
	evt := ntc.host.log.Info().Stringer("Engine", hrd.Engine).Stringer("Address", hrd.Address).Stringer("Says", signal).Str("AnswerTo", hrd.Head.ID).
		Bool("Listed", registered).Bool("EntryDraining", known.Draining).Uint64("EntrySequence", known.Sequence).Dur("Age", ntc.host.snapshotAge(now))
	switch sig := signal.(type) {
	case fleet.Backoff:
		evt = evt.Dur("For", sig.Remaining)
	case fleet.RateLimit:
		evt = evt.Float64("PerSecond", sig.PerSecond)
	case fleet.Cold:
		evt = evt.Dur("For", sig.Remaining)
	case fleet.Brittle:
		evt = evt.Int("Limit", sig.Limit)
	}
	if limited {
		evt = evt.Float64("FormerPerSecond", prev.PerSecond).Dur("FormerAge", now.Sub(prev.ReceivedAt))
	}
	evt.Msg("engine signal")
}

// recordInvalid counts an answer with an invalid signal, and logs it at most once every
// noticeLogInterval. A backoff that is too long is cut to the maximum; other invalid backoffs have no
// effect, so that the engine is judged by its health alone. The rate limit that was signaled before
// an invalid rate stays in force. An invalid cold time is ignored.
func (ntc *notices) recordInvalid(hrd upstream.HeadReceived) {
	ntc.host.metrics.count("EngineNotices.Unread")
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	if now.Sub(ntc.invalidLoggedAt) < noticeLogInterval {
		return
	}
	ntc.invalidLoggedAt = now
	evt := ntc.host.log.Warn().Stringer("Engine", hrd.Engine).Stringer("Address", hrd.Address).Str("AnswerTo", hrd.Head.ID)
	if hrd.Head.InvalidBackoff != "" {
		evt = evt.Str("RetryAfter", hrd.Head.InvalidBackoff).Dur("Taken", hrd.Head.Backoff)
	}
	if hrd.Head.InvalidRate != "" {
		evt = evt.Str("Rate", hrd.Head.InvalidRate)
	}
	if hrd.Head.InvalidCold != "" {
		evt = evt.Str("Cold", hrd.Head.InvalidCold)
	}
	if hrd.Head.InvalidBrittle != "" {
		evt = evt.Str("Brittle", hrd.Head.InvalidBrittle)
	}
	evt.Msg("answer has an invalid engine signal, ignored or adjusted")
}

// blockingSignal returns the signal that forbids this host to send to an engine, or nil.
func (ntc *notices) blockingSignal(run fleet.EngineID) fleet.Signal {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	return ntc.received.BlockingSignal(now, run)
}

// coldFor returns how much longer an engine is cold according to its own signals to this host.
func (ntc *notices) coldFor(run fleet.EngineID) time.Duration {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	return ntc.received.ColdFor(now, run)
}

// limit returns the rate limit that an engine has signaled to this host, and whether there is one.
func (ntc *notices) limit(run fleet.EngineID) (fleet.ReceivedLimit, bool) {
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	return ntc.received.Limit(run)
}

// endLimit ends a rate limit that the scheduler reported to be over, as an answer to another host
// has shown, unless the engine has signaled it again since the reservation was placed at
// requestedAt.
func (ntc *notices) endLimit(run fleet.EngineID, requestedAt time.Time) {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	if !ntc.received.EndsLimit(run, requestedAt) {
		return
	}
	prev, _ := ntc.received.Limit(run)
	ntc.received.Record(now, fleet.Notice{Run: run, Signal: fleet.Unlimited{}})
	ntc.host.log.Info().Stringer("Engine", run).Float64("FormerPerSecond", prev.PerSecond).Dur("FormerAge", now.Sub(prev.ReceivedAt)).Msg("engine rate limit ended, as reported by the scheduler")
}

// current returns all notices in force.
func (ntc *notices) current() []fleet.Notice {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	return ntc.received.Current(now)
}

// prune drops expired notices, those of engine runs that are no longer registered, and the times of
// log lines that no longer suppress others.
func (ntc *notices) prune(snp *snapshot) {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	ntc.received.Prune(now, snp.isRegistered)
	for run, at := range ntc.loggedAt {
		if now.Sub(at) >= noticeLogInterval {
			delete(ntc.loggedAt, run)
		}
	}
}

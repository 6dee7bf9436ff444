package entry

import (
	"sync"
	"time"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/upstream"
)

// What an engine says of itself in an answer is taken at the answer's head, before anything
// of it is passed on, and kept to by this host itself, whoever decides and whatever the
// store says: an engine that leaves while the store is away got 27 requests in twelve
// seconds, and one that asked for a pause of three seconds seven from one host.

// noticePause is how often, at most, a line tells that an engine asks for a pause, for each
// run, and that one can't be read, for all: a thousand such answers a second must not push
// other lines out of the log.
const noticePause = time.Second

// notices are what engines have said of themselves in their answers to this host.
type notices struct {
	host  *Host
	mutex sync.Mutex
	heard *fleet.Notices
	// loggedAt is when a line last told of a run's wish for a pause, unreadableAt when one
	// told of a wish that can't be read.
	loggedAt     map[fleet.EngineID]time.Time
	unreadableAt time.Time
}

func newNotices(hos *Host) *notices {
	return &notices{host: hos, heard: fleet.NewNotices(), loggedAt: make(map[fleet.EngineID]time.Time)}
}

// take notes what the head of an answer says of its engine, and tells those who decide.
func (ntc *notices) take(end upstream.Endpoint, head call.AnswerHead) {
	if head.UnreadBackoff != "" {
		ntc.noteUnread(end, head)
	}
	for _, not := range noticesOf(end, head) {
		now := ntc.host.clock.Now()
		ntc.mutex.Lock()
		news := ntc.heard.Take(now, not)
		ntc.log(now, end, head, not, news)
		ntc.mutex.Unlock()
		ntc.host.figures.count("EngineNotices." + not.Bar.String())
		if news || not.Bar == fleet.BarBackoff {
			ntc.host.desk.tellNotice(not)
		}
	}
}

// noticesOf returns what an answer says of the engine that it was asked of. An answer that
// names another engine, or turns the request away as meant for another one without a name,
// is that other one's word. One that belongs to another request still came from this
// engine.
func noticesOf(end upstream.Endpoint, head call.AnswerHead) []fleet.Notice {
	switch {
	case head.Misdirected && head.Instance != "" && head.Instance != end.Engine.Name:
		return []fleet.Notice{{Run: end.Engine, Bar: fleet.BarReplaced}}
	case head.Instance != "" && head.Instance != end.Engine.Name, head.Misdirected && head.Instance == "":
		return nil
	}
	var all []fleet.Notice
	if head.Draining {
		all = append(all, fleet.Notice{Run: end.Engine, Bar: fleet.BarDraining})
	}
	if head.Backoff > 0 {
		all = append(all, fleet.Notice{Run: end.Engine, Bar: fleet.BarBackoff, Left: head.Backoff})
	}
	return all
}

// log writes what is news, with what the engine's entry says meanwhile; the mutex is held.
func (ntc *notices) log(now time.Time, end upstream.Endpoint, head call.AnswerHead, not fleet.Notice, news bool) {
	if !news || not.Bar == fleet.BarBackoff && now.Sub(ntc.loggedAt[end.Engine]) < noticePause {
		return
	}
	if not.Bar == fleet.BarBackoff {
		ntc.loggedAt[end.Engine] = now
	}
	known, listed := ntc.host.belief.Load().engine(end.Engine)
	evt := ntc.host.log.Info().Stringer("Engine", end.Engine).Stringer("Address", end.Address).Stringer("Says", not.Bar).Str("AnswerTo", head.ID).
		Bool("Listed", listed).Bool("EntryDraining", known.Draining).Uint64("EntrySequence", known.Sequence).Dur("Age", ntc.host.age(now))
	if not.Bar == fleet.BarBackoff {
		evt = evt.Dur("For", not.Left)
	}
	evt.Msg("engine says of itself")
}

// noteUnread logs a wish for a pause that can't be read; the engine is judged by its
// health alone then.
func (ntc *notices) noteUnread(end upstream.Endpoint, head call.AnswerHead) {
	ntc.host.figures.count("EngineNotices.Unread")
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	if now.Sub(ntc.unreadableAt) < noticePause {
		return
	}
	ntc.unreadableAt = now
	ntc.host.log.Warn().Stringer("Engine", end.Engine).Stringer("Address", end.Address).Str("AnswerTo", head.ID).Str("RetryAfter", head.UnreadBackoff).
		Dur("Taken", head.Backoff).Msg("pause that an engine asks for is not taken as it stands")
}

// bar returns whether anything that an engine said keeps this host from sending to it.
func (ntc *notices) bar(run fleet.EngineID) fleet.Notice {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	return ntc.heard.Bar(now, run)
}

// current returns all that holds now.
func (ntc *notices) current() []fleet.Notice {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	return ntc.heard.Current(now)
}

// forget drops what has lapsed, and what was said by runs that are gone.
func (ntc *notices) forget(bel *belief) {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	ntc.heard.Forget(now, bel.lists)
	for run, at := range ntc.loggedAt {
		if now.Sub(at) >= noticePause {
			delete(ntc.loggedAt, run)
		}
	}
}

// tellNotice tells the own scheduler, the one that decides and the one that would next.
func (des *desk) tellNotice(not fleet.Notice) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	des.tellDeciders(reservation.EngineNotice{Notice: not})
}

// tellNotices tells a host that decides, or would next, all that engines have said to this
// one; the mutex is held.
func (des *desk) tellNotices(to fleet.Member) {
	for _, not := range des.host.notices.current() {
		des.tell(to.Epoch, reservation.EngineNotice{Notice: not})
	}
}

// BarredError reports a request that isn't sent since its engine wants nothing from this
// host.
type BarredError struct {
	Notice fleet.Notice
}

// Error names the engine and what it said.
func (ber *BarredError) Error() string {
	return "engine " + ber.Notice.Run.String() + " wants nothing from this host: " + ber.Notice.Bar.String()
}

// barred returns a *BarredError for an engine that wants nothing from this host. Those who
// decide are told again: one of them granted it.
func (hos *Host) barred(run fleet.EngineID) error {
	not := hos.notices.bar(run)
	if not.Bar == fleet.BarNone {
		return nil
	}
	hos.desk.tellNotice(not)
	return &BarredError{Notice: not}
}

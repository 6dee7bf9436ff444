package entry

import (
	"sync"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/upstream"
)

// What an engine says of itself in an answer is taken at the answer's head, before anything
// of it is passed on, and kept to by this host itself, whoever decides and whatever the
// store says: those who decide may not have heard it, and the store may be away.

// noticePause is how often, at most, a line tells of a run's pauses and rates, and one that
// a word can't be read, for all: a thousand such answers a second must not push other lines
// out of the log.
const noticePause = time.Second

// notices are what engines have said of themselves in their answers to this host.
type notices struct {
	host  *Host
	mutex sync.Mutex
	heard *fleet.Notices
	// loggedAt is when a line last told of a run's pause or rate, unreadableAt when one told
	// of a word that can't be read.
	loggedAt     map[fleet.EngineID]time.Time
	unreadableAt time.Time
	// unknown are the words that nobody reads.
	unknown *unknownHeaders
}

func newNotices(hos *Host) *notices {
	return &notices{host: hos, heard: fleet.NewNotices(), loggedAt: make(map[fleet.EngineID]time.Time), unknown: newUnknownHeaders(hos)}
}

// take notes what the head of an answer says of its engine, and tells those who decide.
func (ntc *notices) take(hrd upstream.Heard) {
	ntc.unknown.take(hrd)
	if hrd.Head.UnreadBackoff != "" || hrd.Head.UnreadRate != "" || hrd.Head.UnreadCold != "" {
		ntc.noteUnread(hrd)
	}
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	words := ntc.words(hrd)
	news := make([]bool, len(words))
	for num, not := range words {
		former, known := ntc.heard.Limit(hrd.Engine)
		news[num] = ntc.heard.Take(now, not)
		if news[num] && !ntc.quiet(now, not) {
			ntc.log(now, hrd, not.Word, former, known)
		}
	}
	ntc.mutex.Unlock()
	for num, not := range words {
		ntc.host.figures.count("EngineNotices." + not.Word.String())
		if news[num] || isToldAgain(not.Word) {
			ntc.host.desk.tellNotice(not)
		}
	}
}

// isToldAgain reports whether who decides hears a word each time: when a pause or a rate was
// last named tells which answers came after it.
func isToldAgain(word fleet.Word) bool {
	switch word.(type) {
	case fleet.Pause, fleet.RateLimit, fleet.Cold:
		return true
	default:
		return false
	}
}

// words returns what an answer says of the engine that it was asked of; the mutex is held. An
// answer that names another engine, or turns the request away as meant for another one without
// a name, is that other one's word. One that belongs to another request still came from this
// engine, but from when isn't known.
func (ntc *notices) words(hrd upstream.Heard) []fleet.Notice {
	head := hrd.Head
	switch {
	case head.Misdirected && head.Instance != "" && head.Instance != hrd.Engine.Name:
		return []fleet.Notice{{Run: hrd.Engine, Word: fleet.Replaced{}}}
	case head.Instance != "" && head.Instance != hrd.Engine.Name, head.Misdirected && head.Instance == "":
		return nil
	}
	var all []fleet.Notice
	if head.Draining {
		all = append(all, fleet.Notice{Run: hrd.Engine, Word: fleet.Leaving{}})
	}
	if head.Backoff > 0 {
		all = append(all, fleet.Notice{Run: hrd.Engine, Word: fleet.Pause{Left: head.Backoff}})
	}
	if head.Cold > 0 {
		all = append(all, fleet.Notice{Run: hrd.Engine, Word: fleet.Cold{Left: head.Cold}})
	}
	if word := ntc.limitIn(hrd); word != nil {
		all = append(all, fleet.Notice{Run: hrd.Engine, Word: word})
	}
	return all
}

// limitIn returns what an answer says of the rate that its engine takes; nil for nothing. A
// rate that can't be read leaves the one that was named before, which is named again so that
// nobody takes this answer for one without.
func (ntc *notices) limitIn(hrd upstream.Heard) fleet.Word {
	switch {
	case hrd.Head.HasRate:
		return fleet.RateLimit{PerSecond: hrd.Head.Rate}
	case hrd.Head.UnreadRate != "":
		if former, holds := ntc.heard.Limit(hrd.Engine); holds {
			return former.RateLimit
		}
		return nil
	case !hrd.Stray && ntc.heard.EndsLimit(hrd.Engine, hrd.Sent):
		return fleet.Unlimited{}
	default:
		return nil
	}
}

// quiet reports whether a line told of the run a moment ago, and notes that one does now; the
// mutex is held. A leave is told once, at once.
func (ntc *notices) quiet(now time.Time, not fleet.Notice) bool {
	switch not.Word.(type) {
	case fleet.Leaving, fleet.Replaced:
		return false
	}
	if now.Sub(ntc.loggedAt[not.Run]) < noticePause {
		return true
	}
	ntc.loggedAt[not.Run] = now
	return false
}

// log writes what is news, with what the engine's entry says meanwhile; the mutex is held.
func (ntc *notices) log(now time.Time, hrd upstream.Heard, word fleet.Word, former fleet.NamedLimit, limited bool) {
	known, listed := ntc.host.belief.Load().engine(hrd.Engine)
	evt := ntc.host.log.Info().Stringer("Engine", hrd.Engine).Stringer("Address", hrd.Address).Stringer("Says", word).Str("AnswerTo", hrd.Head.ID).
		Bool("Listed", listed).Bool("EntryDraining", known.Draining).Uint64("EntrySequence", known.Sequence).Dur("Age", ntc.host.age(now))
	switch wrd := word.(type) {
	case fleet.Pause:
		evt = evt.Dur("For", wrd.Left)
	case fleet.RateLimit:
		evt = evt.Float64("PerSecond", wrd.PerSecond)
	case fleet.Cold:
		evt = evt.Dur("For", wrd.Left)
	}
	if limited {
		evt = evt.Float64("FormerPerSecond", former.PerSecond).Dur("FormerAge", now.Sub(former.At))
	}
	evt.Msg("engine says of itself")
}

// noteUnread logs a word that can't be read. Without the pause that it asks for an engine is
// judged by its health alone; the rate that it named before holds on.
func (ntc *notices) noteUnread(hrd upstream.Heard) {
	ntc.host.figures.count("EngineNotices.Unread")
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	if now.Sub(ntc.unreadableAt) < noticePause {
		return
	}
	ntc.unreadableAt = now
	evt := ntc.host.log.Warn().Stringer("Engine", hrd.Engine).Stringer("Address", hrd.Address).Str("AnswerTo", hrd.Head.ID)
	if hrd.Head.UnreadBackoff != "" {
		evt = evt.Str("RetryAfter", hrd.Head.UnreadBackoff).Dur("Taken", hrd.Head.Backoff)
	}
	if hrd.Head.UnreadRate != "" {
		evt = evt.Str("Rate", hrd.Head.UnreadRate)
	}
	if hrd.Head.UnreadCold != "" {
		evt = evt.Str("Cold", hrd.Head.UnreadCold)
	}
	evt.Msg("what an engine says of itself is not taken as it stands")
}

// bar returns what an engine said that keeps this host from sending to it; nil for nothing.
func (ntc *notices) bar(run fleet.EngineID) fleet.Word {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	return ntc.heard.Bar(now, run)
}

// coldFor returns for how much longer an engine is cold by its own word to this host.
func (ntc *notices) coldFor(run fleet.EngineID) time.Duration {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	return ntc.heard.ColdFor(now, run)
}

// limit returns the rate that an engine has named to this host, and whether it holds.
func (ntc *notices) limit(run fleet.EngineID) (fleet.NamedLimit, bool) {
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	return ntc.heard.Limit(run)
}

// endLimit ends a rate that another host's answer has shown to be over, unless it was named
// since who decided was asked.
func (ntc *notices) endLimit(run fleet.EngineID, asked time.Time) {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	if !ntc.heard.EndsLimit(run, asked) {
		return
	}
	former, _ := ntc.heard.Limit(run)
	ntc.heard.Take(now, fleet.Notice{Run: run, Word: fleet.Unlimited{}})
	ntc.host.log.Info().Stringer("Engine", run).Float64("FormerPerSecond", former.PerSecond).Dur("FormerAge", now.Sub(former.At)).Msg("rate of an engine has ended, as who decides knows")
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

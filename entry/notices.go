package entry

import (
	"sync"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/upstream"
)

// notices are what engines have said of themselves in their answers.
type notices struct {
	host  *Host
	mutex sync.Mutex
	heard *fleet.Notices
}

func newNotices(hos *Host) *notices {
	return &notices{host: hos, heard: fleet.NewNotices()}
}

// take notes what the head of an answer says of its engine.
func (ntc *notices) take(end upstream.Endpoint, head call.AnswerHead) {
	if !head.Draining && head.Backoff == 0 {
		return
	}
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	if head.Draining && ntc.heard.Drain(now, end.Engine) {
		ntc.host.figures.count("EngineNotices.Draining")
		ntc.host.log.Info().Stringer("Engine", end.Engine).Stringer("Address", end.Address).Str("Request", head.ID).Msg("engine says that it leaves")
	}
	if head.Backoff > 0 {
		ntc.heard.BackOff(now, end.Engine, head.Backoff)
		ntc.host.figures.count("EngineNotices.Backoff")
		ntc.host.log.Info().Stringer("Engine", end.Engine).Stringer("Address", end.Address).Str("Request", head.ID).Dur("For", head.Backoff).Msg("engine asks for a pause")
	}
}

// bar returns whether anything that an engine said keeps this host from sending to it.
func (ntc *notices) bar(run fleet.EngineID) fleet.Bar {
	now := ntc.host.clock.Now()
	ntc.mutex.Lock()
	defer ntc.mutex.Unlock()
	return ntc.heard.Bar(now, run)
}

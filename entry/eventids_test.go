package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// numberedEvents is the number of events of the streams below.
const numberedEvents = 10

// numberedSystem is a host before engines that number their events in one way.
type numberedSystem struct {
	*entrytest.System
	t       *testing.T
	ids     upstreamtest.EventIDs
	engines []*upstreamtest.Engine
}

func startNumbered(t *testing.T, ids upstreamtest.EventIDs) *numberedSystem {
	t.Helper()
	return startContinuing(t, ids, true, true, true)
}

// startContinuing starts engines of which some go on behind the event that they are asked to go on behind; the others begin each
// stream anew.
func startContinuing(t *testing.T, ids upstreamtest.EventIDs, goesOn ...bool) *numberedSystem {
	t.Helper()
	var engines []*upstreamtest.Engine
	for num, honors := range goesOn {
		engines = append(engines, upstreamtest.NewEngine(upstreamtest.Config{
			ID: fmt.Sprintf("e%d", num), Service: entrytest.Model, Slots: 8, Events: numberedEvents, EventIDs: ids, Step: time.Millisecond, IgnoresLastEvent: !honors,
		}))
	}
	sys := entrytest.Start(t, entrytest.Config{Hosts: 2, Engines: append(engines, plainEngine("p1"))})
	sys.Configure(entrytest.Configuration{Version: 1, Attempts: 3})
	sys.WaitForReady()
	sys.WaitForEngines(len(engines) + 1)
	return &numberedSystem{System: sys, t: t, ids: ids, engines: engines}
}

// send sends a request for a stream that breaks off, unless brk is nil, at the engine that takes it first.
func (nsy *numberedSystem) send(req entrytest.Request, brk *upstreamtest.BreakOff) entrytest.Answer {
	nsy.t.Helper()
	for _, eng := range nsy.engines {
		eng.BreakStream(brk)
	}
	return nsy.Send(nsy.t.Context(), nsy.Hosts[0], req)
}

// checkInOrder checks that an answer has the pieces of a stream behind the number, each once and in order, and all of them
// if it is complete. It returns whether it is.
func (nsy *numberedSystem) checkInOrder(id string, received int, ans entrytest.Answer) bool {
	nsy.t.Helper()
	whole := strings.TrimPrefix(nsy.ids.StreamBody(id, numberedEvents), nsy.ids.StreamBody(id, received))
	if ans.Err == nil && ans.Status == http.StatusOK {
		assert.Check(nsy.t, ans.Body == whole, "%s: got %q", id, ans.Body)
		return true
	}
	if ans.Status == http.StatusOK {
		assert.Check(nsy.t, strings.HasPrefix(whole, ans.Body), "%s: got %q", id, ans.Body)
	}
	return false
}

// Guards against sound streams that are cut: an event whose id was no number of 64 bits ended the answer.
func TestSoundStreamIsPassedOnWhateverItsIDs(t *testing.T) {
	for _, ids := range upstreamtest.AllEventIDs() {
		t.Run("ids "+string(ids), func(t *testing.T) {
			t.Parallel()
			nsy := startNumbered(t, ids)
			for _, path := range []string{"/resume/x", "/stream/x"} {
				req := streamRequest("calm"+path, "", 0)
				req.Path = path
				assert.Check(t, nsy.checkInOrder(req.ID, 0, nsy.send(req, nil)), path)
			}
		})
	}
}

// breaks returns the places at which the streams below break off.
func breaks() []*upstreamtest.BreakOff {
	var list []*upstreamtest.BreakOff
	for _, after := range []int{0, 1, 2, 4, 9} {
		list = append(list, &upstreamtest.BreakOff{After: after}, &upstreamtest.BreakOff{After: after, Within: true})
	}
	return list
}

// goesOn reports whether a stream that broke off there can go on: it has an id to go on behind, which is a number, or it
// hasn't begun.
func goesOn(ids upstreamtest.EventIDs, brk *upstreamtest.BreakOff) bool {
	return brk.After == 0 || ids.ID(brk.After) != "" && ids != upstreamtest.Texts
}

// Guards against pieces that a client gets twice (ORDER): an engine that was to go on behind an event began the stream anew, and
// its events were passed on, by the host's resumption as by the client's own.
func TestRunThatBeginsAnewIsNoContinuation(t *testing.T) {
	for _, ids := range upstreamtest.AllEventIDs() {
		t.Run("ids "+string(ids), func(t *testing.T) {
			t.Parallel()
			nsy := startContinuing(t, ids, false, false, false)
			for _, brk := range breaks() {
				id := fmt.Sprintf("s-%d-%v", brk.After, brk.Within)
				complete := nsy.checkInOrder(id, 0, nsy.send(streamRequest(id, "", 0), brk))
				assert.Check(t, complete == (brk.After == 0), "%s: complete %v", id, complete)
				// A text says nothing of the events before it, so the client is told what the engine says.
				if ids.ID(brk.After) == "" || brk.After == 0 || ids == upstreamtest.Texts {
					continue
				}
				again := nsy.send(streamRequestBehind("again-"+id, id, ids.ID(brk.After)), nil)
				assert.Check(t, !nsy.checkInOrder("again-"+id, brk.After, again), "%s: %q", id, again.Body)
			}
		})
	}
}

// A stream goes on at an engine that does as it is asked, although others don't.
func TestStreamGoesOnAtEngineThatCanGoOn(t *testing.T) {
	nsy := startContinuing(t, upstreamtest.FromZero, false, true)
	for num := range 8 {
		id := fmt.Sprintf("s-%d", num)
		began := nsy.SendUntilEvent(t.Context(), nsy.Hosts[0], streamRequest(id, "", 0), 3)
		assert.Equal(t, began.Status, http.StatusOK, began.Body)
		ans := nsy.send(streamRequestBehind("again-"+id, id, nsy.ids.ID(3)), nil)
		assert.Check(t, nsy.checkInOrder("again-"+id, 3, ans), "%s: status %d, %q", id, ans.Status, ans.Body)
	}
}

// Guards against pieces that a client gets twice (ORDER): the host took the ids 0 and below, and a missing one, for none yet,
// and began a stream anew of which the client had events.
func TestStreamGoesOnBehindAnyEvent(t *testing.T) {
	for _, ids := range upstreamtest.AllEventIDs() {
		t.Run("ids "+string(ids), func(t *testing.T) {
			t.Parallel()
			nsy := startNumbered(t, ids)
			for _, brk := range breaks() {
				id := fmt.Sprintf("s-%d-%v", brk.After, brk.Within)
				ans := nsy.send(streamRequest(id, "", 0), brk)
				complete := nsy.checkInOrder(id, 0, ans)
				assert.Check(t, complete == goesOn(ids, brk), "%s: complete %v, error %v, got %q", id, complete, ans.Err, ans.Body)
			}
		})
	}
}

// Guards against two runs that are joined (ORDER): a client resumed its stream, the engine broke off, and the host went on at the
// higher of the client's id and its own.
func TestHostGoesOnWhereTheClientsResumptionBrokeOff(t *testing.T) {
	for _, ids := range []upstreamtest.EventIDs{upstreamtest.FromOne, upstreamtest.FromMinusTwo, upstreamtest.Padded, upstreamtest.EveryOther} {
		t.Run("ids "+string(ids), func(t *testing.T) {
			t.Parallel()
			nsy := startNumbered(t, ids)
			for _, brk := range breaks()[:8] {
				id := fmt.Sprintf("s-%d-%v", brk.After, brk.Within)
				nsy.SendUntilEvent(t.Context(), nsy.Hosts[0], streamRequest(id, "", 0), 4)
				ans := nsy.send(streamRequestBehind("again-"+id, id, ids.ID(4)), brk)
				complete := nsy.checkInOrder("again-"+id, 4, ans)
				// Where the run broke off behind an event without an id that waited, it goes on behind the client's.
				goesOn := ids.ID(4+brk.After) != "" || brk.After < 2
				assert.Check(t, complete == goesOn, "%s: complete %v, error %v, got %q", id, complete, ans.Err, ans.Body)
			}
		})
	}
}

// Guards against sound answers that are cut or refused: on a route that can't be resumed, Last-Event-Id is handed on as it is, and
// the answer is the engine's.
func TestLastEventIDIsAnyHeaderWhereNothingIsResumed(t *testing.T) {
	for _, goesOn := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines go on %v", goesOn), func(t *testing.T) {
			t.Parallel()
			nsy := startContinuing(t, upstreamtest.FromOne, goesOn)
			for _, lastEvent := range []string{"0", "3", "ev-1", "007"} {
				req := streamRequestBehind("stream-"+lastEvent, "begin", lastEvent)
				req.Path = "/stream/x"
				received := 0
				if goesOn {
					received = nsy.ids.NumberOf(lastEvent, numberedEvents)
				}
				assert.Check(t, nsy.checkInOrder(req.ID, received, nsy.send(req, nil)), lastEvent)
				runs := nsy.engines[0].Runs()
				assert.Equal(t, runs[len(runs)-1].LastEvent, lastEvent)
				req.ID, req.Path = "plain-"+lastEvent, "/safe/x"
				ans := nsy.send(req, nil)
				assert.Check(t, ans.Status == http.StatusOK, "%s: %d %s", lastEvent, ans.Status, ans.Body)
			}
		})
	}
}

// A host that reaches no engine resumes streams through another host in the same way.
func TestForwardedStreamGoesOnBehindAnyEvent(t *testing.T) {
	for _, ids := range []upstreamtest.EventIDs{upstreamtest.FromZero, upstreamtest.FromMinusTwenty, upstreamtest.EveryOther, upstreamtest.NoIDs, upstreamtest.Texts} {
		t.Run("ids "+string(ids), func(t *testing.T) {
			t.Parallel()
			nsy := startNumbered(t, ids)
			cutOff(t, nsy.System, 0)
			for _, brk := range breaks() {
				id := fmt.Sprintf("s-%d-%v", brk.After, brk.Within)
				ans := nsy.send(streamRequest(id, "", 0), brk)
				complete := nsy.checkInOrder(id, 0, ans)
				assert.Check(t, complete == goesOn(ids, brk), "%s: complete %v, error %v, got %q", id, complete, ans.Err, ans.Body)
			}
		})
	}
}

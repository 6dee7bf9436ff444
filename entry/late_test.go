package entry

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/eventstream"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/settings"
)

// Guards against a stream that a host resumes at another software version: a slow coordinator's decision on the
// reservation before the first event was taken for one on the reservation that resumes the stream.
func TestDecisionOnEarlierReservationIsIgnored(t *testing.T) {
	const coordinator = request.Epoch(7)
	for name, late := range map[string]func(reservation.Reserve) reservation.Message{
		"grant": func(res reservation.Reserve) reservation.Message {
			return reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: "other"}
		},
		"refusal": func(res reservation.Reserve) reservation.Message {
			return reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reservation.ReasonOverload}
		},
	} {
		t.Run(name, func(t *testing.T) {
			hos, err := New(Config{Settings: settings.Entry{Name: "host-1", PeerKey: "key between the hosts"}, Log: zerolog.Nop()})
			assert.NilError(t, err)
			bro := hos.broker
			bro.links[coordinator] = &link{queue: peer.NewQueue(), cancel: func() {}}
			bro.coordinator = coordinator
			submit := func() *pendingReservation {
				pen := &pendingReservation{
					reserve:   reservation.Reserve{ID: request.ID{Unique: "r1"}, Remaining: time.Minute, LatencyTarget: time.Minute},
					arrivedAt: hos.clock.Now(), decision: make(chan decision, 1),
				}
				bro.pending[pen.reserve.ID] = pen
				bro.submit(pen)
				return pen
			}
			first := submit()
			second := submit()
			bro.applyMessage(coordinator, late(first.reserve))
			assert.Equal(t, len(first.decision)+len(second.decision), 0)
			bro.applyMessage(coordinator, reservation.Grant{ID: second.reserve.ID, Ballot: second.reserve.Ballot, Engine: "own"})
			assert.Equal(t, len(second.decision), 1)
			dec := <-second.decision
			assert.Equal(t, dec.grant.Engine, "own")
		})
	}
}

// Guards against an answer with events of two software versions, whatever a coordinator grants.
func TestStreamIsNotResumedAtGrantOfOtherVersion(t *testing.T) {
	hos, err := New(Config{Settings: settings.Entry{Name: "host-1", PeerKey: "key between the hosts"}, Log: zerolog.Nop()})
	assert.NilError(t, err)
	hos.snapshot.Store(&snapshot{engines: map[string]fleet.Engine{
		"old": {ID: fleet.EngineID{Name: "old"}, Version: "v1"}, "new": {ID: fleet.EngineID{Name: "new"}, Version: "v1.1"},
	}})
	for engine, want := range map[string]cause{"old": causeEngineUnavailable, "new": ""} {
		exc := &exchange{host: hos, route: route.Route{Public: true, Resumable: true}, service: "model", streamVersion: "v1.1", eventCount: 3, position: eventstream.Behind{ID: "3"}}
		_, pro := exc.checkGrant(reservation.Grant{Engine: engine, Version: hos.snapshot.Load().engines[engine].Version}, request.ID{Unique: "r1"})
		if want == "" {
			assert.Assert(t, pro == nil)
			continue
		}
		assert.Assert(t, pro != nil, engine)
		assert.Equal(t, pro.cause, want)
	}
}

// Guards against a reservation that stays queued at the host's own scheduler after it has moved to a new coordinator.
func TestMovedReservationIsWithdrawnFromOwnScheduler(t *testing.T) {
	const slow, next = request.Epoch(7), request.Epoch(8)
	hos, err := New(Config{Settings: settings.Entry{Name: "host-1", PeerKey: "key between the hosts"}, Log: zerolog.Nop()})
	assert.NilError(t, err)
	bro := hos.broker
	for _, epo := range []request.Epoch{slow, next} {
		bro.links[epo] = &link{queue: peer.NewQueue(), cancel: func() {}}
	}
	bro.coordinator = slow
	bro.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{{ID: fleet.EngineID{Name: "e1"}, Service: "model", Slots: 1, Version: "v1"}}})
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	// A stream that may be resumed waits, since no record names its version.
	pen := &pendingReservation{
		reserve:   reservation.Reserve{ID: request.ID{Unique: "r1"}, Service: "model", Stream: 5, Remaining: time.Minute, LatencyTarget: time.Minute},
		arrivedAt: hos.clock.Now(), decision: make(chan decision, 1),
	}
	bro.pending[pen.reserve.ID] = pen
	bro.submitTo(pen, slow)
	bro.submitTo(pen, hos.epoch)
	assert.Assert(t, bro.core.HasWaiting())
	bro.membership = membership{members: []fleet.Member{{Name: "next", Epoch: next}}, candidates: []fleet.Member{{Name: "next", Epoch: next}}}
	bro.elect()
	assert.Equal(t, pen.coordinator, next)
	assert.Assert(t, !bro.core.HasWaiting())
}

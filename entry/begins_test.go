package entry

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

// Guards against streams that a host which is cut off from the store and all others begins at a version that those may have
// forgotten, since it schedules for itself and takes itself for the coordinator of all.
func TestLoneHostOfManyBeginsNoStreamsFromOldCopy(t *testing.T) {
	for name, tst := range map[string]struct {
		others []fleet.Member
		begins bool
	}{
		"one of four hosts": {others: []fleet.Member{{Name: "h2", Epoch: 2}, {Name: "h3", Epoch: 3}, {Name: "h4", Epoch: 4}}},
		"the only host":     {begins: true},
	} {
		t.Run(name, func(t *testing.T) {
			hos := newTestHost(t, io.Discard)
			bro := hos.broker
			bro.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{{ID: fleet.EngineID{Name: "e1"}, Service: "model", Slots: 1, Version: "v1"}}})
			bro.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1"}}}})
			bro.handle(scheduler.CopyConfirmed{At: hos.clock.Now().Add(-time.Minute)})
			bro.mutex.Lock()
			defer bro.mutex.Unlock()
			bro.membership = membership{members: append(tst.others, fleet.Member{Name: "h1", Epoch: hos.epoch})}
			bro.elect()
			assert.Equal(t, bro.coordinator, hos.epoch)
			pen := &pendingReservation{
				reserve:   reservation.Reserve{ID: request.ID{Unique: "r1"}, Service: "model", Stream: 5, Remaining: time.Minute, LatencyTarget: time.Minute},
				arrivedAt: hos.clock.Now(), decision: make(chan decision, 1),
			}
			bro.pending[pen.reserve.ID] = pen
			bro.submit(pen)
			assert.Equal(t, len(pen.decision), 1)
			dec := <-pen.decision
			assert.Equal(t, dec.grant != nil, tst.begins)
			if !tst.begins {
				assert.Equal(t, dec.refusal.Reason, reservation.ReasonCopyStale)
			}
		})
	}
}

// Guards against a resumption that is refused at once, and for good, at a host that schedules for itself while others do so,
// too, and against one that waits although one host schedules for all.
func TestHostAwaitsUnknownStreamsWhileOthersSchedule(t *testing.T) {
	for name, tst := range map[string]struct {
		// Hosts is the number of hosts, delegated how many of the others use this one, and chosen the coordinator that this
		// host uses; 0 for itself.
		hosts, delegated int
		chosen           request.Epoch
		waits            bool
	}{
		"only host":                       {hosts: 1},
		"schedules for all":               {hosts: 3, delegated: 2},
		"schedules for two of three":      {hosts: 3, delegated: 1, waits: true},
		"schedules for itself":            {hosts: 3, waits: true},
		"uses another one":                {hosts: 3, chosen: 1, waits: true},
		"uses another one, others use it": {hosts: 3, delegated: 2, chosen: 1, waits: true},
	} {
		t.Run(name, func(t *testing.T) {
			hos, sessions := newHostInFleet(t, tst.hosts)
			bro := hos.broker
			bro.handle(scheduler.EnginesChanged{Engines: []fleet.Engine{{ID: fleet.EngineID{Name: "e1"}, Service: "model", Slots: 1, Version: "v1"}}})
			bro.handle(scheduler.VersionsRecorded{Record: affinity.Record{Number: 1, Versions: map[string][]string{"model": {"v1", "v2"}}}})
			bro.handle(scheduler.CopyConfirmed{At: hos.clock.Now()})
			for _, ses := range sessions[:tst.delegated] {
				bro.SessionMessage(ses, peer.Received{Message: reservation.Delegation{Delegated: true}})
			}
			bro.mutex.Lock()
			defer bro.mutex.Unlock()
			chosen := hos.epoch
			if tst.chosen != 0 {
				chosen = tst.chosen
			}
			bro.updateHosts(chosen)
			pen := &pendingReservation{
				reserve: reservation.Reserve{
					ID: request.ID{Unique: "r1"}, Service: "model", Resumed: true, Repeatable: true, Stream: 5, StreamLife: time.Minute,
					Remaining: time.Minute, LatencyTarget: time.Minute,
				},
				arrivedAt: hos.clock.Now(), decision: make(chan decision, 1),
			}
			bro.pending[pen.reserve.ID] = pen
			bro.submitTo(pen, hos.epoch)
			assert.Equal(t, len(pen.decision) == 0, tst.waits)
			if !tst.waits {
				dec := <-pen.decision
				assert.Equal(t, dec.refusal.Reason, reservation.ReasonVersion)
			}
		})
	}
}

// Guards against a log in which a stream that waited for a version to open looks like one that waited for room.
func TestLogNamesEnginesThatAreNotOpen(t *testing.T) {
	for unopened, logged := range map[int]bool{0: false, 2: true} {
		var log strings.Builder
		bro := newTestHost(t, &log).broker
		bro.logDecision(scheduler.Send{Message: reservation.Refuse{Reason: reservation.ReasonOverload}, Inputs: scheduler.Inputs{Unopened: unopened}})
		assert.Assert(t, strings.Contains(log.String(), `"Reason":"Overload"`), log.String())
		assert.Equal(t, strings.Contains(log.String(), `"Unopened":2`), logged, log.String())
		assert.Equal(t, strings.Contains(log.String(), "Unopened"), logged, log.String())
	}
}

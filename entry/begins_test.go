package entry

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/fleet"
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

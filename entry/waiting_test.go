package entry

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

// Guards against origins of streams that are never stored, since too many were waiting while the store was away.
func TestOriginsBeyondTheBoundAreCollectedAgain(t *testing.T) {
	const other = request.Epoch(7)
	hos := newTestHost(t, io.Discard)
	bro := hos.broker
	bro.coordinator = hos.epoch
	began := 0
	for began <= maxUnwrittenOrigins {
		bat := affinity.Batch{Origin: affinity.Origin{Service: "model", Version: "v1"}, KeepFor: time.Minute}
		for range affinity.MaxBatch {
			began++
			bat.Streams = append(bat.Streams, affinity.Stream(began))
		}
		bro.handle(scheduler.Received{From: other, Message: reservation.StreamsBegan{Batch: bat}})
		bro.mutex.Lock()
		bro.keepOrigins(bat)
		bro.mutex.Unlock()
	}
	_, count := bro.takeOrigins()
	assert.Equal(t, count, began)
}

package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/congestion"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

func submissionOf(unique string, rank int) reservation.Reserve {
	return reservation.Reserve{ID: request.ID{Unique: unique}, Service: "s", Account: "a", Rank: rank, Cost: 10, LatencyTarget: time.Minute, Remaining: time.Minute}
}

// reserveAsync requests an engine in the background and returns the channel of the decision.
func reserveAsync(t *testing.T, bro *broker, res reservation.Reserve) <-chan decision {
	t.Helper()
	decided := make(chan decision, 1)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		// An error leaves the channel empty, which the test notices.
		dec, err := bro.reserve(ctx, res)
		if err == nil {
			decided <- dec
		}
	}()
	return decided
}

// sentReservation waits for the next reservation that is sent over a link.
func sentReservation(t *testing.T, bro *broker, lin *link) reservation.Reserve {
	t.Helper()
	limit := time.After(10 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		bro.mutex.Lock()
		out, more := lin.queue.Take()
		bro.mutex.Unlock()
		if res, isReserve := out.Message.(reservation.Reserve); isReserve {
			return res
		}
		if more {
			continue
		}
		select {
		case <-tick.C:
		case <-limit:
			t.Fatal("no reservation was sent")
		}
	}
}

func refuse(bro *broker, ref reservation.Refuse) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.applyMessage(1, ref)
}

// While a refusal of the coordinator is valid, requests like the refused one are refused without asking,
// for the same reason; others are sent, and so are all once another host coordinates.
func TestValidRefusalIsRepeatedWithoutAsking(t *testing.T) {
	bro, first, _ := newGateway(t)
	decided := reserveAsync(t, bro, submissionOf("r1", 1))
	sent := sentReservation(t, bro, first)
	assert.Equal(t, sent.ID.Unique, "r1")
	refuse(bro, reservation.Refuse{ID: sent.ID, Ballot: sent.Ballot, Reason: reservation.ReasonLimit, ValidFor: time.Hour})
	assert.Equal(t, (<-decided).refusal.Reason, reservation.ReasonLimit)
	dec, err := bro.reserve(t.Context(), submissionOf("r2", 1))
	assert.NilError(t, err)
	assert.Equal(t, dec.refusal.Reason, reservation.ReasonLimit)
	assert.Assert(t, dec.refusal.RetryAfter > 0)
	reserveAsync(t, bro, submissionOf("urgent", 0))
	assert.Equal(t, sentReservation(t, bro, first).ID.Unique, "urgent")
	bro.mutex.Lock()
	bro.gate.Reset()
	bro.mutex.Unlock()
	reserveAsync(t, bro, submissionOf("r3", 1))
	assert.Equal(t, sentReservation(t, bro, first).ID.Unique, "r3")
}

// A coordinator that decides nothing gets no more reservations than the window allows. The others are
// refused by this host when they have waited for as long as they may, and truly: they were never sent.
func TestReservationsBeyondWindowAreRefusedUnsent(t *testing.T) {
	bro, first, _ := newGateway(t)
	sent := 0
	for num := range congestion.MaxLimit {
		reserveAsync(t, bro, submissionOf("r"+string(rune('a'+num%26))+time.Duration(num).String(), 1))
	}
	bro.mutex.Lock()
	limit := bro.gate.State().Limit
	bro.mutex.Unlock()
	for range limit {
		sentReservation(t, bro, first)
		sent++
	}
	res := submissionOf("short", 2)
	res.LatencyTarget = 200 * time.Millisecond
	dec, err := bro.reserve(t.Context(), res)
	assert.NilError(t, err)
	assert.Equal(t, dec.refusal.Reason, reservation.ReasonOverload)
	for _, msg := range queued(first.queue) {
		other, isReserve := msg.(reservation.Reserve)
		assert.Assert(t, !isReserve || other.ID.Unique != "short")
	}
}

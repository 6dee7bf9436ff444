package scheduler

import (
	"time"

	"lynxwell.dev/lynxwell/admission"
	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fairqueue"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/turn"
)

// In overload, a request that can't get an engine in time is refused when it arrives: its client can
// then return that much sooner, and the queue holds only requests that may be served. A refusal states
// when there will be room, and how long the core would refuse similar requests, so that gateways need
// not ask again before.

const (
	// maxBookings bounds the clients who were told when to return. The others are as if they arrived
	// new.
	maxBookings = 4096
	// earlyReturn and lateReturn are how much before and after its time a client may return: messages
	// take some milliseconds, and clients' timers are late.
	earlyReturn = 20 * time.Millisecond
	lateReturn  = 250 * time.Millisecond
)

// classTurn predicts the waits in one class. More urgent requests are served first, so each class has
// the rate that they leave to it.
type classTurn struct {
	predictor *turn.Predictor
	calendar  turn.Calendar
	// firstEvent is the mean predicted time from a grant to the first event.
	firstEvent time.Duration
}

func (svc *service) turn(cls fairqueue.Class) *classTurn {
	tur := svc.turns[cls]
	if tur == nil {
		tur = &classTurn{predictor: turn.New()}
		svc.turns[cls] = tur
	}
	return tur
}

// updateTurns records in which classes requests wait.
func (svc *service) updateTurns(now time.Time) {
	for cls, tur := range svc.turns {
		tur.predictor.Waiting(now, svc.queue.Waiting(cls) > 0)
	}
}

// recordServed records that a request was granted an engine, with the predicted time to the first event.
func (svc *service) recordServed(now time.Time, wai *waiter, ent fairqueue.Entry[*waiter], firstEvent time.Duration) {
	tur := svc.turn(ent.Class)
	tur.predictor.Served(now, ent.Work)
	tur.predictor.Started(wai.predicted, now.Sub(wai.since))
	tur.firstEvent += time.Duration(firstEventGain * float64(firstEvent-tur.firstEvent))
}

// refuseEarly refuses a request that certainly waits for longer than it may, and reports whether it did.
// A request that needn't wait for others, that returns when it was told to, or that may run on an isolated
// engine, is never refused.
func (cor *Core) refuseEarly(now time.Time, svc *service, wai *waiter) bool {
	if !cor.cfg.PredictTurns || wai.waitedBefore() || cor.handling(now, wai.reserve) != handleNormal {
		return false
	}
	if cor.takeBooking(now, wai.reserve.Digest) {
		wai.returned = true
		return false
	}
	ent := cor.entry(svc, wai)
	predictor := svc.turn(ent.Class).predictor
	wait, known := predictor.Wait(now, svc.queue.Ahead(ent))
	if !known {
		return false
	}
	wai.predicted = wait
	if !predictor.TooLate(wait, wai.until.Sub(now)) {
		return false
	}
	if !wai.late {
		svc.refusedAt = now
	}
	cor.refund(wai.reserve.Account, wai.reserve.Cost)
	cor.refuseOverload(now, svc, wai)
	return true
}

// refuseOverload refuses a request for lack of engines.
func (cor *Core) refuseOverload(now time.Time, svc *service, wai *waiter) {
	ref := reservation.Refuse{ID: wai.reserve.ID, Ballot: wai.reserve.Ballot, Reason: reservation.ReasonOverload, RetryAfter: RetryAfter(wai.reserve), Waited: now.Sub(wai.since)}
	inp := svc.inputsFor(now, wai)
	inp.Predicted = wai.predicted
	ent := cor.entry(svc, wai)
	tur := svc.turn(ent.Class)
	if wait, known := tur.predictor.Wait(now, svc.queue.Ahead(ent)); known && cor.cfg.PredictTurns && !wai.pinned {
		maxWait := wai.reserve.MaxWait()
		ref.ValidFor = tur.predictor.Excess(wait, maxWait)
		own, _ := tur.predictor.Wait(now, ent.Work)
		ref.AnyAccount = ref.ValidFor > 0 && tur.predictor.TooLate(own, maxWait)
		if cor.cfg.BookReturns {
			ref.RetryAfter = cor.bookReturn(now, tur, ent, wait, ref.RetryAfter)
		}
	}
	cor.send(wai.gateway, ref, inp)
}

// bookReturn returns when the client of a refused request should return: when the queue will have become
// short, if the request can then still meet its target, and after the usual time otherwise. The bursts
// that fill queues for longer last for seconds.
func (cor *Core) bookReturn(now time.Time, tur *classTurn, ent fairqueue.Entry[*waiter], wait, usual time.Duration) time.Duration {
	res := ent.Value.reserve
	rate, known := tur.predictor.Rate(now)
	if !known || ent.Value.late || res.Digest == (call.Digest{}) || len(cor.bookings) >= maxBookings {
		return usual
	}
	if at, booked := cor.bookings[res.Digest]; booked && at.After(now) {
		return at.Sub(now)
	}
	from := now.Add(max(minReturn, wait-res.MaxWait()))
	latest := now.Add(ent.Value.targetLeft(now) - time.Duration(returnMargin*float64(tur.firstEvent)))
	at, booked := tur.calendar.Book(from, latest, ent.Work, rate)
	if !booked {
		return usual
	}
	cor.bookings[res.Digest] = at
	return at.Sub(now)
}

const (
	// minFillWait and maxFillWait bound the time until a client returns whose account's bucket has just begun to fill.
	minFillWait = 60 * time.Millisecond
	maxFillWait = 200 * time.Millisecond
	// minReturn is the least time until a client returns: sooner, the queue is as it was.
	minReturn = 30 * time.Millisecond
	// returnMargin is the time that a returning request has left until its target, as a multiple of the
	// mean time from a grant to the first event.
	returnMargin = 1.5
	// firstEventGain is the weight of a new grant in that mean.
	firstEventGain = 0.05
)

// takeBooking reports whether a request returns when it was told to, and uses up its booking. One that
// returns earlier is treated as new and keeps the booking.
func (cor *Core) takeBooking(now time.Time, dig call.Digest) bool {
	at, booked := cor.bookings[dig]
	if !booked || now.Before(at.Add(-earlyReturn)) {
		return false
	}
	delete(cor.bookings, dig)
	return now.Sub(at) <= lateReturn
}

// expireBookings drops the bookings whose clients haven't returned.
func (cor *Core) expireBookings(now time.Time) {
	if now.Sub(cor.bookingsCheckedAt) < lateReturn {
		return
	}
	cor.bookingsCheckedAt = now
	for dig, at := range cor.bookings {
		if now.Sub(at) > lateReturn {
			delete(cor.bookings, dig)
		}
	}
}

// refuseLimit refuses a request beyond its account's limit, or of which this core can't know whether it is.
func (cor *Core) refuseLimit(now time.Time, from request.Epoch, res reservation.Reserve, svc *service, reason reservation.Reason) {
	ref := reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reason, RetryAfter: RetryAfter(res)}
	if buc := cor.buckets[res.Account]; buc != nil && reason == reservation.ReasonLimit {
		ref.ValidFor = min(admission.MaxValidity, buc.admitsIn(res.Cost, res.Urgency, cor.mayOwe(from)))
		if now.Before(buc.evenUntil) {
			// The account isn't over its limit: its bucket has just begun to fill.
			ref.RetryAfter = min(ref.RetryAfter, minFillWait+time.Duration(float64(maxFillWait-minFillWait)*hashFraction(res.ID)))
		}
	}
	cor.send(from, ref, cor.withAccount(now, svc.inputs(now, now), res))
}

package admission

import (
	"time"

	"lynxwell.dev/lynxwell/congestion"
	"lynxwell.dev/lynxwell/fairqueue"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// ClassOf returns the class in which a reservation waits.
func ClassOf(res reservation.Reserve) fairqueue.Class {
	return fairqueue.Class{Rank: res.Rank, Urgency: res.Urgency, Late: res.IsLate()}
}

func requestOf(res reservation.Reserve) Request {
	return Request{Service: res.Service, Account: res.Account, Class: ClassOf(res), Size: res.Cost}
}

// Gate decides which reservations a gateway sends to its coordinator, and when. It repeats refusals that
// are still valid, and holds back the reservations that the coordinator couldn't decide in time; those
// are sent in the order in which the coordinator would serve them.
type Gate struct {
	refusals *Cache
	window   *congestion.Window
	held     *fairqueue.Queue[request.ID]
	// sentAt holds the reservations that were sent and aren't decided.
	sentAt map[request.ID]time.Time
}

// NewGate returns a gate without reservations.
func NewGate() *Gate {
	return &Gate{refusals: New(), window: congestion.New(), held: fairqueue.New[request.ID](), sentAt: make(map[request.ID]time.Time)}
}

// Repeat returns the refusal of a reservation that the coordinator would refuse, or false if it has to be
// asked. A request that an engine has failed already is never refused so, and one whose client returns only
// beyond its account's limit: the coordinator may have told the client when to return.
func (gat *Gate) Repeat(now time.Time, res reservation.Reserve) (Refusal, bool) {
	if res.Attempt > 0 || res.Requeued {
		return Refusal{}, false
	}
	ref, refused := gat.refusals.Lookup(now, requestOf(res))
	if refused && ref.Reason != reservation.ReasonLimit && res.ClientWait > 0 {
		return Refusal{}, false
	}
	return ref, refused
}

// Submit adds a reservation and reports whether to send it now. Otherwise Ready returns its id later, or
// Expired does.
func (gat *Gate) Submit(now time.Time, res reservation.Reserve) bool {
	if gat.held.Len() == 0 && gat.window.Open() {
		gat.send(now, res.ID)
		return true
	}
	gat.held.Push(fairqueue.Entry[request.ID]{
		ID: res.ID, Share: fairqueue.Share{Class: ClassOf(res), Account: res.Account, Client: res.Client},
		Front: res.Attempt > 0 || res.Requeued, Until: now.Add(res.MaxWait()), Value: res.ID,
	})
	return false
}

func (gat *Gate) send(now time.Time, id request.ID) {
	gat.sentAt[id] = now
	gat.window.Sent()
}

// Ready returns the reservations to send now.
func (gat *Gate) Ready(now time.Time) []request.ID {
	if gat.held.Len() == 0 || !gat.window.Open() {
		return nil
	}
	var ready []request.ID
	gat.held.Walk(func(id request.ID) fairqueue.Verdict {
		if !gat.window.Open() {
			return fairqueue.Stop
		}
		gat.send(now, id)
		ready = append(ready, id)
		return fairqueue.Serve
	})
	return ready
}

// Expired returns the reservations that were held back for as long as they may wait. They are refused.
func (gat *Gate) Expired(now time.Time) []request.ID { return gat.held.TakeExpired(now) }

// Decided records a decision on a reservation that waited for some time in the coordinator's queue. It
// returns by how much the answer lagged behind the network path, and false if the reservation wasn't
// sent.
func (gat *Gate) Decided(now time.Time, id request.ID, waited time.Duration) (time.Duration, bool) {
	sentAt, sent := gat.sentAt[id]
	if !sent {
		return 0, false
	}
	delete(gat.sentAt, id)
	lag := max(0, now.Sub(sentAt)-waited)
	gat.window.Decided(now, lag)
	return gat.window.Excess(lag), true
}

// Refused records the coordinator's refusal of a reservation.
func (gat *Gate) Refused(now time.Time, res reservation.Reserve, ref reservation.Refuse) {
	gat.refusals.Record(now, requestOf(res), Refusal{Reason: ref.Reason, ValidFor: ref.ValidFor, AnyAccount: ref.AnyAccount})
}

// Late records that a reservation wasn't decided in time. It returns false if the reservation wasn't sent.
func (gat *Gate) Late(now time.Time, id request.ID) bool {
	gat.held.Remove(id)
	if _, sent := gat.sentAt[id]; !sent {
		return false
	}
	delete(gat.sentAt, id)
	gat.window.Late(now)
	return true
}

// Withdrawn records that a reservation is no longer wanted. It returns whether it was sent.
func (gat *Gate) Withdrawn(id request.ID) bool {
	gat.held.Remove(id)
	if _, sent := gat.sentAt[id]; !sent {
		return false
	}
	delete(gat.sentAt, id)
	gat.window.Dropped()
	return true
}

// Reset forgets all reservations and refusals, when another coordinator decides.
func (gat *Gate) Reset() {
	*gat = Gate{refusals: gat.refusals, window: gat.window, held: fairqueue.New[request.ID](), sentAt: make(map[request.ID]time.Time)}
	gat.refusals.Clear()
	gat.window.Reset()
}

// State is the state of a gate, for the log and for dumps.
type State struct {
	// Held is the number of reservations that are held back, Undecided that of those that were sent,
	// and Limit the bound of these. Refusals is the number of refusals that are kept.
	Held      int
	Undecided int
	Limit     int
	Refusals  int
}

// State returns the state of the gate.
func (gat *Gate) State() State {
	return State{Held: gat.held.Len(), Undecided: len(gat.sentAt), Limit: gat.window.Limit(), Refusals: gat.refusals.Len()}
}

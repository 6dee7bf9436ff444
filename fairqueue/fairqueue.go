// Package fairqueue orders the requests that wait for an engine of one service. Classes are served
// strictly in order. Within a class, client accounts share the engines in proportion to their weights,
// and the clients of an account share what the account gets equally. A share that nobody uses goes to
// those that wait (the queue is work-conserving).
//
// # Usage
//
//	que := fairqueue.New[*waiter]()
//	que.Push(fairqueue.Entry[*waiter]{ID: id, Share: shr, Work: work, Until: until, Value: wai})
//	que.Walk(func(wai *waiter) fairqueue.Verdict {
//		if !grant(wai) {
//			return fairqueue.Stop
//		}
//		return fairqueue.Serve
//	})
//	for _, wai := range que.TakeExpired(now) {
//		refuse(wai)
//	}
//
// Each account has a virtual time: the work that it was served in the class, divided by its weight. The
// account with the lowest virtual time is served next. An account that begins to wait after a rest is
// at most MaxCredit behind the class, which bounds the burst that it saves up. Only served work is
// charged: a request that is refused or withdrawn costs its account nothing.
//
// A Queue isn't safe for concurrent use. It reads no clock.
package fairqueue

import (
	"cmp"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
)

// MaxCredit is the work per unit of weight that an account without recent use may be served before
// the others of its class. It is that of a few answers, so that an account that seldom asks needn't
// wait, and a burst after a rest doesn't hold up the others for long.
const MaxCredit = 2 * time.Second

// Class is a class of requests. Classes are served in the order of Compare.
type Class struct {
	// Rank and Urgency are served lowest first. Requests that are Late are served after the others of
	// the same rank and urgency.
	Rank    int
	Urgency int
	Late    bool
}

// Compare returns a negative number if cls is served before other, 0 if they are equal.
func (cls Class) Compare(other Class) int {
	return cmp.Or(cmp.Compare(cls.Rank, other.Rank), cmp.Compare(cls.Urgency, other.Urgency), compareBool(cls.Late, other.Late))
}

// compareBool orders false before true.
func compareBool(left, right bool) int {
	switch {
	case left == right:
		return 0
	case right:
		return -1
	default:
		return 1
	}
}

// Share identifies who shares the engines with whom.
type Share struct {
	Class   Class
	Account string
	Client  uint64
	// Weight is the account's weight; one that isn't positive counts as 1.
	Weight float64
}

// Entry is a waiting request.
type Entry[V any] struct {
	Share
	ID request.ID
	// Front puts the request before those of its client that aren't in front, First before all of its
	// class that aren't first. Both are charged like any other.
	Front bool
	First bool
	// Work is how long the request is expected to occupy a slot of an engine.
	Work time.Duration
	// Until is when the request has waited for as long as it may.
	Until time.Time
	Value V

	client *client[V]
	// heapIndex is the position in the queue's heap of deadlines.
	heapIndex int
}

// weight returns the account's weight. One that is missing or negative counts as 1, so that a faulty
// configuration leaves no account without a share.
func (shr Share) weight() float64 {
	if shr.Weight <= 0 {
		return 1
	}
	return shr.Weight
}

// Verdict is what Walk does with an entry that it visited.
type Verdict uint8

const (
	// Keep leaves the entry in the queue and continues with the next one.
	Keep Verdict = iota
	// Serve removes the entry, charges its work and continues.
	Serve
	// Drop removes the entry without a charge and continues.
	Drop
	// Stop leaves the entry in the queue and ends the walk.
	Stop
)

// Queue is a queue of entries with values of type V.
type Queue[V any] struct {
	// classes are sorted.
	classes   []*class[V]
	entries   map[request.ID]*Entry[V]
	deadlines deadlines[V]
	// walk numbers the walks, so that clients know which of their entries the current one has
	// visited.
	walk uint64
}

// New returns an empty queue.
func New[V any]() *Queue[V] {
	return &Queue[V]{entries: make(map[request.ID]*Entry[V])}
}

// Len returns the number of entries.
func (que *Queue[V]) Len() int { return len(que.entries) }

// Push adds an entry. It replaces one with the same id.
func (que *Queue[V]) Push(ent Entry[V]) {
	que.Remove(ent.ID)
	que.class(ent.Class).add(&ent)
	que.entries[ent.ID] = &ent
	que.deadlines.push(&ent)
}

// Remove removes an entry without a charge. It returns the value, and whether there was an entry.
func (que *Queue[V]) Remove(id request.ID) (V, bool) {
	ent := que.entries[id]
	if ent == nil {
		var none V
		return none, false
	}
	que.remove(ent)
	return ent.Value, true
}

// Serve removes an entry and charges its work.
func (que *Queue[V]) Serve(id request.ID) {
	if ent := que.entries[id]; ent != nil {
		ent.client.account.class.charge(ent, ent.Work.Seconds())
		que.remove(ent)
	}
}

func (que *Queue[V]) remove(ent *Entry[V]) {
	delete(que.entries, ent.ID)
	que.deadlines.remove(ent)
	ent.client.account.class.remove(ent)
}

// RemoveWhere removes all entries whose value matches, without a charge.
func (que *Queue[V]) RemoveWhere(matches func(V) bool) {
	for _, ent := range que.entries {
		if matches(ent.Value) {
			que.remove(ent)
		}
	}
}

// TakeExpired removes the entries whose time to wait has ended and returns their values, the
// longest expired first. They aren't charged.
func (que *Queue[V]) TakeExpired(now time.Time) []V {
	var expired []V
	for len(que.deadlines) > 0 && !now.Before(que.deadlines[0].Until) {
		ent := que.deadlines[0]
		que.remove(ent)
		expired = append(expired, ent.Value)
	}
	return expired
}

// Walk visits the entries in the order in which they are served, until a visit returns Stop. Each
// entry is visited at most once. The visit must not call the queue's methods that add or remove
// entries.
func (que *Queue[V]) Walk(visit func(V) Verdict) {
	que.walk++
	for idx := 0; idx < len(que.classes); idx++ {
		if que.classes[idx].walk(que, visit) {
			return
		}
	}
}

// Each visits all entries in no particular order.
func (que *Queue[V]) Each(visit func(V)) {
	for _, ent := range que.entries {
		visit(ent.Value)
	}
}

// Ahead returns the work of the entry's own class that is served before a new entry, if no other entry
// is added later. The entry's ID, Until and Value don't matter.
func (que *Queue[V]) Ahead(ent Entry[V]) time.Duration {
	cls := que.find(ent.Class)
	if cls == nil {
		return 0
	}
	return fromSeconds(cls.ahead(ent))
}

// Waiting returns the number of entries of a class.
func (que *Queue[V]) Waiting(key Class) int {
	cls := que.find(key)
	if cls == nil {
		return 0
	}
	return cls.waiting
}

// AccountState is the state of an account that waits in a class.
type AccountState struct {
	Class   Class
	Account string
	Waiting int
	// Used is the work that the account was served beyond the least served one of its class, per unit
	// of weight.
	Used time.Duration
}

// Accounts returns the accounts that wait, class by class, those that are served next first.
func (que *Queue[V]) Accounts() []AccountState {
	var states []AccountState
	for _, cls := range que.classes {
		for _, acc := range cls.active {
			states = append(states, AccountState{Class: cls.Class, Account: acc.name, Waiting: acc.waiting, Used: fromSeconds(acc.virtual - cls.active[0].virtual)})
		}
	}
	return states
}

// Charge charges work that was served without waiting in this queue.
func (que *Queue[V]) Charge(shr Share, work time.Duration) {
	que.class(shr.Class).chargeElsewhere(shr, work.Seconds())
}

// Correct adjusts an earlier charge to the work that it turned out to be; a negative difference is a
// refund.
func (que *Queue[V]) Correct(shr Share, difference time.Duration) {
	if cls := que.find(shr.Class); cls != nil {
		cls.correct(shr, difference.Seconds())
	}
}

// search returns the position of a class, or where to insert it.
func (que *Queue[V]) search(key Class) (int, bool) {
	return slices.BinarySearchFunc(que.classes, key, func(cls *class[V], key Class) int { return cls.Compare(key) })
}

// class returns the class of the queue, creating it if necessary.
func (que *Queue[V]) class(key Class) *class[V] {
	idx, found := que.search(key)
	if !found {
		que.classes = slices.Insert(que.classes, idx, newClass[V](key))
	}
	return que.classes[idx]
}

// find returns the class of the queue, nil for none.
func (que *Queue[V]) find(key Class) *class[V] {
	idx, found := que.search(key)
	if !found {
		return nil
	}
	return que.classes[idx]
}

func fromSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

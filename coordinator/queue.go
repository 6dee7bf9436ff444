package coordinator

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// waiting is one reservation in a queue.
type waiting struct {
	reserve reservation.Reserve
	gateway request.Epoch
	arrived time.Time
	// deadline is the request's deadline on this host's clock.
	deadline time.Time
	// promoteAt is when the reservation goes ahead of all others of its tier.
	promoteAt time.Time
	// work is the predicted run time, averaged over the engines of the service.
	work    time.Duration
	index   int
	element *list.Element
}

// queue holds the waiting reservations of one service. It orders them strictly by
// tier, within a tier by weighted fair queuing over client accounts, and within an
// account by the least work.
type queue struct {
	byID  map[request.ID]*waiting
	tiers []*tierQueue
	// work is the total predicted work.
	work time.Duration
}

type tierQueue struct {
	rank int
	// arrivals holds the tier's reservations by arrival.
	arrivals *list.List
	accounts map[string]*accountQueue
	active   accountHeap
	// virtual is the virtual time of the account served last.
	virtual float64
}

type accountQueue struct {
	name    string
	virtual float64
	index   int
	heap    workHeap
}

func newQueue() *queue {
	return &queue{byID: make(map[request.ID]*waiting)}
}

func (que *queue) len() int {
	return len(que.byID)
}

func (que *queue) add(wai *waiting) {
	que.byID[wai.reserve.ID] = wai
	que.work += wai.work
	tiq := que.tier(wai.reserve.Rank)
	wai.element = tiq.arrivals.PushBack(wai)
	acq := tiq.accounts[wai.reserve.Account]
	if acq == nil {
		acq = &accountQueue{name: wai.reserve.Account}
		tiq.accounts[acq.name] = acq
	}
	if len(acq.heap) == 0 {
		acq.virtual = max(acq.virtual, tiq.virtual)
		heap.Push(&tiq.active, acq)
	}
	heap.Push(&acq.heap, wai)
}

func (que *queue) tier(rank int) *tierQueue {
	idx, found := slices.BinarySearchFunc(que.tiers, rank, func(tiq *tierQueue, rank int) int {
		return rank - tiq.rank
	})
	if !found {
		tiq := &tierQueue{rank: rank, arrivals: list.New(), accounts: make(map[string]*accountQueue)}
		que.tiers = slices.Insert(que.tiers, idx, tiq)
	}
	return que.tiers[idx]
}

// remove removes and returns a reservation, or returns nil if it isn't in the queue.
func (que *queue) remove(id request.ID) *waiting {
	wai := que.byID[id]
	if wai == nil {
		return nil
	}
	delete(que.byID, id)
	que.work -= wai.work
	tiq := que.tier(wai.reserve.Rank)
	tiq.arrivals.Remove(wai.element)
	acq := tiq.accounts[wai.reserve.Account]
	heap.Remove(&acq.heap, wai.index)
	if len(acq.heap) == 0 {
		heap.Remove(&tiq.active, acq.index)
	}
	tiq.resetIfEmpty()
	return wai
}

// resetIfEmpty drops the accounts and the virtual time of an empty tier: past use
// doesn't affect the next reservations.
func (tiq *tierQueue) resetIfEmpty() {
	if tiq.arrivals.Len() > 0 {
		return
	}
	clear(tiq.accounts)
	tiq.virtual = 0
}

// next returns the reservation to serve first, without taking it out.
func (que *queue) next(now time.Time) *waiting {
	for _, tiq := range que.tiers {
		if tiq.arrivals.Len() == 0 {
			continue
		}
		oldest, _ := tiq.arrivals.Front().Value.(*waiting)
		if !now.Before(oldest.promoteAt) {
			return oldest
		}
		return tiq.active[0].heap[0]
	}
	return nil
}

// serve removes the reservation and charges its account.
func (que *queue) serve(wai *waiting) {
	tiq := que.tier(wai.reserve.Rank)
	acq := tiq.accounts[wai.reserve.Account]
	tiq.virtual = acq.virtual
	acq.virtual += wai.work.Seconds() / weightOf(wai.reserve.Weight)
	heap.Fix(&tiq.active, acq.index)
	que.remove(wai.reserve.ID)
}

func weightOf(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// lowestBelow returns the reservation to drop first: the latest arrival of the lowest
// tier. It returns nil if no reservation ranks below the given rank.
func (que *queue) lowestBelow(below int) *waiting {
	for _, tiq := range slices.Backward(que.tiers) {
		if tiq.rank >= below {
			return nil
		}
		if tiq.arrivals.Len() > 0 {
			last, _ := tiq.arrivals.Back().Value.(*waiting)
			return last
		}
	}
	return nil
}

// all returns every reservation, in no order.
func (que *queue) all() []*waiting {
	waits := make([]*waiting, 0, len(que.byID))
	for _, wai := range que.byID {
		waits = append(waits, wai)
	}
	return waits
}

// workHeap orders one account's reservations: the least work first.
type workHeap []*waiting

func (wkh workHeap) Len() int { return len(wkh) }

func (wkh workHeap) Less(one, two int) bool {
	if wkh[one].work != wkh[two].work {
		return wkh[one].work < wkh[two].work
	}
	return wkh[one].arrived.Before(wkh[two].arrived)
}

func (wkh workHeap) Swap(one, two int) {
	wkh[one], wkh[two] = wkh[two], wkh[one]
	wkh[one].index, wkh[two].index = one, two
}

// Push appends a *waiting; container/heap calls it.
func (wkh *workHeap) Push(val any) {
	wai, _ := val.(*waiting)
	wai.index = len(*wkh)
	*wkh = append(*wkh, wai)
}

// Pop takes the last *waiting off; container/heap calls it.
func (wkh *workHeap) Pop() any {
	last := len(*wkh) - 1
	wai := (*wkh)[last]
	(*wkh)[last] = nil
	*wkh = (*wkh)[:last]
	return wai
}

// accountHeap is a heap of the accounts with waiting reservations, the least virtual
// time first.
type accountHeap []*accountQueue

func (ach accountHeap) Len() int { return len(ach) }

func (ach accountHeap) Less(one, two int) bool {
	if ach[one].virtual != ach[two].virtual {
		return ach[one].virtual < ach[two].virtual
	}
	return ach[one].name < ach[two].name
}

func (ach accountHeap) Swap(one, two int) {
	ach[one], ach[two] = ach[two], ach[one]
	ach[one].index, ach[two].index = one, two
}

// Push appends an *accountQueue; container/heap calls it.
func (ach *accountHeap) Push(val any) {
	acq, _ := val.(*accountQueue)
	acq.index = len(*ach)
	*ach = append(*ach, acq)
}

// Pop takes the last *accountQueue off; container/heap calls it.
func (ach *accountHeap) Pop() any {
	last := len(*ach) - 1
	acq := (*ach)[last]
	(*ach)[last] = nil
	*ach = (*ach)[:last]
	return acq
}

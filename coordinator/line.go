package coordinator

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// waiting is one reservation in a line.
type waiting struct {
	reserve reservation.Reserve
	gateway request.Epoch
	arrived time.Time
	// deadline is the request's deadline on this host's clock.
	deadline time.Time
	// overdue is when the reservation goes before all others of its tier.
	overdue time.Time
	// work is the predicted run time on a middling engine of the service.
	work  time.Duration
	index int
	place *list.Element
}

// line holds the waiting reservations of one service: strictly by tier, within
// a tier by fair share over client accounts, within an account by work.
type line struct {
	byID  map[request.ID]*waiting
	tiers []*tierLine
	// work is the predicted work of all of them.
	work time.Duration
}

type tierLine struct {
	rank int
	// arrivals holds the tier's reservations by arrival.
	arrivals *list.List
	accounts map[string]*accountLine
	active   accountHeap
	// virtual is the virtual time of the account served last.
	virtual float64
}

type accountLine struct {
	name    string
	virtual float64
	index   int
	heap    workHeap
}

func newLine() *line {
	return &line{byID: make(map[request.ID]*waiting)}
}

func (lin *line) len() int {
	return len(lin.byID)
}

func (lin *line) add(wai *waiting) {
	lin.byID[wai.reserve.ID] = wai
	lin.work += wai.work
	til := lin.tier(wai.reserve.Rank)
	wai.place = til.arrivals.PushBack(wai)
	acl := til.accounts[wai.reserve.Account]
	if acl == nil {
		acl = &accountLine{name: wai.reserve.Account}
		til.accounts[acl.name] = acl
	}
	if len(acl.heap) == 0 {
		acl.virtual = max(acl.virtual, til.virtual)
		heap.Push(&til.active, acl)
	}
	heap.Push(&acl.heap, wai)
}

func (lin *line) tier(rank int) *tierLine {
	idx, found := slices.BinarySearchFunc(lin.tiers, rank, func(til *tierLine, rank int) int {
		return rank - til.rank
	})
	if !found {
		til := &tierLine{rank: rank, arrivals: list.New(), accounts: make(map[string]*accountLine)}
		lin.tiers = slices.Insert(lin.tiers, idx, til)
	}
	return lin.tiers[idx]
}

// remove takes a reservation out, wherever it stands.
func (lin *line) remove(id request.ID) *waiting {
	wai := lin.byID[id]
	if wai == nil {
		return nil
	}
	delete(lin.byID, id)
	lin.work -= wai.work
	til := lin.tier(wai.reserve.Rank)
	til.arrivals.Remove(wai.place)
	acl := til.accounts[wai.reserve.Account]
	heap.Remove(&acl.heap, wai.index)
	if len(acl.heap) == 0 {
		heap.Remove(&til.active, acl.index)
	}
	til.forgetIdle()
	return wai
}

// forgetIdle drops accounts whose past use no longer matters.
func (til *tierLine) forgetIdle() {
	if til.arrivals.Len() > 0 {
		return
	}
	clear(til.accounts)
	til.virtual = 0
}

// next returns the reservation to serve first, without taking it out.
func (lin *line) next(now time.Time) *waiting {
	for _, til := range lin.tiers {
		if til.arrivals.Len() == 0 {
			continue
		}
		oldest, _ := til.arrivals.Front().Value.(*waiting)
		if !now.Before(oldest.overdue) {
			return oldest
		}
		return til.active[0].heap[0]
	}
	return nil
}

// serve takes the reservation out and charges its account.
func (lin *line) serve(wai *waiting) {
	til := lin.tier(wai.reserve.Rank)
	acl := til.accounts[wai.reserve.Account]
	til.virtual = acl.virtual
	acl.virtual += wai.work.Seconds() / weightOf(wai.reserve.Weight)
	heap.Fix(&til.active, acl.index)
	lin.remove(wai.reserve.ID)
}

func weightOf(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// lowest returns the reservation to drop first: the one of the lowest tier
// that would be served last. It returns nil when none ranks below the rank.
func (lin *line) lowest(below int) *waiting {
	for _, til := range slices.Backward(lin.tiers) {
		if til.rank >= below {
			return nil
		}
		if til.arrivals.Len() > 0 {
			last, _ := til.arrivals.Back().Value.(*waiting)
			return last
		}
	}
	return nil
}

// all returns every reservation, in no order.
func (lin *line) all() []*waiting {
	waits := make([]*waiting, 0, len(lin.byID))
	for _, wai := range lin.byID {
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

// accountHeap orders the accounts that wait: the least served first.
type accountHeap []*accountLine

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

// Push appends an *accountLine; container/heap calls it.
func (ach *accountHeap) Push(val any) {
	acl, _ := val.(*accountLine)
	acl.index = len(*ach)
	*ach = append(*ach, acl)
}

// Pop takes the last *accountLine off; container/heap calls it.
func (ach *accountHeap) Pop() any {
	last := len(*ach) - 1
	acl := (*ach)[last]
	(*ach)[last] = nil
	*ach = (*ach)[:last]
	return acl
}

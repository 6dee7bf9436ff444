package coordinator

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes the random tests repeatable.
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// referenceQueue is a plain list that computes the order anew for each call of next.
type referenceQueue struct {
	waits []*waiting
	// virtual holds the virtual times of the accounts, last those of the tiers.
	virtual map[string]float64
	last    map[int]float64
}

func accountKey(wai *waiting) string {
	return fmt.Sprintf("%d %s", wai.reserve.Rank, wai.reserve.Account)
}

func (ref *referenceQueue) waitingWhere(match func(*waiting) bool) []*waiting {
	var matches []*waiting
	for _, wai := range ref.waits {
		if match(wai) {
			matches = append(matches, wai)
		}
	}
	return matches
}

func (ref *referenceQueue) add(wai *waiting) {
	key := accountKey(wai)
	if len(ref.waitingWhere(func(other *waiting) bool { return accountKey(other) == key })) == 0 {
		ref.virtual[key] = max(ref.virtual[key], ref.last[wai.reserve.Rank])
	}
	ref.waits = append(ref.waits, wai)
}

func (ref *referenceQueue) remove(id request.ID) {
	for idx, wai := range ref.waits {
		if wai.reserve.ID != id {
			continue
		}
		ref.waits = slices.Delete(ref.waits, idx, idx+1)
		rank := wai.reserve.Rank
		if len(ref.waitingWhere(func(other *waiting) bool { return other.reserve.Rank == rank })) == 0 {
			ref.last[rank] = 0
			for key := range ref.virtual {
				var tier int
				_, _ = fmt.Sscanf(key, "%d", &tier)
				if tier == rank {
					delete(ref.virtual, key)
				}
			}
		}
		return
	}
}

func (ref *referenceQueue) next(now time.Time) *waiting {
	if len(ref.waits) == 0 {
		return nil
	}
	top := slices.MaxFunc(ref.waits, func(one, two *waiting) int { return one.reserve.Rank - two.reserve.Rank }).reserve.Rank
	tier := ref.waitingWhere(func(wai *waiting) bool { return wai.reserve.Rank == top })
	if !now.Before(tier[0].promoteAt) {
		return tier[0]
	}
	best := tier[0]
	for _, wai := range tier[1:] {
		if ref.before(wai, best) {
			best = wai
		}
	}
	return best
}

func (ref *referenceQueue) before(one, two *waiting) bool {
	first, second := ref.virtual[accountKey(one)], ref.virtual[accountKey(two)]
	switch {
	case one.reserve.Account != two.reserve.Account && first != second:
		return first < second
	case one.reserve.Account != two.reserve.Account:
		return one.reserve.Account < two.reserve.Account
	case one.work != two.work:
		return one.work < two.work
	default:
		return one.arrived.Before(two.arrived)
	}
}

func (ref *referenceQueue) serve(wai *waiting) {
	key := accountKey(wai)
	ref.last[wai.reserve.Rank] = ref.virtual[key]
	ref.virtual[key] += wai.work.Seconds() / weightOf(wai.reserve.Weight)
	ref.remove(wai.reserve.ID)
}

func drawWaiting(t *rapid.T, number int, now time.Time) *waiting {
	return &waiting{
		reserve: reservation.Reserve{
			ID:      request.ID{Unique: fmt.Sprintf("r%04d", number)},
			Rank:    10 * rapid.IntRange(1, 3).Draw(t, "rank"),
			Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
			Weight:  float64(rapid.IntRange(0, 2).Draw(t, "weight")),
		},
		arrived: now, promoteAt: now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "promote after")) * time.Second),
		work: time.Duration(rapid.IntRange(1, 9).Draw(t, "work")) * time.Second,
	}
}

// After the same events, the queue and the reference list must serve the same reservations
// in the same order.
func TestQueueServesInTheReferenceOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		que := newQueue()
		ref := &referenceQueue{virtual: make(map[string]float64), last: make(map[int]float64)}
		now := time.Unix(1000, 0)
		for number := range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "time step")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1, 2:
				wai := drawWaiting(t, number, now)
				own := *wai
				que.add(wai)
				ref.add(&own)
			case 3:
				serveBoth(t, que, ref, now)
			case 4:
				if len(ref.waits) > 0 {
					id := ref.waits[rapid.IntRange(0, len(ref.waits)-1).Draw(t, "removed")].reserve.ID
					que.remove(id)
					ref.remove(id)
				}
			}
			assert.Equal(t, que.len(), len(ref.waits))
		}
		for que.len() > 0 {
			serveBoth(t, que, ref, now)
		}
		assert.Equal(t, que.work, time.Duration(0))
	})
}

func serveBoth(t *rapid.T, que *queue, ref *referenceQueue, now time.Time) {
	got, want := que.next(now), ref.next(now)
	if want == nil {
		assert.Assert(t, got == nil)
		return
	}
	assert.Equal(t, got.reserve.ID, want.reserve.ID)
	que.serve(got)
	ref.serve(want)
}

// BenchmarkDecision measures one reservation from its arrival to the release of its
// slot, by the number of waiting reservations and of engines.
func BenchmarkDecision(b *testing.B) {
	for _, waitingCount := range []int{10, 100, 1000, 10000} {
		for _, engines := range []int{2, 10, 100} {
			b.Run(fmt.Sprintf("waiting=%d/engines=%d", waitingCount, engines), func(b *testing.B) {
				cor, now := saturatedCore(waitingCount, engines)
				b.ReportAllocs()
				for number := 0; b.Loop(); number++ {
					scheduleOnce(cor, now, number)
				}
			})
		}
	}
}

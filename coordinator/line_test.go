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
	// The same walks on every run.
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// naiveLine is a plain list that works everything out anew each time.
type naiveLine struct {
	waits []*waiting
	// virtual and last are the accounts' and the tiers' virtual times.
	virtual map[string]float64
	last    map[int]float64
}

func accountKey(wai *waiting) string {
	return fmt.Sprintf("%d %s", wai.reserve.Rank, wai.reserve.Account)
}

func (nai *naiveLine) waitsOf(match func(*waiting) bool) []*waiting {
	var some []*waiting
	for _, wai := range nai.waits {
		if match(wai) {
			some = append(some, wai)
		}
	}
	return some
}

func (nai *naiveLine) add(wai *waiting) {
	key := accountKey(wai)
	if len(nai.waitsOf(func(other *waiting) bool { return accountKey(other) == key })) == 0 {
		nai.virtual[key] = max(nai.virtual[key], nai.last[wai.reserve.Rank])
	}
	nai.waits = append(nai.waits, wai)
}

func (nai *naiveLine) remove(id request.ID) {
	for idx, wai := range nai.waits {
		if wai.reserve.ID != id {
			continue
		}
		nai.waits = slices.Delete(nai.waits, idx, idx+1)
		rank := wai.reserve.Rank
		if len(nai.waitsOf(func(other *waiting) bool { return other.reserve.Rank == rank })) == 0 {
			nai.last[rank] = 0
			for key := range nai.virtual {
				var tier int
				_, _ = fmt.Sscanf(key, "%d", &tier)
				if tier == rank {
					delete(nai.virtual, key)
				}
			}
		}
		return
	}
}

func (nai *naiveLine) next(now time.Time) *waiting {
	if len(nai.waits) == 0 {
		return nil
	}
	top := slices.MaxFunc(nai.waits, func(one, two *waiting) int { return one.reserve.Rank - two.reserve.Rank }).reserve.Rank
	tier := nai.waitsOf(func(wai *waiting) bool { return wai.reserve.Rank == top })
	if !now.Before(tier[0].overdue) {
		return tier[0]
	}
	best := tier[0]
	for _, wai := range tier[1:] {
		if nai.before(wai, best) {
			best = wai
		}
	}
	return best
}

func (nai *naiveLine) before(one, two *waiting) bool {
	first, second := nai.virtual[accountKey(one)], nai.virtual[accountKey(two)]
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

func (nai *naiveLine) serve(wai *waiting) {
	key := accountKey(wai)
	nai.last[wai.reserve.Rank] = nai.virtual[key]
	nai.virtual[key] += wai.work.Seconds() / weightOf(wai.reserve.Weight)
	nai.remove(wai.reserve.ID)
}

func drawWaiting(t *rapid.T, number int, now time.Time) *waiting {
	return &waiting{
		reserve: reservation.Reserve{
			ID:      request.ID{Unique: fmt.Sprintf("r%04d", number)},
			Rank:    10 * rapid.IntRange(1, 3).Draw(t, "rank"),
			Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
			Weight:  float64(rapid.IntRange(0, 2).Draw(t, "weight")),
		},
		arrived: now, overdue: now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "patience")) * time.Second),
		work: time.Duration(rapid.IntRange(1, 9).Draw(t, "work")) * time.Second,
	}
}

// The line and the plain list, given the same events, serve the same
// reservations in the same order.
func TestLineServesAsAPlainListDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lin := newLine()
		nai := &naiveLine{virtual: make(map[string]float64), last: make(map[int]float64)}
		now := time.Unix(1000, 0)
		for number := range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1, 2:
				wai := drawWaiting(t, number, now)
				own := *wai
				lin.add(wai)
				nai.add(&own)
			case 3:
				serveBoth(t, lin, nai, now)
			case 4:
				if len(nai.waits) > 0 {
					id := nai.waits[rapid.IntRange(0, len(nai.waits)-1).Draw(t, "gone")].reserve.ID
					lin.remove(id)
					nai.remove(id)
				}
			}
			assert.Equal(t, lin.len(), len(nai.waits))
		}
		for lin.len() > 0 {
			serveBoth(t, lin, nai, now)
		}
		assert.Equal(t, lin.work, time.Duration(0))
	})
}

func serveBoth(t *rapid.T, lin *line, nai *naiveLine, now time.Time) {
	got, want := lin.next(now), nai.next(now)
	if want == nil {
		assert.Assert(t, got == nil)
		return
	}
	assert.Equal(t, got.reserve.ID, want.reserve.ID)
	lin.serve(got)
	nai.serve(want)
}

// BenchmarkDecision is one reservation through its whole life, with so many
// waiting already and so many engines.
func BenchmarkDecision(b *testing.B) {
	for _, waitingCount := range []int{10, 100, 1000, 10000} {
		for _, engines := range []int{2, 10, 100} {
			b.Run(fmt.Sprintf("waiting=%d/engines=%d", waitingCount, engines), func(b *testing.B) {
				cor, now := busyCore(waitingCount, engines)
				b.ReportAllocs()
				for number := 0; b.Loop(); number++ {
					decideOnce(cor, now, number)
				}
			})
		}
	}
}

package evacuation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/request"
)

const domain = "d1"

func nothing(string) int { return 0 }

func ordered(revision uint64) evacuation.Standing {
	return evacuation.Standing{Order: evacuation.Order{Domain: domain, Revision: revision}}
}

func TestOrderIsToldWhenAllHostsKeepToIt(t *testing.T) {
	now := time.Unix(100, 0)
	brd := evacuation.New()
	assert.Assert(t, !brd.Open())
	brd.SetStandings([]evacuation.Standing{ordered(7)})
	brd.SetHosts([]request.Epoch{1, 2})
	assert.Equal(t, len(brd.Writes(now, nothing)), 0)
	brd.Take(1, []evacuation.Order{{Domain: domain, Revision: 7}})
	brd.Take(2, []evacuation.Order{{Domain: domain, Revision: 5}, {Domain: "d2", Revision: 7}})
	assert.Equal(t, len(brd.Writes(now, nothing)), 0, "a former order")
	assert.DeepEqual(t, brd.Dump(nothing), []evacuation.Dump{{Domain: domain, Order: 7, State: "Ordered", Missing: []string{request.Epoch(2).String()}}})
	brd.Take(2, []evacuation.Order{{Domain: domain, Revision: 7}})
	runs := 3
	running := func(string) int { return runs }
	assert.DeepEqual(t, brd.Writes(now, running), []evacuation.Write{{Domain: domain, Order: 7, State: evacuation.StateClosed}})
	assert.Equal(t, len(brd.Writes(now, running)), 0, "its outcome isn't known yet")
	assert.Equal(t, len(brd.Writes(now.Add(time.Second), running)), 1, "the store has shown nothing")
	std := ordered(7)
	std.Told = evacuation.Told{Order: 7, State: evacuation.StateClosed, Revision: 9}
	brd.SetStandings([]evacuation.Standing{std})
	assert.Equal(t, len(brd.Writes(now.Add(time.Minute), running)), 0, "told")
	runs = 0
	assert.DeepEqual(t, brd.Writes(now.Add(time.Minute), running), []evacuation.Write{{Domain: domain, Order: 7, State: evacuation.StateEmpty, Expect: 9}})
}

// What was told stays while the order is given, whoever comes later; it goes with the order.
func TestWhatWasToldStaysWithItsOrder(t *testing.T) {
	now := time.Unix(100, 0)
	brd := evacuation.New()
	std := ordered(7)
	std.Told = evacuation.Told{Order: 7, State: evacuation.StateEmpty, Revision: 9}
	brd.SetStandings([]evacuation.Standing{std})
	brd.SetHosts([]request.Epoch{1})
	assert.Equal(t, len(brd.Writes(now, nothing)), 0, "a host that is new")
	std.Order.Revision = 0
	brd.SetStandings([]evacuation.Standing{std})
	assert.DeepEqual(t, brd.Writes(now, nothing), []evacuation.Write{{Domain: domain, Delete: true, Expect: 9}})
	std.Order.Revision = 12
	brd.SetStandings([]evacuation.Standing{std})
	assert.Equal(t, len(brd.Writes(now, nothing)), 0, "another order, which nobody keeps to yet")
	brd.Take(1, []evacuation.Order{{Domain: domain, Revision: 12}})
	assert.DeepEqual(t, brd.Writes(now, nothing), []evacuation.Write{{Domain: domain, Order: 12, State: evacuation.StateEmpty, Expect: 9}})
}

// A host that has no entry and no session any more isn't waited for, and what it said doesn't
// count for one that comes back.
func TestHostThatIsGoneIsNotWaitedFor(t *testing.T) {
	now := time.Unix(100, 0)
	brd := evacuation.New()
	brd.SetStandings([]evacuation.Standing{ordered(7)})
	assert.Equal(t, len(brd.Writes(now, nothing)), 0, "who knows of no host knows nothing")
	brd.SetHosts([]request.Epoch{1, 2})
	brd.Take(1, []evacuation.Order{{Domain: domain, Revision: 7}})
	brd.Take(2, []evacuation.Order{{Domain: domain, Revision: 7}})
	brd.SetHosts([]request.Epoch{1})
	brd.SetHosts([]request.Epoch{1, 2})
	assert.Equal(t, len(brd.Writes(now, nothing)), 0)
	brd.SetHosts([]request.Epoch{1})
	assert.Equal(t, len(brd.Writes(now, nothing)), 1)
}

func TestHostKeepsToAnOrderOnceNothingIsOnItsWay(t *testing.T) {
	gat := evacuation.NewGate()
	order := evacuation.Order{Domain: domain, Revision: 7}
	for _, to := range []string{domain, domain, "d2"} {
		assert.Assert(t, gat.Enter(to))
	}
	assert.Assert(t, gat.Set([]evacuation.Order{order}))
	assert.Assert(t, !gat.Set([]evacuation.Order{order}))
	assert.Assert(t, !gat.Enter(domain) && gat.Enter("d2"))
	assert.Equal(t, len(gat.Kept()), 0)
	assert.Assert(t, !gat.Leave(domain))
	assert.Assert(t, gat.Leave(domain))
	assert.DeepEqual(t, gat.Kept(), []evacuation.Order{order})
	assert.Assert(t, !gat.Leave("d2"))
	assert.Assert(t, gat.Set(nil))
	assert.Assert(t, gat.Enter(domain))
}

// fakeStore is the store's part of an order to empty a domain.
type fakeStore struct {
	revision uint64
	standing evacuation.Standing
	// told are the orders that operators were told to be carried out, by their revisions.
	told map[uint64]int
}

func (fst *fakeStore) write(rt *rapid.T, wri evacuation.Write, kept func(order uint64) bool) {
	if wri.Expect != fst.standing.Told.Revision {
		return
	}
	fst.revision++
	if wri.Delete {
		fst.standing.Told = evacuation.Told{}
		return
	}
	if wri.Order == fst.standing.Order.Revision && fst.standing.Told.Order != wri.Order {
		fst.told[wri.Order]++
		if fst.told[wri.Order] > 1 {
			rt.Fatalf("order %d was told twice", wri.Order)
		}
		if !kept(wri.Order) {
			rt.Fatalf("order %d is told, and some host doesn't keep to it", wri.Order)
		}
	}
	fst.standing.Told = evacuation.Told{Order: wri.Order, State: wri.State, Revision: fst.revision}
}

// However orders are given and taken back, hosts are late and lost, and whoever decides, also
// two at once that know different states of the store: no order is told before all hosts keep
// to it, and none is told twice.
func TestOrderIsToldOnceAndNoSooner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(100, 0)
		const hosts = 4
		fst := &fakeStore{revision: 1, standing: ordered(0), told: make(map[uint64]int)}
		boards := []*evacuation.Board{evacuation.New(), evacuation.New()}
		var epochs []request.Epoch
		known := make(map[request.Epoch]evacuation.Order)
		next := request.Epoch(1)
		for range hosts {
			epochs = append(epochs, next)
			next++
		}
		keepsAll := func(order uint64) bool {
			for _, epo := range epochs {
				if known[epo].Revision != order {
					return false
				}
			}
			return true
		}
		for range rapid.IntRange(5, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "pause")) * time.Millisecond)
			brd := boards[rapid.IntRange(0, 1).Draw(rt, "board")]
			num := rapid.IntRange(0, hosts-1).Draw(rt, "host")
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				if fst.standing.Order.Revision == 0 {
					fst.revision++
					fst.standing.Order.Revision = fst.revision
				} else if rapid.IntRange(0, 3).Draw(rt, "end") == 0 {
					fst.standing.Order.Revision = 0
				}
			case 1:
				known[epochs[num]] = fst.standing.Order
			case 2:
				brd.SetHosts(epochs)
				brd.Take(epochs[num], []evacuation.Order{known[epochs[num]]})
			case 3:
				// The host is lost, and another starts, which reads the store before it sends anything.
				known[next] = fst.standing.Order
				epochs[num] = next
				next++
			case 4:
				brd.SetHosts(epochs)
				brd.SetStandings([]evacuation.Standing{fst.standing})
			default:
				brd.SetHosts(epochs)
				for _, wri := range brd.Writes(now, nothing) {
					fst.write(rt, wri, keepsAll)
				}
			}
		}
	})
}

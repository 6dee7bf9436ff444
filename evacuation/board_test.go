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

func noneRunning(string) int { return 0 }

func ordered(revision uint64) evacuation.StoredState {
	return evacuation.StoredState{Order: evacuation.Order{Domain: domain, Revision: revision}}
}

func TestOrderIsPublishedOnceAllHostsEnforceIt(t *testing.T) {
	now := time.Unix(100, 0)
	trk := evacuation.New()
	assert.Assert(t, !trk.Pending())
	trk.SetStates([]evacuation.StoredState{ordered(7)})
	trk.SetHosts([]request.Epoch{1, 2})
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0)
	trk.SetEnforced(1, []evacuation.Order{{Domain: domain, Revision: 7}})
	trk.SetEnforced(2, []evacuation.Order{{Domain: domain, Revision: 5}, {Domain: "d2", Revision: 7}})
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0, "an earlier order")
	assert.DeepEqual(t, trk.Dump(noneRunning), []evacuation.Dump{{Domain: domain, Order: 7, State: "Ordered", Missing: []string{request.Epoch(2).String()}}})
	trk.SetEnforced(2, []evacuation.Order{{Domain: domain, Revision: 7}})
	runs := 3
	running := func(string) int { return runs }
	assert.DeepEqual(t, trk.Writes(now, running), []evacuation.Write{{Domain: domain, Order: 7, State: evacuation.StateClosed}})
	assert.Equal(t, len(trk.Writes(now, running)), 0, "the write was returned less than 1 s ago")
	assert.Equal(t, len(trk.Writes(now.Add(time.Second), running)), 1, "the change hasn't been read from the store")
	sta := ordered(7)
	sta.Published = evacuation.PublishedState{Order: 7, State: evacuation.StateClosed, Revision: 9}
	trk.SetStates([]evacuation.StoredState{sta})
	assert.Equal(t, len(trk.Writes(now.Add(time.Minute), running)), 0, "published")
	runs = 0
	assert.DeepEqual(t, trk.Writes(now.Add(time.Minute), running), []evacuation.Write{{Domain: domain, Order: 7, State: evacuation.StateEmpty, Expect: 9}})
}

// The published state of an order must not change while the order is in force, even if a host
// starts later, and must be deleted when the order is withdrawn.
func TestPublishedStateStaysWithItsOrder(t *testing.T) {
	now := time.Unix(100, 0)
	trk := evacuation.New()
	sta := ordered(7)
	sta.Published = evacuation.PublishedState{Order: 7, State: evacuation.StateEmpty, Revision: 9}
	trk.SetStates([]evacuation.StoredState{sta})
	trk.SetHosts([]request.Epoch{1})
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0, "a host has just started")
	sta.Order.Revision = 0
	trk.SetStates([]evacuation.StoredState{sta})
	assert.DeepEqual(t, trk.Writes(now, noneRunning), []evacuation.Write{{Domain: domain, Delete: true, Expect: 9}})
	sta.Order.Revision = 12
	trk.SetStates([]evacuation.StoredState{sta})
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0, "another order, which no host enforces yet")
	trk.SetEnforced(1, []evacuation.Order{{Domain: domain, Revision: 12}})
	assert.DeepEqual(t, trk.Writes(now, noneRunning), []evacuation.Write{{Domain: domain, Order: 12, State: evacuation.StateEmpty, Expect: 9}})
}

// An order must not wait for a host that has neither an entry nor a session, and the earlier
// report of such a host must not count when the host is back.
func TestOrderDoesNotWaitForAStoppedHost(t *testing.T) {
	now := time.Unix(100, 0)
	trk := evacuation.New()
	trk.SetStates([]evacuation.StoredState{ordered(7)})
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0, "no host is known")
	trk.SetHosts([]request.Epoch{1, 2})
	trk.SetEnforced(1, []evacuation.Order{{Domain: domain, Revision: 7}})
	trk.SetEnforced(2, []evacuation.Order{{Domain: domain, Revision: 7}})
	trk.SetHosts([]request.Epoch{1})
	trk.SetHosts([]request.Epoch{1, 2})
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0)
	trk.SetHosts([]request.Epoch{1})
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 1)
}

func TestHostEnforcesAnOrderOnceNoRequestIsInTransit(t *testing.T) {
	gat := evacuation.NewGate()
	order := evacuation.Order{Domain: domain, Revision: 7}
	for _, to := range []string{domain, domain, "d2"} {
		assert.Assert(t, gat.BeginWrite(to))
	}
	assert.Assert(t, gat.SetOrders([]evacuation.Order{order}))
	assert.Assert(t, !gat.SetOrders([]evacuation.Order{order}))
	assert.Assert(t, !gat.BeginWrite(domain) && gat.BeginWrite("d2"))
	assert.Equal(t, len(gat.Enforced()), 0)
	assert.Assert(t, !gat.EndWrite(domain))
	assert.Assert(t, gat.EndWrite(domain))
	assert.DeepEqual(t, gat.Enforced(), []evacuation.Order{order})
	assert.Assert(t, !gat.EndWrite("d2"))
	assert.Assert(t, gat.SetOrders(nil))
	assert.Assert(t, gat.BeginWrite(domain))
}

// fakeStore holds the order and published state of one domain, as the store does.
type fakeStore struct {
	revision uint64
	state    evacuation.StoredState
	// published counts, by revision of the order, how often an order was published.
	published map[uint64]int
}

func (fst *fakeStore) write(rt *rapid.T, wri evacuation.Write, enforced func(order uint64) bool) {
	if wri.Expect != fst.state.Published.Revision {
		return
	}
	fst.revision++
	if wri.Delete {
		fst.state.Published = evacuation.PublishedState{}
		return
	}
	if wri.Order == fst.state.Order.Revision && fst.state.Published.Order != wri.Order {
		fst.published[wri.Order]++
		if fst.published[wri.Order] > 1 {
			rt.Fatalf("order %d was published twice", wri.Order)
		}
		if !enforced(wri.Order) {
			rt.Fatalf("order %d is published, and some host doesn't enforce it", wri.Order)
		}
	}
	fst.state.Published = evacuation.PublishedState{Order: wri.Order, State: wri.State, Revision: fst.revision}
}

// Orders are given and withdrawn, hosts are late or fail, and two coordinators act at once on
// different reads of the store. No order may be published before all hosts enforce it, and none
// twice.
func TestOrderIsPublishedOnceAndNotTooEarly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(100, 0)
		const hosts = 4
		fst := &fakeStore{revision: 1, state: ordered(0), published: make(map[uint64]int)}
		trackers := []*evacuation.Tracker{evacuation.New(), evacuation.New()}
		var epochs []request.Epoch
		known := make(map[request.Epoch]evacuation.Order)
		next := request.Epoch(1)
		for range hosts {
			epochs = append(epochs, next)
			next++
		}
		enforcedByAll := func(order uint64) bool {
			for _, epo := range epochs {
				if known[epo].Revision != order {
					return false
				}
			}
			return true
		}
		for range rapid.IntRange(5, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "pause")) * time.Millisecond)
			trk := trackers[rapid.IntRange(0, 1).Draw(rt, "tracker")]
			num := rapid.IntRange(0, hosts-1).Draw(rt, "host")
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				if fst.state.Order.Revision == 0 {
					fst.revision++
					fst.state.Order.Revision = fst.revision
				} else if rapid.IntRange(0, 3).Draw(rt, "withdraw") == 0 {
					fst.state.Order.Revision = 0
				}
			case 1:
				known[epochs[num]] = fst.state.Order
			case 2:
				trk.SetHosts(epochs)
				trk.SetEnforced(epochs[num], []evacuation.Order{known[epochs[num]]})
			case 3:
				// The host fails; another starts, which reads the store before it sends any request.
				known[next] = fst.state.Order
				epochs[num] = next
				next++
			case 4:
				trk.SetHosts(epochs)
				trk.SetStates([]evacuation.StoredState{fst.state})
			default:
				trk.SetHosts(epochs)
				for _, wri := range trk.Writes(now, noneRunning) {
					fst.write(rt, wri, enforcedByAll)
				}
			}
		}
	})
}

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

// present returns hosts that are present; none of the others counts.
func present(epochs ...request.Epoch) evacuation.Hosts {
	var hosts evacuation.Hosts
	for _, epo := range epochs {
		hosts.Present = append(hosts.Present, evacuation.Host{Epoch: epo, Name: epo.String()})
	}
	return hosts
}

func TestOrderIsPublishedOnceAllHostsEnforceIt(t *testing.T) {
	now := time.Unix(100, 0)
	trk := evacuation.New()
	assert.Assert(t, !trk.Pending())
	trk.SetStates(now, []evacuation.StoredState{ordered(7)})
	trk.SetHosts(now, present(1, 2))
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0)
	trk.SetEnforced(1, []evacuation.Order{{Domain: domain, Revision: 7}})
	trk.SetEnforced(2, []evacuation.Order{{Domain: domain, Revision: 5}, {Domain: "d2", Revision: 7}})
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0, "an earlier order")
	assert.DeepEqual(t, trk.Dump(now, noneRunning), []evacuation.Dump{{Domain: domain, Order: 7, State: "Ordered", Missing: []string{request.Epoch(2).String()}}})
	trk.SetEnforced(2, []evacuation.Order{{Domain: domain, Revision: 7}})
	runs := 3
	running := func(string) int { return runs }
	assert.DeepEqual(t, trk.Writes(now, running), []evacuation.Write{{Domain: domain, Order: 7, State: evacuation.StateClosed}})
	assert.Equal(t, len(trk.Writes(now, running)), 0, "the write was returned less than 1 s ago")
	assert.Equal(t, len(trk.Writes(now.Add(time.Second), running)), 1, "the change hasn't been read from the store")
	sta := ordered(7)
	sta.Published = evacuation.PublishedState{Order: 7, State: evacuation.StateClosed, Revision: 9}
	trk.SetStates(now, []evacuation.StoredState{sta})
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
	trk.SetStates(now, []evacuation.StoredState{sta})
	trk.SetHosts(now, present(1))
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0, "a host has just started")
	sta.Order.Revision = 0
	trk.SetStates(now, []evacuation.StoredState{sta})
	assert.DeepEqual(t, trk.Writes(now, noneRunning), []evacuation.Write{{Domain: domain, Delete: true, Expect: 9}})
	sta.Order.Revision = 12
	trk.SetStates(now, []evacuation.StoredState{sta})
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0, "another order, which no host enforces yet")
	trk.SetEnforced(1, []evacuation.Order{{Domain: domain, Revision: 12}})
	assert.DeepEqual(t, trk.Writes(now, noneRunning), []evacuation.Write{{Domain: domain, Order: 12, State: evacuation.StateEmpty, Expect: 9}})
}

// An order must not wait for a host that has neither an entry nor a session, and the earlier
// report of such a host must not count when the host is back.
func TestOrderDoesNotWaitForAStoppedHost(t *testing.T) {
	now := time.Unix(100, 0)
	trk := evacuation.New()
	trk.SetStates(now, []evacuation.StoredState{ordered(7)})
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0, "no host is known")
	trk.SetHosts(now, present(1, 2))
	trk.SetEnforced(1, []evacuation.Order{{Domain: domain, Revision: 7}})
	trk.SetEnforced(2, []evacuation.Order{{Domain: domain, Revision: 7}})
	trk.SetHosts(now, present(1))
	trk.SetHosts(now, present(1, 2))
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 0)
	trk.SetHosts(now, present(1))
	assert.Equal(t, len(trk.Writes(now, noneRunning)), 1)
}

// maxCopyAge is the age of a host's copy of the store from which it sends nothing.
const maxCopyAge = 4 * time.Second

// followed returns hosts of which none has left unseen.
func followed(hosts evacuation.Hosts) evacuation.Hosts {
	hosts.SendsFor = evacuation.SendsFor(maxCopyAge)
	return hosts
}

// Guards against an order that is published while a host that was cut off and deregistered still sends, and against one
// that waits longer than such a host can send, or for a host that is known to enforce it or to have ended.
func TestOrderWaitsForHostsThatMayBeCutOff(t *testing.T) {
	start := time.Unix(100, 0)
	sendsFor := evacuation.SendsFor(maxCopyAge)
	both, one, again := followed(present(1, 2)), followed(present(1)), followed(present(1, 3))
	again.Present[1].Name = both.Present[1].Name
	for name, tst := range map[string]struct {
		// Host 2 is present at first; left are the hosts after a time, and the order is seen after another.
		left       evacuation.Hosts
		leftAfter  time.Duration
		orderAfter time.Duration
		// Host 2 reports the order if reported is set, and host 1 after a time.
		reported    bool
		reportAfter time.Duration
		want        time.Duration
	}{
		"left before the order":        {left: one, leftAfter: time.Second, orderAfter: 2 * time.Second, want: time.Second + sendsFor},
		"left long before the order":   {left: one, orderAfter: sendsFor, want: sendsFor},
		"left after the order":         {left: one, leftAfter: 2 * time.Second, want: sendsFor},
		"left long after the order":    {left: one, leftAfter: time.Minute, want: time.Minute},
		"left, and enforces the order": {left: one, leftAfter: time.Second, reported: true, reportAfter: 2 * time.Second, want: 2 * time.Second},
		"restarted":                    {left: again, leftAfter: time.Second, orderAfter: 2 * time.Second, want: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			trk := evacuation.New()
			published := func(now time.Time) bool {
				return len(trk.Writes(now, noneRunning)) > 0
			}
			order := []evacuation.Order{{Domain: domain, Revision: 7}}
			for after := -time.Minute; ; after += 100 * time.Millisecond {
				now := start.Add(after)
				hosts := both
				if after >= tst.leftAfter {
					hosts = tst.left
				}
				trk.SetHosts(now, hosts)
				if after < tst.orderAfter {
					continue
				}
				trk.SetStates(now, []evacuation.StoredState{ordered(7)})
				for _, hos := range hosts.Present {
					if hos.Epoch == 2 && tst.reported || hos.Epoch != 2 && after >= tst.reportAfter {
						trk.SetEnforced(hos.Epoch, order)
					}
				}
				if published(now) {
					assert.Equal(t, after, max(tst.want, tst.orderAfter))
					return
				}
				assert.Assert(t, after <= 2*time.Minute, "never published")
			}
		})
	}
}

// Guards against an order that is published while a host sends that left before it and knew an earlier order of the domain: the
// time since that one was given says nothing.
func TestOrderGivenAgainCountsFromItsOwnTime(t *testing.T) {
	now := time.Unix(100, 0)
	trk := evacuation.New()
	trk.SetHosts(now, followed(present(1, 2)))
	trk.SetStates(now, []evacuation.StoredState{ordered(7)})
	now = now.Add(time.Minute)
	trk.SetHosts(now, followed(present(1)))
	trk.SetStates(now, []evacuation.StoredState{ordered(9)})
	trk.SetEnforced(1, []evacuation.Order{{Domain: domain, Revision: 9}})
	sendsFor := evacuation.SendsFor(maxCopyAge)
	assert.Equal(t, len(trk.Writes(now.Add(sendsFor-1), noneRunning)), 0)
	assert.Equal(t, len(trk.Writes(now.Add(sendsFor), noneRunning)), 1)
}

// Guards against evacuations that wait for as long as a key's revocation may take where that is long.
func TestNoOrderWaitsForAHostBeyondTheUsersBound(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{
		800 * time.Millisecond: 1300 * time.Millisecond, maxCopyAge: 4500 * time.Millisecond, 48 * time.Second: 5 * time.Second,
	} {
		assert.Equal(t, evacuation.SendsFor(age), want)
	}
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

// cutOffHost is a host that is neither registered nor has a session, and lives.
type cutOffHost struct {
	at    time.Time
	known evacuation.Order
}

// maySend reports whether the host may send requests although an order was given at a time.
func (coh cutOffHost) maySend(now time.Time, order uint64, orderedAt time.Time) bool {
	confirmed := coh.at
	if orderedAt.Before(confirmed) {
		confirmed = orderedAt
	}
	return coh.known.Revision != order && now.Sub(confirmed) < maxCopyAge
}

// Orders are given and withdrawn, hosts are late, fail or are cut off, and two coordinators act at once on
// different reads of the store. No order may be published before all hosts enforce it that may still send, and
// none twice.
func TestOrderIsPublishedOnceAndNotTooEarly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(100, 0)
		const hosts = 4
		fst := &fakeStore{revision: 1, state: ordered(0), published: make(map[uint64]int)}
		trackers := []*evacuation.Tracker{evacuation.New(), evacuation.New()}
		var epochs []request.Epoch
		known := make(map[request.Epoch]evacuation.Order)
		var cutOff []cutOffHost
		var orderedAt time.Time
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
			for _, coh := range cutOff {
				if coh.maySend(now, order, orderedAt) {
					return false
				}
			}
			return true
		}
		for range rapid.IntRange(5, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.OneOf(rapid.IntRange(0, 700), rapid.IntRange(0, 100)).Draw(rt, "pause")) * time.Millisecond)
			trk := trackers[rapid.IntRange(0, 1).Draw(rt, "tracker")]
			num := rapid.IntRange(0, hosts-1).Draw(rt, "host")
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0:
				if fst.state.Order.Revision == 0 {
					fst.revision++
					fst.state.Order.Revision = fst.revision
					orderedAt = now
				} else if rapid.IntRange(0, 3).Draw(rt, "withdraw") == 0 {
					fst.state.Order.Revision = 0
				}
			case 1:
				known[epochs[num]] = fst.state.Order
			case 2:
				trk.SetHosts(now, followed(present(epochs...)))
				trk.SetEnforced(epochs[num], []evacuation.Order{known[epochs[num]]})
			case 3:
				// The host fails, or is cut off; another starts, which reads the store before it sends any request.
				if rapid.Bool().Draw(rt, "cut off") {
					cutOff = append(cutOff, cutOffHost{at: now, known: known[epochs[num]]})
				}
				for _, each := range trackers {
					each.SetHosts(now, followed(present(epochs...)))
				}
				known[next] = fst.state.Order
				epochs[num] = next
				next++
			case 4:
				// All hosts that are present read the store and report.
				trk.SetHosts(now, followed(present(epochs...)))
				for _, epo := range epochs {
					known[epo] = fst.state.Order
					trk.SetEnforced(epo, []evacuation.Order{known[epo]})
				}
			case 5:
				trk.SetHosts(now, followed(present(epochs...)))
				trk.SetStates(now, []evacuation.StoredState{fst.state})
			default:
				trk.SetHosts(now, followed(present(epochs...)))
				for _, wri := range trk.Writes(now, noneRunning) {
					fst.write(rt, wri, enforcedByAll)
				}
			}
		}
	})
}

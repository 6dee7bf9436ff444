package entry_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// runningRequests returns how many requests run on the engines according to a host's scheduler.
func runningRequests(hos *entrytest.Host) int {
	count := 0
	for _, svc := range hos.Dump().Scheduler.Services {
		for _, eng := range svc.Engines {
			count += eng.Running
		}
	}
	return count
}

// startInOrder starts hosts one after another, so that the first of the candidates coordinates, and waits until all know it.
func startInOrder(t *testing.T, hosts int, engines []*upstreamtest.Engine) *entrytest.System {
	t.Helper()
	sys := start(t, 1, engines)
	for len(sys.Hosts) < hosts {
		sys.AddHost(entrytest.Config{})
	}
	sys.WaitForReady()
	sys.WaitUntil("the first candidate coordinates all hosts", func() bool {
		return coordinator(sys) == sys.Hosts[0] && !slices.ContainsFunc(sys.Hosts, func(hos *entrytest.Host) bool { return len(hos.Dump().Members) < hosts })
	})
	return sys
}

// A coordinator that is replaced must drop the reservations that it granted. Otherwise it would
// count the engines as full when it becomes the coordinator again.
func TestFormerCoordinatorDropsItsReservations(t *testing.T) {
	slow := upstreamtest.NewEngine(upstreamtest.Config{ID: "m1", Service: entrytest.Model, Slots: 4, Events: 40, Step: 50 * time.Millisecond})
	sys := startInOrder(t, 3, []*upstreamtest.Engine{slow, plainEngine("p1")})
	first := sys.Hosts[0]
	var second *entrytest.Host
	key := "lynxwell/hosts/" + first.Settings.Name
	entry, err := sys.Store.Get(t.Context(), key)
	assert.NilError(t, err)
	_, err = sys.Store.Put(t.Context(), store.Write{Key: key, Delete: true, Blind: true})
	assert.NilError(t, err)
	sys.WaitUntil("another host coordinates", func() bool { second = coordinator(sys); return second != nil && second != first })
	var gateway *entrytest.Host
	for _, hos := range sys.Hosts {
		if hos != first && hos != second {
			gateway = hos
		}
	}
	answer := make(chan entrytest.Answer, 1)
	go func() {
		answer <- sys.Send(t.Context(), gateway, entrytest.Request{ID: "r1", Path: "/stream/", Header: map[string]string{"Token-Counts": "10,40"}})
	}()
	sys.WaitUntil("the second host has granted the request", func() bool { return runningRequests(second) == 1 })
	// Sessions from before end late on busy machines.
	sys.WaitUntil("the first host is in session no more", func() bool { return !isInSession(first, gateway, second) })
	_, err = sys.Store.Put(t.Context(), store.Write{Key: key, Data: entry.Data, Lease: entry.Lease, Blind: true})
	assert.NilError(t, err)
	// The second host stays the coordinator until it is deregistered, too.
	sys.WaitUntil("the first host is in session again", func() bool {
		return isInSession(first, gateway) && isInSession(first, second)
	})
	_, err = sys.Store.Put(t.Context(), store.Write{Key: "lynxwell/hosts/" + second.Settings.Name, Delete: true, Blind: true})
	assert.NilError(t, err)
	sys.WaitUntil("the first host coordinates again", func() bool { return coordinator(sys) == first })
	ans := <-answer
	assert.NilError(t, ans.Err)
	sys.WaitUntil("the second host counts no requests", func() bool { return runningRequests(second) == 0 })
	sys.WaitUntil("the first host counts no requests", func() bool { return runningRequests(first) == 0 })
}

// isInSession reports whether one of the others has opened a session to the host.
func isInSession(hos *entrytest.Host, others ...*entrytest.Host) bool {
	return slices.ContainsFunc(others, func(oth *entrytest.Host) bool { return slices.Contains(oth.Dump().Sessions, hos.Settings.Name) })
}

// coordinator returns the host that all hosts have as their coordinator; nil while they
// differ.
func coordinator(sys *entrytest.System) *entrytest.Host {
	epoch := sys.Hosts[0].Dump().Coordinator
	var found *entrytest.Host
	for _, hos := range sys.Hosts {
		dum := hos.Dump()
		if dum.Coordinator != epoch {
			return nil
		}
		if dum.Epoch == epoch {
			found = hos
		}
	}
	return found
}

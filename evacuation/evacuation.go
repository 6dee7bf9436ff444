// Package evacuation tracks the progress of the evacuation of a failure domain, which an operator
// orders. The domain is closed once every host enforces the order, so that no host sends requests
// to the domain's engines, and empty once no request runs there.
//
// # Usage
//
//	trk := evacuation.New()
//	trk.SetStates(now, states)      // the orders and published states in the store
//	trk.SetHosts(now, hosts)        // the hosts that are present, at each change
//	trk.SetEnforced(epoch, orders)  // the orders that a host enforces
//	for _, wri := range trk.Writes(now, running) {
//		// write to the store if the revision there is wri.Expect
//	}
//
// A Tracker does no I/O: its user passes in the contents of the store, the hosts' reports and
// the time. The types of this package are not safe for concurrent use.
package evacuation

import (
	"fmt"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/store"
)

const (
	// sendMargin is for the way of a request to its engine, and for a slow host.
	sendMargin = 500 * time.Millisecond
	// maxSendsFor is the longest time for which an order waits for a host that may be cut off: the users'
	// bound for an evacuation, after which requests of hosts in touch would violate their rule.
	maxSendsFor = 5 * time.Second
)

// Host is one run of a host.
type Host struct {
	Epoch request.Epoch
	Name  string
}

// Hosts is what is known of the hosts that may send requests to engines.
type Hosts struct {
	// Present are those that are registered or have a session.
	Present []Host
	// SendsFor is for how long a host may send requests after its last news, see SendsFor.
	SendsFor time.Duration
}

// SendsFor returns for how long a host that is cut off counts as one that may send requests, if it sends
// none once its copy of the store has reached an age.
func SendsFor(maxCopyAge time.Duration) time.Duration {
	return min(maxCopyAge+sendMargin, maxSendsFor)
}

// Order is an operator's order to evacuate a failure domain: hosts send no requests to the
// domain's engines until the order is withdrawn.
type Order struct {
	Domain string
	// Revision is the revision of the store at which the order was given. An order that is
	// withdrawn and given again is a different order.
	Revision uint64
}

// Number returns the store's own number of the order, by which the published state names it.
func (ord Order) Number() uint64 { return store.Revision(ord.Revision).Number() }

// State is the progress of an evacuation.
type State uint8

// The states of an evacuation, in the order in which they are reached.
const (
	// StateOrdered means that some hosts haven't reported yet that they enforce the order.
	StateOrdered State = iota
	// StateClosed means that no host sends requests to the domain's engines.
	StateClosed
	// StateEmpty means that, in addition, no request runs in the domain.
	StateEmpty
)

// String returns the name of the state.
func (sta State) String() string {
	names := [...]string{"Ordered", "Closed", "Empty"}
	if int(sta) >= len(names) {
		return fmt.Sprintf("State(%d)", uint8(sta))
	}
	return names[sta]
}

// StoredState is what the store holds for a failure domain.
type StoredState struct {
	// Order has Revision 0 if there is no order.
	Order     Order
	Published PublishedState
}

// PublishedState is the state of an evacuation in the store, where operators read it.
type PublishedState struct {
	// Order is the store's number of the order that the state belongs to.
	Order uint64
	State State
	// Revision is the revision of the published state in the store; 0 if there is none.
	Revision uint64
}

// Write is a change to the published state of a failure domain.
type Write struct {
	Domain string
	// Delete removes the published state of an order that was withdrawn.
	Delete bool
	Order  uint64
	State  State
	// Expect is the revision that the published state must have when the change is written; 0
	// means that there must be none. It keeps two hosts that both act as the coordinator from
	// publishing different states.
	Expect uint64
}

// Package evacuation decides when a failure domain that operators have ordered to be
// emptied counts as such: once no host sends anything more to its engines, and once
// nothing runs there either.
//
// # Usage
//
//	brd := evacuation.New()
//	brd.SetStandings(stands)         // what the store holds
//	brd.SetHosts(epochs)             // who might send something
//	brd.Take(epoch, orders)          // what a host keeps to
//	for _, wri := range brd.Writes(now, running) {
//		// to be written under the condition of wri.Expect
//	}
//
// A Board is pure: it is told what the store holds and what hosts say, and the time.
package evacuation

import "fmt"

// Order asks that nothing more be sent to the engines of a failure domain, until it is taken
// back.
type Order struct {
	Domain string
	// Revision is the store's at which the order was given. One that is taken back and given
	// again is another order.
	Revision uint64
}

// State is how far an order has been carried out.
type State uint8

// The states.
const (
	// StateOrdered is that of an order which some host may not keep to yet.
	StateOrdered State = iota
	// StateClosed says that no host sends anything more to the domain's engines.
	StateClosed
	// StateEmpty says that nothing runs there either.
	StateEmpty
)

// String returns the state's name.
func (sta State) String() string {
	names := [...]string{"Ordered", "Closed", "Empty"}
	if int(sta) >= len(names) {
		return fmt.Sprintf("State(%d)", uint8(sta))
	}
	return names[sta]
}

// Standing is what the store holds of a failure domain.
type Standing struct {
	// Order has Revision 0 where none is given.
	Order Order
	Told  Told
}

// Told is what operators were told last.
type Told struct {
	// Order is the revision of the order that this is about.
	Order uint64
	State State
	// Revision is the store's; 0 where nothing is told.
	Revision uint64
}

// Write is what is to be written of a failure domain.
type Write struct {
	Domain string
	// Delete takes away what was told of an order that is taken back.
	Delete bool
	Order  uint64
	State  State
	// Expect is the revision of what was told before, 0 for nothing. Without it two hosts
	// that believe to decide could each tell something else.
	Expect uint64
}

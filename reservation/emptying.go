package reservation

import "lynxwell.dev/lynxwell/evacuation"

// Emptying tells a coordinator to which orders the gateway keeps that failure domains be
// emptied, all of them each time: it is granted no engine there, and who decides knows when
// nobody sends anything there any more.
type Emptying struct {
	Orders []evacuation.Order
}

func (Emptying) isMessage() {}

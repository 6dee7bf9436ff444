package reservation

import "lynxwell.dev/lynxwell/evacuation"

// EnforcedOrders reports to a coordinator all evacuation orders that the gateway enforces. The
// coordinator then grants the gateway no engine in these failure domains, and can determine when
// no gateway sends requests there any more.
type EnforcedOrders struct {
	Orders []evacuation.Order
}

func (EnforcedOrders) isMessage() {}

package evacuation

import (
	"cmp"
	"slices"
)

// Gate blocks one host's requests to failure domains that are being evacuated. A request enters
// the gate before it is written to an engine and leaves it afterwards: the host enforces an order
// once none of its requests is still being written to the domain.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	orders map[string]Order
	// writing counts, by domain, the requests that have entered and aren't written yet.
	writing map[string]int
}

// NewGate returns a gate without orders.
func NewGate() *Gate {
	return &Gate{orders: make(map[string]Order), writing: make(map[string]int)}
}

// SetOrders replaces the orders and reports whether they changed.
func (gat *Gate) SetOrders(orders []Order) bool {
	next := make(map[string]Order, len(orders))
	changed := len(orders) != len(gat.orders)
	for _, ord := range orders {
		next[ord.Domain] = ord
		changed = changed || gat.orders[ord.Domain] != ord
	}
	gat.orders = next
	return changed
}

// BlockingOrder returns the order that blocks requests to a failure domain, and whether there is
// one.
func (gat *Gate) BlockingOrder(domain string) (Order, bool) {
	ord, blocked := gat.orders[domain]
	return ord, blocked
}

// BeginWrite reports whether a request to an engine of the domain may be written. If so, the
// caller must call EndWrite once the request is written or abandoned.
func (gat *Gate) BeginWrite(domain string) bool {
	if _, blocked := gat.orders[domain]; blocked {
		return false
	}
	gat.writing[domain]++
	return true
}

// EndWrite records that a request for which BeginWrite returned true was written or abandoned, and
// reports whether the host enforces an order for the domain from now on.
func (gat *Gate) EndWrite(domain string) bool {
	gat.writing[domain]--
	if gat.writing[domain] > 0 {
		return false
	}
	delete(gat.writing, domain)
	_, blocked := gat.orders[domain]
	return blocked
}

// Enforced returns the orders that the host enforces, sorted by domain: none of its requests
// to these domains is still to be written.
func (gat *Gate) Enforced() []Order {
	var enforced []Order
	for domain, ord := range gat.orders {
		if gat.writing[domain] == 0 {
			enforced = append(enforced, ord)
		}
	}
	slices.SortFunc(enforced, func(one, two Order) int { return cmp.Compare(one.Domain, two.Domain) })
	return enforced
}

package evacuation

import (
	"cmp"
	"slices"
)

// Gate keeps one host's requests from failure domains that are being emptied. Whoever is to
// write a request enters, and leaves when it is written, so that the host can tell when
// nothing more of its own is on its way there.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	orders map[string]Order
	// writing counts the requests, by domain, that have entered and aren't written yet.
	writing map[string]int
}

// NewGate returns a gate that keeps nothing back.
func NewGate() *Gate {
	return &Gate{orders: make(map[string]Order), writing: make(map[string]int)}
}

// Set takes the orders that are given now, and reports whether that changed anything.
func (gat *Gate) Set(orders []Order) bool {
	next := make(map[string]Order, len(orders))
	changed := len(orders) != len(gat.orders)
	for _, ord := range orders {
		next[ord.Domain] = ord
		changed = changed || gat.orders[ord.Domain] != ord
	}
	gat.orders = next
	return changed
}

// Closed returns the order that keeps requests from a failure domain.
func (gat *Gate) Closed(domain string) (Order, bool) {
	ord, closed := gat.orders[domain]
	return ord, closed
}

// Enter reports whether a request to an engine of the domain may be written; if so, Leave is
// called once it is.
func (gat *Gate) Enter(domain string) bool {
	if _, closed := gat.orders[domain]; closed {
		return false
	}
	gat.writing[domain]++
	return true
}

// Leave notes that a request that had entered is written, or never will be. It reports
// whether the host keeps to an order from now on.
func (gat *Gate) Leave(domain string) bool {
	gat.writing[domain]--
	if gat.writing[domain] > 0 {
		return false
	}
	delete(gat.writing, domain)
	_, closed := gat.orders[domain]
	return closed
}

// Kept returns the orders that the host keeps to, by domain: none of its requests to these
// domains is still to be written.
func (gat *Gate) Kept() []Order {
	var kept []Order
	for domain, ord := range gat.orders {
		if gat.writing[domain] == 0 {
			kept = append(kept, ord)
		}
	}
	slices.SortFunc(kept, func(one, two Order) int { return cmp.Compare(one.Domain, two.Domain) })
	return kept
}

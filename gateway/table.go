package gateway

import (
	"cmp"
	"maps"
	"slices"

	"lynxwell.dev/lynxwell/request"
)

// table indexes the remembered requests. Unfinished requests are also indexed
// separately, so that finished ones add no cost to a tick.
type table struct {
	byID map[request.ID]*entry
	// active are the requests without a final answer.
	active map[request.ID]*entry
	// unassigned are the active requests that wait for an available coordinator.
	unassigned map[request.ID]*entry
	// finished are the finished requests in the order in which they finished.
	finished []*entry
	// accounts counts the active requests by client account.
	accounts map[string]int
}

func newTable() *table {
	return &table{
		byID: make(map[request.ID]*entry), active: make(map[request.ID]*entry),
		unassigned: make(map[request.ID]*entry), accounts: make(map[string]int),
	}
}

func (tab *table) add(ent *entry) {
	tab.byID[ent.id] = ent
	tab.activate(ent)
}

func (tab *table) activate(ent *entry) {
	tab.active[ent.id] = ent
	tab.accounts[ent.spec.Account]++
}

func (tab *table) deactivate(ent *entry) {
	delete(tab.active, ent.id)
	delete(tab.unassigned, ent.id)
	tab.accounts[ent.spec.Account]--
	if tab.accounts[ent.spec.Account] == 0 {
		delete(tab.accounts, ent.spec.Account)
	}
}

// enter moves a request to the next phase and updates the indexes.
func (tab *table) enter(ent *entry, next phase) {
	wasFinished := ent.isFinished()
	ent.phase = next
	delete(tab.unassigned, ent.id)
	switch {
	case ent.isFinished() && !wasFinished:
		tab.deactivate(ent)
		tab.finished = append(tab.finished, ent)
	case !ent.isFinished() && wasFinished:
		tab.activate(ent)
	}
}

func (tab *table) remove(ent *entry) {
	delete(tab.byID, ent.id)
	if !ent.isFinished() {
		tab.deactivate(ent)
	}
}

// oldest returns the remembered request that finished first, or nil.
func (tab *table) oldest() *entry {
	for len(tab.finished) > 0 {
		ent := tab.finished[0]
		if tab.byID[ent.id] == ent && ent.isFinished() {
			return ent
		}
		tab.finished = tab.finished[1:]
	}
	return nil
}

// sortedByID returns the requests sorted by id, so that the same events always give
// the actions in the same order.
func sortedByID(entries map[request.ID]*entry) []*entry {
	return slices.SortedFunc(maps.Values(entries), func(one, two *entry) int {
		return cmp.Or(
			cmp.Compare(one.id.View, two.id.View),
			cmp.Compare(one.id.Epoch, two.id.Epoch),
			cmp.Compare(one.id.Window, two.id.Window),
			cmp.Compare(one.id.Unique, two.id.Unique),
		)
	})
}

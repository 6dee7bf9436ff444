package gateway

import (
	"cmp"
	"maps"
	"slices"

	"lynxwell.dev/lynxwell/request"
)

// table holds the remembered requests, and apart from them those that still
// need looking after, so that finished ones cost nothing.
type table struct {
	byID map[request.ID]*entry
	// active are the requests without a final answer.
	active map[request.ID]*entry
	// stranded are the active ones that wait for any coordinator to ask.
	stranded map[request.ID]*entry
	// ended are the finished ones in the order of their ends.
	ended []*entry
	// accounts counts the active ones by client account.
	accounts map[string]int
}

func newTable() *table {
	return &table{
		byID: make(map[request.ID]*entry), active: make(map[request.ID]*entry),
		stranded: make(map[request.ID]*entry), accounts: make(map[string]int),
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
	delete(tab.stranded, ent.id)
	tab.accounts[ent.spec.Account]--
	if tab.accounts[ent.spec.Account] == 0 {
		delete(tab.accounts, ent.spec.Account)
	}
}

// enter takes a request to the next phase.
func (tab *table) enter(ent *entry, next phase) {
	wasOver := ent.over()
	ent.phase = next
	delete(tab.stranded, ent.id)
	switch {
	case ent.over() && !wasOver:
		tab.deactivate(ent)
		tab.ended = append(tab.ended, ent)
	case !ent.over() && wasOver:
		tab.activate(ent)
	}
}

func (tab *table) remove(ent *entry) {
	delete(tab.byID, ent.id)
	if !ent.over() {
		tab.deactivate(ent)
	}
}

// oldest returns the request that ended first of those remembered, or nil.
func (tab *table) oldest() *entry {
	for len(tab.ended) > 0 {
		ent := tab.ended[0]
		if tab.byID[ent.id] == ent && ent.over() {
			return ent
		}
		tab.ended = tab.ended[1:]
	}
	return nil
}

// inOrder returns some requests by id, so that the order of actions is the same
// for the same events.
func inOrder(some map[request.ID]*entry) []*entry {
	return slices.SortedFunc(maps.Values(some), func(one, two *entry) int {
		return cmp.Or(
			cmp.Compare(one.id.View, two.id.View),
			cmp.Compare(one.id.Epoch, two.id.Epoch),
			cmp.Compare(one.id.Window, two.id.Window),
			cmp.Compare(one.id.Unique, two.id.Unique),
		)
	})
}

package view

import (
	"cmp"
	"slices"

	"lynxwell.dev/lynxwell/request"
)

// maxReach bounds the hosts that a gateway keeps sessions with.
const maxReach = 24

// Reach returns the members that the gateway with the epoch keeps sessions
// with: all others of a small view, and of a large one a part of each failure
// domain that differs from gateway to gateway.
func (vie View) Reach(gateway request.Epoch) []Member {
	var others []Member
	for _, mem := range vie.Members {
		if mem.Epoch != gateway {
			others = append(others, mem)
		}
	}
	if len(others) <= maxReach {
		return others
	}
	key := gateway.String()
	slices.SortFunc(others, func(one, two Member) int {
		return cmp.Compare(Score(key, two.Name), Score(key, one.Name))
	})
	return pickByDomain(others, maxReach)
}

// pickByDomain takes count members, in turn from each failure domain.
func pickByDomain(members []Member, count int) []Member {
	groups := groupByDomain(members)
	domains := View{Members: members}.Domains()
	picked := make([]Member, 0, count)
	for rank := 0; len(picked) < count; rank++ {
		for _, domain := range domains {
			if rank < len(groups[domain]) && len(picked) < count {
				picked = append(picked, groups[domain][rank])
			}
		}
	}
	return picked
}

// Spread takes count members, the first of each failure domain before any
// second, otherwise in the order given.
func Spread(members []Member, count int) []Member {
	var first, rest []Member
	for _, mem := range members {
		sameDomain := func(other Member) bool { return other.Domain == mem.Domain }
		if slices.ContainsFunc(first, sameDomain) {
			rest = append(rest, mem)
		} else {
			first = append(first, mem)
		}
	}
	first = append(first, rest...)
	return first[:min(count, len(first))]
}

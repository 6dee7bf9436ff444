package view

import (
	"cmp"
	"slices"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
)

// allReach is the largest number of other hosts that a gateway keeps sessions
// with all of.
const allReach = 24

// serviceReach is how many coordinators of each service a gateway keeps
// sessions with in a larger view.
const serviceReach = 2

// Reach returns the members that the gateway with the epoch keeps sessions
// with: all others of a small view, and of a large one, for each service, a few
// coordinators outside its own failure domain, in different domains as far as
// there are any, which differ from gateway to gateway.
func (vie View) Reach(gateway request.Epoch, services map[string][]resource.EngineSlots) []Member {
	var others []Member
	for _, mem := range vie.Members {
		if mem.Epoch != gateway {
			others = append(others, mem)
		}
	}
	if len(others) <= allReach {
		return others
	}
	wanted := make(map[request.Epoch]bool)
	for service, engines := range services {
		for _, mem := range vie.reachOf(gateway, service, engines) {
			wanted[mem.Epoch] = true
		}
	}
	return slices.DeleteFunc(others, func(mem Member) bool { return !wanted[mem.Epoch] })
}

func (vie View) reachOf(gateway request.Epoch, service string, engines []resource.EngineSlots) []Member {
	var coordinators []Member
	for _, sha := range Assign(vie, service, engines) {
		mem, _ := vie.Member(sha.Coordinator)
		known := func(other Member) bool { return other.Epoch == mem.Epoch }
		if vie.MayGrant(mem.Epoch, gateway) && !slices.ContainsFunc(coordinators, known) {
			coordinators = append(coordinators, mem)
		}
	}
	key := gateway.String()
	slices.SortFunc(coordinators, func(one, two Member) int {
		return cmp.Compare(Score(key, two.Name), Score(key, one.Name))
	})
	return Spread(coordinators, serviceReach)
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

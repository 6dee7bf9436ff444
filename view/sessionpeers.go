package view

import (
	"cmp"
	"slices"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
)

// maxFullMeshPeers is the largest number of other hosts at which a gateway keeps a session
// with each of them.
const maxFullMeshPeers = 24

// coordinatorsPerService is the number of coordinators of each service with which a gateway
// keeps sessions in a larger view.
const coordinatorsPerService = 2

// SessionPeers returns the members with which the gateway with the given epoch keeps
// sessions. In a view with at most 24 other members, these are all other members. In a larger
// view, they are two coordinators of each service that may grant requests to the gateway, in
// different failure domains if possible. The choice differs between gateways, which
// distributes the load.
func (vie View) SessionPeers(gateway request.Epoch, services map[string][]resource.EngineSlots) []Member {
	var others []Member
	for _, mem := range vie.Members {
		if mem.Epoch != gateway {
			others = append(others, mem)
		}
	}
	if len(others) <= maxFullMeshPeers {
		return others
	}
	wanted := make(map[request.Epoch]bool)
	for service, engines := range services {
		for _, mem := range vie.servicePeers(gateway, service, engines) {
			wanted[mem.Epoch] = true
		}
	}
	return slices.DeleteFunc(others, func(mem Member) bool { return !wanted[mem.Epoch] })
}

// servicePeers returns the coordinators of one service with which the gateway keeps
// sessions in a large view.
func (vie View) servicePeers(gateway request.Epoch, service string, engines []resource.EngineSlots) []Member {
	var coordinators []Member
	for _, sha := range Assign(vie, service, engines) {
		mem, _ := vie.Member(sha.Coordinator)
		sameEpoch := func(other Member) bool { return other.Epoch == mem.Epoch }
		if vie.MayGrant(mem.Epoch, gateway) && !slices.ContainsFunc(coordinators, sameEpoch) {
			coordinators = append(coordinators, mem)
		}
	}
	key := gateway.String()
	slices.SortFunc(coordinators, func(one, two Member) int {
		return cmp.Compare(Score(key, two.Name), Score(key, one.Name))
	})
	return PickAcrossDomains(coordinators, coordinatorsPerService)
}

// PickAcrossDomains returns up to count members in the given order, except that the first
// member of each failure domain precedes all further members of any domain.
func PickAcrossDomains(members []Member, count int) []Member {
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

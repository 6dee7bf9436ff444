package view

import (
	"cmp"
	"slices"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
)

// deputyShare is the part of an engine's slots, one in deputyShare, that a
// deputy hands out.
const deputyShare = 4

// Share is what one host coordinates of one engine.
type Share struct {
	// Engine is the engine's name.
	Engine string
	// Coordinator is the host's epoch.
	Coordinator request.Epoch
	// Slots is how many of the engine's slots the host hands out.
	Slots int
	// Deputy is set where the host serves only the gateways of the
	// coordinator's own failure domain.
	Deputy bool
}

// Assign spreads the engines of one service over the view's active members:
// evenly over failure domains, then by rendezvous, so that a change of one host
// moves only that host's engines. A service whose engines all fall to one
// failure domain gets deputies in another, since a gateway takes no grant from
// its own domain.
func Assign(vie View, service string, engines []resource.EngineSlots) []Share {
	active := vie.Active()
	if len(active) == 0 || len(engines) == 0 {
		return nil
	}
	byDomain := groupByDomain(active)
	domains := sortedDomains(byDomain, service)
	load := make(map[string]int, len(domains))
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(one, two resource.EngineSlots) int {
		return cmp.Or(cmp.Compare(Score(service, one.Engine), Score(service, two.Engine)), cmp.Compare(one.Engine, two.Engine))
	})
	shares := make([]Share, 0, len(engines))
	for _, eng := range ordered {
		domain := bestDomain(domains, load, eng.Engine)
		load[domain]++
		host := bestMember(byDomain[domain], eng.Engine)
		shares = append(shares, Share{Engine: eng.Engine, Coordinator: host.Epoch, Slots: eng.Slots})
	}
	if len(domains) > 1 && len(load) == 1 {
		return addDeputies(shares, byDomain, domains, load)
	}
	return shares
}

func groupByDomain(members []Member) map[string][]Member {
	groups := make(map[string][]Member)
	for _, mem := range members {
		groups[mem.Domain] = append(groups[mem.Domain], mem)
	}
	return groups
}

func sortedDomains(groups map[string][]Member, service string) []string {
	domains := make([]string, 0, len(groups))
	for domain := range groups {
		domains = append(domains, domain)
	}
	slices.SortFunc(domains, func(one, two string) int {
		return cmp.Or(cmp.Compare(Score(service, one), Score(service, two)), cmp.Compare(one, two))
	})
	return domains
}

// bestDomain returns the domain with the least load, and of those the one that
// the engine prefers.
func bestDomain(domains []string, load map[string]int, engine string) string {
	best := ""
	for _, domain := range domains {
		less := best == "" || load[domain] < load[best]
		same := best != "" && load[domain] == load[best]
		if less || (same && Score(engine, domain) > Score(engine, best)) {
			best = domain
		}
	}
	return best
}

func bestMember(members []Member, engine string) Member {
	return slices.MaxFunc(members, func(one, two Member) int {
		return cmp.Compare(Score(engine, one.Name), Score(engine, two.Name))
	})
}

func addDeputies(shares []Share, byDomain map[string][]Member, domains []string, load map[string]int) []Share {
	deputies := make([]Share, 0, len(shares))
	for idx := range shares {
		sha := &shares[idx]
		domain := bestDomain(domains, load, sha.Engine)
		host := bestMember(byDomain[domain], sha.Engine)
		part := max(1, sha.Slots/deputyShare)
		deputies = append(deputies, Share{Engine: sha.Engine, Coordinator: host.Epoch, Slots: part, Deputy: true})
		sha.Slots = max(1, sha.Slots-part)
	}
	return append(shares, deputies...)
}

package view

import (
	"cmp"
	"slices"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
)

// deputySlotDivisor divides an engine's slots; the quotient, but at least one slot, is assigned
// to a deputy.
const deputySlotDivisor = 4

// Share is the assignment of slots of one engine to the host that coordinates them.
type Share struct {
	// Engine is the engine's name.
	Engine string
	// Coordinator is the host's epoch.
	Coordinator request.Epoch
	// Slots is the number of the engine's slots that the host assigns to requests.
	Slots int
	// Deputy is set for slots that are assigned to a host outside the failure domain of the
	// engine's main coordinator, so that gateways in that domain can use the engine.
	Deputy bool
}

// Assign distributes the engines of one service over the view's active members:
// evenly over failure domains, then by rendezvous hashing within a domain, so that the
// loss of one host moves only that host's engines. If all engines of the service are
// assigned to one of several failure domains, deputies outside that domain get a share of
// the slots, since a gateway accepts no grants from its own domain.
func Assign(vie View, service string, engines []resource.EngineSlots) []Share {
	active := vie.Active()
	if len(active) == 0 || len(engines) == 0 {
		return nil
	}
	byDomain := groupByDomain(active)
	domains := sortedDomains(byDomain, service)
	engineCounts := make(map[string]int, len(domains))
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(one, two resource.EngineSlots) int {
		return cmp.Or(cmp.Compare(Score(service, one.Engine), Score(service, two.Engine)), cmp.Compare(one.Engine, two.Engine))
	})
	shares := make([]Share, 0, len(engines))
	for _, eng := range ordered {
		domain := bestDomain(domains, engineCounts, eng.Engine)
		engineCounts[domain]++
		host := bestMember(byDomain[domain], eng.Engine)
		shares = append(shares, Share{Engine: eng.Engine, Coordinator: host.Epoch, Slots: eng.Slots})
	}
	if len(domains) > 1 && len(engineCounts) == 1 {
		return addDeputies(shares, byDomain, domains, engineCounts)
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

// sortedDomains returns the domains sorted by a hash that differs between services.
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

// bestDomain returns the domain with the fewest engines in engineCounts. Ties go to the domain
// with the highest rendezvous score for the engine.
func bestDomain(domains []string, engineCounts map[string]int, engine string) string {
	best := ""
	for _, domain := range domains {
		less := best == "" || engineCounts[domain] < engineCounts[best]
		same := best != "" && engineCounts[domain] == engineCounts[best]
		if less || (same && Score(engine, domain) > Score(engine, best)) {
			best = domain
		}
	}
	return best
}

// bestMember returns the member with the highest rendezvous score for the engine.
func bestMember(members []Member, engine string) Member {
	return slices.MaxFunc(members, func(one, two Member) int {
		return cmp.Compare(Score(engine, one.Name), Score(engine, two.Name))
	})
}

// addDeputies moves a share of each engine's slots to a deputy in another domain. The main
// coordinator and the deputy get at least one slot each, even if the engine has only one.
func addDeputies(shares []Share, byDomain map[string][]Member, domains []string, engineCounts map[string]int) []Share {
	deputies := make([]Share, 0, len(shares))
	for idx := range shares {
		sha := &shares[idx]
		domain := bestDomain(domains, engineCounts, sha.Engine)
		host := bestMember(byDomain[domain], sha.Engine)
		deputySlots := max(1, sha.Slots/deputySlotDivisor)
		deputies = append(deputies, Share{Engine: sha.Engine, Coordinator: host.Epoch, Slots: deputySlots, Deputy: true})
		sha.Slots = max(1, sha.Slots-deputySlots)
	}
	return append(shares, deputies...)
}

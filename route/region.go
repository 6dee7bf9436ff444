package route

import "slices"

// Scope is the set of regions in which a request may be served and held. The zero Scope allows
// all regions.
type Scope struct {
	// Bounded is set if only the listed Regions are allowed; an empty list allows none.
	Bounded bool
	Regions []string
}

// Scope returns the regions in which requests of the client account to the route may be served
// and held. If both the route and the account name regions, only their common ones are allowed.
func (rou Route) Scope(acc Account) Scope {
	switch {
	case len(rou.Regions) == 0:
		return scopeOf(acc.Regions)
	case len(acc.Regions) == 0:
		return scopeOf(rou.Regions)
	default:
		return Scope{Bounded: true, Regions: intersect(rou.Regions, acc.Regions)}
	}
}

func scopeOf(regions []string) Scope {
	return Scope{Bounded: len(regions) > 0, Regions: regions}
}

func intersect(one, two []string) []string {
	var both []string
	for _, region := range one {
		if slices.Contains(two, region) {
			both = append(both, region)
		}
	}
	return both
}

// HostRegions returns the regions in which requests to a host name may be held, regardless of
// which of the host name's routes they match. The scope is unbounded if none of these routes
// names regions.
func (tab *Table) HostRegions(host string) Scope {
	var sco Scope
	for _, rou := range tab.routesOf(host) {
		switch {
		case len(rou.Regions) == 0:
		case !sco.Bounded:
			sco = scopeOf(rou.Regions)
		default:
			sco.Regions = intersect(sco.Regions, rou.Regions)
		}
	}
	return sco
}

// RegionConflictError reports a route and a client account without a common region.
type RegionConflictError struct {
	Route   string
	Account string
	// Field is the path of the account's field in the configuration.
	Field string
}

// Error returns the field, the route and the account.
func (rce *RegionConflictError) Error() string {
	return "configuration: " + rce.Field + ": shares no region with route " + rce.Route + "; requests of account " + rce.Account + " to this route are rejected"
}

// maxReported is the maximum number of conflicts, and of fields with unknown regions, that are
// reported.
const maxReported = 16

// RegionConflicts returns the pairs of a route and a client account without a common region,
// at most 16.
func (tab *Table) RegionConflicts() []*RegionConflictError {
	var conflicts []*RegionConflictError
	for idx, acc := range tab.configuration.Accounts {
		if len(acc.Regions) == 0 {
			continue
		}
		for _, rou := range tab.configuration.Routes {
			if sco := rou.Scope(acc); sco.Bounded && len(sco.Regions) == 0 && len(conflicts) < maxReported {
				conflicts = append(conflicts, &RegionConflictError{Route: rou.Name, Account: acc.Name, Field: accountField(idx, "Regions")})
			}
		}
	}
	return conflicts
}

// UnknownRegions returns the paths of the fields that name an unknown region, at most 16.
func (tab *Table) UnknownRegions(known func(region string) bool) []string {
	var fields []string
	hasUnknown := func(regions []string) bool {
		return slices.ContainsFunc(regions, func(region string) bool { return !known(region) })
	}
	for idx, rou := range tab.configuration.Routes {
		if hasUnknown(rou.Regions) {
			fields = append(fields, routeField(idx, "Regions"))
		}
	}
	for idx, acc := range tab.configuration.Accounts {
		if hasUnknown(acc.Regions) {
			fields = append(fields, accountField(idx, "Regions"))
		}
	}
	return fields[:min(maxReported, len(fields))]
}

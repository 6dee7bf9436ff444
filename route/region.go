package route

import "slices"

// Scope is where a request may be served and held. The zero Scope is anywhere.
type Scope struct {
	// Bounded says that there is a bound; Regions are those that are allowed, which may be none.
	Bounded bool
	Regions []string
}

// Scope returns where requests of the route for the client account may be served and held:
// where both name regions, in those that both name.
func (rou Route) Scope(acc Account) Scope {
	switch {
	case len(rou.Regions) == 0:
		return scopeOf(acc.Regions)
	case len(acc.Regions) == 0:
		return scopeOf(rou.Regions)
	default:
		return Scope{Bounded: true, Regions: common(rou.Regions, acc.Regions)}
	}
}

func scopeOf(regions []string) Scope {
	return Scope{Bounded: len(regions) > 0, Regions: regions}
}

func common(one, two []string) []string {
	var both []string
	for _, region := range one {
		if slices.Contains(two, region) {
			both = append(both, region)
		}
	}
	return both
}

// HostRegions returns the regions in which requests to a host name may be held whichever of its
// routes they are of, and whether any of these names some.
func (tab *Table) HostRegions(host string) Scope {
	var sco Scope
	for _, rou := range tab.routesOf(host) {
		switch {
		case len(rou.Regions) == 0:
		case !sco.Bounded:
			sco = scopeOf(rou.Regions)
		default:
			sco.Regions = common(sco.Regions, rou.Regions)
		}
	}
	return sco
}

// NowhereError reports a route and a client account that leave no region for their requests.
type NowhereError struct {
	Route   string
	Account string
	// Field is the field of the account that shares nothing with the route's.
	Field string
}

// Error names both, and the field.
func (ner *NowhereError) Error() string {
	return "configuration: " + ner.Field + ": shares no region with route " + ner.Route + ", so requests of account " + ner.Account + " there are refused"
}

// maxNowhere bounds the pairs that are told of.
const maxNowhere = 16

// Nowhere returns the routes and client accounts that leave no region for their requests, no
// more than a few.
func (tab *Table) Nowhere() []*NowhereError {
	var nowhere []*NowhereError
	for idx, acc := range tab.configuration.Accounts {
		if len(acc.Regions) == 0 {
			continue
		}
		for _, rou := range tab.configuration.Routes {
			if sco := rou.Scope(acc); sco.Bounded && len(sco.Regions) == 0 && len(nowhere) < maxNowhere {
				nowhere = append(nowhere, &NowhereError{Route: rou.Name, Account: acc.Name, Field: accountField(idx, "Regions")})
			}
		}
	}
	return nowhere
}

// UnknownRegions returns the fields that name a region which isn't among the known ones.
func (tab *Table) UnknownRegions(known func(region string) bool) []string {
	var fields []string
	strange := func(regions []string) bool {
		return slices.ContainsFunc(regions, func(region string) bool { return !known(region) })
	}
	for idx, rou := range tab.configuration.Routes {
		if strange(rou.Regions) {
			fields = append(fields, routeField(idx, "Regions"))
		}
	}
	for idx, acc := range tab.configuration.Accounts {
		if strange(acc.Regions) {
			fields = append(fields, accountField(idx, "Regions"))
		}
	}
	return fields[:min(maxNowhere, len(fields))]
}

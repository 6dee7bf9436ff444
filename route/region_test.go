package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/route"
)

func TestScopeIsTheCommonRegionsOfRouteAndAccount(t *testing.T) {
	for _, tst := range []struct {
		name           string
		route, account []string
		want           route.Scope
	}{
		{"neither names regions", nil, nil, route.Scope{}},
		{"empty lists", []string{}, []string{}, route.Scope{Regions: []string{}}},
		{"only the route", []string{"a", "b"}, nil, route.Scope{Bounded: true, Regions: []string{"a", "b"}}},
		{"only the account", nil, []string{"b"}, route.Scope{Bounded: true, Regions: []string{"b"}}},
		{"both name regions", []string{"a", "b"}, []string{"b", "c"}, route.Scope{Bounded: true, Regions: []string{"b"}}},
		{"no common region", []string{"a"}, []string{"c"}, route.Scope{Bounded: true}},
	} {
		t.Run(tst.name, func(t *testing.T) {
			got := route.Route{Regions: tst.route}.Scope(route.Account{Regions: tst.account})
			assert.DeepEqual(t, got, tst.want)
		})
	}
}

func TestHostRegionsAreCommonToAllItsRoutes(t *testing.T) {
	path := func(prefix string, regions ...string) route.Route {
		return route.Route{Name: prefix, Host: "menus", PathPrefix: prefix, Shares: []route.Share{{Service: "s", Weight: 1}}, Timeout: 1, MaxAttempts: 1, Regions: regions}
	}
	tab, err := route.NewTable(route.Configuration{
		Version: 1, Services: []route.Service{{Name: "s"}}, Routes: []route.Route{path("/a/", "x", "y"), path("/b/"), path("/c/", "y", "z")},
		Accounts: []route.Account{{Name: "anywhere"}, {Name: "strange", Regions: []string{"x", "nowhere"}}},
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, tab.HostRegions("MENUS:80"), route.Scope{Bounded: true, Regions: []string{"y"}})
	assert.DeepEqual(t, tab.HostRegions("other"), route.Scope{})
	conflicts := tab.RegionConflicts()
	assert.Equal(t, len(conflicts), 1)
	assert.DeepEqual(t, *conflicts[0], route.RegionConflictError{Route: "/c/", Account: "strange", Field: "Accounts[1].Regions"})
	assert.DeepEqual(t, tab.UnknownRegions(func(region string) bool { return region != "nowhere" && region != "z" }), []string{"Routes[2].Regions", "Accounts[1].Regions"})
}

package entry_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// domainRegions maps the failure domains d0 to d2, which are those of hosts 0, 1 and 2, to regions.
var domainRegions = map[string]string{"d0": "north", "d1": "south", "d2": "south"}

func startWithRegions(t *testing.T, engines ...*upstreamtest.Engine) *entrytest.System {
	t.Helper()
	return startWith(t, entrytest.Config{Hosts: 3, Engines: engines, Regions: domainRegions})
}

// Requests of a route with allowed regions run only in these regions, whichever host receives them,
// also when they are retried. A stream isn't sent to an engine in another region either.
func TestRequestsRunInRegionsOfRoute(t *testing.T) {
	north, south, other := engineInDomain("d0", "north"), engineInDomain("d1", "south"), engineInDomain("d2", "other")
	streams := upstreamtest.NewEngine(upstreamtest.Config{ID: "streams", Service: entrytest.Model, Slots: 4, Events: streamEvents, Domain: "d0"})
	sys := startWithRegions(t, north, south, other, streams)
	sys.Configure(entrytest.Configuration{Version: 2, RouteRegions: []string{"south"}})
	sys.WaitForVersion(2)
	sendAll(t, sys, 0, 10)
	south.InjectFault(upstreamtest.DropAnswer, 2)
	for num := range 6 {
		ans := sendPlain(t, sys, sys.Hosts[0], "safe", num)
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
	assert.Equal(t, len(north.Arrivals()), 0)
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "stream", Path: "/resume/x", Header: map[string]string{"Token-Counts": "10,10"}})
	assert.Equal(t, ans.Status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(ans.Body, "NoRegion"), ans.Body)
	assert.Equal(t, len(streams.Arrivals()), 0, "the allowed region has no engine of the service")
}

// If both the route and the client account have allowed regions, both apply. If no region is
// left, the request is rejected before it runs, and the log names the configuration field.
func TestRouteAndAccountRegionsBothApply(t *testing.T) {
	north, south := engineInDomain("d0", "north"), engineInDomain("d1", "south")
	sys := startWithRegions(t, north, south)
	sys.Configure(entrytest.Configuration{Version: 2, RouteRegions: []string{"south", "north"}, AccountRegions: []string{"north"}})
	sys.WaitForVersion(2)
	sendAll(t, sys, 0, 5)
	assert.Equal(t, len(south.Arrivals()), 0)
	sys.Configure(entrytest.Configuration{Version: 3, RouteRegions: []string{"south", "west"}, AccountRegions: []string{"north"}})
	sys.WaitForVersion(3)
	before := len(north.Arrivals())
	ans := sendPlain(t, sys, sys.Hosts[0], "unsafe", 100)
	assert.Equal(t, ans.Status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(ans.Body, "NoRegion"), ans.Body)
	assert.Equal(t, len(north.Arrivals())+len(south.Arrivals()), before)
	assert.Assert(t, strings.Contains(sys.Log(), `"Field":"Accounts[0].Regions"`), "the account has no region in common with the route")
	assert.Assert(t, strings.Contains(sys.Log(), `"Field":"Routes[0].Regions"`), "no host is in the region")
	assert.Assert(t, strings.Contains(sys.Metrics(sys.Hosts[0]), "RoutesWithoutRegion "))
	for _, public := range []string{"public"} {
		ans := sendPlain(t, sys, sys.Hosts[2], public, 100)
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
}

// Clients get the addresses of hosts in their own region if the host name's routes allow that
// region, and those of hosts in the allowed regions otherwise.
func TestAddressesRespectAllowedRegions(t *testing.T) {
	sys := startWithRegions(t, engineInDomain("d0", "north"), engineInDomain("d1", "south"))
	address := func(hosts ...int) []string {
		var want []string
		for _, num := range hosts {
			want = append(want, sys.Hosts[num].Settings.CallerAddress.String())
		}
		slices.Sort(want)
		return want
	}
	found := func(region string) []string {
		got := sys.AddressesFor(sys.Hosts[1], region)
		slices.Sort(got)
		return got
	}
	assert.DeepEqual(t, found("north"), address(0))
	assert.DeepEqual(t, found("south"), address(1, 2))
	assert.DeepEqual(t, found("unknown"), address(0, 1, 2))
	sys.Configure(entrytest.Configuration{Version: 2, RouteRegions: []string{"south"}})
	sys.WaitForVersion(2)
	assert.DeepEqual(t, found("north"), address(1, 2))
	assert.DeepEqual(t, found("south"), address(1, 2))
	assert.DeepEqual(t, found("unknown"), address(1, 2))
	for _, hos := range sys.Hosts[1:] {
		hos.Stop()
		sys.RemoveHost(hos.Settings.Name)
	}
	// No host of the allowed region is left. Clients get the hosts of their own region, or none.
	sys.WaitUntil("the region's hosts are deregistered", func() bool {
		got := sys.AddressesFor(sys.Hosts[0], "north")
		return slices.Equal(got, address(0)) && len(sys.AddressesFor(sys.Hosts[0], "unknown")) == 0
	})
}

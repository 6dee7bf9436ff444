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

// twoRegions are the regions of hosts 0, 1 and 2, which are in failure domains d0 to d2.
var twoRegions = map[string]string{"d0": "north", "d1": "south", "d2": "south"}

func startRegions(t *testing.T, engines ...*upstreamtest.Engine) *entrytest.System {
	t.Helper()
	return startWith(t, entrytest.Config{Hosts: 3, Engines: engines, Regions: twoRegions})
}

// Requests of a route that names regions run there only, whichever host takes them; so do
// repeats and resumed streams.
func TestRequestsRunInTheRegionsOfTheirRoute(t *testing.T) {
	north, south, other := engineIn("d0", "north"), engineIn("d1", "south"), engineIn("d2", "other")
	streams := upstreamtest.NewEngine(upstreamtest.Config{ID: "streams", Service: entrytest.Model, Slots: 4, Events: events, Domain: "d0"})
	sys := startRegions(t, north, south, other, streams)
	sys.Configure(entrytest.Configuration{Version: 2, RouteRegions: []string{"south"}})
	sys.UntilVersion(2)
	sendAll(t, sys, 0, 10)
	south.Trouble(upstreamtest.Lose, 2)
	for num := range 6 {
		ans := sendPlain(t, sys, sys.Hosts[0], "safe", num)
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
	assert.Equal(t, len(north.Arrivals()), 0)
	ans := sys.Send(t.Context(), sys.Hosts[0], entrytest.Request{ID: "stream", Path: "/resume/x", Header: map[string]string{"Token-Counts": "10,10"}})
	assert.Equal(t, ans.Status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(ans.Body, "NoRegion"), ans.Body)
	assert.Equal(t, len(streams.Arrivals()), 0, "the region has no engine of the service")
}

// Where the route and the client account both name regions both bind; where that leaves none
// the request is refused, truly, and operators are told the field.
func TestRouteAndAccountBothBind(t *testing.T) {
	north, south := engineIn("d0", "north"), engineIn("d1", "south")
	sys := startRegions(t, north, south)
	sys.Configure(entrytest.Configuration{Version: 2, RouteRegions: []string{"south", "north"}, AccountRegions: []string{"north"}})
	sys.UntilVersion(2)
	sendAll(t, sys, 0, 5)
	assert.Equal(t, len(south.Arrivals()), 0)
	sys.Configure(entrytest.Configuration{Version: 3, RouteRegions: []string{"south", "west"}, AccountRegions: []string{"north"}})
	sys.UntilVersion(3)
	before := len(north.Arrivals())
	ans := sendPlain(t, sys, sys.Hosts[0], "unsafe", 100)
	assert.Equal(t, ans.Status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(ans.Body, "NoRegion"), ans.Body)
	assert.Equal(t, len(north.Arrivals())+len(south.Arrivals()), before)
	assert.Assert(t, strings.Contains(sys.Log(), `"Field":"Accounts[0].Regions"`), "who shares nothing with the route")
	assert.Assert(t, strings.Contains(sys.Log(), `"Field":"Routes[0].Regions"`), "the region that nobody is in")
	assert.Assert(t, strings.Contains(sys.Figures(sys.Hosts[0]), "RoutesWithoutRegion "))
	for _, public := range []string{"public"} {
		ans := sendPlain(t, sys, sys.Hosts[2], public, 100)
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
}

// Callers are sent to hosts of their own region, where requests to the host name may be held
// there, and to those of the regions that are allowed otherwise.
func TestCallersAreSentWhereTheirRequestsMayBeHeld(t *testing.T) {
	sys := startRegions(t, engineIn("d0", "north"), engineIn("d1", "south"))
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
	assert.DeepEqual(t, found("elsewhere"), address(0, 1, 2))
	sys.Configure(entrytest.Configuration{Version: 2, RouteRegions: []string{"south"}})
	sys.UntilVersion(2)
	assert.DeepEqual(t, found("north"), address(1, 2))
	assert.DeepEqual(t, found("south"), address(1, 2))
	assert.DeepEqual(t, found("elsewhere"), address(1, 2))
	for _, hos := range sys.Hosts[1:] {
		hos.Stop()
		sys.RemoveHost(hos.Settings.Name)
	}
	// The region is lost: the caller's own host is the only other one that may hold its requests.
	sys.Until("the region's hosts are gone", func() bool {
		got := sys.AddressesFor(sys.Hosts[0], "north")
		return slices.Equal(got, address(0)) && len(sys.AddressesFor(sys.Hosts[0], "elsewhere")) == 0
	})
}

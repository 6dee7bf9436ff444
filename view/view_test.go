package view_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

func drawView(t *rapid.T) view.View {
	vie := view.View{Number: 1}
	for num := range rapid.IntRange(1, 12).Draw(t, "hosts") {
		vie.Members = append(vie.Members, view.Member{
			Name: fmt.Sprintf("host-%02d", num), Epoch: request.Epoch(num + 1),
			Domain: fmt.Sprintf("domain-%d", rapid.IntRange(0, 4).Draw(t, "domain")),
		})
	}
	return vie
}

func drawEngines(t *rapid.T) []resource.EngineSlots {
	var engines []resource.EngineSlots
	for num := range rapid.IntRange(1, 12).Draw(t, "engines") {
		engines = append(engines, resource.EngineSlots{Engine: fmt.Sprintf("engine-%d", num), Slots: rapid.IntRange(2, 8).Draw(t, "slots")})
	}
	return engines
}

// For any membership, every gateway must have at least one coordinator that may grant it
// slots of the service, and the shares of an engine must add up to the engine's slots.
// Without deputies, gateways could not use a service whose engines are all assigned to their
// own domain.
func TestAssignGivesEveryGatewayAnEngineAndEachSlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vie, engines := drawView(t), drawEngines(t)
		shares := view.Assign(vie, "menus", engines)
		assigned := make(map[string]int)
		for _, sha := range shares {
			assigned[sha.Engine] += sha.Slots
		}
		for _, eng := range engines {
			assert.Equal(t, assigned[eng.Engine], eng.Slots)
		}
		for _, mem := range vie.Members {
			usable := 0
			for _, sha := range shares {
				if vie.MayGrant(sha.Coordinator, mem.Epoch) {
					usable++
				}
			}
			assert.Assert(t, usable > 0, "%s in domain %s may use none of the shares %v", mem.Name, mem.Domain, shares)
		}
	})
}

// The loss of a host must move only the engines that it coordinated. Otherwise one failure
// would interrupt the coordination of unrelated engines. This doesn't hold for the loss of a
// whole domain, after which the engines are rebalanced over the remaining domains.
func TestLossOfHostMovesOnlyItsEngines(t *testing.T) {
	vie := view.View{Number: 1}
	for num := range 9 {
		vie.Members = append(vie.Members, view.Member{Name: fmt.Sprintf("host-%d", num), Epoch: request.Epoch(num + 1), Domain: fmt.Sprintf("domain-%d", num%3)})
	}
	var engines []resource.EngineSlots
	for num := range 30 {
		engines = append(engines, resource.EngineSlots{Engine: fmt.Sprintf("engine-%d", num), Slots: 4})
	}
	before := view.Assign(vie, "menus", engines)
	after := view.Assign(vie.Without(func(epo request.Epoch) bool { return epo == 4 }), "menus", engines)
	for idx, sha := range before {
		if sha.Coordinator != 4 {
			assert.DeepEqual(t, after[idx], sha)
		}
	}
}

func TestProposeKeepsAliveHostsWithoutLease(t *testing.T) {
	current := view.View{Number: 3, Members: []view.Member{{Name: "a", Epoch: 1}, {Name: "b", Epoch: 2}, {Name: "c", Epoch: 3}}}
	cases := map[string]struct {
		leased []view.Member
		alive  map[request.Epoch]bool
		want   []view.Member
	}{
		"AllLeased":       {current.Members, nil, current.Members},
		"LeasesExpired":   {nil, map[request.Epoch]bool{1: true, 2: true, 3: true}, current.Members},
		"LostAndExpired":  {current.Members[:2], map[request.Epoch]bool{1: true}, current.Members[:2]},
		"Restarted":       {[]view.Member{{Name: "b", Epoch: 9}}, map[request.Epoch]bool{1: true, 2: true}, []view.Member{{Name: "a", Epoch: 1}, {Name: "b", Epoch: 9}}},
		"DrainingByLease": {[]view.Member{{Name: "a", Epoch: 1, Draining: true}}, map[request.Epoch]bool{1: true}, []view.Member{{Name: "a", Epoch: 1, Draining: true}}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			got := view.Propose(current, cas.leased, func(mem view.Member) bool { return cas.alive[mem.Epoch] })
			assert.Assert(t, slices.Equal(got, cas.want), "%v", got)
		})
	}
}

func TestEncodedHeadStaysWithinSizeLimit(t *testing.T) {
	hea := view.Head{}
	var members []view.Member
	for num := range 350 {
		members = append(members, view.Member{Name: fmt.Sprintf("host-%d", num), Epoch: request.Epoch(num), Domain: "d"})
	}
	for range 40 {
		hea = hea.Next(members)
	}
	data, err := hea.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= 128<<10, "%d bytes", len(data))
	decoded, err := view.ParseHead(data)
	assert.NilError(t, err)
	assert.Equal(t, decoded.Current.Number, uint64(40))
}

// In a view too large for a full mesh of sessions, each gateway must still have sessions
// with coordinators of every service in two failure domains, so that the loss of one
// domain leaves it a coordinator.
func TestSessionPeersInLargeViewCoverEveryService(t *testing.T) {
	vie := view.View{Number: 1}
	for num := range 350 {
		vie.Members = append(vie.Members, view.Member{Name: fmt.Sprintf("host-%d", num), Epoch: request.Epoch(num + 1), Domain: fmt.Sprintf("domain-%d", num%5)})
	}
	services := make(map[string][]resource.EngineSlots)
	for num := range 650 {
		service := fmt.Sprintf("model-%d", num%22)
		services[service] = append(services[service], resource.EngineSlots{Engine: fmt.Sprintf("engine-%d", num), Slots: 8})
	}
	for _, gat := range vie.Members[:20] {
		peers := vie.SessionPeers(gat.Epoch, services)
		assert.Assert(t, len(peers) <= 44, "%d sessions", len(peers))
		for service, engines := range services {
			domains := make(map[string]bool)
			for _, sha := range view.Assign(vie, service, engines) {
				if slices.ContainsFunc(peers, func(mem view.Member) bool { return mem.Epoch == sha.Coordinator && mem.Domain != gat.Domain }) {
					mem, _ := vie.Member(sha.Coordinator)
					domains[mem.Domain] = true
				}
			}
			assert.Assert(t, len(domains) >= 2, "%s has sessions with coordinators in %d domains of %s", gat.Name, len(domains), service)
		}
	}
}

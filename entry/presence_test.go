package entry

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
)

// In a fleet of hundreds of hosts, the entries of lost hosts remain for half a minute. Clients must
// not be sent to these hosts once the coordinator reports them as unreachable.
func TestClientsAreNotSentToUnreachableHosts(t *testing.T) {
	const hosts, lost = 300, 100
	hos, sessions := newHostInFleet(t, hosts)
	hos.draining.Store(true)
	members := hos.broker.membership.members
	for idx := range members {
		members[idx].CallerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(idx / 256), byte(idx)}), 1)
	}
	tab, err := route.NewTable(route.Configuration{Version: 1})
	assert.NilError(t, err)
	hos.snapshot.Store(&snapshot{table: tab, members: members})
	now := time.Now()
	assert.Equal(t, len(hos.addresses(now, platform.AddressesQuery{})), hosts-1, "all other hosts")
	for _, ses := range sessions[:lost] {
		hos.broker.SessionLost(ses)
	}
	hos.broker.publishUnreachable(now)
	assert.Equal(t, len(hos.addresses(now, platform.AddressesQuery{})), hosts-1, "a session may be opened again")
	hos.broker.publishUnreachable(now.Add(time.Second))
	assert.Equal(t, len(hos.addresses(now, platform.AddressesQuery{})), hosts-1-lost)
	// A host with another coordinator uses that coordinator's report of unreachable hosts.
	hos.broker.links[1] = &link{queue: peer.NewQueue()}
	hos.broker.applyMessage(1, reservation.Leader{Host: 1})
	assert.Equal(t, len(hos.addresses(now, platform.AddressesQuery{})), hosts-1)
	hos.broker.applyMessage(1, reservation.UnreachableHosts{Hosts: hos.broker.publishedUnreachable[:lost/2]})
	assert.Equal(t, len(hos.addresses(now, platform.AddressesQuery{})), hosts-1-lost/2)
}

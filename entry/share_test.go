package entry

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// Two partitions of the hosts together never use more than the limits.
func TestPartitionedHostsShareLimits(t *testing.T) {
	for hosts := 1; hosts <= 12; hosts++ {
		for group := 1; group < hosts; group++ {
			sum := 1/limitDivisor(hosts, group) + 1/limitDivisor(hosts, hosts-group)
			assert.Assert(t, sum < 1.000001, "%d and %d of %d hosts have %f", group, hosts-group, hosts, sum)
		}
	}
	assert.Equal(t, limitDivisor(6, 6), 1.0)
	assert.Equal(t, limitDivisor(6, 1), 6.0)
	// Draining hosts are still served for a while, and the list of hosts may be empty.
	assert.Equal(t, limitDivisor(5, 6), 1.0)
	assert.Equal(t, limitDivisor(0, 1), 1.0)
}

// newHostInFleet returns a host in a fleet of the given number of hosts, and the sessions that the
// other hosts have opened with it. None of them has delegated to it yet.
func newHostInFleet(t *testing.T, hosts int) (*Host, []uint64) {
	t.Helper()
	hos, err := New(Config{Log: zerolog.Nop()})
	assert.NilError(t, err)
	members := []fleet.Member{{Epoch: hos.epoch}}
	var sessions []uint64
	for idx := 1; idx < hosts; idx++ {
		epo := request.Epoch(idx)
		members = append(members, fleet.Member{Epoch: epo})
		_, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		sessions = append(sessions, hos.broker.SessionUp(peer.Header{Epoch: epo}, peer.NewQueue(), cancel))
	}
	hos.broker.updateMembership(membership{members: members, candidates: members})
	return hos, sessions
}

// Hosts that have delegated to the coordinator count for its share of the limits, also while they
// send no requests. Otherwise the first requests of hundreds of hosts after an idle period would
// get the limits of one host.
func TestIdleGatewaysCountForLimitDivisor(t *testing.T) {
	const hosts = 300
	hos, sessions := newHostInFleet(t, hosts)
	assert.Equal(t, hos.Dump().Scheduler.Parts, float64(hosts), "a session alone doesn't delegate to the host")
	for _, ses := range sessions {
		hos.broker.SessionMessage(ses, peer.Received{Message: reservation.Delegation{Delegated: true}})
	}
	assert.Equal(t, hos.Dump().Scheduler.Parts, 1.0)
	// A third of the hosts delegates to another coordinator, another third is lost.
	for idx, ses := range sessions {
		switch idx % 3 {
		case 0:
			hos.broker.SessionMessage(ses, peer.Received{Message: reservation.Delegation{}})
		case 1:
			hos.broker.SessionLost(ses)
		}
	}
	assert.Equal(t, hos.Dump().Scheduler.Parts, float64(hosts)/100)
}

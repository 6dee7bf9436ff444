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

// Groups of hosts that have lost one another never have more than all limits.
func TestGroupsOfHostsShareTheLimits(t *testing.T) {
	for hosts := 1; hosts <= 12; hosts++ {
		for group := 1; group < hosts; group++ {
			sum := 1/limitParts(hosts, group) + 1/limitParts(hosts, hosts-group)
			assert.Assert(t, sum < 1.000001, "%d and %d of %d hosts have %f", group, hosts-group, hosts, sum)
		}
	}
	assert.Equal(t, limitParts(6, 6), 1.0)
	assert.Equal(t, limitParts(6, 1), 6.0)
	// Hosts that leave are served for a while, and a list may be empty.
	assert.Equal(t, limitParts(5, 6), 1.0)
	assert.Equal(t, limitParts(0, 1), 1.0)
}

// fleetOf returns a host that decides alone in a fleet of so many, and the sessions of
// the others, none of which has it decide yet.
func fleetOf(t *testing.T, hosts int) (*Host, []uint64) {
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
		sessions = append(sessions, hos.desk.SessionUp(peer.Header{Epoch: epo}, peer.NewQueue(), cancel))
	}
	hos.desk.changeMembers(roster{members: members, candidates: members})
	return hos, sessions
}

// A fleet without traffic for a while is as large as before: hundreds of hosts have few
// requests each, and the first after a pause must not find limits for one host alone.
func TestGatewaysWithoutRequestsKeepTheirPartOfTheLimits(t *testing.T) {
	const hosts = 300
	hos, sessions := fleetOf(t, hosts)
	assert.Equal(t, hos.Dump().Scheduler.Parts, float64(hosts), "a session alone has nobody decide")
	for _, ses := range sessions {
		hos.desk.SessionMessage(ses, peer.Received{Message: reservation.Appoint{Decides: true}})
	}
	assert.Equal(t, hos.Dump().Scheduler.Parts, 1.0)
	// A third has found another coordinator, another third is lost.
	for idx, ses := range sessions {
		switch idx % 3 {
		case 0:
			hos.desk.SessionMessage(ses, peer.Received{Message: reservation.Appoint{}})
		case 1:
			hos.desk.SessionLost(ses)
		}
	}
	assert.Equal(t, hos.Dump().Scheduler.Parts, float64(hosts)/100)
}

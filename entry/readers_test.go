package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
)

func testPeers(count int) []fleet.Member {
	var peers []fleet.Member
	for idx := range count {
		peers = append(peers, fleet.Member{Epoch: request.Epoch(idx + 1)})
	}
	return peers
}

// In a failure domain of fifty hosts, the relays fail one after the other. Each time the next
// candidate becomes the relay, so that the other hosts don't read the store themselves.
func TestNextRelayTakesOverWhenFirstFails(t *testing.T) {
	const hosts = 50
	now := time.Unix(100, 0)
	peers := testPeers(hosts)
	all := make([]*relayChooser, hosts)
	for idx := range all {
		all[idx] = newRelayChooser(request.Epoch(idx + 1))
	}
	// The first two hosts are lost, one after the other.
	for lost := range maxRelayCandidates - 1 {
		for _, rch := range all[lost+1:] {
			mem, found := rch.choose(now, peers)
			assert.Assert(t, found)
			assert.Equal(t, mem.Epoch, peers[lost].Epoch)
			rch.recordFailure(now, mem)
		}
		relays := 0
		for _, rch := range all[lost+1:] {
			if _, found := rch.choose(now, peers); !found {
				assert.Assert(t, rch.isRelay(now, peers))
				relays++
			}
		}
		assert.Equal(t, relays, 1, "the next candidate is the relay")
	}
	last := all[hosts-1]
	mem, _ := last.choose(now, peers)
	last.recordFailure(now, mem)
	_, found := last.choose(now, peers)
	assert.Assert(t, !found && !last.isRelay(now, peers), "all candidates have failed")
	mem, found = last.choose(now.Add(relaySkipTime), peers)
	assert.Assert(t, found)
	assert.Equal(t, mem.Epoch, peers[0].Epoch, "the first candidate is tried again")
}

func TestHostsOfSmallDomainReadStoreThemselves(t *testing.T) {
	now := time.Unix(100, 0)
	rch := newRelayChooser(2)
	_, found := rch.choose(now, testPeers(minRelayHosts-1))
	assert.Assert(t, !found && !rch.isRelay(now, testPeers(minRelayHosts-1)))
	_, found = rch.choose(now, testPeers(minRelayHosts))
	assert.Assert(t, found)
}

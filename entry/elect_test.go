package entry

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// newElectionBroker returns the broker of a host that has just started as the last of three
// candidates.
func newElectionBroker(t *testing.T) *broker {
	t.Helper()
	hos, err := New(Config{Log: zerolog.Nop()})
	assert.NilError(t, err)
	members := []fleet.Member{{Name: "a", Epoch: 1}, {Name: "b", Epoch: 2}, {Name: "c", Epoch: hos.epoch}}
	hos.broker.updateMembership(membership{members: members, candidates: members})
	return hos.broker
}

// The first candidate was lost and returns while another host is the leader. All hosts keep that
// leader, and choose the first candidate only after the loss of the leader.
func TestReturningCandidateFollowsLeader(t *testing.T) {
	bro := newElectionBroker(t)
	assert.Equal(t, bro.chooseCoordinator(), bro.host.epoch, "no host is reachable")
	first, second := &link{queue: peer.NewQueue()}, &link{queue: peer.NewQueue()}
	bro.links[1] = first
	assert.Equal(t, bro.chooseCoordinator(), request.Epoch(1), "there is no leader")
	bro.links[2] = second
	bro.applyMessage(2, reservation.Leader{Host: 2})
	assert.Equal(t, bro.chooseCoordinator(), request.Epoch(2))
	bro.applyMessage(1, reservation.Leader{Host: 2})
	assert.Equal(t, bro.chooseCoordinator(), request.Epoch(2))
	// The leader is lost. A host that still names it as leader must not prevent the change.
	delete(bro.links, 2)
	assert.Equal(t, bro.chooseCoordinator(), request.Epoch(1))
}

// A host is the leader, and reports so, while it and the hosts that delegate scheduling to it are
// more than half of all hosts.
func TestHostLeadsWhileMajorityDelegatesToIt(t *testing.T) {
	const hosts = 5
	hos, sessions := newHostInFleet(t, hosts)
	reportedLeader := func() request.Epoch { return hos.broker.publishedLeader }
	delegate := func(idx int, delegated bool) {
		hos.broker.SessionMessage(sessions[idx], peer.Received{Message: reservation.Delegation{Delegated: delegated}})
	}
	delegate(0, true)
	assert.Equal(t, reportedLeader(), request.Epoch(0), "two of five hosts are no majority")
	delegate(1, true)
	assert.Equal(t, reportedLeader(), hos.epoch)
	assert.Equal(t, hos.broker.chooseCoordinator(), hos.epoch)
	delegate(0, false)
	assert.Equal(t, reportedLeader(), request.Epoch(0))
}

// A host without an entry in the store can't be the leader.
func TestDeregisteredHostDoesNotLead(t *testing.T) {
	bro := newElectionBroker(t)
	bro.links[2] = &link{queue: peer.NewQueue(), leader: 2}
	assert.Equal(t, bro.chooseCoordinator(), request.Epoch(2))
	members := []fleet.Member{{Name: "a", Epoch: 1}, {Name: "c", Epoch: bro.host.epoch}}
	bro.updateMembership(membership{members: members, candidates: members})
	assert.Equal(t, bro.chooseCoordinator(), bro.host.epoch)
}

// After the loss of all hosts the entries hold the hosts' former epochs. A host that answers with
// another epoch is recognized as restarted before its new entry is read.
func TestRestartedHostIsRecognizedByItsAnswer(t *testing.T) {
	bro := newElectionBroker(t)
	mem := bro.candidates()[0]
	assert.Assert(t, !bro.recordRestart(mem, &peer.HeartbeatTimeoutError{}), "a timeout shows no epoch")
	assert.Assert(t, bro.recordRestart(mem, &peer.EpochError{Want: 1, Got: 7}))
	assert.Equal(t, bro.candidates()[0].Epoch, request.Epoch(7))
	assert.Assert(t, bro.recordRestart(bro.candidates()[0], &peer.EpochError{Want: 7, Got: 8}))
	assert.Equal(t, bro.candidates()[0].Epoch, request.Epoch(8), "a second restart before any entry is read")
	// An old entry that is read meanwhile doesn't change the epoch.
	read := func(epo request.Epoch) {
		members := []fleet.Member{{Name: mem.Name, Epoch: epo}, {Name: "c", Epoch: bro.host.epoch}}
		bro.updateMembership(membership{members: members, candidates: members})
	}
	read(mem.Epoch)
	assert.Equal(t, bro.candidates()[0].Epoch, request.Epoch(8))
	// The host restarts once more, with a clock that was set back.
	read(5)
	assert.Equal(t, bro.candidates()[0].Epoch, request.Epoch(5))
	assert.Assert(t, bro.recordRestart(bro.candidates()[0], &peer.EpochError{Want: 5, Got: 3}))
	assert.Equal(t, bro.candidates()[0].Epoch, request.Epoch(3))
}

// An unreachable candidate is replaced by the next one until a session with the former opens again.
func TestNextCandidateReplacesUnreachableOne(t *testing.T) {
	bro := newElectionBroker(t)
	assert.Equal(t, len(bro.candidates()), coordinatorSessions)
	bro.recordUnreachable(bro.candidates()[0], 0)
	assert.Equal(t, len(bro.candidates()), coordinatorSessions+1)
	bro.linkUp(&link{member: fleet.Member{Name: "a", Epoch: 1}, queue: peer.NewQueue()})
	assert.Equal(t, len(bro.candidates()), coordinatorSessions)
}

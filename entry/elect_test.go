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

// electing returns the desk of a host that has just started, as the last of three.
func electing(t *testing.T) *desk {
	t.Helper()
	hos, err := New(Config{Log: zerolog.Nop()})
	assert.NilError(t, err)
	members := []fleet.Member{{Name: "a", Epoch: 1}, {Name: "b", Epoch: 2}, {Name: "c", Epoch: hos.epoch}}
	hos.desk.changeMembers(roster{members: members, candidates: members})
	return hos.desk
}

// The first of all comes back after it was lost, while another leads. The others stay
// with that one, and so does it itself; after the loss of all they choose the first.
func TestCoordinatorThatIsBackHasTheLeaderDecide(t *testing.T) {
	des := electing(t)
	assert.Equal(t, des.choose(), des.host.epoch, "nobody is reached")
	first, second := &link{queue: peer.NewQueue()}, &link{queue: peer.NewQueue()}
	des.links[1] = first
	assert.Equal(t, des.choose(), request.Epoch(1), "nobody leads")
	des.links[2] = second
	des.decided(2, reservation.Leader{Host: 2})
	assert.Equal(t, des.choose(), request.Epoch(2))
	des.decided(1, reservation.Leader{Host: 2})
	assert.Equal(t, des.choose(), request.Epoch(2))
	// It is lost; the word of one that doesn't know yet leads nobody there.
	delete(des.links, 2)
	assert.Equal(t, des.choose(), request.Epoch(1))
}

// A host leads while more than half of all have it decide, and says so.
func TestHostLeadsWhileMostHaveItDecide(t *testing.T) {
	const hosts = 5
	hos, sessions := fleetOf(t, hosts)
	told := func() request.Epoch { return hos.desk.toldLeader }
	appoint := func(idx int, decides bool) {
		hos.desk.SessionMessage(sessions[idx], peer.Received{Message: reservation.Appoint{Decides: decides}})
	}
	appoint(0, true)
	assert.Equal(t, told(), request.Epoch(0), "two of five")
	appoint(1, true)
	assert.Equal(t, told(), hos.epoch)
	assert.Equal(t, hos.desk.choose(), hos.epoch)
	appoint(0, false)
	assert.Equal(t, told(), request.Epoch(0))
}

// Whoever has no entry any more leads nobody.
func TestHostWithoutAnEntryDoesNotLead(t *testing.T) {
	des := electing(t)
	des.links[2] = &link{queue: peer.NewQueue(), leader: 2}
	assert.Equal(t, des.choose(), request.Epoch(2))
	members := []fleet.Member{{Name: "a", Epoch: 1}, {Name: "c", Epoch: des.host.epoch}}
	des.changeMembers(roster{members: members, candidates: members})
	assert.Equal(t, des.choose(), des.host.epoch)
}

// After the loss of all hosts the entries name their former starts. Who answers with a
// later one is taken for what it is, before its entry is read.
func TestHostThatStartedAgainIsKnownByItsAnswer(t *testing.T) {
	des := electing(t)
	mem := des.candidates()[0]
	assert.Assert(t, !des.noteRestart(mem, &peer.SilenceError{}), "silence tells nothing")
	assert.Assert(t, des.noteRestart(mem, &peer.EpochError{Want: 1, Got: 7}))
	assert.Equal(t, des.candidates()[0].Epoch, request.Epoch(7))
	assert.Assert(t, des.noteRestart(des.candidates()[0], &peer.EpochError{Want: 7, Got: 8}))
	assert.Equal(t, des.candidates()[0].Epoch, request.Epoch(8), "and again, before any entry is read")
	// An old entry that is read meanwhile changes nothing.
	read := func(epo request.Epoch) {
		members := []fleet.Member{{Name: mem.Name, Epoch: epo}, {Name: "c", Epoch: des.host.epoch}}
		des.changeMembers(roster{members: members, candidates: members})
	}
	read(mem.Epoch)
	assert.Equal(t, des.candidates()[0].Epoch, request.Epoch(8))
	// It starts once more, by a clock that was set back meanwhile.
	read(5)
	assert.Equal(t, des.candidates()[0].Epoch, request.Epoch(5))
	assert.Assert(t, des.noteRestart(des.candidates()[0], &peer.EpochError{Want: 5, Got: 3}))
	assert.Equal(t, des.candidates()[0].Epoch, request.Epoch(3))
}

// A candidate that can't be reached makes room for the next, until it is back.
func TestNextCandidateIsTriedWhereOneIsLost(t *testing.T) {
	des := electing(t)
	assert.Equal(t, len(des.candidates()), coordinators)
	des.noteUnreached(des.candidates()[0], 0)
	assert.Equal(t, len(des.candidates()), coordinators+1)
	des.linkUp(&link{member: fleet.Member{Name: "a", Epoch: 1}, queue: peer.NewQueue()})
	assert.Equal(t, len(des.candidates()), coordinators)
}

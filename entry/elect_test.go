package entry

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
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

// The first of all comes back after it was lost. The others stay with the one that
// decides until it is steadily there; after the loss of all they take it at once.
func TestCoordinatorThatIsBackTakesOverWhenItIsSteady(t *testing.T) {
	des := electing(t)
	now := time.Now()
	assert.Equal(t, des.choose(now), des.host.epoch, "nobody is reached")
	des.links[1] = &link{since: now}
	assert.Equal(t, des.choose(now), request.Epoch(1), "nobody is steady")
	des.links[2] = &link{since: now.Add(-time.Minute)}
	assert.Equal(t, des.choose(now), request.Epoch(2))
	assert.Equal(t, des.choose(now.Add(steadyAfter)), request.Epoch(1))
}

// After the loss of all hosts the entries name their former starts. Who answers with a
// later one is taken for what it is, before its entry is read.
func TestHostThatStartedAgainIsKnownByItsAnswer(t *testing.T) {
	des := electing(t)
	mem := des.candidates()[0]
	assert.Assert(t, !des.noteRestart(mem, &peer.EpochError{Want: 1, Got: 0}), "a former start is none")
	assert.Assert(t, des.noteRestart(mem, &peer.EpochError{Want: 1, Got: 7}))
	assert.Equal(t, des.candidates()[0].Epoch, request.Epoch(7))
	// An old entry that is read meanwhile changes nothing.
	old := []fleet.Member{mem, {Name: "c", Epoch: des.host.epoch}}
	des.changeMembers(roster{members: old, candidates: old})
	assert.Equal(t, des.candidates()[0].Epoch, request.Epoch(7))
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

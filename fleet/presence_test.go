package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
)

func membersUpTo(count int) []fleet.Member {
	var members []fleet.Member
	for idx := range count {
		members = append(members, fleet.Member{Epoch: request.Epoch(idx + 1)})
	}
	return members
}

// Host 1 coordinates eight hosts. A host without a session must become unreachable long before
// its entry expires, and a starting one must have time to open its session.
func TestHostsBecomeUnreachableAfterTheirSessionsEnd(t *testing.T) {
	now := time.Unix(100, 0)
	pre := fleet.NewPresence(1)
	pre.SetMembers(now, membersUpTo(8))
	for epo := range request.Epoch(6) {
		pre.SessionOpened(epo + 1)
	}
	assert.Equal(t, len(pre.Unreachable(now)), 0)
	pre.SessionEnded(now, 3)
	pre.SessionEnded(now, 4)
	assert.Equal(t, len(pre.Unreachable(now.Add(100*time.Millisecond))), 0, "a session may be opened again")
	pre.SessionOpened(4)
	assert.DeepEqual(t, pre.Unreachable(now.Add(400*time.Millisecond)), []request.Epoch{3})
	// Two hosts never had a session.
	assert.DeepEqual(t, pre.Unreachable(now.Add(3*time.Second)), []request.Epoch{3, 7, 8})
	pre.SessionOpened(7)
	pre.SetMembers(now.Add(3*time.Second), membersUpTo(7))
	// A deregistered host is not reported.
	assert.DeepEqual(t, pre.Unreachable(now.Add(4*time.Second)), []request.Epoch{3})
	pre.SessionOpened(3)
	assert.Equal(t, len(pre.Unreachable(now.Add(4*time.Second))), 0)
}

func TestPartitionedHostReportsNoneUnreachable(t *testing.T) {
	now := time.Unix(100, 0)
	pre := fleet.NewPresence(1)
	pre.SetMembers(now, membersUpTo(9))
	for epo := range request.Epoch(8) {
		pre.SessionOpened(epo + 2)
	}
	for epo := range request.Epoch(6) {
		pre.SessionEnded(now, epo+2)
	}
	assert.Equal(t, len(pre.Unreachable(now.Add(time.Second))), 6, "six of the eight other hosts may have failed at once")
	pre.SessionEnded(now, 8)
	assert.Equal(t, len(pre.Unreachable(now.Add(time.Second))), 0)
	// Of two hosts without a session between them, neither can detect which one is partitioned.
	pair := fleet.NewPresence(1)
	pair.SetMembers(now, membersUpTo(2))
	assert.Equal(t, len(pair.Unreachable(now.Add(time.Minute))), 0)
}

// In any order of events, a host that has a session or is not registered must never be reported.
func TestHostWithASessionIsNeverUnreachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		pre := fleet.NewPresence(1)
		registered, reachable := 0, make(map[request.Epoch]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			epo := request.Epoch(rapid.IntRange(1, 9).Draw(t, "host"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				registered = rapid.IntRange(0, 9).Draw(t, "registered")
				pre.SetMembers(now, membersUpTo(registered))
			case 1:
				pre.SessionOpened(epo)
				reachable[epo] = true
			default:
				pre.SessionEnded(now, epo)
				delete(reachable, epo)
			}
			for _, epo := range pre.Unreachable(now) {
				if reachable[epo] || int(epo) > registered {
					t.Fatalf("host %d is unreachable, with a session: %t, of %d registered", epo, reachable[epo], registered)
				}
			}
		}
	})
}

package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
)

const (
	// coordinators is how many hosts a gateway keeps a session with: the one that
	// decides and the one that would next.
	coordinators = 2
	// maxCandidates bounds how many hosts are tried beside them: the hosts that a failure
	// domain's largest are lost with at once, of six, and two more.
	maxCandidates = 5
)

// roster is who shares the work.
type roster struct {
	// members are all hosts, candidates those that may coordinate, in their order.
	members    []fleet.Member
	candidates []fleet.Member
	// outside says that this host's own entry is gone while others have theirs:
	// they count without it, so it has no part of the limits of its own.
	outside bool
}

// restart is what a host's own answer told beyond its entry.
type restart struct {
	// former is the epoch of the entry, now the one that the host answered with. A later
	// entry goes before it, whichever is higher: clocks are set back too.
	former request.Epoch
	now    request.Epoch
}

// restarted returns the roster with the epochs of hosts that are known to have
// started again since their entries were written.
func (ros roster) restarted(restarts map[string]restart) roster {
	ros.members = withRestarts(ros.members, restarts)
	ros.candidates = withRestarts(ros.candidates, restarts)
	return ros
}

func withRestarts(members []fleet.Member, restarts map[string]restart) []fleet.Member {
	if len(restarts) == 0 {
		return members
	}
	members = slices.Clone(members)
	for idx, mem := range members {
		if res, known := restarts[mem.Name]; known && res.former == mem.Epoch {
			members[idx].Epoch = res.now
		}
	}
	return members
}

// changeMembers takes a new roster.
func (des *desk) changeMembers(ros roster) {
	des.mutex.Lock()
	des.setRoster(ros)
	des.mutex.Unlock()
	des.wake()
}

// setRoster takes a new roster; the mutex is held.
func (des *desk) setRoster(ros roster) {
	now := des.host.clock.Now()
	des.listed, des.roster = ros, ros.restarted(des.restarted)
	des.presence.SetMembers(now, des.roster.members)
	des.forgetUnreached()
	des.changeSpending(now)
	des.elect()
	des.tellLeader()
}

// candidates returns the hosts that may coordinate, in order: the first that aren't
// known to be lost, those before them, in case they are back, and whoever leads. Entries
// outlast lost hosts, and who waited for them to lapse would decide alone for as long.
func (des *desk) candidates() []fleet.Member {
	var found []fleet.Member
	reachable := 0
	leaders := des.leaders()
	for _, mem := range des.roster.candidates {
		wanted := reachable < coordinators && len(found) < maxCandidates
		if !wanted && !slices.Contains(leaders, mem.Epoch) {
			continue
		}
		found = append(found, mem)
		if !des.unreached[mem.Epoch] {
			reachable++
		}
	}
	return found
}

// forgetUnreached forgets what was noted of hosts that have no entry any more.
func (des *desk) forgetUnreached() {
	maps.DeleteFunc(des.unreached, func(epo request.Epoch, _ bool) bool {
		return !slices.ContainsFunc(des.roster.members, func(mem fleet.Member) bool { return mem.Epoch == epo })
	})
	maps.DeleteFunc(des.restarted, func(name string, _ restart) bool {
		return !slices.ContainsFunc(des.roster.members, func(mem fleet.Member) bool { return mem.Name == name })
	})
}

// noteRestart takes another epoch from a host that answers with it: it has started
// again, and its former entry is still there. After the loss of all hosts their first
// coordinator is found so before its new entry is read. It reports whether that is so.
func (des *desk) noteRestart(mem fleet.Member, err error) bool {
	var other *peer.EpochError
	if !errors.As(err, &other) {
		return false
	}
	des.mutex.Lock()
	for _, read := range des.listed.members {
		if read.Name == mem.Name {
			des.restarted[mem.Name] = restart{former: read.Epoch, now: other.Got}
		}
	}
	des.setRoster(des.listed)
	des.mutex.Unlock()
	des.wake()
	des.host.log.Info().Str("Member", mem.Name).Stringer("MemberEpoch", other.Got).Stringer("Former", mem.Epoch).Msg("host has started again")
	return true
}

// noteUnreached goes on to the next candidates where a session couldn't be opened.
func (des *desk) noteUnreached(mem fleet.Member, lasted time.Duration) {
	if lasted > dialTimeout+maxRedial {
		return
	}
	des.mutex.Lock()
	des.unreached[mem.Epoch] = true
	des.mutex.Unlock()
	des.wake()
}

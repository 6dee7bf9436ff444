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
	// coordinatorSessions is how many reachable hosts a gateway keeps a session with: the
	// coordinator and the host that would replace it.
	coordinators = 2
	// maxCandidates bounds how many hosts a gateway tries to keep sessions with, including
	// unreachable ones: the hosts of the largest failure domain of a fleet of six, which may be
	// lost at once, and two more.
	maxCandidates = 5
)

// membership is the set of hosts that share the work.
type roster struct {
	// members are all hosts; candidates are those that may be the coordinator, in order of
	// preference.
	members    []fleet.Member
	candidates []fleet.Member
	// unregistered is set while this host's own entry is missing and other hosts have theirs: the
	// others divide the limits without it, so it has no share of its own.
	outside bool
}

// restart is a restart that was detected from a host's answer before its entry changed.
type restart struct {
	// entryEpoch is the epoch in the host's entry, currentEpoch the one that the host answered
	// with. Any later entry replaces the restart, whichever epoch is higher, since a clock may
	// have been set back.
	former request.Epoch
	now    request.Epoch
}

// applyRestarts returns the membership with the new epochs of hosts that have restarted since
// their entries were written.
func (mbs roster) restarted(restarts map[string]restart) roster {
	mbs.members = withRestarts(mbs.members, restarts)
	mbs.candidates = withRestarts(mbs.candidates, restarts)
	return mbs
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

// changeMembers applies a new membership and adjusts the sessions.
func (bro *desk) changeMembers(mbs roster) {
	bro.mutex.Lock()
	bro.setRoster(mbs)
	bro.mutex.Unlock()
	bro.wake()
}

// setRoster applies a new membership; the mutex is held.
func (bro *desk) setRoster(mbs roster) {
	now := bro.host.clock.Now()
	bro.listed, bro.roster = mbs, mbs.restarted(bro.restarted)
	bro.presence.SetMembers(now, bro.roster.members)
	bro.forgetUnreached()
	bro.changeSpending(now)
	bro.elect()
	bro.tellLeader()
}

// candidates returns the hosts to keep sessions with, in order: the first that are not known to
// be unreachable, those before them in case they have returned, and the known leaders.
// Unreachable hosts don't count because their entries remain until their leases expire; a host
// that waited for this would use its own scheduler for as long.
func (bro *desk) candidates() []fleet.Member {
	var found []fleet.Member
	reachable := 0
	leaders := bro.leaders()
	for _, mem := range bro.roster.candidates {
		within := reachable < coordinators && len(found) < maxCandidates
		if !within && !slices.Contains(leaders, mem.Epoch) {
			continue
		}
		found = append(found, mem)
		if !bro.unreached[mem.Epoch] {
			reachable++
		}
	}
	return found
}

// forgetUnreached drops the records of hosts that are no longer registered.
func (bro *desk) forgetUnreached() {
	maps.DeleteFunc(bro.unreached, func(epo request.Epoch, _ bool) bool {
		return !slices.ContainsFunc(bro.roster.members, func(mem fleet.Member) bool { return mem.Epoch == epo })
	})
	maps.DeleteFunc(bro.restarted, func(name string, _ restart) bool {
		return !slices.ContainsFunc(bro.roster.members, func(mem fleet.Member) bool { return mem.Name == name })
	})
}

// noteRestart records the epoch that a host answered with if it differs from the one in its
// entry: the host has restarted and its old entry has not been replaced yet. After the loss of
// all hosts this finds their first coordinator before its new entry has been read. It reports
// whether the host has restarted.
func (bro *desk) noteRestart(mem fleet.Member, err error) bool {
	var other *peer.EpochError
	if !errors.As(err, &other) {
		return false
	}
	bro.mutex.Lock()
	for _, entry := range bro.listed.members {
		if entry.Name == mem.Name {
			bro.restarted[mem.Name] = restart{former: entry.Epoch, now: other.Got}
		}
	}
	bro.setRoster(bro.listed)
	bro.mutex.Unlock()
	bro.wake()
	bro.host.log.Info().Str("Member", mem.Name).Stringer("MemberEpoch", other.Got).Stringer("Former", mem.Epoch).Msg("host has restarted; using its new epoch")
	return true
}

// noteUnreached records that a session could not be opened, so that the next candidates are
// tried.
func (bro *desk) noteUnreached(mem fleet.Member, lasted time.Duration) {
	if lasted > dialTimeout+maxRedial {
		return
	}
	bro.mutex.Lock()
	bro.unreached[mem.Epoch] = true
	bro.mutex.Unlock()
	bro.wake()
}

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
	coordinatorSessions = 2
	// maxCandidates bounds how many hosts a gateway tries to keep sessions with, including
	// unreachable ones: all hosts of the largest failure domain of a fleet of six, which may be
	// lost at once, and two more.
	maxCandidates = 5
)

// membership is the set of hosts that share the engines.
type membership struct {
	// members are all hosts; candidates are those that may be the coordinator, in order of
	// preference.
	members    []fleet.Member
	candidates []fleet.Member
	// unregistered is set while this host's own entry is missing from the store: the others don't list it, so it
	// coordinates nobody.
	unregistered bool
}

// restart is a restart that was detected from a host's answer before its entry changed.
type restart struct {
	// entryEpoch is the epoch in the host's entry, currentEpoch the one that the host answered
	// with. Any later entry replaces the restart, whichever epoch is higher, since a clock may
	// have been set back.
	entryEpoch   request.Epoch
	currentEpoch request.Epoch
}

// applyRestarts returns the membership with the new epochs of hosts that have restarted since
// their entries were written.
func (mbs membership) applyRestarts(restarts map[string]restart) membership {
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
		if res, known := restarts[mem.Name]; known && res.entryEpoch == mem.Epoch {
			members[idx].Epoch = res.currentEpoch
		}
	}
	return members
}

// updateMembership applies a new membership and adjusts the sessions.
func (bro *broker) updateMembership(mbs membership) {
	bro.mutex.Lock()
	bro.applyMembership(mbs)
	bro.mutex.Unlock()
	bro.wakeSessions()
}

// applyMembership applies a new membership; the mutex must be held.
func (bro *broker) applyMembership(mbs membership) {
	now := bro.host.clock.Now()
	bro.registeredMembership, bro.membership = mbs, mbs.applyRestarts(bro.restarts)
	bro.presence.SetMembers(now, bro.membership.members)
	bro.origins.readers.SetRegistered(now, epochsOf(mbs.members))
	bro.updateSenders(now)
	bro.dropDeregistered()
	bro.elect()
	bro.publishLeader()
}

// epochsOf returns the epochs of hosts.
func epochsOf(members []fleet.Member) []request.Epoch {
	epochs := make([]request.Epoch, 0, len(members))
	for _, mem := range members {
		epochs = append(epochs, mem.Epoch)
	}
	return epochs
}

// candidates returns the hosts to keep sessions with, in order: the first that are not known to
// be unreachable, those before them in case they have returned, and the known leaders.
// Unreachable hosts don't count towards coordinatorSessions: their entries remain until their
// leases expire, and a host that waited for that would use its own scheduler until then.
func (bro *broker) candidates() []fleet.Member {
	var found []fleet.Member
	reachable := 0
	leaders := bro.knownLeaders()
	for _, mem := range bro.membership.candidates {
		within := reachable < coordinatorSessions && len(found) < maxCandidates
		if !within && !slices.Contains(leaders, mem.Epoch) {
			continue
		}
		found = append(found, mem)
		if !bro.unreachableCandidates[mem.Epoch] {
			reachable++
		}
	}
	return found
}

// dropDeregistered drops the records of hosts that are no longer registered.
func (bro *broker) dropDeregistered() {
	maps.DeleteFunc(bro.unreachableCandidates, func(epo request.Epoch, _ bool) bool {
		return !slices.ContainsFunc(bro.membership.members, func(mem fleet.Member) bool { return mem.Epoch == epo })
	})
	maps.DeleteFunc(bro.restarts, func(name string, _ restart) bool {
		return !slices.ContainsFunc(bro.membership.members, func(mem fleet.Member) bool { return mem.Name == name })
	})
}

// recordRestart records the epoch that a host answered with if it differs from the one in its
// entry: the host has restarted and its old entry has not been replaced yet. After the loss of
// all hosts, the first candidate can thus become the coordinator before its new entry has been
// read. recordRestart reports whether the host has restarted.
func (bro *broker) recordRestart(mem fleet.Member, err error) bool {
	var other *peer.EpochError
	if !errors.As(err, &other) {
		return false
	}
	bro.mutex.Lock()
	for _, entry := range bro.registeredMembership.members {
		if entry.Name == mem.Name {
			bro.restarts[mem.Name] = restart{entryEpoch: entry.Epoch, currentEpoch: other.Got}
		}
	}
	bro.applyMembership(bro.registeredMembership)
	bro.mutex.Unlock()
	bro.wakeSessions()
	bro.host.log.Info().Str("Member", mem.Name).Stringer("MemberEpoch", other.Got).Stringer("Former", mem.Epoch).Msg("host has restarted; using its new epoch")
	return true
}

// recordUnreachable records that a session with a host could not be opened, so that the next
// candidates are tried. A session that lasted longer than the opening may take was open, so that
// nothing is recorded.
func (bro *broker) recordUnreachable(mem fleet.Member, lasted time.Duration) {
	if lasted > dialTimeout+maxRedial {
		return
	}
	bro.mutex.Lock()
	bro.unreachableCandidates[mem.Epoch] = true
	bro.mutex.Unlock()
	bro.wakeSessions()
}

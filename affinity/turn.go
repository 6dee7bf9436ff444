package affinity

import "time"

const (
	// othersWait is the least time for which a host that isn't the coordinator leaves the record to the coordinator, which
	// may not reach the store.
	othersWait = 250 * time.Millisecond
	// unknowingWait is the least time for which a host that knows no record leaves a damaged one to the hosts that do. A
	// record of its own announces all versions, so that for OpenAfter no stream begins.
	unknowingWait = 3 * othersWait
)

// Turn is what decides when a host writes the store's record of versions.
type Turn struct {
	// Coordinates is set if the host is the coordinator.
	Coordinates bool
	// Knows is set if the host knows a record, of which the store may have lost a part.
	Knows bool
	// IsLost is set if the store's record can't be read, or is older than one that hosts know.
	IsLost bool
	// Lacks is set if the record that the host knows lacks a version.
	Lacks bool
}

// Wait returns the time for which the host leaves the record to other hosts, and whether it writes it at all if none does.
func (trn Turn) Wait() (time.Duration, bool) {
	switch {
	case trn.IsLost && !trn.Knows:
		return unknowingWait, true
	case trn.Coordinates:
		return 0, true
	default:
		return othersWait, trn.IsLost || trn.Lacks
	}
}

// MaxDelay is how much later than after its wait a host writes at most, so that hosts seldom write at once.
const MaxDelay = othersWait

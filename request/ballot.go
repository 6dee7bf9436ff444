package request

import "fmt"

// Ballot orders the gateways that claim one request. The gateway that the id
// names holds the zero ballot; one that fences the request takes a higher one.
type Ballot struct {
	// Round counts how often the request has been fenced.
	Round uint32
	// Holder is the gateway epoch that claims the request; it breaks ties.
	Holder Epoch
}

// Less reports whether the ballot comes before other.
func (bal Ballot) Less(other Ballot) bool {
	if bal.Round != other.Round {
		return bal.Round < other.Round
	}
	return bal.Round > 0 && bal.Holder < other.Holder
}

// Same reports whether the two ballots stand for the same claim.
func (bal Ballot) Same(other Ballot) bool {
	return bal.Round == other.Round && bal.Holder == other.Holder
}

// String returns the round and the holder.
func (bal Ballot) String() string {
	return fmt.Sprintf("%d/%s", bal.Round, bal.Holder)
}

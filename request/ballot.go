package request

import "fmt"

// Ballot orders the claims of gateways to one request. The gateway that the id names has a
// ballot of round 0; a gateway that fences the request uses a higher ballot.
type Ballot struct {
	// Round is the number of times that the request has been fenced.
	Round uint32
	// Holder is the gateway epoch that claims the request; it breaks ties.
	Holder Epoch
}

// Less reports whether the ballot is lower than other. Among ballots of round 0, none is lower.
func (bal Ballot) Less(other Ballot) bool {
	if bal.Round != other.Round {
		return bal.Round < other.Round
	}
	return bal.Round > 0 && bal.Holder < other.Holder
}

// Same reports whether both ballots are for the same claim.
func (bal Ballot) Same(other Ballot) bool {
	return bal.Round == other.Round && bal.Holder == other.Holder
}

// String returns the round and the holder.
func (bal Ballot) String() string {
	return fmt.Sprintf("%d/%s", bal.Round, bal.Holder)
}

package reservation

import "lynxwell.dev/lynxwell/request"

// Fence asks whether a request was granted, and if not, never to grant it
// under a lower ballot.
type Fence struct {
	ID     request.ID
	Ballot request.Ballot
}

// Standing is what a ledger knows of a request.
type Standing uint8

// The standings of a request in a ledger.
const (
	// StandingPromised says that it wasn't granted and won't be under a lower ballot.
	StandingPromised Standing = iota + 1
	// StandingGranted says that a slot of an engine was granted for it.
	StandingGranted
	// StandingClosed says that it never ran and never will.
	StandingClosed
	// StandingOutbid says that a higher ballot holds it.
	StandingOutbid
	// StandingForgotten says that it is older than the ledger's memory.
	StandingForgotten
	// StandingBystander says that the host may not grant it and knows of no grant.
	StandingBystander
)

// String returns the standing's name.
func (sta Standing) String() string {
	names := [...]string{"None", "Promised", "Granted", "Closed", "Outbid", "Forgotten", "Bystander"}
	if int(sta) >= len(names) {
		return "Invalid"
	}
	return names[sta]
}

// FenceAnswer is a ledger's answer to Fence.
type FenceAnswer struct {
	ID       request.ID
	From     request.Epoch
	Standing Standing
	// Ballot is the ballot under which it was granted, or the higher one.
	Ballot request.Ballot
	// Engine is the engine of a grant.
	Engine string
	// Holders are the gateways that the ledger has seen claim the request.
	Holders []request.Epoch
	// Vouches are the lost coordinator epochs that the host answers for.
	Vouches []VouchKey
	// Successions are the stopped coordinator epochs whose whole ledger the
	// host has taken over.
	Successions []request.Epoch
}

// VouchKey names what a vouch is about: everything that the lost coordinator
// epoch granted to the holder.
type VouchKey struct {
	Lost   request.Epoch
	Holder request.Epoch
}

// Record is what a ledger holds of one request.
type Record struct {
	ID     request.ID
	Ballot request.Ballot
	// Standing is StandingPromised, StandingGranted, StandingClosed or, where
	// the gateway doesn't know whether it was closed, StandingForgotten.
	Standing Standing
	Engine   string
}

// Vouch tells a coordinator everything that a lost coordinator epoch granted
// the gateway or closed for it. From then on the gateway takes no grant of that epoch.
type Vouch struct {
	VouchKey
	// Sequence orders the vouches and unvouches of one key.
	Sequence uint64
	Records  []Record
}

// Unvouch takes a vouch back, so that the gateway may take grants of the
// coordinator epoch again.
type Unvouch struct {
	VouchKey
	Sequence uint64
}

// UnvouchAnswer answers Unvouch.
type UnvouchAnswer struct {
	VouchKey
	// Released is false when a request of the holder was fenced on the strength
	// of the vouch; then the coordinator epoch stays refused for good.
	Released bool
}

// Handover gives the whole ledger of a stopping coordinator to another one.
type Handover struct {
	// Stopped are the epochs that the ledger speaks for: the stopping one and
	// those that it had taken over itself.
	Stopped []request.Epoch
	Records []Record
	// Floors are the windows up to which ids of a gateway are forgotten.
	Floors map[request.Epoch]uint64
}

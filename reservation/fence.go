package reservation

import "lynxwell.dev/lynxwell/request"

// Fence asks a host whether its ledger contains a grant of the request and, if not, for a promise
// never to grant the request under a lower ballot.
type Fence struct {
	ID     request.ID
	Ballot request.Ballot
}

// FenceState is the state of a request in a ledger.
type FenceState uint8

// The states of a request in a ledger.
const (
	// FenceStatePromised means that the request wasn't granted and won't be under a lower
	// ballot.
	FenceStatePromised FenceState = iota + 1
	// FenceStateGranted means that a slot of an engine was granted for the request.
	FenceStateGranted
	// FenceStateClosed means that the request never ran and never will.
	FenceStateClosed
	// FenceStateSuperseded means that a higher ballot holds the request.
	FenceStateSuperseded
	// FenceStateForgotten means that the state of the request can't be determined from the ledger,
	// for example because the request is older than the ledger's records.
	FenceStateForgotten
	// FenceStateNotGranter means that the host may not grant the request and knows of no grant.
	FenceStateNotGranter
)

// String returns the name of the state.
func (sta FenceState) String() string {
	names := [...]string{"None", "Promised", "Granted", "Closed", "Outbid", "Forgotten", "Bystander"}
	if int(sta) >= len(names) {
		return "Invalid"
	}
	return names[sta]
}

// FenceAnswer is a ledger's answer to a Fence.
type FenceAnswer struct {
	ID    request.ID
	From  request.Epoch
	State FenceState
	// Ballot is the ballot under which the request was granted, or the higher ballot that
	// holds it.
	Ballot request.Ballot
	// Engine is the engine of a grant.
	Engine string
	// Holders are the gateways that have claimed the request at this ledger.
	Holders []request.Epoch
	// Attestations identify the attestations that the host holds for lost coordinator epochs.
	Attestations []AttestationKey
	// Successions are the stopped coordinator epochs whose complete ledgers the host has
	// taken over.
	Successions []request.Epoch
}

// AttestationKey identifies the subject of an attestation: all grants of the lost coordinator
// epoch to the holder, which is a gateway epoch.
type AttestationKey struct {
	Lost   request.Epoch
	Holder request.Epoch
}

// Record is a ledger's entry for one request.
type Record struct {
	ID     request.ID
	Ballot request.Ballot
	// State is FenceStatePromised, FenceStateGranted, FenceStateClosed or, if the gateway
	// doesn't know whether the request was closed, FenceStateForgotten.
	State  FenceState
	Engine string
}

// Attestation reports to a coordinator all requests that a lost coordinator epoch granted to
// the gateway or closed for it. Afterwards the gateway accepts no grant of that epoch.
type Attestation struct {
	AttestationKey
	// Sequence orders the attestations and revocations of one key.
	Sequence uint64
	Records  []Record
}

// Revocation revokes an attestation, so that the gateway may accept grants of the coordinator
// epoch again.
type Revocation struct {
	AttestationKey
	Sequence uint64
}

// RevocationAnswer is a coordinator's answer to Revocation.
type RevocationAnswer struct {
	AttestationKey
	// Revoked is false if a fence has relied on the attestation; the gateway then rejects the
	// grants of the coordinator epoch permanently.
	Revoked bool
}

// Handover passes the complete ledger of a stopping coordinator to another one.
type Handover struct {
	// Stopped are the epochs that the ledger covers: the stopping coordinator's own, and those
	// whose ledgers it had taken over.
	Stopped []request.Epoch
	Records []Record
	// Floors holds, by gateway epoch, the window up to which the ledger has discarded ids.
	Floors map[request.Epoch]uint64
}

package gateway

import (
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/view"
)

// Action is an effect that the host must carry out.
type Action interface {
	isAction()
}

// Attach subscribes a client to the answer of a request: the part received so
// far and everything that follows.
type Attach struct {
	Client ClientID
	ID     request.ID
}

// Answer sends one client a final answer that isn't stored for the client's retries.
type Answer struct {
	Client ClientID
	Final  Final
}

// Relay forwards a client's request to the gateway that owns its id.
type Relay struct {
	Arrived
	To view.Member
}

// Finish ends a request without a complete answer: Final is sent to every attached
// client.
type Finish struct {
	ID    request.ID
	Final Final
	// Granters are the granters' answers to the fence of an undecided request;
	// empty if no fence was sent.
	Granters []GranterAnswer
}

// GranterAnswer is one granter's answer to a fence, for the log.
type GranterAnswer struct {
	Granter view.Member
	// State is 0 if the granter didn't answer.
	State reservation.FenceState
	// Stopped is set if the granter has handed its complete ledger over to another host.
	Stopped bool
}

// Dispatch sends the request to the engine. Each grant is dispatched at most once.
type Dispatch struct {
	ID     request.ID
	Engine string
}

// Resume reads the answer of a request that another gateway dispatched to the engine.
type Resume struct {
	ID     request.ID
	Engine string
}

// Cancel stops a running request at its engine.
type Cancel struct {
	ID request.ID
}

// Forget drops the stored state of a request.
type Forget struct {
	ID request.ID
}

// Send sends a message to a coordinator.
type Send struct {
	To      request.Epoch
	Message reservation.Message
}

// SendFence sends a fence to a host. FenceAnswered or FenceFailed follows.
type SendFence struct {
	To    view.Member
	Fence reservation.Fence
}

// SendAttestation sends a coordinator an attestation: the requests that a lost
// coordinator had granted to this gateway or closed for it.
type SendAttestation struct {
	To          view.Member
	Attestation reservation.Attestation
}

// SendRevocation asks a coordinator to revoke an attestation. RevocationAnswered follows.
type SendRevocation struct {
	To         view.Member
	Revocation reservation.Revocation
}

func (Attach) isAction()          {}
func (Answer) isAction()          {}
func (Relay) isAction()           {}
func (Finish) isAction()          {}
func (Dispatch) isAction()        {}
func (Resume) isAction()          {}
func (Cancel) isAction()          {}
func (Forget) isAction()          {}
func (Send) isAction()            {}
func (SendFence) isAction()       {}
func (SendAttestation) isAction() {}
func (SendRevocation) isAction()  {}

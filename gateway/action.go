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
	Caller CallerID
	ID     request.ID
}

// Answer sends one client a final answer that isn't stored for repeats.
type Answer struct {
	Caller CallerID
	Final  Final
}

// Relay forwards a client's request to the gateway that owns its id.
type Relay struct {
	Arrived
	To view.Member
}

// Finish ends a request without a complete answer: every attached client gets
// the final answer.
type Finish struct {
	ID    request.ID
	Final Final
	// Granters are the granters' answers to the fence of an undecided request;
	// empty if no fence was sent.
	Granters []GranterWord
}

// GranterWord is one granter's answer to a fence, for the log.
type GranterWord struct {
	Granter view.Member
	// Standing is 0 if the granter didn't answer.
	Standing reservation.Standing
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

// AskFence sends a fence to a host. FenceAnswered or FenceFailed follows.
type AskFence struct {
	To    view.Member
	Fence reservation.Fence
}

// SendVouch sends a coordinator an attestation of what a lost coordinator had
// granted and closed.
type SendVouch struct {
	To    view.Member
	Vouch reservation.Vouch
}

// SendUnvouch revokes an attestation. Unvouched follows.
type SendUnvouch struct {
	To      view.Member
	Unvouch reservation.Unvouch
}

func (Attach) isAction()      {}
func (Answer) isAction()      {}
func (Relay) isAction()       {}
func (Finish) isAction()      {}
func (Dispatch) isAction()    {}
func (Resume) isAction()      {}
func (Cancel) isAction()      {}
func (Forget) isAction()      {}
func (Send) isAction()        {}
func (AskFence) isAction()    {}
func (SendVouch) isAction()   {}
func (SendUnvouch) isAction() {}

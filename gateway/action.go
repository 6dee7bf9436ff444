package gateway

import (
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/view"
)

// Action is something that the gateway wants done.
type Action interface {
	isAction()
}

// Attach gives a caller what there is and what is still to come of a request.
type Attach struct {
	Caller CallerID
	ID     request.ID
}

// Answer gives one caller a final answer that isn't kept.
type Answer struct {
	Caller CallerID
	Final  Final
}

// Relay passes a caller's request on to the gateway that decides it.
type Relay struct {
	Arrived
	To view.Member
}

// Finish ends a request without a whole answer: every attached caller gets the
// final answer.
type Finish struct {
	ID    request.ID
	Final Final
	// Granters are what the granters of a request said that couldn't be decided,
	// empty where none was asked.
	Granters []GranterWord
}

// GranterWord is what one granter said of a request; it is for the log.
type GranterWord struct {
	Granter view.Member
	// Standing is 0 where the granter didn't answer.
	Standing reservation.Standing
	// Stopped is set where another host holds the granter's whole ledger.
	Stopped bool
}

// Dispatch sends the request to the engine; it is told once a request.
type Dispatch struct {
	ID     request.ID
	Engine string
}

// Resume reads the answer of a request that another gateway dispatched.
type Resume struct {
	ID     request.ID
	Engine string
}

// Cancel stops a running request at its engine.
type Cancel struct {
	ID request.ID
}

// Forget drops what is kept of a request.
type Forget struct {
	ID request.ID
}

// Send sends a message to a coordinator.
type Send struct {
	To      request.Epoch
	Message reservation.Message
}

// AskFence asks a host about a request; FenceAnswered or FenceFailed follows.
type AskFence struct {
	To    view.Member
	Fence reservation.Fence
}

// SendVouch tells a coordinator what a lost one had granted.
type SendVouch struct {
	To    view.Member
	Vouch reservation.Vouch
}

// SendUnvouch takes a vouch back; Unvouched follows.
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

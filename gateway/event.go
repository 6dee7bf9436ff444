package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// CallerID numbers one connection of a caller to this process.
type CallerID uint64

// Spec is what the gateway must know of a request to have it scheduled.
type Spec struct {
	Service string
	Tier    string
	Rank    int
	Account string
	Weight  float64
	// PromptTokens and MaxTokens are estimates of the work.
	PromptTokens int
	MaxTokens    int
	// PrefixHash names the shared part of the prompt, PrefixTokens long; 0 is none.
	PrefixHash   uint64
	PrefixTokens int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Fingerprint tells requests under one id apart.
	Fingerprint uint64
}

// Event is something that happened to the gateway.
type Event interface {
	isEvent()
}

// Arrived brings a caller's request. It always leads to exactly one of Attach,
// Answer and Relay for the caller.
type Arrived struct {
	Caller CallerID
	ID     request.ID
	Spec   Spec
	// Relayed is set when another gateway passed the request on; it isn't
	// passed on again.
	Relayed bool
}

// CallerLeft says that an attached caller's connection is gone.
type CallerLeft struct {
	ID request.ID
}

// RelayFailed says that nothing of an answer came from the other gateway.
type RelayFailed struct {
	Arrived
	To request.Epoch
}

// PeerUp says that a session with a coordinator epoch stands.
type PeerUp struct{ Peer request.Epoch }

// PeerLost says that the session with a coordinator epoch is lost.
type PeerLost struct{ Peer request.Epoch }

// PeerUnreachable says that no session with a coordinator epoch came to stand.
type PeerUnreachable struct{ Peer request.Epoch }

// Received brings a coordinator's message.
type Received struct {
	From    request.Epoch
	Message reservation.Message
	Load    reservation.Load
}

// FenceAnswered brings the answer to AskFence.
type FenceAnswered struct {
	Ballot request.Ballot
	Answer reservation.FenceAnswer
}

// FenceFailed says that a host couldn't be asked.
type FenceFailed struct {
	ID     request.ID
	Ballot request.Ballot
	Peer   request.Epoch
}

// Unvouched brings the answer to SendUnvouch; Failed says that there was none.
type Unvouched struct {
	Voucher request.Epoch
	Answer  reservation.UnvouchAnswer
	Failed  bool
}

// EngineDone says how the dispatch or the resumption of a request ended.
type EngineDone struct {
	ID request.ID
	Result
}

// Result is how an engine ended a request.
type Result struct {
	// Dispatched is false when the engine certainly never got the request.
	Dispatched bool
	// Answered is set once the engine has answered at all.
	Answered bool
	// Whole is set when the whole answer came.
	Whole bool
	// NotKnown is set when the engine to resume from knows no such request.
	NotKnown bool
	// PrefillTokens, DecodeTokens, FirstToken and Total measure the run.
	PrefillTokens int
	DecodeTokens  int
	FirstToken    time.Duration
	Total         time.Duration
}

// ViewChanged brings a newer membership view.
type ViewChanged struct{ View view.View }

// ConfigurationChanged brings a newer configuration.
type ConfigurationChanged struct{ Configuration resource.Configuration }

// Drain says that the host stops: it takes no new request.
type Drain struct{}

// Tick lets time pass.
type Tick struct{}

func (Arrived) isEvent()              {}
func (CallerLeft) isEvent()           {}
func (RelayFailed) isEvent()          {}
func (PeerUp) isEvent()               {}
func (PeerLost) isEvent()             {}
func (PeerUnreachable) isEvent()      {}
func (Received) isEvent()             {}
func (FenceAnswered) isEvent()        {}
func (FenceFailed) isEvent()          {}
func (Unvouched) isEvent()            {}
func (EngineDone) isEvent()           {}
func (ViewChanged) isEvent()          {}
func (ConfigurationChanged) isEvent() {}
func (Drain) isEvent()                {}
func (Tick) isEvent()                 {}

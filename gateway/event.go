package gateway

import (
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// ClientID identifies one client connection of this process.
type ClientID uint64

// Spec holds the properties of a request that scheduling depends on.
type Spec struct {
	Service string
	Tier    string
	Rank    int
	Account string
	Weight  float64
	// PromptTokens and MaxTokens are estimates of the prompt's and the answer's length.
	PromptTokens int
	MaxTokens    int
	// PrefixHash identifies the shared prefix of the prompt, which is PrefixTokens
	// long; 0 means none.
	PrefixHash   uint64
	PrefixTokens int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Fingerprint distinguishes different requests under the same id.
	Fingerprint uint64
}

// Event is an input to Handle.
type Event interface {
	isEvent()
}

// Arrived reports a client's request. It results in exactly one of Attach, Answer
// and Relay for the client.
type Arrived struct {
	Client ClientID
	ID     request.ID
	Spec   Spec
	// Relayed is set if another gateway relayed the request. It isn't relayed again.
	Relayed bool
}

// ClientLeft reports that an attached client has disconnected.
type ClientLeft struct {
	ID request.ID
}

// RelayFailed reports that the gateway to which a request was relayed sent no part of an
// answer.
type RelayFailed struct {
	Arrived
	To request.Epoch
}

// PeerUp reports that a session with a coordinator epoch is established.
type PeerUp struct{ Peer request.Epoch }

// PeerLost reports that the session with a coordinator epoch is lost.
type PeerLost struct{ Peer request.Epoch }

// PeerUnreachable reports that no session with a coordinator epoch could be
// established.
type PeerUnreachable struct{ Peer request.Epoch }

// Received delivers a coordinator's message. Load.Service is empty if the message
// carries no load report.
type Received struct {
	From    request.Epoch
	Message reservation.Message
	Load    reservation.Load
}

// FenceAnswered delivers the answer to SendFence.
type FenceAnswered struct {
	Ballot request.Ballot
	Answer reservation.FenceAnswer
}

// FenceFailed reports that a host didn't answer SendFence.
type FenceFailed struct {
	ID     request.ID
	Ballot request.Ballot
	Peer   request.Epoch
}

// RevocationAnswered delivers the answer to SendRevocation; Failed is set if there was none.
type RevocationAnswered struct {
	Attester request.Epoch
	Answer   reservation.RevocationAnswer
	Failed   bool
}

// EngineDone reports the result of a dispatch or a resumption.
type EngineDone struct {
	ID request.ID
	Result
}

// Result is the result of a request at an engine.
type Result struct {
	// Dispatched is false if the engine certainly never received the request.
	Dispatched bool
	// Answered is set if the engine sent any part of an answer.
	Answered bool
	// Complete is set if the complete answer arrived.
	Complete bool
	// NotFound is set if the engine to resume from has no such request.
	NotFound bool
	// PrefillTokens and DecodeTokens count the processed tokens; FirstToken and Total
	// are the times from the dispatch to the first token and to the end.
	PrefillTokens int
	DecodeTokens  int
	FirstToken    time.Duration
	Total         time.Duration
}

// ViewChanged delivers a membership view. A view older than the current one only
// extends the history.
type ViewChanged struct{ View view.View }

// ConfigurationChanged delivers a newer configuration.
type ConfigurationChanged struct{ Configuration resource.Configuration }

// Drain reports that the host is stopping: it accepts no new requests.
type Drain struct{}

// Tick triggers timeouts and retries.
type Tick struct{}

func (Arrived) isEvent()              {}
func (ClientLeft) isEvent()           {}
func (RelayFailed) isEvent()          {}
func (PeerUp) isEvent()               {}
func (PeerLost) isEvent()             {}
func (PeerUnreachable) isEvent()      {}
func (Received) isEvent()             {}
func (FenceAnswered) isEvent()        {}
func (FenceFailed) isEvent()          {}
func (RevocationAnswered) isEvent()   {}
func (EngineDone) isEvent()           {}
func (ViewChanged) isEvent()          {}
func (ConfigurationChanged) isEvent() {}
func (Drain) isEvent()                {}
func (Tick) isEvent()                 {}

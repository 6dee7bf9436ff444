// Package reservation holds the messages between a gateway and a coordinator.
//
// # Usage
//
// A gateway sends Reserve, Withdraw, Release, Adopt and Hold; a coordinator
// answers with Grant and Refuse. Fence, Vouch, Unvouch and Handover are
// questions with an answer of their own type:
//
//	switch msg := msg.(type) {
//	case reservation.Reserve:
//	case reservation.Withdraw:
//	...
//	}
//
// The messages carry metadata only, never a request's body.
package reservation

import (
	"time"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
)

// Message is one of the messages that travel on a session between two hosts.
type Message interface {
	// isMessage keeps the set of messages closed.
	isMessage()
}

// Reserve asks a coordinator for a slot of an engine of the service.
type Reserve struct {
	ID      request.ID
	Ballot  request.Ballot
	Service string
	// Tier is the tier's name; Rank is its rank, the highest served first.
	Tier string
	Rank int
	// Account is the client account's name; Weight is its share against others.
	Account string
	Weight  float64
	// PromptTokens and MaxTokens are estimates of the work.
	PromptTokens int
	MaxTokens    int
	// PrefixHash names the shared part of the prompt; 0 is none.
	PrefixHash uint64
	// PrefixTokens is the length of the shared part.
	PrefixTokens int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Overflow asks to be kept beyond the line's bound, in exchange for a
	// reservation that another coordinator has dropped.
	Overflow bool
	// AnswerTokens is a guess at the answer's length; 0 for none.
	AnswerTokens int
	// Urgency orders requests of the same rank, and those of one client account
	// whose limit is nearly used up: 0 goes first.
	Urgency int
	// Domain is the gateway's failure domain.
	Domain string
	// Aim is within what time, from now on, the first of the answer is in time; for
	// a repeat, for how long its caller waits on.
	Aim time.Duration
	// Age is how long the caller had waited before, since its first try; 0 for that.
	Age time.Duration
	// Cost is what the request takes from the client account's limit.
	Cost float64
	// Route names the route; Repeatable says that it may run again after it may have run.
	Route      string
	Repeatable bool
	// Attempt counts the engines that the request was sent to before.
	Attempt int
	// Exclude names engines that failed the request before.
	Exclude []string
	// Parts make up the prompt, for the engines' caches.
	Parts []call.Part
	// Digest is the same for the same request under another id; zero for none.
	Digest call.Digest
	// Regions are those in which the request may be served; none for all.
	Regions []string
	// Again says that the request was granted before and not sent: it has its place in the
	// line, and in the budget of repeats, already.
	Again bool
}

// Subject returns the request as far as it matters whether it ends engines.
func (res Reserve) Subject() quarantine.Subject {
	return quarantine.Subject{Digest: res.Digest, Service: res.Service, Account: res.Account, Route: res.Route}
}

// Grant gives a gateway one slot of an engine for one request.
type Grant struct {
	ID     request.ID
	Ballot request.Ballot
	Engine string
	// Rate is what the coordinator knew of a rate that the engine has named.
	Rate GrantRate
	// Cold says that it knew the engine to be cold, and granted it within what it bears.
	Cold bool
}

// GrantRate is what a coordinator knew, when it granted an engine, of a rate that the engine
// has named.
type GrantRate uint8

// What a coordinator may know. It takes what a gateway tells it in order: it had heard all
// that the gateway told before it asked.
const (
	// GrantRateUnknown says that it has heard of none.
	GrantRateUnknown GrantRate = iota
	// GrantRatePaced says that the grant is within it.
	GrantRatePaced
	// GrantRateEnded says that an answer without one came after all that named one.
	GrantRateEnded
)

// Reason says why a coordinator doesn't keep a reservation.
type Reason uint8

// The reasons of a Refuse. After ReasonExpired and ReasonClosed the
// coordinator has recorded that the request never runs.
const (
	// ReasonFull says that the line is full of nothing lower; try another
	// coordinator.
	ReasonFull Reason = iota + 1
	// ReasonMoved says that the host coordinates no engine of the service.
	ReasonMoved
	// ReasonExpired says that the deadline can't be met any more.
	ReasonExpired
	// ReasonClosed says that the request was closed on the gateway's wish.
	ReasonClosed
	// ReasonFenced says that another gateway holds the request.
	ReasonFenced
	// ReasonForgotten says that the id is older than the coordinator's memory.
	ReasonForgotten
	// ReasonNotGranter says that the host may not grant the request.
	ReasonNotGranter
	// ReasonOverload says that no engine has room in time.
	ReasonOverload
	// ReasonLimit says that the client account's limit is used up.
	ReasonLimit
	// ReasonBudget says that the service's budget of repeats is used up.
	ReasonBudget
	// ReasonNoEngine says that no engine of the service is left to try.
	ReasonNoEngine
	// ReasonHeld says that the request ends the engines that run it.
	ReasonHeld
	// ReasonBackoff says that all engines that are left have asked for a pause, or leave.
	ReasonBackoff
	// ReasonRate says that all engines that are left have named the rate that they take, and
	// those before the request get all of it in its time.
	ReasonRate
	// ReasonRegion says that no engine of the service is in a region that is allowed.
	ReasonRegion
)

// String returns the reason's name.
func (rea Reason) String() string {
	names := [...]string{"None", "Full", "Moved", "Expired", "Closed", "Fenced", "Forgotten", "NotGranter", "Overload", "Limit", "Budget", "NoEngine", "Held", "Backoff", "Rate", "Region"}
	if int(rea) >= len(names) {
		return "Invalid"
	}
	return names[rea]
}

// Refuse ends a reservation without a slot.
type Refuse struct {
	ID     request.ID
	Ballot request.Ballot
	Reason Reason
	// Holder is the gateway epoch that holds a fenced request.
	Holder request.Epoch
	// RetryAfter is when a new try may find room.
	RetryAfter time.Duration
	// FloorRank is the lowest rank that is newly kept, with ReasonFull.
	FloorRank int
}

// Withdraw ends a waiting reservation. With Close, the coordinator records that
// the request never runs and answers with a Refuse.
type Withdraw struct {
	ID     request.ID
	Ballot request.Ballot
	Close  bool
}

// Release gives a slot back.
type Release struct {
	ID     request.ID
	Ballot request.Ballot
	Engine string
	// Dispatched is false when the engine certainly never got the request.
	Dispatched bool
	// Failed is set when the engine broke off or couldn't be reached.
	Failed bool
	// Rejected is set when the engine turned the request away.
	Rejected bool
	// BackedOff is set when the engine asked for a pause in place of an answer, or turned the
	// request away by the rate that it takes, which tells nothing of its health.
	BackedOff bool
	// Answered is set when the engine gave its whole answer, a failure of its own too.
	Answered bool
	// PrefillTokens, FirstToken, DecodeTokens and Total measure the run.
	PrefillTokens int
	DecodeTokens  int
	FirstToken    time.Duration
	Total         time.Duration
}

// Adopt tells an engine's new coordinator of a slot that a former one granted.
type Adopt struct {
	ID     request.ID
	Ballot request.Ballot
	Engine string
	// Service, Account and Cost are as in the reservation; Unread is set while
	// nothing of the answer has come, and PromptTokens is what is left to read.
	Service      string
	Account      string
	Cost         float64
	Unread       bool
	PromptTokens int
	// Route and Digest are as in the reservation.
	Route  string
	Digest call.Digest
}

// Subject returns the request as far as it matters whether it ends engines.
func (ado Adopt) Subject() quarantine.Subject {
	return quarantine.Subject{Digest: ado.Digest, Service: ado.Service, Account: ado.Account, Route: ado.Route}
}

// Progress says that the first of an answer has come.
type Progress struct {
	ID request.ID
	// FirstToken is the time from the dispatch on.
	FirstToken time.Duration
}

// Spent tells a coordinator that begins to decide for a gateway what the gateway's
// requests still owe a client account's limit, whoever decided: what they cost, less
// the gateway's equal part of the rate since. A gateway that learns of more hosts, or
// fewer, soon after its start tells again.
type Spent struct {
	Account string
	Debt    float64
	// Share is the gateway's equal part of what all hosts together may spend at once,
	// by the hosts that it knows; it doesn't change with time.
	Share float64
}

// Appoint tells a coordinator whether the gateway has it decide from now on. A
// gateway keeps sessions with hosts that don't, and says nothing for long while it has
// no requests, so neither a session nor its silence tells.
type Appoint struct {
	Decides bool
}

// Leader tells a gateway which host the sender knows to decide for more than half of
// all hosts; 0 where it knows of none.
type Leader struct {
	Host request.Epoch
}

// Absent tells a gateway which hosts the coordinator doesn't reach, all of them each
// time: callers aren't sent there, although their entries last for a while.
type Absent struct {
	Hosts []request.Epoch
}

// EngineEnded tells a coordinator that an engine ended while it ran a request of the
// gateway's. It goes before the request's Release.
type EngineEnded struct {
	ID request.ID
	quarantine.Observation
	// Uncertain says that the gateway saw the connection end and doesn't know whether the
	// engine did.
	Uncertain bool
}

// CaseReport tells what is known against a request that ends engines: a gateway its new
// coordinator, and a coordinator the gateways that it decides for.
type CaseReport struct {
	quarantine.Report
}

// Hold lists everything that the gateway holds from the coordinator; it opens
// a session. Grants that it doesn't list were never dispatched and never will be.
type Hold struct {
	IDs []request.ID
}

// Evict asks a coordinator that can't grant to the gateway to drop one
// reservation of a lower rank, so that another coordinator may keep a higher one.
type Evict struct {
	ID      request.ID
	Service string
	Rank    int
}

// Evicted answers Evict.
type Evicted struct {
	ID request.ID
	// Done is set when a lower reservation was dropped.
	Done bool
	// FloorRank is the lowest rank that is newly kept when none was dropped.
	FloorRank int
}

// Load is what a coordinator tells of one service, on its messages.
type Load struct {
	Service string
	// FreeSlots is how many requests could start at once.
	FreeSlots int
	// Waiting is how many reservations wait.
	Waiting int
	// Delay is how long a new reservation of middling size would wait; with free
	// slots, for prompts that the least busy engine still works on.
	Delay time.Duration
}

func (Reserve) isMessage()  {}
func (Grant) isMessage()    {}
func (Refuse) isMessage()   {}
func (Withdraw) isMessage() {}
func (Release) isMessage()  {}
func (Adopt) isMessage()    {}
func (Hold) isMessage()     {}
func (Evict) isMessage()    {}
func (Evicted) isMessage()  {}
func (Progress) isMessage() {}
func (Spent) isMessage()    {}
func (Appoint) isMessage()  {}
func (Absent) isMessage()   {}
func (Leader) isMessage()   {}

func (EngineEnded) isMessage() {}
func (CaseReport) isMessage()  {}

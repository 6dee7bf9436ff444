// Package reservation defines the messages between a gateway and a coordinator.
//
// # Usage
//
// A gateway sends Reserve, Withdraw, Release, Adopt, HeldGrants and Evict; a coordinator answers
// with Grant, Refuse and Evicted. The other messages report events and states of requests, accounts,
// engines and hosts. Fence, Attestation, Revocation and Handover are separate remote calls and not
// messages of a session. A receiver of messages switches on the type:
//
//	switch msg := msg.(type) {
//	case reservation.Reserve:
//	case reservation.Withdraw:
//	...
//	}
//
// Messages carry metadata only, never the body of a request.
package reservation

import (
	"time"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
)

// Message is a message of a session between two hosts.
type Message interface {
	// isMessage limits the implementations to this package.
	isMessage()
}

// Reserve requests a slot of an engine of the service from a coordinator.
type Reserve struct {
	ID request.ID
	// Ballot is repeated in the decision. A gateway on the platform uses another one for each submission.
	Ballot  request.Ballot
	Service string
	// Tier is the name of the tier. Rank orders the waiting reservations: package coordinator
	// serves the highest rank first, package scheduler the lowest.
	Tier string
	Rank int
	// Client identifies the client within its account; 0 for none.
	Client uint64
	// Account is the name of the client account, Weight its share relative to other accounts.
	Account string
	Weight  float64
	// PromptTokens and MaxTokens estimate the work: the length of the prompt and the maximum
	// length of the answer.
	PromptTokens int
	MaxTokens    int
	// PrefixHash identifies the shared prefix of the prompt; 0 for none.
	PrefixHash uint64
	// PrefixTokens is the length of the shared prefix.
	PrefixTokens int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Overflow asks for a position beyond the limit of the queue, in place of a reservation
	// that another coordinator has dropped.
	Overflow bool
	// AnswerTokens is an estimate of the answer's length; 0 for none.
	AnswerTokens int
	// Urgency orders requests of the same rank, and requests of one client account that is
	// close to its limit; 0 is served first.
	Urgency int
	// Domain is the gateway's failure domain.
	Domain string
	// LatencyTarget is the time from now within which the first part of the answer should
	// arrive; for a client's retry, how much longer the client waits.
	LatencyTarget time.Duration
	// WaitLimit is how long the request may still wait for an engine; 0 for the share of the latency
	// target that MaxWait returns.
	WaitLimit time.Duration
	// ClientWait is how long the client has already waited since its first attempt; 0 for the
	// first.
	ClientWait time.Duration
	// Cost is the number of units that the request counts against the client account's limit.
	Cost float64
	// Route is the name of the route. Repeatable means that the request may be sent to another
	// engine although it may already have run.
	Route      string
	Repeatable bool
	// Attempt is the number of engines that the request was sent to before.
	Attempt int
	// Exclude names the engines that have failed the request.
	Exclude []string
	// Parts are the parts of the prompt, which engines cache.
	Parts []call.Part
	// Digest is equal for the same request under different ids; zero for none.
	Digest call.Digest
	// Regions are those in which the request may be served; empty for all.
	Regions []string
	// Stream identifies the resumable stream that the request begins or resumes; 0 for none.
	Stream affinity.Stream
	// Resumed means that events of the stream have arrived before, so that the request may run only at
	// the software version that began it: Origin or, if that isn't known, the origin that the receiver
	// knows. StreamLife bounds how long ago the stream may have begun.
	Resumed    bool
	Origin     affinity.Origin
	StreamLife time.Duration
	// Requeued means that the request was granted before and not dispatched. The request keeps
	// its position in the queue, and isn't counted against the retry budget a second time.
	Requeued bool
}

// Subject returns the properties of the request by which quarantine tracks poison requests.
func (res Reserve) Subject() quarantine.Subject {
	return quarantine.Subject{Digest: res.Digest, Service: res.Service, Account: res.Account, Route: res.Route}
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last one.
func (res Reserve) SharedParts() []call.Part {
	return res.Parts[:max(0, len(res.Parts)-1)]
}

const (
	// maxWaitShare is the fraction of a request's latency target that it may wait for an engine: a
	// refusal within a quarter of the target leaves the client time to retry.
	maxWaitShare = 0.25
	// responseMargin is subtracted from that wait for the delivery of the refusal to the client.
	responseMargin = 15 * time.Millisecond
)

// IsLate reports whether the client of a first attempt has already waited for longer than its latency
// target. A resumed stream isn't late: its first event has arrived.
func (res Reserve) IsLate() bool {
	return res.Attempt == 0 && !res.Resumed && res.ClientWait > res.LatencyTarget
}

// MaxWait returns the maximum time that a request may wait for an engine.
func (res Reserve) MaxWait() time.Duration {
	wait := min(max(0, time.Duration(maxWaitShare*float64(res.LatencyTarget))-responseMargin), res.Remaining)
	if res.WaitLimit > 0 {
		wait = min(wait, res.WaitLimit)
	}
	return wait
}

// Grant allots one slot of an engine to a gateway for one request.
type Grant struct {
	ID     request.ID
	Ballot request.Ballot
	Engine string
	// Rate is what the coordinator knew of the engine's rate limit.
	Rate GrantRate
	// Waited is how long the request waited at the coordinator.
	Waited time.Duration
	// Work is how long the request is expected to occupy a slot.
	Work time.Duration
	// Version is the engine's software version if the request begins or resumes a resumable stream.
	Version string
	// Debt is what the request's client account owed to its limit at the coordinator after the grant; 0 for nothing.
	Debt float64
	// Cold means that the coordinator knew that the engine was cold, and that the grant is
	// within the rate that a cold engine can serve.
	Cold bool
}

// GrantRate is what a coordinator knew of an engine's rate limit when it granted the engine.
type GrantRate uint8

// The values of GrantRate. A coordinator handles the messages of a gateway in order: at the
// time of a grant it has applied all notices that the gateway sent before its Reserve.
const (
	// GrantRateUnknown means that the coordinator knew of no rate limit.
	GrantRateUnknown GrantRate = iota
	// GrantRateLimited means that the grant is within the rate limit.
	GrantRateLimited
	// GrantRateUnlimited means that the engine's rate limit has ended: a response without a
	// rate limit was sent after all responses with one.
	GrantRateUnlimited
)

// Reason is why a coordinator refuses a reservation.
type Reason uint8

// The reasons of a Refuse. With ReasonExpired and ReasonClosed, the coordinator has recorded
// that the request never runs.
const (
	// ReasonFull means that the queue is full and holds no reservation of a lower rank; another
	// coordinator may have room.
	ReasonFull Reason = iota + 1
	// ReasonMoved means that the host coordinates no engine of the service, or is draining.
	ReasonMoved
	// ReasonExpired means that the deadline can no longer be met.
	ReasonExpired
	// ReasonClosed means that the gateway has had the request closed.
	ReasonClosed
	// ReasonFenced means that another gateway holds the request.
	ReasonFenced
	// ReasonForgotten means that the id is older than the coordinator's records, or that the
	// coordinator doesn't know whether the request was closed.
	ReasonForgotten
	// ReasonNotGranter means that the host may not grant requests to the gateway, doesn't have the
	// view that the id names, or has handed over its ledger.
	ReasonNotGranter
	// ReasonOverload means that no engine has a free slot in time, or that the request's traffic
	// source is paused for longer than the request may wait.
	ReasonOverload
	// ReasonLimit means that the client account has exhausted its limit.
	ReasonLimit
	// ReasonBudget means that the service's retry budget is exhausted.
	ReasonBudget
	// ReasonNoEngine means that no engine of the service remains to be tried.
	ReasonNoEngine
	// ReasonHeld means that the request is quarantined as a poison request, which crashes the
	// engines that run it.
	ReasonHeld
	// ReasonBackoff means that all remaining engines have requested a backoff or are draining.
	ReasonBackoff
	// ReasonRate means that all remaining engines have sent a rate limit, and requests ahead of
	// this one use it up before its deadline.
	ReasonRate
	// ReasonRegion means that no engine of the service that accepts requests is in an allowed
	// region.
	ReasonRegion
	// ReasonVersion means that the software version that began the stream doesn't serve any more, or
	// isn't known while several do.
	ReasonVersion
	// ReasonPartHeld means that a part of the prompt is quarantined, since it crashes the engines that begin to
	// write an answer on it.
	ReasonPartHeld
	// ReasonNoShare means that the host has no share of the client account's limit at the moment, so that it
	// can't know whether the request is within the limit.
	ReasonNoShare
)

// String returns the name of the reason.
func (rea Reason) String() string {
	names := [...]string{"None", "Full", "Moved", "Expired", "Closed", "Fenced", "Forgotten", "NotGranter", "Overload", "Limit", "Budget", "NoEngine", "Held", "Backoff", "Rate", "Region", "Version", "PartHeld", "NoShare"}
	if int(rea) >= len(names) {
		return "Invalid"
	}
	return names[rea]
}

// Refuse ends a reservation without a grant.
type Refuse struct {
	ID     request.ID
	Ballot request.Ballot
	Reason Reason
	// Holder is the gateway epoch that holds a fenced request.
	Holder request.Epoch
	// RetryAfter is the time after which a new attempt may succeed.
	RetryAfter time.Duration
	// FloorRank is, with ReasonFull, the lowest rank that the queue still accepts.
	FloorRank int
	// Waited is how long the request waited at the coordinator.
	Waited time.Duration
	// ValidFor is how long the coordinator would refuse requests like this one: those of the same
	// account or, if AnyAccount is set, of every account, that are neither more urgent nor smaller.
	ValidFor   time.Duration
	AnyAccount bool
}

// Withdraw cancels a waiting reservation. With Close, the coordinator records that the request
// never runs, and answers with a Refuse.
type Withdraw struct {
	ID     request.ID
	Ballot request.Ballot
	Close  bool
}

// Release releases a slot and reports how the attempt on the engine went.
type Release struct {
	ID     request.ID
	Ballot request.Ballot
	Engine string
	// Dispatched is false if the engine certainly never received the request.
	Dispatched bool
	// Failed is set if the engine couldn't be reached, aborted its answer, or sent an invalid answer
	// or one with a status of 500 or above.
	Failed bool
	// Rejected is set if the engine rejected the request.
	Rejected bool
	// Throttled is set if the engine requested a backoff instead of answering, or rejected the
	// request because of its rate limit. Neither is a sign of the engine's health.
	Throttled bool
	// Answered is set if the engine's answer is complete, even if it is an error, and Throttled
	// isn't set.
	Answered bool
	// PrefillTokens, DecodeTokens, FirstToken and Total are measurements of the run: the tokens
	// processed in each phase, and the times to the first token and to the end.
	PrefillTokens int
	DecodeTokens  int
	FirstToken    time.Duration
	Total         time.Duration
}

// Adopt reports to an engine's new coordinator a slot that a previous coordinator granted.
type Adopt struct {
	ID     request.ID
	Ballot request.Ballot
	Engine string
	// Service, Account and Cost are as in the Reserve. PendingPrefill is set until the first
	// part of the answer arrives; PromptTokens is the number of prompt tokens left to process.
	Service        string
	Account        string
	Cost           float64
	PendingPrefill bool
	PromptTokens   int
	// Route, Digest, Rank, Urgency and Client are as in the Reserve, Work as in the Grant.
	Route   string
	Digest  call.Digest
	Rank    int
	Urgency int
	Client  uint64
	Work    time.Duration
	// Parts are the shared parts of the prompt, Stream and StreamLife as in the Reserve.
	Parts      []call.Part
	Stream     affinity.Stream
	StreamLife time.Duration
}

// Subject returns the properties of the request by which quarantine tracks poison requests.
func (ado Adopt) Subject() quarantine.Subject {
	return quarantine.Subject{Digest: ado.Digest, Service: ado.Service, Account: ado.Account, Route: ado.Route}
}

// Progress reports that the first part of an answer has arrived.
type Progress struct {
	ID request.ID
	// FirstToken is the time from the dispatch to the first token.
	FirstToken time.Duration
}

// StreamsBegan reports streams whose first event has arrived, with the software version that began them. A
// coordinator, which knows them by Progress, passes them on to the hosts that keep them too, so that they outlast
// the loss of some. A gateway reports those that it scheduled itself.
type StreamsBegan struct {
	affinity.Batch
}

// VersionsKnown reports the number of the newest record of versions that a gateway has, to the coordinator and its next
// candidates. The gateway concludes from no earlier one any more.
type VersionsKnown struct {
	Number uint64
}

// ShareRequest asks a gateway to lend its share of the limits to the coordinator, or to renew that loan. The
// loan ends Term after the time that Stamp names, which only the coordinator interprets.
type ShareRequest struct {
	Stamp time.Duration
	Term  time.Duration
}

// ShareLoan answers a ShareRequest, whose Stamp and Term it repeats.
type ShareLoan struct {
	Stamp time.Duration
	Term  time.Duration
	limitshare.Loan
}

// ShareReturned reports to a gateway that its former coordinator no longer spends the gateway's share of the
// limits, and what client accounts have left of it.
type ShareReturned struct {
	// Generation is that of the loan.
	Generation uint64
	Content    limitshare.Content
}

// Delegation notifies a coordinator whether the gateway delegates scheduling to it from now on. A
// gateway also has sessions with hosts to which it doesn't delegate, and may be silent for long
// while it has no requests, so neither a session nor silence shows this.
type Delegation struct {
	Delegated bool
}

// Leader notifies a gateway of the host that, to the sender's knowledge, schedules for more than
// half of all hosts; 0 if the sender knows of none.
type Leader struct {
	Host request.Epoch
	// Deposed is the host that the sender has replaced because it decided too slowly; 0 for none.
	Deposed request.Epoch
}

// CoordinatorSlow reports to a candidate whether the gateway's coordinator decides so late that the
// gateway has to schedule by itself.
type CoordinatorSlow struct {
	Host request.Epoch
	Slow bool
}

// Resignation asks the next candidate to replace the sender as the coordinator.
type Resignation struct{}

// UnreachableHosts sends a gateway the complete list of hosts that the coordinator can't reach.
// Clients aren't directed to them, although their entries in the store haven't expired yet.
type UnreachableHosts struct {
	Hosts []request.Epoch
}

// EngineCrashed reports to a coordinator that an engine crashed while it ran a request of the
// gateway. It is sent before the Release of the request.
type EngineCrashed struct {
	ID request.ID
	quarantine.Observation
	// Unconfirmed is set if the gateway saw the connection end and doesn't know whether the
	// engine crashed.
	Unconfirmed bool
}

// CaseReport reports the crashes that are recorded for a possible poison request. A gateway sends
// it to its new coordinator, and a coordinator to the gateways that it schedules for.
type CaseReport struct {
	quarantine.Report
}

// HeldGrants lists the requests whose slots the gateway holds on grants of the coordinator, or on
// engines that the coordinator took over. It is sent at the start of a session, after an Adopt for
// each slot that another coordinator granted. The coordinator releases the gateway's slots that
// aren't listed: their grants were lost with an earlier session and are never dispatched.
type HeldGrants struct {
	IDs []request.ID
}

// Evict asks a coordinator that can't grant the request to drop one reservation of a lower rank, so
// that another coordinator may queue the request.
type Evict struct {
	ID      request.ID
	Service string
	Rank    int
}

// Evicted is the answer to an Evict.
type Evicted struct {
	ID request.ID
	// Done is set if a reservation of a lower rank was dropped.
	Done bool
	// FloorRank is, if none was dropped, the lowest rank that the queue still accepts.
	FloorRank int
}

// Load is the load of one service, which a coordinator attaches to its messages.
type Load struct {
	Service string
	// FreeSlots is the number of requests that could start immediately.
	FreeSlots int
	// Waiting is the number of waiting reservations.
	Waiting int
	// Delay is how long a new reservation of average size would wait: for a slot or, if slots
	// are free, for the prompts that the least busy engine still has to process.
	Delay time.Duration
}

func (Reserve) isMessage()          {}
func (Grant) isMessage()            {}
func (Refuse) isMessage()           {}
func (Withdraw) isMessage()         {}
func (Release) isMessage()          {}
func (Adopt) isMessage()            {}
func (HeldGrants) isMessage()       {}
func (Evict) isMessage()            {}
func (Evicted) isMessage()          {}
func (Progress) isMessage()         {}
func (ShareRequest) isMessage()     {}
func (ShareLoan) isMessage()        {}
func (ShareReturned) isMessage()    {}
func (Delegation) isMessage()       {}
func (UnreachableHosts) isMessage() {}
func (Leader) isMessage()           {}
func (CoordinatorSlow) isMessage()  {}
func (Resignation) isMessage()      {}

func (EngineCrashed) isMessage() {}
func (CaseReport) isMessage()    {}
func (StreamsBegan) isMessage()  {}
func (VersionsKnown) isMessage() {}

// Package scheduler decides which engine serves each request and when. It keeps the queues of
// waiting requests, the slots and pending prefills of the engines, the limits of the client
// accounts and the retry budgets of the services.
//
// # Usage
//
//	cor := scheduler.New(scheduler.Config{Self: epoch, RetryBudget: budget})
//	cor.Handle(now, scheduler.EnginesChanged{Engines: dir.Engines()})
//	for _, snd := range cor.Handle(now, scheduler.Received{From: gateway, Message: reserve}) {
//		// snd.Message is a reservation.Grant or a reservation.Refuse
//	}
//
// A Core does no I/O and reads no clock: it takes events with the current time and returns
// messages. The coordinator's core schedules for all hosts that can reach it. While a host can't
// reach the coordinator, its own core schedules for that host alone.
package scheduler

import (
	"time"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/rollout"
	"lynxwell.dev/lynxwell/route"
)

// RetryBudget bounds the retries of requests at further engines, over all hosts.
type RetryBudget struct {
	// Ratio is the share of a service's requests that may be retried, from 0 to 1.
	Ratio float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// Slack is the number of additional retries allowed per window.
	Slack float64
}

// Config configures a Core.
type Config struct {
	// Self is the epoch of the host that runs this core.
	Self        request.Epoch
	RetryBudget RetryBudget
	// Share is the share of the limits that the core has from the start, of which nothing was spent before.
	Share limitshare.Share
	// LimitSlack is the number of tokens that all hosts together may serve beyond a client
	// account's token limit before the limit counts as violated.
	LimitSlack float64
	// LimitWindow is the window over which an account's usage is measured. LimitOvershoot is the
	// fraction of the limit by which the usage in a window may exceed it.
	LimitWindow    time.Duration
	LimitOvershoot float64
	// Rollouts bounds the traffic to versions that aren't known to be healthy.
	Rollouts rollout.Config
	// BackoffScope selects the gateways that stop sending to an engine after its backoff request.
	BackoffScope BackoffScope
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// Quarantine sets when requests that crash engines are held.
	Quarantine quarantine.Config
	// FairShares divides the engines among the client accounts whose requests of one rank and
	// urgency wait. Otherwise these are served in the order of their arrival.
	FairShares bool
	// PredictTurns refuses requests that certainly come too late when they arrive. Otherwise they are
	// refused after they have waited for as long as they may. BookReturns also tells their clients when
	// to return, and serves those first that do.
	PredictTurns bool
	BookReturns  bool
}

// Event is an input of Core.Handle.
type Event interface {
	isEvent()
}

// EnginesChanged replaces the list of known engines.
type EnginesChanged struct{ Engines []fleet.Engine }

// ConfigurationChanged replaces the configuration.
type ConfigurationChanged struct{ Table *route.Table }

// Received is a message from a gateway.
type Received struct {
	From    request.Epoch
	Message reservation.Message
}

// GatewayLost reports that a gateway's session has ended.
type GatewayLost struct{ Gateway request.Epoch }

// GrantedByPeer reports a run that another host's core granted to this host, so that this core
// accounts for the run and its cost if it later has to schedule for this host.
type GrantedByPeer struct{ Adopt reservation.Adopt }

// HostsChanged sets this host's place among the hosts.
type HostsChanged struct {
	// Hosts is the number of hosts, Position this host's place among them, from 0, in the order of
	// their names. Standby is set while this core schedules for none of them.
	// Leads is set while this core schedules for more than half of all hosts, OthersSchedule while other cores
	// schedule for some of them.
	Hosts          int
	Position       int
	Standby        bool
	Leads          bool
	OthersSchedule bool
}

// ShareSuspended says whether this core may spend its share of the limits at the moment. AddShare and
// RemoveShare change that share.
type ShareSuspended struct{ Suspended bool }

// MeasurementsRead carries the stored speed measurements of the engines.
type MeasurementsRead struct{ Measurements pace.Measurements }

// DomainsClosed lists all failure domains to which a gateway sends no requests. It replaces the
// gateway's previous list.
type DomainsClosed struct {
	Gateway request.Epoch
	Domains []string
}

// VersionsRecorded carries the record of versions in the store, and the store's era. Unstored is set if the record names
// less than the store's, which is about to be replaced.
type VersionsRecorded struct {
	Record   affinity.Record
	Era      uint64
	Unstored bool
}

// CopyConfirmed says that the host's copy of the store was current at a time, and that the host was registered there.
type CopyConfirmed struct{ At time.Time }

// Tick makes the core serve its queues at the current time.
type Tick struct{}

func (EnginesChanged) isEvent()       {}
func (ConfigurationChanged) isEvent() {}
func (Received) isEvent()             {}
func (GatewayLost) isEvent()          {}
func (GrantedByPeer) isEvent()        {}
func (HostsChanged) isEvent()         {}
func (ShareSuspended) isEvent()       {}
func (MeasurementsRead) isEvent()     {}
func (DomainsClosed) isEvent()        {}
func (VersionsRecorded) isEvent()     {}
func (CopyConfirmed) isEvent()        {}
func (Tick) isEvent()                 {}

// Send is a message to be sent to a gateway.
type Send struct {
	To      request.Epoch
	Message reservation.Message
	// Inputs are the values that the decision is based on.
	Inputs Inputs
}

// Inputs are the values that a grant or a refusal is based on, for the decision log.
type Inputs struct {
	// EngineVersion is the software version of the granted engine, or the one at which a refused stream would go on.
	// Origin is what that rests on for a resumed stream.
	EngineVersion string
	Origin        OriginBasis
	// Waited is the time that the request has spent in the queue. Waiting is the length of the
	// queue.
	Waited  time.Duration
	Waiting int
	// Running, PendingPrefill and Expected describe the granted engine: its number of running
	// requests, the time of its pending prefills, and the predicted time to the first token.
	Running        int
	PendingPrefill time.Duration
	Expected       time.Duration
	// Predicted is how long the request was predicted to wait when it arrived; 0 if unknown.
	Predicted time.Duration
	// Engines is the number of the service's engines, Ejected the number that outlier detection
	// would eject. EjectedUsed is set if these are more than half of the engines, so that they are
	// used anyway.
	Engines     int
	Ejected     int
	EjectedUsed bool
	// Unopened is the number of the service's engines at whose version no stream that may be resumed may begin yet, if the
	// request begins one.
	Unopened int
	// RateLimited is the number of the service's engines that have signaled a rate limit or are
	// cold. WaitedForRate is set if an engine was passed over only because of such a limit.
	// PerSecond is the rate limit of the granted engine in requests per second, RecentGrants the
	// number of requests that it was granted in the last four seconds; both are 0 without a
	// limit. Cold is set if the engine is cold.
	RateLimited   int
	WaitedForRate bool
	PerSecond     float64
	RecentGrants  int
	Cold          bool
	// Account is the request's client account if it has a limit, otherwise empty. Cost is what the
	// request counts against the limit, Level what this core's share of it has left after the decision.
	Account string
	Cost    float64
	Level   float64
}

// Parameters of the scheduling policy.
const (
	// overloadWindow is how long a service counts as overloaded after it refused a request that
	// could have met its target. Refused clients retry within this time, and bursts last about as
	// long.
	overloadWindow = 4 * time.Second
	// maxEngineQueue is the number of requests that an engine may queue beyond its slots, so
	// that a slot that becomes free has work at once.
	maxEngineQueue = 2
	// maxPendingPrefill bounds the predicted time of an engine's pending prefills. An engine
	// above it is granted no further requests.
	maxPendingPrefill = 200 * time.Millisecond
	// initialServiceTime is the initial estimate of the service time of a request without a
	// prompt.
	initialServiceTime = 30 * time.Millisecond
	// initialOccupancy is the initial estimate of the time that a request occupies a slot.
	initialOccupancy = time.Second
	// serviceTimeGain is the weight of a new measurement in the estimated service time of requests
	// without a prompt.
	serviceTimeGain = 0.2
	// occupancyGain is the weight of a new measurement in the estimated occupancy. It is small
	// since answer lengths vary a hundredfold.
	occupancyGain = 0.05
	// lengthHintDeviation is the standard deviation of answer lengths from the clients' hints, in
	// doublings (base-2 logarithm).
	lengthHintDeviation = 0.72
	// missedDeadlineCost is the cost of a stream that certainly misses its deadline, added to
	// the time to the first token. It keeps long answers off engines too slow to complete them.
	missedDeadlineCost = 1000 * time.Millisecond
	// maxLateness bounds the predicted time to a late first event, as a multiple of the latency
	// target. Clients time out after four times the target, and predictions are off by a fifth. The
	// bound keeps prompts that are too long for any engine from timing out at a slow one.
	maxLateness = 3.0
	// loadCost is the cost of an engine with all slots in use, added to the time to the first
	// token: each additional stream slows down all streams of the engine.
	loadCost = 40 * time.Millisecond
	// crossDomainCost is the cost of an engine in another failure domain, for the network delay
	// and the traffic.
	crossDomainCost = 40 * time.Millisecond
	// crossRegionCost is the cost of an engine in another region, which is tens of milliseconds
	// away over the links with the least bandwidth.
	crossRegionCost = 120 * time.Millisecond
	// rateLimitCost is the cost of an engine that has signaled a rate limit or is cold. It
	// reserves the few requests that such an engine accepts for those with a cached prompt and
	// those that no other engine can serve.
	rateLimitCost = 40 * time.Millisecond
	// minRetryShare and maxRetryShare bound the delay after which a refused client retries, as
	// fractions of its remaining time. Overload and exhausted limits last some seconds, clients
	// wait for at most a third of their remaining time before a retry, and the retries must not be
	// synchronized.
	minRetryShare = 0.16
	maxRetryShare = 0.32
	// maxRetryBase caps the remaining time that these fractions apply to: bursts are over within
	// five seconds.
	maxRetryBase = 15 * time.Second
	// cacheShare is the fraction of an engine's cache size assumed to hold cached prompt parts.
	// Running requests need the rest.
	cacheShare = 0.6
	// defaultCacheTokens is the cache size of an engine for which none is configured.
	defaultCacheTokens = 200_000
)

// Package scheduler decides which request goes to which engine, and when: it
// keeps the waiting requests in order, the engines' slots and unread prompts,
// the client accounts' limits and the services' budgets of repeats.
//
// # Usage
//
//	cor := scheduler.New(scheduler.Config{Self: epoch, Repeats: rep})
//	cor.Handle(now, scheduler.EnginesChanged{Engines: dir.Engines()})
//	for _, snd := range cor.Handle(now, scheduler.Received{From: gateway, Message: reserve}) {
//		// snd.Message is a reservation.Grant or a reservation.Refuse
//	}
//
// A Core is pure: events and the time go in, messages come out. One host's core
// decides for all hosts while they reach it; any other host's decides for that
// host alone meanwhile.
package scheduler

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/rollout"
	"lynxwell.dev/lynxwell/route"
)

// Repeats bounds the requests that are sent to a further engine, over all hosts.
type Repeats struct {
	// Ratio is the share of a service's requests that may be repeated.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration
	// Slack is how many more may be repeated in a window.
	Slack float64
}

// Config holds what a Core is made from.
type Config struct {
	// Self is the epoch of the host whose core this is.
	Self    request.Epoch
	Repeats Repeats
	// LimitSlack is how many units over all hosts may be served beyond a client
	// account's limit before the users count it as broken.
	LimitSlack float64
	// LimitWindow is the window in which an account's use is counted, and
	// LimitOvershoot the part of its limit there by which it may be exceeded.
	LimitWindow    time.Duration
	LimitOvershoot float64
	// Rollouts bounds what versions get that aren't known to be good.
	Rollouts rollout.Config
	// Pauses says who keeps away from an engine that has asked for a pause.
	Pauses PauseScope
	// Regions are the regions of failure domains.
	Regions map[string]string
	// Quarantine says when requests are held back that end engines.
	Quarantine quarantine.Config
}

// Event is something that happened to the scheduler.
type Event interface {
	isEvent()
}

// EnginesChanged brings all engines as they are known now.
type EnginesChanged struct{ Engines []fleet.Engine }

// ConfigurationChanged brings a newer configuration.
type ConfigurationChanged struct{ Table *route.Table }

// Received brings a gateway's message.
type Received struct {
	From    request.Epoch
	Message reservation.Message
}

// GatewayLost says that a gateway's session is gone.
type GatewayLost struct{ Gateway request.Epoch }

// GrantedElsewhere says that another host's scheduler gave this host a run, so
// that this one knows of it in case it has to decide alone.
type GrantedElsewhere struct{ Adopt reservation.Adopt }

// ShareChanged says into how many parts like this scheduler's the limits are
// divided: 1 where it decides for all hosts, 3 where it decides for two of six.
type ShareChanged struct {
	Parts float64
	// Hosts is how many hosts there are; Elsewhere says that this scheduler decides for none
	// of them.
	Hosts     int
	Elsewhere bool
}

// SurveyRead brings what the hosts have recorded of the engines' speed.
type SurveyRead struct{ Survey pace.Survey }

// DomainsClosed says to which failure domains a gateway sends nothing, all of them each time.
type DomainsClosed struct {
	Gateway request.Epoch
	Domains []string
}

// Tick lets time pass.
type Tick struct{}

func (EnginesChanged) isEvent()       {}
func (ConfigurationChanged) isEvent() {}
func (Received) isEvent()             {}
func (GatewayLost) isEvent()          {}
func (GrantedElsewhere) isEvent()     {}
func (ShareChanged) isEvent()         {}
func (SurveyRead) isEvent()           {}
func (DomainsClosed) isEvent()        {}
func (Tick) isEvent()                 {}

// Send is a message to a gateway.
type Send struct {
	To      request.Epoch
	Message reservation.Message
	// Inputs are what the decision rests on.
	Inputs Inputs
}

// Inputs are what a grant or a refusal rests on, for the log.
type Inputs struct {
	// Waited is how long the request has waited here, Waiting how many do.
	Waited  time.Duration
	Waiting int
	// Running, Unread and Expected tell of the engine that was granted: its
	// requests, the time that it still reads, and the predicted first token.
	Running  int
	Unread   time.Duration
	Expected time.Duration
	// Engines is how many the service has, Aside how many of them are left out for their
	// health; AsideUsed says that these are too many, so that they are used all the same.
	Engines   int
	Aside     int
	AsideUsed bool
	// Paced is how many of them have named a rate or are cold, WaitedForRate says that the
	// request could have been granted one of these but for that. PerSecond is the rate of the
	// engine that was granted, Spent how many it was granted within four seconds before; 0
	// without one. Cold says that it is cold.
	Paced         int
	WaitedForRate bool
	PerSecond     float64
	Spent         int
	Cold          bool
}

// The figures of the policy.
const (
	// waitShare is the part of a request's aim that it may wait for an engine:
	// a refusal within a quarter still leaves its caller time to come back.
	waitShare = 0.25
	// waitMargin is what an answer needs to reach the caller within that.
	waitMargin = 15 * time.Millisecond
	// overloadMemory is for how long a service counts as overloaded after it refused a
	// request that could have been in time: callers that were refused come back within
	// so long, and a burst lasts about as long.
	overloadMemory = 4 * time.Second
	// beyondSlots is how many requests an engine is given beyond its slots, so
	// that a slot that falls free has work at once.
	beyondSlots = 2
	// unreadLimit is how much prompt, in the engine's own time, may be unread at
	// an engine before it gets more.
	unreadLimit = 200 * time.Millisecond
	// assumedWork is the time of a request to a plain service nothing is known of.
	assumedWork = 30 * time.Millisecond
	// assumedStay is how long a request keeps a slot of an engine nothing is known of.
	assumedStay = time.Second
	// workGain is the weight of a new measurement in the learned time of a request
	// without a prompt.
	workGain = 0.2
	// stayGain is the weight of a new measurement in the learned stay: lengths
	// differ a hundredfold, so it is slow.
	stayGain = 0.05
	// hintSpread is by how many doublings callers' guesses of an answer's length
	// are off, as a standard deviation.
	hintSpread = 0.72
	// finishCost is what a stream that certainly misses its deadline counts in the
	// choice, beside the time to the first token. It keeps long answers off engines
	// too slow for them, where they would be cut.
	finishCost = 1000 * time.Millisecond
	// lateShare is how many times its aim a late first event may take: callers leave
	// after four times, and predictions are off by a fifth. It keeps prompts that are
	// too long for any engine from being lost at a slow one.
	lateShare = 3.0
	// loadCost is what an engine full to its slots counts in the choice, beside
	// the time to the first token: all its streams slow down with each more.
	loadCost = 40 * time.Millisecond
	// crossCost is what an engine in another failure domain counts, for the way
	// and the bytes.
	crossCost = 40 * time.Millisecond
	// regionCost is the same for one in another region: tens of milliseconds each way, and
	// bytes on the narrowest links there are.
	regionCost = 120 * time.Millisecond
	// rateCost is what an engine that has named a rate, or is cold, counts: its few places are
	// for who has a prompt in its memory, or no other engine.
	rateCost = 40 * time.Millisecond
	// minRetryShare and maxRetryShare are the parts of its time left after which a
	// refused caller comes back: overload and used-up limits last some seconds,
	// callers wait a third of their time at most, and they must not return in step.
	minRetryShare = 0.16
	maxRetryShare = 0.32
	// maxRetrySpan bounds the time that this is a share of: a burst is over within
	// five seconds.
	maxRetrySpan = 15 * time.Second
	// cacheShare is the part of an engine's memory that is taken to hold cached
	// parts; running requests need the rest.
	cacheShare = 0.6
	// assumedCacheTokens is the memory of an engine whose operators told none.
	assumedCacheTokens = 200_000
)

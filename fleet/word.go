package fleet

import "time"

// Signal is an engine's statement about its own state in a response to a host: one of
// Draining, Replaced, Backoff, RateLimit, Unlimited and Cold.
type Signal interface {
	// String returns the name of the signal.
	String() string
	// isSignal limits the implementations to this package.
	isSignal()
}

// Draining is sent by an engine that accepts no new requests and is about to stop.
type Draining struct{}

// Replaced means that another engine responds at the engine's address.
type Replaced struct{}

// Backoff asks the receiving host to send the engine no requests for some time.
type Backoff struct {
	// Remaining is the time until requests may be sent again.
	Remaining time.Duration
}

// RateLimit is the rate that an engine accepts from all hosts together. It applies until a
// response carries no rate limit.
type RateLimit struct {
	// PerSecond is the limit in requests per second.
	PerSecond float64
}

// Unlimited removes the rate limit of an engine. It represents a response without a rate limit
// after a response that had one.
type Unlimited struct{}

// Cold means that an engine needs to warm up, after its start or after an idle period. A host that
// read this from the engine's entry also sends the signal to a coordinator that grants the engine
// as if it were warm.
type Cold struct {
	// Remaining is the time until the engine is warm.
	Remaining time.Duration
}

// Brittle means that an engine falls over if it has to reject more requests than the limit within a second. All
// its answers say so while it lasts.
type Brittle struct {
	Limit int
}

func (Draining) isSignal()  {}
func (Replaced) isSignal()  {}
func (Backoff) isSignal()   {}
func (RateLimit) isSignal() {}
func (Unlimited) isSignal() {}
func (Cold) isSignal()      {}
func (Brittle) isSignal()   {}

// String returns the name of the signal.
func (Draining) String() string { return "Draining" }

// String returns the name of the signal.
func (Replaced) String() string { return "Replaced" }

// String returns the name of the signal.
func (Backoff) String() string { return "Backoff" }

// String returns the name of the signal.
func (RateLimit) String() string { return "RateLimit" }

// String returns the name of the signal.
func (Unlimited) String() string { return "Unlimited" }

// String returns the name of the signal.
func (Cold) String() string { return "Cold" }

// String returns the name of the signal.
func (Brittle) String() string { return "Brittle" }

// Notice is a signal together with the engine run that sent it.
type Notice struct {
	Run    EngineID
	Signal Signal
}

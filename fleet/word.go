package fleet

import "time"

// Word is an engine's statement about its own state in a response to a host: one of Leaving,
// Replaced, Pause, RateLimit, Unlimited and Cold.
type Word interface {
	// String returns the name of the signal.
	String() string
	// isSignal limits the implementations to this package.
	isSignal()
}

// Leaving is sent by an engine that accepts no new requests and is about to stop.
type Leaving struct{}

// Replaced reports that another engine responds at the engine's address.
type Replaced struct{}

// Pause asks the receiving host to send the engine no requests for some time.
type Pause struct {
	// Left is the time until requests may be sent again.
	Left time.Duration
}

// RateLimit is the rate that an engine accepts from all hosts together. It applies until a
// response carries no rate limit.
type RateLimit struct {
	// PerSecond is the limit in requests per second.
	PerSecond float64
}

// Unlimited removes the rate limit of an engine. It stands for a response without a rate
// limit after one that carried it.
type Unlimited struct{}

// Cold reports that an engine needs to warm up, after its start or after an idle period. A host
// that knows this from the engine's entry also sends it to a coordinator that grants the engine
// as if it were warm.
type Cold struct {
	// Left is the time until the engine is warm.
	Left time.Duration
}

func (Leaving) isSignal()   {}
func (Replaced) isSignal()  {}
func (Pause) isSignal()     {}
func (RateLimit) isSignal() {}
func (Unlimited) isSignal() {}
func (Cold) isSignal()      {}

// String returns the name of the signal.
func (Leaving) String() string { return "Draining" }

// String returns the name of the signal.
func (Replaced) String() string { return "Replaced" }

// String returns the name of the signal.
func (Pause) String() string { return "Backoff" }

// String returns the name of the signal.
func (RateLimit) String() string { return "RateLimit" }

// String returns the name of the signal.
func (Unlimited) String() string { return "Unlimited" }

// String returns the name of the signal.
func (Cold) String() string { return "Cold" }

// Notice is a signal together with the engine run that sent it.
type Notice struct {
	Run  EngineID
	Word Word
}

package fleet

import "time"

// Word is what an engine says of itself in an answer to a host: Leaving, Replaced, Pause,
// RateLimit, Unlimited or Cold.
type Word interface {
	// String returns the word's name.
	String() string
	// isWord keeps the set of words closed.
	isWord()
}

// Leaving is the word of an engine that takes nothing new until it ends.
type Leaving struct{}

// Replaced is the word of another engine that answers at the engine's address.
type Replaced struct{}

// Pause is the word of an engine that wants nothing from the host that it asked.
type Pause struct {
	// Left is for how much longer.
	Left time.Duration
}

// RateLimit is the word of an engine that bounds what it takes from all hosts together. It
// holds until an answer comes without it.
type RateLimit struct {
	// PerSecond is in requests.
	PerSecond float64
}

// Unlimited is said by an answer without a rate, where one was named before.
type Unlimited struct{}

// Cold is the word of an engine that isn't warm yet, or not any more. It is also told by a host
// that knows so from the engine's entry, to one that grants it as if it were warm.
type Cold struct {
	// Left is for how much longer.
	Left time.Duration
}

func (Leaving) isWord()   {}
func (Replaced) isWord()  {}
func (Pause) isWord()     {}
func (RateLimit) isWord() {}
func (Unlimited) isWord() {}
func (Cold) isWord()      {}

// String returns the word's name.
func (Leaving) String() string { return "Draining" }

// String returns the word's name.
func (Replaced) String() string { return "Replaced" }

// String returns the word's name.
func (Pause) String() string { return "Backoff" }

// String returns the word's name.
func (RateLimit) String() string { return "RateLimit" }

// String returns the word's name.
func (Unlimited) String() string { return "Unlimited" }

// String returns the word's name.
func (Cold) String() string { return "Cold" }

// Notice is what a run of an engine has said of itself in an answer.
type Notice struct {
	Run  EngineID
	Word Word
}

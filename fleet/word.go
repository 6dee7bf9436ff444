package fleet

import "time"

// Word is what an engine says of itself in an answer to a host: Leaving, Replaced, Pause,
// RateLimit or Unlimited.
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

func (Leaving) isWord()   {}
func (Replaced) isWord()  {}
func (Pause) isWord()     {}
func (RateLimit) isWord() {}
func (Unlimited) isWord() {}

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

// Notice is what a run of an engine has said of itself in an answer.
type Notice struct {
	Run  EngineID
	Word Word
}

package mirror

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
)

// Step is what a host does next to read the store: ListStale, AwaitHosts, ReadStore, ReadHost or Pause.
type Step interface {
	isStep()
}

// ListStale reads all keys as they were some seconds ago, which counts against no rate limit.
type ListStale struct{}

// AwaitHosts waits for other hosts to register, and then reads as ListStale does.
type AwaitHosts struct{}

// ReadStore reads all keys or, if Whole isn't set, waits for changes.
type ReadStore struct {
	Whole bool
	// Wait is how long to wait for a change.
	Wait time.Duration
}

// ReadHost reads the copy of another host.
type ReadHost struct {
	Member fleet.Member
	// Wait is how long the other host may wait for a change, and Timeout bounds the whole call.
	Wait    time.Duration
	Timeout time.Duration
}

// Pause reads nothing for a time.
type Pause struct {
	For time.Duration
}

func (ListStale) isStep()  {}
func (AwaitHosts) isStep() {}
func (ReadStore) isStep()  {}
func (ReadHost) isStep()   {}
func (Pause) isStep()      {}

// Failure is why a step failed.
type Failure struct {
	Kind FailureKind
	// RetryAfter is the pause that the store asks for; 0 if it asks for none.
	RetryAfter time.Duration
	// Confirmed is when the other host's copy was confirmed; zero if it didn't answer.
	Confirmed time.Time
}

// FailureKind is the kind of a failure.
type FailureKind uint8

const (
	// FailureLost stands for a call without an answer that can be used.
	FailureLost FailureKind = iota
	// FailureUnready means that the other host has no copy yet, or one that is behind: another call
	// may soon succeed.
	FailureUnready
	// FailureStale means that the other host's copy is too old.
	FailureStale
	// FailureStoreLost means that the other host can't reach the store, and reads the copies of others.
	FailureStoreLost
)

// String names the kind for logs.
func (kin FailureKind) String() string {
	switch kin {
	case FailureLost:
		return "Lost"
	case FailureUnready:
		return "Unready"
	case FailureStale:
		return "Stale"
	case FailureStoreLost:
		return "StoreLost"
	default:
		return "Unknown"
	}
}

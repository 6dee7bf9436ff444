// Package rollout decides how a service moves to a new version of its engines: how many
// requests a version gets before it is known to be good, when it is known to be good or
// bad, and when the move is over.
//
// # Usage
//
//	rol := rollout.New(cfg, rollout.Standing{Order: order})
//	acc := rol.Access(now, rollout.Request{Route: "r1", Repeatable: true})
//	rol.Given(isNew)
//	rol.Answered(now, rollout.Answer{Route: "r1", New: true, Failed: true})
//	for _, wri := range rol.Writes(now, fleet) { ... } // to be put under a condition
//	rol.Recorded(wri, revision)
//
// A Rollout is pure: it is told the time and what happened, and does nothing itself.
// What has to outlast the host that decides, a ledger and the state, it asks to have
// written; requests go to the new version only within what the ledger already holds, so
// that hosts which take over, or decide at the same time, never give too much together.
package rollout

import (
	"time"
)

// State is how far a roll-out is, as operators are told.
type State uint8

// The states of a roll-out. The last two are ends, and are never taken back.
const (
	// StateNone says that nothing was told yet.
	StateNone State = iota
	// StateRunning says that the version isn't known to be good yet.
	StateRunning
	// StateCompleted says that the version serves alone; the former engines stop at once.
	StateCompleted
	// StateRolledBack says that the version gets nothing more; its engines drain.
	StateRolledBack
)

// String returns the state's name.
func (sta State) String() string {
	names := [...]string{"None", "Running", "Completed", "RolledBack"}
	if int(sta) >= len(names) {
		return "Invalid"
	}
	return names[sta]
}

// IsEnd reports whether the state is never left.
func (sta State) IsEnd() bool {
	return sta == StateCompleted || sta == StateRolledBack
}

// Order asks to move a service onto engines of a version.
type Order struct {
	Service string
	Version string
	// Period is the time within which the roll-out is to end.
	Period time.Duration
	// Revision is the store's at the order: a later order has a higher one.
	Revision uint64
}

// Standing is what the store holds of a roll-out.
type Standing struct {
	Order Order
	// Ledger is that of the order, with its revision; zero where none was written.
	Ledger         Ledger
	LedgerRevision uint64
	// State is the state that was told last, with the version and the revision of that; it
	// may be an earlier order's.
	State         State
	StateVersion  string
	StateRevision uint64
}

// state returns the state that was told of this order.
func (std Standing) state() State {
	if std.StateRevision < std.Order.Revision || std.StateVersion != std.Order.Version {
		return StateNone
	}
	return std.State
}

// Ledger is what is kept in the store of a running roll-out, for whoever decides next.
type Ledger struct {
	// Order is the revision of the order, Version the one that it names.
	Order   uint64
	Version string
	// Began is when the order was first seen.
	Began time.Time
	// Reserved is how many requests the version may have been given so far at most.
	Reserved int
	// Writer is the host that wrote it.
	Writer string
	Tally  Tally
}

// Config holds what a Rollout is made from.
type Config struct {
	// Self names this start of the host, in the ledgers that it writes.
	Self string
	// Share is the part of a service's requests that a version which may be bad gets at
	// most, over the period of the order, and Slack how many more.
	Share float64
	Slack float64
}

// Request is what counts of a request for a roll-out.
type Request struct {
	Route string
	// Repeatable requests may run again where the version fails them.
	Repeatable bool
	// Repeated requests have been sent to an engine before.
	Repeated bool
}

// Access says to which engines a request may go.
type Access struct {
	Former bool
	New    bool
}

// Answer is what came of a request.
type Answer struct {
	Route string
	// New says that the new version had it.
	New bool
	// Failed answers are the engine's failures, or none at all.
	Failed bool
	// Unfinished answers were left by their callers, and count only where they had taken
	// too long by then.
	Unfinished bool
	// Took and Expected are how long the answer took and how long it takes an engine of
	// usual speed; without either, the time tells nothing.
	Took     time.Duration
	Expected time.Duration
	// Loaded says that its engine had as much to do as the former ones have.
	Loaded bool
}

// Fleet is what the service's engines are like.
type Fleet struct {
	FormerSlots int
	NewSlots    int
	// Running counts the requests at former engines.
	Running int
	// Pinned counts those of them that would be lost with their engines.
	Pinned int
}

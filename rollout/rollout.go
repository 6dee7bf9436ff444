// Package rollout moves a service to a new version of its engines. It decides how many canary
// requests the version gets before it is known to be healthy, whether the version is healthy or
// faulty, and when the roll-out ends.
//
// # Usage
//
//	rol := rollout.New(cfg, rollout.StoredState{Order: order})
//	acc := rol.Access(now, rollout.Request{Route: "r1", Repeatable: true})
//	rol.RecordGrant(isNew)
//	rol.RecordAnswer(now, rollout.Answer{Route: "r1", New: true, Failed: true})
//	for _, wri := range rol.Advance(now, fleet) { ... } // write each under the condition of its revision
//	rol.ConfirmWrite(wri, revision)
//
// A Rollout does no I/O and reads no clock: its methods take events and the time. Advance returns
// what must be written to the store to survive the loss of the leader: a ledger and the state.
// Canary requests go to the new version only within the reservation of the ledger in the store,
// so that hosts that take over or schedule at the same time never grant too many together.
package rollout

import (
	"time"
)

// State is the state of a roll-out, as published to operators.
type State uint8

// The states of a roll-out. The last two are final.
const (
	// StateNone means that no state was published yet.
	StateNone State = iota
	// StateRunning means that the new version is being tested, or that requests are moving to it.
	StateRunning
	// StateCompleted means that the new version serves all requests. The engines of the old
	// version stop at once.
	StateCompleted
	// StateRolledBack means that the new version gets no more requests and its engines drain.
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

// IsFinal reports whether the state is final.
func (sta State) IsFinal() bool {
	return sta == StateCompleted || sta == StateRolledBack
}

// Order is an order to move a service to a version of its engines.
type Order struct {
	Service string
	Version string
	// Period is the time within which the roll-out must end.
	Period time.Duration
	// Revision is the store's revision of the order. A later order has a higher one.
	Revision uint64
}

// StoredState is what the store holds about a roll-out.
type StoredState struct {
	Order Order
	// Ledger is the ledger of the order, and LedgerRevision its revision. Both are zero if none
	// was written.
	Ledger         Ledger
	LedgerRevision uint64
	// State is the most recently published state, with its version and revision. It may belong to
	// an earlier order.
	State         State
	StateVersion  string
	StateRevision uint64
}

// publishedState returns the published state of the current order, or StateNone.
func (sto StoredState) publishedState() State {
	if sto.StateRevision < sto.Order.Revision || sto.StateVersion != sto.Order.Version {
		return StateNone
	}
	return sto.State
}

// Ledger is the record of a running roll-out in the store, from which the next leader
// continues.
type Ledger struct {
	// Order is the revision of the order, and Version the version that the order names.
	Order   uint64
	Version string
	// Began is when a leader first handled the order.
	Began time.Time
	// Reserved is the maximum number of requests that the new version may have received so far.
	Reserved int
	// Writer is the Config.Self of the host that wrote the ledger.
	Writer string
	Tally  Tally
}

// Config holds the settings of a Rollout.
type Config struct {
	// Self identifies this run of the host in the ledgers that it writes.
	Self string
	// Share is the maximum share, from 0 to 1, of a service's requests that the new version gets
	// before it is known to be healthy. Slack is the number of requests that it may get in
	// addition.
	Share float64
	Slack float64
}

// Request holds the properties of a request that matter to a roll-out.
type Request struct {
	Route string
	// Repeatable reports whether the request may run again if the new version fails it.
	Repeatable bool
	// Repeated reports whether the request was sent to an engine before.
	Repeated bool
}

// Access holds the versions to whose engines a request may be sent.
type Access struct {
	Old bool
	New bool
}

// Answer is the result of a request.
type Answer struct {
	Route string
	// New reports whether the new version ran the request.
	New bool
	// Failed reports whether the engine failed or gave no answer.
	Failed bool
	// Canceled reports whether the client disconnected before the end of the answer. Such an
	// answer counts only if it had failed or was already slow.
	Canceled bool
	// Elapsed is the duration of the answer, and Expected the duration on an engine of reference
	// speed. If either is zero, the duration isn't tested.
	Elapsed  time.Duration
	Expected time.Duration
	// Loaded reports whether the engine had as many requests to run as the engines of the old
	// version have.
	Loaded bool
}

// Fleet describes the engines of a service.
type Fleet struct {
	OldSlots int
	NewSlots int
	// Running is the number of requests running on engines of the old version.
	Running int
	// Pinned is the number of these requests that can't be repeated and would be lost with
	// their engines.
	Pinned int
}

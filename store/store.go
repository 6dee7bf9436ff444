// Package store speaks to the platform's key-value service: compare-and-swap,
// leases, watches and the lagging list of hosts.
//
// # Usage
//
//	var sto store.Store = platform.NewClient(platform.ClientConfig{Address: adr})
//	sto = store.NewRecorder(sto) // counts the calls by kind
//	val, err := sto.Get(ctx, "lynxwell/view/head")
//	rev, err := sto.Put(ctx, store.Write{Key: val.Key, Data: data, Expect: val.Revision})
//
// Every call counts against the platform's rate, a waiting watch as one. A
// write whose reply was lost gives an *UncertainError: the writer reads back to
// find out whether it took effect.
package store

import (
	"context"
	"fmt"
	"time"
)

// Revision orders all writes of the store; 0 stands for a key that isn't there.
type Revision uint64

// LeaseID names a lease; 0 is none.
type LeaseID uint64

// Value is a key with what it holds.
type Value struct {
	Key      string
	Data     []byte
	Revision Revision
	Lease    LeaseID
}

// Write is a compare-and-swap of one key.
type Write struct {
	Key  string
	Data []byte
	// Expect is the revision that the key must have; 0 stands for not there.
	Expect Revision
	// Lease, when set, has the key go with the lease.
	Lease LeaseID
	// Delete removes the key instead of writing Data.
	Delete bool
	// Blind writes whatever revision the key has; Expect doesn't count.
	Blind bool
}

// HostKind says what runs on a host of the platform's list.
type HostKind string

// The kinds of hosts.
const (
	// HostEntry is a host of lynxwell itself.
	HostEntry HostKind = "Entry"
	// HostBackend is a backend server, named as its engine.
	HostBackend HostKind = "Backend"
)

// HostState is one line of the platform's lagging list of hosts.
type HostState struct {
	Name    string
	Kind    HostKind
	Leaving bool
}

// Store is the platform's service as far as lynxwell uses it.
type Store interface {
	// Get returns the value of a key; a key that isn't there has Revision 0.
	Get(ctx context.Context, key string) (Value, error)
	// List returns the values under a prefix, sorted, and the store's revision.
	List(ctx context.Context, prefix string) ([]Value, Revision, error)
	// ListStale is List as of some seconds ago, which costs the store little and
	// counts against no rate; a watch from its revision on brings the rest.
	ListStale(ctx context.Context, prefix string) ([]Value, Revision, error)
	// Put swaps one key. It returns a *ConflictError when the key has another
	// revision, and an *UncertainError when no reply came.
	Put(ctx context.Context, wri Write) (Revision, error)
	// Watch waits up to the given time until something under the prefix has
	// changed after the revision, and returns what. It returns a
	// *CompactedError when the store no longer knows.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// GrantLease returns a lease that lapses unless it is renewed in time.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease starts the lease's time anew; it returns a *LeaseError when it
	// has lapsed.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and removes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Hosts returns the platform's list of hosts, which lags.
	Hosts(ctx context.Context) ([]HostState, error)
}

// ConflictError reports a key that has another revision than expected.
type ConflictError struct {
	Key    string
	Expect Revision
	Actual Revision
}

// Error names the key and both revisions.
func (cer *ConflictError) Error() string {
	return fmt.Sprintf("store: key %q has revision %d, expected %d", cer.Key, cer.Actual, cer.Expect)
}

// LeaseError reports a lease that has lapsed.
type LeaseError struct {
	Lease LeaseID
}

// Error names the lease.
func (ler *LeaseError) Error() string {
	return fmt.Sprintf("store: lease %d has lapsed", ler.Lease)
}

// RateError reports that the platform's rate is used up.
type RateError struct {
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Error names the time to come back.
func (rer *RateError) Error() string {
	return fmt.Sprintf("store: too many calls, come back in %s", rer.RetryAfter)
}

// UnavailableError reports a call that certainly had no effect, or only read.
type UnavailableError struct {
	Call  string
	Cause error
}

// Error names the call and the cause.
func (uer *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s: not available: %v", uer.Call, uer.Cause)
}

// Unwrap returns the cause.
func (uer *UnavailableError) Unwrap() error {
	return uer.Cause
}

// UncertainError reports a write that may have taken effect.
type UncertainError struct {
	Call  string
	Cause error
}

// Error names the call and the cause.
func (uer *UncertainError) Error() string {
	return fmt.Sprintf("store: %s: no reply, may have taken effect: %v", uer.Call, uer.Cause)
}

// Unwrap returns the cause.
func (uer *UncertainError) Unwrap() error {
	return uer.Cause
}

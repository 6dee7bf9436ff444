// Package store is the interface to the platform's key-value service, which offers
// compare-and-swap, leases, watches and a host list that shows changes late.
//
// # Usage
//
//	var sto store.Store = platform.NewClient(platform.ClientConfig{Address: adr})
//	sto = store.NewRecorder(sto) // counts calls by kind
//	val, err := sto.Get(ctx, "lynxwell/view/head")
//	rev, err := sto.Put(ctx, store.Write{Key: val.Key, Data: data, Expect: val.Revision})
//
// Every call except ListStale counts against the platform's rate limit; a waiting
// watch counts as one call. A write whose reply was lost returns an
// *UncertainError; the writer must read the key to determine whether the write took
// effect.
package store

import (
	"context"
	"fmt"
	"time"
)

// Value is a key with its value.
type Value struct {
	Key      string
	Data     []byte
	Revision Revision
	Lease    LeaseID
}

// Write is a write or removal of one key, by compare-and-swap unless Blind is set.
type Write struct {
	Key  string
	Data []byte
	// Expect is the revision that the key must have; 0 requires that it doesn't exist.
	Expect Revision
	// Lease, if set, is the lease to which the key is attached: the store removes the key when
	// the lease ends.
	Lease LeaseID
	// Delete removes the key instead of writing Data.
	Delete bool
	// Blind writes unconditionally; Expect is ignored.
	Blind bool
	// Absent is a further key that must not exist, unless Blind is set; empty for none.
	Absent string
}

// HostKind is the kind of program that runs on a host of the platform's list.
type HostKind string

// The kinds of hosts.
const (
	// HostEntry is a host of lynxwell.
	HostEntry HostKind = "Entry"
	// HostBackend is a backend server; its name is the engine's id.
	HostBackend HostKind = "Backend"
)

// HostState is one entry of the platform's host list, which shows changes late.
type HostState struct {
	Name string
	Kind HostKind
	// Leaving reports whether the host is draining.
	Leaving bool
}

// Store is the part of the platform's key-value service that lynxwell uses.
type Store interface {
	// Get returns the value of a key; Revision is 0 if the key doesn't exist.
	Get(ctx context.Context, key string) (Value, error)
	// List returns the values under a prefix, sorted by key, and the store's revision.
	List(ctx context.Context, prefix string) ([]Value, Revision, error)
	// ListStale is List with a state that may be some seconds old. It costs the store little
	// and doesn't count against the rate limit. A watch from the returned revision returns the
	// changes since that state.
	ListStale(ctx context.Context, prefix string) ([]Value, Revision, error)
	// Put writes or removes one key. It returns a *ConflictError if the key has another
	// revision, and an *UncertainError if no reply arrived.
	Put(ctx context.Context, wri Write) (Revision, error)
	// Watch returns the changes under a prefix after a revision. If there are none, it waits
	// for one for up to the given time. It returns a *CompactedError if the store no longer
	// has the history since the revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// GrantLease returns a lease that expires after ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the lease's time to live. It returns a *LeaseError if the lease has
	// expired.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and removes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Hosts returns the platform's host list, which shows changes late.
	Hosts(ctx context.Context) ([]HostState, error)
}

// LeftOutSource is implemented by a Store that leaves values out of its lists, since a host needn't hold them.
type LeftOutSource interface {
	// LeftOut returns how many values were left out of all lists so far.
	LeftOut() int
}

// ConflictError reports a key whose revision isn't the expected one.
type ConflictError struct {
	Key    string
	Expect Revision
	Actual Revision
}

// Error names the key and both revisions.
func (cer *ConflictError) Error() string {
	return fmt.Sprintf("store: key %q has revision %d of era %d, expected %d of era %d", cer.Key, cer.Actual.Number(), cer.Actual.Era(), cer.Expect.Number(), cer.Expect.Era())
}

// LeaseError reports a lease that has expired.
type LeaseError struct {
	Lease LeaseID
}

// Error names the lease.
func (ler *LeaseError) Error() string {
	return fmt.Sprintf("store: lease %d has expired", ler.Lease.Number)
}

// RateError reports a call that exceeded the platform's rate limit and had no effect.
type RateError struct {
	// RetryAfter is the time to wait before a retry.
	RetryAfter time.Duration
}

// Error names the time to wait before a retry.
func (rer *RateError) Error() string {
	return fmt.Sprintf("store: too many calls, come back in %s", rer.RetryAfter)
}

// UnavailableError reports a failed call that had no effect: the store rejected the call, or the
// call was a read.
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

// UncertainError reports a write without a reply, which may have taken effect.
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

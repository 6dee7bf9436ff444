package store

import (
	"context"
	"maps"
	"sync"
	"time"
)

// Recorder is a Store that counts the calls to an underlying store by kind.
type Recorder struct {
	store  Store
	mutex  sync.Mutex
	counts map[string]uint64
}

// NewRecorder returns a Recorder that passes all calls on to sto.
func NewRecorder(sto Store) *Recorder {
	return &Recorder{store: sto, counts: make(map[string]uint64)}
}

// Counts returns the number of calls by kind, which is the name of the method.
func (rec *Recorder) Counts() map[string]uint64 {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	return maps.Clone(rec.counts)
}

func (rec *Recorder) count(kind string) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	rec.counts[kind]++
}

// Get implements Store.
func (rec *Recorder) Get(ctx context.Context, key string) (Value, error) {
	rec.count("Get")
	return rec.store.Get(ctx, key)
}

// List implements Store.
func (rec *Recorder) List(ctx context.Context, prefix string) ([]Value, Revision, error) {
	rec.count("List")
	return rec.store.List(ctx, prefix)
}

// ListStale implements Store.
func (rec *Recorder) ListStale(ctx context.Context, prefix string) ([]Value, Revision, error) {
	rec.count("ListStale")
	return rec.store.ListStale(ctx, prefix)
}

// Put implements Store.
func (rec *Recorder) Put(ctx context.Context, wri Write) (Revision, error) {
	rec.count("Put")
	return rec.store.Put(ctx, wri)
}

// Watch implements Store.
func (rec *Recorder) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	rec.count("Watch")
	return rec.store.Watch(ctx, prefix, after, wait)
}

// GrantLease implements Store.
func (rec *Recorder) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	rec.count("GrantLease")
	return rec.store.GrantLease(ctx, ttl)
}

// RenewLease implements Store.
func (rec *Recorder) RenewLease(ctx context.Context, id LeaseID) error {
	rec.count("RenewLease")
	return rec.store.RenewLease(ctx, id)
}

// RevokeLease implements Store.
func (rec *Recorder) RevokeLease(ctx context.Context, id LeaseID) error {
	rec.count("RevokeLease")
	return rec.store.RevokeLease(ctx, id)
}

// Hosts implements Store.
func (rec *Recorder) Hosts(ctx context.Context) ([]HostState, error) {
	rec.count("Hosts")
	return rec.store.Hosts(ctx)
}

// ReadOnly is a Store that passes reads on to an underlying store and rejects every write and
// lease call with a *ReadOnlyError.
type ReadOnly struct {
	Store
}

// NewReadOnly returns a ReadOnly for sto.
func NewReadOnly(sto Store) ReadOnly {
	return ReadOnly{Store: sto}
}

// ReadOnlyError reports a write to a read-only store.
type ReadOnlyError struct {
	Call string
}

// Error names the call.
func (rer *ReadOnlyError) Error() string {
	return "store: " + rer.Call + ": the store is read-only"
}

// Put returns a *ReadOnlyError.
func (ReadOnly) Put(context.Context, Write) (Revision, error) {
	return 0, &ReadOnlyError{Call: "Put"}
}

// GrantLease returns a *ReadOnlyError.
func (ReadOnly) GrantLease(context.Context, time.Duration) (LeaseID, error) {
	return LeaseID{}, &ReadOnlyError{Call: "GrantLease"}
}

// RenewLease returns a *ReadOnlyError.
func (ReadOnly) RenewLease(context.Context, LeaseID) error {
	return &ReadOnlyError{Call: "RenewLease"}
}

// RevokeLease returns a *ReadOnlyError.
func (ReadOnly) RevokeLease(context.Context, LeaseID) error {
	return &ReadOnlyError{Call: "RevokeLease"}
}

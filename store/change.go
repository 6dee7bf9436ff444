package store

import "fmt"

// Change is the write or the removal of one key.
type Change struct {
	// Value is the key with its new value. For a removal only Key and Revision are set, and
	// Revision is that of the removal.
	Value
	// Deleted reports whether the key was removed.
	Deleted bool
}

// Changes is the result of a watch.
type Changes struct {
	// Changes are sorted by revision; empty if none occurred during the wait.
	Changes []Change
	// Revision is the revision from which the next watch continues.
	Revision Revision
}

// CompactedError reports a watch from a revision whose later history the store has compacted.
// The watcher has to list all keys instead.
type CompactedError struct {
	After Revision
}

// Error names the revision of the watch.
func (cer *CompactedError) Error() string {
	return fmt.Sprintf("store: changes after revision %d of era %d are compacted", cer.After.Number(), cer.After.Era())
}

// UnusableChangesError reports a watch whose answer arrived and can't be used, such as one that is larger than a host
// may hold. Another call would get the same answer, so the watcher has to list all keys instead.
type UnusableChangesError struct {
	After Revision
	Cause error
}

// Error names the revision of the watch and the cause.
func (uce *UnusableChangesError) Error() string {
	return fmt.Sprintf("store: changes after revision %d of era %d can't be used: %v", uce.After.Number(), uce.After.Era(), uce.Cause)
}

// Unwrap returns the cause.
func (uce *UnusableChangesError) Unwrap() error { return uce.Cause }

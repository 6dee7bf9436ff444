package store

import "fmt"

// Change is one key as it was written, or its removal.
type Change struct {
	// Value is the key with what it holds; after a removal, only the key and
	// the revision of the removal.
	Value
	// Deleted is set for a removal.
	Deleted bool
}

// Changes is what a watch brings.
type Changes struct {
	// Changes are in the order of their revisions; there may be none.
	Changes []Change
	// Revision is where the next watch continues from.
	Revision Revision
}

// CompactedError reports a watch whose history the store has dropped: what it
// missed must be read whole.
type CompactedError struct {
	After Revision
}

// Error names the revision that is gone.
func (cer *CompactedError) Error() string {
	return fmt.Sprintf("store: the changes after revision %d are gone", cer.After)
}

package store

import "fmt"

// Revision orders all writes of the store, by their eras and within an era by the store's own number; 0 is the
// revision of a key that doesn't exist.
type Revision uint64

// eraShift is the position of the era in a revision, and MaxNumber the largest number of an era.
const (
	eraShift  = 48
	MaxNumber = 1<<eraShift - 1
	// MaxEra is the largest era that a revision can hold.
	MaxEra = 1<<(64-eraShift) - 1
)

// Era counts the restorations of the store from a copy. In each era the store has a history of its own: it
// gives out numbers again that it had given out before.
type Era uint64

// NewRevision returns the revision with the store's number in an era. Both must be within their bounds.
func NewRevision(era Era, number uint64) Revision {
	return Revision(uint64(era)<<eraShift | number)
}

// Era returns the era to which the revision belongs.
func (rev Revision) Era() Era { return Era(rev >> eraShift) }

// Number returns the store's own number.
func (rev Revision) Number() uint64 { return uint64(rev & MaxNumber) }

// EraSource is implemented by a Store that knows the store's era.
type EraSource interface {
	// Era returns the era that the store named most recently; 0 if it named none.
	Era() Era
	// LearnEra records an era that was learned from elsewhere, such as from another host. An earlier one
	// than the known era is ignored.
	LearnEra(era Era)
}

// EraChangedError reports a read during which the store was restored from a copy.
type EraChangedError struct {
	From, To Era
}

// Error names both eras.
func (ece *EraChangedError) Error() string {
	return fmt.Sprintf("store: restored from a copy during the call: era %d, then %d", ece.From, ece.To)
}

// LeaseID identifies a lease; the zero LeaseID is no lease. The store gives numbers out again in later eras.
type LeaseID struct {
	Era    Era
	Number uint64
}

// IsZero reports whether it is no lease.
func (lid LeaseID) IsZero() bool { return lid == LeaseID{} }

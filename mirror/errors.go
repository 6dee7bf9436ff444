package mirror

import (
	"fmt"
	"time"

	"lynxwell.dev/lynxwell/store"
)

// EmptyError reports a host that has read nothing of the store yet.
type EmptyError struct{}

// Error implements error.
func (*EmptyError) Error() string {
	return "this host has read nothing of the store yet"
}

// Unready implements peer.Unready.
func (*EmptyError) Unready() {}

// StaleError reports a host whose copy of the store is so old that the host is no source.
type StaleError struct {
	Member string
	Age    time.Duration
}

// Error names the host and the age of its copy.
func (ser *StaleError) Error() string {
	return "copy of the store on host " + ser.Member + " is " + ser.Age.String() + " old"
}

// StoreLostError reports a host that can't reach the store, and reads the copies of others.
type StoreLostError struct {
	Member string
}

// Error names the host.
func (sle *StoreLostError) Error() string {
	return "host " + sle.Member + " can't reach the store"
}

// BehindError reports a host whose copy of the store is older than the reader's, such as a host that
// started more slowly.
type BehindError struct {
	Member string
	// Revision is that of the host's copy, Known that of the reader's.
	Revision store.Revision
	Known    store.Revision
}

// Error names the host and both revisions.
func (ber *BehindError) Error() string {
	return fmt.Sprintf("copy of the store on host %s is behind: at revision %d, want at least %d", ber.Member, ber.Revision, ber.Known)
}

package takeover

import (
	"time"

	"lynxwell.dev/lynxwell/mirror"
)

const (
	// resignAfter is how long a coordinator's writes must fail before it asks to be replaced. Most
	// partitions from the store are over sooner, and a change of the coordinator costs all hosts.
	resignAfter = 2 * time.Second
	// maxFailureGap is the longest time between two failures that count as one series.
	maxFailureGap = 4 * time.Second
)

// Writes tracks whether the coordinator's writes to the store fail. The zero value has no failures.
type Writes struct {
	failingSince time.Time
	lastFailure  time.Time
}

// Succeeded records that the store has answered a call of this host.
func (wri *Writes) Succeeded() { *wri = Writes{} }

// Failed records that the store has not made a write.
func (wri *Writes) Failed(now time.Time) {
	if wri.failingSince.IsZero() || now.Sub(wri.lastFailure) > maxFailureGap {
		wri.failingSince = now
	}
	wri.lastFailure = now
}

// Failing reports whether the writes have failed for so long that another host should coordinate.
func (wri *Writes) Failing(now time.Time) bool {
	return !wri.failingSince.IsZero() && now.Sub(wri.failingSince) >= resignAfter
}

// ServesOthers reports whether the store serves other hosts while this host's writes fail. It last
// certainly did at the time served. An answer from before the failures began tells nothing: since then the
// store may serve nobody.
func (wri *Writes) ServesOthers(now, served time.Time) bool {
	return served.After(wri.failingSince) && now.Sub(served) <= mirror.MaxServedAge
}

package affinity

import (
	"maps"
	"time"

	"lynxwell.dev/lynxwell/request"
)

// Readers tracks which hosts may conclude from the record of versions that they have, and of which number that is at
// least. It isn't safe for concurrent use.
type Readers struct {
	// since is from when on each registration has been seen; zero before the first.
	since time.Time
	// confirmed is when the store certainly had the registrations that were seen; zero if it was never known.
	confirmed time.Time
	readers   map[request.Epoch]*reader
}

// reader is a host that may conclude from its record.
type reader struct {
	// known is the highest number of a record that the host has reported.
	known uint64
	// until is when a host that isn't registered any more concludes nothing at the latest; zero while it is registered.
	until time.Time
}

// NewReaders returns a tracker that knows no host.
func NewReaders() *Readers {
	return &Readers{readers: make(map[request.Epoch]*reader)}
}

// Restart records that registrations may have been missed until now.
func (rds *Readers) Restart(now time.Time) { rds.since = now }

// maxUnseen is the time for which the registrations may stay unseen: a registration lasts for longer than that.
const maxUnseen = 3 * time.Second

// Confirm records that the registrations were those in the store at a time. After a longer gap a host may have been
// registered and deregistered unseen.
func (rds *Readers) Confirm(at time.Time) {
	if rds.confirmed.IsZero() || at.Sub(rds.confirmed) > maxUnseen {
		rds.Restart(at)
	}
	if at.After(rds.confirmed) {
		rds.confirmed = at
	}
}

// Found records that the store has never had a record of versions: hosts that were deregistered before now have none from
// which they may conclude.
func (rds *Readers) Found(now time.Time) { rds.since, rds.confirmed = now.Add(-OpenAfter), now }

// SetRegistered records which hosts are registered.
func (rds *Readers) SetRegistered(now time.Time, registered []request.Epoch) {
	if rds.since.IsZero() {
		rds.since = now
	}
	isRegistered := make(map[request.Epoch]bool, len(registered))
	for _, epo := range registered {
		isRegistered[epo] = true
		rds.reader(epo).until = time.Time{}
	}
	for epo, rdr := range rds.readers {
		if !isRegistered[epo] && rdr.until.IsZero() {
			rdr.until = now.Add(OpenAfter)
		}
	}
	maps.DeleteFunc(rds.readers, func(_ request.Epoch, rdr *reader) bool { return rdr.hasEnded(now) })
}

// Learned records that a host has the record of a number, or a later one.
func (rds *Readers) Learned(now time.Time, epo request.Epoch, number uint64) {
	_, seen := rds.readers[epo]
	rdr := rds.reader(epo)
	rdr.known = max(rdr.known, number)
	if !seen {
		// Its registration hasn't been read yet, or has ended.
		rdr.until = now.Add(OpenAfter)
	}
}

// KnownToAll returns the number of the oldest record from which a host may conclude; 0 if that isn't known.
func (rds *Readers) KnownToAll(now time.Time) uint64 {
	if rds.since.IsZero() || now.Sub(rds.since) < OpenAfter {
		return 0
	}
	least, found := uint64(0), false
	for _, rdr := range rds.readers {
		if rdr.hasEnded(now) {
			continue
		}
		if !found || rdr.known < least {
			least, found = rdr.known, true
		}
	}
	return least
}

func (rds *Readers) reader(epo request.Epoch) *reader {
	rdr := rds.readers[epo]
	if rdr == nil {
		rdr = &reader{}
		rds.readers[epo] = rdr
	}
	return rdr
}

// hasEnded reports whether the host concludes nothing any more.
func (rdr *reader) hasEnded(now time.Time) bool {
	return !rdr.until.IsZero() && !now.Before(rdr.until)
}

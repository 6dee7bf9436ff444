package mirror

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
)

// StoreRead records that the store answered.
func (rea *Reader) StoreRead(now time.Time) {
	rea.following, rea.unreadyUntil = 0, time.Time{}
	rea.endRound()
	if rea.lostSince.IsZero() {
		return
	}
	rea.recover()
	// All hosts reach the store again at about the same time, so that the others are ready soon.
	rea.directUntil = now.Add(startupDirectReadTime)
}

// recover records that the store is no longer unreachable, or that a parent has taken its place.
func (rea *Reader) recover() {
	rea.lostSince, rea.nextStore = time.Time{}, time.Time{}
	rea.servedAt = time.Time{}
	rea.unavailable = false
}

// StoreFailed records that a call to the store failed.
func (rea *Reader) StoreFailed(now time.Time, sit Situation, fail Failure) {
	rea.endRound()
	if rea.lostSince.IsZero() {
		rea.lostSince = now
		rea.backoff = minStoreRetry
	}
	limit := maxStoreRetry
	if fail.RetryAfter > 0 {
		// The hosts that share the rate limit must retry later, and not all at once.
		rea.backoff = max(rea.backoff, fail.RetryAfter)
		limit = maxRateLimitRetry
	}
	rea.nextStore = now.Add(rea.backoff/2 + rea.cfg.Jitter(rea.backoff))
	if peers := rea.domainPeers(sit); len(peers) >= minTreeHosts && position(rea.cfg.Self, peers) > 0 {
		// The first host of the domain calls the store often.
		rea.nextStore = later(rea.nextStore, now.Add(probeInterval/2+rea.cfg.Jitter(probeInterval)))
	}
	rea.backoff = min(limit, 2*rea.backoff)
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// HostRead records that a host has passed on a copy that was confirmed recently.
func (rea *Reader) HostRead(sit Situation, mem fleet.Member, confirmed time.Time) {
	rea.following, rea.unreadyUntil = mem.Epoch, time.Time{}
	rea.roundReads, rea.roundStale = 0, false
	if rea.lostSince.IsZero() {
		return
	}
	if rea.isCandidate(sit, mem) {
		rea.recover()
		return
	}
	rea.recordServed(confirmed)
	rea.unavailable = false
}

// recordServed records that the store served another host at a time.
func (rea *Reader) recordServed(confirmed time.Time) {
	if !confirmed.After(rea.servedAt) {
		return
	}
	if confirmed.Sub(rea.servedAt) > MaxCopyAge {
		rea.servedSince = confirmed
	}
	rea.servedAt = confirmed
}

// isCandidate reports whether a host is one of those of the own failure domain through which this host
// reads.
func (rea *Reader) isCandidate(sit Situation, mem fleet.Member) bool {
	peers := rea.domainPeers(sit)
	if len(peers) < minTreeHosts {
		return false
	}
	for _, pos := range rea.tree.candidates(position(rea.cfg.Self, peers)) {
		if peers[pos].Epoch == mem.Epoch {
			return true
		}
	}
	return false
}

// HostFailed records that reading through a host failed.
func (rea *Reader) HostFailed(now time.Time, sit Situation, mem fleet.Member, fail Failure) {
	candidate := rea.isCandidate(sit, mem)
	if candidate && fail.Kind == FailureUnready && rea.mayRetryUnready(now) {
		rea.retryAt = now.Add(unreadyRetry)
		return
	}
	rea.following = 0
	if !candidate {
		rea.otherFailed(now, mem, fail)
		return
	}
	rea.skip(now, mem, skipTime)
	if _, another := rea.parent(now, sit, rea.domainPeers(sit)); !another {
		rea.directUntil = now.Add(rea.directReadDuration(now))
	}
}

// otherFailed records that a host isn't a source while the store is unreachable. One that answers is read
// again soon: its copy is confirmed from time to time, and may be newer than this host's.
func (rea *Reader) otherFailed(now time.Time, mem fleet.Member, fail Failure) {
	rea.offset++
	rea.roundReads++
	rea.roundStale = rea.roundStale || fail.Kind == FailureStale
	rea.recordServed(fail.Confirmed)
	if fail.Kind == FailureLost {
		rea.skip(now, mem, skipTime)
		return
	}
	rea.skip(now, mem, roundInterval)
}

// mayRetryUnready reports whether a host that isn't ready is called again.
func (rea *Reader) mayRetryUnready(now time.Time) bool {
	if rea.unreadyUntil.IsZero() {
		rea.unreadyUntil = now.Add(unreadyTimeout)
	}
	return now.Before(rea.unreadyUntil)
}

// skip makes a host be skipped for a time.
func (rea *Reader) skip(now time.Time, mem fleet.Member, length time.Duration) {
	for epo, until := range rea.skippedUntil {
		if !now.Before(until) {
			delete(rea.skippedUntil, epo)
		}
	}
	rea.skippedUntil[mem.Epoch] = now.Add(length)
}

// directReadDuration returns how long the store is read directly after reading through others failed.
func (rea *Reader) directReadDuration(now time.Time) time.Duration {
	if now.Sub(rea.cfg.Started) < StartupPeriod {
		return startupDirectReadTime
	}
	return directReadTime
}

package mirror

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/store"
)

const (
	// ProbeWait is the wait of calls that check whether the store, or a host, responds.
	ProbeWait = time.Millisecond
	// MaxCopyAge is the age of another host's copy from which that host is no source: its own source
	// must have failed by then.
	MaxCopyAge = 1900 * time.Millisecond
	// ExpiryHold is how long after an outage of the store the entries that expired during the outage
	// are kept: their owners register again within about two seconds. It exceeds MaxCopyAge, within
	// which the other hosts detect an outage.
	ExpiryHold = 2200 * time.Millisecond
	// StartupPeriod is the time after a host's start in which others of the fleet may be starting too.
	StartupPeriod = 1500 * time.Millisecond

	// watchTimeout is how long a watch waits for a change. Each answer confirms that the copy is
	// current, and a missing answer shows that the store doesn't respond.
	watchTimeout = 1400 * time.Millisecond
	// relayWatchTimeout is the same on a host through which others read: their copies are confirmed
	// when its copy is.
	relayWatchTimeout = 600 * time.Millisecond
	// followTimeout is how long a host waits for another one to pass on changes, or a confirmation.
	followTimeout = 700 * time.Millisecond
	// answerSlack is how much longer than the wait another host's answer may take.
	answerSlack = 300 * time.Millisecond
	// hostProbeTimeout bounds the first call to a host. The entries of lost hosts remain for some
	// seconds, and a host without power would otherwise delay a starting host by a second. An
	// answer takes some milliseconds, and tens of milliseconds on a busy processor.
	hostProbeTimeout = 200 * time.Millisecond
	// skipTime is how long a host that failed is skipped: hosts come back within seconds, and a call
	// costs some milliseconds. Those that answer are skipped for roundInterval while the store is
	// unreachable.
	skipTime = 2 * time.Second
	// directReadTime is how long a host reads the store directly after reading through others failed.
	directReadTime = 2 * time.Second
	// startupDirectReadTime is the same shortly after the host's start and after the store has
	// recovered: the other hosts are seldom ready at that moment but soon are, and a whole fleet that
	// reads directly for longer would make most of a day's calls.
	startupDirectReadTime = 300 * time.Millisecond
	// unreadyRetry is the pause before a host that is not ready is called again, and unreadyTimeout
	// bounds how long it is called again: hosts that start together become ready within some tenths
	// of a second, and the hosts of a domain detect a lost host within a few milliseconds of one
	// another.
	unreadyRetry   = 40 * time.Millisecond
	unreadyTimeout = 400 * time.Millisecond
	// minStoreRetry and maxStoreRetry bound the backoff before the store is called again: each call
	// counts against its rate limit, and a new configuration must become active soon.
	minStoreRetry = 50 * time.Millisecond
	maxStoreRetry = 200 * time.Millisecond
	// maxRateLimitRetry bounds the backoff where the store's rate limit is exhausted.
	maxRateLimitRetry = 2 * time.Second
	// probeInterval is the average interval at which a host whose failure domain has a host that calls
	// an unreachable store often calls it too.
	probeInterval = time.Second
	// roundInterval is the longest pause between two rounds of reading from other hosts while the
	// store is unreachable, and maxRoundReads the number of hosts that are tried in a round.
	roundInterval = 400 * time.Millisecond
	maxRoundReads = 3
	// MaxServedAge is how long after the store last confirmed another host's copy it is assumed to serve
	// that host: a watch later.
	MaxServedAge = MaxCopyAge + watchTimeout
)

// Config configures a Reader.
type Config struct {
	Self    fleet.Member
	Started time.Time
	// FanOut is how many hosts read through one host; 0 means defaultFanOut.
	FanOut int
	// Jitter returns a random duration below the limit.
	Jitter func(limit time.Duration) time.Duration
}

// Situation is what a host knows when it decides what to read.
type Situation struct {
	// Members are the registered hosts, in the order of fleet.Directory.Members.
	Members []fleet.Member
	// Unreachable reports whether a host is known to be unreachable; nil if none is.
	Unreachable func(epo request.Epoch) bool
	// Revision is that of the host's copy; 0 if it has none.
	Revision store.Revision
	// Whole is set if the host has to read all keys.
	Whole bool
	// Confirmed is when the copy was last confirmed; zero if never.
	Confirmed time.Time
	// Authenticated is set if the host can call other hosts.
	Authenticated bool
}

// isOld reports whether the copy is so old that its source must have failed.
func (sit Situation) isOld(now time.Time) bool {
	return !sit.Confirmed.IsZero() && now.Sub(sit.Confirmed) > MaxCopyAge
}

func (sit Situation) isUnreachable(mem fleet.Member) bool {
	return sit.Unreachable != nil && sit.Unreachable(mem.Epoch)
}

// Reader decides from where a host reads the store: from the store itself, or through another host. It is
// pure: it uses no clock, goroutine, network or global randomness. It is not safe for concurrent use.
type Reader struct {
	cfg  Config
	tree tree
	// awaited is set once this host, which found no other host at its start, has waited for others.
	awaited bool
	// following is the epoch of the host that has answered a first call; 0 for none.
	following request.Epoch
	// skippedUntil is the time until which each host that failed is skipped.
	skippedUntil map[request.Epoch]time.Time
	// directUntil is the time until which the store is read directly.
	directUntil time.Time
	// retryAt and unreadyUntil are when a host that isn't ready is called again, and until when.
	retryAt      time.Time
	unreadyUntil time.Time
	// lostSince is when the store became unreachable; zero while it is reachable. NextStore is when
	// it is called again, after a backoff.
	lostSince time.Time
	nextStore time.Time
	backoff   time.Duration
	// offset is the position of the host that is read while the store is unreachable, counted from
	// this host's own first one, and roundReads how many were tried in the present round.
	offset     int
	roundReads int
	// roundStale is set if a copy was stale in the present round, and unavailable if that was so in
	// the last round and no host had a current copy.
	roundStale  bool
	unavailable bool
	// servedSince is the time since which the store has confirmed other hosts' copies without a longer
	// pause while this host can't reach it, and servedAt the latest such confirmation.
	servedSince time.Time
	servedAt    time.Time
}

// NewReader returns a reader that has read nothing.
func NewReader(cfg Config) *Reader {
	if cfg.FanOut == 0 {
		cfg.FanOut = defaultFanOut
	}
	return &Reader{cfg: cfg, tree: tree{fanOut: cfg.FanOut}, skippedUntil: make(map[request.Epoch]time.Time)}
}

// LostSince returns when the store became unreachable for this host; zero while it is reachable.
func (rea *Reader) LostSince() time.Time { return rea.lostSince }

// Unavailable reports whether other hosts can't reach the store either.
func (rea *Reader) Unavailable() bool { return rea.unavailable }

// ServesOthers reports whether the store certainly serves other hosts while this host can't reach it. In
// an outage entries expire although their owners are running, so removals are deferred. If only this
// host can't reach the store, a removed entry is that of an engine or host that has stopped, which must
// get no requests. Other hosts detect an outage within MaxCopyAge, which is less than ExpiryHold.
func (rea *Reader) ServesOthers(now time.Time) bool {
	return now.Sub(rea.servedAt) <= MaxServedAge && rea.servedAt.Sub(rea.servedSince) > ExpiryHold
}

// Next returns the next step.
func (rea *Reader) Next(now time.Time, sit Situation) Step {
	if sit.Revision == 0 && sit.Whole && rea.storeDue(now) {
		return ListStale{}
	}
	if !rea.awaited && sit.Confirmed.IsZero() && len(sit.Members) <= 1 && rea.storeDue(now) {
		rea.awaited = true
		return AwaitHosts{}
	}
	if now.Before(rea.retryAt) {
		return Pause{For: rea.retryAt.Sub(now)}
	}
	peers := rea.domainPeers(sit)
	if mem, found := rea.parent(now, sit, peers); found {
		return rea.follow(now, sit, mem)
	}
	if sit.isOld(now) {
		// The store may be silent, and the copy would get too old to use meanwhile.
		if stp, found := rea.readOthers(now, sit); found {
			return stp
		}
	}
	if rea.storeDue(now) {
		return ReadStore{Whole: sit.Whole, Wait: rea.watchWait(now, sit, peers)}
	}
	if stp, found := rea.readOthers(now, sit); found {
		return stp
	}
	rea.endRound()
	return Pause{For: min(rea.nextStore.Sub(now), roundInterval)}
}

// storeDue reports whether the store may be called.
func (rea *Reader) storeDue(now time.Time) bool {
	return rea.lostSince.IsZero() || !now.Before(rea.nextStore)
}

// domainPeers returns the hosts of the own failure domain.
func (rea *Reader) domainPeers(sit Situation) []fleet.Member {
	var peers []fleet.Member
	for _, mem := range sit.Members {
		if mem.Domain == rea.cfg.Self.Domain && !sit.isUnreachable(mem) {
			peers = append(peers, mem)
		}
	}
	return peers
}

// parent returns the host of the own failure domain through which the store is read, if there is one. A
// host that finds other hosts at its start first reads the store directly: clients are already using the
// fleet, and the other hosts may have started later than this one and not be ready.
func (rea *Reader) parent(now time.Time, sit Situation, peers []fleet.Member) (fleet.Member, bool) {
	if !sit.Authenticated || sit.Confirmed.IsZero() && !rea.awaited || len(peers) < minTreeHosts {
		return fleet.Member{}, false
	}
	if rea.lostSince.IsZero() && now.Before(rea.directUntil) {
		return fleet.Member{}, false
	}
	for _, pos := range rea.tree.candidates(position(rea.cfg.Self, peers)) {
		if !rea.isSkipped(now, peers[pos]) {
			return peers[pos], true
		}
	}
	return fleet.Member{}, false
}

func (rea *Reader) isSkipped(now time.Time, mem fleet.Member) bool {
	return now.Before(rea.skippedUntil[mem.Epoch])
}

// follow returns the step that reads through a host, which must have answered a short call before this
// host waits long for it.
func (rea *Reader) follow(now time.Time, sit Situation, mem fleet.Member) Step {
	if rea.following != mem.Epoch {
		return ReadHost{Member: mem, Wait: ProbeWait, Timeout: hostProbeTimeout}
	}
	timeout := followTimeout + answerSlack
	if !sit.Confirmed.IsZero() {
		// No call may take so long that the copy gets too old before another source is tried.
		timeout = max(hostProbeTimeout, min(timeout, MaxCopyAge+answerSlack-now.Sub(sit.Confirmed)))
	}
	return ReadHost{Member: mem, Wait: followTimeout, Timeout: timeout}
}

// watchWait returns how long a watch of the store waits.
func (rea *Reader) watchWait(now time.Time, sit Situation, peers []fleet.Member) time.Duration {
	switch {
	case !rea.lostSince.IsZero() || sit.Confirmed.IsZero() || sit.isOld(now):
		// A longer watch would show only at its end that the store responds.
		return ProbeWait
	case rea.tree.hasReaders(position(rea.cfg.Self, peers), len(peers)):
		return relayWatchTimeout
	default:
		return watchTimeout
	}
}

// readOthers returns the step that reads the copy of a host outside of the tree, unless all were tried in
// this round: for a host that can't reach the store and has no parent, until it calls the store again. Each
// host begins with another one, so that the hosts which the store rejects don't all read from the same few.
func (rea *Reader) readOthers(now time.Time, sit Situation) (Step, bool) {
	others := rea.others(sit)
	for range others {
		if rea.roundReads >= maxRoundReads {
			break
		}
		mem := others[rea.otherIndex(len(others))]
		if rea.isSkipped(now, mem) {
			rea.offset++
			continue
		}
		return rea.readOther(mem, rea.nextStore.Sub(now)), true
	}
	return nil, false
}

// otherIndex returns the index of the present one of the hosts. Consecutive ones are far apart: hosts that
// are next to one another in the list are often of one failure domain, and have the same source.
func (rea *Reader) otherIndex(count int) int {
	first := int(uint64(rea.cfg.Self.Epoch) % uint64(count))
	return (first + rea.offset%count*strideOf(count)) % count
}

// strideOf returns a number near two fifths of the count that is coprime to it, so that its multiples reach
// each index.
func strideOf(count int) int {
	stride := max(1, 2*count/5)
	for greatestDivisor(stride, count) > 1 {
		stride++
	}
	return stride
}

func greatestDivisor(one, two int) int {
	for two > 0 {
		one, two = two, one%two
	}
	return one
}

func (rea *Reader) readOther(mem fleet.Member, untilStore time.Duration) Step {
	wait := ProbeWait
	if rea.following == mem.Epoch {
		wait = max(ProbeWait, min(untilStore, followTimeout))
	}
	return ReadHost{Member: mem, Wait: wait, Timeout: wait + answerSlack}
}

// others returns the hosts of other failure domains or, if there are none, those of the own: these read
// through this host, and find another source only once its copy is too old.
func (rea *Reader) others(sit Situation) []fleet.Member {
	var near, far []fleet.Member
	for _, mem := range sit.Members {
		switch {
		case mem.Epoch == rea.cfg.Self.Epoch || !sit.Authenticated || sit.isUnreachable(mem):
		case mem.Domain == rea.cfg.Self.Domain:
			near = append(near, mem)
		default:
			far = append(far, mem)
		}
	}
	if len(far) > 0 {
		return far
	}
	return near
}

func (rea *Reader) endRound() {
	rea.unavailable = rea.roundStale
	rea.roundReads, rea.roundStale = 0, false
}

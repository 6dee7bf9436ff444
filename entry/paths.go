package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lynxwell.dev/lynxwell/egress"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/upstream"
)

const (
	// dialPatience is how long a dial may take before the host checks its own paths: a connection takes
	// some milliseconds, and one whose first packet was lost takes a second.
	dialPatience = 250 * time.Millisecond
	// checkTimeout bounds a check of the paths. Another engine is dialed each checkStagger until one has
	// accepted, at most maxCheckDials.
	checkTimeout  = 250 * time.Millisecond
	checkStagger  = 50 * time.Millisecond
	maxCheckDials = 4
	// recheckInterval is how often lost paths are checked.
	recheckInterval = 250 * time.Millisecond
)

// paths tracks whether this host reaches engines, and forwards requests through other hosts while it doesn't.
type paths struct {
	host     *Host
	mutex    sync.Mutex
	detector *egress.Detector
	choice   *egress.Choice
	// checking is closed when the check in progress ends; nil for none.
	checking chan struct{}
	// lost wakes run when the paths are lost; lostAt is when they were lost last.
	lost   chan struct{}
	lostAt time.Time
}

func newPaths(hos *Host) *paths {
	return &paths{
		host: hos, detector: egress.NewDetector(), lost: make(chan struct{}, 1),
		choice: egress.NewChoice(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// areLost reports whether this host has lost its paths to all engines.
func (pat *paths) areLost() bool {
	pat.mutex.Lock()
	defer pat.mutex.Unlock()
	return pat.detector.Lost()
}

// run checks lost paths until they are back, until the context ends.
func (pat *paths) run(ctx context.Context) error {
	for {
		select {
		case <-pat.lost:
		case <-ctx.Done():
			return ctx.Err()
		}
		for pat.areLost() && task.Sleep(ctx, recheckInterval) {
			pat.verify(ctx, pat.host.clock.Now(), fleet.EngineID{})
		}
	}
}

// verify returns what a check of the paths shows that began at the given time or later. The engine, whose
// failure is in question, isn't used for the check.
func (pat *paths) verify(ctx context.Context, since time.Time, failed fleet.EngineID) egress.Path {
	for ctx.Err() == nil {
		pat.mutex.Lock()
		if pth, known := pat.detector.Since(since); known {
			pat.mutex.Unlock()
			return pth
		}
		if running := pat.checking; running != nil {
			pat.mutex.Unlock()
			select {
			case <-running:
			case <-ctx.Done():
			}
			continue
		}
		done := make(chan struct{})
		pat.checking = done
		pat.mutex.Unlock()
		pat.check(failed)
		close(done)
	}
	return egress.PathUnknown
}

// check dials some engines and records the result. It isn't bound to the request that asked for it, since
// others wait for it too.
func (pat *paths) check(failed fleet.EngineID) {
	began := pat.host.clock.Now()
	res := pat.dialOthers(failed)
	pat.host.metrics.count("PathChecks." + res.Path().String())
	pat.mutex.Lock()
	changed := pat.detector.Checked(began, res)
	pat.checking = nil
	pat.mutex.Unlock()
	if changed {
		pat.announce(res.Path() == egress.PathLost, res)
	}
}

// announce logs that the paths are lost, or back, and acts on it. Idle connections are dropped when the paths
// are lost, since they may be silent.
func (pat *paths) announce(lost bool, res egress.Result) {
	now := pat.host.clock.Now()
	pat.mutex.Lock()
	lostAt := pat.lostAt
	if lost {
		pat.lostAt = now
	}
	pat.mutex.Unlock()
	evt := pat.host.log.Warn().Int("Opened", res.Opened).Int("Failed", res.Failed)
	if !lost {
		evt.Dur("After", now.Sub(lostAt)).Msg("engines reachable again")
		return
	}
	evt.Msg("no engine reachable, forwarding through other hosts")
	pat.host.upstream.Retire(func(upstream.Endpoint) bool { return false })
	select {
	case pat.lost <- struct{}{}:
	default:
	}
}

// dialOthers dials engines in random order until one accepts.
func (pat *paths) dialOthers(failed fleet.EngineID) egress.Result {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	engines := pat.others(failed)
	results := make(chan error, len(engines))
	var res egress.Result
	dialed := 0
	for res.Failed < len(engines) {
		if dialed < len(engines) {
			eng := engines[dialed]
			dialed++
			go func() {
				results <- pat.host.upstream.DialIdle(ctx, upstream.Endpoint{Address: eng.Address, Engine: eng.ID})
			}()
		}
		var next <-chan time.Time
		if dialed < len(engines) {
			next = time.After(checkStagger)
		}
		select {
		case err := <-results:
			if err == nil {
				res.Opened++
				return res
			}
			res.Failed++
		case <-next:
		}
	}
	return res
}

// others returns the engines to dial in a check.
func (pat *paths) others(failed fleet.EngineID) []fleet.Engine {
	var engines []fleet.Engine
	for _, eng := range pat.host.snapshot.Load().engines {
		if eng.ID.Name != failed.Name && !eng.Closed() {
			engines = append(engines, eng)
		}
	}
	rand.Shuffle(len(engines), func(one, two int) { engines[one], engines[two] = engines[two], engines[one] })
	return engines[:min(len(engines), maxCheckDials)]
}

// forwarders returns the hosts through which a request may be forwarded, in the order in which they are
// tried.
func (pat *paths) forwarders() []fleet.Member {
	var members []fleet.Member
	for _, mem := range pat.host.snapshot.Load().members {
		if mem.Epoch != pat.host.epoch && !pat.host.broker.isUnreachable(mem.Epoch) {
			members = append(members, mem)
		}
	}
	pat.mutex.Lock()
	defer pat.mutex.Unlock()
	return pat.choice.Order(pat.host.clock.Now(), members, pat.host.set.Domain)
}

// recordForwarder records whether a host has a connection to an engine. That it sends nothing to the engine says nothing
// of its paths to others.
func (pat *paths) recordForwarder(epo request.Epoch, opened peer.ForwardResult) {
	if opened == peer.ForwardBlocked {
		return
	}
	now := pat.host.clock.Now()
	pat.mutex.Lock()
	if opened != peer.ForwardComplete {
		pat.choice.Failed(now, epo)
		pat.mutex.Unlock()
		return
	}
	pat.choice.Proven(now, epo)
	changed := pat.detector.Forwarded()
	pat.mutex.Unlock()
	if changed {
		pat.announce(true, egress.Result{})
	}
}

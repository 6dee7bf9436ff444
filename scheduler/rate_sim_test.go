package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

// ratePolicy is how hosts and coordinators apply the rate limit that an engine sets for all hosts
// together.
type ratePolicy uint8

const (
	// rateIgnored ignores rate limits.
	rateIgnored ratePolicy = iota
	// rateByShare has each host apply an equal share by itself and return the grants beyond it.
	rateByShare
	// rateByLease has hosts apply shares that the coordinator leases to them twice a second, in
	// proportion to their demand.
	rateByLease
	// rateByGrant has the coordinator pace its grants, with a fixed share for a coordinator that can't
	// reach the others.
	rateByGrant
)

const (
	rateServiceTime   = 60 * time.Millisecond
	rateLatencyTarget = 400 * time.Millisecond
	rateNetworkDelay  = time.Millisecond
	rateTickInterval  = 10 * time.Millisecond
	rateLeaseInterval = 500 * time.Millisecond
	// rateSentAt is when the engines begin to send their rate limits.
	rateSentAt = 2 * time.Second
	// From rateGrace after a rate limit was first sent, an engine may get in each rateWindow at most
	// rateFactor times what its limit allows plus rateSlack requests. Only requests of hosts that
	// have known the limit for rateKnown count. From rateRecovery after the limits' end no request
	// may be refused.
	rateGrace    = 3 * time.Second
	rateRecovery = 3 * time.Second
	rateKnown    = 500 * time.Millisecond
	rateWindow   = 4 * time.Second
	rateFactor   = 1.5
	rateSlack    = 5
	// slowConnectProbability is the probability that connecting takes up to a second, rateGrantTTL how
	// long a host may use a grant of an engine with a rate limit.
	slowConnectProbability = 0.03
	rateGrantTTL           = 500 * time.Millisecond
)

// rateSim simulates a service some of whose engines send rate limits. The hosts are one group, or
// partitioned into several, each with a coordinator. It has a simulated clock.
type rateSim struct {
	cfg     rateSimConfig
	now     time.Time
	random  *rand.Rand
	queue   eventQueue
	engines []*rateEngine
	hosts   []*rateHost
	runs    map[request.ID]*rateRun
	sent    int
	result  rateResult
	// checkedFrom is the time from which on arrivals are compared with the rate limits.
	checkedFrom time.Time
	limitsEndAt time.Time
}

type rateSimConfig struct {
	seed    uint64
	policy  ratePolicy
	engines int
	hosts   int
	// rates are the rate limits of the first engines, per second; the others have none.
	rates []float64
	// load is in requests per second; favoredShare is the share of them that arrives at one host.
	load         float64
	favoredShare float64
	duration     time.Duration
	// limitsEndAt is when engines stop sending rate limits; 0 for never.
	limitsEndAt time.Duration
	// partitions are the changes of the hosts' partition.
	partitions []ratePartition
	// cold are the times at which the first engines go cold, for simColdPeriod with a limit of
	// coldRate each; hosts read that up to coldReadDelay later.
	cold     []time.Duration
	coldRate float64
}

// ratePartition partitions the hosts into groups from a time on; the next hosts in turn become the
// coordinators.
type ratePartition struct {
	at     time.Duration
	groups int
}

type rateResult struct {
	sent, served, refused int
	// refusedLate counts the requests refused from rateRecovery after the limits' end on.
	refusedLate int
	// peakUse is the largest share of the allowance that an engine got within a window, minUse the
	// smallest share of its rate limit that an engine got over the whole time.
	peakUse float64
	minUse  float64
	// waited is the total wait of the requests that were served.
	waited time.Duration
	// coldPeakUse is the largest share of its allowance that a cold engine got within a second from
	// hosts that knew it to be cold.
	coldPeakUse float64
}

type rateEngine struct {
	fleet.Engine
	rate    float64
	limited bool
	// arrivals are the requests of hosts that had known the limit for rateKnown, total counts those
	// of all hosts.
	arrivals []time.Time
	total    int
	// sentLimit is when the engine first sent its rate limit to each host.
	sentLimit map[*rateHost]time.Time
	// coldUntil is the end of the engine's cold period, coldArrivals are the requests of hosts that
	// knew it to be cold.
	coldUntil    time.Time
	coldArrivals []time.Time
}

type rateHost struct {
	epoch       request.Epoch
	har         *harness
	notices     *fleet.Notices
	coordinator *rateHost
	// shares are the host's shares of the engines' rate limits.
	shares map[string]*rateShare
	// cold is the end of the engines' cold periods as far as the host has read them.
	cold map[string]time.Time
}

type rateRun struct {
	reserve   reservation.Reserve
	host      *rateHost
	startedAt time.Time
	// reservedAt is when the host last placed the reservation.
	reservedAt time.Time
	retries    int
}

func newRateSim(cfg rateSimConfig) *rateSim {
	sim := &rateSim{cfg: cfg, now: time.Unix(5000, 0), random: rand.New(rand.NewPCG(cfg.seed, 17)), runs: make(map[request.ID]*rateRun)}
	var all []fleet.Engine
	for num := range cfg.engines {
		eng := &rateEngine{Engine: plainEngine(fmt.Sprintf("e%03d", num), 6), sentLimit: make(map[*rateHost]time.Time)}
		if num < len(cfg.rates) {
			eng.rate = cfg.rates[num]
		}
		sim.engines = append(sim.engines, eng)
		all = append(all, eng.Engine)
	}
	for num := range cfg.hosts {
		hos := &rateHost{epoch: request.Epoch(num + 10), notices: fleet.NewNotices(), shares: make(map[string]*rateShare), cold: make(map[string]time.Time)}
		hos.har = &harness{now: sim.now, core: scheduler.New(scheduler.Config{
			Share: limitshare.Whole,
			Self:  hos.epoch, RetryBudget: scheduler.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 1000}, LimitSlack: 1000,
		})}
		hos.har.handle(scheduler.ConfigurationChanged{Table: tableWithColdRate(cfg.coldRate)})
		hos.har.handle(scheduler.EnginesChanged{Engines: all})
		sim.hosts = append(sim.hosts, hos)
	}
	sim.partition(1, 0)
	return sim
}

// partition divides the hosts into groups, each with one of them as the coordinator.
func (sim *rateSim) partition(groups, turn int) {
	for num, hos := range sim.hosts {
		previous := hos.coordinator
		group := num % groups
		size := len(sim.hosts)/groups + boolToInt(group < len(sim.hosts)%groups)
		hos.coordinator = sim.hosts[group+groups*(turn%size)]
		if previous != nil && previous != hos.coordinator {
			sim.apply(previous, previous.har.core.Handle(sim.now, scheduler.GatewayLost{Gateway: hos.epoch}))
		}
	}
	for _, hos := range sim.hosts {
		served := 0
		for _, other := range sim.hosts {
			served += boolToInt(other.coordinator == hos)
		}
		hos.har.now = sim.now
		hos.har.setShare(limitshare.Whole * limitshare.Share(served) / limitshare.Share(len(sim.hosts)))
		sim.apply(hos, hos.har.core.Handle(sim.now, scheduler.HostsChanged{Hosts: len(sim.hosts), Standby: served == 0}))
		for _, ntc := range hos.notices.Current(sim.now) {
			sim.reportNotice(hos, ntc)
		}
	}
	for rid, run := range sim.runs {
		// Requests that wait are reserved once more at the new coordinator.
		delete(sim.runs, rid)
		sim.reserve(run)
	}
}

func boolToInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

func (sim *rateSim) schedule(wait time.Duration, action func()) {
	heap.Push(&sim.queue, simEvent{at: sim.now.Add(wait), action: action})
}

func (sim *rateSim) exponential(mean time.Duration) time.Duration {
	return time.Duration(sim.random.ExpFloat64() * float64(mean))
}

func (sim *rateSim) run() rateResult {
	start := sim.now
	sim.checkedFrom = start.Add(rateSentAt + rateGrace)
	sim.schedule(0, sim.arrive)
	sim.schedule(0, sim.tick)
	sim.schedule(0, sim.leaseShares)
	sim.schedule(rateSentAt, func() {
		for _, eng := range sim.engines[:len(sim.cfg.rates)] {
			eng.limited = true
		}
	})
	if sim.cfg.limitsEndAt > 0 {
		sim.limitsEndAt = start.Add(sim.cfg.limitsEndAt)
		sim.schedule(sim.cfg.limitsEndAt, func() {
			for _, eng := range sim.engines {
				eng.limited = false
			}
		})
	}
	for num, at := range sim.cfg.cold {
		sim.schedule(at, func() { sim.markCold(sim.engines[num]) })
	}
	for turn, cha := range sim.cfg.partitions {
		sim.schedule(cha.at, func() { sim.partition(cha.groups, turn+1) })
	}
	end := start.Add(sim.cfg.duration)
	for len(sim.queue) > 0 {
		evt := heap.Pop(&sim.queue).(simEvent)
		if evt.at.After(end) {
			break
		}
		sim.now = evt.at
		evt.action()
	}
	sim.result.minUse = 1
	for _, eng := range sim.engines[:len(sim.cfg.rates)] {
		sim.checkRate(eng, end)
	}
	for _, eng := range sim.engines[:len(sim.cfg.cold)] {
		sim.checkColdRate(eng)
	}
	return sim.result
}

// checkRate compares the requests that reached an engine with its rate limit.
func (sim *rateSim) checkRate(eng *rateEngine, until time.Time) {
	counted := slices.DeleteFunc(slices.Clone(eng.arrivals), func(at time.Time) bool { return at.Before(sim.checkedFrom) })
	allowed := rateFactor*eng.rate*rateWindow.Seconds() + rateSlack
	first := 0
	for last, at := range counted {
		for at.Sub(counted[first]) >= rateWindow {
			first++
		}
		sim.result.peakUse = max(sim.result.peakUse, float64(last-first+1)/allowed)
	}
	if eng.rate > 0 {
		sim.result.minUse = min(sim.result.minUse, float64(eng.total)/(eng.rate*until.Sub(sim.checkedFrom).Seconds()))
	}
}

func (sim *rateSim) tick() {
	for _, hos := range sim.hosts {
		if hos.coordinator == hos {
			sim.apply(hos, hos.har.core.Handle(sim.now, scheduler.Tick{}))
		}
	}
	sim.schedule(rateTickInterval, sim.tick)
}

func (sim *rateSim) arrive() {
	sim.schedule(sim.exponential(time.Duration(float64(time.Second)/sim.cfg.load)), sim.arrive)
	hos := sim.hosts[sim.random.IntN(len(sim.hosts))]
	if sim.random.Float64() < sim.cfg.favoredShare {
		hos = sim.hosts[len(sim.hosts)-1]
	}
	sim.result.sent++
	sim.reserve(&rateRun{host: hos, startedAt: sim.now})
}

func (sim *rateSim) reserve(run *rateRun) {
	sim.sent++
	previous := run.reserve
	run.reserve = plainReservation(fmt.Sprintf("q%09d", sim.sent))
	run.reserve.Exclude, run.reserve.Requeued = previous.Exclude, run.retries > 0
	run.reserve.LatencyTarget = rateLatencyTarget
	run.reservedAt = sim.now
	sim.runs[run.reserve.ID] = run
	sim.schedule(rateNetworkDelay, func() {
		if sim.runs[run.reserve.ID] == run {
			crd := run.host.coordinator
			sim.apply(crd, crd.har.core.Handle(sim.now, scheduler.Received{From: run.host.epoch, Message: run.reserve}))
		}
	})
}

func (sim *rateSim) apply(crd *rateHost, sends []scheduler.Send) {
	for _, snd := range sends {
		run := sim.runs[decisionID(snd.Message)]
		gra, isGrant := snd.Message.(reservation.Grant)
		if run == nil {
			if isGrant {
				sim.release(crd, crd, reservation.Release{ID: gra.ID, Engine: gra.Engine})
			}
			continue
		}
		delete(sim.runs, decisionID(snd.Message))
		if !isGrant {
			sim.countRefusal()
			continue
		}
		at := sim.now.Add(rateNetworkDelay)
		connecting := rateNetworkDelay
		if sim.random.Float64() < slowConnectProbability {
			connecting += time.Duration(sim.random.Float64() * float64(time.Second))
		}
		sim.schedule(connecting, func() { sim.send(crd, run, gra, at) })
	}
}

func (sim *rateSim) countRefusal() {
	sim.result.refused++
	if !sim.limitsEndAt.IsZero() && sim.now.Sub(sim.limitsEndAt) >= rateRecovery {
		sim.result.refusedLate++
	}
}

// send checks the host's own notices of the engine once more and sends the request.
func (sim *rateSim) send(crd *rateHost, run *rateRun, gra reservation.Grant, granted time.Time) {
	num := slices.IndexFunc(sim.engines, func(eng *rateEngine) bool { return eng.ID.Name == gra.Engine })
	eng := sim.engines[num]
	if !sim.maySend(run.host, eng, gra, run.reservedAt, granted) {
		sim.release(crd, run.host, reservation.Release{ID: run.reserve.ID, Engine: gra.Engine})
		run.retries++
		if sim.cfg.policy != rateByGrant {
			// The coordinator doesn't know why the grant was returned.
			run.reserve.Exclude = append(run.reserve.Exclude, gra.Engine)
		}
		if sim.now.Sub(run.startedAt) > rateLatencyTarget || run.retries > 8 {
			sim.countRefusal()
			return
		}
		sim.reserve(run)
		return
	}
	if sentAt, known := eng.sentLimit[run.host]; known && sim.now.Sub(sentAt) >= rateKnown {
		eng.arrivals = append(eng.arrivals, sim.now)
	}
	if sim.now.Before(eng.coldUntil) && sim.now.Before(run.host.cold[eng.ID.Name]) {
		eng.coldArrivals = append(eng.coldArrivals, sim.now)
	}
	if sim.now.After(sim.checkedFrom) {
		eng.total++
	}
	sent := sim.now
	took := rateNetworkDelay + sim.exponential(rateServiceTime)
	sim.schedule(took, func() {
		sim.result.served++
		sim.result.waited += sent.Sub(run.startedAt)
		// A host reports an engine's signal before it releases the request that carried it.
		ntc := sim.readSignal(run.host, eng, sent)
		sim.schedule(rateNetworkDelay, func() {
			if ntc.Signal != nil {
				sim.reportNotice(run.host, ntc)
			}
			sim.release(crd, run.host, reservation.Release{ID: run.reserve.ID, Engine: gra.Engine, Dispatched: true, Answered: true, Total: took})
		})
	})
}

func (sim *rateSim) release(crd, from *rateHost, rel reservation.Release) {
	sim.apply(crd, crd.har.core.Handle(sim.now, scheduler.Received{From: from.epoch, Message: rel}))
}

// readSignal records the signal that an answer carries at the host, and returns it.
func (sim *rateSim) readSignal(hos *rateHost, eng *rateEngine, sent time.Time) fleet.Notice {
	ntc := fleet.Notice{Run: eng.ID}
	switch {
	case eng.limited:
		ntc.Signal = fleet.RateLimit{PerSecond: eng.rate}
		if _, known := eng.sentLimit[hos]; !known {
			eng.sentLimit[hos] = sim.now
		}
	case hos.notices.EndsLimit(eng.ID, sent):
		ntc.Signal = fleet.Unlimited{}
	}
	hos.notices.Record(sim.now, ntc)
	return ntc
}

func (sim *rateSim) reportNotice(hos *rateHost, ntc fleet.Notice) {
	if sim.cfg.policy != rateByGrant {
		return
	}
	for _, to := range []*rateHost{hos, hos.coordinator} {
		sim.apply(to, to.har.core.Handle(sim.now, scheduler.Received{From: hos.epoch, Message: reservation.EngineNotice{Notice: ntc}}))
	}
}

func (sim *rateSim) maySend(hos *rateHost, eng *rateEngine, gra reservation.Grant, reservedAt, granted time.Time) bool {
	if !sim.maySendCold(hos, eng, gra, granted) {
		return false
	}
	lim, holds := hos.notices.Limit(eng.ID)
	if !holds || sim.cfg.policy == rateIgnored {
		return true
	}
	if sim.cfg.policy == rateByGrant {
		if gra.Rate == reservation.GrantRateLimited && sim.now.Sub(granted) < rateGrantTTL {
			return true
		}
		if gra.Rate == reservation.GrantRateUnlimited && reservedAt.After(lim.ReceivedAt) {
			hos.notices.Record(sim.now, fleet.Notice{Run: eng.ID, Signal: fleet.Unlimited{}})
			return true
		}
		sim.reportNotice(hos, fleet.Notice{Run: eng.ID, Signal: lim.RateLimit})
		return false
	}
	return sim.shareOf(hos, eng).take(sim.now, lim.PerSecond)
}

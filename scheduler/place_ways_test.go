package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

// evacuationPolicy is how requests are kept out of a failure domain that is being evacuated.
type evacuationPolicy uint8

const (
	// evacuateByCoordinator has the coordinator grant nothing there once it has read the order.
	evacuateByCoordinator evacuationPolicy = iota
	// evacuateByReturn has each host return the grants that it gets there.
	evacuateByReturn
	// evacuateByReport has each host return those grants and report which orders it enforces, so
	// that the coordinator grants it nothing there.
	evacuateByReport
)

const (
	evacuationDomains      = 4
	evacuationNetworkDelay = time.Millisecond
	evacuationServiceTime  = 40 * time.Millisecond
	// coordinatorReadDelay is the time after which the coordinator reads the order: the store rejects
	// its reads until then. The other hosts read the order within hostReadDelay.
	coordinatorReadDelay = 4 * time.Second
	hostReadDelay        = time.Second
	// maxReturned is how many grants of one request its host may return before it refuses the
	// request; the limit is that for grants of deregistered engines.
	maxReturned = 3
)

// evacuationSim simulates a service over four failure domains, one of which is evacuated at the
// start, at 0 s.
type evacuationSim struct {
	policy       evacuationPolicy
	now          time.Time
	start        time.Time
	random       *rand.Rand
	queue        eventQueue
	har          *harness
	engines      []fleet.Engine
	domain       map[string]string
	orderRead    map[request.Epoch]time.Time
	runs         map[request.ID]*evacuationRun
	result       evacuationResult
	reservations int
}

type evacuationRun struct {
	reserve  reservation.Reserve
	host     request.Epoch
	returned int
}

type evacuationResult struct {
	// late counts the requests that reached the evacuated domain although their host had read the
	// order; returned counts the grants that hosts returned.
	sent, served, refused, late, returned int
}

func runEvacuationSim(seed uint64, policy evacuationPolicy, engines, hosts int, duration time.Duration, load float64) evacuationResult {
	sim := &evacuationSim{
		policy: policy, now: time.Unix(5000, 0), random: rand.New(rand.NewPCG(seed, 5)), domain: make(map[string]string),
		orderRead: make(map[request.Epoch]time.Time), runs: make(map[request.ID]*evacuationRun),
	}
	sim.start = sim.now
	for num := range engines {
		eng := engineInDomain(fmt.Sprint("d", num%evacuationDomains), fmt.Sprintf("e%03d", num))
		eng.Slots = 4
		sim.engines = append(sim.engines, eng)
		sim.domain[eng.ID.Name] = eng.Domain
	}
	sim.har = newHarness(sim.engines...)
	for num := range hosts {
		host := request.Epoch(100 + num)
		wait := time.Duration(sim.random.Float64() * float64(hostReadDelay))
		sim.orderRead[host] = sim.now.Add(wait)
		if policy == evacuateByReport {
			sim.schedule(wait+evacuationNetworkDelay, func() {
				sim.apply(sim.har.core.Handle(sim.now, scheduler.DomainsClosed{Gateway: host, Domains: []string{"d0"}}))
			})
		}
	}
	sim.schedule(coordinatorReadDelay, func() {
		for num, eng := range sim.engines {
			sim.engines[num].Emptied = eng.Domain == "d0"
		}
		sim.apply(sim.har.core.Handle(sim.now, scheduler.EnginesChanged{Engines: sim.engines}))
	})
	sim.schedule(0, func() { sim.arrive(load, hosts) })
	sim.schedule(0, sim.tick)
	for len(sim.queue) > 0 {
		evt := heap.Pop(&sim.queue).(simEvent)
		if evt.at.Sub(sim.start) > duration {
			break
		}
		sim.now = evt.at
		evt.action()
	}
	return sim.result
}

func (sim *evacuationSim) schedule(wait time.Duration, action func()) {
	heap.Push(&sim.queue, simEvent{at: sim.now.Add(wait), action: action})
}

func (sim *evacuationSim) tick() {
	sim.apply(sim.har.core.Handle(sim.now, scheduler.Tick{}))
	sim.schedule(5*time.Millisecond, sim.tick)
}

func (sim *evacuationSim) arrive(load float64, hosts int) {
	sim.schedule(time.Duration(sim.random.ExpFloat64()*float64(time.Second)/load), func() { sim.arrive(load, hosts) })
	sim.result.sent++
	run := &evacuationRun{host: request.Epoch(100 + sim.random.IntN(hosts))}
	run.reserve = plainReservation("")
	run.reserve.Domain = fmt.Sprint("d", sim.random.IntN(evacuationDomains))
	sim.reserve(run)
}

func (sim *evacuationSim) reserve(run *evacuationRun) {
	sim.reservations++
	run.reserve.ID = requestID(fmt.Sprintf("q%07d", sim.reservations))
	sim.runs[run.reserve.ID] = run
	sim.schedule(evacuationNetworkDelay, func() {
		sim.apply(sim.har.core.Handle(sim.now, scheduler.Received{From: run.host, Message: run.reserve}))
	})
}

func (sim *evacuationSim) apply(sends []scheduler.Send) {
	for _, snd := range sends {
		run := sim.runs[decisionID(snd.Message)]
		if run == nil {
			continue
		}
		delete(sim.runs, decisionID(snd.Message))
		if gra, isGrant := snd.Message.(reservation.Grant); isGrant {
			sim.schedule(evacuationNetworkDelay, func() { sim.send(run, gra) })
			continue
		}
		sim.result.refused++
	}
}

func (sim *evacuationSim) send(run *evacuationRun, gra reservation.Grant) {
	release := func(rel reservation.Release) {
		rel.ID, rel.Engine = gra.ID, gra.Engine
		sim.apply(sim.har.core.Handle(sim.now, scheduler.Received{From: run.host, Message: rel}))
	}
	evacuated := sim.domain[gra.Engine] == "d0"
	hasRead := !sim.now.Before(sim.orderRead[run.host])
	if evacuated && hasRead && sim.policy != evacuateByCoordinator {
		release(reservation.Release{})
		sim.result.returned++
		run.returned++
		run.reserve.Requeued = true
		run.reserve.Exclude = append(slices.Clone(run.reserve.Exclude), gra.Engine)
		if run.returned >= maxReturned && sim.policy == evacuateByReturn {
			sim.result.refused++
			return
		}
		sim.reserve(run)
		return
	}
	if evacuated && hasRead {
		sim.result.late++
	}
	sim.schedule(time.Duration(sim.random.ExpFloat64()*float64(evacuationServiceTime)), func() {
		sim.result.served++
		release(reservation.Release{Dispatched: true, Answered: true, Total: evacuationServiceTime})
	})
}

// While the coordinator hasn't read an evacuation order, hosts that have read it send nothing into
// the domain, and no request is refused for that.
func TestHostsEnforceOrderBeforeCoordinatorReadsIt(t *testing.T) {
	for seed := range uint64(3) {
		res := runEvacuationSim(seed, evacuateByReport, 20, 7, 6*time.Second, 200)
		assert.Assert(t, res.late == 0 && res.refused == 0 && res.returned <= 10, "%+v", res)
	}
}

// BenchmarkEvacuationPolicies reports for each policy the requests that reached the domain from
// hosts that had read the order, the requests refused, and the grants returned, per thousand
// requests each.
func BenchmarkEvacuationPolicies(b *testing.B) {
	policies := map[evacuationPolicy]string{evacuateByCoordinator: "coordinator", evacuateByReturn: "return", evacuateByReport: "report"}
	for _, size := range []struct{ engines, hosts int }{{4, 4}, {20, 7}, {140, 85}} {
		for policy, name := range policies {
			b.Run(fmt.Sprintf("%d/%s", size.engines, name), func(b *testing.B) {
				var sum evacuationResult
				for b.Loop() {
					for seed := range uint64(5) {
						res := runEvacuationSim(seed, policy, size.engines, size.hosts, 8*time.Second, 30*float64(size.engines))
						sum.sent += res.sent
						sum.late += res.late
						sum.refused += res.refused
						sum.returned += res.returned
					}
				}
				perThousand := 1000 / float64(sum.sent)
				b.ReportMetric(perThousand*float64(sum.late), "late")
				b.ReportMetric(perThousand*float64(sum.refused), "refused")
				b.ReportMetric(perThousand*float64(sum.returned), "returned")
			})
		}
	}
}

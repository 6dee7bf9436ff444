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

// emptyWay is who keeps requests from a failure domain that is being emptied.
type emptyWay uint8

const (
	// emptyByDecider has who decides grant nothing there, once it knows.
	emptyByDecider emptyWay = iota
	// emptyBySendingBack has each host send back what it is granted there.
	emptyBySendingBack
	// emptyBySaying has each host send it back, and say to which orders it keeps.
	emptyBySaying
)

const (
	emptyDomains = 4
	emptyTrip    = time.Millisecond
	emptyWork    = 40 * time.Millisecond
	// deciderKnows is when who decides reads the order: the store turns it away. Hosts read it
	// within hostsKnow.
	deciderKnows = 4 * time.Second
	hostsKnow    = time.Second
	// maxGone is how many grants of one request may be of engines that are gone before it is
	// refused.
	maxGone = 3
)

// emptyPlay is a service over four failure domains, one of which is emptied at second 0.
type emptyPlay struct {
	way     emptyWay
	now     time.Time
	start   time.Time
	random  *rand.Rand
	queue   crashQueue
	des     *desk
	engines []fleet.Engine
	domain  map[string]string
	knows   map[request.Epoch]time.Time
	runs    map[request.ID]*emptyRun
	result  emptyResult
	asked   int
}

type emptyRun struct {
	reserve reservation.Reserve
	host    request.Epoch
	sent    int
}

type emptyResult struct {
	// late are requests that reached the emptied domain although their host knew, or any at
	// all a second after the last host did.
	sent, served, refused, late, back int
}

func newEmptyPlay(seed uint64, way emptyWay, engines, hosts int, length time.Duration, load float64) emptyResult {
	pla := &emptyPlay{
		way: way, now: time.Unix(5000, 0), random: rand.New(rand.NewPCG(seed, 5)), domain: make(map[string]string),
		knows: make(map[request.Epoch]time.Time), runs: make(map[request.ID]*emptyRun),
	}
	pla.start = pla.now
	for num := range engines {
		eng := engineIn(fmt.Sprint("d", num%emptyDomains), fmt.Sprintf("e%03d", num))
		eng.Slots = 4
		pla.engines = append(pla.engines, eng)
		pla.domain[eng.ID.Name] = eng.Domain
	}
	pla.des = newDesk(pla.engines...)
	for num := range hosts {
		host := request.Epoch(100 + num)
		wait := time.Duration(pla.random.Float64() * float64(hostsKnow))
		pla.knows[host] = pla.now.Add(wait)
		if way == emptyBySaying {
			pla.in(wait+emptyTrip, func() {
				pla.take(pla.des.core.Handle(pla.now, scheduler.DomainsClosed{Gateway: host, Domains: []string{"d0"}}))
			})
		}
	}
	pla.in(deciderKnows, func() {
		for num, eng := range pla.engines {
			pla.engines[num].Emptied = eng.Domain == "d0"
		}
		pla.take(pla.des.core.Handle(pla.now, scheduler.EnginesChanged{Engines: pla.engines}))
	})
	pla.in(0, func() { pla.arrive(load, hosts) })
	pla.in(0, pla.tick)
	for len(pla.queue) > 0 {
		evt := heap.Pop(&pla.queue).(crashEvent)
		if evt.at.Sub(pla.start) > length {
			break
		}
		pla.now = evt.at
		evt.what()
	}
	return pla.result
}

func (pla *emptyPlay) in(wait time.Duration, what func()) {
	heap.Push(&pla.queue, crashEvent{at: pla.now.Add(wait), what: what})
}

func (pla *emptyPlay) tick() {
	pla.take(pla.des.core.Handle(pla.now, scheduler.Tick{}))
	pla.in(5*time.Millisecond, pla.tick)
}

func (pla *emptyPlay) arrive(load float64, hosts int) {
	pla.in(time.Duration(pla.random.ExpFloat64()*float64(time.Second)/load), func() { pla.arrive(load, hosts) })
	pla.result.sent++
	run := &emptyRun{host: request.Epoch(100 + pla.random.IntN(hosts))}
	run.reserve = plain("")
	run.reserve.Domain = fmt.Sprint("d", pla.random.IntN(emptyDomains))
	pla.ask(run)
}

func (pla *emptyPlay) ask(run *emptyRun) {
	pla.asked++
	run.reserve.ID = id(fmt.Sprintf("q%07d", pla.asked))
	pla.runs[run.reserve.ID] = run
	pla.in(emptyTrip, func() {
		pla.take(pla.des.core.Handle(pla.now, scheduler.Received{From: run.host, Message: run.reserve}))
	})
}

func (pla *emptyPlay) take(sends []scheduler.Send) {
	for _, snd := range sends {
		run := pla.runs[idOf(snd.Message)]
		if run == nil {
			continue
		}
		delete(pla.runs, idOf(snd.Message))
		if gra, isGrant := snd.Message.(reservation.Grant); isGrant {
			pla.in(emptyTrip, func() { pla.send(run, gra) })
			continue
		}
		pla.result.refused++
	}
}

func (pla *emptyPlay) send(run *emptyRun, gra reservation.Grant) {
	release := func(rel reservation.Release) {
		rel.ID, rel.Engine = gra.ID, gra.Engine
		pla.take(pla.des.core.Handle(pla.now, scheduler.Received{From: run.host, Message: rel}))
	}
	emptied := pla.domain[gra.Engine] == "d0"
	knows := !pla.now.Before(pla.knows[run.host])
	if emptied && knows && pla.way != emptyByDecider {
		release(reservation.Release{})
		pla.result.back++
		run.sent++
		run.reserve.Again = true
		run.reserve.Exclude = append(slices.Clone(run.reserve.Exclude), gra.Engine)
		if run.sent >= maxGone && pla.way == emptyBySendingBack {
			pla.result.refused++
			return
		}
		pla.ask(run)
		return
	}
	if emptied && knows {
		pla.result.late++
	}
	pla.in(time.Duration(pla.random.ExpFloat64()*float64(emptyWork)), func() {
		pla.result.served++
		release(reservation.Release{Dispatched: true, Answered: true, Total: emptyWork})
	})
}

// While who decides hasn't heard of an order, hosts that have send nothing there, and nobody is
// refused for it.
func TestHostsKeepToAnOrderThatWhoDecidesDoesNotKnow(t *testing.T) {
	for seed := range uint64(3) {
		res := newEmptyPlay(seed, emptyBySaying, 20, 7, 6*time.Second, 200)
		assert.Assert(t, res.late == 0 && res.refused == 0 && res.back <= 10, "%+v", res)
	}
}

// BenchmarkWaysOfEmptying prints what each way gives: requests that reached the domain from
// hosts that knew, that were refused, and grants sent back, of a thousand requests each.
func BenchmarkWaysOfEmptying(b *testing.B) {
	ways := map[emptyWay]string{emptyByDecider: "decider", emptyBySendingBack: "sent-back", emptyBySaying: "said"}
	for _, size := range []struct{ engines, hosts int }{{4, 4}, {20, 7}, {140, 85}} {
		for way, name := range ways {
			b.Run(fmt.Sprintf("%d/%s", size.engines, name), func(b *testing.B) {
				var sum emptyResult
				for b.Loop() {
					for seed := range uint64(5) {
						res := newEmptyPlay(seed, way, size.engines, size.hosts, 8*time.Second, 30*float64(size.engines))
						sum.sent += res.sent
						sum.late += res.late
						sum.refused += res.refused
						sum.back += res.back
					}
				}
				of := 1000 / float64(sum.sent)
				b.ReportMetric(of*float64(sum.late), "late")
				b.ReportMetric(of*float64(sum.refused), "refused")
				b.ReportMetric(of*float64(sum.back), "back")
			})
		}
	}
}

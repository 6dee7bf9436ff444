package mirror

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/store"
)

// A simulation of a fleet whose hosts read the store as their Readers decide. Links carry a number of bytes a
// second each way, one answer after the other, and processors do one thing after the other.

// Figures of the simulated processors and of the store, as measured on one core.
const (
	callWork   = 200 * time.Microsecond
	applyWork  = 6 * time.Millisecond
	packWork   = 2300 * time.Microsecond
	simLatency = 1400 * time.Microsecond
	storeDelay = 4 * time.Millisecond
	// packedBytes is the size of a configuration as it is passed on, callBytes that of a call or of an
	// answer without changes.
	packedBytes = 21_000
	callBytes   = 300
	storeLink   = 1e9 / 8
	// lostStoreTimeout is how long a call to a silent store takes longer than its wait.
	lostStoreTimeout = 400 * time.Millisecond
	// usedAge is the age up to which a host uses its copy where keys must be revoked within 5 s.
	usedAge = 4 * time.Second
)

// simEvent is something that happens at a time.
type simEvent struct {
	at   time.Time
	num  int
	call func()
}

type simEvents []simEvent

func (evs simEvents) Len() int { return len(evs) }
func (evs simEvents) Less(one, two int) bool {
	if evs[one].at.Equal(evs[two].at) {
		return evs[one].num < evs[two].num
	}
	return evs[one].at.Before(evs[two].at)
}
func (evs simEvents) Swap(one, two int) { evs[one], evs[two] = evs[two], evs[one] }
func (evs *simEvents) Push(ev any)      { *evs = append(*evs, ev.(simEvent)) }
func (evs *simEvents) Pop() any {
	last := (*evs)[len(*evs)-1]
	*evs = (*evs)[:len(*evs)-1]
	return last
}

// simHost is one simulated host.
type simHost struct {
	sim       *fleetSim
	member    fleet.Member
	reader    *Reader
	log       *changeLog
	revision  store.Revision
	confirmed time.Time
	stamp     int
	// share is the host's part of a core, bytesPerSecond its link's.
	share          float64
	bytesPerSecond float64
	cpuFree        time.Time
	sendFree       time.Time
	receiveFree    time.Time
	packed         map[string]bool
	// waiting are the calls that wait for news.
	waiting []*simWait
	// rejected, cut and down are the present faults: by the store, from all other hosts, and dead.
	rejected, silent, cut, down bool
	// oldest is the greatest age that the copy had, and longest the longest time from a change to its
	// effect; fresh is when the host last started.
	oldest  time.Duration
	longest time.Duration
	fresh   time.Time
	// inForce is the version in force.
	inForce store.Revision
}

// simWait is a call that waits for news.
type simWait struct {
	que      peer.MirrorQuery
	asked    time.Time
	from     *simHost
	deadline time.Time
	done     func(upd peer.MirrorUpdate)
	ended    bool
}

// fleetSim is a simulated fleet.
type fleetSim struct {
	now        time.Time
	events     simEvents
	num        int
	rng        *rand.Rand
	hosts      []*simHost
	byEpoch    map[request.Epoch]*simHost
	members    []fleet.Member
	store      *changeLog
	revision   store.Revision
	storeFree  time.Time
	storeWaits []func()
	storeCalls map[int64]int
	// written is when each version was written.
	written  map[store.Revision]time.Time
	start    time.Time
	packEach bool
}

// simConfig describes a simulated fleet.
type simConfig struct {
	// domains are the numbers of large and of small hosts of each failure domain.
	domains [][2]int
	seed    uint64
	fanOut  int
	// packEach is set if an answer is packed again for each reader.
	packEach bool
}

func newFleetSim(cfg simConfig) *fleetSim {
	sim := &fleetSim{rng: rand.New(rand.NewPCG(cfg.seed, 1)), store: newChangeLog(), revision: 1, storeCalls: make(map[int64]int), written: make(map[store.Revision]time.Time), byEpoch: make(map[request.Epoch]*simHost), packEach: cfg.packEach}
	sim.start = time.Unix(1000, 0)
	sim.now = sim.start
	sim.store.replace([]store.Value{{Key: "config", Revision: 1}}, 1)
	for dom, counts := range cfg.domains {
		for idx := range counts[0] + counts[1] {
			hos := &simHost{sim: sim, share: 0.192, bytesPerSecond: 20e6 / 8}
			if idx < counts[0] {
				hos.share, hos.bytesPerSecond = 0.8, 200e6/8
			}
			hos.member = fleet.Member{Name: fmt.Sprintf("d%d-%04d", dom, idx), Domain: fmt.Sprint("d", dom), Epoch: request.Epoch(sim.rng.Uint64()), Capacity: hos.share}
			hos.reader = NewReader(Config{Self: hos.member, Started: sim.start.Add(-time.Hour), FanOut: cfg.fanOut, Jitter: func(limit time.Duration) time.Duration {
				return time.Duration(sim.rng.Int64N(int64(limit)))
			}})
			hos.log, hos.revision, hos.confirmed, hos.stamp, hos.inForce = newChangeLog(), 1, sim.now, 1, 1
			hos.log.replace([]store.Value{{Key: "config", Revision: 1}}, 1)
			hos.packed, hos.fresh = make(map[string]bool), sim.start
			sim.hosts = append(sim.hosts, hos)
			sim.byEpoch[hos.member.Epoch] = hos
		}
	}
	for large := range 2 {
		for _, hos := range sim.hosts {
			if (hos.share > 0.5) == (large == 0) {
				sim.members = append(sim.members, hos.member)
			}
		}
	}
	for _, hos := range sim.hosts {
		sim.after(time.Duration(sim.rng.Int64N(int64(500*time.Millisecond))), hos.next)
	}
	return sim
}

func (sim *fleetSim) at(when time.Time, call func()) {
	sim.num++
	heap.Push(&sim.events, simEvent{at: when, num: sim.num, call: call})
}

func (sim *fleetSim) after(wait time.Duration, call func()) { sim.at(sim.now.Add(wait), call) }

// run plays the fleet until a time after its start.
func (sim *fleetSim) run(length time.Duration) {
	end := sim.start.Add(length)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		ev, _ := heap.Pop(&sim.events).(simEvent)
		sim.now = ev.at
		ev.call()
	}
	sim.now = end
	for _, hos := range sim.hosts {
		hos.noteAge()
		if !hos.down {
			hos.noteEffect(sim.revision)
		}
	}
}

// configure writes a new configuration.
func (sim *fleetSim) configure() {
	sim.revision++
	sim.written[sim.revision] = sim.now
	sim.store.apply([]store.Change{{Value: store.Value{Key: "config", Revision: sim.revision}}})
	waits := sim.storeWaits
	sim.storeWaits = nil
	for _, wake := range waits {
		wake()
	}
}

// work runs a call once the host's processor has done some work.
func (hos *simHost) work(took time.Duration, call func()) {
	start := later(hos.cpuFree, hos.sim.now)
	hos.cpuFree = start.Add(time.Duration(float64(took) / hos.share))
	hos.sim.at(hos.cpuFree, call)
}

func transfer(free *time.Time, now time.Time, bytes int, perSecond float64) time.Time {
	*free = later(*free, now).Add(time.Duration(float64(bytes) / perSecond * float64(time.Second)))
	return *free
}

// send delivers bytes to another host, unless one of the two is cut off or dead.
func (hos *simHost) send(to *simHost, bytes int, call func()) {
	sent := transfer(&hos.sendFree, hos.sim.now, bytes, hos.bytesPerSecond)
	hos.sim.at(sent.Add(simLatency), func() {
		if hos.cut || to.cut || hos.down || to.down {
			return
		}
		hos.sim.at(transfer(&to.receiveFree, hos.sim.now, bytes, to.bytesPerSecond), call)
	})
}

func (hos *simHost) noteAge() {
	if !hos.down {
		hos.oldest = max(hos.oldest, hos.sim.now.Sub(hos.confirmed))
	}
}

// noteEffect records that a version is in force, which ends the wait for all versions since the last one.
func (hos *simHost) noteEffect(rev store.Revision) {
	for other := hos.inForce + 1; other <= rev; other++ {
		hos.longest = max(hos.longest, hos.sim.now.Sub(later(hos.sim.written[other], hos.fresh)))
	}
	hos.inForce = max(hos.inForce, rev)
}

func (hos *simHost) situation() Situation {
	return Situation{Members: hos.sim.members, Revision: hos.revision, Confirmed: hos.confirmed, Authenticated: true}
}

// next takes the next step.
func (hos *simHost) next() {
	if hos.down {
		return
	}
	sit := hos.situation()
	switch stp := hos.reader.Next(hos.sim.now, sit).(type) {
	case ReadStore:
		hos.readStore(sit, stp)
	case ReadHost:
		hos.readHost(sit, stp)
	case Pause:
		hos.sim.after(stp.For, hos.next)
	default:
		panic(fmt.Sprintf("unexpected step %T", stp))
	}
	hos.updateLost()
}

func (hos *simHost) updateLost() {
	if !hos.reader.LostSince().IsZero() {
		hos.wake()
	}
}

// readStore calls the store. It ends once, by an answer or by the end of the call.
func (hos *simHost) readStore(sit Situation, stp ReadStore) {
	sim := hos.sim
	asked := sim.now
	sim.storeCalls[asked.Unix()]++
	fail := func() {
		hos.reader.StoreFailed(sim.now, sit, Failure{})
		hos.updateLost()
		hos.next()
	}
	if hos.rejected {
		wait := storeDelay
		if hos.silent {
			wait = stp.Wait + lostStoreTimeout
		}
		sim.after(wait, fail)
		return
	}
	ended := false
	answer := func() {
		if ended {
			return
		}
		ended = true
		changes, rev := hos.newerIn(sim.store), sim.revision
		done := transfer(&sim.storeFree, sim.now, callBytes+len(changes)*5*packedBytes, storeLink)
		sim.at(transfer(&hos.receiveFree, done, callBytes+len(changes)*5*packedBytes, hos.bytesPerSecond).Add(storeDelay), func() {
			if hos.rejected {
				fail()
				return
			}
			hos.take(changes, rev, asked, func() { hos.reader.StoreRead(sim.now) })
		})
	}
	if sim.revision > hos.revision {
		answer()
		return
	}
	sim.storeWaits = append(sim.storeWaits, answer)
	sim.after(stp.Wait, answer)
}

func (hos *simHost) newerIn(clg *changeLog) []store.Change {
	changes, _ := clg.after(hos.revision)
	return changes
}

// take applies what was read, and takes the next step.
func (hos *simHost) take(changes []store.Change, rev store.Revision, confirmed time.Time, record func()) {
	work := callWork
	if len(changes) > 0 {
		work += applyWork
	}
	hos.work(work, func() {
		hos.noteAge()
		record()
		if newer := hos.log.apply(changes); len(newer) > 0 {
			hos.noteEffect(newer[0].Revision)
			hos.stamp++
		}
		hos.revision = max(hos.revision, rev)
		if confirmed.After(hos.confirmed) {
			hos.confirmed = confirmed
		}
		hos.wake()
		if len(changes) > 0 {
			hos.sim.after(100*time.Millisecond, hos.next)
			return
		}
		hos.next()
	})
}

// readHost calls another host. It ends once, by an answer or by its timeout.
func (hos *simHost) readHost(sit Situation, stp ReadHost) {
	sim, asked, ended := hos.sim, hos.sim.now, false
	other := sim.byEpoch[stp.Member.Epoch]
	sim.after(stp.Timeout, func() {
		if ended {
			return
		}
		ended = true
		hos.reader.HostFailed(sim.now, sit, stp.Member, Failure{Kind: FailureLost})
		hos.next()
	})
	que := peer.MirrorQuery{After: hos.revision, Wait: stp.Wait, Confirmed: hos.confirmed.Sub(asked)}
	hos.send(other, callBytes, func() {
		other.work(callWork, func() {
			wai := &simWait{que: que, asked: sim.now, from: hos, deadline: sim.now.Add(stp.Wait)}
			wai.done = func(upd peer.MirrorUpdate) {
				if ended {
					return
				}
				ended = true
				hos.hostAnswered(sit, stp.Member, asked, upd)
			}
			other.waiting = append(other.waiting, wai)
			sim.at(wai.deadline, func() { other.answer(wai) })
			other.wake()
		})
	})
}

// wake answers the calls for which there is news.
func (hos *simHost) wake() {
	var waiting []*simWait
	for _, wai := range hos.waiting {
		if hasNews(wai.que, hos.read(wai)) {
			hos.answer(wai)
		} else if !wai.ended {
			waiting = append(waiting, wai)
		}
	}
	hos.waiting = waiting
}

func (hos *simHost) read(wai *simWait) peer.MirrorUpdate {
	changes, complete := hos.log.after(wai.que.After)
	return peer.MirrorUpdate{
		Snapshot: !complete, Changes: store.Changes{Revision: hos.revision, Changes: changes},
		Confirmed: hos.confirmed.Sub(wai.asked), Lost: !hos.reader.LostSince().IsZero(),
	}
}

// answer answers a call. Changes are packed once, or for each reader.
func (hos *simHost) answer(wai *simWait) {
	if wai.ended {
		return
	}
	wai.ended = true
	upd := hos.read(wai)
	work := callWork
	if count := len(upd.Changes.Changes); count > 0 {
		key := fmt.Sprint(wai.que.After, " ", hos.stamp)
		if !hos.packed[key] || hos.sim.packEach {
			work += packWork
		}
		hos.packed[key] = true
	}
	hos.work(work, func() {
		hos.send(wai.from, callBytes+len(upd.Changes.Changes)*packedBytes, func() { wai.done(upd) })
	})
}

// hostAnswered handles another host's answer as entry does.
func (hos *simHost) hostAnswered(sit Situation, mem fleet.Member, asked time.Time, upd peer.MirrorUpdate) {
	sim := hos.sim
	confirmed := asked.Add(upd.Confirmed)
	if upd.Changes.Revision < hos.revision {
		hos.reader.HostFailed(sim.now, sit, mem, Failure{Kind: FailureUnready})
		hos.next()
		return
	}
	hos.take(upd.Changes.Changes, upd.Changes.Revision, confirmed, func() {
		switch {
		case sim.now.Sub(confirmed) > MaxCopyAge:
			hos.reader.HostFailed(sim.now, sit, mem, Failure{Kind: FailureStale, Confirmed: confirmed})
		case upd.Lost:
			hos.reader.HostFailed(sim.now, sit, mem, Failure{Kind: FailureStoreLost, Confirmed: confirmed})
		default:
			hos.reader.HostRead(sit, mem, confirmed)
		}
	})
}

package scheduler_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

// crashPlay is a service whose engines end under some requests, and by chance, before one
// core; time is the play's own.
type crashPlay struct {
	cfg    crashPlayConfig
	des    *desk
	random *rand.Rand
	queue  crashQueue
	// number and sent count the engines and the requests.
	number int
	sent   int
	// engines are those that run, byRun what each runs.
	engines map[string]*crashEngine
	entries map[string]fleet.Engine
	runs    map[request.ID]*crashRun
	waiting map[request.ID]*crashRun
	result  crashResult
}

type crashPlayConfig struct {
	seed    uint64
	engines int
	// culprits is how many callers send a request that ends engines, four times a second;
	// varied has them change it each time.
	culprits int
	varied   bool
	// chance is how often an engine ends by itself, a second.
	chance float64
	policy quarantine.Config
	length time.Duration
}

// crashResult is what a play cost.
type crashResult struct {
	// ended are the engines that culprits ended, arrivals how often they reached one.
	ended    int
	arrivals int
	// chanced are the engines that ended by chance.
	chanced int
	// sent, served and lost count the other requests; held are those that were refused as
	// if they ended engines.
	sent   int
	served int
	lost   int
	held   int
	// last is when an engine was last ended by a culprit.
	last time.Duration
}

type crashEngine struct {
	fleet.Engine
	runs map[request.ID]*crashRun
}

type crashRun struct {
	reserve reservation.Reserve
	culprit bool
	engine  *crashEngine
	tries   int
	began   time.Time
}

type crashEvent struct {
	at   time.Time
	what func()
}

type crashQueue []crashEvent

func (que crashQueue) Len() int           { return len(que) }
func (que crashQueue) Less(i, j int) bool { return que[i].at.Before(que[j].at) }
func (que crashQueue) Swap(i, j int)      { que[i], que[j] = que[j], que[i] }
func (que *crashQueue) Push(x any)        { *que = append(*que, x.(crashEvent)) }
func (que *crashQueue) Pop() any {
	old := *que
	last := old[len(old)-1]
	*que = old[:len(old)-1]
	return last
}

// The work of a play: what the users' calm days have, of one service.
const (
	crashSlots     = 8
	crashRate      = 1.6 // requests a second and engine
	crashStay      = 2 * time.Second
	crashResumable = 0.4
	crashComeBack  = 0.3 // of the callers who lost a stream, after some seconds
	crashTime      = 100 * time.Millisecond
	crashLapse     = 3 * time.Second
	crashTick      = 5 * time.Millisecond
)

func newCrashPlay(cfg crashPlayConfig) *crashPlay {
	pla := &crashPlay{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.seed, 7)),
		des: &desk{
			core: scheduler.New(scheduler.Config{
				Self: own, Repeats: scheduler.Repeats{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}, LimitSlack: 1000, Quarantine: cfg.policy,
			}),
			now: time.Unix(5000, 0),
		},
		engines: make(map[string]*crashEngine), entries: make(map[string]fleet.Engine),
		runs: make(map[request.ID]*crashRun), waiting: make(map[request.ID]*crashRun),
	}
	for range cfg.engines {
		pla.start()
	}
	pla.tell()
	return pla
}

func (pla *crashPlay) in(wait time.Duration, what func()) {
	heap.Push(&pla.queue, crashEvent{at: pla.des.now.Add(wait), what: what})
}

func (pla *crashPlay) exponential(mean time.Duration) time.Duration {
	return time.Duration(pla.random.ExpFloat64() * float64(mean))
}

// start starts an engine.
func (pla *crashPlay) start() {
	pla.number++
	name := fmt.Sprint("e", pla.number)
	eng := fleet.Engine{ID: fleet.EngineID{Name: name}, Service: "model", Slots: crashSlots, Domain: "d0", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(pla.number))}
	pla.engines[name] = &crashEngine{Engine: eng, runs: make(map[request.ID]*crashRun)}
	pla.entries[name] = eng
	if pla.cfg.chance > 0 {
		pla.in(pla.exponential(time.Duration(float64(time.Second)/pla.cfg.chance)), func() {
			if pla.engines[name] != nil {
				pla.result.chanced++
				pla.end(name)
			}
		})
	}
}

// tell brings the core the entries as they are.
func (pla *crashPlay) tell() {
	var all []fleet.Engine
	for num := range pla.number {
		if eng, known := pla.entries[fmt.Sprint("e", num+1)]; known {
			all = append(all, eng)
		}
	}
	pla.take(pla.des.handle(scheduler.EnginesChanged{Engines: all}))
}

// end ends an engine: what it ran is lost, its entry lapses later, another one starts.
func (pla *crashPlay) end(name string) {
	eng := pla.engines[name]
	delete(pla.engines, name)
	for _, run := range eng.sorted() {
		delete(pla.runs, run.reserve.ID)
		sub := run.reserve.Subject()
		pla.take(pla.des.handle(scheduler.Received{From: peer, Message: reservation.EngineEnded{
			ID: run.reserve.ID, Observation: quarantine.Observation{Subject: sub, Engine: name},
		}}))
		pla.take(pla.des.release(reservation.Release{ID: run.reserve.ID, Engine: name, Dispatched: true, Failed: true}))
		pla.loseRun(run)
	}
	pla.in(crashLapse, func() {
		delete(pla.entries, name)
		pla.start()
		pla.tell()
	})
}

func (eng *crashEngine) sorted() []*crashRun {
	return slices.SortedFunc(maps.Values(eng.runs), func(one, two *crashRun) int {
		return cmp.Compare(one.reserve.ID.Unique, two.reserve.ID.Unique)
	})
}

// loseRun has the host repeat what an end took, or its caller come back some day.
func (pla *crashPlay) loseRun(run *crashRun) {
	switch {
	case run.reserve.Repeatable && run.reserve.Attempt == 0:
		again := *run
		again.reserve.Attempt, again.reserve.Exclude = 1, []string{run.engine.ID.Name}
		pla.ask(&again)
	case run.culprit:
	default:
		pla.result.lost++
		if run.tries == 0 && pla.random.Float64() < crashComeBack {
			pla.result.lost--
			pla.in(pla.exponential(2*time.Second), func() { pla.again(run) })
		}
	}
}

// again has a caller send its request once more, under another id.
func (pla *crashPlay) again(run *crashRun) {
	again := *run
	pla.name(&again.reserve)
	again.reserve.Attempt, again.reserve.Exclude = 0, nil
	again.tries++
	pla.ask(&again)
}

// name gives a request an id of its own.
func (pla *crashPlay) name(res *reservation.Reserve) {
	pla.sent++
	res.ID = id(fmt.Sprintf("c%09d", pla.sent))
}

func (pla *crashPlay) digest() call.Digest {
	var dig call.Digest
	for idx := range dig {
		dig[idx] = byte(pla.random.IntN(256))
	}
	return dig
}

// send sends a request; the accounts have unequal shares of the work.
func (pla *crashPlay) send(culprit bool, account string, dig call.Digest) {
	res := prompt("", 300+pla.random.IntN(600))
	pla.name(&res)
	res.Account, res.Digest, res.Route = account, dig, "stream"
	res.Repeatable = !culprit && pla.random.Float64() < crashResumable
	if res.Repeatable {
		res.Route = "resume"
	}
	if !culprit {
		pla.result.sent++
	}
	pla.ask(&crashRun{reserve: res, culprit: culprit})
}

func (pla *crashPlay) ask(run *crashRun) {
	pla.waiting[run.reserve.ID] = run
	pla.take(pla.des.reserve(run.reserve))
}

// take carries out what the core says.
func (pla *crashPlay) take(sends []scheduler.Send) {
	for _, snd := range sends {
		switch msg := snd.Message.(type) {
		case reservation.Grant:
			pla.grant(msg)
		case reservation.Refuse:
			pla.refuse(msg)
		}
	}
}

func (pla *crashPlay) grant(gra reservation.Grant) {
	run := pla.waiting[gra.ID]
	delete(pla.waiting, gra.ID)
	eng := pla.engines[gra.Engine]
	if eng == nil {
		// Its connection is refused, and another one is asked for.
		pla.take(pla.des.release(reservation.Release{ID: gra.ID, Engine: gra.Engine, Failed: true}))
		run.reserve.Exclude = append(append([]string(nil), run.reserve.Exclude...), gra.Engine)
		if len(run.reserve.Exclude) <= 3 {
			pla.ask(run)
		}
		return
	}
	run.engine, run.began = eng, pla.des.now
	eng.runs[gra.ID], pla.runs[gra.ID] = run, run
	if run.culprit {
		pla.result.arrivals++
		pla.in(crashTime, func() {
			if pla.engines[gra.Engine] == eng && pla.runs[gra.ID] == run {
				pla.result.ended++
				pla.result.last = pla.des.now.Sub(time.Unix(5000, 0))
				pla.end(gra.Engine)
			}
		})
		return
	}
	pla.in(pla.exponential(crashStay), func() {
		if pla.runs[gra.ID] != run {
			return
		}
		delete(pla.runs, gra.ID)
		delete(eng.runs, gra.ID)
		pla.result.served++
		took := pla.des.now.Sub(run.began)
		pla.take(pla.des.release(reservation.Release{ID: gra.ID, Engine: gra.Engine, Dispatched: true, Answered: true, FirstToken: min(took, 100*time.Millisecond), DecodeTokens: 40, Total: took}))
	})
}

func (pla *crashPlay) refuse(ref reservation.Refuse) {
	run := pla.waiting[ref.ID]
	delete(pla.waiting, ref.ID)
	if run == nil || run.culprit {
		return
	}
	if ref.Reason == reservation.ReasonHeld {
		pla.result.held++
		return
	}
	if run.tries == 0 {
		pla.in(min(ref.RetryAfter, 3*time.Second), func() { pla.again(run) })
	}
}

// crashAccounts share the work like this.
var crashAccounts = []struct {
	name  string
	share float64
}{{"large", 0.4}, {"second", 0.25}, {"third", 0.2}, {"fourth", 0.1}, {"small", 0.05}}

func (pla *crashPlay) anyAccount() string {
	left := pla.random.Float64()
	for _, acc := range crashAccounts {
		left -= acc.share
		if left < 0 {
			return acc.name
		}
	}
	return crashAccounts[0].name
}

// run plays the length of the play.
func (pla *crashPlay) run() crashResult {
	end := pla.des.now.Add(pla.cfg.length)
	var arrive func()
	arrive = func() {
		pla.send(false, pla.anyAccount(), pla.digest())
		pla.in(pla.exponential(time.Duration(float64(time.Second)/(crashRate*float64(pla.cfg.engines)))), arrive)
	}
	pla.in(0, arrive)
	for num := range pla.cfg.culprits {
		account, dig := crashAccounts[num%len(crashAccounts)].name, pla.digest()
		var culprit func()
		culprit = func() {
			if pla.cfg.varied {
				dig = pla.digest()
			}
			pla.send(true, account, dig)
			pla.in(pla.exponential(250*time.Millisecond), culprit)
		}
		pla.in(3*time.Second, culprit)
	}
	var tick func()
	tick = func() {
		pla.take(pla.des.handle(scheduler.Tick{}))
		pla.in(crashTick, tick)
	}
	pla.in(0, tick)
	for len(pla.queue) > 0 {
		evt := heap.Pop(&pla.queue).(crashEvent)
		if evt.at.After(end) {
			break
		}
		pla.des.now = evt.at
		evt.what()
	}
	return pla.result
}

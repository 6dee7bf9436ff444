package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
)

// pauseWay is what is made of an engine's wish for a pause.
type pauseWay uint8

const (
	// pauseIgnored is as it was before: a failure like any other.
	pauseIgnored pauseWay = iota
	// pauseByHost has the host that was asked send grants back, and nobody else know.
	pauseByHost
	// pauseOfAsked has who decides grant it nothing to the host that was asked.
	pauseOfAsked
	// pauseOfAll has all hosts keep away for a while, and one request try first.
	pauseOfAll
	// pauseProbing has one request at a time of the others try at once, then each time later.
	pauseProbing
)

// pausePlay is a service some of whose engines turn all requests away for a time and ask for
// a pause each time, before one core that decides for many hosts; time is the play's own.
type pausePlay struct {
	cfg     pausePlayConfig
	des     *desk
	random  *rand.Rand
	queue   crashQueue
	sent    int
	engines map[string]*pauseEngine
	hosts   map[request.Epoch]*fleet.Notices
	waiting map[request.ID]*pauseRun
	result  pauseResult
}

type pausePlayConfig struct {
	seed    uint64
	way     pauseWay
	engines int
	hosts   int
	// share of the engines turn away at a time, for shed; failing is the share of answers
	// that the others fail meanwhile.
	share    float64
	failing  float64
	attempts int
	// load is the part of all engines' slots that is usually taken.
	load float64
	// part is the share of requests that an engine turns away; 0 for all.
	part float64
}

type pauseResult struct {
	sent, served, turned, refused int
	// worst is the most that one host sent an engine between half a second after it was
	// asked for a pause and the pause's end.
	worst int
	// back is how long engines that served again waited for their first request.
	back  time.Duration
	backs int
}

type pauseEngine struct {
	fleet.Engine
	shedUntil time.Time
	waits     bool
	// asked is when hosts were last asked for a pause, sent how many requests came since.
	asked map[request.Epoch]time.Time
	sent  map[request.Epoch]int
}

type pauseRun struct {
	reserve reservation.Reserve
	host    request.Epoch
	tries   int
	// started is when the caller sent it.
	started time.Time
}

// The work of a play: backend servers as on the users' days.
const (
	pauseSlots = 6
	pauseWork  = 60 * time.Millisecond
	pauseAim   = 300 * time.Millisecond
	pauseTime  = 1500 * time.Millisecond
	pauseRest  = 3 * time.Second
	pauseTrip  = time.Millisecond
	pauseShed  = 8 * time.Second
)

func newPausePlay(cfg pausePlayConfig) *pausePlay {
	scope := map[pauseWay]scheduler.PauseScope{pauseOfAsked: scheduler.PauseAsked, pauseOfAll: scheduler.PauseAll}[cfg.way]
	pla := &pausePlay{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.seed, 11)), engines: make(map[string]*pauseEngine),
		hosts: make(map[request.Epoch]*fleet.Notices), waiting: make(map[request.ID]*pauseRun),
		des: &desk{
			core: scheduler.New(scheduler.Config{Self: own, Repeats: scheduler.Repeats{Ratio: 0.2, Window: 10 * time.Second, Slack: 54}, LimitSlack: 1000, Pauses: scope}),
			now:  time.Unix(5000, 0),
		},
	}
	var all []fleet.Engine
	for num := range cfg.engines {
		eng := plainEngine(fmt.Sprintf("e%03d", num), pauseSlots)
		all = append(all, eng)
		pla.engines[eng.ID.Name] = &pauseEngine{Engine: eng, asked: make(map[request.Epoch]time.Time), sent: make(map[request.Epoch]int)}
	}
	for num := range cfg.hosts {
		pla.hosts[request.Epoch(num+10)] = fleet.NewNotices()
	}
	pla.des.handle(scheduler.EnginesChanged{Engines: all})
	return pla
}

func (pla *pausePlay) in(wait time.Duration, what func()) {
	heap.Push(&pla.queue, crashEvent{at: pla.des.now.Add(wait), what: what})
}

func (pla *pausePlay) exponential(mean time.Duration) time.Duration {
	return time.Duration(pla.random.ExpFloat64() * float64(mean))
}

// run plays two times of shedding, and what comes after.
func (pla *pausePlay) run() pauseResult {
	length := 30 * time.Second
	pla.in(0, func() { pla.arrive() })
	pla.in(0, func() { pla.tick() })
	for _, at := range []time.Duration{4 * time.Second, 16 * time.Second} {
		pla.in(at, pla.shed)
	}
	end := pla.des.now.Add(length)
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

func (pla *pausePlay) tick() {
	pla.take(pla.des.after(0))
	pla.in(crashTick, pla.tick)
}

func (pla *pausePlay) shed() {
	count := max(1, int(pla.cfg.share*float64(pla.cfg.engines)))
	first := pla.random.IntN(pla.cfg.engines)
	for num := range count {
		eng := pla.engines[fmt.Sprintf("e%03d", (first+num)%pla.cfg.engines)]
		eng.shedUntil, eng.waits = pla.des.now.Add(pauseShed), true
	}
}

func (pla *pausePlay) arrive() {
	rate := pla.cfg.load * float64(pla.cfg.engines*pauseSlots) / pauseWork.Seconds()
	pla.in(pla.exponential(time.Duration(float64(time.Second)/rate)), pla.arrive)
	pla.result.sent++
	pla.ask(&pauseRun{started: pla.des.now, host: request.Epoch(10 + pla.random.IntN(pla.cfg.hosts))}, true)
}

func (pla *pausePlay) ask(run *pauseRun, fresh bool) {
	if fresh {
		pla.sent++
		run.reserve = plain(fmt.Sprintf("p%09d", pla.sent))
	}
	spent := pla.des.now.Sub(run.started)
	run.reserve.Aim, run.reserve.Remaining = pauseAim-spent, pauseTime-spent
	pla.waiting[run.reserve.ID] = run
	pla.take(pla.des.handle(scheduler.Received{From: run.host, Message: run.reserve}))
}

func (pla *pausePlay) take(sends []scheduler.Send) {
	for _, snd := range sends {
		run := pla.waiting[idOf(snd.Message)]
		delete(pla.waiting, idOf(snd.Message))
		switch msg := snd.Message.(type) {
		case reservation.Grant:
			pla.in(pauseTrip, func() { pla.granted(run, msg.Engine) })
		case reservation.Refuse:
			pla.refused(run, msg.RetryAfter)
		}
	}
}

func idOf(msg reservation.Message) request.ID {
	switch msg := msg.(type) {
	case reservation.Grant:
		return msg.ID
	case reservation.Refuse:
		return msg.ID
	default:
		return request.ID{}
	}
}

// granted has the host look at the engine once more, and send the request.
func (pla *pausePlay) granted(run *pauseRun, name string) {
	eng, now := pla.engines[name], pla.des.now
	if word := pla.hosts[run.host].Bar(now, eng.ID); word != nil {
		pla.tell(run.host, fleet.Notice{Run: eng.ID, Word: word})
		pla.finish(run, reservation.Release{ID: run.reserve.ID, Engine: name})
		run.reserve.Again = true
		if pla.cfg.way == pauseByHost {
			// Nobody else knows why it was sent back.
			run.reserve.Exclude = append(run.reserve.Exclude, name)
		}
		pla.ask(run, false)
		return
	}
	if since := now.Sub(eng.asked[run.host]); since > 500*time.Millisecond && since < pauseRest {
		eng.sent[run.host]++
		pla.result.worst = max(pla.result.worst, eng.sent[run.host])
	}
	if now.Before(eng.shedUntil) && (pla.cfg.part == 0 || pla.random.Float64() < pla.cfg.part) {
		pla.in(pauseTrip, func() { pla.turnedAway(run, eng) })
		return
	}
	if eng.waits {
		eng.waits = false
		pla.result.back += now.Sub(eng.shedUntil)
		pla.result.backs++
	}
	failed := pla.random.Float64() < pla.cfg.failing
	took := pla.exponential(pauseWork)
	pla.in(took, func() {
		pla.finish(run, reservation.Release{ID: run.reserve.ID, Engine: name, Dispatched: true, Answered: true, Failed: failed, Total: took})
		if !failed {
			pla.result.served++
		}
	})
}

func (pla *pausePlay) turnedAway(run *pauseRun, eng *pauseEngine) {
	pla.result.turned++
	if now := pla.des.now; now.Sub(eng.asked[run.host]) >= pauseRest || pla.cfg.way == pauseIgnored {
		eng.asked[run.host], eng.sent[run.host] = now, 0
	}
	rel := reservation.Release{ID: run.reserve.ID, Engine: eng.ID.Name, Dispatched: true, Rejected: true}
	if pla.cfg.way != pauseIgnored {
		not := fleet.Notice{Run: eng.ID, Word: fleet.Pause{Left: pauseRest}}
		pla.hosts[run.host].Take(pla.des.now, not)
		pla.tell(run.host, not)
		rel.BackedOff = pla.cfg.way != pauseByHost
	}
	pla.finish(run, rel)
	run.reserve.Attempt++
	run.reserve.Exclude = append(run.reserve.Exclude, eng.ID.Name)
	run.reserve.Again = false
	if run.reserve.Attempt < pla.cfg.attempts {
		pla.ask(run, false)
		return
	}
	pla.refused(run, 500*time.Millisecond)
}

func (pla *pausePlay) tell(host request.Epoch, not fleet.Notice) {
	if pla.cfg.way >= pauseOfAsked {
		pla.take(pla.des.handle(scheduler.Received{From: host, Message: reservation.EngineNotice{Notice: not}}))
	}
}

func (pla *pausePlay) finish(run *pauseRun, rel reservation.Release) {
	pla.take(pla.des.handle(scheduler.Received{From: run.host, Message: rel}))
}

// refused has a caller come back once, to any host, if its time allows it.
func (pla *pausePlay) refused(run *pauseRun, after time.Duration) {
	left := pauseTime - pla.des.now.Sub(run.started)
	if run.tries > 0 || after > left/3 {
		pla.result.refused++
		return
	}
	pla.in(after, func() {
		pla.ask(&pauseRun{started: run.started, tries: 1, host: request.Epoch(10 + pla.random.IntN(pla.cfg.hosts))}, true)
	})
}

// An engine that asks for a pause gets nothing from the host that it asked, whatever becomes
// of the others, and is back soon after it serves again.
func TestPausedEngineGetsNothingFromWhomItAsked(t *testing.T) {
	for seed := range uint64(4) {
		for _, share := range []float64{0.25, 1} {
			for _, way := range []pauseWay{pauseOfAsked, pauseOfAll, pauseProbing} {
				res := newPausePlay(pausePlayConfig{seed: seed, way: way, engines: 4, hosts: 7, share: share, failing: 0.3, attempts: 2, load: 0.3}).run()
				assert.Equal(t, res.worst, 0, "%+v", res)
				assert.Assert(t, res.back/time.Duration(max(1, res.backs)) < pauseRest+time.Second, "%+v", res)
			}
		}
	}
}

// BenchmarkWaysOfPausing prints what each way costs, a play: requests turned away, refused to
// the end and served, the most that one host sent an engine while it wanted none, and how
// long engines that serve again wait for work.
func BenchmarkWaysOfPausing(b *testing.B) {
	ways := []string{"ignored", "by-host", "asked", "all", "probing"}
	for _, size := range []struct{ engines, hosts int }{{4, 7}, {18, 7}, {60, 85}, {140, 300}} {
		for _, kind := range []struct {
			name        string
			share, fail float64
			load        float64
			attempts    int
			part        float64
		}{
			{"one", 0, 0, 0.3, 2, 0},
			{"third", 0.3, 0, 0.3, 2, 0},
			{"third-busy", 0.3, 0, 0.6, 2, 0},
			{"third-once", 0.3, 0, 0.3, 1, 0},
			{"failing", 0.3, 0.35, 0.3, 2, 0},
			{"all", 1, 0, 0.3, 2, 0},
			{"partly", 1, 0, 0.6, 2, 0.05},
			{"partly-third", 0.3, 0, 0.6, 2, 0.6},
		} {
			for way, name := range ways {
				b.Run(fmt.Sprintf("%d/%s/%s", size.engines, kind.name, name), func(b *testing.B) {
					const seeds = 5
					var sum pauseResult
					for b.Loop() {
						sum = pauseResult{}
						for seed := range uint64(seeds) {
							res := newPausePlay(pausePlayConfig{
								seed: seed, way: pauseWay(way), engines: size.engines, hosts: size.hosts, share: kind.share, failing: kind.fail, attempts: kind.attempts, load: kind.load, part: kind.part,
							}).run()
							sum.sent += res.sent
							sum.served += res.served
							sum.turned += res.turned
							sum.refused += res.refused
							sum.worst = max(sum.worst, res.worst)
							sum.back += res.back
							sum.backs += res.backs
						}
					}
					b.ReportMetric(float64(sum.turned)/seeds, "turned")
					b.ReportMetric(10000*float64(sum.refused)/float64(sum.sent), "refused/10k")
					b.ReportMetric(100*float64(sum.served)/float64(sum.sent), "served%")
					b.ReportMetric(float64(sum.worst), "worst")
					b.ReportMetric(sum.back.Seconds()/float64(max(1, sum.backs)), "s-back")
				})
			}
		}
	}
}

package soak

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// A play of limits: clients ask for many times what their account may spend, and keep their connections
// until the process behind them is gone, while hosts are stopped, killed or paused.

const (
	// limitRate and limitBurst are the account's limit in tokens, of which each request costs limitCost.
	limitRate  = 337
	limitBurst = 337
	limitCost  = 10
	// limitOvershoot and limitSlack are what the users tolerate beyond the limit in a limitWindow.
	limitWindow    = 8 * time.Second
	limitOvershoot = 0.1
	limitSlack     = 134
	// limitEngines and limitClients are the number of engines and of clients.
	limitEngines = 4
	limitClients = 24
	// limitHosts is the number of hosts.
	limitHosts = 6
	// calmBefore and calmAfter are the times without disturbances, disturbedTime is the time with them.
	calmBefore    = 3 * time.Second
	calmAfter     = 3 * time.Second
	disturbedTime = 9 * time.Second
	// loseInterval is the time between two answers that an engine loses.
	loseInterval = 100 * time.Millisecond
	// answerTime is how long an answer takes at most from its engine to its client.
	answerTime = 100 * time.Millisecond
	// engineRate is the rate limit that engines signal in a play of engines' limits, in requests per second.
	engineRate = 3
)

// Disturbance is what happens to the hosts in a play of limits.
type Disturbance string

// The disturbances. Hosts that were stopped or killed are started again at once.
const (
	// Undisturbed leaves the hosts alone.
	Undisturbed Disturbance = "Undisturbed"
	// OverlappingStops stops all hosts as planned, half a second apart, once.
	OverlappingStops Disturbance = "OverlappingStops"
	// StopsInSeries stops hosts as planned, 0.4 s apart, again and again.
	StopsInSeries Disturbance = "StopsInSeries"
	// StopOfHalf stops three hosts as planned at once.
	StopOfHalf Disturbance = "StopOfHalf"
	// StopOfAll stops all hosts as planned at once.
	StopOfAll Disturbance = "StopOfAll"
	// KillsInSeries kills a host each 0.8 s, KillsInQuickSeries each 0.15 s.
	KillsInSeries      Disturbance = "KillsInSeries"
	KillsInQuickSeries Disturbance = "KillsInQuickSeries"
	// KillsOfAll kills all hosts each 1.4 s.
	KillsOfAll Disturbance = "KillsOfAll"
	// PausesInTurn pauses each host for a second, one after the other.
	PausesInTurn Disturbance = "PausesInTurn"
	// Mixed stops, kills, pauses and cuts hosts from the store in random order, overlapping.
	Mixed Disturbance = "Mixed"
	// StoreAway makes the store unreachable, and stops two hosts.
	StoreAway Disturbance = "StoreAway"
)

// LimitConfig configures a play of limits.
type LimitConfig struct {
	Seed        uint64
	Disturbance Disturbance
	// EngineLimits makes the engines signal engineRate, and leaves the account without a limit.
	EngineLimits bool
	// LoseAnswers makes the engines run three of ten requests without an answer.
	LoseAnswers bool
}

// LimitResult is what was observed in a play of limits.
type LimitResult struct {
	// Allowed is how many requests may be run within a limitWindow; of an engine with a rate limit, within a
	// rateWindow.
	Allowed int
	// Most is the highest number that was, MostArrivals the same with each attempt at an engine counted.
	Most         int
	MostArrivals int
	// Served is the number of requests that were run in each second from the first disturbance on.
	Served []int
}

// limitPlay is a running play.
type limitPlay struct {
	*system
	clients *limitedClients
	// keepDown is set while hosts that have ended aren't started again.
	keepDown bool
}

// RunLimits runs a play of limits.
func RunLimits(t *testing.T, cfg LimitConfig) LimitResult {
	t.Helper()
	ply := &limitPlay{system: newSystem(t, Config{Seed: cfg.Seed})}
	_, ply.storeAddress = startStore(ply.system)
	for idx := range limitEngines {
		ply.addEngine(fmt.Sprintf("p%d", idx), entrytest.Plain)
	}
	ply.keys = []string{entrytest.Key}
	if !cfg.EngineLimits {
		ply.rate, ply.burst = limitRate, limitBurst
	}
	ply.bounds = limitBounds()
	// Hosts go on without the store.
	ply.bounds.RevocationIsStrict = settings.ToggleOff
	ply.configure()
	for idx := range limitHosts {
		ply.addHost(idx)
	}
	t.Cleanup(ply.saveLogs)
	for _, hos := range ply.hosts {
		ply.waitUntil("host ready", func() bool { return ply.ready(hos) })
	}
	ply.prepareEngines(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	ply.clients = ply.startClients(ctx, limitClients, entrytest.Key)
	ply.wait(calmBefore)
	start := time.Now()
	if cfg.LoseAnswers {
		ply.loseAnswers(time.Now().Add(disturbedTime))
	} else {
		ply.disturb(cfg.Disturbance)
	}
	ply.wait(calmAfter)
	cancel()
	ply.clients.wait()
	return ply.result(cfg, start)
}

func (ply *limitPlay) prepareEngines(cfg LimitConfig) {
	rate := float64(engineRate)
	for _, eng := range ply.engines {
		if cfg.EngineLimits {
			eng.rateLimit = &rate
			ply.setSignals(eng, upstreamtest.Signals{Rate: &rate})
		}
	}
}

func (ply *limitPlay) result(cfg LimitConfig, start time.Time) LimitResult {
	ply.t.Helper()
	res := LimitResult{Allowed: allowedInWindow(limitRate, limitBurst), Served: make([]int, int((disturbedTime+calmAfter)/time.Second))}
	var all []runOf
	seen := make(map[string]bool)
	for _, eng := range ply.engines {
		var runs []runOf
		for _, run := range ply.runs(eng) {
			runs = append(runs, runOf{id: run.ID, sent: ply.clients.sentAt[run.ID], at: run.At})
			if second := int(run.At.Sub(start) / time.Second); !run.At.Before(start) && second < len(res.Served) && !seen[run.ID] {
				res.Served[second]++
			}
			seen[run.ID] = true
		}
		if cfg.EngineLimits {
			res.Allowed = int(rateFactor*engineRate*rateWindow.Seconds() + rateSlack)
			res.Most = max(res.Most, mostInWindow(ply.informed(runs), rateWindow))
		}
		all = append(all, runs...)
	}
	if !cfg.EngineLimits {
		res.MostArrivals = mostInWindow(all, limitWindow)
		res.Most = mostInWindow(firstRuns(all), limitWindow)
	}
	ply.t.Logf("%s: at most %d requests (%d arrivals) in a window, %d allowed; by second %v", cfg.Disturbance, res.Most, res.MostArrivals, res.Allowed, res.Served)
	return res
}

// informed returns the requests that were sent to processes which had passed on an answer of the engine before, with
// its rate limit: the users' bound counts only these.
func (ply *limitPlay) informed(runs []runOf) []runOf {
	slices.SortFunc(runs, func(one, two runOf) int { return one.at.Compare(two.at) })
	informedAt := make(map[processID]time.Time)
	var counted []runOf
	for _, run := range runs {
		pid := ply.clients.sentTo[run.id]
		at, known := informedAt[pid]
		if !known {
			informedAt[pid] = run.at.Add(answerTime)
			continue
		}
		if run.sent.After(at) {
			counted = append(counted, run)
		}
	}
	return counted
}

// disturb disturbs the hosts for disturbedTime.
func (ply *limitPlay) disturb(dis Disturbance) {
	ply.t.Helper()
	end := time.Now().Add(disturbedTime)
	switch dis {
	case Undisturbed:
	case OverlappingStops:
		ply.stopEach(end, 500*time.Millisecond, len(ply.hosts))
	case StopsInSeries:
		ply.stopEach(end, 400*time.Millisecond, 1000)
	case StopOfHalf:
		ply.stopTogether(ply.hosts[:len(ply.hosts)/2])
	case StopOfAll:
		ply.stopTogether(ply.hosts)
	case KillsInSeries:
		ply.killEach(end, 800*time.Millisecond, 1)
	case KillsInQuickSeries:
		ply.killEach(end, 150*time.Millisecond, 1)
	case KillsOfAll:
		ply.killEach(end, 1400*time.Millisecond, len(ply.hosts))
	case PausesInTurn:
		ply.pauseEach(end, time.Second)
	case Mixed:
		ply.mix(end)
	case StoreAway:
		ply.takeStoreAway(end)
	}
	ply.wait(time.Until(end))
	ply.awaitRestarts()
}

// loseAnswers makes the engines lose some of their answers.
func (ply *limitPlay) loseAnswers(end time.Time) {
	for time.Now().Before(end) {
		for _, eng := range ply.engines {
			ply.control(eng, upstreamtest.PathFault, upstreamtest.FaultRequest{Fault: upstreamtest.DropAnswer, Times: 1})
		}
		ply.wait(loseInterval)
	}
}

// stopEach stops hosts as planned, one per interval, at most so many, and starts each again when it has ended.
func (ply *limitPlay) stopEach(end time.Time, interval time.Duration, count int) {
	for num := 0; num < count && time.Now().Before(end); num++ {
		ply.stopAndRestart(ply.hosts[num%len(ply.hosts)])
		ply.wait(interval)
	}
}

func (ply *limitPlay) stopTogether(hosts []*host) {
	for _, hos := range hosts {
		ply.stopAndRestart(hos)
	}
}

// stopAndRestart tells a host to stop, unless it stops already. It is started again when it has ended.
func (ply *limitPlay) stopAndRestart(hos *host) {
	if hos.down {
		return
	}
	hos.down = true
	hos.Terminate()
}

// restartAll starts the hosts again that have ended, and reports whether all hosts run.
func (ply *limitPlay) restartAll() bool {
	running := true
	for _, hos := range ply.hosts {
		if !hos.down {
			continue
		}
		if _, ended := hos.ExitStatus(); !ended || ply.keepDown {
			running = false
			continue
		}
		ply.startHost(hos)
	}
	return running
}

// restartInterval is how often restartAll is called while the play waits.
const restartInterval = 10 * time.Millisecond

// wait waits for the duration, and starts hosts again that have ended meanwhile.
func (ply *limitPlay) wait(dur time.Duration) {
	end := time.After(dur)
	tick := time.NewTicker(restartInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			ply.restartAll()
		case <-end:
			return
		}
	}
}

// killEach kills hosts, so many at a time, at an interval, and starts them again at once.
func (ply *limitPlay) killEach(end time.Time, interval time.Duration, together int) {
	for num := 0; time.Now().Before(end); num++ {
		for idx := range together {
			ply.killAndRestart(ply.hosts[(num*together+idx)%len(ply.hosts)])
		}
		ply.wait(interval)
	}
}

// killAndRestart kills a host, also one that is stopping. It is started again when it has ended.
func (ply *limitPlay) killAndRestart(hos *host) {
	hos.down = true
	hos.Kill()
}

func (ply *limitPlay) pauseEach(end time.Time, pause time.Duration) {
	for num := 0; time.Now().Before(end); num++ {
		hos := ply.hosts[num%len(ply.hosts)]
		hos.Freeze()
		ply.wait(pause)
		hos.Resume()
	}
}

// mix disturbs random hosts; a planned stop or a cut may last while others are killed or paused.
func (ply *limitPlay) mix(end time.Time) {
	for time.Now().Before(end) {
		hos := ply.randomHost()
		switch ply.random.IntN(5) {
		case 0:
			ply.stopAndRestart(hos)
		case 1:
			ply.killAndRestart(hos)
		case 2:
			hos.Freeze()
			ply.wait(time.Duration(ply.random.IntN(1200)) * time.Millisecond)
			hos.Resume()
		case 3:
			hos.storeLink.Silence(true, true)
		case 4:
			ply.restoreLinks()
		}
		ply.wait(time.Duration(ply.random.IntN(500)) * time.Millisecond)
	}
	ply.restoreLinks()
}

// takeStoreAway cuts all hosts from the store and stops the last two.
func (ply *limitPlay) takeStoreAway(end time.Time) {
	for _, hos := range ply.hosts {
		hos.storeLink.Cut()
	}
	ply.keepDown = true
	for _, hos := range ply.hosts[len(ply.hosts)-2:] {
		ply.stopAndRestart(hos)
	}
	ply.wait(time.Until(end))
	ply.keepDown = false
	ply.restoreLinks()
}

// awaitRestarts waits until all hosts run.
func (ply *limitPlay) awaitRestarts() {
	ply.waitUntil("all hosts run", ply.restartAll)
	for _, hos := range ply.hosts {
		ply.waitUntil("host ready again", func() bool { return ply.ready(hos) })
	}
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/processtest"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
	"lynxwell.dev/lynxwell/visitor"
)

// A play of handovers: the engines of one software version alone serve, then those of the next one join and the former
// leave, while hosts are out of step. Clients lose their streams and resume them at other hosts.

const (
	// handoverHosts, handoverEngines and handoverClients are the numbers of hosts, of engines of each version and of
	// clients.
	handoverHosts   = 4
	handoverEngines = 3
	handoverClients = 12
	// aloneTime is how long the first version alone serves, half of it while hosts are out of step.
	aloneTime = 4 * time.Second
	// maxJoinDelay and maxLeaveDelay bound the time from the loss of a host to the join of a version, and from that to
	// the leave of the former one.
	maxJoinDelay  = time.Second
	maxLeaveDelay = 4 * time.Second
	// openSlack is the time beyond affinity.OpenAfter after which streams begin at the newest version, once all hosts are
	// in step. Those sent in the servedTime after that are all served.
	openSlack  = 2 * time.Second
	servedTime = 1500 * time.Millisecond
	// maxAbsence bounds the time for which a host is out of step: longer than the time after which it concludes nothing
	// any more.
	maxAbsence = 6 * time.Second
	// absenceInterval is the mean time between the beginnings of absences.
	absenceInterval = 700 * time.Millisecond
	// handoverStep is how often absences begin and end.
	handoverStep = 50 * time.Millisecond
	// streamDeadline bounds the time of all attempts of a stream, refusedWait is the wait of a client that was refused.
	streamDeadline = 5 * time.Second
	refusedWait    = 100 * time.Millisecond
)

// handoverVersions are the versions that serve one after the other.
var handoverVersions = []string{"v1", "v1.1", "v1.2"}

// absenceStates are the states of a host's paths to other hosts while it is cut off.
var absenceStates = []upstreamtest.PathState{
	{Refused: true, OpenReset: true},
	{Silent: true, OpenSilent: true},
}

// handoverPlay is a running play.
type handoverPlay struct {
	*system
	// absences are the ends of the hosts' absences, and peersCut the states of their paths to other hosts, by position.
	absences map[int]absence
	peersCut map[int]upstreamtest.PathState
	// serving are the engines of the newest version.
	serving []*engine
}

// absence is the time in which a host is out of step.
type absence struct {
	until time.Time
	end   func()
}

// RunHandover runs a play of handovers.
func RunHandover(t *testing.T, seed uint64) {
	t.Helper()
	ply := &handoverPlay{system: newSystem(t, Config{Seed: seed}), absences: make(map[int]absence), peersCut: make(map[int]upstreamtest.PathState)}
	_, ply.storeAddress = startStore(ply.system)
	ply.serving = ply.join(handoverVersions[0])
	ply.keys = []string{entrytest.Key}
	ply.configure()
	for idx := range handoverHosts {
		ply.addHost(idx)
	}
	t.Cleanup(ply.saveLogs)
	ply.rejoinAll()
	ctx, cancel := context.WithCancel(t.Context())
	sent := ply.startStreams(ctx, seed)
	ply.play(aloneTime / 2)
	ply.rejoinAll()
	calm := time.Now()
	ply.wait(aloneTime / 2)
	joined := time.Now()
	for _, version := range handoverVersions[1:] {
		ply.handOver(version)
	}
	ply.rejoinAll()
	opened := time.Now().Add(affinity.OpenAfter + openSlack)
	for time.Now().Before(opened) {
		ply.wait(time.Until(opened))
	}
	ply.wait(servedTime)
	cancel()
	results := <-sent
	ply.checkStreams(results)
	ply.checkGoOn(results, calm, joined)
	ply.checkServed(results, opened)
}

// join starts the engines of a version.
func (ply *handoverPlay) join(version string) []*engine {
	ply.t.Helper()
	ply.t.Log(time.Now().Format("05.000"), version, "joins")
	var joining []*engine
	for num := range handoverEngines {
		eng := ply.addEngineOf(fmt.Sprintf("%s-%d", version, num), entrytest.Model, version)
		ply.register(eng, false)
		joining = append(joining, eng)
	}
	return joining
}

// handOver lets engines of a version join and the former ones leave, while at least one host is out of step.
func (ply *handoverPlay) handOver(version string) {
	ply.t.Helper()
	ply.beginAbsence()
	ply.play(ply.randomTime(maxJoinDelay))
	joining := ply.join(version)
	ply.play(ply.randomTime(maxLeaveDelay))
	ply.t.Log(time.Now().Format("05.000"), "the former version leaves")
	drains := ply.random.IntN(2) == 0
	for _, eng := range ply.serving {
		if drains {
			ply.register(eng, true)
			ply.play(ply.randomTime(maxJoinDelay))
		}
		ply.put(store.Write{Key: entrytest.EngineKey(eng.id), Delete: true, Blind: true})
	}
	ply.serving = joining
	ply.play(ply.randomTime(maxLeaveDelay))
}

func (ply *handoverPlay) randomTime(most time.Duration) time.Duration {
	return time.Duration(ply.random.Int64N(int64(most)))
}

// play begins and ends absences for a time, and makes engines break streams off.
func (ply *handoverPlay) play(during time.Duration) {
	ply.t.Helper()
	end := time.Now().Add(during)
	next := ply.nextAbsence()
	for time.Now().Before(end) {
		ply.wait(handoverStep)
		for num, abs := range ply.absences {
			if time.Now().After(abs.until) {
				ply.rejoin(num)
			}
		}
		if time.Now().After(next) {
			next = ply.nextAbsence()
			ply.breakStreams()
			ply.beginAbsence()
		}
	}
}

func (ply *handoverPlay) nextAbsence() time.Time {
	return time.Now().Add(time.Duration(float64(absenceInterval) * ply.random.ExpFloat64()))
}

// beginAbsence puts a random host out of step, unless half of them are. It cuts the host off from the store and all other
// hosts, or freezes it; or it kills all hosts at once.
func (ply *handoverPlay) beginAbsence() {
	ply.t.Helper()
	num, way, until := ply.random.IntN(len(ply.hosts)), ply.random.IntN(8), time.Now().Add(ply.randomTime(maxAbsence))
	sta := absenceStates[ply.random.IntN(len(absenceStates))]
	hos := ply.hosts[num]
	if _, absent := ply.absences[num]; absent || len(ply.absences) >= len(ply.hosts)/2 {
		return
	}
	switch {
	case way == 0:
		ply.killAll()
	case way < 3:
		ply.t.Log(time.Now().Format("05.000"), "freeze", hos.set.Name, "for", time.Until(until))
		hos.Freeze()
		ply.absences[num] = absence{until: until, end: hos.Resume}
	default:
		ply.t.Logf("%s cut off %s for %s: %+v", time.Now().Format("05.000"), hos.set.Name, time.Until(until), sta)
		if sta.Silent {
			hos.storeLink.Silence(true, true)
		} else {
			hos.storeLink.Cut()
		}
		ply.cutPeers(num, sta)
		ply.absences[num] = absence{until: until, end: func() {
			hos.storeLink.Restore()
			ply.cutPeers(num, upstreamtest.PathState{})
		}}
	}
}

// rejoin ends the absence of a host.
func (ply *handoverPlay) rejoin(num int) {
	ply.t.Helper()
	ply.t.Log(time.Now().Format("05.000"), "end of the absence of", ply.hosts[num].set.Name)
	abs := ply.absences[num]
	delete(ply.absences, num)
	abs.end()
}

// rejoinAll ends all absences and waits until all hosts are ready.
func (ply *handoverPlay) rejoinAll() {
	ply.t.Helper()
	for num := range ply.absences {
		ply.rejoin(num)
	}
	ply.checkRunning()
	for _, hos := range ply.hosts {
		ply.waitUntil(hos.set.Name+" ready", func() bool { return ply.ready(hos) })
	}
}

// killAll kills all hosts at once and starts them again. Those that are cut off stay so.
func (ply *handoverPlay) killAll() {
	ply.t.Helper()
	ply.t.Log(time.Now().Format("05.000"), "kill all hosts")
	ply.checkRunning()
	for _, hos := range ply.hosts {
		hos.Kill()
	}
	for _, hos := range ply.hosts {
		hos.Wait()
		ply.startHost(hos)
	}
}

// cutPeers sets the state of the paths between a host and all others, in both directions.
func (ply *handoverPlay) cutPeers(num int, sta upstreamtest.PathState) {
	ply.t.Helper()
	ply.peersCut[num] = sta
	for from, hos := range ply.hosts {
		states := make(processtest.PeerStates)
		for to, other := range ply.hosts {
			for _, cut := range []upstreamtest.PathState{ply.peersCut[to], ply.peersCut[from]} {
				if to != from && cut != (upstreamtest.PathState{}) {
					states[other.set.PeerAddress.String()] = cut
				}
			}
		}
		processtest.SetPeerPaths(ply.t, hos.file, states)
	}
}

// startStreams starts clients that begin streams, lose them and resume them, until the context is done. The returned
// channel delivers all streams.
func (ply *handoverPlay) startStreams(ctx context.Context, seed uint64) <-chan []sentRequest {
	// A client that has lost its stream may know no other host than one that is out of step.
	var addresses []netip.AddrPort
	for _, hos := range ply.hosts {
		addresses = append(addresses, hos.set.CallerAddress)
	}
	perClient := make(chan []sentRequest)
	for num := range handoverClients {
		random := rand.New(rand.NewPCG(seed, uint64(num)+2))
		vis := visitor.New(visitor.Config{
			Addresses: addresses, HostName: entrytest.HostName, Prefix: fmt.Sprintf("h%d-v%d", seed, num), Random: random, RefusedWait: refusedWait,
		})
		go func() {
			defer vis.Close()
			var sent []sentRequest
			for ctx.Err() == nil {
				req := visitor.Request{
					Path: "/resume/", Kind: route.KindStreaming, Resumable: true, Key: entrytest.Key, PromptTokens: 100, MaxTokens: 50,
					LoseAfter: random.IntN(streamEvents), Deadline: streamDeadline, MaxRetries: int(streamDeadline / refusedWait),
				}
				// The end of the context does not cancel a request, so that its outcome is known.
				sent = append(sent, sentRequest{request: req, result: vis.Send(context.WithoutCancel(ctx), req)})
			}
			perClient <- sent
		}()
	}
	all := make(chan []sentRequest, 1)
	go func() {
		var sent []sentRequest
		for range handoverClients {
			sent = append(sent, <-perClient...)
		}
		all <- sent
	}()
	return all
}

// checkStreams checks the answers of all streams, and that each has events of one version only.
func (ply *handoverPlay) checkStreams(sent []sentRequest) {
	ply.t.Helper()
	runs := make(map[string][]upstreamtest.Run)
	for _, eng := range ply.engines {
		for _, run := range ply.runs(eng) {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	begun := make(map[string]int)
	for _, snd := range sent {
		for _, att := range snd.result.Attempts {
			ply.checkAttempt(snd.request, att, runs[att.ID])
			if att.Resumes == "" && att.Body != "" && att.Status == 200 {
				begun[upstreamtest.SignedVersion(att.Header.Get("Response-Signature"), att.ID)]++
			}
		}
	}
	ply.t.Logf("%d streams, begun by version: %v", len(sent), begun)
	ply.checkVersions(sent)
}

// checkServed checks the streams that were sent once all hosts had been in step for long enough to let streams begin at
// the newest version: all are served.
func (ply *handoverPlay) checkServed(sent []sentRequest, opened time.Time) {
	ply.t.Helper()
	served := 0
	for _, snd := range sent {
		first, last := snd.result.Attempts[0], snd.result.Last()
		switch {
		case first.Sent.Before(opened):
		case last.Served():
			served++
		default:
			ply.t.Errorf("after all hosts were in step, the stream of %s ended with status %d, error %v: %s", first.ID, last.Status, last.Err, last.Body)
		}
	}
	assert.Check(ply.t, served > 0, "clients send streams after all hosts were in step")
}

// checkGoOn checks the streams that clients have lost and resumed while the first version alone served: none of them is
// refused for good, and all go on that were sent and ended while all hosts were in step.
func (ply *handoverPlay) checkGoOn(sent []sentRequest, calm, joined time.Time) {
	ply.t.Helper()
	lost, wentOn, lostCalm := 0, 0, 0
	for _, snd := range sent {
		first, last := snd.result.Attempts[0], snd.result.Last()
		if last.Resumes == "" || last.Sent.Add(last.Took).After(joined) {
			continue
		}
		lost++
		isCalm := first.Sent.After(calm)
		if isCalm {
			lostCalm++
		}
		switch {
		case last.Served():
			wentOn++
		case isCalm || last.GuaranteesNotRun():
			ply.t.Errorf("the stream of %s was lost while one version alone served, and ended with status %d, error %v: %s", first.ID, last.Status, last.Err, last.Body)
		}
	}
	ply.t.Logf("while one version alone served, %d of %d lost streams went on; %d were lost while all hosts were in step", wentOn, lost, lostCalm)
	assert.Check(ply.t, lostCalm > 0, "clients lose streams while one version alone serves")
}

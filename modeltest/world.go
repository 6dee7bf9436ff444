// Package modeltest drives the pure cores of a few hosts together, without
// network or clock: one small list of messages, and faults at any moment. It is
// for the model checks only.
//
// # Usage
//
//	wor := modeltest.NewWorld(modeltest.Config{Domains: []string{"a", "b", "c"}})
//	for _, cho := range wor.Choices() { ... }
//	wor.Take(cho)
//	err := wor.Check() // what must hold after every step
//
// Everything that can happen next is a Choice; a test draws one at random or
// tries them all. The same choices always lead to the same world.
package modeltest

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/coordinator"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// Config holds what a World is made from.
type Config struct {
	// Domains are the failure domains of the hosts, one a host.
	Domains []string
	// Engines is the number of engines, each with one slot; 0 stands for 3.
	Engines int
	// Uniques are the requests' own parts of their ids; nil stands for one request.
	Uniques []string
	// Ranks are the requests' ranks, by their own part; 0 stands for 10.
	Ranks map[string]int
	// Slots is each engine's slots, default 2; MaxWaiting each line's bound.
	Slots      int
	MaxWaiting int
	// MaxFaults bounds the faults; MaxRepeats the arrivals of each request.
	MaxFaults  int
	MaxRepeats int
	// Restarts lets killed and stopped hosts start anew.
	Restarts bool
	// Stops lets hosts make planned stops.
	Stops bool
	// DialErrors lets engines be unreachable, so that nothing is dispatched.
	DialErrors bool
	// Timeouts lets time pass until deadlines.
	Timeouts bool
}

// World is the state of all hosts and of what is on its way between them.
type World struct {
	cfg       Config
	now       time.Time
	conf      resource.Configuration
	hosts     []*simHost
	views     []view.View
	sessions  []*session
	questions []*question
	relays    []*relay
	runs      []*run
	faults    int
	repeats   map[request.ID]int
	ids       []request.ID
	// dispatched counts, by id, what reached an engine; told holds the final
	// outcomes that callers were told.
	dispatched map[request.ID]int
	told       map[request.ID]request.Outcome
	callers    gateway.CallerID
	steps      int
	shed       map[request.ID]bool
	violation  error
}

// simHost is one host's two cores.
type simHost struct {
	number  int
	domain  string
	starts  int
	epoch   request.Epoch
	gat     *gateway.Core
	cor     *coordinator.Core
	alive   bool
	frozen  bool
	leaving bool
	known   int
}

// session is one gateway's session with one coordinator: a queue each way.
type session struct {
	gat, cor request.Epoch
	broken   bool
	gatLost  bool
	corLost  bool
	toCor    []reservation.Message
	toGat    []reservation.Message
}

// question is a fence, vouch or unvouch on its way, or its answer.
type question struct {
	from, to request.Epoch
	fence    *reservation.Fence
	answer   *reservation.FenceAnswer
	vouch    *reservation.Vouch
	unvouch  *reservation.Unvouch
	release  *reservation.UnvouchAnswer
}

// relay is a caller's request on its way from one host to another.
type relay struct {
	arrived gateway.Arrived
	from    request.Epoch
	to      request.Epoch
	// moved is set when the request was fenced away: a failure is told as Unknown.
	moved bool
}

// run is a dispatch or a resumption at a host.
type run struct {
	host   request.Epoch
	id     request.ID
	resume bool
	// sent is set once the engine has the request.
	sent bool
}

// hostEpochs is the distance between two hosts' epochs.
const hostEpochs = 1000

// deadline is the time that each request has.
const deadline = 10 * time.Second

// NewWorld returns a world in which all hosts run, know the first view and are
// connected.
func NewWorld(cfg Config) *World {
	if cfg.Engines == 0 {
		cfg.Engines = 3
	}
	if cfg.Slots == 0 {
		cfg.Slots = 2
	}
	if cfg.Uniques == nil {
		cfg.Uniques = []string{"x"}
	}
	wor := &World{
		cfg: cfg, now: time.Unix(1000, 0), conf: configuration(cfg),
		repeats: make(map[request.ID]int), dispatched: make(map[request.ID]int), told: make(map[request.ID]request.Outcome), shed: make(map[request.ID]bool),
	}
	for num, domain := range cfg.Domains {
		wor.hosts = append(wor.hosts, &simHost{number: num + 1, domain: domain})
		wor.begin(wor.hosts[num])
	}
	wor.publish()
	for _, hst := range wor.hosts {
		wor.learn(hst)
	}
	for _, hst := range wor.hosts {
		for _, other := range wor.hosts {
			wor.open(hst, other)
		}
	}
	wor.settle()
	wor.now = wor.now.Add(time.Second)
	for _, hst := range wor.hosts {
		wor.coordinate(hst, coordinator.Tick{})
	}
	for num, unique := range cfg.Uniques {
		owner := wor.hosts[num%len(wor.hosts)]
		wor.ids = append(wor.ids, request.ID{Prefix: request.Prefix{View: 1, Epoch: owner.epoch, Window: 1}, Unique: unique})
	}
	return wor
}

// settle delivers what the opening of the sessions has sent.
func (wor *World) settle() {
	for _, ses := range wor.sessions {
		for _, msg := range ses.toCor {
			wor.coordinate(wor.host(ses.cor), coordinator.Received{From: ses.gat, Message: msg})
		}
		ses.toCor = nil
	}
}

func configuration(cfg Config) resource.Configuration {
	entries := []resource.Entry{
		{Revision: 1, Resource: resource.Tier{Name: "Normal", Rank: 10}},
		{Revision: 1, Resource: resource.Service{Name: "menus", Protocol: resource.ProtocolModel, MaxWaiting: cfg.MaxWaiting}},
		{Revision: 1, Resource: resource.ClientAccount{Name: "care", Tiers: []string{"Normal"}}},
	}
	for num := range cfg.Engines {
		entries = append(entries, resource.Entry{Revision: 1, Resource: resource.Engine{
			Name: fmt.Sprintf("engine-%d", num), Service: "menus", Slots: cfg.Slots, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}})
	}
	return resource.NewConfiguration(1, entries)
}

// begin starts a host's process, with a new epoch.
func (wor *World) begin(hst *simHost) {
	hst.starts++
	hst.epoch = request.Epoch(hst.number*hostEpochs + hst.starts)
	hst.gat = gateway.New(gateway.Config{Self: hst.epoch, Started: wor.now, Window: time.Hour})
	hst.cor = coordinator.New(coordinator.Config{Self: hst.epoch, Retention: 4 * time.Hour})
	hst.alive, hst.frozen, hst.leaving, hst.known = true, false, false, 0
	wor.manage(hst, gateway.ConfigurationChanged{Configuration: wor.conf})
	wor.coordinate(hst, coordinator.ConfigurationChanged{Configuration: wor.conf})
	wor.manage(hst, gateway.PeerUp{Peer: hst.epoch})
}

// publish makes a view of the hosts that run.
func (wor *World) publish() {
	vie := view.View{Number: uint64(len(wor.views) + 1)}
	for _, hst := range wor.hosts {
		if hst.alive {
			vie.Members = append(vie.Members, wor.member(hst))
		}
	}
	wor.views = append(wor.views, vie)
}

func (wor *World) member(hst *simHost) view.Member {
	return view.Member{Name: fmt.Sprintf("host-%d", hst.number), Epoch: hst.epoch, Domain: hst.domain, Leaving: hst.leaving}
}

// learn brings the next view that a host doesn't know yet.
func (wor *World) learn(hst *simHost) {
	vie := wor.views[hst.known]
	hst.known++
	wor.coordinate(hst, coordinator.ViewChanged{View: vie})
	wor.manage(hst, gateway.ViewChanged{View: vie})
}

func (wor *World) host(epo request.Epoch) *simHost {
	for _, hst := range wor.hosts {
		if hst.epoch == epo {
			return hst
		}
	}
	return nil
}

// running returns the host with the epoch if it can do anything now.
func (wor *World) running(epo request.Epoch) *simHost {
	hst := wor.host(epo)
	if hst == nil || !hst.alive || hst.frozen {
		return nil
	}
	return hst
}

func (wor *World) session(gat, cor request.Epoch) *session {
	for _, ses := range wor.sessions {
		if ses.gat == gat && ses.cor == cor && !ses.gatLost {
			return ses
		}
	}
	return nil
}

// open opens a session from one host's gateway to another's coordinator.
func (wor *World) open(from, to *simHost) {
	if from == to || wor.session(from.epoch, to.epoch) != nil {
		return
	}
	for _, ses := range slices.Clone(wor.sessions) {
		if ses.gat == from.epoch && ses.cor == to.epoch && !ses.corLost {
			wor.loseAtCoordinator(ses)
		}
	}
	wor.sessions = append(wor.sessions, &session{gat: from.epoch, cor: to.epoch})
	wor.coordinate(from, coordinator.HostUp{Host: to.epoch})
	wor.manage(from, gateway.PeerUp{Peer: to.epoch})
}

func (wor *World) loseAtGateway(ses *session) {
	ses.gatLost = true
	ses.toGat = nil
	if hst := wor.host(ses.gat); hst != nil && hst.alive {
		wor.coordinate(hst, coordinator.HostLost{Host: ses.cor})
		wor.manage(hst, gateway.PeerLost{Peer: ses.cor})
	}
	wor.sweep()
}

func (wor *World) loseAtCoordinator(ses *session) {
	ses.corLost = true
	ses.toCor = nil
	if hst := wor.host(ses.cor); hst != nil && hst.alive {
		wor.coordinate(hst, coordinator.GatewayLost{Gateway: ses.gat})
	}
	wor.sweep()
}

// sweep drops sessions that both ends have lost.
func (wor *World) sweep() {
	wor.sessions = slices.DeleteFunc(wor.sessions, func(ses *session) bool { return ses.gatLost && ses.corLost })
}

// manage brings an event to a host's gateway and takes its actions.
func (wor *World) manage(hst *simHost, evt gateway.Event) {
	actions := hst.gat.Handle(wor.now, evt)
	if wor.cfg.MaxWaiting > 0 {
		wor.noteSheds(hst)
	}
	for _, act := range actions {
		wor.gatewayAction(hst, evt, act)
	}
}

func (wor *World) gatewayAction(hst *simHost, evt gateway.Event, act gateway.Action) {
	switch act := act.(type) {
	case gateway.Attach, gateway.Cancel, gateway.Forget:
	case gateway.Answer:
		wor.tell(idOf(evt), act.Final)
	case gateway.Finish:
		wor.finish(hst, act)
	case gateway.Relay:
		wor.relays = append(wor.relays, &relay{arrived: act.Arrived, from: hst.epoch, to: act.To.Epoch})
	case gateway.Dispatch:
		wor.runs = append(wor.runs, &run{host: hst.epoch, id: act.ID})
	case gateway.Resume:
		wor.runs = append(wor.runs, &run{host: hst.epoch, id: act.ID, resume: true})
	case gateway.Send:
		wor.toCoordinator(hst, act)
	case gateway.AskFence:
		fen := act.Fence
		wor.questions = append(wor.questions, &question{from: hst.epoch, to: act.To.Epoch, fence: &fen})
	case gateway.SendVouch:
		vou := act.Vouch
		wor.questions = append(wor.questions, &question{from: hst.epoch, to: act.To.Epoch, vouch: &vou})
	case gateway.SendUnvouch:
		unv := act.Unvouch
		wor.questions = append(wor.questions, &question{from: hst.epoch, to: act.To.Epoch, unvouch: &unv})
	}
}

func idOf(evt gateway.Event) request.ID {
	switch evt := evt.(type) {
	case gateway.Arrived:
		return evt.ID
	case gateway.RelayFailed:
		return evt.ID
	default:
		return request.ID{}
	}
}

func (wor *World) finish(hst *simHost, fin gateway.Finish) {
	if fin.Final.Cause != gateway.CauseMoved {
		wor.tell(fin.ID, fin.Final)
		return
	}
	wor.callers++
	arr := wor.arrivalOf(fin.ID)
	arr.Relayed = true
	wor.relays = append(wor.relays, &relay{arrived: arr, from: hst.epoch, to: fin.Final.Holder.Epoch, moved: true})
}

func (wor *World) tell(id request.ID, fin gateway.Final) {
	if wor.told[id] != request.NotRun {
		wor.told[id] = fin.Outcome
	}
}

func (wor *World) toCoordinator(hst *simHost, snd gateway.Send) {
	if snd.To == hst.epoch {
		wor.coordinate(hst, coordinator.Received{From: hst.epoch, Message: snd.Message})
		return
	}
	if ses := wor.session(hst.epoch, snd.To); ses != nil && !ses.broken {
		ses.toCor = append(ses.toCor, snd.Message)
	}
}

// coordinate brings an event to a host's coordinator and takes its actions.
func (wor *World) coordinate(hst *simHost, evt coordinator.Event) {
	wor.coordinatorActions(hst, hst.cor.Handle(wor.now, evt))
}

func (wor *World) coordinatorActions(hst *simHost, actions []coordinator.Action) {
	for _, act := range actions {
		snd, isSend := act.(coordinator.Send)
		if !isSend {
			continue
		}
		if snd.To == hst.epoch {
			wor.manage(hst, gateway.Received{From: hst.epoch, Message: snd.Message, Load: snd.Load})
			continue
		}
		for _, ses := range wor.sessions {
			if ses.gat == snd.To && ses.cor == hst.epoch && !ses.corLost && !ses.broken {
				ses.toGat = append(ses.toGat, snd.Message)
			}
		}
	}
}

func (wor *World) arrivalOf(id request.ID) gateway.Arrived {
	rank := wor.rankOf(id)
	return gateway.Arrived{Caller: wor.callers, ID: id, Spec: gateway.Spec{
		Service: "menus", Tier: fmt.Sprint(rank), Rank: rank, Account: "care", PromptTokens: 10, MaxTokens: 10, Remaining: deadline,
	}}
}

// Steps returns how many choices were taken.
func (wor *World) Steps() int {
	return wor.steps
}

// Summary counts what came of the requests.
type Summary struct {
	Dispatched int
	NotRun     int
	Unknown    int
	Shed       int
}

// Summary returns what came of the requests so far.
func (wor *World) Summary() Summary {
	sum := Summary{Dispatched: len(wor.dispatched), Shed: len(wor.shed)}
	for _, outcome := range wor.told {
		switch outcome {
		case request.NotRun:
			sum.NotRun++
		case request.Unknown:
			sum.Unknown++
		case request.Ran:
		}
	}
	return sum
}

// ViolationError reports that something that must always hold doesn't.
type ViolationError struct {
	ID     request.ID
	Reason string
}

// Error names the request and the reason.
func (ver *ViolationError) Error() string {
	return fmt.Sprintf("request %s: %s", ver.ID, ver.Reason)
}

// Check returns a *ViolationError unless every request was dispatched at most
// once, and none of which a caller was told NotRun was dispatched.
func (wor *World) Check() error {
	if wor.violation != nil {
		return wor.violation
	}
	for id, count := range wor.dispatched {
		if count > 1 {
			return &ViolationError{ID: id, Reason: fmt.Sprintf("dispatched %d times", count)}
		}
		if wor.told[id] == request.NotRun {
			return &ViolationError{ID: id, Reason: "a caller was told NotRun, but it was dispatched"}
		}
	}
	return nil
}

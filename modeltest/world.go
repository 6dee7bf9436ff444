// Package modeltest simulates the gateway and coordinator cores of a few hosts,
// without network or clock: messages are queued in memory, and a fault can occur
// at any step. It is for model checking only.
//
// # Usage
//
//	wor := modeltest.NewWorld(modeltest.Config{Domains: []string{"a", "b", "c"}})
//	for _, cho := range wor.Choices() { ... }
//	wor.Take(cho)
//	err := wor.Check() // the invariants, after every step
//
// Every possible next step is a Choice; a test takes a random one, or explores all
// of them. The same choices always lead to the same state.
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

// Config holds the parameters of a World.
type Config struct {
	// Domains holds the failure domain of each host.
	Domains []string
	// Engines is the number of engines; 0 stands for 3.
	Engines int
	// Uniques holds the unique part of each request's id; nil stands for one request.
	Uniques []string
	// Ranks maps the unique part of a request's id to its rank; 0 stands for 10.
	Ranks map[string]int
	// Slots is the number of slots of each engine; 0 stands for 2. MaxWaiting is the maximum
	// length of each queue; with 0, sheds aren't checked.
	Slots      int
	MaxWaiting int
	// MaxFaults bounds the number of faults, MaxRetries the number of retries of each request.
	MaxFaults  int
	MaxRetries int
	// Restarts allows killed and stopped hosts to restart.
	Restarts bool
	// Stops allows planned stops of hosts.
	Stops bool
	// DialErrors allows dispatches to fail because the engine can't be reached.
	DialErrors bool
	// Timeouts allows the clock to advance, so that deadlines expire.
	Timeouts bool
}

// World is the state of all hosts and of the messages in transit between them.
type World struct {
	cfg      Config
	now      time.Time
	conf     resource.Configuration
	hosts    []*simHost
	views    []view.View
	sessions []*session
	queries  []*query
	relays   []*relay
	runs     []*run
	faults   int
	// attempts counts the arrivals of each request from clients.
	attempts map[request.ID]int
	ids      []request.ID
	// dispatched counts the dispatches that reached an engine, by request id; reported
	// holds the outcomes that clients received, see recordOutcome.
	dispatched map[request.ID]int
	reported   map[request.ID]request.Outcome
	// callers is the id of the most recent client; ids count up from 1.
	callers gateway.ClientID
	steps   int
	// shed holds the requests that a gateway has shed, violation the most recent violation of the
	// order in which requests are shed.
	shed      map[request.ID]bool
	violation error
}

// simHost is a host with its gateway and coordinator cores.
type simHost struct {
	number   int
	domain   string
	starts   int
	epoch    request.Epoch
	gat      *gateway.Core
	cor      *coordinator.Core
	alive    bool
	frozen   bool
	draining bool
	// receivedViews is the number of published views that the host has received.
	receivedViews int
}

// session is a session of a gateway with a coordinator. It queues messages in each direction.
type session struct {
	gat, cor request.Epoch
	// broken is set once the session has failed, gatLost and corLost once the gateway and the
	// coordinator have detected that.
	broken  bool
	gatLost bool
	corLost bool
	toCor   []reservation.Message
	toGat   []reservation.Message
}

// query is a fence, an attestation or the revocation of an attestation in transit. A fence or
// revocation that has reached its target carries the answer back.
type query struct {
	from, to         request.Epoch
	fence            *reservation.Fence
	answer           *reservation.FenceAnswer
	attestation      *reservation.Attestation
	revocation       *reservation.Revocation
	revocationAnswer *reservation.RevocationAnswer
}

// relay is a client's request in transit from one host to another.
type relay struct {
	arrived gateway.Arrived
	from    request.Epoch
	to      request.Epoch
	// moved is set if another host fenced the request. The failure of such a relay is not
	// reported to the gateway.
	moved bool
}

// run is a dispatch by a host, or the resumption of a dispatch.
type run struct {
	host   request.Epoch
	id     request.ID
	resume bool
	// sent is set once the request has reached the engine.
	sent bool
}

// epochStride separates the epochs of two hosts: the first epoch of host 2 is 2001.
const epochStride = 1000

// requestTimeout is the time from the arrival of a request to its deadline.
const requestTimeout = 10 * time.Second

// NewWorld returns a World in which all hosts run, have the first view and are
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
		attempts: make(map[request.ID]int), dispatched: make(map[request.ID]int), reported: make(map[request.ID]request.Outcome), shed: make(map[request.ID]bool),
	}
	for num, domain := range cfg.Domains {
		wor.hosts = append(wor.hosts, &simHost{number: num + 1, domain: domain})
		wor.start(wor.hosts[num])
	}
	wor.publish()
	for _, hst := range wor.hosts {
		wor.deliverView(hst)
	}
	for _, hst := range wor.hosts {
		for _, other := range wor.hosts {
			wor.open(hst, other)
		}
	}
	wor.deliverInitialMessages()
	wor.now = wor.now.Add(time.Second)
	for _, hst := range wor.hosts {
		wor.handleAtCoordinator(hst, coordinator.Tick{})
	}
	for num, unique := range cfg.Uniques {
		owner := wor.hosts[num%len(wor.hosts)]
		wor.ids = append(wor.ids, request.ID{Prefix: request.Prefix{View: 1, Epoch: owner.epoch, Window: 1}, Unique: unique})
	}
	return wor
}

// deliverInitialMessages delivers the messages that gateways sent to coordinators when the
// sessions were opened.
func (wor *World) deliverInitialMessages() {
	for _, ses := range wor.sessions {
		for _, msg := range ses.toCor {
			wor.handleAtCoordinator(wor.host(ses.cor), coordinator.Received{From: ses.gat, Message: msg})
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

// start starts a host with new cores and a new epoch.
func (wor *World) start(hst *simHost) {
	hst.starts++
	hst.epoch = request.Epoch(hst.number*epochStride + hst.starts)
	hst.gat = gateway.New(gateway.Config{Self: hst.epoch, Started: wor.now, Window: time.Hour})
	hst.cor = coordinator.New(coordinator.Config{Self: hst.epoch, Retention: 4 * time.Hour})
	hst.alive, hst.frozen, hst.draining, hst.receivedViews = true, false, false, 0
	wor.handleAtGateway(hst, gateway.ConfigurationChanged{Configuration: wor.conf})
	wor.handleAtCoordinator(hst, coordinator.ConfigurationChanged{Configuration: wor.conf})
	wor.handleAtGateway(hst, gateway.PeerUp{Peer: hst.epoch})
}

// publish adds a view of the hosts that are alive, including frozen ones.
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
	return view.Member{Name: fmt.Sprintf("host-%d", hst.number), Epoch: hst.epoch, Domain: hst.domain, Draining: hst.draining}
}

// deliverView delivers the next published view to a host.
func (wor *World) deliverView(hst *simHost) {
	vie := wor.views[hst.receivedViews]
	hst.receivedViews++
	wor.handleAtCoordinator(hst, coordinator.ViewChanged{View: vie})
	wor.handleAtGateway(hst, gateway.ViewChanged{View: vie})
}

// host returns the host with the epoch, or nil if no host has it any more.
func (wor *World) host(epo request.Epoch) *simHost {
	for _, hst := range wor.hosts {
		if hst.epoch == epo {
			return hst
		}
	}
	return nil
}

// running returns the host with the epoch, or nil if the host is down or frozen.
func (wor *World) running(epo request.Epoch) *simHost {
	hst := wor.host(epo)
	if hst == nil || !hst.alive || hst.frozen {
		return nil
	}
	return hst
}

// session returns the session that the gateway has not lost, or nil.
func (wor *World) session(gat, cor request.Epoch) *session {
	for _, ses := range wor.sessions {
		if ses.gat == gat && ses.cor == cor && !ses.gatLost {
			return ses
		}
	}
	return nil
}

// open opens a session from a host's gateway to another host's coordinator.
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
	wor.handleAtCoordinator(from, coordinator.HostUp{Host: to.epoch})
	wor.handleAtGateway(from, gateway.PeerUp{Peer: to.epoch})
}

func (wor *World) loseAtGateway(ses *session) {
	ses.gatLost = true
	ses.toGat = nil
	if hst := wor.host(ses.gat); hst != nil && hst.alive {
		wor.handleAtCoordinator(hst, coordinator.HostLost{Host: ses.cor})
		wor.handleAtGateway(hst, gateway.PeerLost{Peer: ses.cor})
	}
	wor.removeLostSessions()
}

func (wor *World) loseAtCoordinator(ses *session) {
	ses.corLost = true
	ses.toCor = nil
	if hst := wor.host(ses.cor); hst != nil && hst.alive {
		wor.handleAtCoordinator(hst, coordinator.GatewayLost{Gateway: ses.gat})
	}
	wor.removeLostSessions()
}

// removeLostSessions removes the sessions whose loss both ends have detected.
func (wor *World) removeLostSessions() {
	wor.sessions = slices.DeleteFunc(wor.sessions, func(ses *session) bool { return ses.gatLost && ses.corLost })
}

// handleAtGateway passes an event to a host's gateway and executes the resulting actions.
func (wor *World) handleAtGateway(hst *simHost, evt gateway.Event) {
	actions := hst.gat.Handle(wor.now, evt)
	if wor.cfg.MaxWaiting > 0 {
		wor.recordSheds(hst)
	}
	for _, act := range actions {
		wor.gatewayAction(hst, evt, act)
	}
}

func (wor *World) gatewayAction(hst *simHost, evt gateway.Event, act gateway.Action) {
	switch act := act.(type) {
	case gateway.Attach, gateway.Cancel, gateway.Forget:
	case gateway.Answer:
		wor.recordOutcome(idOf(evt), act.Final)
	case gateway.Finish:
		wor.finish(hst, act)
	case gateway.Relay:
		wor.relays = append(wor.relays, &relay{arrived: act.Arrived, from: hst.epoch, to: act.To.Epoch})
	case gateway.Dispatch:
		wor.runs = append(wor.runs, &run{host: hst.epoch, id: act.ID})
	case gateway.Resume:
		wor.runs = append(wor.runs, &run{host: hst.epoch, id: act.ID, resume: true})
	case gateway.Send:
		wor.sendToCoordinator(hst, act)
	case gateway.SendFence:
		fen := act.Fence
		wor.queries = append(wor.queries, &query{from: hst.epoch, to: act.To.Epoch, fence: &fen})
	case gateway.SendAttestation:
		att := act.Attestation
		wor.queries = append(wor.queries, &query{from: hst.epoch, to: act.To.Epoch, attestation: &att})
	case gateway.SendRevocation:
		rev := act.Revocation
		wor.queries = append(wor.queries, &query{from: hst.epoch, to: act.To.Epoch, revocation: &rev})
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

// finish records the final outcome of a request, or relays the request to the gateway that has
// taken it over.
func (wor *World) finish(hst *simHost, fin gateway.Finish) {
	if fin.Final.Cause != gateway.CauseMoved {
		wor.recordOutcome(fin.ID, fin.Final)
		return
	}
	wor.callers++
	arr := wor.arrivalOf(fin.ID)
	arr.Relayed = true
	wor.relays = append(wor.relays, &relay{arrived: arr, from: hst.epoch, to: fin.Final.Holder.Epoch, moved: true})
}

// recordOutcome records an outcome that a client received. NotRun is not replaced, since Check
// compares it with the dispatches.
func (wor *World) recordOutcome(id request.ID, fin gateway.Final) {
	if wor.reported[id] != request.NotRun {
		wor.reported[id] = fin.Outcome
	}
}

func (wor *World) sendToCoordinator(hst *simHost, snd gateway.Send) {
	if snd.To == hst.epoch {
		wor.handleAtCoordinator(hst, coordinator.Received{From: hst.epoch, Message: snd.Message})
		return
	}
	if ses := wor.session(hst.epoch, snd.To); ses != nil && !ses.broken {
		ses.toCor = append(ses.toCor, snd.Message)
	}
}

// handleAtCoordinator passes an event to a host's coordinator and executes the resulting actions.
func (wor *World) handleAtCoordinator(hst *simHost, evt coordinator.Event) {
	wor.coordinatorActions(hst, hst.cor.Handle(wor.now, evt))
}

func (wor *World) coordinatorActions(hst *simHost, actions []coordinator.Action) {
	for _, act := range actions {
		snd, isSend := act.(coordinator.Send)
		if !isSend {
			continue
		}
		if snd.To == hst.epoch {
			wor.handleAtGateway(hst, gateway.Received{From: hst.epoch, Message: snd.Message, Load: snd.Load})
			continue
		}
		for _, ses := range wor.sessions {
			if ses.gat == snd.To && ses.cor == hst.epoch && !ses.corLost && !ses.broken {
				ses.toGat = append(ses.toGat, snd.Message)
			}
		}
	}
}

// arrivalOf returns the arrival of a request from the client whose id is wor.callers.
func (wor *World) arrivalOf(id request.ID) gateway.Arrived {
	rank := wor.rankOf(id)
	return gateway.Arrived{Client: wor.callers, ID: id, Spec: gateway.Spec{
		Service: "menus", Tier: fmt.Sprint(rank), Rank: rank, Account: "care", PromptTokens: 10, MaxTokens: 10, Remaining: requestTimeout,
	}}
}

// Steps returns the number of choices taken.
func (wor *World) Steps() int {
	return wor.steps
}

// Summary counts the requests by result.
type Summary struct {
	Dispatched int
	NotRun     int
	Unknown    int
	Shed       int
}

// Summary returns the results of the requests so far.
func (wor *World) Summary() Summary {
	sum := Summary{Dispatched: len(wor.dispatched), Shed: len(wor.shed)}
	for _, outcome := range wor.reported {
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

// ViolationError reports the violation of an invariant by a request.
type ViolationError struct {
	ID     request.ID
	Reason string
}

// Error returns the request's id and the reason.
func (ver *ViolationError) Error() string {
	return fmt.Sprintf("request %s: %s", ver.ID, ver.Reason)
}

// Check returns a *ViolationError if a request was dispatched more than once, was
// dispatched although a client received the outcome NotRun, or was shed before a
// request of a lower rank.
func (wor *World) Check() error {
	if wor.violation != nil {
		return wor.violation
	}
	for id, count := range wor.dispatched {
		if count > 1 {
			return &ViolationError{ID: id, Reason: fmt.Sprintf("dispatched %d times", count)}
		}
		if wor.reported[id] == request.NotRun {
			return &ViolationError{ID: id, Reason: "a client received NotRun, but the request was dispatched"}
		}
	}
	return nil
}

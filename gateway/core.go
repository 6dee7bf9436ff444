// Package gateway implements the decision core of the gateway role: it decides
// when a request is reserved, dispatched, relayed, resumed or closed.
//
// # Usage
//
//	gat := gateway.New(gateway.Config{Self: epoch, Started: now})
//	actions := gat.Handle(now, gateway.Arrived{Client: 1, ID: id, Spec: spec})
//
// The core is a deterministic state machine: it takes events with their time and
// returns actions. It uses no clock, goroutine, network or randomness, and a Core
// must not be used by several goroutines at once.
//
// The gateway whose epoch is in a request's id owns the request. The request is
// dispatched only on a grant from a coordinator outside that gateway's failure
// domain, unless all hosts are in one domain. The loss of one domain then never loses
// both the gateway's and the coordinator's record of a request.
package gateway

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// Config configures a Core. Zero durations select the defaults.
type Config struct {
	// Self is the epoch of this process.
	Self request.Epoch
	// Started is when the process started. Windows are counted from it.
	Started time.Time
	// Window is the length of one window of request ids.
	Window time.Duration
	// CloseTimeout bounds the wait for a granter's confirmation that a request never
	// runs, and for the answer to an eviction.
	CloseTimeout time.Duration
	// OrphanGrace is how long a request continues without an attached client.
	OrphanGrace time.Duration
	// NoCoordinatorTimeout is how long a request waits while no coordinator is available.
	NoCoordinatorTimeout time.Duration
	// MoveAfter is how long a reservation waits before it may move to a
	// coordinator with a free slot.
	MoveAfter time.Duration
}

// The defaults of Config.
const (
	DefaultWindow               = 5 * time.Minute
	DefaultCloseTimeout         = time.Second
	DefaultOrphanGrace          = 10 * time.Second
	DefaultNoCoordinatorTimeout = 2 * time.Second
	DefaultMoveAfter            = 250 * time.Millisecond
)

// WindowsKept is the number of windows, including the current one, whose ids are
// accepted.
const WindowsKept = 3

// Core is the gateway role of one host.
type Core struct {
	cfg    Config
	conf   resource.Configuration
	views  view.History
	shares map[string][]view.Share
	peers  map[request.Epoch]*peerState
	table  *table
	lost   map[request.Epoch]*lostState
	// unreachable are the hosts without a session; other hosts coordinate their engines.
	unreachable map[request.Epoch]bool
	limits      *limiter
	sequence    uint64
	draining    bool
	actions     []Action
}

// peerState is the gateway's state of one coordinator epoch.
type peerState struct {
	up    bool
	loads map[string]*loadState
}

// New returns a Core for a process that has just started.
func New(cfg Config) *Core {
	setDefault(&cfg.Window, DefaultWindow)
	setDefault(&cfg.CloseTimeout, DefaultCloseTimeout)
	setDefault(&cfg.OrphanGrace, DefaultOrphanGrace)
	setDefault(&cfg.NoCoordinatorTimeout, DefaultNoCoordinatorTimeout)
	setDefault(&cfg.MoveAfter, DefaultMoveAfter)
	return &Core{
		cfg:         cfg,
		views:       view.NewHistory(),
		peers:       make(map[request.Epoch]*peerState),
		table:       newTable(),
		lost:        make(map[request.Epoch]*lostState),
		unreachable: make(map[request.Epoch]bool),
		limits:      newLimiter(),
	}
}

func setDefault(dur *time.Duration, def time.Duration) {
	if *dur == 0 {
		*dur = def
	}
}

// WindowAt returns the number of the window at the time now; the first is 1.
func WindowAt(started time.Time, length time.Duration, now time.Time) uint64 {
	return uint64(max(0, now.Sub(started))/length) + 1
}

// Window returns the number of the window at the time now.
func (gat *Core) Window(now time.Time) uint64 {
	return WindowAt(gat.cfg.Started, gat.cfg.Window, now)
}

// InFlight returns the number of requests without a final answer.
func (gat *Core) InFlight() int {
	return len(gat.table.active)
}

// Handle applies one event and returns the actions to carry out, in order.
func (gat *Core) Handle(now time.Time, evt Event) []Action {
	gat.actions = nil
	switch evt := evt.(type) {
	case Arrived:
		gat.arrived(now, evt)
	case ClientLeft:
		gat.clientLeft(now, evt.ID)
	case RelayFailed:
		gat.relayFailed(now, evt)
	case PeerUp:
		gat.peerUp(now, evt.Peer)
	case PeerLost:
		gat.peerLost(now, evt.Peer)
	case PeerUnreachable:
		gat.peerUnreachable(now, evt.Peer)
	case Received:
		gat.received(now, evt)
	case FenceAnswered:
		gat.fenceAnswered(now, evt)
	case FenceFailed:
		gat.fenceFailed(now, evt)
	case RevocationAnswered:
		gat.revocationAnswered(evt)
	case EngineDone:
		gat.engineDone(now, evt)
	case ViewChanged:
		gat.viewChanged(now, evt.View)
	case ConfigurationChanged:
		gat.conf = evt.Configuration
		gat.reroute(now)
	case Drain:
		gat.draining = true
	case Tick:
		gat.tick(now)
	}
	return gat.actions
}

func (gat *Core) emit(act Action) {
	gat.actions = append(gat.actions, act)
}

func (gat *Core) send(to request.Epoch, msg reservation.Message) {
	gat.emit(Send{To: to, Message: msg})
}

func (gat *Core) viewChanged(now time.Time, vie view.View) {
	newest := vie.Number > gat.views.Newest().Number
	gat.views.Add(vie)
	gat.forgetHosts()
	if !newest {
		// A past view only determines the granters of its ids.
		return
	}
	gat.reroute(now)
}

// forgetHosts drops the state of epochs that aren't in any remembered view: no id
// that is still accepted can refer to them.
func (gat *Core) forgetHosts() {
	for epo := range gat.lost {
		if !gat.views.ContainsEpoch(epo) {
			delete(gat.lost, epo)
		}
	}
	for epo := range gat.unreachable {
		if !gat.views.ContainsEpoch(epo) {
			delete(gat.unreachable, epo)
		}
	}
}

// reroute recomputes which host coordinates which engine, reports the slots in use
// to new coordinators, and retries the requests that wait for a coordinator.
func (gat *Core) reroute(now time.Time) {
	previous := gat.shares
	gat.shares = make(map[string][]view.Share)
	reachable := gat.views.Newest().Without(func(epo request.Epoch) bool { return gat.unreachable[epo] })
	for service, engines := range gat.conf.SlotsByService() {
		gat.shares[service] = view.Assign(reachable, service, engines)
	}
	for _, ent := range sortedByID(gat.table.active) {
		if ent.holdsSlot() {
			gat.sendAdopt(ent, previous[ent.spec.Service])
		}
	}
	gat.retryUnassigned(now)
}

func (gat *Core) sendAdopt(ent *entry, previous []view.Share) {
	before := coordinatorsOf(previous, ent.engine)
	for _, epo := range coordinatorsOf(gat.shares[ent.spec.Service], ent.engine) {
		if !slices.Contains(before, epo) && gat.isUp(epo) {
			gat.send(epo, reservation.Adopt{ID: ent.id, Ballot: ent.ballot, Engine: ent.engine})
		}
	}
}

func coordinatorsOf(shares []view.Share, engine string) []request.Epoch {
	var epochs []request.Epoch
	for _, sha := range shares {
		if sha.Engine == engine {
			epochs = append(epochs, sha.Coordinator)
		}
	}
	return epochs
}

func (gat *Core) isUp(epo request.Epoch) bool {
	pee := gat.peers[epo]
	return pee != nil && pee.up
}

func (gat *Core) retryUnassigned(now time.Time) {
	if len(gat.table.unassigned) == 0 {
		return
	}
	for _, ent := range sortedByID(gat.table.unassigned) {
		gat.reserve(now, ent)
	}
}

func (gat *Core) tick(now time.Time) {
	for _, ent := range sortedByID(gat.table.active) {
		gat.tickEntry(now, ent)
	}
	for ent := gat.table.oldest(); ent != nil && gat.isTooOld(now, ent); ent = gat.table.oldest() {
		gat.forget(ent)
	}
	gat.retryRevocations()
}

func (gat *Core) tickEntry(now time.Time, ent *entry) {
	switch {
	case gat.isAbandoned(now, ent):
		gat.abandon(now, ent)
	case ent.phase == phaseClosing:
		gat.checkClosing(now, ent)
	case ent.phase == phaseEvicting && now.Sub(ent.reserved) >= gat.cfg.CloseTimeout:
		gat.shed(now, ent)
	case ent.phase == phaseWaiting && !now.Before(ent.deadline):
		gat.close(now, ent, Final{Cause: CauseExpired, Outcome: request.NotRun})
	case ent.phase == phaseWaiting && ent.coordinator == 0 && now.Sub(ent.reserved) >= gat.cfg.NoCoordinatorTimeout:
		gat.close(now, ent, Final{Cause: CauseNoCoordinator, Outcome: request.NotRun, Retry: true, RetryAfter: undecidedRetryAfter})
	case ent.phase == phaseWaiting && ent.coordinator == 0:
		gat.reserve(now, ent)
	case ent.phase == phaseWaiting:
		gat.moveToFreeCoordinator(now, ent)
	}
}

// isTooOld reports whether the id of a finished request isn't accepted any more, so
// that the request can be forgotten.
func (gat *Core) isTooOld(now time.Time, ent *entry) bool {
	if ent.id.Epoch == gat.cfg.Self {
		return ent.id.Window+WindowsKept <= gat.Window(now)
	}
	return now.Sub(ent.reserved) >= WindowsKept*gat.cfg.Window
}

func (gat *Core) forget(ent *entry) {
	gat.table.remove(ent)
	gat.emit(Forget{ID: ent.id})
}

func (gat *Core) isAbandoned(now time.Time, ent *entry) bool {
	return ent.callers == 0 && !ent.abandonedAt.IsZero() && now.Sub(ent.abandonedAt) >= gat.cfg.OrphanGrace
}

// abandon ends a request that has had no client for Config.OrphanGrace.
func (gat *Core) abandon(now time.Time, ent *entry) {
	switch ent.phase {
	case phaseWaiting:
		gat.close(now, ent, Final{Cause: CauseClientLeft, Outcome: request.NotRun})
	case phaseRunning, phaseResuming:
		ent.abandonedAt = time.Time{}
		gat.emit(Cancel{ID: ent.id})
	case phaseEvicting, phaseClosing, phaseFencing, phaseDone, phaseCloseUnconfirmed, phaseGivenUp:
		// These are finished, or end by an answer or a timeout.
	}
}

// Package gateway is the pure decision core of the gateway's job: it decides
// when a request is reserved, dispatched, relayed, resumed or given up.
//
// # Usage
//
//	gat := gateway.New(gateway.Config{Self: epoch, Started: now})
//	actions := gat.Handle(now, gateway.Arrived{Caller: 1, ID: id, Spec: spec})
//
// Events and time go in, actions come out: there is no clock, goroutine,
// network or randomness in here, and a Core is for one goroutine at a time.
//
// A request is decided by the gateway that its id names. It is dispatched only
// on a grant from a coordinator outside that gateway's failure domain, so that
// no single loss takes both records of it.
package gateway

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// Config holds what a gateway is told at its start. Zero durations stand for
// the defaults.
type Config struct {
	// Self is the epoch of this process.
	Self request.Epoch
	// Started is when the process started; windows count from it.
	Started time.Time
	// Window is how long one window lasts.
	Window time.Duration
	// CloseTimeout bounds the wait for a granter's word that a request never runs.
	CloseTimeout time.Duration
	// OrphanGrace is how long a request goes on without its caller.
	OrphanGrace time.Duration
	// StrandedTime is how long a request waits without any coordinator that
	// could be asked.
	StrandedTime time.Duration
	// MoveAfter is how long a reservation waits before it moves to a
	// coordinator with a free slot.
	MoveAfter time.Duration
}

// The defaults of Config.
const (
	DefaultWindow       = 5 * time.Minute
	DefaultCloseTimeout = time.Second
	DefaultOrphanGrace  = 10 * time.Second
	DefaultStrandedTime = 2 * time.Second
	DefaultMoveAfter    = 250 * time.Millisecond
)

// WindowsKept is how many windows, the current one among them, ids may be of.
const WindowsKept = 3

// Core is the gateway of one host.
type Core struct {
	cfg    Config
	conf   resource.Configuration
	views  view.History
	shares map[string][]view.Share
	peers  map[request.Epoch]*peerState
	table  *table
	lost   map[request.Epoch]*lostState
	// away are the hosts that can't be reached now: their engines go to others.
	away     map[request.Epoch]bool
	limits   *limiter
	sequence uint64
	draining bool
	actions  []Action
}

// peerState is what the gateway knows of one coordinator epoch.
type peerState struct {
	up    bool
	loads map[string]*loadState
}

// New returns the core of a process start.
func New(cfg Config) *Core {
	fill(&cfg.Window, DefaultWindow)
	fill(&cfg.CloseTimeout, DefaultCloseTimeout)
	fill(&cfg.OrphanGrace, DefaultOrphanGrace)
	fill(&cfg.StrandedTime, DefaultStrandedTime)
	fill(&cfg.MoveAfter, DefaultMoveAfter)
	return &Core{
		cfg:    cfg,
		views:  view.NewHistory(),
		peers:  make(map[request.Epoch]*peerState),
		table:  newTable(),
		lost:   make(map[request.Epoch]*lostState),
		away:   make(map[request.Epoch]bool),
		limits: newLimiter(),
	}
}

func fill(dur *time.Duration, def time.Duration) {
	if *dur == 0 {
		*dur = def
	}
}

// WindowAt returns the number of the window at a time; the first one is 1.
func WindowAt(started time.Time, length time.Duration, now time.Time) uint64 {
	return uint64(max(0, now.Sub(started))/length) + 1
}

// Window returns the number of the current window.
func (gat *Core) Window(now time.Time) uint64 {
	return WindowAt(gat.cfg.Started, gat.cfg.Window, now)
}

// InFlight returns how many requests don't have their final answer yet.
func (gat *Core) InFlight() int {
	return len(gat.table.active)
}

// Handle takes one event and returns what is to be done about it.
func (gat *Core) Handle(now time.Time, evt Event) []Action {
	gat.actions = nil
	switch evt := evt.(type) {
	case Arrived:
		gat.arrived(now, evt)
	case CallerLeft:
		gat.callerLeft(now, evt.ID)
	case RelayFailed:
		gat.relayFailed(now, evt)
	case PeerUp:
		gat.peerUp(now, evt.Peer)
	case PeerLost:
		gat.peerLost(now, evt.Peer)
	case PeerUnreachable:
		gat.unreachable(now, evt.Peer)
	case Received:
		gat.received(now, evt)
	case FenceAnswered:
		gat.fenceAnswered(now, evt)
	case FenceFailed:
		gat.fenceFailed(now, evt)
	case Unvouched:
		gat.unvouched(evt)
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

func (gat *Core) act(act Action) {
	gat.actions = append(gat.actions, act)
}

func (gat *Core) send(to request.Epoch, msg reservation.Message) {
	gat.act(Send{To: to, Message: msg})
}

func (gat *Core) viewChanged(now time.Time, vie view.View) {
	newest := vie.Number > gat.views.Last().Number
	gat.views.Add(vie)
	gat.forgetHosts()
	if !newest {
		// A past view says who may grant what; nothing goes by it otherwise.
		return
	}
	gat.reroute(now)
}

// forgetHosts drops what is kept of epochs that no remembered view has: no id
// that is still taken can lead to them.
func (gat *Core) forgetHosts() {
	for epo := range gat.lost {
		if !gat.views.Knows(epo) {
			delete(gat.lost, epo)
		}
	}
	for epo := range gat.away {
		if !gat.views.Knows(epo) {
			delete(gat.away, epo)
		}
	}
}

// reroute follows a change of who coordinates what: new coordinators are told
// of the slots in use, and requests that waited for a coordinator try again.
func (gat *Core) reroute(now time.Time) {
	former := gat.shares
	gat.shares = make(map[string][]view.Share)
	reached := gat.views.Last().Without(func(epo request.Epoch) bool { return gat.away[epo] })
	for service, engines := range gat.conf.SlotsByService() {
		gat.shares[service] = view.Assign(reached, service, engines)
	}
	for _, ent := range inOrder(gat.table.active) {
		if ent.holds() {
			gat.adopt(ent, former[ent.spec.Service])
		}
	}
	gat.retryWaiting(now)
}

func (gat *Core) adopt(ent *entry, former []view.Share) {
	before := coordinatorsOf(former, ent.engine)
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

func (gat *Core) retryWaiting(now time.Time) {
	if len(gat.table.stranded) == 0 {
		return
	}
	for _, ent := range inOrder(gat.table.stranded) {
		gat.reserve(now, ent)
	}
}

func (gat *Core) tick(now time.Time) {
	for _, ent := range inOrder(gat.table.active) {
		gat.tickEntry(now, ent)
	}
	for ent := gat.table.oldest(); ent != nil && gat.tooOld(now, ent); ent = gat.table.oldest() {
		gat.forget(ent)
	}
	gat.retryUnvouch()
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
	case ent.phase == phaseWaiting && ent.coordinator == 0 && now.Sub(ent.reserved) >= gat.cfg.StrandedTime:
		gat.close(now, ent, Final{Cause: CauseStranded, Outcome: request.NotRun, Retry: true, RetryAfter: undecidedRetry})
	case ent.phase == phaseWaiting && ent.coordinator == 0:
		gat.reserve(now, ent)
	case ent.phase == phaseWaiting:
		gat.moveToFree(now, ent)
	}
}

// tooOld reports whether the id of a finished request is too old to be taken
// again, so that it needn't be remembered.
func (gat *Core) tooOld(now time.Time, ent *entry) bool {
	if ent.id.Epoch == gat.cfg.Self {
		return ent.id.Window+WindowsKept <= gat.Window(now)
	}
	return now.Sub(ent.reserved) >= WindowsKept*gat.cfg.Window
}

func (gat *Core) forget(ent *entry) {
	gat.table.remove(ent)
	gat.act(Forget{ID: ent.id})
}

func (gat *Core) isAbandoned(now time.Time, ent *entry) bool {
	return ent.callers == 0 && !ent.abandoned.IsZero() && now.Sub(ent.abandoned) >= gat.cfg.OrphanGrace
}

// abandon ends a request that nobody has waited for since the grace time.
func (gat *Core) abandon(now time.Time, ent *entry) {
	switch ent.phase {
	case phaseWaiting:
		gat.close(now, ent, Final{Cause: CauseAbandoned, Outcome: request.NotRun})
	case phaseRunning, phaseResuming:
		ent.abandoned = time.Time{}
		gat.act(Cancel{ID: ent.id})
	case phaseEvicting, phaseClosing, phaseFencing, phaseDone, phaseUnclosed, phaseGivenUp:
		// These end by themselves.
	}
}

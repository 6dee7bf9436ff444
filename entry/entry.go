// Package entry is one host's process as the users' platform runs it: it takes
// callers' requests, tells them which addresses to use, and shares the engines
// with the other hosts.
//
// # Usage
//
//	hos, err := entry.New(entry.Config{Settings: set, Log: log, Store: cli})
//	err = hos.Start(ctx)
//	...
//	err = hos.Drain(ctx) // a planned stop
//	hos.Stop()
//
// What a host believes comes from the store (the observer), which engine serves
// which request is decided by one host's scheduler for all (the desk), and each
// request is dispatched, streamed and repeated by the host that took it.
package entry

import (
	"context"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/clock"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/upstream"
)

// Config holds what a Host is made from.
type Config struct {
	Settings settings.Entry
	Log      zerolog.Logger
	Store    store.Store
	// LinesDropped tells how many lines of the log were dropped since their reader
	// was too slow; nil for none.
	LinesDropped func() int64
	// SettingsFile is read again at each hangup and when it changes; empty for
	// settings that never change.
	SettingsFile string
	// Clock are the clocks that the host goes by; nil for the operating system's.
	Clock clock.Source
	// Hangups brings the signals that ask for it; nil for none.
	Hangups <-chan os.Signal
}

// Host is one process of the system.
type Host struct {
	cfg     Config
	set     settings.Entry
	log     zerolog.Logger
	epoch   request.Epoch
	store   *store.Recorder
	figures *figures
	ages    *ages
	desk    *desk
	mirror  *mirror
	// clock tells by what time rights last and lapse.
	clock    *clock.Clock
	upstream *upstream.Client
	notices  *notices
	// evacuations keeps requests from failure domains that are being emptied.
	evacuations *evacuations
	peers       *peer.Client
	tasks       *task.Group
	servers     []*http.Server

	// belief is what requests are decided by.
	belief atomic.Pointer[belief]
	// confirmed is when the store last showed that the belief is current, in
	// nanoseconds of this process's steady clock.
	confirmed atomic.Int64
	started   time.Time
	// storeAway is set while the store is lost to other hosts too.
	storeAway atomic.Bool
	// secrets keeps what proves this host to others.
	secrets *secrets
	// rolloutNews wakes the keeper of roll-outs.
	rolloutNews chan struct{}
	// evacuationNews wakes the keeper of evacuations.
	evacuationNews chan struct{}
	// woken brings the length of a suspension.
	woken chan time.Duration
	// heldNews wakes the keeper of held requests; heldRevision is the store's of what lies
	// there, 0 for nothing.
	heldNews     chan struct{}
	heldRevision atomic.Uint64
	// leaseDoubt wakes the keeper of the lease.
	leaseDoubt chan struct{}
	// entryBroken is set when another writer's value lies where the host's own entry
	// should, until it is written again.
	entryBroken atomic.Bool
	// listed is closed at the first reading of the store.
	listed  chan struct{}
	listing sync.Once
	// wanted is closed when a caller first waits for the host to be ready.
	wanted  chan struct{}
	wanting sync.Once
	// begun is closed once the host knows a configuration that is current.
	begun     chan struct{}
	beginning sync.Once
	// bounds are those of the newest settings.
	bounds   atomic.Pointer[settings.Bounds]
	draining atomic.Bool
	// leaving is closed when the host starts to leave.
	leaving chan struct{}
	cancel  context.CancelFunc
	// done is closed when every goroutine has ended.
	done chan struct{}
}

// New returns a host; Start has it work.
func New(cfg Config) (*Host, error) {
	if cfg.LinesDropped == nil {
		cfg.LinesDropped = func() int64 { return 0 }
	}
	epoch, err := request.NewEpoch()
	if err != nil {
		return nil, err
	}
	hos := &Host{
		cfg: cfg, set: cfg.Settings, epoch: epoch, store: store.NewRecorder(cfg.Store),
		log:            cfg.Log.With().Str("Host", cfg.Settings.Name).Logger(),
		figures:        newFigures(cfg.LinesDropped),
		ages:           newAges(),
		leaving:        make(chan struct{}),
		begun:          make(chan struct{}),
		listed:         make(chan struct{}),
		wanted:         make(chan struct{}),
		leaseDoubt:     make(chan struct{}, 1),
		rolloutNews:    make(chan struct{}, 1),
		evacuationNews: make(chan struct{}, 1),
		heldNews:       make(chan struct{}, 1),
		woken:          make(chan time.Duration, 1),
		done:           make(chan struct{}),
	}
	hos.clock = clock.New(clock.Config{Source: cfg.Clock, Suspended: hos.noteSuspended, Failed: hos.noteClockFailed})
	hos.started = hos.clock.Now()
	hos.mirror = newMirror(hos.clock.Now)
	hos.belief.Store(&belief{})
	hos.bounds.Store(&cfg.Settings.Bounds)
	hos.confirmed.Store(neverConfirmed)
	hos.secrets = newSecrets(hos)
	hos.tasks = task.NewGroup(hos.log)
	hos.notices = newNotices(hos)
	hos.evacuations = newEvacuations(hos)
	hos.upstream = upstream.NewClient(upstream.ClientConfig{
		Decode: platform.DecodeAnswer, Now: hos.clock.Now, Heard: hos.notices.take,
		Dialed: func() { hos.figures.dialed.Inc(1) },
	})
	hos.peers = peer.NewClient(peer.ClientConfig{Security: hos.security(), Timing: peerTiming, Self: hos.Header})
	hos.desk = newDesk(hos)
	return hos, nil
}

// peerTiming has a lost host noticed well before callers give up: its sessions
// are busy, and a heartbeat missed three times is no chance.
var peerTiming = peer.Timing{Heartbeat: 200 * time.Millisecond, Timeout: 700 * time.Millisecond}

// security returns how hosts know one another: by the key of their settings or, without
// one, by the secret that lies in the store.
func (hos *Host) security() peer.Security {
	if hos.keyed() {
		return peer.Security{Key: hos.set.PeerKey}
	}
	return peer.Security{TLS: hos.secrets.keeper.TLS()}
}

// member returns the host's own entry.
func (hos *Host) member() fleet.Member {
	return fleet.Member{
		Name: hos.set.Name, Epoch: hos.epoch, Domain: hos.set.Domain,
		CallerAddress: hos.set.CallerAddress, PeerAddress: hos.set.PeerAddress, Capacity: hos.set.Cores * hos.set.CoreSpeed,
	}
}

// startGrace is for how long after its start a host lets requests wait for the
// first configuration: a small host among many that start at once has it after
// half a second, and callers go elsewhere after a second without a sign.
const startGrace = 800 * time.Millisecond

// noteBegun lets those go on who wait for the first configuration.
func (hos *Host) noteBegun() {
	if ready, _ := hos.ready(hos.clock.Now()); ready {
		hos.beginning.Do(func() { close(hos.begun) })
	}
}

// awaitBegun waits until the host can serve, in the first moments after its start.
func (hos *Host) awaitBegun(ctx context.Context) {
	hos.wanting.Do(func() { close(hos.wanted) })
	left := startGrace - hos.clock.Since(hos.started)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-hos.begun:
	case <-timer.C:
	case <-hos.leaving:
	case <-ctx.Done():
	}
}

// awaitWanted waits for others to enter, or for a first caller.
func (hos *Host) awaitWanted(ctx context.Context) {
	timer := time.NewTimer(firstPause)
	defer timer.Stop()
	select {
	case <-hos.wanted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Done is closed when the host has stopped.
func (hos *Host) Done() <-chan struct{} {
	return hos.done
}

// Start listens on the host's addresses and starts its goroutines. They end with
// Stop, not with the context, which bounds the start alone.
func (hos *Host) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	hos.cancel = cancel
	if err := hos.serve(ctx); err != nil {
		cancel()
		return err
	}
	hos.tasks.Run("waking", func() error { return hos.keepAwake(ctx) })
	hos.tasks.Run("clock", func() error { return hos.clock.Watch(ctx) })
	hos.tasks.Run("observer", func() error { return hos.observe(ctx) })
	hos.tasks.Run("lease", func() error { return hos.keepLease(ctx) })
	hos.tasks.Run("sessions", func() error { return hos.desk.keepSessions(ctx) })
	hos.tasks.Run("presence", func() error { return hos.desk.keepPresence(ctx) })
	hos.tasks.Run("settings", func() error { return hos.followSettings(ctx) })
	hos.tasks.Run("secret", func() error { return hos.keepSecret(ctx) })
	hos.tasks.Run("rollouts", func() error { return hos.keepRollouts(ctx) })
	hos.tasks.Run("evacuations", func() error { return hos.keepEvacuations(ctx) })
	hos.tasks.Run("held", func() error { return hos.keepHeld(ctx) })
	hos.tasks.Run("survey", func() error { return hos.keepSurvey(ctx) })
	hos.tasks.Run("housekeeping", func() error { return hos.keepHouse(ctx) })
	go func() {
		hos.tasks.Wait()
		close(hos.done)
	}()
	hos.log.Info().Stringer("Epoch", hos.epoch).Str("Domain", hos.set.Domain).
		Stringer("Callers", hos.set.CallerAddress).Stringer("Store", hos.set.StoreAddress).Interface("Bounds", hos.set.Bounds).Msg("host started")
	return nil
}

// Stop ends the host at once: requests in flight are cut.
func (hos *Host) Stop() {
	hos.cancel()
	for _, srv := range hos.servers {
		// The listeners are closed; what else fails has no consequence.
		_ = srv.Close()
	}
	<-hos.done
	hos.peers.Close()
	hos.upstream.Close()
	hos.log.Info().Interface("StoreCalls", hos.store.Counts()).Msg("host stopped")
}

const (
	// houseInterval is how often old connections are closed and held removals end.
	houseInterval = 500 * time.Millisecond
	// acceptAfterStop is how long a leaving host still takes requests: callers
	// keep an answer with addresses three times its time at most.
	acceptAfterStop = 3 * keepAddresses
	// stopMargin is what is left of the grace for the end itself.
	stopMargin = 500 * time.Millisecond
)

// keepHouse closes connections to engines that are gone or idle for long.
func (hos *Host) keepHouse(ctx context.Context) error {
	tick := time.NewTicker(houseInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			hos.upstream.Retire(hos.engineRuns())
			hos.notices.forget(hos.belief.Load())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// engineRuns tells which runs of engines are known to be there.
func (hos *Host) engineRuns() func(upstream.Endpoint) bool {
	engines := hos.belief.Load().engines
	return func(end upstream.Endpoint) bool {
		eng, known := engines[end.Engine.Name]
		return known && eng.Address == end.Address && !eng.ID.Follows(end.Engine)
	}
}

// Drain makes a planned stop: the host leaves the directory at once, takes
// requests while callers may still be sent to it, and returns when the last one
// has its answer or the grace is over.
func (hos *Host) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hos.bounds.Load().Grace()-stopMargin)
	defer cancel()
	hos.draining.Store(true)
	close(hos.leaving)
	hos.log.Info().Dur("Grace", hos.bounds.Load().Grace()).Msg("planned stop")
	accept := time.NewTimer(acceptAfterStop)
	defer accept.Stop()
	select {
	case <-accept.C:
	case <-ctx.Done():
	}
	err := hos.servers[0].Shutdown(ctx)
	if err != nil {
		hos.log.Warn().Err(err).Msg("planned stop cuts requests")
	}
	return err
}

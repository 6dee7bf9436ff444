// Package entry runs one host of the deployment: it serves clients' requests, answers which host
// addresses clients should use, and shares the engines with the other hosts.
//
// # Usage
//
//	hos, err := entry.New(entry.Config{Settings: set, Log: log, Store: cli})
//	err = hos.Start(ctx)
//	...
//	err = hos.Drain(ctx) // a planned stop
//	hos.Stop()
//
// The store watcher keeps a snapshot of the configuration, engines and hosts in the store. The
// broker obtains an engine for each request from the scheduler of one host, the coordinator, which
// decides for all hosts. The host that received a request dispatches, streams and retries it.
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

// Config holds the settings and dependencies of a Host.
type Config struct {
	Settings settings.Entry
	Log      zerolog.Logger
	Store    store.Store
	// LinesDropped returns how many log lines were dropped because their reader was too slow; nil
	// if none ever are.
	LinesDropped func() int64
	// SettingsFile is read again on each hangup signal and when it changes; empty if the settings
	// never change.
	SettingsFile string
	// Clock provides the clocks of the host; nil for the operating system's.
	Clock clock.Source
	// Hangups delivers the signals that reload the settings file; nil for none.
	Hangups <-chan os.Signal
}

// Host is one process of the deployment that serves clients' requests.
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
	// clock is the time by which leases and other time-limited rights expire. It counts
	// suspensions.
	clock    *clock.Clock
	upstream *upstream.Client
	notices  *notices
	// evacuations keeps requests out of failure domains that are being evacuated.
	evacuations *evacuations
	peers       *peer.Client
	tasks       *task.Group
	servers     []*http.Server

	// snapshot holds the configuration, engines and hosts that requests are decided by.
	belief atomic.Pointer[belief]
	// confirmed is when the store last showed that the snapshot is current, in nanoseconds after
	// started by the host's clock.
	confirmed atomic.Int64
	started   time.Time
	// storeAway is set while the store is unreachable for other hosts too.
	storeAway atomic.Bool
	// secrets holds the secrets by which this host authenticates itself to other hosts.
	secrets *secrets
	// rolloutNews wakes keepRollouts.
	rolloutNews chan struct{}
	// evacuationNews wakes keepEvacuations.
	evacuationNews chan struct{}
	// resumed delivers the length of a suspension to keepAwake.
	woken chan time.Duration
	// heldNews wakes keepHeld. heldRevision is the store's revision of the held requests; 0 if the
	// store has none.
	heldNews     chan struct{}
	heldRevision atomic.Uint64
	// leaseDoubt makes keepLease renew the lease soon.
	leaseDoubt chan struct{}
	// entryBroken is set when another writer has overwritten the host's own entry with an unusable
	// value, until the entry is written again.
	entryBroken atomic.Bool
	// storeRead is closed after the first update from the store was applied.
	listed  chan struct{}
	listing sync.Once
	// clientWaiting is closed when the first client waits for the host to become ready.
	wanted  chan struct{}
	wanting sync.Once
	// configured is closed once the host has a current configuration.
	begun     chan struct{}
	beginning sync.Once
	// bounds are those of the newest valid settings.
	bounds   atomic.Pointer[settings.Bounds]
	draining atomic.Bool
	// drainStarted is closed when a planned stop starts.
	leaving chan struct{}
	cancel  context.CancelFunc
	// done is closed when all goroutines have ended.
	done chan struct{}
}

// New returns a host that is not running yet; Start runs it.
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

// peerTiming detects a lost host well before clients give up: sessions are busy, and three missed
// heartbeats in a row are no coincidence.
var peerTiming = peer.Timing{Heartbeat: 200 * time.Millisecond, Timeout: 700 * time.Millisecond}

// security returns how hosts authenticate one another: by the key in their settings or, without
// one, by the secrets in the store.
func (hos *Host) security() peer.Security {
	if hos.keyed() {
		return peer.Security{Key: hos.set.PeerKey}
	}
	return peer.Security{TLS: hos.secrets.keeper.TLS()}
}

// member returns the host's own entry in the store.
func (hos *Host) member() fleet.Member {
	return fleet.Member{
		Name: hos.set.Name, Epoch: hos.epoch, Domain: hos.set.Domain,
		CallerAddress: hos.set.CallerAddress, PeerAddress: hos.set.PeerAddress, Capacity: hos.set.Cores * hos.set.CoreSpeed,
	}
}

// startGrace is how long after its start a host lets requests wait for the first configuration. A
// small host among many that start at once has it after half a second, and clients try another host
// after one second without an answer.
const startGrace = 800 * time.Millisecond

// noteBegun releases the requests that wait in awaitBegun, once the host is ready.
func (hos *Host) noteBegun() {
	if ready, _ := hos.ready(hos.clock.Now()); ready {
		hos.beginning.Do(func() { close(hos.begun) })
	}
}

// awaitBegun waits until the host is ready, within startGrace of its start.
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

// awaitWanted waits firstPause for other hosts to register, or until a client waits for the host.
func (hos *Host) awaitWanted(ctx context.Context) {
	timer := time.NewTimer(firstPause)
	defer timer.Stop()
	select {
	case <-hos.wanted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Done returns a channel that is closed when the host has stopped.
func (hos *Host) Done() <-chan struct{} {
	return hos.done
}

// Start listens on the host's addresses and starts its goroutines. They run until Stop is called;
// the context bounds the start only.
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

// Stop stops the host immediately and cuts requests in flight.
func (hos *Host) Stop() {
	hos.cancel()
	for _, srv := range hos.servers {
		// The listeners are closed; other errors have no consequence.
		_ = srv.Close()
	}
	<-hos.done
	hos.peers.Close()
	hos.upstream.Close()
	hos.log.Info().Interface("StoreCalls", hos.store.Counts()).Msg("host stopped")
}

const (
	// houseInterval is how often keepHouse runs.
	houseInterval = 500 * time.Millisecond
	// acceptAfterStop is how long a draining host still accepts requests: clients cache an answer
	// with addresses for at most three times keepAddresses.
	acceptAfterStop = 3 * keepAddresses
	// stopMargin is the part of the grace period that is reserved for the shutdown itself.
	stopMargin = 500 * time.Millisecond
)

// keepHouse regularly closes connections to engines that were deregistered or replaced and those
// that have been idle for long, and drops expired notices.
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

// engineRuns returns a function that reports whether an endpoint is a known engine that has not
// been replaced by a later run.
func (hos *Host) engineRuns() func(upstream.Endpoint) bool {
	engines := hos.belief.Load().engines
	return func(end upstream.Endpoint) bool {
		eng, known := engines[end.Engine.Name]
		return known && eng.Address == end.Address && !eng.ID.Follows(end.Engine)
	}
}

// Drain makes a planned stop: the host deregisters immediately, accepts requests while clients may
// still be sent to it, and returns when the last request is answered or the grace period is over.
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
		hos.log.Warn().Err(err).Msg("planned stop did not finish, cutting requests in flight")
	}
	return err
}

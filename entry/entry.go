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
// schedules for all hosts. The host that received a request dispatches, streams and retries it.
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
	"lynxwell.dev/lynxwell/mirror"
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
	// EngineDialer opens the connections to engines and backend servers; nil for the default one.
	EngineDialer upstream.Dialer
	// PeerDialer opens the connections to other hosts; nil for the default one.
	PeerDialer peer.Dialer
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
	cfg         Config
	set         settings.Entry
	log         zerolog.Logger
	epoch       request.Epoch
	store       *store.Recorder
	metrics     *hostMetrics
	clientWaits *waitEstimator
	// departures are the times at which engines were deregistered.
	departures *departures
	// coordinatorWrites makes the writes that only the coordinator makes.
	coordinatorWrites *coordinatorWrites
	// rewrites are the values that a restored store lacks.
	rewrites *rewrites
	// crashChecks checks whether engines live that have ended a connection.
	crashChecks *crashChecks
	broker      *broker
	mirror      *mirror.Copy
	// clock is the time by which leases and other time-limited rights expire. It counts
	// suspensions.
	clock    *clock.Clock
	upstream *upstream.Client
	// paths tracks whether this host reaches engines. forwards counts the requests that it forwards for others.
	paths    *paths
	forwards *inFlight
	notices  *notices
	// evacuations keeps requests out of failure domains that are being evacuated.
	evacuations *evacuations
	peers       *peer.Client
	tasks       *task.Group
	servers     []*http.Server

	// snapshot holds the known configuration, engines and hosts.
	snapshot atomic.Pointer[snapshot]
	// confirmed is the latest time at which the snapshot is known to have been current, in
	// nanoseconds after started by the host's clock.
	confirmed atomic.Int64
	started   time.Time
	// storeUnavailable is set while other hosts can't reach the store either.
	storeUnavailable atomic.Bool
	// secrets holds the secrets by which this host authenticates itself to other hosts.
	secrets *secrets
	// rolloutUpdates wakes maintainRollouts.
	rolloutUpdates chan struct{}
	// evacuationUpdates wakes maintainEvacuations.
	evacuationUpdates chan struct{}
	// resumed delivers the length of a suspension to handleSuspensions.
	resumed chan time.Duration
	// heldUpdates wakes maintainHeld. heldRevision is the store's revision of the held requests; 0
	// if the store has none.
	heldUpdates  chan struct{}
	heldRevision atomic.Uint64
	// renewalRequests wakes maintainLease before the next renewal is due, for one at once.
	// spreadRenewals does so for one at a time that the hosts spread.
	renewalRequests chan struct{}
	spreadRenewals  chan struct{}
	// entryInvalid is set when another writer has overwritten the host's own entry with an unusable
	// value, until the entry is written again.
	entryInvalid atomic.Bool
	// storeRead is closed after the first update from the store was applied.
	storeRead     chan struct{}
	storeReadOnce sync.Once
	// clientWaiting is closed when the first client waits for the host to become ready.
	clientWaiting     chan struct{}
	clientWaitingOnce sync.Once
	// configured is closed once the host has a current configuration.
	configured     chan struct{}
	configuredOnce sync.Once
	// bounds are those of the newest valid settings.
	bounds   atomic.Pointer[settings.Bounds]
	draining atomic.Bool
	// drainStarted is closed when a planned stop starts, and plannedStop is set then. accepting ends when the host takes no
	// more requests, requests when it gives up those that still run.
	drainStarted chan struct{}
	plannedStop  atomic.Pointer[plannedStop]
	accepting    context.Context
	endAccepting context.CancelFunc
	requests     context.Context
	endRequests  context.CancelCauseFunc
	cancel       context.CancelFunc
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
		log:               cfg.Log.With().Str("Host", cfg.Settings.Name).Logger(),
		metrics:           newHostMetrics(cfg.LinesDropped),
		clientWaits:       newWaitEstimator(),
		departures:        newDepartures(),
		drainStarted:      make(chan struct{}),
		configured:        make(chan struct{}),
		storeRead:         make(chan struct{}),
		clientWaiting:     make(chan struct{}),
		renewalRequests:   make(chan struct{}, 1),
		spreadRenewals:    make(chan struct{}, 1),
		rolloutUpdates:    make(chan struct{}, 1),
		evacuationUpdates: make(chan struct{}, 1),
		heldUpdates:       make(chan struct{}, 1),
		resumed:           make(chan time.Duration, 1),
		done:              make(chan struct{}),
	}
	hos.accepting, hos.endAccepting = context.WithCancel(context.Background())
	hos.requests, hos.endRequests = context.WithCancelCause(context.Background())
	hos.clock = clock.New(clock.Config{Source: cfg.Clock, OnSuspension: hos.recordSuspension, OnBootError: hos.recordClockFailure})
	hos.started = hos.clock.Now()
	hos.mirror = mirror.NewCopy(hos.clock.Now)
	hos.snapshot.Store(&snapshot{})
	hos.bounds.Store(&cfg.Settings.Bounds)
	hos.confirmed.Store(neverConfirmed)
	hos.secrets = newSecrets(hos)
	hos.tasks = task.NewGroup(hos.log)
	hos.notices = newNotices(hos)
	hos.evacuations = newEvacuations(hos)
	hos.upstream = upstream.NewClient(upstream.ClientConfig{
		Dialer: cfg.EngineDialer, Decode: platform.DecodeAnswer, Now: hos.clock.Now, HeadReceived: hos.notices.apply,
		Dialed:     func() { hos.metrics.dialed.Inc(1) },
		DialFailed: func(res upstream.DialResult) { hos.metrics.count("EngineDials." + res.String()) },
	})
	hos.peers = peer.NewClient(peer.ClientConfig{Security: hos.security(), Timing: peerTiming, Self: hos.Header, Dialer: cfg.PeerDialer})
	hos.broker = newBroker(hos)
	hos.crashChecks = newCrashChecks(hos)
	hos.paths = newPaths(hos)
	hos.rewrites = newRewrites(hos)
	hos.forwards = newInFlight()
	hos.coordinatorWrites = &coordinatorWrites{host: hos}
	return hos, nil
}

// peerTiming makes sessions with a lost host end well before clients time out. Messages are sent
// over sessions all the time, so that three missed heartbeats in a row mean that the host is lost.
var peerTiming = peer.Timing{Heartbeat: 200 * time.Millisecond, Timeout: 700 * time.Millisecond}

// security returns how hosts authenticate one another: by the key in their settings or, without
// one, by the secrets in the store.
func (hos *Host) security() peer.Security {
	if hos.hasPeerKey() {
		return peer.Security{Key: hos.set.PeerKey}
	}
	return peer.Security{TLS: hos.secrets.authenticator.TLS()}
}

// member returns the host's own entry in the store.
func (hos *Host) member() fleet.Member {
	return fleet.Member{
		Name: hos.set.Name, Epoch: hos.epoch, Domain: hos.set.Domain,
		CallerAddress: hos.set.CallerAddress, PeerAddress: hos.set.PeerAddress, Capacity: hos.set.Cores * hos.set.CoreSpeed,
	}
}

// startupGrace is how long after its start a host lets requests wait for the first configuration. A
// small host among many that start at once receives its configuration after half a second, and
// clients try another host after one second without an answer.
const startupGrace = 800 * time.Millisecond

// markConfigured releases the requests that wait in awaitConfigured, once the host is ready.
func (hos *Host) markConfigured() {
	if ready, _ := hos.ready(hos.clock.Now()); ready {
		hos.configuredOnce.Do(func() { close(hos.configured) })
	}
}

// awaitConfigured waits until the host is ready, within startupGrace of its start.
func (hos *Host) awaitConfigured(ctx context.Context) {
	hos.clientWaitingOnce.Do(func() { close(hos.clientWaiting) })
	left := startupGrace - hos.clock.Since(hos.started)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-hos.configured:
	case <-timer.C:
	case <-hos.drainStarted:
	case <-ctx.Done():
	}
}

// peerArrivalWait is how long a host that finds no other host waits for others to register, as
// long as no client waits: the entries of a fleet that starts for the first time don't exist
// yet, nor do those of a fleet whose leases expired in an outage.
const peerArrivalWait = 400 * time.Millisecond

// awaitPeersOrClient waits peerArrivalWait for other hosts to register, or until a client waits for
// the host.
func (hos *Host) awaitPeersOrClient(ctx context.Context) {
	timer := time.NewTimer(peerArrivalWait)
	defer timer.Stop()
	select {
	case <-hos.clientWaiting:
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
	hos.tasks.Run("waking", func() error { return hos.handleSuspensions(ctx) })
	hos.tasks.Run("clock", func() error { return hos.clock.Watch(ctx) })
	hos.tasks.Run("observer", func() error { return hos.watchStore(ctx) })
	hos.tasks.Run("lease", func() error { return hos.maintainLease(ctx) })
	hos.tasks.Run("sessions", func() error { return hos.broker.maintainSessions(ctx) })
	hos.tasks.Run("takeover", func() error { return hos.broker.watchCoordinator(ctx) })
	hos.tasks.Run("paths", func() error { return hos.paths.run(ctx) })
	hos.tasks.Run("crash checks", func() error { return hos.crashChecks.run(ctx) })
	hos.tasks.Run("shares", func() error { return hos.maintainShares(ctx) })
	hos.tasks.Run("presence", func() error { return hos.broker.maintainPresence(ctx) })
	hos.tasks.Run("settings", func() error { return hos.watchSettings(ctx) })
	hos.tasks.Run("secret", func() error { return hos.maintainSecrets(ctx) })
	hos.tasks.Run("rollouts", func() error { return hos.maintainRollouts(ctx) })
	hos.tasks.Run("evacuations", func() error { return hos.maintainEvacuations(ctx) })
	hos.tasks.Run("held", func() error { return hos.maintainHeld(ctx) })
	hos.tasks.Run("rewrites", func() error { return hos.rewrites.run(ctx) })
	hos.tasks.Run("versions", func() error { return hos.maintainVersions(ctx) })
	hos.tasks.Run("origins", func() error { return hos.maintainOrigins(ctx) })
	hos.tasks.Run("survey", func() error { return hos.maintainMeasurements(ctx) })
	hos.tasks.Run("housekeeping", func() error { return hos.runMaintenance(ctx) })
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

// maintenanceInterval is how often runMaintenance runs.
const maintenanceInterval = 500 * time.Millisecond

// runMaintenance regularly closes connections to engines that were deregistered or replaced and
// those that have been idle for long, and drops expired notices.
func (hos *Host) runMaintenance(ctx context.Context) error {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			hos.upstream.Retire(hos.currentEngineRuns())
			hos.notices.prune(hos.snapshot.Load())
			hos.metrics.answerBytes.Update(hos.upstream.Held())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// currentEngineRuns returns a function that reports whether an endpoint is a known engine that has
// not been replaced by a later run.
func (hos *Host) currentEngineRuns() func(upstream.Endpoint) bool {
	engines := hos.snapshot.Load().engines
	return func(end upstream.Endpoint) bool {
		eng, known := engines[end.Engine.Name]
		return known && eng.Address == end.Address && !eng.ID.Follows(end.Engine)
	}
}

// Drain makes a planned stop: the host deregisters immediately and accepts requests while clients
// may still use its address. Drain returns when the last request is answered, or an error if
// requests are still in flight drainMargin before the end of the grace period: these get a final answer, and Stop cuts
// those whose answer had begun. Meanwhile the host hands its share of the limits over.
func (hos *Host) Drain(ctx context.Context) error {
	grace := hos.bounds.Load().Grace()
	ctx, cancel := context.WithTimeout(ctx, grace-drainMargin)
	defer cancel()
	stp := hos.beginStop(grace - drainMargin)
	hos.log.Info().Dur("Grace", grace).Msg("planned stop")
	accept := time.NewTimer(hos.clock.Until(stp.acceptsUntil))
	defer accept.Stop()
	select {
	case <-accept.C:
	case <-ctx.Done():
	}
	hos.endAccepting()
	finishHandover := hos.startHandover(ctx)
	err := hos.servers[0].Shutdown(ctx)
	if err == nil {
		err = hos.forwards.wait(ctx)
	}
	if err != nil {
		hos.log.Warn().Err(err).Msg("planned stop did not finish, giving up requests in flight")
		hos.giveUpRequests(hos.servers[0])
	}
	finishHandover()
	return err
}

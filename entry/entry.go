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
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/clock"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/transport"
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

// belief is what the host takes to be the case; it is never changed, only
// replaced.
type belief struct {
	// table is nil until a configuration is known.
	table *route.Table
	// engines are by their names.
	engines map[string]fleet.Engine
	members []fleet.Member
}

// engine returns the engine that a grant names. Where the coordinator or this host knows
// a later run of it than the other, the request goes to the later one: nothing of the
// former is left, and what listens there turns away what is meant for another engine. So
// no request is refused for what the store hasn't told everybody yet.
func (bel *belief) engine(granted fleet.EngineID) (fleet.Engine, bool) {
	eng, known := bel.engines[granted.Name]
	if known && granted.Follows(eng.ID) {
		eng.ID, eng.Draining = granted, false
	}
	return eng, known
}

// lists reports whether the run is listed.
func (bel *belief) lists(run fleet.EngineID) bool {
	eng, known := bel.engines[run.Name]
	return known && eng.ID == run
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

// neverConfirmed is long before any time since the start.
const neverConfirmed = -int64(time.Hour)

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

// confirm notes that the belief was current at the given time. Where that comes
// from another host it may be older than what is known.
func (hos *Host) confirm(at time.Time) {
	if at.IsZero() {
		return
	}
	since := int64(at.Sub(hos.started))
	if since > hos.confirmed.Load() {
		hos.confirmed.Store(since)
	}
}

// age returns how long ago the belief was last known to be current.
func (hos *Host) age(now time.Time) time.Duration {
	return now.Sub(hos.started) - time.Duration(hos.confirmed.Load())
}

// trustShare is the part of the revocation bound for which an unconfirmed
// configuration is acted on. A key that was taken away since it was confirmed
// must not be served past the whole bound; the rest is for a request on its way
// and for a host that is slow.
const trustShare = 0.8

// trust is how old the belief may be to act on it.
func (hos *Host) trust() time.Duration {
	return time.Duration(trustShare * float64(hos.bounds.Load().Revoke()))
}

// trusted reports whether requests with keys may be decided by what the host
// believes. Where revocation is strict, that ends with the belief's age. Else it
// is enough that it once was current: the newest configuration that a host knows
// serves callers better than none while the store is away, engines that have
// left turn its requests away by their ids, and limits are kept by the hosts
// among one another.
func (hos *Host) trusted(now time.Time) bool {
	if hos.confirmed.Load() == neverConfirmed {
		return false
	}
	return !hos.bounds.Load().RevocationIsStrict.Or(true) || hos.age(now) < hos.trust()
}

// ready reports whether the host takes requests, and if not, why.
func (hos *Host) ready(now time.Time) (bool, string) {
	switch {
	case hos.draining.Load():
		return false, "Draining"
	case hos.belief.Load().table == nil:
		return false, "NoConfiguration"
	case !hos.trusted(now):
		return false, "StaleConfiguration"
	default:
		return true, ""
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

// listener is one address that the host serves.
type listener struct {
	name    string
	address netip.AddrPort
	server  *http.Server
	// serve serves in another way than the server itself; nil for that.
	serve func(net.Listener, *http.Server) error
}

func (lis listener) serveOn(open net.Listener) error {
	if lis.serve != nil {
		return lis.serve(open, lis.server)
	}
	return lis.server.Serve(open)
}

// metricsListener names the one address that a host can do without.
const metricsListener = "MetricsAddress"

// liveness ends connections of callers and hosts that went silent for good: by
// then a caller of a stream has left, and an engine would work for nobody.
var liveness = transport.Liveness{Limit: 2500 * time.Millisecond}

func (hos *Host) serve(ctx context.Context) error {
	peers := peer.NewServer(peer.ServerConfig{Sessions: hos.desk, Mirror: hos.mirror, Security: hos.security(), Timing: peerTiming})
	peerServer := peers.HTTPServer()
	peerServer.ErrorLog = log.New(serverErrors{log: hos.log}, "", 0)
	all := []listener{
		{name: "CallerAddress", address: hos.set.CallerAddress, server: hos.callerServer()},
		{name: "ReadyAddress", address: hos.set.ReadyAddress, server: plainServer(hos.readyHandler())},
		{name: "DirectoryAddress", address: hos.set.DirectoryAddress, server: plainServer(hos.directoryHandler())},
		{name: "PeerAddress", address: hos.set.PeerAddress, server: peerServer, serve: peers.Serve},
		{name: metricsListener, address: hos.set.MetricsAddress, server: plainServer(hos.metricsHandler())},
	}
	for _, one := range all {
		lis, err := liveness.Listen(ctx, one.address)
		if err != nil && one.name == metricsListener {
			// Callers need no figures: a host without them is better than none.
			hos.log.Warn().Err(err).Msg("no figures are told, their address can't be used")
			continue
		}
		if err != nil {
			return errors.Wrap(err, one.name)
		}
		hos.servers = append(hos.servers, one.server)
		hos.tasks.Run(one.name, func() error { return task.Served(one.serveOn(lis)) })
	}
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

// Package host runs one process of lynxwell: it wraps the pure decision cores of
// the gateway and the coordinator, and connects them to clients, engines,
// other hosts, the platform and operators.
//
// # Usage
//
//	hos, err := host.New(host.Config{Settings: set, Log: log, Store: sto})
//	err = hos.Start(ctx)
//	...
//	hos.Drain(ctx) // planned stop: returns when no request is in flight
//	hos.Stop()
//
// Both cores run on one goroutine, the loop. The other goroutines do the I/O: they
// execute actions of the cores and post events to the loop.
package host

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/backend"
	"lynxwell.dev/lynxwell/caller"
	"lynxwell.dev/lynxwell/coordinator"
	"lynxwell.dev/lynxwell/engine"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/operator"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

// Config is the configuration of a Host.
type Config struct {
	Settings settings.Settings
	Log      zerolog.Logger
	// Store is the interface to the platform: its keys, leases and list of hosts.
	Store store.Store
	// Gateway and Coordinator hold the parameters of the cores that tests and benchmarks vary.
	// New overwrites the epoch, the start time and the periods that Settings define.
	Gateway     gateway.Config
	Coordinator coordinator.Config
}

// Host is one process of the system, with a gateway and a coordinator.
type Host struct {
	cfg     Config
	set     settings.Settings
	log     zerolog.Logger
	epoch   request.Epoch
	started time.Time
	tls     *tls.Config
	store   *store.Recorder
	metrics metrics.Registry

	loop     *loop
	shared   *shared
	peers    *peer.Client
	engines  *engine.Client
	backends *backend.Client
	callers  *caller.Server
	meter    *peer.Meter

	chunks   *chunkCache
	draining atomic.Bool
	// drainStarted wakes maintainLease when the host starts to drain, so that the
	// host's membership entry is updated at once.
	drainStarted chan struct{}
	// aheadPeers are the addresses of peers that have newer views or configuration.
	aheadPeers chan netip.AddrPort
	tasks      *task.Group
	// spawned is the group of the short-lived goroutines; spawnedCount is their number.
	spawned      sync.WaitGroup
	spawnedCount atomic.Int64
	servers      []*http.Server
	cancel       context.CancelFunc
	// done is closed when every goroutine of the host has ended.
	done chan struct{}
}

// New returns a host that isn't running yet. Start starts the host.
func New(cfg Config) (*Host, error) {
	epoch, err := request.NewEpoch()
	if err != nil {
		return nil, err
	}
	peerTLS, err := cfg.Settings.PeerTLS.Config()
	if err != nil {
		return nil, errors.Wrap(err, "PeerTLS")
	}
	hos := &Host{
		tls: peerTLS,
		cfg: cfg, set: cfg.Settings, epoch: epoch, started: time.Now(),
		log:          cfg.Log.With().Str("Host", cfg.Settings.Name).Stringer("Epoch", epoch).Logger(),
		store:        store.NewRecorder(cfg.Store),
		metrics:      metrics.NewRegistry(),
		shared:       newShared(),
		meter:        &peer.Meter{},
		drainStarted: make(chan struct{}, 1),
		aheadPeers:   make(chan netip.AddrPort, 1),
		done:         make(chan struct{}),
	}
	hos.peers = peer.NewClient(peer.ClientConfig{
		Security: hos.security(), Timing: hos.timing(), Self: hos.Header, Meter: hos.meter,
	})
	hos.engines = engine.NewClient(engine.ClientConfig{})
	hos.backends = backend.NewClient(backend.ClientConfig{})
	hos.callers = caller.NewServer(caller.ServerConfig{Backend: hos, Log: hos.log, HostName: hos.set.Name})
	hos.chunks = newChunkCache()
	hos.tasks = task.NewGroup(hos.log)
	hos.loop = newLoop(hos)
	return hos, nil
}

// Epoch returns the epoch that identifies this start of the host.
func (hos *Host) Epoch() request.Epoch {
	return hos.epoch
}

// Done returns a channel that is closed when the host has stopped.
func (hos *Host) Done() <-chan struct{} {
	return hos.done
}

func (hos *Host) security() peer.Security {
	return peer.Security{Key: hos.set.PeerKey, TLS: hos.tls}
}

func (hos *Host) timing() peer.Timing {
	return peer.Timing{Heartbeat: hos.set.Timing.Heartbeat.Std(), Timeout: hos.set.Timing.PeerTimeout.Std()}
}

// Start listens on the host's three addresses and starts its goroutines. The context
// bounds only the start; the goroutines run until Stop.
func (hos *Host) Start(ctx context.Context) error {
	listeners, err := hos.listen(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	hos.cancel = cancel
	tasks := hos.tasks
	tasks.Run("loop", func() error { return hos.loop.run(ctx) })
	hos.serve(tasks, listeners)
	tasks.Run("lease", func() error { return hos.maintainLease(ctx) })
	tasks.Run("membership", func() error { return hos.watchPlatform(ctx) })
	tasks.Run("sessions", func() error { return hos.maintainSessions(ctx) })
	tasks.Run("catch-up", func() error { return hos.catchUp(ctx) })
	tasks.Run("monitor", func() error { return hos.monitorEngines(ctx) })
	go func() {
		tasks.Wait()
		hos.spawned.Wait()
		close(hos.done)
	}()
	hos.log.Info().Stringer("Callers", hos.set.CallerAddress).Str("Domain", hos.set.Domain).Msg("host started")
	return nil
}

// listeners are the host's three listening sockets: for clients, peers and operators.
type listeners struct {
	caller, peer, operator net.Listener
}

func (hos *Host) listen(ctx context.Context) (listeners, error) {
	var lis listeners
	var cfg net.ListenConfig
	var err error
	if lis.caller, err = cfg.Listen(ctx, "tcp", hos.set.CallerAddress.String()); err != nil {
		return lis, errors.Wrap(err, "CallerAddress")
	}
	if lis.peer, err = cfg.Listen(ctx, "tcp", hos.set.PeerAddress.String()); err != nil {
		return lis, errors.Wrap(err, "PeerAddress")
	}
	lis.peer = hos.meter.Listener(lis.peer)
	if lis.operator, err = cfg.Listen(ctx, "tcp", hos.set.OperatorAddress.String()); err != nil {
		return lis, errors.Wrap(err, "OperatorAddress")
	}
	return lis, nil
}

func (hos *Host) serve(tks *task.Group, lis listeners) {
	peerServer := peer.NewServer(peer.ServerConfig{Backend: hos, Security: hos.security(), Timing: hos.timing()})
	operatorServer := operator.NewServer(operator.ServerConfig{Backend: hos, Key: hos.set.OperatorKey, Log: hos.log})
	hos.servers = []*http.Server{hos.callers.HTTPServer(), peerServer.HTTPServer(), operatorServer.HTTPServer()}
	tks.Run("callers' server", func() error { return task.IgnoreServerClosed(hos.servers[0].Serve(lis.caller)) })
	tks.Run("peers' server", func() error { return task.IgnoreServerClosed(peerServer.Serve(lis.peer, hos.servers[1])) })
	tks.Run("operators' server", func() error { return task.IgnoreServerClosed(hos.servers[2].Serve(lis.operator)) })
}

// Stop stops the host immediately and aborts the requests in flight.
func (hos *Host) Stop() {
	hos.cancel()
	for _, srv := range hos.servers {
		// The error is ignored: the listeners and connections are closed in any case.
		_ = srv.Close()
	}
	<-hos.done
	hos.peers.Close()
	hos.engines.Close()
	hos.backends.Close()
	hos.callers.Close()
	hos.log.Info().Msg("host stopped")
}

// spawn runs short-lived work in a goroutine of its own. Done's channel
// stays open until the work has ended.
func (hos *Host) spawn(work func()) {
	hos.spawnedCount.Add(1)
	hos.spawned.Go(func() {
		defer hos.spawnedCount.Add(-1)
		work()
	})
}

// Package embedded runs a complete system in one process, over loopback TCP: a fake
// platform, hosts, fake engines and fake backend servers.
//
// # Usage
//
//	sys, err := embedded.Start(ctx, embedded.Config{Hosts: 6, Domains: 4, Engines: engines, Log: log})
//	defer sys.Stop()
//	err = sys.Apply(ctx, set)
//	addresses := sys.ClientAddresses()
//
// The demonstration, the benchmark and tests run against an embedded system.
package embedded

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/backendtest"
	"lynxwell.dev/lynxwell/coordinator"
	"lynxwell.dev/lynxwell/engine"
	"lynxwell.dev/lynxwell/enginetest"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/host"
	"lynxwell.dev/lynxwell/operator"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/settings"
)

// The keys of an embedded system. They are constants because the system listens on
// loopback addresses only, and only while its process runs.
const (
	peerKey = "embedded peer key 0123456789"
	// OperatorKey is the bearer key of the embedded system's operators.
	OperatorKey = "embedded operator key 0123456789"
)

// Config configures a System.
type Config struct {
	// Hosts is the number of hosts, distributed over Domains failure domains.
	Hosts   int
	Domains int
	// Engines and Backends configure the fakes to start.
	Engines  []enginetest.Config
	Backends []backendtest.Config
	// Timing overrides the default intervals and timeouts of the hosts.
	Timing settings.Timing
	// HostsLag is the delay with which changes appear in the platform's list of hosts.
	HostsLag    time.Duration
	Gateway     gateway.Config
	Coordinator coordinator.Config
	Log         zerolog.Logger
}

// System is a running system.
type System struct {
	cfg        Config
	Platform   *platformtest.Memory
	Engines    []*Engine
	Backends   []*Backend
	Hosts      []*host.Host
	settings   []settings.Settings
	platform   netip.AddrPort
	servers    []*http.Server
	exits      chan error
	goroutines int
	cancel     context.CancelFunc
	ctx        context.Context
}

// Engine is a running fake engine.
type Engine struct {
	*enginetest.Engine
	Name    string
	Address netip.AddrPort
	Slots   int
}

// Backend is a running fake backend server of a plain service.
type Backend struct {
	*backendtest.Server
	Name    string
	Address netip.AddrPort
}

// Start starts all components and returns when every host has a view of all hosts and is
// connected to them. No configuration is active until Apply is called.
func Start(ctx context.Context, cfg Config) (*System, error) {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	sys := &System{cfg: cfg, cancel: cancel, ctx: running, exits: make(chan error)}
	sys.Platform = platformtest.NewMemory(platformtest.MemoryConfig{HostsLag: cfg.HostsLag})
	if err := sys.start(ctx); err != nil {
		sys.Stop()
		return nil, err
	}
	return sys, nil
}

func (sys *System) start(ctx context.Context) error {
	var err error
	if sys.platform, err = sys.Serve(platformtest.NewServer(sys.Platform).Handler()); err != nil {
		return err
	}
	for _, cfg := range sys.cfg.Engines {
		if err := sys.startEngine(cfg); err != nil {
			return err
		}
	}
	for _, cfg := range sys.cfg.Backends {
		srv := backendtest.New(cfg)
		adr, err := sys.Serve(srv.Handler())
		if err != nil {
			return err
		}
		sys.Backends = append(sys.Backends, &Backend{Server: srv, Name: cfg.Name, Address: adr})
	}
	if err := sys.startHosts(ctx); err != nil {
		return err
	}
	return sys.WaitUntilConnected(ctx, sys.cfg.Hosts)
}

func (sys *System) startEngine(cfg enginetest.Config) error {
	eng := enginetest.New(cfg)
	adr, err := sys.Serve(eng.Handler())
	if err != nil {
		return err
	}
	sys.run(func() error {
		eng.Run(sys.ctx)
		return nil
	})
	sys.Engines = append(sys.Engines, &Engine{Engine: eng, Name: cfg.Name, Address: adr, Slots: cfg.Slots})
	return nil
}

// Serve serves the handler on a free loopback port until the system stops.
func (sys *System) Serve(handler http.Handler) (netip.AddrPort, error) {
	lis, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	sys.servers = append(sys.servers, srv)
	sys.run(func() error { return srv.Serve(lis) })
	return netip.MustParseAddrPort(lis.Addr().String()), nil
}

func (sys *System) run(work func() error) {
	sys.goroutines++
	go func() { sys.exits <- work() }()
}

func listen() (net.Listener, error) {
	var cfg net.ListenConfig
	lis, err := cfg.Listen(context.Background(), "tcp", "127.0.0.1:0")
	return lis, errors.Wrap(err, "listen")
}

// NextAddress uses a loopback network per process, derived from the process id, and ports below
// the range of ephemeral ports, so that listeners at these addresses conflict neither with those
// of other processes nor with outgoing connections.
const (
	firstPort      = 7001
	addressesPerIP = 20
	ipsPerNetwork  = 250
)

var addressCount atomic.Uint32

// NextAddress returns a loopback address that isn't used elsewhere in this process or in another
// one. It is unique with two exceptions: the addresses of a process repeat after 5,000 calls, and
// processes whose ids are equal modulo 62,500 get the same addresses.
func NextAddress() netip.AddrPort {
	count := int(addressCount.Add(1)) - 1
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{
		127, byte(1 + pid%ipsPerNetwork), byte(1 + pid/ipsPerNetwork%ipsPerNetwork), byte(1 + count/addressesPerIP%ipsPerNetwork),
	})
	return netip.AddrPortFrom(ip, uint16(firstPort+count%addressesPerIP))
}

func (sys *System) startHosts(ctx context.Context) error {
	for idx := range sys.cfg.Hosts {
		sys.settings = append(sys.settings, sys.newSettings(idx))
	}
	for idx := range sys.settings {
		for _, other := range sys.settings {
			sys.settings[idx].Seeds = append(sys.settings[idx].Seeds, other.PeerAddress)
		}
		hos, err := sys.startHost(ctx, sys.settings[idx])
		if err != nil {
			return err
		}
		sys.Hosts = append(sys.Hosts, hos)
	}
	return nil
}

func (sys *System) newSettings(idx int) settings.Settings {
	set := settings.Settings{
		Name: fmt.Sprintf("host-%d", idx+1), Domain: fmt.Sprintf("domain-%c", 'a'+rune(idx%sys.cfg.Domains)),
		PlatformAddress: sys.platform, PeerKey: peerKey, OperatorKey: OperatorKey, Timing: sys.cfg.Timing.WithDefaults(),
	}
	for _, adr := range []*netip.AddrPort{&set.CallerAddress, &set.PeerAddress, &set.OperatorAddress} {
		*adr = NextAddress()
	}
	return set
}

func (sys *System) startHost(ctx context.Context, set settings.Settings) (*host.Host, error) {
	hos, err := host.New(host.Config{
		Settings: set, Log: sys.cfg.Log, Store: platform.NewClient(platform.ClientConfig{Address: set.PlatformAddress}),
		Gateway: sys.cfg.Gateway, Coordinator: sys.cfg.Coordinator,
	})
	if err != nil {
		return nil, err
	}
	if err := hos.Start(ctx); err != nil {
		return nil, err
	}
	return hos, nil
}

// Restart starts the host at the index again after it has stopped, with the same settings.
func (sys *System) Restart(ctx context.Context, idx int) error {
	hos, err := sys.startHost(ctx, sys.settings[idx])
	if err != nil {
		return err
	}
	sys.Hosts[idx] = hos
	return nil
}

// ClientAddresses returns the addresses at which the hosts serve clients.
func (sys *System) ClientAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, len(sys.settings))
	for idx, set := range sys.settings {
		addresses[idx] = set.CallerAddress
	}
	return addresses
}

// Operator returns an operator client of the host at the index.
func (sys *System) Operator(idx int) *operator.Client {
	return operator.NewClient(operator.ClientConfig{Address: sys.settings[idx].OperatorAddress, Key: OperatorKey})
}

// pollInterval is how often a waiting function checks its condition.
const pollInterval = 10 * time.Millisecond

// WaitUntilConnected blocks until every host has a view with this number of members and is
// connected to each of them.
func (sys *System) WaitUntilConnected(ctx context.Context, members int) error {
	return sys.wait(ctx, "every host to be connected to all members of its view", func() bool {
		for _, hos := range sys.Hosts {
			if !hos.Connected(members) {
				return false
			}
		}
		return true
	})
}

// Apply writes the resources through the operators' API and returns when they are active on
// every host.
func (sys *System) Apply(ctx context.Context, set resource.Set) error {
	cli := sys.Operator(0)
	defer cli.Close()
	res, err := cli.Apply(ctx, set)
	if err != nil {
		return err
	}
	return sys.wait(ctx, "the new configuration to be active on every host", func() bool {
		for _, hos := range sys.Hosts {
			if hos.Configuration().Revision < res.Revision {
				return false
			}
		}
		return true
	})
}

func (sys *System) wait(ctx context.Context, what string, done func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s", what)
		}
	}
	return nil
}

// Dispatches returns every dispatch that any engine or backend server received.
func (sys *System) Dispatches() []engine.DispatchRecord {
	var all []engine.DispatchRecord
	for _, eng := range sys.Engines {
		all = append(all, eng.Dispatches()...)
	}
	for _, bac := range sys.Backends {
		all = append(all, bac.Dispatches()...)
	}
	return all
}

// Stop stops all components without draining.
func (sys *System) Stop() {
	stopped := make(chan struct{})
	for _, hos := range sys.Hosts {
		go func() {
			stopHost(hos)
			stopped <- struct{}{}
		}()
	}
	for range sys.Hosts {
		<-stopped
	}
	sys.cancel()
	for _, srv := range sys.servers {
		// Close always closes the listeners, whatever error it returns.
		_ = srv.Close()
	}
	for range sys.goroutines {
		<-sys.exits
	}
}

func stopHost(hos *host.Host) {
	select {
	case <-hos.Done():
	default:
		hos.Stop()
	}
}

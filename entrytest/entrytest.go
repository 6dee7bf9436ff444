// Package entrytest runs hosts for tests: a fake of the platform's store, engines, and
// hosts, all in one process over loopback TCP.
//
// # Usage
//
//	sys := entrytest.Start(t, entrytest.Config{Hosts: 2, Engines: engines})
//	sys.Configure(entrytest.Configuration{Version: 1})
//	ans := sys.Send(t, sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/plain/x"})
package entrytest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/clock"
	"lynxwell.dev/lynxwell/clocktest"
	"lynxwell.dev/lynxwell/embedded"
	"lynxwell.dev/lynxwell/entry"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// The services, the host name and the keys of every System.
const (
	// Model is a service that streams its answers, Plain one that doesn't.
	Model = "model"
	Plain = "plain"
	// HostName is the host name of all routes.
	HostName = "menus.example"
	// Key is an API key of the client account Account.
	Key     = "key-of-kitchen"
	Account = "kitchen"
	// PeerKey is the key by which hosts authenticate one another.
	PeerKey = "key between the hosts under test"
)

// waitTimeout is how long a test waits for a condition.
const waitTimeout = 10 * time.Second

// Config holds the settings of a System.
type Config struct {
	Hosts   int
	Engines []*upstreamtest.Engine
	// Bounds override the hosts' settings.
	Bounds settings.Bounds
	// OneDomain puts all hosts into one failure domain.
	OneDomain bool
	// HostsPerDomain is the number of hosts in each failure domain without OneDomain; 0 means 1.
	HostsPerDomain int
	// Regions maps failure domains to regions; nil puts all hosts into one region.
	Regions map[string]string
	// StoredSecret makes the hosts authenticate one another by a secret in the store
	// instead of PeerKey.
	StoredSecret bool
	// Suspendable gives each host its own clocks, which a test may suspend.
	Suspendable bool
	// MetricsTaken opens a listener at each host's metrics address before the host starts.
	MetricsTaken bool
}

// System is a running store with its engines and hosts.
type System struct {
	Store *platformtest.Memory
	Hosts []*Host
	log   *Log
	t     *testing.T
	// peerPaths are the paths to each host from the others, by its address.
	peerPaths peerPaths
	// sharesFounded is set once the hosts have had all shares of the limits.
	sharesFounded bool
}

// Host is a running host.
type Host struct {
	*entry.Host
	Settings settings.Entry
	// storeCut makes the host's calls to the store fail without an answer.
	storeCut atomic.Bool
	// storeThrottled makes the store answer the host's calls with 429 Too Many Requests.
	storeThrottled atomic.Bool
	// Clock is the source of the host's clocks if Config.Suspendable is set.
	Clock *clocktest.Source
	// EnginePath is the host's path to all engines, which a test may cut.
	EnginePath *upstreamtest.Path
	// toPeers is the host's path to the other hosts, fromPeers theirs to it.
	toPeers   *upstreamtest.Path
	fromPeers *upstreamtest.Path
}

// SetStoreThrottled sets whether the store answers the host's calls with 429 Too Many Requests.
func (hos *Host) SetStoreThrottled(throttled bool) {
	hos.storeThrottled.Store(throttled)
}

// SetStoreCut sets whether the host's connection to the store is cut.
func (hos *Host) SetStoreCut(cut bool) {
	hos.storeCut.Store(cut)
}

// startStoreProxy starts a proxy of the store for the host and returns its address.
func (sys *System) startStoreProxy(hos *Host) netip.AddrPort {
	handler := platformtest.NewServer(sys.Store).Handler()
	proxy := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if hos.storeCut.Load() {
			panic(http.ErrAbortHandler)
		}
		if hos.storeThrottled.Load() {
			wri.WriteHeader(http.StatusTooManyRequests)
			return
		}
		handler.ServeHTTP(wri, req)
	}))
	sys.t.Cleanup(proxy.Close)
	return netip.MustParseAddrPort(proxy.Listener.Addr().String())
}

// Log collects the log output of all hosts.
type Log struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (log *Log) Write(data []byte) (int, error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.text.Write(data)
}

// String returns all lines logged so far.
func (log *Log) String() string {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.text.String()
}

// Start starts the store, the engines and the hosts. No configuration is in force yet.
func Start(t *testing.T, cfg Config) *System {
	t.Helper()
	sys := StartWithoutHosts(t, cfg.Engines)
	sys.StartHosts(cfg)
	return sys
}

// StartWithoutHosts starts the store and the engines, but no hosts.
func StartWithoutHosts(t *testing.T, engines []*upstreamtest.Engine) *System {
	t.Helper()
	sys := &System{Store: platformtest.NewMemory(platformtest.MemoryConfig{}), log: &Log{}, t: t}
	sys.AddEngines(engines...)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(sys.log.String())
		}
	})
	return sys
}

// StartHosts starts cfg.Hosts hosts, named host-0, host-1 and so on.
func (sys *System) StartHosts(cfg Config) {
	sys.t.Helper()
	for idx := range cfg.Hosts {
		sys.startHost(idx, cfg)
	}
}

// AddHost starts one more host.
func (sys *System) AddHost(cfg Config) *Host {
	sys.t.Helper()
	sys.startHost(len(sys.Hosts), cfg)
	return sys.Hosts[len(sys.Hosts)-1]
}

// RegisterLostHost registers a host that isn't running: its peer address answers only the calls
// that read mir.
func (sys *System) RegisterLostHost(name string, epoch request.Epoch, mir peer.Mirror) {
	sys.t.Helper()
	srv := peer.NewServer(peer.ServerConfig{Mirror: mir, Security: peer.Security{Key: PeerKey}}).HTTPServer()
	var lic net.ListenConfig
	lis, err := lic.Listen(sys.t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(sys.t, err)
	go func() {
		// Serve returns when the server is closed at the end of the test.
		_ = srv.Serve(lis)
	}()
	sys.t.Cleanup(func() { _ = srv.Close() })
	adr := netip.MustParseAddrPort(lis.Addr().String())
	data, err := platform.EncodeMember(fleet.Member{Name: name, Epoch: epoch, Domain: "d0", CallerAddress: adr, PeerAddress: adr, Capacity: 1})
	assert.NilError(sys.t, err)
	sys.put(platform.MemberKey(name), string(data))
}

// RemoveEngine deletes an engine's entry.
func (sys *System) RemoveEngine(id string) {
	sys.t.Helper()
	_, err := sys.Store.Put(sys.t.Context(), store.Write{Key: EngineKey(id), Delete: true, Blind: true})
	assert.NilError(sys.t, err)
}

func (sys *System) put(key, value string) {
	sys.t.Helper()
	_, err := sys.Store.Put(sys.t.Context(), store.Write{Key: key, Data: []byte(value), Blind: true})
	assert.NilError(sys.t, err)
}

func (sys *System) startHost(idx int, cfg Config) {
	sys.t.Helper()
	host := &Host{EnginePath: upstreamtest.NewPath(), toPeers: upstreamtest.NewPath(), fromPeers: upstreamtest.NewPath()}
	domain := fmt.Sprintf("d%d", idx/max(1, cfg.HostsPerDomain))
	if cfg.OneDomain {
		domain = "d0"
	}
	metrics := embedded.NextAddress()
	if cfg.MetricsTaken {
		var lic net.ListenConfig
		lis, err := lic.Listen(sys.t.Context(), "tcp", metrics.String())
		assert.NilError(sys.t, err)
		sys.t.Cleanup(func() { _ = lis.Close() })
	}
	peerKey := PeerKey
	if cfg.StoredSecret {
		peerKey = ""
	}
	data, err := json.Marshal(settings.Entry{
		Name: fmt.Sprintf("host-%d", idx), Domain: domain, Regions: cfg.Regions,
		CallerAddress: embedded.NextAddress(), ReadyAddress: embedded.NextAddress(), DirectoryAddress: embedded.NextAddress(),
		PeerAddress: embedded.NextAddress(), MetricsAddress: metrics,
		StoreAddress: sys.startStoreProxy(host),
		PeerKey:      peerKey, Bounds: cfg.Bounds,
	})
	assert.NilError(sys.t, err)
	set, err := settings.ParseEntry("test", data)
	assert.NilError(sys.t, err)
	var source clock.Source
	if cfg.Suspendable {
		host.Clock = clocktest.NewSource()
		source = host.Clock
	}
	sys.connectPeers(host, set.PeerAddress)
	hos, err := entry.New(entry.Config{
		Clock: source, EngineDialer: host.EnginePath, PeerDialer: host.toPeers, Settings: set, Log: zerolog.New(sys.log).With().Timestamp().Logger(),
		Store: platform.NewClient(platform.ClientConfig{Address: set.StoreAddress, HostKeys: true}),
	})
	assert.NilError(sys.t, err)
	assert.NilError(sys.t, hos.Start(sys.t.Context()))
	host.Host, host.Settings = hos, set
	sys.Hosts = append(sys.Hosts, host)
	sys.t.Cleanup(hos.Stop)
}

// Configure writes a configuration to the store.
func (sys *System) Configure(con Configuration) {
	sys.t.Helper()
	sys.put(ConfigurationKey, con.JSON())
}

// ConfigureText writes any text in place of the configuration.
func (sys *System) ConfigureText(text string) {
	sys.t.Helper()
	sys.put(ConfigurationKey, text)
}

// WaitForVersion waits until the configuration version is in force at each host.
func (sys *System) WaitForVersion(version uint64) {
	sys.t.Helper()
	sys.waitForMetric(fmt.Sprintf("ConfigurationVersion %d\n", version))
}

// WaitForEngines waits until each host knows exactly count engines that are ready.
func (sys *System) WaitForEngines(count int) {
	sys.t.Helper()
	sys.waitForMetric(fmt.Sprintf("EnginesReady %d\n", count))
}

func (sys *System) waitForMetric(line string) {
	sys.t.Helper()
	for _, hos := range sys.Hosts {
		sys.WaitUntil(line, func() bool { return strings.Contains(sys.Metrics(hos), line) })
	}
}

// waitForShares waits until one host, the coordinator, spends all shares of the limits.
func (sys *System) waitForShares() {
	sys.t.Helper()
	sys.WaitUntil("one host spends all shares of the limits", func() bool {
		most := 0.0
		for _, hos := range sys.Hosts {
			most = max(most, hos.Dump().Limits.Usable)
		}
		return most >= allShares
	})
}

// allShares is the least share of the limits that all hosts have together when none is missing: shares are rounded.
const allShares = 0.999

// WaitForReady waits until each host is ready and its directory returns the addresses of all
// hosts. The first call also waits until the coordinator has all shares of the limits.
func (sys *System) WaitForReady() {
	sys.t.Helper()
	if !sys.sharesFounded {
		sys.sharesFounded = true
		sys.waitForShares()
	}
	for _, hos := range sys.Hosts {
		sys.WaitUntil("host ready", func() bool {
			return sys.IsReady(hos) && len(sys.Addresses(hos)) == len(sys.Hosts)
		})
	}
}

// IsReady reports whether a host's readiness check succeeds.
func (sys *System) IsReady(hos *Host) bool {
	return sys.get("http://"+hos.Settings.ReadyAddress.String()+"/ready").Status == http.StatusOK
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 5 * time.Millisecond

// WaitUntil waits until a condition holds and fails the test after waitTimeout.
func (sys *System) WaitUntil(what string, holds func() bool) {
	sys.t.Helper()
	ctx, cancel := context.WithTimeout(sys.t.Context(), waitTimeout)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			sys.t.Fatalf("condition doesn't hold after %s: %s", waitTimeout, what)
		}
	}
}

// Addresses returns the addresses to which a host's directory sends clients.
func (sys *System) Addresses(hos *Host) []string {
	return sys.AddressesFor(hos, "r")
}

// AddressesFor returns the addresses to which a host's directory sends clients of a region.
func (sys *System) AddressesFor(hos *Host, region string) []string {
	ans := sys.get("http://" + hos.Settings.DirectoryAddress.String() + "/resolve?name=" + HostName + "&region=" + region + "&zone=d0")
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if ans.Status != http.StatusOK || json.Unmarshal([]byte(ans.Body), &body) != nil {
		return nil
	}
	return body.Addresses
}

// Metrics returns the text of a host's metrics.
func (sys *System) Metrics(hos *Host) string {
	return sys.get("http://" + hos.Settings.MetricsAddress.String() + "/metrics").Body
}

// Dump returns a host's state as JSON.
func (sys *System) Dump(hos *Host) string {
	return sys.get("http://" + hos.Settings.MetricsAddress.String() + entry.PathDump).Body
}

// Log returns what all hosts have logged so far.
func (sys *System) Log() string { return sys.log.String() }

// Request is a client request. The first element of Path selects the route, as in
// "/safe/1".
type Request struct {
	ID     string
	Path   string
	Key    string
	Body   string
	Header map[string]string
}

// Answer is the answer that the client received.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if the call failed or the answer was truncated.
	Err error
}

// Send sends a request to a host, with the API key Key if the request has none.
func (sys *System) Send(ctx context.Context, hos *Host, req Request) Answer {
	sys.t.Helper()
	return roundTrip(sys.newRequest(ctx, hos, req))
}

func (sys *System) newRequest(ctx context.Context, hos *Host, req Request) *http.Request {
	sys.t.Helper()
	method := http.MethodGet
	if req.Body != "" {
		method = http.MethodPost
	}
	htr, err := http.NewRequestWithContext(ctx, method, "http://"+hos.Settings.CallerAddress.String()+req.Path, strings.NewReader(req.Body))
	assert.NilError(sys.t, err)
	htr.Host = HostName
	if req.Key == "" {
		req.Key = Key
	}
	htr.Header.Set("Authorization", "Bearer "+req.Key)
	htr.Header.Set("Request-Id", req.ID)
	for name, value := range req.Header {
		htr.Header.Set(name, value)
	}
	return htr
}

func (sys *System) get(url string) Answer {
	req, err := http.NewRequestWithContext(sys.t.Context(), http.MethodGet, url, http.NoBody)
	assert.NilError(sys.t, err)
	return roundTrip(req)
}

// roundTrip makes a call on a connection of its own.
func roundTrip(req *http.Request) Answer {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	rep, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer rep.Body.Close()
	body, err := io.ReadAll(rep.Body)
	return Answer{Status: rep.StatusCode, Header: rep.Header, Body: string(body), Err: err}
}

// SendUntilEvent sends a request for a stream and closes the connection once the given number of events have
// arrived, or at the end of the answer.
func (sys *System) SendUntilEvent(ctx context.Context, hos *Host, req Request, events int) Answer {
	sys.t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	rep, err := transport.RoundTrip(sys.newRequest(ctx, hos, req))
	if err != nil {
		return Answer{Err: err}
	}
	defer rep.Body.Close()
	ans := Answer{Status: rep.StatusCode, Header: rep.Header}
	var body strings.Builder
	reader := bufio.NewReader(rep.Body)
	for strings.Count(body.String(), eventEnd) < events {
		line, err := reader.ReadString('\n')
		body.WriteString(line)
		if err != nil {
			break
		}
	}
	ans.Body = body.String()
	return ans
}

// eventEnd is the empty line that ends an event.
const eventEnd = "\n\n"

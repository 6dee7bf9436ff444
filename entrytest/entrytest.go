// Package entrytest runs hosts of the users' platform for tests: a stand-in of
// its store, engines, and hosts, all in one process over loopback TCP.
//
// # Usage
//
//	sys := entrytest.Start(t, entrytest.Config{Hosts: 2, Engines: engines})
//	sys.Configure(entrytest.Configuration{Version: 1})
//	ans := sys.Send(t, sys.Hosts[0], entrytest.Request{ID: "r1", Path: "/plain/x"})
package entrytest

import (
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

// The services, the host name and the key of every system.
const (
	// Model streams, Plain answers whole.
	Model = "model"
	Plain = "plain"
	// HostName is the one that the routes are for.
	HostName = "menus.example"
	// Key is held by the account named Account.
	Key     = "key-of-kitchen"
	Account = "kitchen"
	// PeerKey is the hosts' own.
	PeerKey = "key between the hosts under test"
)

// waitLimit is how long anything may take to come about.
const waitLimit = 10 * time.Second

// Config holds what a System is made from.
type Config struct {
	Hosts   int
	Engines []*upstreamtest.Engine
	// Bounds change the hosts' settings.
	Bounds settings.Bounds
	// OneDomain puts all hosts into one failure domain.
	OneDomain bool
	// Regions are the regions of failure domains; nil for one region.
	Regions map[string]string
	// StoredSecret has the hosts know one another by a secret in the store, and not by
	// PeerKey.
	StoredSecret bool
	// Suspendable gives each host clocks of its own, which a test may suspend.
	Suspendable bool
	// MetricsTaken has the address of the figures be taken already.
	MetricsTaken bool
}

// System is a running system.
type System struct {
	Store *platformtest.Memory
	Hosts []*Host
	log   *Log
	t     *testing.T
}

// Host is a running host.
type Host struct {
	*entry.Host
	Settings settings.Entry
	// cut has this host's calls to the store end without an answer.
	cut atomic.Bool
	// refused has the store refuse them by its rate.
	refused atomic.Bool
	// Clock are the host's clocks with Suspendable.
	Clock *clocktest.Source
}

// RefuseStore has the store refuse the host's calls by its rate, or serve them again.
func (hos *Host) RefuseStore(refused bool) {
	hos.refused.Store(refused)
}

// CutStore cuts the host's own way to the store, or mends it.
func (hos *Host) CutStore(cut bool) {
	hos.cut.Store(cut)
}

// storeAddress returns where the host reaches the store.
func (sys *System) storeAddress(hos *Host) netip.AddrPort {
	handler := platformtest.NewServer(sys.Store).Handler()
	front := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if hos.cut.Load() {
			panic(http.ErrAbortHandler)
		}
		if hos.refused.Load() {
			wri.WriteHeader(http.StatusTooManyRequests)
			return
		}
		handler.ServeHTTP(wri, req)
	}))
	sys.t.Cleanup(front.Close)
	return netip.MustParseAddrPort(front.Listener.Addr().String())
}

// Log keeps what the hosts log.
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

// String returns all lines so far.
func (log *Log) String() string {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.text.String()
}

// Start starts everything; no configuration is in force yet.
func Start(t *testing.T, cfg Config) *System {
	t.Helper()
	sys := Prepare(t, cfg.Engines)
	sys.StartHosts(cfg)
	return sys
}

// Prepare starts the store and the engines, without any host.
func Prepare(t *testing.T, engines []*upstreamtest.Engine) *System {
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

// StartHosts starts the hosts of the configuration.
func (sys *System) StartHosts(cfg Config) {
	sys.t.Helper()
	for idx := range cfg.Hosts {
		sys.start(idx, cfg)
	}
}

// EnterLost writes the entry of a host that is there no more, or hardly: all that
// answers at its address is the mirror.
func (sys *System) EnterLost(name string, epoch request.Epoch, mir peer.Mirror) {
	sys.t.Helper()
	srv := peer.NewServer(peer.ServerConfig{Mirror: mir, Security: peer.Security{Key: PeerKey}}).HTTPServer()
	var lic net.ListenConfig
	lis, err := lic.Listen(sys.t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(sys.t, err)
	go func() {
		// It ends with the test, by being closed.
		_ = srv.Serve(lis)
	}()
	sys.t.Cleanup(func() { _ = srv.Close() })
	adr := netip.MustParseAddrPort(lis.Addr().String())
	data, err := platform.EncodeMember(fleet.Member{Name: name, Epoch: epoch, Domain: "d0", CallerAddress: adr, PeerAddress: adr, Capacity: 1})
	assert.NilError(sys.t, err)
	sys.put(platform.MemberKey(name), string(data))
}

// Remove takes an engine's entry away.
func (sys *System) Remove(id string) {
	sys.t.Helper()
	_, err := sys.Store.Put(sys.t.Context(), store.Write{Key: EngineKey(id), Delete: true, Blind: true})
	assert.NilError(sys.t, err)
}

func (sys *System) put(key, value string) {
	sys.t.Helper()
	_, err := sys.Store.Put(sys.t.Context(), store.Write{Key: key, Data: []byte(value), Blind: true})
	assert.NilError(sys.t, err)
}

func (sys *System) start(idx int, cfg Config) {
	sys.t.Helper()
	one := &Host{}
	domain := fmt.Sprintf("d%d", idx)
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
		StoreAddress: sys.storeAddress(one),
		PeerKey:      peerKey, Bounds: cfg.Bounds,
	})
	assert.NilError(sys.t, err)
	set, err := settings.ParseEntry("test", data)
	assert.NilError(sys.t, err)
	var source clock.Source
	if cfg.Suspendable {
		one.Clock = clocktest.NewSource()
		source = one.Clock
	}
	hos, err := entry.New(entry.Config{
		Clock: source, Settings: set, Log: zerolog.New(sys.log).With().Timestamp().Logger(),
		Store: platform.NewClient(platform.ClientConfig{Address: set.StoreAddress}),
	})
	assert.NilError(sys.t, err)
	assert.NilError(sys.t, hos.Start(sys.t.Context()))
	one.Host, one.Settings = hos, set
	sys.Hosts = append(sys.Hosts, one)
	sys.t.Cleanup(hos.Stop)
}

// Configure puts a configuration into the store.
func (sys *System) Configure(con Configuration) {
	sys.t.Helper()
	sys.put(ConfigurationKey, con.JSON())
}

// ConfigureText puts any text into the configuration's place.
func (sys *System) ConfigureText(text string) {
	sys.t.Helper()
	sys.put(ConfigurationKey, text)
}

// UntilVersion waits until each host has a configuration in force.
func (sys *System) UntilVersion(version uint64) {
	sys.t.Helper()
	sys.untilFigure(fmt.Sprintf("ConfigurationVersion %d\n", version))
}

// UntilEngines waits until each host knows so many engines that take work.
func (sys *System) UntilEngines(count int) {
	sys.t.Helper()
	sys.untilFigure(fmt.Sprintf("EnginesReady %d\n", count))
}

func (sys *System) untilFigure(line string) {
	sys.t.Helper()
	for _, hos := range sys.Hosts {
		sys.Until(line, func() bool { return strings.Contains(sys.Figures(hos), line) })
	}
}

// UntilReady waits until each host takes requests and knows all others.
func (sys *System) UntilReady() {
	sys.t.Helper()
	for _, hos := range sys.Hosts {
		sys.Until("host ready", func() bool {
			return sys.IsReady(hos) && len(sys.Addresses(hos)) == len(sys.Hosts)
		})
	}
}

// IsReady asks a host whether it takes requests.
func (sys *System) IsReady(hos *Host) bool {
	return sys.get("http://"+hos.Settings.ReadyAddress.String()+"/ready").Status == http.StatusOK
}

// pollInterval is how often a condition is looked at.
const pollInterval = 5 * time.Millisecond

// Until waits for a condition.
func (sys *System) Until(what string, holds func() bool) {
	sys.t.Helper()
	ctx, cancel := context.WithTimeout(sys.t.Context(), waitLimit)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			sys.t.Fatalf("not within %s: %s", waitLimit, what)
		}
	}
}

// Addresses asks a host where callers are to go.
func (sys *System) Addresses(hos *Host) []string {
	return sys.AddressesFor(hos, "r")
}

// AddressesFor asks a host where callers in a region are to go.
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

// Figures returns what a host tells on its metrics address.
func (sys *System) Figures(hos *Host) string {
	return sys.get("http://" + hos.Settings.MetricsAddress.String() + "/metrics").Body
}

// Dump returns a host's state.
func (sys *System) Dump(hos *Host) string {
	return sys.get("http://" + hos.Settings.MetricsAddress.String() + entry.PathDump).Body
}

// Log returns what the hosts have logged.
func (sys *System) Log() string { return sys.log.String() }

// Request is what a caller sends; Path is by its route, as "/safe/1".
type Request struct {
	ID     string
	Path   string
	Key    string
	Body   string
	Header map[string]string
}

// Answer is what the caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set when the answer broke off.
	Err error
}

// Send sends a request to a host, with Key where none is given.
func (sys *System) Send(ctx context.Context, hos *Host, req Request) Answer {
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
	return do(htr)
}

func (sys *System) get(url string) Answer {
	req, err := http.NewRequestWithContext(sys.t.Context(), http.MethodGet, url, http.NoBody)
	assert.NilError(sys.t, err)
	return do(req)
}

// do makes a call on a connection of its own.
func do(req *http.Request) Answer {
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

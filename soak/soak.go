// Package soak runs the real programs as separate processes, injects faults from
// outside, which may overlap, and checks the results that clients and engines
// observe.
//
// # Usage
//
//	func TestMain(m *testing.M) { processtest.Main(m) }
//	soak.Run(t, soak.Config{Seed: 17})
//
// A seed determines the faults, their order and the requests; the interleaving of
// the processes varies from run to run. A run signals only processes that it
// started, by their process ids.
package soak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/embedded"
	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/processtest"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

const (
	defaultHosts = 3
	// enginesPerService is the number of engines of each of the two services.
	enginesPerService = 3
	// faultCount is the number of faults in a run; meanFaultInterval is the mean time between
	// two of them.
	faultCount        = 8
	meanFaultInterval = 500 * time.Millisecond
	// visitorCount is the number of visitors, each a separate client.
	visitorCount = 6
	// settleTime is the time for recovery after the faults are cleared, and again after the
	// evacuation is withdrawn.
	settleTime = 3 * time.Second
	// conditionTimeout bounds every wait for a condition, such as the start of a host.
	conditionTimeout = 20 * time.Second
	// engineSlots is the number of concurrent requests in an engine's store entry.
	engineSlots = 4
	// streamEvents is the number of events in a stream.
	streamEvents = 5
)

// Config holds the parameters of a run. Hosts is the number of hosts; 0 stands for 3. With BadPart, engines are crashed by
// one part of prompts that all differ, in place of one request that is sent again and again. With Stops, all hosts are
// stopped as planned in series that overlap, and without BadPart nothing crashes engines: hosts that are all replaced
// within seconds know nothing of earlier crashes.
type Config struct {
	Seed    uint64
	Hosts   int
	BadPart bool
	Stops   bool
}

// system holds the processes of a run.
type system struct {
	t      *testing.T
	dir    string
	random *rand.Rand
	// signalRandom selects the signals of engines, rateRandom their rate limits,
	// evacuationRandom the withdrawals of evacuations, speedRandom the hosts that are slow, pathRandom those that are cut off from
	// engines, restoreRandom the restorations of the store, streamRandom the streams that engines break off, and processRandom the series of stops. They are separate sources, so that the faults of a seed, which random selects, do not depend on them.
	signalRandom     *rand.Rand
	rateRandom       *rand.Rand
	evacuationRandom *rand.Rand
	speedRandom      *rand.Rand
	pathRandom       *rand.Rand
	restoreRandom    *rand.Rand
	streamRandom     *rand.Rand
	processRandom    *rand.Rand
	// endlessRandom selects the engines that send bytes without an end.
	endlessRandom *rand.Rand
	// answerRandom selects the engines' answers that are none of HTTP/1, and those to requests that they haven't read.
	answerRandom *rand.Rand
	// numbering is how the engines number the events of their streams.
	numbering numbering
	// badPart is set if one part of prompts crashes engines.
	badPart bool
	// copyKept is set once the store has kept a copy of its content.
	copyKept bool
	// orderedAt is the time of the evacuation order in force, zero for none. inClosedPeriod is
	// set once the domain has been published as closed under this order. closedPeriods lists all
	// periods in which the domain was published as closed.
	orderedAt      time.Time
	inClosedPeriod bool
	closedPeriods  []closedPeriod
	storeAddress   netip.AddrPort
	hosts          []*host
	// engines holds every engine that was started, including crashed and retired ones.
	engines []*engine
	// version, keys, rate and burst belong to the latest configuration in the store; a rate of 0 is no limit.
	version uint64
	keys    []string
	rate    float64
	burst   float64
	// limited is a second account with a limit; nil for none.
	limited *entrytest.LimitedAccount
	// limitedIDs are the requests of the second account, which checkLimit checks.
	limitedIDs map[string]time.Time
	// bounds override the hosts' settings.
	bounds settings.Bounds
	mutex  sync.Mutex
	// revokedAt maps each revoked client key to the time of its revocation.
	revokedAt map[string]time.Time
}

type host struct {
	*processtest.Process
	set       settings.Entry
	storeLink *processtest.Link
	file      string
	down      bool
	// starts counts the processes of the host.
	starts atomic.Int64
	// restarts is set if the host is down and is to be started again when it has ended.
	restarts bool
	// disturbances holds the times at which the host was killed, stopped, started, frozen or resumed.
	disturbances []time.Time
}

type engine struct {
	id      string
	service string
	domain  string
	version string
	address netip.AddrPort
	// sequence counts the versions of its store entry.
	sequence uint64
	// retiredAt is the time at which its entry was deleted or began to drain; zero before. deleted is set if
	// the entry was deleted. The engine is cold until coldUntil.
	retiredAt time.Time
	deleted   bool
	coldUntil time.Time
	// crashed is closed when its process has exited; replaced is set once another engine has been
	// started in its place.
	crashed  chan struct{}
	replaced bool
	// signalsDraining is set once its answers carry the draining signal, signalsBackoff while
	// the engine rejects requests with a backoff request.
	signalsDraining bool
	signalsBackoff  bool
	// rateLimit is the limit that its answers carry, in requests per second; nil for none.
	rateLimit *float64
}

// hasCrashed reports whether the engine's process has exited.
func (eng *engine) hasCrashed() bool {
	select {
	case <-eng.crashed:
		return true
	default:
		return false
	}
}

// Run starts a system, injects the faults of a seed and checks the guarantees to clients,
// operators and engines.
func Run(t *testing.T, cfg Config) {
	t.Helper()
	if cfg.Hosts == 0 {
		cfg.Hosts = defaultHosts
	}
	sys := start(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	sent := sys.startVisitors(ctx, cfg.Seed)
	poisonStopped := closedChannel()
	if cfg.BadPart || !cfg.Stops {
		poisonStopped = sys.startPoisonVisitor(ctx, cfg)
	}
	limited := sys.startClients(ctx, laundryClients, laundryKey)
	for range enginesPerService {
		sys.changeRateLimit()
	}
	for range faultCount {
		sys.injectFault()
		sys.changeSignals()
		if sys.rateRandom.IntN(3) == 0 {
			sys.changeRateLimit()
		}
		sys.changeEvacuation()
		sys.changeSpeed()
		if cfg.Stops {
			sys.changeProcesses()
		}
		sys.changePath()
		sys.changeStoreContent()
		sys.breakStreams()
		sys.sendEndless()
		sys.replaceCrashed()
		sys.wait(time.Duration(float64(meanFaultInterval) * sys.random.ExpFloat64()))
	}
	sys.clearFaults()
	sys.clearBackoffs()
	sys.wait(settleTime)
	sys.withdrawEvacuation()
	sys.wait(settleTime)
	cancel()
	<-poisonStopped
	limited.wait()
	sys.replaceCrashed()
	results := <-sent
	sys.limitedIDs = limited.sentAt
	sys.checkMemory()
	sys.checkResults(results)
	sys.checkLimit(limited)
	sys.checkServing(cfg.Seed)
}

func closedChannel() <-chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

// wait waits for the duration, so that faults take effect, and polls the evacuation state
// meanwhile. The wait is at most four mean fault intervals plus settleTime.
func (sys *system) wait(dur time.Duration) {
	end := time.After(min(dur, 4*meanFaultInterval+settleTime))
	tick := time.NewTicker(statePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			sys.recordClosed()
			sys.restartEnded()
		case <-end:
			return
		}
	}
}

func start(t *testing.T, cfg Config) *system {
	t.Helper()
	sys := newSystem(t, cfg)
	sys.limited = &entrytest.LimitedAccount{Name: laundryAccount, Key: laundryKey, Rate: laundryRate, Burst: laundryBurst}
	sys.bounds = limitBounds()
	sys.numbering = drawNumbering(cfg.Seed)
	t.Logf("ids of events: %+v", sys.numbering)
	_, sys.storeAddress = startStore(sys)
	for idx := range enginesPerService {
		sys.addEngine(fmt.Sprintf("m%d", idx), entrytest.Model)
		sys.addEngine(fmt.Sprintf("p%d", idx), entrytest.Plain)
	}
	sys.keys = []string{entrytest.Key}
	sys.configure()
	for idx := range cfg.Hosts {
		sys.addHost(idx)
	}
	t.Cleanup(sys.saveLogs)
	for _, hos := range sys.hosts {
		sys.waitUntil("host ready", func() bool { return sys.ready(hos) })
	}
	return sys
}

// newSystem returns a system without processes.
func newSystem(t *testing.T, cfg Config) *system {
	t.Helper()
	return &system{t: t, dir: t.TempDir(), badPart: cfg.BadPart, random: rand.New(rand.NewPCG(cfg.Seed, 1)), signalRandom: rand.New(rand.NewPCG(cfg.Seed, 55)), rateRandom: rand.New(rand.NewPCG(cfg.Seed, 89)), evacuationRandom: rand.New(rand.NewPCG(cfg.Seed, 144)), speedRandom: rand.New(rand.NewPCG(cfg.Seed, 233)), pathRandom: rand.New(rand.NewPCG(cfg.Seed, 377)), restoreRandom: rand.New(rand.NewPCG(cfg.Seed, 610)), streamRandom: rand.New(rand.NewPCG(cfg.Seed, 987)), processRandom: rand.New(rand.NewPCG(cfg.Seed, 1597)), endlessRandom: rand.New(rand.NewPCG(cfg.Seed, 2584)), answerRandom: rand.New(rand.NewPCG(cfg.Seed, 4181)), revokedAt: make(map[string]time.Time)}
}

// startStore starts the stand-in of the store.
func startStore(sys *system) (*processtest.Process, netip.AddrPort) {
	sys.t.Helper()
	return processtest.StartFake(sys.t, sys.dir, "store", "platform")
}

// saveLogs copies the logs of a failed run into a new directory, named after the seed and the commit, in
// the one that LYNXWELL_SOAK_LOGS names, or else in the system's directory for temporary files.
func (sys *system) saveLogs() {
	if !sys.t.Failed() {
		return
	}
	root := cmp.Or(os.Getenv("LYNXWELL_SOAK_LOGS"), filepath.Join(os.TempDir(), "lynxwell-soak"))
	err := os.MkdirAll(root, 0o700)
	var target string
	if err == nil {
		target, err = os.MkdirTemp(root, filepath.Base(sys.t.Name())+"-"+sys.commit()+"-")
	}
	if err == nil {
		err = os.CopyFS(target, os.DirFS(sys.dir))
	}
	if err != nil {
		sys.t.Log("cannot copy the logs of the run:", err)
		return
	}
	sys.t.Log("logs of the run:", target)
}

// commit returns the abbreviated commit of the checkout, or a placeholder outside of one.
func (sys *system) commit() string {
	out, err := exec.CommandContext(context.WithoutCancel(sys.t.Context()), "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "no-commit"
	}
	return strings.TrimSpace(string(out))
}

func (sys *system) addEngine(id, service string) {
	sys.t.Helper()
	eng := sys.addEngineOf(id, service, softwareVersions[len(sys.engines)/2%len(softwareVersions)])
	if sys.version > 0 {
		// An engine that is added to the running system starts cold.
		sys.markCold(eng)
		return
	}
	sys.register(eng, false)
}

// addEngineOf starts an engine of a software version, without an entry in the store.
func (sys *system) addEngineOf(id, service, version string) *engine {
	sys.t.Helper()
	args := []string{"upstream", "--id", id, "--service", service, "--software-version", version}
	if service == entrytest.Model {
		args = append(args, "--events", fmt.Sprint(streamEvents), "--step", "20ms", "--crash-body", entrytest.PoisonBody, "--crash-part", strconv.FormatUint(badPart, 16))
		args = append(args, sys.numbering.flags(len(sys.engines))...)
	}
	pro, adr := processtest.StartFake(sys.t, sys.dir, "engine-"+id, args...)
	eng := &engine{id: id, service: service, domain: openDomain, version: version, address: adr, crashed: make(chan struct{})}
	if len(sys.engines)%3 == 0 {
		eng.domain = evacuatedDomain
	}
	go func() {
		pro.Wait()
		close(eng.crashed)
	}()
	sys.engines = append(sys.engines, eng)
	return eng
}

func (sys *system) register(eng *engine, draining bool) {
	sys.registerCold(eng, draining, 0)
}

func (sys *system) registerCold(eng *engine, draining bool, cold time.Duration) {
	eng.sequence++
	entry := entrytest.EngineEntry(entrytest.EngineState{
		Service: eng.service, Address: eng.address.String(), Slots: engineSlots, Draining: draining, Domain: eng.domain, Version: eng.version, Cold: cold, Sequence: eng.sequence,
	})
	sys.put(store.Write{Key: entrytest.EngineKey(eng.id), Blind: true, Data: entry})
}

func (sys *system) put(wri store.Write) {
	sys.t.Helper()
	sys.post(sys.storeAddress, platformtest.PathPut, wri)
}

// configure writes the next version of the configuration to the store.
func (sys *system) configure() {
	sys.t.Helper()
	sys.version += 1 + sys.random.Uint64N(3)
	sys.writeConfiguration()
}

// writeConfiguration writes the configuration with the current version and keys to the store.
func (sys *system) writeConfiguration() {
	sys.t.Helper()
	con := entrytest.Configuration{Version: sys.version, Keys: sys.keys, ColdFor: coldFor, ColdRate: coldRate, Rate: sys.rate, Burst: sys.burst, Limited: sys.limited}
	sys.put(store.Write{Key: entrytest.ConfigurationKey, Blind: true, Data: []byte(con.JSON())})
}

func (sys *system) post(adr netip.AddrPort, path string, body any) {
	sys.t.Helper()
	assert.NilError(sys.t, sys.tryPost(adr, path, body))
}

// tryPost posts a JSON body. It returns an error if there was no answer, and fails the test on any
// status but 200.
func (sys *system) tryPost(adr netip.AddrPort, path string, body any) error {
	sys.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(sys.t, err)
	req, err := http.NewRequestWithContext(sys.t.Context(), http.MethodPost, "http://"+adr.String()+path, bytes.NewReader(data))
	assert.NilError(sys.t, err)
	rep, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	assert.NilError(sys.t, rep.Body.Close())
	assert.Equal(sys.t, rep.StatusCode, http.StatusOK)
	return nil
}

// control posts a body to a control path of an engine. A call without an answer is accepted if the
// engine has crashed, since the poison request may crash it at the same moment.
func (sys *system) control(eng *engine, path string, body any) {
	sys.t.Helper()
	if err := sys.tryPost(eng.address, path, body); err != nil {
		sys.waitUntil(eng.id+" has crashed, as its control path does not answer", eng.hasCrashed)
	}
}

func (sys *system) addHost(idx int) {
	sys.t.Helper()
	hos := &host{storeLink: processtest.NewLink(sys.t, sys.storeAddress)}
	hos.set = settings.Entry{
		Name: fmt.Sprintf("host-%d", idx), Domain: fmt.Sprintf("d%d", idx%2), StoreAddress: hos.storeLink.Address,
		CallerAddress: embedded.NextAddress(), ReadyAddress: embedded.NextAddress(), DirectoryAddress: embedded.NextAddress(),
		PeerAddress: embedded.NextAddress(), MetricsAddress: embedded.NextAddress(),
		Bounds:     sys.bounds,
		Scheduling: settings.Scheduling{Shares: settings.SharesByWeight, PredictTurns: settings.ToggleOn, BookReturns: settings.ToggleOn},
	}
	hos.file = filepath.Join(sys.dir, hos.set.Name+".json")
	sys.hosts = append(sys.hosts, hos)
	sys.startHost(hos)
}

func (sys *system) startHost(hos *host) {
	sys.t.Helper()
	data, err := json.Marshal(hos.set)
	assert.NilError(sys.t, err)
	assert.NilError(sys.t, os.WriteFile(hos.file, data, 0o600))
	hos.recordDisturbance()
	hos.starts.Add(1)
	hos.Process = processtest.Run(sys.t, sys.dir, hos.set.Name, "entry", "--settings", hos.file)
	hos.down, hos.restarts = false, false
}

func (sys *system) ready(hos *host) bool {
	req, err := http.NewRequestWithContext(sys.t.Context(), http.MethodGet, "http://"+hos.set.ReadyAddress.String()+platform.PathReady, http.NoBody)
	assert.NilError(sys.t, err)
	rep, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = rep.Body.Close()
	return rep.StatusCode == http.StatusOK
}

func (sys *system) waitUntil(condition string, holds func() bool) {
	sys.t.Helper()
	limit := time.After(conditionTimeout)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-limit:
			sys.t.Fatalf("condition not met within %s: %s", conditionTimeout, condition)
		}
	}
}

// runs returns the runs that an engine recorded.
func (sys *system) runs(eng *engine) []upstreamtest.Run {
	return readList[upstreamtest.Run](sys, eng, upstreamtest.PathRuns)
}

// readList reads a list from a control path of an engine.
func readList[T any](sys *system, eng *engine, path string) []T {
	sys.t.Helper()
	req, err := http.NewRequestWithContext(sys.t.Context(), http.MethodGet, "http://"+eng.address.String()+path, http.NoBody)
	assert.NilError(sys.t, err)
	rep, err := http.DefaultClient.Do(req)
	assert.NilError(sys.t, err)
	defer rep.Body.Close()
	var list []T
	assert.NilError(sys.t, json.NewDecoder(rep.Body).Decode(&list))
	return list
}

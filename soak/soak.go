// Package soak runs the real programs as separate processes, brings faults upon
// them from outside, in series and overlapping, and checks what callers and
// engines see.
//
// # Usage
//
//	func TestMain(m *testing.M) { processtest.Main(m) }
//	soak.Play(t, soak.Config{Seed: 17})
//
// A seed decides the faults, their order and the requests; how the processes
// interleave is up to the machine. Only processes that a play started are ended,
// by their ids.
package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
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
	// perService is how many engines each of the two services has.
	perService = 3
	// steps is how many faults a play has, stepMean how far apart they are.
	steps    = 8
	stepMean = 500 * time.Millisecond
	// visitors is how many callers there are.
	visitors = 6
	// settleTime lets everything recover before the last requests.
	settleTime = 3 * time.Second
	// startLimit bounds the start, and any condition waited for.
	startLimit = 20 * time.Second
	// slots is how many requests an engine says that it works on at a time.
	slots = 4
	// events is the length of a stream.
	events = 5
)

// Config holds what a play is made from.
type Config struct {
	Seed  uint64
	Hosts int
}

// system is the processes of a play.
type system struct {
	t      *testing.T
	dir    string
	random *rand.Rand
	// words decides what engines say of themselves, by itself: the faults of a seed stay.
	words *rand.Rand
	// rates decides which rates they name, by itself too, places when a failure domain is
	// emptied and used again.
	rates  *rand.Rand
	places *rand.Rand
	// ordered is when the order was given that holds, zero for none; toldOpen says that
	// operators have read since that the domain is closed, emptied are the times for which
	// they had.
	ordered  time.Time
	toldOpen bool
	emptied  []emptying
	store    netip.AddrPort
	hosts    []*host
	// engines are all that ever ran; entered are those with an entry.
	engines []*engine
	version uint64
	keys    []string
	mutex   sync.Mutex
	revoked map[string]time.Time
}

type host struct {
	*processtest.Process
	set   settings.Entry
	store *processtest.Link
	file  string
	down  bool
	// disturbed is when the host was killed, stopped, started, frozen or woken.
	disturbed []time.Time
}

type engine struct {
	id      string
	service string
	domain  string
	address netip.AddrPort
	// sequence counts what it has told in its entry.
	sequence uint64
	// leftAt is when its entry was taken away or began to drain; zero before.
	leftAt time.Time
	// ended is closed when its process has ended, replaced says that another is in its place.
	ended    chan struct{}
	replaced bool
	// saysLeaves says that its answers tell of its leave, pauses that it turns requests away.
	saysLeaves bool
	pauses     bool
	// rate is what its answers name; nil for none.
	rate *float64
}

// hasEnded reports whether the engine's process has ended.
func (eng *engine) hasEnded() bool {
	select {
	case <-eng.ended:
		return true
	default:
		return false
	}
}

// Play plays a seed and checks the promises.
func Play(t *testing.T, cfg Config) {
	t.Helper()
	if cfg.Hosts == 0 {
		cfg.Hosts = defaultHosts
	}
	sys := start(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	sent := sys.visit(ctx, cfg.Seed)
	culprit := sys.endEngines(ctx, cfg.Seed)
	for range perService {
		sys.engineNamesRate()
	}
	for range steps {
		sys.fault()
		sys.engineSays()
		if sys.rates.IntN(3) == 0 {
			sys.engineNamesRate()
		}
		sys.placesChange()
		sys.replaceEnded()
		sys.wait(time.Duration(float64(stepMean) * sys.random.ExpFloat64()))
	}
	sys.heal()
	sys.endPauses()
	sys.wait(settleTime)
	sys.takeBack()
	sys.wait(settleTime)
	cancel()
	<-culprit
	sys.replaceEnded()
	results := <-sent
	sys.check(results)
	sys.serves(cfg.Seed)
}

// wait lets time pass: faults need their time to work.
func (sys *system) wait(dur time.Duration) {
	end := time.After(min(dur, 4*stepMean+settleTime))
	tick := time.NewTicker(toldInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			sys.noteTold()
		case <-end:
			return
		}
	}
}

func start(t *testing.T, cfg Config) *system {
	t.Helper()
	sys := &system{t: t, dir: t.TempDir(), random: rand.New(rand.NewPCG(cfg.Seed, 1)), words: rand.New(rand.NewPCG(cfg.Seed, 55)), rates: rand.New(rand.NewPCG(cfg.Seed, 89)), places: rand.New(rand.NewPCG(cfg.Seed, 144)), revoked: make(map[string]time.Time)}
	_, sys.store = processtest.Standin(t, sys.dir, "store", "platform")
	for idx := range perService {
		sys.addEngine(fmt.Sprintf("m%d", idx), entrytest.Model)
		sys.addEngine(fmt.Sprintf("p%d", idx), entrytest.Plain)
	}
	sys.keys = []string{entrytest.Key}
	sys.configure()
	for idx := range cfg.Hosts {
		sys.addHost(idx)
	}
	t.Cleanup(sys.keepLogs)
	for _, hos := range sys.hosts {
		sys.until("host ready", func() bool { return sys.ready(hos) })
	}
	return sys
}

// keepLogs copies the logs of a failed play to where they stay.
func (sys *system) keepLogs() {
	keep := os.Getenv("LYNXWELL_SOAK_LOGS")
	if !sys.t.Failed() || keep == "" {
		return
	}
	target := filepath.Join(keep, filepath.Base(sys.t.Name()))
	if err := os.CopyFS(target, os.DirFS(sys.dir)); err != nil {
		sys.t.Log("logs not kept:", err)
	}
}

func (sys *system) addEngine(id, service string) {
	sys.t.Helper()
	args := []string{"upstream", "--id", id, "--service", service}
	if service == entrytest.Model {
		args = append(args, "--events", fmt.Sprint(events), "--step", "20ms", "--crash-body", entrytest.PoisonBody)
	}
	pro, adr := processtest.Standin(sys.t, sys.dir, "engine-"+id, args...)
	eng := &engine{id: id, service: service, domain: usedDomain, address: adr, ended: make(chan struct{})}
	if len(sys.engines)%3 == 0 {
		eng.domain = emptiedDomain
	}
	go func() {
		pro.Wait()
		close(eng.ended)
	}()
	sys.engines = append(sys.engines, eng)
	if sys.version > 0 {
		// It starts while traffic flows.
		sys.chill(eng)
		return
	}
	sys.enter(eng, false)
}

func (sys *system) enter(eng *engine, draining bool) {
	sys.enterCold(eng, draining, 0)
}

func (sys *system) enterCold(eng *engine, draining bool, cold time.Duration) {
	eng.sequence++
	entry := entrytest.EngineEntry(entrytest.EngineState{
		Service: eng.service, Address: eng.address.String(), Slots: slots, Draining: draining, Domain: eng.domain, Cold: cold, Sequence: eng.sequence,
	})
	sys.put(store.Write{Key: entrytest.EngineKey(eng.id), Blind: true, Data: entry})
}

func (sys *system) put(wri store.Write) {
	sys.t.Helper()
	sys.post(sys.store, platformtest.PathPut, wri)
}

// configure puts the next version in force.
func (sys *system) configure() {
	sys.t.Helper()
	sys.version += 1 + sys.random.Uint64N(3)
	con := entrytest.Configuration{Version: sys.version, Keys: sys.keys, ColdFor: coldFor, ColdRate: coldRate}
	sys.put(store.Write{Key: entrytest.ConfigurationKey, Blind: true, Data: []byte(con.JSON())})
}

func (sys *system) post(adr netip.AddrPort, path string, body any) {
	sys.t.Helper()
	assert.NilError(sys.t, sys.tryPost(adr, path, body))
}

// tryPost returns an error where no answer came; any other answer than a good one fails the
// play.
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

// tell has an engine's own switch take a body. The engine may end at that very moment, since
// a caller's request does it: then there is nothing to tell any more.
func (sys *system) tell(eng *engine, path string, body any) {
	sys.t.Helper()
	if err := sys.tryPost(eng.address, path, body); err != nil {
		sys.until(eng.id+" has ended, since it can't be told", eng.hasEnded)
	}
}

func (sys *system) addHost(idx int) {
	sys.t.Helper()
	hos := &host{store: processtest.NewLink(sys.t, sys.store)}
	hos.set = settings.Entry{
		Name: fmt.Sprintf("host-%d", idx), Domain: fmt.Sprintf("d%d", idx%2), StoreAddress: hos.store.Address,
		CallerAddress: embedded.NextAddress(), ReadyAddress: embedded.NextAddress(), DirectoryAddress: embedded.NextAddress(),
		PeerAddress: embedded.NextAddress(), MetricsAddress: embedded.NextAddress(),
	}
	hos.file = filepath.Join(sys.dir, hos.set.Name+".json")
	sys.hosts = append(sys.hosts, hos)
	sys.run(hos)
}

func (sys *system) run(hos *host) {
	sys.t.Helper()
	data, err := json.Marshal(hos.set)
	assert.NilError(sys.t, err)
	assert.NilError(sys.t, os.WriteFile(hos.file, data, 0o600))
	hos.disturb()
	hos.Process = processtest.Run(sys.t, sys.dir, hos.set.Name, "entry", "--settings", hos.file)
	hos.down = false
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

func (sys *system) until(what string, holds func() bool) {
	sys.t.Helper()
	limit := time.After(startLimit)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-limit:
			sys.t.Fatalf("not within %s: %s", startLimit, what)
		}
	}
}

// runs returns what an engine ran.
func (sys *system) runs(eng *engine) []upstreamtest.Run {
	return read[upstreamtest.Run](sys, eng, upstreamtest.PathRuns)
}

// read reads a list from an engine's own switches.
func read[T any](sys *system, eng *engine, path string) []T {
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

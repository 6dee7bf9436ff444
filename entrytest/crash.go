package entrytest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// PoisonBody is contained in the body of each poison request: a request that crashes the
// engine that runs it.
const PoisonBody = "ends whatever runs it"

// CrashConfig holds the settings of CrashingEngines.
type CrashConfig struct {
	Engines int
	// Slots is how many requests an engine runs at a time; 0 means 4.
	Slots int
	// Events is the number of events of a stream, Step the time between two events.
	Events int
	Step   time.Duration
	// After is how long a poison request runs until its engine crashes.
	After time.Duration
	// Lapse is the time from a crash until the engine's entry is deleted, Back the time
	// from a crash until the engine's next run starts.
	Lapse time.Duration
	Back  time.Duration
	// Part is the id of a prompt part, in hexadecimal digits, that makes every request with it a poison request,
	// unless it is the last part; empty for none.
	Part string
	// Unframed makes a crashing engine send the head of an answer that ends with its connection.
	Unframed bool
	// SameName gives the next run the same name and another start time. The entry of a crashed
	// engine isn't deleted then.
	SameName bool
}

// CrashingEngines is a group of engines of the service Model that crash when they run a poison
// request. A crashed engine closes its connections and its listener. Its entry is deleted
// CrashConfig.Lapse later, and its next run starts CrashConfig.Back after the crash.
type CrashingEngines struct {
	sys *System
	cfg CrashConfig

	mutex sync.Mutex
	// sites are the addresses at which engines run, one run each at a time.
	sites    []*crashSite
	arrivals []Arrival
	crashes  []time.Time
	// interrupted counts the requests without PoisonBody that crashes interrupted.
	interrupted int
	stopped     bool
}

// Arrival is a poison request that reached an engine.
type Arrival struct {
	ID     string
	Engine string
	At     time.Time
	// Beside is the number of requests without PoisonBody that the engine was running.
	Beside int
}

// crashSite is an address at which the runs of one engine follow one another.
type crashSite struct {
	number  int
	address string
	run     int
	name    string
	server  *http.Server
	engine  *upstreamtest.Engine
	running int
	crashed bool
}

// AddCrashingEngines starts crashing engines and registers them in the store.
func (sys *System) AddCrashingEngines(cfg CrashConfig) *CrashingEngines {
	sys.t.Helper()
	if cfg.Slots == 0 {
		cfg.Slots = 4
	}
	cra := &CrashingEngines{sys: sys, cfg: cfg}
	for num := range cfg.Engines {
		sit := &crashSite{number: num, address: "127.0.0.1:0"}
		cra.sites = append(cra.sites, sit)
		cra.startRun(sit)
	}
	sys.t.Cleanup(cra.stop)
	return cra
}

func (cra *CrashingEngines) stop() {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	cra.stopped = true
	for _, sit := range cra.sites {
		// The test is over, so the error doesn't matter.
		_ = sit.server.Close()
	}
}

// startRun starts the next run of a site's engine.
func (cra *CrashingEngines) startRun(sit *crashSite) {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	if cra.stopped {
		return
	}
	var lic net.ListenConfig
	lis, err := lic.Listen(context.Background(), "tcp", sit.address)
	assert.Check(cra.sys.t, err)
	if err != nil {
		return
	}
	sit.address = lis.Addr().String()
	sit.run++
	sit.name = fmt.Sprintf("crash-%d", sit.number)
	if !cra.cfg.SameName {
		sit.name = fmt.Sprintf("crash-%d-%d", sit.number, sit.run)
	}
	sit.engine = upstreamtest.NewEngine(upstreamtest.Config{ID: sit.name, Service: Model, Events: cra.cfg.Events, Step: cra.cfg.Step})
	sit.crashed, sit.running = false, 0
	srv := &http.Server{Handler: cra.handler(sit, sit.engine.Handler(), sit.run), ReadHeaderTimeout: time.Minute}
	sit.server = srv
	go func() {
		// Serve returns when the server is closed.
		_ = srv.Serve(lis)
	}()
	cra.register(sit)
}

func (cra *CrashingEngines) register(sit *crashSite) {
	sta := EngineState{Service: Model, Address: sit.address, Slots: cra.cfg.Slots}
	if cra.cfg.SameName {
		sta.Born = time.Now()
	}
	// The error is ignored, since the test may be over.
	_, _ = cra.sys.Store.Put(context.Background(), store.Write{Key: EngineKey(sit.name), Data: EngineEntry(sta), Blind: true})
}

// handler returns the HTTP handler of one run of a site's engine.
func (cra *CrashingEngines) handler(sit *crashSite, engine http.Handler, run int) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		body, err := readBody(req)
		if err != nil {
			return
		}
		if expected := req.Header.Get("Expect-Instance"); expected != sit.name || !cra.isPoison(req, body) {
			cra.addRunning(sit, run, 1)
			defer cra.addRunning(sit, run, -1)
			engine.ServeHTTP(wri, req)
			return
		}
		cra.recordArrival(sit, req.Header.Get("Request-Id"))
		timer := time.NewTimer(cra.cfg.After)
		defer timer.Stop()
		select {
		case <-timer.C:
			if cra.cfg.Unframed {
				defer upstreamtest.SendHead(wri, req.Header.Get("Request-Id"))()
			}
			cra.crash(sit, run)
		case <-req.Context().Done():
		}
		panic(http.ErrAbortHandler)
	})
}

// isPoison reports whether the request crashes the engine that runs it.
func (cra *CrashingEngines) isPoison(req *http.Request, body string) bool {
	return strings.Contains(body, PoisonBody) || upstreamtest.HasPart(req, cra.cfg.Part)
}

func (cra *CrashingEngines) addRunning(sit *crashSite, run, change int) {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	if sit.run == run {
		sit.running += change
	}
}

func (cra *CrashingEngines) recordArrival(sit *crashSite, id string) {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	cra.arrivals = append(cra.arrivals, Arrival{ID: id, Engine: sit.name, At: time.Now(), Beside: sit.running})
}

// crash ends a run of a site's engine, unless that run has ended already.
func (cra *CrashingEngines) crash(sit *crashSite, run int) {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	if sit.run != run || sit.crashed || cra.stopped {
		return
	}
	sit.crashed = true
	cra.crashes = append(cra.crashes, time.Now())
	cra.interrupted += sit.running
	// Close ends the open connections, too.
	_ = sit.server.Close()
	name := sit.name
	if !cra.cfg.SameName {
		time.AfterFunc(cra.cfg.Lapse, func() {
			// The error is ignored, since the test may be over.
			_, _ = cra.sys.Store.Put(context.Background(), store.Write{Key: EngineKey(name), Delete: true, Blind: true})
		})
	}
	time.AfterFunc(cra.cfg.Back, func() { cra.startRun(sit) })
}

// Arrivals returns the poison requests that reached engines, in order of arrival.
func (cra *CrashingEngines) Arrivals() []Arrival {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	return append([]Arrival(nil), cra.arrivals...)
}

// Crashes returns the times at which engines crashed, in order.
func (cra *CrashingEngines) Crashes() []time.Time {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	return append([]time.Time(nil), cra.crashes...)
}

// Drain marks an engine's entry as draining.
func (cra *CrashingEngines) Drain(engine string) {
	cra.sys.t.Helper()
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	for _, sit := range cra.sites {
		if sit.name == engine {
			cra.sys.PutEngineState(engine, EngineState{Service: Model, Address: sit.address, Slots: cra.cfg.Slots, Draining: true, Sequence: 2})
		}
	}
}

// WaitForRunning waits until at least count engines run.
func (cra *CrashingEngines) WaitForRunning(count int) {
	cra.sys.t.Helper()
	cra.sys.WaitUntil("engines run again", func() bool {
		cra.mutex.Lock()
		defer cra.mutex.Unlock()
		running := 0
		for _, sit := range cra.sites {
			if !sit.crashed {
				running++
			}
		}
		return running >= count
	})
}

// InterruptedRequests returns how many requests without PoisonBody crashes have interrupted.
func (cra *CrashingEngines) InterruptedRequests() int {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	return cra.interrupted
}

// readBody returns the request's body and replaces it by a copy, so that the handler can read
// it again.
func readBody(req *http.Request) (string, error) {
	body, err := io.ReadAll(req.Body)
	req.Body = io.NopCloser(bytes.NewReader(body))
	return string(body), err
}

// EngineCount returns the number of engines.
func (cra *CrashingEngines) EngineCount() int { return len(cra.sites) }

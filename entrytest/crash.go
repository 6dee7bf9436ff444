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

// CrashBody is in the body of each request under which the engines of a Crashing end.
const CrashBody = "ends whatever runs it"

// CrashConfig says how engines end and come back.
type CrashConfig struct {
	Engines int
	// Slots is how many requests each works on at a time, default 4.
	Slots int
	// Events is the length of a stream, Step the time between two events.
	Events int
	Step   time.Duration
	// After is how long a request with CrashBody has run when its engine ends.
	After time.Duration
	// Lapse is after what time the entry of an engine that ended goes, and Back after what
	// time another run is there.
	Lapse time.Duration
	Back  time.Duration
	// SameName has an engine start again under its name, with another start.
	SameName bool
}

// Crashing are engines of the service Model that end when they run a request with
// CrashBody: their connections end, nothing listens at their address, their entry stays
// until it lapses, and some time later they are back.
type Crashing struct {
	sys *System
	cfg CrashConfig

	mutex sync.Mutex
	// sites are the places at which engines run, one engine each at a time.
	sites    []*crashSite
	arrivals []Arrival
	ends     []time.Time
	// innocents are the requests without CrashBody that an engine's end took.
	innocents int
	stopped   bool
}

// Arrival is a request with CrashBody that reached an engine.
type Arrival struct {
	ID     string
	Engine string
	At     time.Time
	// Beside is how many other requests the engine ran.
	Beside int
}

// crashSite is where an engine runs again and again.
type crashSite struct {
	number  int
	address string
	run     int
	name    string
	server  *http.Server
	engine  *upstreamtest.Engine
	running int
	ended   bool
}

// AddCrashing starts such engines and has them enter.
func (sys *System) AddCrashing(cfg CrashConfig) *Crashing {
	sys.t.Helper()
	if cfg.Slots == 0 {
		cfg.Slots = 4
	}
	cra := &Crashing{sys: sys, cfg: cfg}
	for num := range cfg.Engines {
		sit := &crashSite{number: num, address: "127.0.0.1:0"}
		cra.sites = append(cra.sites, sit)
		cra.begin(sit)
	}
	sys.t.Cleanup(cra.stop)
	return cra
}

func (cra *Crashing) stop() {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	cra.stopped = true
	for _, sit := range cra.sites {
		// What fails here has no consequence: the test is over.
		_ = sit.server.Close()
	}
}

// begin starts the next run of a site's engine.
func (cra *Crashing) begin(sit *crashSite) {
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
	sit.ended, sit.running = false, 0
	srv := &http.Server{Handler: cra.handler(sit, sit.engine.Handler(), sit.run), ReadHeaderTimeout: time.Minute}
	sit.server = srv
	go func() {
		// It ends by being closed.
		_ = srv.Serve(lis)
	}()
	cra.enter(sit)
}

func (cra *Crashing) enter(sit *crashSite) {
	sta := EngineState{Service: Model, Address: sit.address, Slots: cra.cfg.Slots}
	if cra.cfg.SameName {
		sta.Born = time.Now()
	}
	// The test may be over.
	_, _ = cra.sys.Store.Put(context.Background(), store.Write{Key: EngineKey(sit.name), Data: EngineEntry(sta), Blind: true})
}

// handler serves a run of a site's engine.
func (cra *Crashing) handler(sit *crashSite, engine http.Handler, run int) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		body, err := readBody(req)
		if err != nil {
			return
		}
		if expected := req.Header.Get("Expect-Instance"); expected != sit.name || !strings.Contains(body, CrashBody) {
			cra.count(sit, run, 1)
			defer cra.count(sit, run, -1)
			engine.ServeHTTP(wri, req)
			return
		}
		cra.arrive(sit, req.Header.Get("Request-Id"))
		timer := time.NewTimer(cra.cfg.After)
		defer timer.Stop()
		select {
		case <-timer.C:
			cra.end(sit, run)
		case <-req.Context().Done():
		}
		panic(http.ErrAbortHandler)
	})
}

func (cra *Crashing) count(sit *crashSite, run, change int) {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	if sit.run == run {
		sit.running += change
	}
}

func (cra *Crashing) arrive(sit *crashSite, id string) {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	cra.arrivals = append(cra.arrivals, Arrival{ID: id, Engine: sit.name, At: time.Now(), Beside: sit.running})
}

// end ends a run of a site's engine, unless it has ended already.
func (cra *Crashing) end(sit *crashSite, run int) {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	if sit.run != run || sit.ended || cra.stopped {
		return
	}
	sit.ended = true
	cra.ends = append(cra.ends, time.Now())
	cra.innocents += sit.running
	// Its connections end with it.
	_ = sit.server.Close()
	name := sit.name
	if !cra.cfg.SameName {
		time.AfterFunc(cra.cfg.Lapse, func() {
			// The test may be over.
			_, _ = cra.sys.Store.Put(context.Background(), store.Write{Key: EngineKey(name), Delete: true, Blind: true})
		})
	}
	time.AfterFunc(cra.cfg.Back, func() { cra.begin(sit) })
}

// Arrivals returns the requests with CrashBody that reached engines, in order.
func (cra *Crashing) Arrivals() []Arrival {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	return append([]Arrival(nil), cra.arrivals...)
}

// Ends returns when engines ended, in order.
func (cra *Crashing) Ends() []time.Time {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	return append([]time.Time(nil), cra.ends...)
}

// Drain has an engine say that it leaves.
func (cra *Crashing) Drain(engine string) {
	cra.sys.t.Helper()
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	for _, sit := range cra.sites {
		if sit.name == engine {
			cra.sys.EnterState(engine, EngineState{Service: Model, Address: sit.address, Slots: cra.cfg.Slots, Draining: true, Sequence: 2})
		}
	}
}

// UntilUp waits until so many engines run.
func (cra *Crashing) UntilUp(count int) {
	cra.sys.t.Helper()
	cra.sys.Until("engines are back", func() bool {
		cra.mutex.Lock()
		defer cra.mutex.Unlock()
		up := 0
		for _, sit := range cra.sites {
			if !sit.ended {
				up++
			}
		}
		return up >= count
	})
}

// Innocents returns how many other requests the engines' ends took.
func (cra *Crashing) Innocents() int {
	cra.mutex.Lock()
	defer cra.mutex.Unlock()
	return cra.innocents
}

// readBody reads a body, and leaves it to be read again.
func readBody(req *http.Request) (string, error) {
	body, err := io.ReadAll(req.Body)
	req.Body = io.NopCloser(bytes.NewReader(body))
	return string(body), err
}

// Count returns how many engines there are.
func (cra *Crashing) Count() int { return len(cra.sites) }

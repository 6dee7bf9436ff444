package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/embedded"
	"lynxwell.dev/lynxwell/format"
	"lynxwell.dev/lynxwell/load"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/task"
)

// CapacityConfig holds what a measurement of the capacity is made from.
type CapacityConfig struct {
	// Hosts are the numbers of hosts to measure at.
	Hosts []int
	// Rates are the requests a second and host to measure at; 0 is idle.
	Rates []float64
	// Accounts is the number of client accounts in the configuration.
	Accounts int
	// For is how long each measurement lasts.
	For time.Duration
	// Heartbeat is how often idle sessions beat; 0 stands for the default.
	Heartbeat time.Duration
	Log       zerolog.Logger
}

// CapacityRow is one measurement, per host and second where nothing else is said.
type CapacityRow struct {
	Hosts int
	Rate  float64
	// ControlBytes is what a host sends to and receives from the others.
	ControlBytes float64
	// BytesARequest is what the rate adds to that, per request, over the row
	// of the same number of hosts without requests.
	BytesARequest float64
	// CPU is the processor time of the whole process in percent of one core,
	// per host; engines, callers and the platform's stand-in are in it.
	CPU float64
	// HeapBytes and Goroutines are per host, those stand-ins included.
	HeapBytes  float64
	Goroutines float64
	// PlatformCalls is per second for the whole system.
	PlatformCalls float64
	// ConfigurationTime is from an operator's call until all hosts have the
	// change in force.
	ConfigurationTime time.Duration
	// Sessions is how many sessions a host keeps, both ways.
	Sessions float64
	// Whole and Sent count the requests.
	Whole, Sent int
}

// The measured system: domains as in the users' aim.
const (
	capacityDomains = 5
	capacitySlots   = 16
)

// Capacity measures each number of hosts at each rate.
func Capacity(ctx context.Context, cfg CapacityConfig, progress func(CapacityRow)) ([]CapacityRow, error) {
	var rows []CapacityRow
	for _, hosts := range cfg.Hosts {
		some, err := capacityOf(ctx, cfg, hosts, progress)
		if err != nil {
			return rows, err
		}
		rows = append(rows, some...)
	}
	return rows, nil
}

func capacityOf(ctx context.Context, cfg CapacityConfig, hosts int, progress func(CapacityRow)) ([]CapacityRow, error) {
	sys, err := start(ctx, systemConfig{
		hosts: hosts, domains: min(hosts, capacityDomains), engines: 2 * hosts, slots: capacitySlots, accounts: cfg.Accounts,
		timing: settings.Timing{Heartbeat: format.Duration(cfg.Heartbeat)}, log: cfg.Log,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "%d hosts", hosts)
	}
	defer sys.Stop()
	if err := rest(ctx, settleTime); err != nil {
		return nil, err
	}
	var rows []CapacityRow
	idle := 0.0
	for _, rate := range cfg.Rates {
		row, err := measure(ctx, sys, cfg, rate)
		if err != nil {
			return rows, errors.Wrapf(err, "%d hosts at %g requests a second", hosts, rate)
		}
		if rate == 0 {
			idle = row.ControlBytes
		} else {
			row.BytesARequest = (row.ControlBytes - idle) / rate
		}
		rows = append(rows, row)
		progress(row)
	}
	return rows, nil
}

// settleTime is how long a system rests after its start: sessions are busy for
// a while after they were opened.
const settleTime = 5 * time.Second

// rest lets the time pass.
func rest(ctx context.Context, length time.Duration) error {
	if !task.Sleep(ctx, length) {
		return ctx.Err()
	}
	return nil
}

// reading is what the counters show at one time.
type reading struct {
	bytes uint64
	calls uint64
	cpu   time.Duration
}

func read(ctx context.Context, sys *embedded.System) (reading, error) {
	var rea reading
	for idx := range sys.Hosts {
		dum, err := dump(ctx, sys, idx)
		if err != nil {
			return rea, err
		}
		rea.bytes += dum.Traffic.Received + dum.Traffic.Sent
	}
	for _, count := range sys.Platform.Counts() {
		rea.calls += count
	}
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return rea, errors.Wrap(err, "read processor time")
	}
	rea.cpu = time.Duration(use.Utime.Nano() + use.Stime.Nano())
	return rea, nil
}

// dumpPart is the part of a host's dump that is read here.
type dumpPart struct {
	Traffic  struct{ Received, Sent uint64 }
	Peers    []struct{ Up bool }
	Gateways []struct{ Queued int }
}

func dump(ctx context.Context, sys *embedded.System, idx int) (dumpPart, error) {
	cli := sys.Operator(idx)
	defer cli.Close()
	var dum dumpPart
	raw, err := cli.Dump(ctx)
	if err != nil {
		return dum, err
	}
	return dum, errors.Wrap(json.Unmarshal(raw, &dum), "decode dump")
}

func measure(ctx context.Context, sys *embedded.System, cfg CapacityConfig, rate float64) (CapacityRow, error) {
	hosts := float64(len(sys.Hosts))
	row := CapacityRow{Hosts: len(sys.Hosts), Rate: rate}
	before, err := read(ctx, sys)
	if err != nil {
		return row, err
	}
	begun := time.Now()
	if err := row.use(ctx, sys, cfg, rate*hosts); err != nil {
		return row, err
	}
	after, err := read(ctx, sys)
	if err != nil {
		return row, err
	}
	took := time.Since(begun).Seconds()
	row.ControlBytes = float64(after.bytes-before.bytes) / took / hosts
	row.PlatformCalls = float64(after.calls-before.calls) / took
	row.CPU = 100 * (after.cpu - before.cpu).Seconds() / took / hosts
	row.memory(hosts)
	if err := row.sessions(ctx, sys); err != nil {
		return row, err
	}
	return row, row.configure(ctx, sys)
}

// use sends requests at the rate, or lets the time pass.
func (row *CapacityRow) use(ctx context.Context, sys *embedded.System, cfg CapacityConfig, rate float64) error {
	if rate == 0 {
		return rest(ctx, cfg.For)
	}
	cli := load.NewClient(load.ClientConfig{Entries: sys.Entries(), Key: accountKey, Seed: 1})
	defer cli.Close()
	kind := load.Kind{
		Name: "Check", Service: serviceName, Tier: tierName, Account: accountName, PerSecond: rate,
		PromptTokens: 60, AnswerTokens: 4, Deadline: format.Duration(20 * time.Second),
	}
	ended, err := load.Run(ctx, load.Config{Clients: map[string]*load.Client{accountName: cli}, Kinds: []load.Kind{kind}, For: cfg.For, Seed: 1})
	for _, end := range ended {
		row.Sent++
		if end.Own {
			row.Whole++
		}
	}
	return err
}

func (row *CapacityRow) memory(hosts float64) {
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	row.HeapBytes = float64(mem.HeapAlloc) / hosts
	row.Goroutines = float64(runtime.NumGoroutine()) / hosts
}

func (row *CapacityRow) sessions(ctx context.Context, sys *embedded.System) error {
	for idx := range sys.Hosts {
		dum, err := dump(ctx, sys, idx)
		if err != nil {
			return err
		}
		row.Sessions += float64(len(dum.Peers) + len(dum.Gateways))
	}
	row.Sessions /= float64(len(sys.Hosts))
	return nil
}

// configure measures how long a change takes until it is in force everywhere.
func (row *CapacityRow) configure(ctx context.Context, sys *embedded.System) error {
	begun := time.Now()
	name := fmt.Sprintf("tier-%d", begun.UnixNano())
	err := sys.Apply(ctx, resource.Set{Tiers: []resource.Tier{{Name: name}}})
	row.ConfigurationTime = time.Since(begun)
	return err
}

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

// CapacityConfig is the configuration of Capacity.
type CapacityConfig struct {
	// Hosts are the numbers of hosts to measure.
	Hosts []int
	// Rates are the request rates to measure, in requests per second per host; 0 is idle.
	Rates []float64
	// Accounts is the number of client accounts in the configuration, in addition to the one
	// that sends the requests.
	Accounts int
	// For is the length of each measurement.
	For time.Duration
	// Heartbeat is the heartbeat interval of idle sessions; 0 selects the default.
	Heartbeat time.Duration
	Log       zerolog.Logger
}

// CapacityRow is one measurement. Its values are per host and second unless a field says
// otherwise.
type CapacityRow struct {
	Hosts int
	Rate  float64
	// ControlBytes is the number of bytes that a host sends to and receives from other hosts.
	ControlBytes float64
	// BytesARequest is the increase of ControlBytes per request, compared with
	// the most recent row of the same number of hosts at rate 0, or with 0 bytes if rate 0
	// wasn't measured before.
	BytesARequest float64
	// CPU is the processor time of the whole process in percent of one core,
	// per host; it includes the fake engines, the clients and the fake platform.
	CPU float64
	// HeapBytes and Goroutines also include the fake engines, the clients and the fake
	// platform.
	HeapBytes  float64
	Goroutines float64
	// PlatformCalls is the number of platform calls per second of the whole system.
	PlatformCalls float64
	// ConfigurationTime is the time from an operator's call until the change is
	// in force on all hosts.
	ConfigurationTime time.Duration
	// Sessions is the mean number of sessions of a host, in both directions.
	Sessions float64
	// Whole counts the requests with their own complete answer, Sent all requests.
	Whole, Sent int
}

// The measured system: 5 failure domains as in the users' requirements, and the slots of an engine.
const (
	capacityDomains = 5
	capacitySlots   = 16
)

// Capacity measures each number of hosts at each rate. It calls progress after each
// measurement. It returns all rows, or an error with the rows of the numbers of hosts that
// were measured at every rate.
func Capacity(ctx context.Context, cfg CapacityConfig, progress func(CapacityRow)) ([]CapacityRow, error) {
	var rows []CapacityRow
	for _, hosts := range cfg.Hosts {
		hostRows, err := measureHosts(ctx, cfg, hosts, progress)
		if err != nil {
			return rows, err
		}
		rows = append(rows, hostRows...)
	}
	return rows, nil
}

func measureHosts(ctx context.Context, cfg CapacityConfig, hosts int, progress func(CapacityRow)) ([]CapacityRow, error) {
	sys, err := start(ctx, systemConfig{
		hosts: hosts, domains: min(hosts, capacityDomains), engines: 2 * hosts, slots: capacitySlots, accounts: cfg.Accounts,
		timing: settings.Timing{Heartbeat: format.Duration(cfg.Heartbeat)}, log: cfg.Log,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "start a system of %d hosts", hosts)
	}
	defer sys.Stop()
	if err := sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	var rows []CapacityRow
	idle := 0.0
	for _, rate := range cfg.Rates {
		row, err := measureRate(ctx, sys, cfg, rate)
		if err != nil {
			return rows, errors.Wrapf(err, "%d hosts at %g requests per second per host", hosts, rate)
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

// settleTime is the delay between the start of a system and its first measurement,
// because newly opened sessions exchange more data than idle ones.
const settleTime = 5 * time.Second

// sleep waits for the given time, or returns the context's error if the context ends first.
func sleep(ctx context.Context, length time.Duration) error {
	if !task.Sleep(ctx, length) {
		return ctx.Err()
	}
	return nil
}

// counters is a snapshot of the cumulative counters of a system.
type counters struct {
	bytes uint64
	calls uint64
	cpu   time.Duration
}

func readCounters(ctx context.Context, sys *embedded.System) (counters, error) {
	var cou counters
	for idx := range sys.Hosts {
		dum, err := dump(ctx, sys, idx)
		if err != nil {
			return cou, err
		}
		cou.bytes += dum.Traffic.Received + dum.Traffic.Sent
	}
	for _, count := range sys.Platform.Counts() {
		cou.calls += count
	}
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return cou, errors.Wrap(err, "read processor time")
	}
	cou.cpu = time.Duration(use.Utime.Nano() + use.Stime.Nano())
	return cou, nil
}

// dumpPart holds the fields of a host's dump that the measurement uses.
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

func measureRate(ctx context.Context, sys *embedded.System, cfg CapacityConfig, rate float64) (CapacityRow, error) {
	hosts := float64(len(sys.Hosts))
	row := CapacityRow{Hosts: len(sys.Hosts), Rate: rate}
	before, err := readCounters(ctx, sys)
	if err != nil {
		return row, err
	}
	begun := time.Now()
	if err := row.runLoad(ctx, sys, cfg, rate*hosts); err != nil {
		return row, err
	}
	after, err := readCounters(ctx, sys)
	if err != nil {
		return row, err
	}
	took := time.Since(begun).Seconds()
	row.ControlBytes = float64(after.bytes-before.bytes) / took / hosts
	row.PlatformCalls = float64(after.calls-before.calls) / took
	row.CPU = 100 * (after.cpu - before.cpu).Seconds() / took / hosts
	row.measureMemory(hosts)
	if err := row.measureSessions(ctx, sys); err != nil {
		return row, err
	}
	return row, row.measureConfiguration(ctx, sys)
}

// runLoad sends requests at the rate, in requests per second of the whole system, for
// cfg.For; at rate 0 it only waits.
func (row *CapacityRow) runLoad(ctx context.Context, sys *embedded.System, cfg CapacityConfig, rate float64) error {
	if rate == 0 {
		return sleep(ctx, cfg.For)
	}
	cli := load.NewClient(load.ClientConfig{Entries: sys.ClientAddresses(), Key: accountKey, Seed: 1})
	defer cli.Close()
	kind := load.Kind{
		Name: "Check", Service: serviceName, Tier: tierName, Account: accountName, PerSecond: rate,
		PromptTokens: 60, AnswerTokens: 4, Deadline: format.Duration(20 * time.Second),
	}
	results, err := load.Run(ctx, load.Config{Clients: map[string]*load.Client{accountName: cli}, Kinds: []load.Kind{kind}, For: cfg.For, Seed: 1})
	for _, res := range results {
		row.Sent++
		if res.Own {
			row.Whole++
		}
	}
	return err
}

func (row *CapacityRow) measureMemory(hosts float64) {
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	row.HeapBytes = float64(mem.HeapAlloc) / hosts
	row.Goroutines = float64(runtime.NumGoroutine()) / hosts
}

func (row *CapacityRow) measureSessions(ctx context.Context, sys *embedded.System) error {
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

// measureConfiguration measures the time until a change is in force on all hosts.
func (row *CapacityRow) measureConfiguration(ctx context.Context, sys *embedded.System) error {
	begun := time.Now()
	name := fmt.Sprintf("tier-%d", begun.UnixNano())
	err := sys.Apply(ctx, resource.Set{Tiers: []resource.Tier{{Name: name}}})
	row.ConfigurationTime = time.Since(begun)
	return err
}

package host

import (
	"context"
	"time"

	"lynxwell.dev/lynxwell/coordinator"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/store"
)

// reportInterval is the interval at which a host polls the engines that it coordinates.
// hostsInterval is the minimum interval at which the host reads the platform's list of hosts.
const (
	reportInterval = 500 * time.Millisecond
	hostsInterval  = 2 * time.Second
)

// reportTimeout bounds the poll of one engine, which reads its load and its cache events.
const reportTimeout = time.Second

// monitorEngines polls the engines that this host coordinates for their load, their cache
// events and whether they are draining, until the context ends.
func (hos *Host) monitorEngines(ctx context.Context) error {
	mon := &monitor{host: hos, sequences: make(map[string]uint64), draining: make(map[string]bool)}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		mon.readHosts(ctx)
		if err := mon.readEngines(ctx); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// monitor polls engines and the platform's list of hosts. sequences holds the next position
// in the cache events of each engine, draining the engines that the list reports as draining.
type monitor struct {
	host      *Host
	sequences map[string]uint64
	draining  map[string]bool
	hostsRead time.Time
}

// readHosts reads from the platform's list of hosts which engines are draining. The list may
// be out of date or unavailable; engines also report with their load that they are draining.
func (mon *monitor) readHosts(ctx context.Context) {
	if time.Since(mon.hostsRead) < hostsInterval {
		return
	}
	mon.hostsRead = time.Now()
	hosts, err := mon.host.store.Hosts(ctx)
	if err != nil {
		return
	}
	clear(mon.draining)
	for _, state := range hosts {
		if state.Kind == store.HostBackend && state.Leaving {
			mon.draining[state.Name] = true
		}
	}
}

// engineReading is the result of polling one engine.
type engineReading struct {
	engine   resource.Engine
	reported coordinator.EngineReported
	changed  coordinator.CacheChanged
	next     uint64
	failed   bool
}

// readEngines polls all engines that this host coordinates, each in a goroutine of its own.
func (mon *monitor) readEngines(ctx context.Context) error {
	names, err := callLoop(ctx, mon.host.loop, func(time.Time) []string {
		return mon.host.loop.coordinator.EngineNames()
	})
	if err != nil {
		return err
	}
	readings := make(chan engineReading)
	started := 0
	for _, name := range names {
		eng, known := mon.host.Configuration().Engine(name)
		if !known {
			continue
		}
		started++
		after := mon.sequences[name]
		go func() { readings <- mon.read(ctx, eng, after) }()
	}
	for range started {
		mon.apply(<-readings)
	}
	return nil
}

func (mon *monitor) read(ctx context.Context, eng resource.Engine, after uint64) engineReading {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rea := engineReading{engine: eng, next: after}
	loa, err := mon.host.engines.Load(ctx, eng.Address)
	if err != nil {
		rea.failed = true
		return rea
	}
	rea.reported = coordinator.EngineReported{Engine: eng.Name, Running: loa.Running, Draining: loa.Draining}
	ser, _ := mon.host.Configuration().Service(eng.Service)
	if ser.Protocol != resource.ProtocolModel {
		return rea
	}
	page, err := mon.host.engines.CacheEvents(ctx, eng.Address, after)
	if err != nil {
		return rea
	}
	rea.next = page.Next
	rea.changed.Engine = eng.Name
	for _, evt := range page.Events {
		if evt.Evicted {
			rea.changed.Evicted = append(rea.changed.Evicted, evt.Prefix)
		} else {
			rea.changed.Added = append(rea.changed.Added, evt.Prefix)
		}
	}
	return rea
}

func (mon *monitor) apply(rea engineReading) {
	name := rea.engine.Name
	mon.sequences[name] = rea.next
	if mon.draining[name] {
		rea.reported = coordinator.EngineReported{Engine: name, Running: rea.reported.Running, Draining: true}
	} else if rea.failed {
		return
	}
	mon.host.loop.post(func(now time.Time) {
		mon.host.loop.coordinatorEvent(now, rea.reported)
		mon.host.loop.coordinatorEvent(now, rea.changed)
	})
}

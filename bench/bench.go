// Package bench measures a complete system in one process: the overhead of a
// request through lynxwell, and how a host's control traffic grows with the
// number of hosts and the request rate.
//
// # Usage
//
//	rows, err := bench.Overhead(ctx, bench.OverheadConfig{InFlight: []int{1, 64, 512}})
//	rows, err := bench.Capacity(ctx, bench.CapacityConfig{Hosts: []int{6, 24}, Rates: []float64{0, 5}})
//
// All hosts share one machine, so the times are upper bounds for a single host;
// compare ratios and slopes instead of absolute times.
package bench

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/embedded"
	"lynxwell.dev/lynxwell/enginetest"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/settings"
)

// The resource names of the measured system.
const (
	serviceName = "menus"
	tierName    = "Normal"
	accountName = "bench"
	accountKey  = "the key of the benchmark"
)

// startTimeout bounds the start of a system.
const startTimeout = 60 * time.Second

// fastEngines returns engines whose processing time is negligible.
func fastEngines(count, slots int) []enginetest.Config {
	var engines []enginetest.Config
	for num := range count {
		engines = append(engines, enginetest.Config{
			Name: fmt.Sprintf("engine-%d", num+1), Slots: slots,
			PrefillTokensPerSecond: 1e8, DecodeTokensPerSecond: 1e5, BatchSlowdown: 1e-9,
		})
	}
	return engines
}

// systemConfig is the configuration of a system to start.
type systemConfig struct {
	hosts, domains int
	engines        int
	slots          int
	timing         settings.Timing
	accounts       int
	log            zerolog.Logger
}

func start(ctx context.Context, cfg systemConfig) (*embedded.System, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	sys, err := embedded.Start(ctx, embedded.Config{
		Hosts: cfg.hosts, Domains: cfg.domains, Engines: fastEngines(cfg.engines, cfg.slots), Timing: cfg.timing, Log: cfg.log,
	})
	if err != nil {
		return nil, err
	}
	if err := sys.Apply(ctx, resources(sys, cfg)); err != nil {
		sys.Stop()
		return nil, err
	}
	return sys, nil
}

func resources(sys *embedded.System, cfg systemConfig) resource.Set {
	set := resource.Set{
		Tiers:    []resource.Tier{{Name: tierName, Rank: 10}},
		Services: []resource.Service{{Name: serviceName, Protocol: resource.ProtocolModel, MaxWaiting: 4096}},
		ClientAccounts: []resource.ClientAccount{{
			Name: accountName, KeyDigests: []string{resource.Digest([]byte(accountKey))}, Tiers: []string{tierName},
		}},
	}
	for num := range cfg.accounts {
		name := fmt.Sprintf("account-%d", num)
		set.ClientAccounts = append(set.ClientAccounts, resource.ClientAccount{
			Name: name, KeyDigests: []string{resource.Digest([]byte(name))}, Tiers: []string{tierName},
		})
	}
	for _, eng := range sys.Engines {
		set.Engines = append(set.Engines, engineResource(eng.Name, eng.Address, cfg.slots))
	}
	return set
}

func engineResource(name string, adr netip.AddrPort, slots int) resource.Engine {
	return resource.Engine{
		Name: name, Service: serviceName, Address: adr, Slots: slots, PrefillTokensPerSecond: 1e8, DecodeTokensPerSecond: 1e5,
	}
}

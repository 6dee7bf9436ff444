// Package demo runs a complete system in one process under a small mixed load
// with the users' kinds of requests: resident files, substitutions, crew weeks,
// allergy checks, plausibility flags and tray labels.
//
// # Usage
//
//	rep, err := demo.Run(ctx, demo.Config{For: 12 * time.Second, Seed: 1, Progress: os.Stdout})
//	err = demo.Check(rep) // fails unless each request got its own complete answer and was dispatched once
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"lynxwell.dev/lynxwell/backendtest"
	"lynxwell.dev/lynxwell/embedded"
	"lynxwell.dev/lynxwell/enginetest"
	"lynxwell.dev/lynxwell/format"
	"lynxwell.dev/lynxwell/load"
	"lynxwell.dev/lynxwell/resource"
)

// The size of the demo system.
const (
	hostCount   = 6
	domainCount = 4
)

// The keys of the client accounts; they are used only within this process.
const (
	careHomesKey     = "demo key of the care homes"
	buildingFirmsKey = "demo key of the building firms"
)

// The tiers of the demo.
const (
	tierUrgent  = "Urgent"
	tierNormal  = "Normal"
	tierRoutine = "Routine"
)

// Config is the configuration of a run.
type Config struct {
	// For is the time for which requests are sent.
	For  time.Duration
	Seed uint64
	Log  zerolog.Logger
	// Progress receives progress messages.
	Progress io.Writer
}

// startTimeout bounds the start of the system.
const startTimeout = 20 * time.Second

// Engines returns the engines of the demo, which have unequal speeds.
func Engines() []enginetest.Config {
	var engines []enginetest.Config
	speeds := []struct {
		name            string
		slots           int
		prefill, decode float64
	}{
		{"menus-fast-1", 8, 24000, 160},
		{"menus-fast-2", 8, 24000, 160},
		{"menus-middle-1", 6, 12000, 80},
		{"menus-middle-2", 6, 12000, 80},
		{"menus-slow-1", 4, 6000, 40},
		{"menus-slow-2", 4, 6000, 40},
		{"sheets-fast-1", 8, 24000, 160},
		{"sheets-middle-1", 6, 12000, 80},
		{"sheets-slow-1", 4, 6000, 40},
	}
	for _, spe := range speeds {
		engines = append(engines, enginetest.Config{
			Name: spe.name, Slots: spe.slots, PrefillTokensPerSecond: spe.prefill, DecodeTokensPerSecond: spe.decode,
		})
	}
	return engines
}

// Backends returns the backend servers of the demo's plain service.
func Backends() []backendtest.Config {
	return []backendtest.Config{
		{Name: "labels-1", Work: 20 * time.Millisecond},
		{Name: "labels-2", Work: 60 * time.Millisecond},
	}
}

// Kinds returns the kinds of requests that the demo sends.
func Kinds() []load.Kind {
	seconds := func(count int) format.Duration { return format.Duration(time.Duration(count) * time.Second) }
	return []load.Kind{
		{
			Name: "ResidentFile", Service: "menus", Tier: tierRoutine, Account: "care-homes", PerSecond: 4,
			PromptTokens: 8000, SharedTokens: 2000, SharedPrefixes: 8, AnswerTokens: 80, Deadline: seconds(30),
		},
		{
			Name: "Substitution", Service: "menus", Tier: tierNormal, Account: "care-homes", PerSecond: 6,
			PromptTokens: 900, SharedTokens: 600, SharedPrefixes: 8, AnswerTokens: 30, Deadline: seconds(15),
		},
		{
			Name: "AllergyCheck", Service: "menus", Tier: tierUrgent, Account: "care-homes", PerSecond: 15,
			PromptTokens: 90, AnswerTokens: 8, Deadline: seconds(5),
		},
		{
			Name: "CrewWeek", Service: "sheets", Tier: tierNormal, Account: "building-firms", PerSecond: 4,
			PromptTokens: 4000, SharedTokens: 1500, SharedPrefixes: 4, AnswerTokens: 50, Deadline: seconds(20),
		},
		{
			Name: "PlausibilityFlag", Service: "sheets", Tier: tierUrgent, Account: "building-firms", PerSecond: 10,
			PromptTokens: 60, AnswerTokens: 4, Deadline: seconds(5),
		},
		{
			Name: "TrayLabel", Service: "labels", Plain: true, Tier: tierUrgent, Account: "care-homes", PerSecond: 12,
			Deadline: seconds(5), Once: true,
		},
	}
}

// Resources returns the resources that an operator writes to configure the running system.
func Resources(sys *embedded.System) resource.Set {
	set := resource.Set{
		Tiers: []resource.Tier{{Name: tierUrgent, Rank: 30}, {Name: tierNormal, Rank: 20}, {Name: tierRoutine, Rank: 10}},
		Services: []resource.Service{
			{Name: "menus", Protocol: resource.ProtocolModel},
			{Name: "sheets", Protocol: resource.ProtocolModel},
			{Name: "labels", Protocol: resource.ProtocolPlain},
		},
		ClientAccounts: []resource.ClientAccount{
			account("care-homes", careHomesKey), account("building-firms", buildingFirmsKey),
		},
	}
	for idx, eng := range sys.Engines {
		cfg := Engines()[idx]
		set.Engines = append(set.Engines, resource.Engine{
			Name: eng.Name, Service: serviceOf(eng.Name), Address: eng.Address, Slots: cfg.Slots,
			PrefillTokensPerSecond: cfg.PrefillTokensPerSecond, DecodeTokensPerSecond: cfg.DecodeTokensPerSecond,
		})
	}
	for _, bac := range sys.Backends {
		set.Engines = append(set.Engines, resource.Engine{Name: bac.Name, Service: "labels", Address: bac.Address, Slots: 4})
	}
	return set
}

func account(name, key string) resource.ClientAccount {
	return resource.ClientAccount{
		Name: name, KeyDigests: []string{resource.Digest([]byte(key))}, Tiers: []string{tierNormal, tierUrgent, tierRoutine},
	}
}

// serviceOf returns the service of an engine, the part of its name before the first hyphen.
func serviceOf(engine string) string {
	for idx, chr := range engine {
		if chr == '-' {
			return engine[:idx]
		}
	}
	return engine
}

// Run starts the system, sends the load and returns the report.
func Run(ctx context.Context, cfg Config) (load.Report, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fmt.Fprintf(cfg.Progress, "starting %d hosts in %d failure domains, %d engines, %d backend servers\n",
		hostCount, domainCount, len(Engines()), len(Backends()))
	sys, err := embedded.Start(startCtx, embedded.Config{
		Hosts: hostCount, Domains: domainCount, Engines: Engines(), Backends: Backends(), Log: cfg.Log,
	})
	if err != nil {
		return load.Report{}, err
	}
	defer sys.Stop()
	if err := sys.Apply(startCtx, Resources(sys)); err != nil {
		return load.Report{}, err
	}
	fmt.Fprintf(cfg.Progress, "configuration in force on all hosts; sending requests for %s\n", cfg.For)
	clients := map[string]*load.Client{
		"care-homes":     load.NewClient(load.ClientConfig{Entries: sys.ClientAddresses(), Key: careHomesKey, Seed: cfg.Seed}),
		"building-firms": load.NewClient(load.ClientConfig{Entries: sys.ClientAddresses(), Key: buildingFirmsKey, Seed: cfg.Seed + 1}),
	}
	results, err := load.Run(ctx, load.Config{Clients: clients, Kinds: Kinds(), For: cfg.For, Seed: cfg.Seed, Progress: progressPrinter(cfg.Progress)})
	if err != nil {
		return load.Report{}, err
	}
	return load.Summarize(results, load.AuditRun(results, sys.Dispatches())), nil
}

// progressInterval is the interval between progress messages.
const progressInterval = 2 * time.Second

func progressPrinter(out io.Writer) func(load.Counts) {
	next := time.Now().Add(progressInterval)
	return func(cou load.Counts) {
		if time.Now().Before(next) && cou.Ended < cou.Sent {
			return
		}
		next = time.Now().Add(progressInterval)
		fmt.Fprintf(out, "%d of %d requests finished, %d with their own complete answer\n", cou.Ended, cou.Sent, cou.Whole)
	}
}

// FailedError reports a run in which some request didn't get its own complete answer, was
// dispatched twice or was falsely reported as NotRun.
type FailedError struct {
	Tier   string
	Reason string
}

func (fer *FailedError) Error() string {
	return fmt.Sprintf("demo failed: tier %s: %s", fer.Tier, fer.Reason)
}

// Check returns a *FailedError unless each request got its own complete answer, no request was
// dispatched twice and none was falsely reported as NotRun.
func Check(rep load.Report) error {
	for _, tir := range rep.Tiers {
		if tir.Whole != tir.Sent {
			return &FailedError{Tier: tir.Tier, Reason: fmt.Sprintf("%d of %d requests got their own complete answer", tir.Whole, tir.Sent)}
		}
	}
	aud := rep.Audit
	if len(aud.Doubled)+aud.Mixed+len(aud.FalselyNotRun) > 0 {
		return &FailedError{Tier: "all", Reason: fmt.Sprintf("%d requests dispatched twice, %d mixed-up answers, %d requests falsely reported as NotRun", len(aud.Doubled), aud.Mixed, len(aud.FalselyNotRun))}
	}
	return nil
}

package processtest_test

import (
	"context"
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/enginetest"
	"lynxwell.dev/lynxwell/format"
	"lynxwell.dev/lynxwell/load"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/processtest"
	"lynxwell.dev/lynxwell/settings"
)

func TestMain(m *testing.M) { processtest.Main(m) }

var long = flag.Bool("long", false, "run every pair of faults instead of the short set")

// fault is a fault that a test injects into the system and clears again.
type fault struct {
	name   string
	inject func(sys *processtest.System)
	clear  func(sys *processtest.System)
}

func noAction(*processtest.System) {}

var faults = []fault{
	{"HostKilled", func(sys *processtest.System) { sys.Hosts[0].Kill() }, func(sys *processtest.System) { sys.StartHost(sys.Hosts[0]) }},
	{"HostFrozen", func(sys *processtest.System) { sys.Hosts[1].Freeze() }, func(sys *processtest.System) { sys.Hosts[1].Resume() }},
	{"HostStopped", func(sys *processtest.System) { sys.Hosts[2].Terminate() }, noAction},
	{
		"PlatformDown",
		func(sys *processtest.System) { sys.SetPlatformFaults(platformtest.Faults{Down: true}) },
		func(sys *processtest.System) { sys.SetPlatformFaults(platformtest.Faults{}) },
	},
	{
		"PlatformSlowAndLosing",
		func(sys *processtest.System) {
			sys.SetPlatformFaults(platformtest.Faults{Delay: 300 * time.Millisecond, LoseReplies: 5})
		},
		func(sys *processtest.System) { sys.SetPlatformFaults(platformtest.Faults{}) },
	},
	{
		"EngineDead",
		func(sys *processtest.System) { sys.SetEngineFaults(sys.Engines[0], enginetest.Faults{Dead: true}) },
		func(sys *processtest.System) { sys.SetEngineFaults(sys.Engines[0], enginetest.Faults{}) },
	},
	{
		"EngineFrozen",
		func(sys *processtest.System) { sys.SetEngineFaults(sys.Engines[1], enginetest.Faults{Frozen: true}) },
		func(sys *processtest.System) { sys.SetEngineFaults(sys.Engines[1], enginetest.Faults{}) },
	},
	{
		"RepliesDropped",
		func(sys *processtest.System) { sys.SetEngineFaults(sys.Engines[2], enginetest.Faults{DropReplies: 5}) },
		noAction,
	},
}

// shortPairs holds the pairs of faults that run without the flag long, as indexes into faults.
var shortPairs = [][2]int{{0, 3}, {0, 1}, {2, 4}}

// quickTiming holds timeouts short enough that hosts detect a fault within a test.
var quickTiming = settings.Timing{
	Lease: format.Duration(2 * time.Second), Heartbeat: format.Duration(100 * time.Millisecond),
	PeerTimeout: format.Duration(500 * time.Millisecond),
}

// kinds returns a small load of two kinds of model requests and one of plain requests.
func kinds() []load.Kind {
	seconds := format.Duration(time.Second)
	return []load.Kind{
		{
			Name: "AllergyCheck", Service: "menus", Tier: "Urgent", Account: processtest.AccountName, PerSecond: 25,
			PromptTokens: 60, AnswerTokens: 6, Deadline: 15 * seconds,
		},
		{
			Name: "ResidentFile", Service: "menus", Tier: "Routine", Account: processtest.AccountName, PerSecond: 5,
			PromptTokens: 1500, SharedTokens: 800, SharedPrefixes: 3, AnswerTokens: 30, Deadline: 20 * seconds,
		},
		{
			Name: "TrayLabel", Service: "labels", Plain: true, Tier: "Urgent", Account: processtest.AccountName, PerSecond: 15,
			Deadline: 15 * seconds, Once: true,
		},
	}
}

func faultSystem(t *testing.T) *processtest.System {
	return processtest.Start(t, processtest.Config{
		Hosts: 4, Domains: 4, Engines: 4, Backends: 2, Timing: quickTiming,
		EngineFlags: []string{"--prefill", "20000", "--decode", "200"},
	})
}

// runUnderFaults runs the load, injects the faults once a quarter of the requests have
// ended, clears them once two thirds have ended, and returns the report of the load.
func runUnderFaults(t *testing.T, sys *processtest.System, injected ...fault) load.Report {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clients := map[string]*load.Client{processtest.AccountName: sys.NewClient(load.ClientConfig{Seed: 1})}
	started, cleared := false, false
	results, err := load.Run(ctx, load.Config{
		Clients: clients, Kinds: kinds(), For: 4 * time.Second, Seed: 1,
		Progress: func(cou load.Counts) {
			if !started && cou.Ended > cou.Sent/4 {
				started = true
				for _, fau := range injected {
					fau.inject(sys)
				}
			}
			if !cleared && cou.Ended > cou.Sent*2/3 {
				cleared = true
				for _, fau := range injected {
					fau.clear(sys)
				}
			}
		},
	})
	assert.NilError(t, err)
	for _, res := range results {
		if !res.Own {
			t.Logf("%s %v: code %q, outcome %q, %d retries, error %v", res.Kind.Name, res.Answer.IDs, res.Answer.Code, res.Answer.Outcome, res.Answer.Repeats, res.Answer.Err)
		}
	}
	return load.Summarize(results, load.AuditRun(results, sys.Dispatches()))
}

// checkInvariants checks the guarantees that hold under every fault.
func checkInvariants(t *testing.T, rep load.Report) {
	t.Helper()
	assert.Equal(t, len(rep.Audit.Doubled), 0, "requests that ran twice: %v", rep.Audit.Doubled)
	assert.Equal(t, rep.Audit.Mixed, 0)
	assert.Equal(t, len(rep.Audit.FalselyNotRun), 0, "requests reported as not run that ran: %v", rep.Audit.FalselyNotRun)
	for _, tir := range rep.Tiers {
		t.Logf("%s: sent %d, complete %d, given up %d, lost %d, retries %d", tir.Tier, tir.Sent, tir.Whole, tir.GivenUp, tir.Lost, tir.Repeats)
	}
	t.Logf("codes %v, dispatches %d for %d requests", rep.Codes, rep.Audit.Dispatches, rep.Audit.Requests)
}

func TestNoFaultCompletesAllRequests(t *testing.T) {
	t.Parallel()
	rep := runUnderFaults(t, faultSystem(t))
	checkInvariants(t, rep)
	for _, tir := range rep.Tiers {
		assert.Equal(t, tir.Whole, tir.Sent)
	}
}

func TestSingleFaultsKeepInvariants(t *testing.T) {
	for _, fau := range faults {
		t.Run(fau.name, func(t *testing.T) {
			t.Parallel()
			checkInvariants(t, runUnderFaults(t, faultSystem(t), fau))
		})
	}
}

func TestPairsOfFaultsKeepInvariants(t *testing.T) {
	pairs := shortPairs
	if *long {
		pairs = nil
		for one := range faults {
			for two := one + 1; two < len(faults); two++ {
				pairs = append(pairs, [2]int{one, two})
			}
		}
	}
	for _, pair := range pairs {
		one, two := faults[pair[0]], faults[pair[1]]
		t.Run(one.name+"And"+two.name, func(t *testing.T) {
			t.Parallel()
			checkInvariants(t, runUnderFaults(t, faultSystem(t), one, two))
		})
	}
}

package processtest_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/enginetest"
	"lynxwell.dev/lynxwell/load"
	"lynxwell.dev/lynxwell/operator"
	"lynxwell.dev/lynxwell/platformtest"
	"lynxwell.dev/lynxwell/processtest"
	"lynxwell.dev/lynxwell/resource"
)

// Guards against requests lost in a rolling restart: every host is restarted in turn
// under load from a client that does not refresh its addresses when they expire.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	restarted := make(chan []int, 1)
	go func() {
		var codes []int
		defer func() { restarted <- codes }()
		for _, hst := range sys.Hosts {
			hst.Terminate()
			codes = append(codes, hst.Wait())
			sys.StartHost(hst)
			sys.WaitUntilConnected()
		}
	}()
	clients := map[string]*load.Client{processtest.AccountName: sys.NewClient(load.ClientConfig{Seed: 1, KeepForever: true})}
	results, err := load.Run(ctx, load.Config{Clients: clients, Kinds: kinds(), For: 10 * time.Second, Seed: 1})
	assert.NilError(t, err)
	assert.DeepEqual(t, <-restarted, []int{0, 0, 0, 0})
	rep := load.Summarize(results, load.AuditRun(results, sys.Dispatches()))
	checkInvariants(t, rep)
	for _, tir := range rep.Tiers {
		assert.Equal(t, tir.Whole, tir.Sent, "tier %s, codes %v", tir.Tier, rep.Codes)
	}
}

// Guards against a dependency on the platform: during its outage, a starting host must
// get the configuration from its peers. When another host is killed under load, all but
// at most two requests per tier must succeed.
func TestPlatformOutageKeepsServing(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	sys.SetPlatformFaults(platformtest.Faults{Down: true})
	sys.Hosts[3].Kill()
	sys.Hosts[3].Wait()
	sys.StartHost(sys.Hosts[3])
	sys.WaitUntil("configuration from peers", func(ctx context.Context) bool {
		list, err := sys.Operator(sys.Hosts[3]).Resources(ctx)
		return err == nil && len(list.Entries) > 0
	})
	rep := runUnderFaults(t, sys, faults[0])
	checkInvariants(t, rep)
	for _, tir := range rep.Tiers {
		assert.Assert(t, tir.Whole >= tir.Sent-2, "tier %s: %d of %d, codes %v", tir.Tier, tir.Whole, tir.Sent, rep.Codes)
	}
}

// configurationLimit bounds the time until a configuration is in force on all hosts.
const configurationLimit = 4 * time.Second

// Guards against a stale configuration on a host that is partitioned from the
// platform: each revision must be in force on that host, too, within the limit.
func TestConfigurationReachesPartitionedHost(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	sys.Hosts[1].Platform.Cut()
	cli := sys.Operator(sys.Hosts[0])
	for round := range 3 {
		start := time.Now()
		res, err := cli.Apply(t.Context(), resource.Set{Tiers: []resource.Tier{{Name: "Normal", Rank: 21 + round}}})
		assert.NilError(t, err)
		sys.WaitUntil("revision in force", func(ctx context.Context) bool {
			sta, err := cli.Status(ctx)
			return err == nil && hostsWithRevision(sta, res.Revision) == len(sys.Hosts)
		})
		took := time.Since(start)
		t.Logf("revision %d in force on all hosts after %s", res.Revision, took)
		assert.Assert(t, took < configurationLimit)
	}
}

func hostsWithRevision(sta operator.Status, revision uint64) int {
	count := 0
	for _, hst := range sta.Hosts {
		if hst.Reached && hst.Revision >= revision {
			count++
		}
	}
	return count
}

// Guards against lost updates: operators change resources at different hosts at the
// same time while the platform loses replies. Every accepted change must come into force,
// and no two may share a revision.
func TestConcurrentOperatorsLoseNoChange(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	const writers, rounds = 4, 5
	var mutex sync.Mutex
	accepted := make(map[string]uint64)
	var group sync.WaitGroup
	sys.SetPlatformFaults(platformtest.Faults{LoseReplies: 6})
	for num := range writers {
		group.Go(func() {
			cli := sys.Operator(sys.Hosts[num])
			for round := range rounds {
				name := fmt.Sprintf("tier-%d-%d", num, round)
				res, err := cli.Apply(t.Context(), resource.Set{Tiers: []resource.Tier{{Name: name, Rank: num}}})
				if err != nil {
					t.Errorf("%s: %v", name, err)
					return
				}
				mutex.Lock()
				accepted[name] = res.Revision
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	assert.Equal(t, len(accepted), writers*rounds)
	sys.WaitUntil("all changes in force", func(ctx context.Context) bool {
		list, err := sys.Operator(sys.Hosts[0]).Resources(ctx)
		found := 0
		for _, ent := range list.Entries {
			if _, ours := accepted[ent.Resource.Key().Name]; ours {
				found++
			}
		}
		return err == nil && found == len(accepted)
	})
	distinct := make(map[uint64]bool)
	for _, revision := range accepted {
		distinct[revision] = true
	}
	assert.Equal(t, len(distinct), len(accepted), "two changes share a revision")
}

// Guards against a lost update: of two operators that change the same revision of a
// resource, the second must get a conflict with the field and the newer revision.
func TestConflictNamesField(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	list, err := sys.Operator(sys.Hosts[0]).Resources(t.Context())
	assert.NilError(t, err)
	seen := list.Revision
	edit := func(rank int) operator.ChangeBody {
		return operator.ChangeBody{ID: operator.NewChangeID(), Edits: []operator.EditBody{{
			Kind: resource.KindTier, Name: "Normal", Seen: seen, Spec: resource.Tier{Name: "Normal", Rank: rank},
		}}}
	}
	res, err := sys.Operator(sys.Hosts[0]).Change(t.Context(), edit(22))
	assert.NilError(t, err)
	_, err = sys.Operator(sys.Hosts[1]).Change(t.Context(), edit(23))
	var aer *operator.AnswerError
	assert.Assert(t, errors.As(err, &aer))
	assert.DeepEqual(t, aer.Body.Conflict, &operator.ConflictBody{
		Kind: resource.KindTier, Name: "Normal", Seen: seen, Newer: res.Revision, Fields: []string{"Rank"},
	})
}

// drainingLimit is the time for which an engine may receive requests after it has
// started to drain.
const drainingLimit = 2 * time.Second

// Guards against dispatches to a draining engine: the engine must receive no request
// later than drainingLimit after it has started to drain.
func TestDrainingEngineReceivesNoRequest(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	clients := map[string]*load.Client{processtest.AccountName: sys.NewClient(load.ClientConfig{Seed: 1})}
	draining := sys.Engines[0]
	var mutex sync.Mutex
	var drainedAt time.Time
	atLimit, atEnd := 0, 0
	results, err := load.Run(t.Context(), load.Config{
		Clients: clients, Kinds: kinds(), For: 6 * time.Second, Seed: 2,
		Progress: func(cou load.Counts) {
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case drainedAt.IsZero() && cou.Ended > cou.Sent/4:
				drainedAt = time.Now()
				sys.Post(draining.Address, enginetest.PathDraining, true)
			case !drainedAt.IsZero() && atLimit == 0 && time.Since(drainedAt) > drainingLimit:
				atLimit = len(sys.DispatchesOf(draining))
			}
		},
	})
	assert.NilError(t, err)
	atEnd = len(sys.DispatchesOf(draining))
	t.Logf("%d dispatches until %s after the engine started to drain, %d at the end", atLimit, drainingLimit, atEnd)
	assert.Assert(t, atLimit > 0)
	assert.Equal(t, atEnd, atLimit)
	checkInvariants(t, load.Summarize(results, load.AuditRun(results, sys.Dispatches())))
}

// Guards against double runs of a request that arrives at every host at the same
// time: each copy must be answered with status 200, and the engines must run one.
func TestConcurrentRetriesRunOnce(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	const requests = 10
	var group sync.WaitGroup
	for num := range requests {
		ans, err := sys.NewClient(load.ClientConfig{Seed: uint64(num)}).Addresses(t.Context())
		assert.NilError(t, err)
		id := ans.Addresses[num%len(ans.Addresses)].Prefix + fmt.Sprintf("-same.%d", num)
		for _, adr := range ans.Addresses {
			group.Go(func() {
				status, body := sys.PostChat(t.Context(), adr.Address, id, fmt.Sprintf("check %d", num))
				assert.Check(t, status == http.StatusOK, "status %d: %s", status, body)
			})
		}
	}
	group.Wait()
	seen := make(map[string]int)
	for _, dis := range sys.Dispatches() {
		seen[dis.ID]++
	}
	assert.Equal(t, len(seen), requests)
	for id, count := range seen {
		assert.Equal(t, count, 1, id)
	}
}

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

// Every host is restarted in order, under load from callers that never ask for
// the addresses again of themselves.
func TestRollingRestartCutsNothing(t *testing.T) {
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
			sys.UntilConnected()
		}
	}()
	clients := map[string]*load.Client{processtest.AccountName: sys.Caller(load.ClientConfig{Seed: 1, KeepForever: true})}
	ends, err := load.Run(ctx, load.Config{Clients: clients, Kinds: kinds(), For: 10 * time.Second, Seed: 1})
	assert.NilError(t, err)
	assert.DeepEqual(t, <-restarted, []int{0, 0, 0, 0})
	rep := load.Summarize(ends, load.AuditRun(ends, sys.Dispatches()))
	mustHold(t, rep)
	for _, tir := range rep.Tiers {
		assert.Equal(t, tir.Whole, tir.Sent, "tier %s, codes %v", tir.Tier, rep.Codes)
	}
}

// An outage of the platform stops neither requests nor repeats after a kill,
// and a host that starts in it learns what it needs from its peers.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	sys.PlatformFaults(platformtest.Faults{Down: true})
	sys.Hosts[3].Kill()
	sys.Hosts[3].Wait()
	sys.StartHost(sys.Hosts[3])
	sys.Until("configuration from peers", func(ctx context.Context) bool {
		list, err := sys.Operator(sys.Hosts[3]).Resources(ctx)
		return err == nil && len(list.Entries) > 0
	})
	rep := underFaults(t, sys, faults[0])
	mustHold(t, rep)
	for _, tir := range rep.Tiers {
		assert.Assert(t, tir.Whole >= tir.Sent-2, "tier %s: %d of %d, codes %v", tir.Tier, tir.Whole, tir.Sent, rep.Codes)
	}
}

// configurationLimit is how long a configuration may take to be in force everywhere.
const configurationLimit = 4 * time.Second

// A configuration is in force everywhere in time, also on a host that is cut
// off from the platform, and never goes back.
func TestConfigurationReachesHostsWithoutPlatform(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	sys.Hosts[1].Platform.Cut()
	cli := sys.Operator(sys.Hosts[0])
	for round := range 3 {
		start := time.Now()
		res, err := cli.Apply(t.Context(), resource.Set{Tiers: []resource.Tier{{Name: "Normal", Rank: 21 + round}}})
		assert.NilError(t, err)
		sys.Until("revision in force", func(ctx context.Context) bool {
			sta, err := cli.Status(ctx)
			return err == nil && inForceOn(sta, res.Revision) == len(sys.Hosts)
		})
		took := time.Since(start)
		t.Logf("revision %d in force on all hosts after %s", res.Revision, took)
		assert.Assert(t, took < configurationLimit)
	}
}

func inForceOn(sta operator.Status, revision uint64) int {
	count := 0
	for _, hst := range sta.Hosts {
		if hst.Reached && hst.Revision >= revision {
			count++
		}
	}
	return count
}

// Operators race at different hosts while the platform loses replies: each
// change that was accepted is there, each conflict is named, none is lost.
func TestRacingOperatorsLoseNothing(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	const writers, rounds = 4, 5
	var mutex sync.Mutex
	accepted := make(map[string]uint64)
	var group sync.WaitGroup
	sys.PlatformFaults(platformtest.Faults{LoseReplies: 6})
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
	sys.Until("all changes in force", func(ctx context.Context) bool {
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

// Two operators change the same resource as they both saw it: one of them gets
// a conflict that names the field and the newer revision.
func TestConflictNamesTheField(t *testing.T) {
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

// leavingLimit is how long after the news an engine may still get new work.
const leavingLimit = 2 * time.Second

// An engine that says that it leaves gets nothing new soon after.
func TestLeavingEngineGetsNothingNew(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	clients := map[string]*load.Client{processtest.AccountName: sys.Caller(load.ClientConfig{Seed: 1})}
	leaver := sys.Engines[0]
	var mutex sync.Mutex
	var left time.Time
	before, after := 0, 0
	ends, err := load.Run(t.Context(), load.Config{
		Clients: clients, Kinds: kinds(), For: 6 * time.Second, Seed: 2,
		Progress: func(cou load.Counts) {
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case left.IsZero() && cou.Ended > cou.Sent/4:
				left = time.Now()
				sys.Post(leaver.Address, enginetest.PathLeaving, true)
			case !left.IsZero() && before == 0 && time.Since(left) > leavingLimit:
				before = len(sys.DispatchesOf(leaver))
			}
		},
	})
	assert.NilError(t, err)
	after = len(sys.DispatchesOf(leaver))
	t.Logf("%d dispatches until %s after the news, %d at the end", before, leavingLimit, after)
	assert.Assert(t, before > 0)
	assert.Equal(t, after, before)
	mustHold(t, load.Summarize(ends, load.AuditRun(ends, sys.Dispatches())))
}

// The same request arrives at every host at once, again and again: each caller
// gets the whole answer, and the engines get it once.
func TestRepeatsAtOnceAtEveryHost(t *testing.T) {
	t.Parallel()
	sys := faultSystem(t)
	const requests = 10
	var group sync.WaitGroup
	for num := range requests {
		asked, err := sys.Caller(load.ClientConfig{Seed: uint64(num)}).Addresses(t.Context())
		assert.NilError(t, err)
		id := asked.Addresses[num%len(asked.Addresses)].Prefix + fmt.Sprintf("-same.%d", num)
		for _, adr := range asked.Addresses {
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

package egress_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/egress"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
)

var start = time.Unix(5000, 0)

func TestResultNamesPath(t *testing.T) {
	for _, tst := range []struct {
		result egress.Result
		want   egress.Path
	}{
		{egress.Result{}, egress.PathUnknown},
		{egress.Result{Failed: 1}, egress.PathUnknown},
		{egress.Result{Failed: 2}, egress.PathLost},
		{egress.Result{Opened: 1, Failed: 3}, egress.PathOpen},
	} {
		assert.Equal(t, tst.result.Path(), tst.want, "%+v", tst.result)
	}
}

func TestDetectorFollowsChecks(t *testing.T) {
	det := egress.NewDetector()
	assert.Assert(t, !det.Checked(start, egress.Result{Failed: 1}), "a single engine shows nothing")
	assert.Assert(t, det.Checked(start, egress.Result{Failed: 2}))
	assert.Assert(t, det.Lost())
	assert.Assert(t, !det.Checked(start, egress.Result{}), "a check without engines changes nothing")
	assert.Assert(t, det.Lost())
	assert.Assert(t, det.Checked(start, egress.Result{Opened: 1}))
	assert.Assert(t, !det.Lost())
}

// Guards against a single engine that another host reaches counting as failed.
func TestForwardingDecidesWhereCheckCanNot(t *testing.T) {
	det := egress.NewDetector()
	det.Checked(start, egress.Result{Failed: 1})
	assert.Assert(t, det.Forwarded())
	assert.Assert(t, det.Lost())
	det.Checked(start.Add(time.Second), egress.Result{Opened: 1})
	assert.Assert(t, !det.Forwarded(), "an open path isn't lost because another host forwards")
}

func TestEarlierCheckIsNoEvidence(t *testing.T) {
	det := egress.NewDetector()
	_, known := det.Since(time.Time{})
	assert.Assert(t, !known, "no check was made")
	det.Checked(start, egress.Result{Opened: 1})
	_, known = det.Since(start.Add(time.Millisecond))
	assert.Assert(t, !known, "the check began before the failure")
	pth, known := det.Since(start)
	assert.Assert(t, known)
	assert.Equal(t, pth, egress.PathOpen)
}

func hosts(count int) []fleet.Member {
	var members []fleet.Member
	for idx := range count {
		members = append(members, fleet.Member{Name: fmt.Sprint("host-", idx), Epoch: request.Epoch(idx + 1), Domain: fmt.Sprint("d", idx%3)})
	}
	return members
}

func newChoice() *egress.Choice {
	return egress.NewChoice(rand.New(rand.NewPCG(1, 2)))
}

func TestOrderPrefersProvenHostsAndOwnDomain(t *testing.T) {
	cho := newChoice()
	members := hosts(9)
	for _, epo := range []request.Epoch{2, 5, 7} {
		cho.Proven(start, epo)
	}
	order := cho.Order(start, members, "d0")
	assert.Equal(t, order[0].Epoch, request.Epoch(7), "proven and in the same failure domain")
	assert.Equal(t, order[1].Epoch+order[2].Epoch, request.Epoch(7), "the other proven ones")
	assert.Equal(t, order[3].Domain, "d0")
}

func TestHostThatCouldNotForwardIsLeftOutForAWhile(t *testing.T) {
	cho := newChoice()
	cho.Failed(start, 1)
	assert.Equal(t, len(cho.Order(start, hosts(2), "d0")), 1)
	assert.Equal(t, len(cho.Order(start.Add(time.Second), hosts(2), "d0")), 2)
}

// Property: whichever hosts can forward, one of them is found after at most one refusal by each of the others,
// and while few are proven others are tried too.
func TestSoundHostIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 60).Draw(t, "hosts")
		sound := make(map[request.Epoch]bool)
		for _, idx := range rapid.SliceOfNDistinct(rapid.IntRange(1, count), 1, count, rapid.ID[int]).Draw(t, "sound") {
			sound[request.Epoch(idx)] = true
		}
		cho := egress.NewChoice(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)))
		for asked := 0; asked <= count; {
			for _, mem := range cho.Order(start, hosts(count), "d0") {
				asked++
				if sound[mem.Epoch] {
					return
				}
				cho.Failed(start, mem.Epoch)
			}
		}
		t.Fatalf("no sound host found among %d, %d of them sound", count, len(sound))
	})
}

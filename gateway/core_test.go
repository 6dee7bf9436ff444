package gateway_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

const self request.Epoch = 1

var start = time.Unix(1000, 0)

// member is host number num in the domain, with the number as its epoch.
func member(num int, domain string) view.Member {
	return view.Member{Name: fmt.Sprintf("host-%d", num), Epoch: request.Epoch(num), Domain: domain}
}

func configuration(engines int) resource.Configuration {
	entries := []resource.Entry{
		{Revision: 1, Resource: resource.Tier{Name: "Normal", Rank: 10}},
		{Revision: 1, Resource: resource.Service{Name: "menus", Protocol: resource.ProtocolModel}},
		{Revision: 1, Resource: resource.ClientAccount{Name: "care", Tiers: []string{"Normal"}}},
	}
	for num := range engines {
		entries = append(entries, resource.Entry{Revision: 1, Resource: resource.Engine{
			Name: fmt.Sprintf("engine-%d", num), Service: "menus", Slots: 2,
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}})
	}
	return resource.NewConfiguration(1, entries)
}

// bench drives one gateway core and collects its actions.
type bench struct {
	t       *testing.T
	core    *gateway.Core
	now     time.Time
	callers gateway.CallerID
}

func newBench(t *testing.T, engines int, members ...view.Member) *bench {
	ben := &bench{t: t, now: start, core: gateway.New(gateway.Config{Self: self, Started: start, Window: time.Minute})}
	ben.handle(gateway.ViewChanged{View: view.View{Number: 1, Members: members}})
	ben.handle(gateway.ConfigurationChanged{Configuration: configuration(engines)})
	for _, mem := range members {
		ben.handle(gateway.PeerUp{Peer: mem.Epoch})
	}
	return ben
}

func (ben *bench) handle(evt gateway.Event) []gateway.Action {
	return ben.core.Handle(ben.now, evt)
}

func (ben *bench) idOf(epoch request.Epoch, unique string) request.ID {
	return request.ID{Prefix: request.Prefix{View: 1, Epoch: epoch, Window: ben.core.Window(ben.now)}, Unique: unique}
}

func (ben *bench) arrive(id request.ID) []gateway.Action {
	ben.callers++
	return ben.handle(gateway.Arrived{Caller: ben.callers, ID: id, Spec: gateway.Spec{
		Service: "menus", Tier: "Normal", Rank: 10, Account: "care", PromptTokens: 100, MaxTokens: 10, Remaining: time.Minute,
	}})
}

// find returns the first action of the type.
func find[T gateway.Action](actions []gateway.Action) (T, bool) {
	for _, act := range actions {
		if found, same := act.(T); same {
			return found, true
		}
	}
	var none T
	return none, false
}

// sent returns the first message of the type, and whom it goes to.
func sent[T reservation.Message](actions []gateway.Action) (request.Epoch, T, bool) {
	for _, act := range actions {
		if snd, isSend := act.(gateway.Send); isSend {
			if msg, same := snd.Message.(T); same {
				return snd.To, msg, true
			}
		}
	}
	var none T
	return 0, none, false
}

func TestRequestIsDispatchedOnAGrantFromOutsideTheDomain(t *testing.T) {
	ben := newBench(t, 4, member(1, "a"), member(2, "a"), member(3, "b"))
	actions := ben.arrive(ben.idOf(self, "one"))
	_, attached := find[gateway.Attach](actions)
	assert.Assert(t, attached)
	to, res, reserved := sent[reservation.Reserve](actions)
	assert.Assert(t, reserved)
	assert.Equal(t, to, request.Epoch(3))
	actions = ben.handle(gateway.Received{From: to, Message: reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: "engine-0"}})
	dis, dispatched := find[gateway.Dispatch](actions)
	assert.Assert(t, dispatched)
	assert.Equal(t, dis.Engine, "engine-0")
}

func TestGrantTwiceIsDispatchedOnce(t *testing.T) {
	ben := newBench(t, 4, member(1, "a"), member(3, "b"))
	to, res, _ := sent[reservation.Reserve](ben.arrive(ben.idOf(self, "one")))
	gra := gateway.Received{From: to, Message: reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: "engine-0"}}
	_, first := find[gateway.Dispatch](ben.handle(gra))
	_, second := find[gateway.Dispatch](ben.handle(gra))
	assert.Assert(t, first)
	assert.Assert(t, !second)
}

// An id of an old view can't be granted by hosts that joined since. Where only
// those coordinate the service, the caller must be told to take a new prefix
// at once instead of waiting until its deadline.
func TestIDOfAnOldViewWithoutCoordinatorIsClosedAtOnce(t *testing.T) {
	ben := newBench(t, 1, member(1, "a"), member(3, "b"))
	ben.handle(gateway.ViewChanged{View: view.View{Number: 2, Members: []view.Member{
		member(1, "a"), leaving(member(3, "b")), member(4, "b"),
	}}})
	ben.handle(gateway.PeerUp{Peer: 4})
	to, wit, withdrawn := sent[reservation.Withdraw](ben.arrive(ben.idOf(self, "one")))
	assert.Assert(t, withdrawn)
	assert.Assert(t, wit.Close)
	assert.Equal(t, to, request.Epoch(3))
	actions := ben.handle(gateway.Received{From: to, Message: reservation.Refuse{ID: wit.ID, Ballot: wit.Ballot, Reason: reservation.ReasonClosed}})
	fin, finished := find[gateway.Finish](actions)
	assert.Assert(t, finished)
	assert.Equal(t, fin.Final.Cause, gateway.CauseRetired)
	assert.Equal(t, fin.Final.Outcome, request.NotRun)
	assert.Assert(t, fin.Final.Retry)
}

func leaving(mem view.Member) view.Member {
	mem.Leaving = true
	return mem
}

// A granter may have closed a request although its word was lost, and another
// gateway may have told its caller so. The owner must not run it afterwards.
func TestRequestIsNotRunAfterAnUnheardClose(t *testing.T) {
	ben := newBench(t, 4, member(1, "a"), member(2, "b"), member(3, "c"))
	id := ben.idOf(self, "one")
	ben.arrive(id)
	ben.now = ben.now.Add(time.Minute)
	_, wit, withdrawn := sent[reservation.Withdraw](ben.handle(gateway.Tick{}))
	assert.Assert(t, withdrawn && wit.Close)
	ben.now = ben.now.Add(gateway.DefaultCloseTimeout)
	fin, finished := find[gateway.Finish](ben.handle(gateway.Tick{}))
	assert.Assert(t, finished)
	assert.Equal(t, fin.Final.Outcome, request.Unknown)
	actions := ben.arrive(id)
	_, _, reserved := sent[reservation.Reserve](actions)
	assert.Assert(t, !reserved)
	_, wit, withdrawn = sent[reservation.Withdraw](actions)
	assert.Assert(t, withdrawn && wit.Close)
}

// A coordinator closes what is overdue by itself, while the gateway may have
// had a grant from another one: a fence must hear all before it says NotRun.
func TestFenceThatHearsClosedFirstStillFindsTheGrant(t *testing.T) {
	ben := newBench(t, 4, member(1, "a"), member(2, "b"), member(3, "c"), member(4, "d"))
	ben.handle(gateway.PeerLost{Peer: 4})
	id := ben.idOf(4, "one")
	fences := 0
	var bal request.Ballot
	for _, act := range ben.arrive(id) {
		if ask, isAsk := act.(gateway.AskFence); isAsk {
			fences++
			bal = ask.Fence.Ballot
		}
	}
	assert.Equal(t, fences, 3)
	answer := func(from request.Epoch, sta reservation.Standing) []gateway.Action {
		return ben.handle(gateway.FenceAnswered{Ballot: bal, Answer: reservation.FenceAnswer{ID: id, From: from, Standing: sta, Engine: "engine-1"}})
	}
	_, early := find[gateway.Finish](answer(2, reservation.StandingClosed))
	assert.Assert(t, !early)
	res, resumed := find[gateway.Resume](answer(3, reservation.StandingGranted))
	assert.Assert(t, resumed)
	assert.Equal(t, res.Engine, "engine-1")
}

// A coordinator that was lost may have granted what others were told it hadn't.
// It counts for nothing until every voucher has released its vouch.
func TestLostCoordinatorIsRefusedUntilEveryVouchIsReleased(t *testing.T) {
	ben := newBench(t, 4, member(1, "a"), member(2, "b"), member(3, "c"))
	vou, vouched := find[gateway.SendVouch](ben.handle(gateway.PeerLost{Peer: 2}))
	assert.Assert(t, vouched)
	assert.Equal(t, vou.To.Epoch, request.Epoch(3))
	unv, asked := find[gateway.SendUnvouch](ben.handle(gateway.PeerUp{Peer: 2}))
	assert.Assert(t, asked)
	for num := range 8 {
		to, _, reserved := sent[reservation.Reserve](ben.arrive(ben.idOf(self, fmt.Sprintf("before-%d", num))))
		assert.Assert(t, reserved)
		assert.Equal(t, to, request.Epoch(3))
	}
	ben.handle(gateway.Unvouched{Voucher: 3, Answer: reservation.UnvouchAnswer{VouchKey: unv.Unvouch.VouchKey, Released: true}})
	used := make(map[request.Epoch]bool)
	for num := range 8 {
		to, _, _ := sent[reservation.Reserve](ben.arrive(ben.idOf(self, fmt.Sprintf("after-%d", num))))
		used[to] = true
	}
	assert.Assert(t, used[2])
}

// A grant of a coordinator that the reservation has left is given back.
func TestGrantOfAFormerCoordinatorIsReturned(t *testing.T) {
	ben := newBench(t, 4, member(1, "a"), member(2, "b"), member(3, "c"))
	first, res, _ := sent[reservation.Reserve](ben.arrive(ben.idOf(self, "one")))
	refuse := gateway.Received{From: first, Message: reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reservation.ReasonFull}}
	second, _, moved := sent[reservation.Reserve](ben.handle(refuse))
	assert.Assert(t, moved && second != first)
	actions := ben.handle(gateway.Received{From: first, Message: reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: "engine-0"}})
	_, dispatched := find[gateway.Dispatch](actions)
	assert.Assert(t, !dispatched)
	to, rel, returned := sent[reservation.Release](actions)
	assert.Assert(t, returned && !rel.Dispatched)
	assert.Equal(t, to, first)
}

// A request that no coordinator can be asked for is given up soon, with when to
// come back, instead of being held until its deadline.
func TestStrandedRequestIsGivenUpSoon(t *testing.T) {
	ben := newBench(t, 4, member(1, "a"), member(2, "b"))
	ben.handle(gateway.PeerLost{Peer: 2})
	ben.arrive(ben.idOf(self, "one"))
	ben.now = ben.now.Add(gateway.DefaultStrandedTime)
	ask, asked := find[gateway.AskFence](ben.handle(gateway.Tick{}))
	assert.Assert(t, asked)
	fin, finished := find[gateway.Finish](ben.handle(gateway.FenceFailed{ID: ask.Fence.ID, Ballot: ask.Fence.Ballot, Peer: 2}))
	assert.Assert(t, finished)
	assert.Equal(t, fin.Final.Outcome, request.Unknown)
	assert.Assert(t, fin.Final.Retry)
}

// A host that starts learns past views after the current one; ids of them must
// then be relayed or fenced, not refused as too old.
func TestPastViewLearnedLaterCounts(t *testing.T) {
	ben := &bench{t: t, now: start, core: gateway.New(gateway.Config{Self: self, Started: start})}
	ben.handle(gateway.ViewChanged{View: view.View{Number: 2, Members: []view.Member{member(1, "a"), member(3, "b")}}})
	ans, answered := find[gateway.Answer](ben.arrive(ben.idOf(2, "one")))
	assert.Assert(t, answered && ans.Final.Cause == gateway.CauseTooOld)
	ben.handle(gateway.ViewChanged{View: view.View{Number: 1, Members: []view.Member{member(2, "a"), member(3, "b")}}})
	rel, relayed := find[gateway.Relay](ben.arrive(ben.idOf(2, "one")))
	assert.Assert(t, relayed)
	assert.Equal(t, rel.To.Epoch, request.Epoch(2))
}

// Every host that could grant an id of an old view has stopped in order. Nobody
// is left to close the request, and nobody to grant it: the caller is told to
// take a new prefix, whether the request was to be closed or not.
func TestIDWhoseGrantersAllStoppedIsRetired(t *testing.T) {
	ben := newBench(t, 2, member(1, "a"), member(2, "b"), member(3, "c"))
	ben.handle(gateway.ViewChanged{View: view.View{Number: 2, Members: []view.Member{
		member(1, "a"), member(4, "b"), member(5, "c"),
	}}})
	for _, epo := range []request.Epoch{2, 3} {
		ben.handle(gateway.PeerLost{Peer: epo})
	}
	for _, epo := range []request.Epoch{4, 5} {
		ben.handle(gateway.PeerUp{Peer: epo})
	}
	actions := ben.arrive(ben.idOf(self, "one"))
	ask, asked := find[gateway.AskFence](actions)
	assert.Assert(t, asked)
	for _, epo := range []request.Epoch{2, 3} {
		_, early := find[gateway.Finish](ben.handle(gateway.FenceFailed{ID: ask.Fence.ID, Ballot: ask.Fence.Ballot, Peer: epo}))
		assert.Assert(t, !early)
	}
	actions = ben.handle(gateway.FenceAnswered{Ballot: ask.Fence.Ballot, Answer: reservation.FenceAnswer{
		ID: ask.Fence.ID, From: 4, Standing: reservation.StandingBystander, Successions: []request.Epoch{2, 3},
	}})
	fin, finished := find[gateway.Finish](actions)
	assert.Assert(t, finished)
	assert.Equal(t, fin.Final.Cause, gateway.CauseRetired)
	assert.Equal(t, fin.Final.Outcome, request.NotRun)
	assert.Assert(t, fin.Final.Retry)
}

// This host is the last one that may grant an id which it has taken over, and
// it takes no grant from its own failure domain. It closes the request in its
// own ledger, where every later fence reads it, instead of leaving its caller
// undecided until the deadline.
func TestLastGranterClosesWhatItCannotGrantItself(t *testing.T) {
	ben := newBench(t, 2, member(1, "a"), member(2, "b"), member(3, "c"), member(4, "d"))
	ben.handle(gateway.ViewChanged{View: view.View{Number: 2, Members: []view.Member{
		member(1, "a"), member(5, "b"), member(6, "c"), member(7, "d"),
	}}})
	for _, epo := range []request.Epoch{2, 3, 4} {
		ben.handle(gateway.PeerLost{Peer: epo})
	}
	for _, epo := range []request.Epoch{5, 6, 7} {
		ben.handle(gateway.PeerUp{Peer: epo})
	}
	ask, asked := find[gateway.AskFence](ben.arrive(ben.idOf(4, "one")))
	assert.Assert(t, asked)
	fenced := func(from request.Epoch, sta reservation.Standing) []gateway.Action {
		return ben.handle(gateway.FenceAnswered{Ballot: ask.Fence.Ballot, Answer: reservation.FenceAnswer{
			ID: ask.Fence.ID, From: from, Standing: sta, Successions: []request.Epoch{2, 3, 4},
		}})
	}
	fenced(5, reservation.StandingBystander)
	to, wit, withdrawn := sent[reservation.Withdraw](fenced(self, reservation.StandingPromised))
	assert.Assert(t, withdrawn && wit.Close)
	assert.Equal(t, to, self)
	actions := ben.handle(gateway.Received{From: to, Message: reservation.Refuse{ID: wit.ID, Ballot: wit.Ballot, Reason: reservation.ReasonClosed}})
	fin, finished := find[gateway.Finish](actions)
	assert.Assert(t, finished)
	assert.Equal(t, fin.Final.Cause, gateway.CauseRetired)
	assert.Equal(t, fin.Final.Outcome, request.NotRun)
}

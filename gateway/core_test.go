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

// member returns host number num in the domain, with the number as its epoch.
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

// harness drives one gateway core.
type harness struct {
	t       *testing.T
	core    *gateway.Core
	now     time.Time
	callers gateway.ClientID
}

func newHarness(t *testing.T, engines int, members ...view.Member) *harness {
	har := &harness{t: t, now: start, core: gateway.New(gateway.Config{Self: self, Started: start, Window: time.Minute})}
	har.handle(gateway.ViewChanged{View: view.View{Number: 1, Members: members}})
	har.handle(gateway.ConfigurationChanged{Configuration: configuration(engines)})
	for _, mem := range members {
		har.handle(gateway.PeerUp{Peer: mem.Epoch})
	}
	return har
}

func (har *harness) handle(evt gateway.Event) []gateway.Action {
	return har.core.Handle(har.now, evt)
}

func (har *harness) idOf(epoch request.Epoch, unique string) request.ID {
	return request.ID{Prefix: request.Prefix{View: 1, Epoch: epoch, Window: har.core.Window(har.now)}, Unique: unique}
}

func (har *harness) arrive(id request.ID) []gateway.Action {
	return har.handle(har.arrival(id))
}

// arrival returns the arrival of another client with the request id.
func (har *harness) arrival(id request.ID) gateway.Arrived {
	har.callers++
	return gateway.Arrived{Client: har.callers, ID: id, Spec: gateway.Spec{
		Service: "menus", Tier: "Normal", Rank: 10, Account: "care", PromptTokens: 100, MaxTokens: 10, Remaining: time.Minute,
	}}
}

// find returns the first action of type T.
func find[T gateway.Action](actions []gateway.Action) (T, bool) {
	for _, act := range actions {
		if found, same := act.(T); same {
			return found, true
		}
	}
	var none T
	return none, false
}

// sent returns the first sent message of type T and its recipient.
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
	har := newHarness(t, 4, member(1, "a"), member(2, "a"), member(3, "b"))
	actions := har.arrive(har.idOf(self, "one"))
	_, attached := find[gateway.Attach](actions)
	assert.Assert(t, attached)
	to, res, reserved := sent[reservation.Reserve](actions)
	assert.Assert(t, reserved)
	assert.Equal(t, to, request.Epoch(3))
	actions = har.handle(gateway.Received{From: to, Message: reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: "engine-0"}})
	dis, dispatched := find[gateway.Dispatch](actions)
	assert.Assert(t, dispatched)
	assert.Equal(t, dis.Engine, "engine-0")
}

func TestRepeatedGrantIsDispatchedOnce(t *testing.T) {
	har := newHarness(t, 4, member(1, "a"), member(3, "b"))
	to, res, _ := sent[reservation.Reserve](har.arrive(har.idOf(self, "one")))
	gra := gateway.Received{From: to, Message: reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: "engine-0"}}
	_, first := find[gateway.Dispatch](har.handle(gra))
	_, second := find[gateway.Dispatch](har.handle(gra))
	assert.Assert(t, first)
	assert.Assert(t, !second)
}

// Hosts that joined after a view can't grant its ids. If only such hosts coordinate
// the service, the client must be asked to request a new prefix at once instead of
// waiting until its deadline.
func TestIDOfAnOldViewWithoutCoordinatorIsClosedAtOnce(t *testing.T) {
	har := newHarness(t, 1, member(1, "a"), member(3, "b"))
	har.handle(gateway.ViewChanged{View: view.View{Number: 2, Members: []view.Member{
		member(1, "a"), draining(member(3, "b")), member(4, "b"),
	}}})
	har.handle(gateway.PeerUp{Peer: 4})
	to, wit, withdrawn := sent[reservation.Withdraw](har.arrive(har.idOf(self, "one")))
	assert.Assert(t, withdrawn)
	assert.Assert(t, wit.Close)
	assert.Equal(t, to, request.Epoch(3))
	actions := har.handle(gateway.Received{From: to, Message: reservation.Refuse{ID: wit.ID, Ballot: wit.Ballot, Reason: reservation.ReasonClosed}})
	fin, finished := find[gateway.Finish](actions)
	assert.Assert(t, finished)
	assert.Equal(t, fin.Final.Cause, gateway.CausePrefixRetired)
	assert.Equal(t, fin.Final.Outcome, request.NotRun)
	assert.Assert(t, fin.Final.Retry)
}

func draining(mem view.Member) view.Member {
	mem.Draining = true
	return mem
}

// A granter may have closed a request although its answer was lost, and another
// gateway may have reported that to its client. The owner must not run the request
// afterwards.
func TestRequestIsNotRunAfterAnUnconfirmedClose(t *testing.T) {
	har := newHarness(t, 4, member(1, "a"), member(2, "b"), member(3, "c"))
	id := har.idOf(self, "one")
	har.arrive(id)
	har.now = har.now.Add(time.Minute)
	_, wit, withdrawn := sent[reservation.Withdraw](har.handle(gateway.Tick{}))
	assert.Assert(t, withdrawn && wit.Close)
	har.now = har.now.Add(gateway.DefaultCloseTimeout)
	fin, finished := find[gateway.Finish](har.handle(gateway.Tick{}))
	assert.Assert(t, finished)
	assert.Equal(t, fin.Final.Outcome, request.Unknown)
	actions := har.arrive(id)
	_, _, reserved := sent[reservation.Reserve](actions)
	assert.Assert(t, !reserved)
	_, wit, withdrawn = sent[reservation.Withdraw](actions)
	assert.Assert(t, withdrawn && wit.Close)
}

// A coordinator closes expired requests on its own, while their gateway may have a
// grant from another coordinator. A fence must get all answers before it reports
// NotRun.
func TestFenceResumesGrantAfterClosedAnswer(t *testing.T) {
	har := newHarness(t, 4, member(1, "a"), member(2, "b"), member(3, "c"), member(4, "d"))
	har.handle(gateway.PeerLost{Peer: 4})
	id := har.idOf(4, "one")
	fences := 0
	var bal request.Ballot
	for _, act := range har.arrive(id) {
		if ask, isAsk := act.(gateway.SendFence); isAsk {
			fences++
			bal = ask.Fence.Ballot
		}
	}
	assert.Equal(t, fences, 3)
	answer := func(from request.Epoch, sta reservation.FenceState) []gateway.Action {
		return har.handle(gateway.FenceAnswered{Ballot: bal, Answer: reservation.FenceAnswer{ID: id, From: from, State: sta, Engine: "engine-1"}})
	}
	_, early := find[gateway.Finish](answer(2, reservation.FenceStateClosed))
	assert.Assert(t, !early)
	res, resumed := find[gateway.Resume](answer(3, reservation.FenceStateGranted))
	assert.Assert(t, resumed)
	assert.Equal(t, res.Engine, "engine-1")
}

// A lost coordinator may have granted requests that the attestations about it don't
// list. Its grants must be rejected until every attestation is revoked.
func TestLostCoordinatorIsNotUsedUntilEveryAttestationIsRevoked(t *testing.T) {
	har := newHarness(t, 4, member(1, "a"), member(2, "b"), member(3, "c"))
	att, attested := find[gateway.SendAttestation](har.handle(gateway.PeerLost{Peer: 2}))
	assert.Assert(t, attested)
	assert.Equal(t, att.To.Epoch, request.Epoch(3))
	rev, asked := find[gateway.SendRevocation](har.handle(gateway.PeerUp{Peer: 2}))
	assert.Assert(t, asked)
	for num := range 8 {
		to, _, reserved := sent[reservation.Reserve](har.arrive(har.idOf(self, fmt.Sprintf("before-%d", num))))
		assert.Assert(t, reserved)
		assert.Equal(t, to, request.Epoch(3))
	}
	har.handle(gateway.RevocationAnswered{Attester: 3, Answer: reservation.RevocationAnswer{AttestationKey: rev.Revocation.AttestationKey, Revoked: true}})
	used := make(map[request.Epoch]bool)
	for num := range 8 {
		to, _, _ := sent[reservation.Reserve](har.arrive(har.idOf(self, fmt.Sprintf("after-%d", num))))
		used[to] = true
	}
	assert.Assert(t, used[2])
}

// A grant that arrives after the reservation has moved to another coordinator must be
// released.
func TestGrantOfAPreviousCoordinatorIsReleased(t *testing.T) {
	har := newHarness(t, 4, member(1, "a"), member(2, "b"), member(3, "c"))
	first, res, _ := sent[reservation.Reserve](har.arrive(har.idOf(self, "one")))
	refuse := gateway.Received{From: first, Message: reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reservation.ReasonFull}}
	second, _, moved := sent[reservation.Reserve](har.handle(refuse))
	assert.Assert(t, moved && second != first)
	actions := har.handle(gateway.Received{From: first, Message: reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: "engine-0"}})
	_, dispatched := find[gateway.Dispatch](actions)
	assert.Assert(t, !dispatched)
	to, rel, returned := sent[reservation.Release](actions)
	assert.Assert(t, returned && !rel.Dispatched)
	assert.Equal(t, to, first)
}

// A request without an available coordinator must fail after DefaultNoCoordinatorTimeout
// and allow a retry, instead of waiting until its deadline.
func TestRequestWithoutCoordinatorFailsAfterTimeout(t *testing.T) {
	har := newHarness(t, 4, member(1, "a"), member(2, "b"))
	har.handle(gateway.PeerLost{Peer: 2})
	har.arrive(har.idOf(self, "one"))
	har.now = har.now.Add(gateway.DefaultNoCoordinatorTimeout)
	ask, asked := find[gateway.SendFence](har.handle(gateway.Tick{}))
	assert.Assert(t, asked)
	fin, finished := find[gateway.Finish](har.handle(gateway.FenceFailed{ID: ask.Fence.ID, Ballot: ask.Fence.Ballot, Peer: 2}))
	assert.Assert(t, finished)
	assert.Equal(t, fin.Final.Outcome, request.Unknown)
	assert.Assert(t, fin.Final.Retry)
}

// A starting host receives past views after the current one. Afterwards the gateway must
// relay or fence the ids of these views instead of rejecting them as too old.
func TestIDOfPastViewReceivedLaterIsRelayed(t *testing.T) {
	har := &harness{t: t, now: start, core: gateway.New(gateway.Config{Self: self, Started: start})}
	har.handle(gateway.ViewChanged{View: view.View{Number: 2, Members: []view.Member{member(1, "a"), member(3, "b")}}})
	ans, answered := find[gateway.Answer](har.arrive(har.idOf(2, "one")))
	assert.Assert(t, answered && ans.Final.Cause == gateway.CauseTooOld)
	har.handle(gateway.ViewChanged{View: view.View{Number: 1, Members: []view.Member{member(2, "a"), member(3, "b")}}})
	rel, relayed := find[gateway.Relay](har.arrive(har.idOf(2, "one")))
	assert.Assert(t, relayed)
	assert.Equal(t, rel.To.Epoch, request.Epoch(2))
}

// If every granter of an id of an old view has stopped cleanly, no host is left that
// could close or grant the request. The client must be asked to request a new prefix.
func TestIDWhoseGrantersAllStoppedIsRetired(t *testing.T) {
	har := newHarness(t, 2, member(1, "a"), member(2, "b"), member(3, "c"))
	har.handle(gateway.ViewChanged{View: view.View{Number: 2, Members: []view.Member{
		member(1, "a"), member(4, "b"), member(5, "c"),
	}}})
	for _, epo := range []request.Epoch{2, 3} {
		har.handle(gateway.PeerLost{Peer: epo})
	}
	for _, epo := range []request.Epoch{4, 5} {
		har.handle(gateway.PeerUp{Peer: epo})
	}
	actions := har.arrive(har.idOf(self, "one"))
	ask, asked := find[gateway.SendFence](actions)
	assert.Assert(t, asked)
	for _, epo := range []request.Epoch{2, 3} {
		_, early := find[gateway.Finish](har.handle(gateway.FenceFailed{ID: ask.Fence.ID, Ballot: ask.Fence.Ballot, Peer: epo}))
		assert.Assert(t, !early)
	}
	actions = har.handle(gateway.FenceAnswered{Ballot: ask.Fence.Ballot, Answer: reservation.FenceAnswer{
		ID: ask.Fence.ID, From: 4, State: reservation.FenceStateNotGranter, Successions: []request.Epoch{2, 3},
	}})
	fin, finished := find[gateway.Finish](actions)
	assert.Assert(t, finished)
	assert.Equal(t, fin.Final.Cause, gateway.CausePrefixRetired)
	assert.Equal(t, fin.Final.Outcome, request.NotRun)
	assert.Assert(t, fin.Final.Retry)
}

// A host that is the last granter of a request that it has taken over can't grant it,
// because it accepts no grant from its own failure domain. It must close the request in
// its own ledger, where every later fence reads it, instead of leaving it undecided
// until the deadline.
func TestLastGranterClosesRequestThatItMayNotGrant(t *testing.T) {
	har := newHarness(t, 2, member(1, "a"), member(2, "b"), member(3, "c"), member(4, "d"))
	har.handle(gateway.ViewChanged{View: view.View{Number: 2, Members: []view.Member{
		member(1, "a"), member(5, "b"), member(6, "c"), member(7, "d"),
	}}})
	for _, epo := range []request.Epoch{2, 3, 4} {
		har.handle(gateway.PeerLost{Peer: epo})
	}
	for _, epo := range []request.Epoch{5, 6, 7} {
		har.handle(gateway.PeerUp{Peer: epo})
	}
	ask, asked := find[gateway.SendFence](har.arrive(har.idOf(4, "one")))
	assert.Assert(t, asked)
	fenced := func(from request.Epoch, sta reservation.FenceState) []gateway.Action {
		return har.handle(gateway.FenceAnswered{Ballot: ask.Fence.Ballot, Answer: reservation.FenceAnswer{
			ID: ask.Fence.ID, From: from, State: sta, Successions: []request.Epoch{2, 3, 4},
		}})
	}
	fenced(5, reservation.FenceStateNotGranter)
	to, wit, withdrawn := sent[reservation.Withdraw](fenced(self, reservation.FenceStatePromised))
	assert.Assert(t, withdrawn && wit.Close)
	assert.Equal(t, to, self)
	actions := har.handle(gateway.Received{From: to, Message: reservation.Refuse{ID: wit.ID, Ballot: wit.Ballot, Reason: reservation.ReasonClosed}})
	fin, finished := find[gateway.Finish](actions)
	assert.Assert(t, finished)
	assert.Equal(t, fin.Final.Cause, gateway.CausePrefixRetired)
	assert.Equal(t, fin.Final.Outcome, request.NotRun)
}

// Guards against a false "unknown": a gateway that stalls for a moment holds a grant that it
// hasn't dispatched yet, so the engine doesn't know the request. A host whose relay to that
// gateway failed must send its clients there again while the gateway is connected.
func TestGrantNotDispatchedYetIsLeftToItsConnectedHolder(t *testing.T) {
	for name, want := range map[string]gateway.Cause{
		"connected": gateway.CauseMoved, "lost": gateway.CauseUndecided, "sent back": gateway.CauseUndecided,
	} {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t, 4, member(1, "a"), member(2, "b"), member(3, "c"), member(4, "d"))
			id := har.idOf(4, "one")
			_, relayed := find[gateway.Relay](har.arrive(id))
			assert.Assert(t, relayed)
			arr := har.arrival(id)
			arr.Relayed = name == "sent back"
			actions := har.handle(gateway.RelayFailed{To: 4, Arrived: arr})
			ask, asked := find[gateway.SendFence](actions)
			assert.Assert(t, asked)
			_, resumed := find[gateway.Resume](har.handle(gateway.FenceAnswered{Ballot: ask.Fence.Ballot, Answer: reservation.FenceAnswer{
				ID: id, From: 2, State: reservation.FenceStateGranted, Engine: "engine-1", Ballot: request.Ballot{Holder: 4},
			}}))
			assert.Assert(t, resumed)
			if name == "lost" {
				har.handle(gateway.PeerLost{Peer: 4})
			}
			fin, finished := find[gateway.Finish](har.handle(gateway.EngineDone{ID: id, Result: gateway.Result{Dispatched: true, NotFound: true}}))
			assert.Assert(t, finished)
			assert.Equal(t, fin.Final.Cause, want)
			assert.Equal(t, fin.Final.Holder.Epoch == 4, want == gateway.CauseMoved)
		})
	}
}

package coordinator_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/coordinator"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// The hosts of the tests: a gateway in domain a, the coordinator in domain b,
// and another gateway in domain c.
const (
	gatewayEpoch request.Epoch = 1
	selfEpoch    request.Epoch = 2
	otherEpoch   request.Epoch = 3
)

// harness drives one coordinator core.
type harness struct {
	core *coordinator.Core
	now  time.Time
}

// harnessConfig configures a harness.
type harnessConfig struct {
	slots      int
	maxWaiting int
	// second adds an engine of half the speed.
	second bool
}

func newHarness(cfg harnessConfig) *harness {
	har := &harness{core: coordinator.New(coordinator.Config{Self: selfEpoch}), now: time.Unix(1000, 0)}
	members := []view.Member{
		{Name: "host-1", Epoch: gatewayEpoch, Domain: "a", Draining: true},
		{Name: "host-2", Epoch: selfEpoch, Domain: "b"},
		{Name: "host-3", Epoch: otherEpoch, Domain: "c", Draining: true},
	}
	entries := []resource.Entry{
		{Revision: 1, Resource: resource.Service{Name: "menus", Protocol: resource.ProtocolModel, MaxWaiting: cfg.maxWaiting}},
		{Revision: 1, Resource: resource.Engine{
			Name: "engine-1", Service: "menus", Slots: cfg.slots, Address: netip.MustParseAddrPort("127.0.0.1:1"),
			PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 100,
		}},
	}
	if cfg.second {
		entries = append(entries, resource.Entry{Revision: 1, Resource: resource.Engine{
			Name: "engine-2", Service: "menus", Slots: cfg.slots, Address: netip.MustParseAddrPort("127.0.0.1:2"),
			PrefillTokensPerSecond: 500, DecodeTokensPerSecond: 50,
		}})
	}
	har.handle(coordinator.ConfigurationChanged{Configuration: resource.NewConfiguration(1, entries)})
	har.handle(coordinator.ViewChanged{View: view.View{Number: 1, Members: members}})
	har.now = har.now.Add(time.Second)
	return har
}

func (har *harness) handle(evt coordinator.Event) []coordinator.Action {
	return har.core.Handle(har.now, evt)
}

func requestID(unique string) request.ID {
	return request.ID{Prefix: request.Prefix{View: 1, Epoch: gatewayEpoch, Window: 1}, Unique: unique}
}

func reserveOf(unique string, rank int) reservation.Reserve {
	return reservation.Reserve{
		ID: requestID(unique), Ballot: request.Ballot{Holder: gatewayEpoch}, Service: "menus", Rank: rank,
		Account: "care", PromptTokens: 100, MaxTokens: 10, Remaining: time.Minute,
	}
}

func (har *harness) receive(msg reservation.Message) []coordinator.Action {
	return har.handle(coordinator.Received{From: gatewayEpoch, Message: msg})
}

// messages returns a short text of each sent message.
func messages(actions []coordinator.Action) []string {
	var texts []string
	for _, act := range actions {
		snd, isSend := act.(coordinator.Send)
		if !isSend {
			continue
		}
		switch msg := snd.Message.(type) {
		case reservation.Grant:
			texts = append(texts, "Grant "+msg.ID.Unique)
		case reservation.Refuse:
			texts = append(texts, fmt.Sprintf("Refuse %s %s", msg.ID.Unique, msg.Reason))
		case reservation.Evicted:
			texts = append(texts, fmt.Sprintf("Evicted %s %t", msg.ID.Unique, msg.Done))
		}
	}
	return texts
}

func TestHigherTierIsServedFirst(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1})
	assert.DeepEqual(t, messages(har.receive(reserveOf("running", 10))), []string{"Grant running"})
	har.receive(reserveOf("low", 10))
	har.receive(reserveOf("high", 20))
	rel := reservation.Release{ID: requestID("running"), Ballot: request.Ballot{Holder: gatewayEpoch}, Engine: "engine-1", Dispatched: true}
	assert.DeepEqual(t, messages(har.receive(rel)), []string{"Grant high"})
}

func TestFullQueueDropsTheLowestTierOnly(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1, maxWaiting: 1})
	har.receive(reserveOf("running", 10))
	har.receive(reserveOf("middle", 15))
	assert.DeepEqual(t, messages(har.receive(reserveOf("low", 10))), []string{"Refuse low Full"})
	assert.DeepEqual(t, messages(har.receive(reserveOf("high", 20))), []string{"Refuse middle Full"})
	assert.DeepEqual(t, messages(har.receive(reserveOf("same", 20))), []string{"Refuse same Full"})
}

// After a reservation was refused as full, none of a lower rank may be queued for the floor
// time even if the queue has room: the gateway of the refused request may be about to shed
// that request.
func TestFloorRefusesLowerTiers(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1, maxWaiting: 1})
	har.receive(reserveOf("running", 10))
	har.receive(reserveOf("waiting", 20))
	assert.DeepEqual(t, messages(har.receive(reserveOf("refused", 20))), []string{"Refuse refused Full"})
	har.receive(reservation.Withdraw{ID: requestID("waiting"), Ballot: request.Ballot{Holder: gatewayEpoch}})
	assert.DeepEqual(t, messages(har.receive(reserveOf("low", 10))), []string{"Refuse low Full"})
	har.now = har.now.Add(coordinator.DefaultFloorTime)
	assert.Equal(t, len(messages(har.receive(reserveOf("later", 10)))), 0)
}

func TestEvictDropsALowerReservationOrRaisesTheFloor(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1, maxWaiting: 4})
	har.receive(reserveOf("running", 10))
	har.receive(reserveOf("low", 10))
	evict := reservation.Evict{ID: requestID("high"), Service: "menus", Rank: 20}
	assert.DeepEqual(t, messages(har.receive(evict)), []string{"Refuse low Full", "Evicted high true"})
	assert.DeepEqual(t, messages(har.receive(evict)), []string{"Evicted high false"})
	assert.DeepEqual(t, messages(har.receive(reserveOf("late", 10))), []string{"Refuse late Full"})
}

func TestReservationWithUnattainableDeadlineExpires(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1})
	har.receive(reserveOf("running", 10))
	res := reserveOf("hasty", 10)
	res.Remaining = 500 * time.Millisecond
	har.receive(res)
	har.now = har.now.Add(450 * time.Millisecond)
	assert.DeepEqual(t, messages(har.handle(coordinator.Tick{})), []string{"Refuse hasty Expired"})
}

func TestDrainingEngineIsGrantedNothing(t *testing.T) {
	har := newHarness(harnessConfig{slots: 2})
	har.handle(coordinator.EngineReported{Engine: "engine-1", Draining: true})
	assert.Equal(t, len(messages(har.receive(reserveOf("one", 10)))), 0)
	assert.DeepEqual(t, messages(har.handle(coordinator.EngineReported{Engine: "engine-1"})), []string{"Grant one"})
}

func TestFencedRequestIsNeverGrantedUnderALowerBallot(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1})
	har.receive(reserveOf("running", 10))
	har.receive(reserveOf("one", 10))
	fen := reservation.Fence{ID: requestID("one"), Ballot: request.Ballot{Round: 1, Holder: otherEpoch}}
	ans, actions := har.core.Fence(har.now, fen)
	assert.Equal(t, ans.State, reservation.FenceStatePromised)
	assert.DeepEqual(t, messages(actions), []string{"Refuse one Fenced"})
	assert.DeepEqual(t, messages(har.receive(reserveOf("one", 10))), []string{"Refuse one Fenced"})
}

func TestRepeatedReserveReturnsTheSameGrant(t *testing.T) {
	har := newHarness(harnessConfig{slots: 4})
	assert.DeepEqual(t, messages(har.receive(reserveOf("one", 10))), []string{"Grant one"})
	assert.DeepEqual(t, messages(har.receive(reserveOf("one", 10))), []string{"Grant one"})
}

// A promise that a coordinator makes after handing its ledger over would be lost when
// it stops.
func TestStoppedLedgerPromisesNothing(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1})
	har.handle(coordinator.Drain{})
	har.core.Handover()
	fen := reservation.Fence{ID: requestID("one"), Ballot: request.Ballot{Round: 1, Holder: otherEpoch}}
	ans, _ := har.core.Fence(har.now, fen)
	assert.Equal(t, ans.State, reservation.FenceStateForgotten)
	assert.DeepEqual(t, messages(har.receive(reserveOf("two", 10))), []string{"Refuse two NotGranter"})
}

// An id whose window was forgotten may have been promised to another gateway. It must
// not be granted as if it were new.
func TestForgottenWindowIsRefused(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1})
	fen := reservation.Fence{ID: requestID("one"), Ballot: request.Ballot{Round: 1, Holder: otherEpoch}}
	har.core.Fence(har.now, fen)
	har.now = har.now.Add(coordinator.DefaultRetention + time.Second)
	har.handle(coordinator.Tick{})
	assert.DeepEqual(t, messages(har.receive(reserveOf("one", 10))), []string{"Refuse one Forgotten"})
}

// A grant can be lost with its session. When its holder then closes the request, the
// grant must not count as a conflicting claim: the holder would be refused as fenced by
// itself and retry forever.
func TestCloseRevokesALostGrant(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1})
	assert.DeepEqual(t, messages(har.receive(reserveOf("one", 10))), []string{"Grant one"})
	har.receive(reserveOf("two", 10))
	wit := reservation.Withdraw{ID: requestID("one"), Ballot: request.Ballot{Holder: gatewayEpoch}, Close: true}
	assert.DeepEqual(t, messages(har.receive(wit)), []string{"Grant two", "Refuse one Closed"})
}

// Once a fence has relied on an attestation, the grants of the lost epoch must stay
// rejected: a new grant could dispatch a request a second time, after the fence has
// allowed another gateway to run it.
func TestAttestationUsedByAFenceIsNotRevoked(t *testing.T) {
	key := reservation.AttestationKey{Lost: otherEpoch, Holder: gatewayEpoch}
	att := reservation.Attestation{AttestationKey: key, Sequence: 1}
	fen := reservation.Fence{ID: requestID("one"), Ballot: request.Ballot{Round: 1, Holder: otherEpoch}}
	cases := map[string]struct {
		fenced  bool
		revoked bool
	}{
		"NotReliedOn": {false, true},
		"ReliedOn":    {true, false},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			har := newHarness(harnessConfig{slots: 1})
			har.core.Attest(har.now, att)
			if cas.fenced {
				ans, _ := har.core.Fence(har.now, fen)
				assert.DeepEqual(t, ans.Attestations, []reservation.AttestationKey{key})
			}
			ans := har.core.RevokeAttestation(reservation.Revocation{AttestationKey: key, Sequence: 2})
			assert.Equal(t, ans.Revoked, cas.revoked)
			after, _ := har.core.Fence(har.now, fen)
			assert.Equal(t, len(after.Attestations) == 0, cas.revoked)
		})
	}
}

// Messages may arrive out of order: an attestation that arrives after its revocation
// must be ignored.
func TestAttestationArrivingAfterRevocationIsIgnored(t *testing.T) {
	key := reservation.AttestationKey{Lost: otherEpoch, Holder: gatewayEpoch}
	har := newHarness(harnessConfig{slots: 1})
	assert.Assert(t, har.core.RevokeAttestation(reservation.Revocation{AttestationKey: key, Sequence: 2}).Revoked)
	har.core.Attest(har.now, reservation.Attestation{AttestationKey: key, Sequence: 1})
	ans, _ := har.core.Fence(har.now, reservation.Fence{ID: requestID("one"), Ballot: request.Ballot{Round: 1, Holder: otherEpoch}})
	assert.Equal(t, len(ans.Attestations), 0)
}

func TestLowestOfSeveralLowerTiersIsDropped(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1, maxWaiting: 2})
	har.receive(reserveOf("running", 10))
	har.receive(reserveOf("low", 10))
	har.receive(reserveOf("middle", 15))
	assert.DeepEqual(t, messages(har.receive(reserveOf("high", 20))), []string{"Refuse low Full"})
}

// The state of hosts that are in no remembered view must be dropped, or memory use grows
// as long as the process runs.
func TestAttestationsOfUnknownHostsAreDropped(t *testing.T) {
	har := newHarness(harnessConfig{slots: 1})
	har.core.Attest(har.now, reservation.Attestation{AttestationKey: reservation.AttestationKey{Lost: otherEpoch, Holder: gatewayEpoch}, Sequence: 1})
	assert.Equal(t, har.core.Dump(har.now).Vouches, 1)
	members := []view.Member{{Name: "host-1", Epoch: gatewayEpoch, Domain: "a"}, {Name: "host-2", Epoch: selfEpoch, Domain: "b"}}
	for number := uint64(2); har.core.Dump(har.now).Vouches > 0; number++ {
		assert.Assert(t, number < 1000, "attestation still kept after 999 views")
		har.handle(coordinator.ViewChanged{View: view.View{Number: number, Members: members}})
	}
}

// A short request must not go to an engine with a long pending prefill: its few tokens
// would wait for the prefill, even on the fastest engine.
func TestShortRequestAvoidsAnEngineWithALongPendingPrefill(t *testing.T) {
	har := newHarness(harnessConfig{slots: 4, second: true})
	long := reserveOf("long", 10)
	long.PromptTokens = 8000
	assert.Equal(t, grantedEngine(har.receive(long)), "engine-1")
	assert.Equal(t, grantedEngine(har.receive(reserveOf("short", 10))), "engine-2")
	har.now = har.now.Add(8 * time.Second)
	assert.Equal(t, grantedEngine(har.receive(reserveOf("later", 10))), "engine-1")
}

func grantedEngine(actions []coordinator.Action) string {
	for _, act := range actions {
		if snd, isSend := act.(coordinator.Send); isSend {
			if gra, isGrant := snd.Message.(reservation.Grant); isGrant {
				return gra.Engine
			}
		}
	}
	return ""
}

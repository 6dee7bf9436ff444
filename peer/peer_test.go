package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/view"
)

const key = "a key for the tests of peers"

// backend is a minimal peer.Backend. It answers each Reserve with 1,000 grants, more
// than the session's queue holds.
type backend struct {
	mutex    sync.Mutex
	epoch    request.Epoch
	sessions uint64
	queues   map[uint64]*peer.Queue
	lost     chan uint64
	received chan reservation.Message
}

func newBackend(epoch request.Epoch) *backend {
	return &backend{
		epoch: epoch, queues: make(map[uint64]*peer.Queue), lost: make(chan uint64, 100), received: make(chan reservation.Message, 100),
	}
}

func (bac *backend) Header() peer.Header { return peer.Header{Epoch: bac.epoch, Name: "host", View: 3} }

func (bac *backend) SessionUp(_ peer.Header, que *peer.Queue, _ context.CancelFunc) uint64 {
	bac.mutex.Lock()
	defer bac.mutex.Unlock()
	bac.sessions++
	bac.queues[bac.sessions] = que
	return bac.sessions
}

func (bac *backend) SessionMessage(session uint64, rec peer.Received) {
	res, isReserve := rec.Message.(reservation.Reserve)
	if !isReserve {
		return
	}
	bac.mutex.Lock()
	defer bac.mutex.Unlock()
	for range 1000 {
		bac.queues[session].Put(peer.Outgoing{
			Message: reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: "engine-1"}, Load: reservation.Load{Service: "menus", FreeSlots: 2},
		})
	}
	bac.received <- res
}

func (bac *backend) SessionLost(session uint64) { bac.lost <- session }

func (bac *backend) Fence(_ context.Context, fen reservation.Fence) (reservation.FenceAnswer, error) {
	return reservation.FenceAnswer{
		ID: fen.ID, From: bac.epoch, State: reservation.FenceStateGranted, Ballot: fen.Ballot, Engine: "engine-2",
		Holders: []request.Epoch{7}, Attestations: []reservation.AttestationKey{{Lost: 8, Holder: 9}}, Successions: []request.Epoch{10},
	}, nil
}

func (bac *backend) Vouch(context.Context, reservation.Attestation) error { return nil }

func (bac *backend) Unvouch(_ context.Context, rev reservation.Revocation) (reservation.RevocationAnswer, error) {
	return reservation.RevocationAnswer{AttestationKey: rev.AttestationKey, Revoked: true}, nil
}

func (bac *backend) Handover(context.Context, reservation.Handover) error { return nil }

func (bac *backend) State(context.Context, uint64, uint64) (peer.State, error) {
	return peer.State{Views: [][]byte{[]byte("{}")}, Head: []byte("head"), Chunks: map[string][]byte{"p": []byte("part")}}, nil
}

var timing = peer.Timing{Heartbeat: 20 * time.Millisecond, Timeout: 500 * time.Millisecond}

// serve starts a server with the backend and returns its member entry.
func serve(t *testing.T, bac *backend) view.Member {
	t.Helper()
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := peer.NewServer(peer.ServerConfig{Backend: bac, Security: peer.Security{Key: key}, Timing: timing}).HTTPServer()
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	t.Cleanup(func() {
		_ = srv.Close()
		<-served
	})
	return view.Member{Name: "host", Epoch: bac.epoch, PeerAddress: netip.MustParseAddrPort(lis.Addr().String())}
}

func newClient(t *testing.T, withKey string) *peer.Client {
	cli := peer.NewClient(peer.ClientConfig{
		Security: peer.Security{Key: withKey}, Timing: timing, Self: func() peer.Header { return peer.Header{Epoch: 1, Name: "caller"} },
	})
	t.Cleanup(cli.Close)
	return cli
}

func testID() request.ID {
	return request.ID{Prefix: request.Prefix{View: 3, Epoch: 1, Window: 2}, Unique: "u"}
}

// Guards against a data race or a hang when a session is cancelled while both the gateway
// and the coordinator are sending.
func TestSessionEndsWhileBothSidesSend(t *testing.T) {
	bac := newBackend(5)
	mem := serve(t, bac)
	cli := newClient(t, key)
	for range 30 {
		ctx, cancel := context.WithCancel(t.Context())
		que := peer.NewQueue()
		que.Put(peer.Outgoing{Message: reservation.Reserve{ID: testID(), Service: "menus", Remaining: time.Second}})
		grants := 0
		err := cli.Session(ctx, mem, que, func() {}, func(rec peer.Received) {
			if gra, isGrant := rec.Message.(reservation.Grant); isGrant {
				assert.Check(t, gra.ID == testID() && gra.Engine == "engine-1" && rec.Load.FreeSlots == 2)
				grants++
				cancel()
			}
		})
		cancel()
		assert.Assert(t, err != nil)
		assert.Assert(t, grants > 0)
		<-bac.lost
		<-bac.received
	}
}

func TestSessionWithOtherEpochIsRejected(t *testing.T) {
	mem := serve(t, newBackend(5))
	mem.Epoch = 6
	err := newClient(t, key).Session(t.Context(), mem, peer.NewQueue(), func() { t.Error("session was established") }, func(peer.Received) {})
	var eer *peer.EpochError
	assert.Assert(t, errors.As(err, &eer), "%v", err)
	assert.DeepEqual(t, eer, &peer.EpochError{Want: 6, Got: 5})
}

func TestPeerWithWrongKeyIsRejected(t *testing.T) {
	mem := serve(t, newBackend(5))
	cli := newClient(t, "some other key of the same kind")
	_, err := cli.Probe(t.Context(), mem)
	assert.ErrorContains(t, err, "unauthenticated")
	_, err = cli.Fence(t.Context(), mem, reservation.Fence{ID: testID()})
	assert.ErrorContains(t, err, "unauthenticated")
	err = cli.Session(t.Context(), mem, peer.NewQueue(), func() { t.Error("session was established") }, func(peer.Received) {})
	assert.Assert(t, err != nil)
}

func TestUnaryCallsCarryFields(t *testing.T) {
	mem := serve(t, newBackend(5))
	cli := newClient(t, key)
	fen := reservation.Fence{ID: testID(), Ballot: request.Ballot{Round: 2, Holder: 3}}
	ans, err := cli.Fence(t.Context(), mem, fen)
	assert.NilError(t, err)
	assert.DeepEqual(t, ans, reservation.FenceAnswer{
		ID: testID(), From: 5, State: reservation.FenceStateGranted, Ballot: fen.Ballot, Engine: "engine-2",
		Holders: []request.Epoch{7}, Attestations: []reservation.AttestationKey{{Lost: 8, Holder: 9}}, Successions: []request.Epoch{10},
	})
	sta, err := cli.FetchState(t.Context(), mem.PeerAddress, 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(sta.Chunks["p"]), "part")
	assert.Equal(t, sta.Header.View, uint64(3))
	rev, err := cli.Unvouch(t.Context(), mem, reservation.Revocation{AttestationKey: reservation.AttestationKey{Lost: 1, Holder: 2}, Sequence: 3})
	assert.NilError(t, err)
	assert.Assert(t, rev.Revoked && rev.Lost == 1 && rev.Holder == 2)
}

// The zero ballot is omitted on the wire and restored from the request id, with the
// id's gateway as its holder.
func TestZeroBallotRoundTrips(t *testing.T) {
	mem := serve(t, newBackend(5))
	fen := reservation.Fence{ID: testID(), Ballot: request.Ballot{Holder: testID().Epoch}}
	ans, err := newClient(t, key).Fence(t.Context(), mem, fen)
	assert.NilError(t, err)
	assert.Equal(t, ans.Ballot, fen.Ballot)
}

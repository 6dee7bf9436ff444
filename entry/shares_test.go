package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/settings"
)

// newHostInFleet returns a host in a fleet of the given number of hosts, and the sessions that the
// other hosts have opened with it. None of them has delegated to it yet.
func newHostInFleet(t *testing.T, hosts int) (*Host, []uint64) {
	t.Helper()
	hos, err := New(Config{Log: zerolog.Nop()})
	assert.NilError(t, err)
	members := []fleet.Member{{Epoch: hos.epoch}}
	var sessions []uint64
	for idx := 1; idx < hosts; idx++ {
		epo := request.Epoch(idx)
		members = append(members, fleet.Member{Epoch: epo})
		_, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		sessions = append(sessions, hos.broker.SessionUp(peer.Header{Epoch: epo, Name: fmt.Sprint("gateway-", idx)}, peer.NewQueue(), cancel))
	}
	hos.broker.updateMembership(membership{members: members, candidates: members})
	return hos, sessions
}

// lend has a gateway answer the request for its share.
func lend(hos *Host, session uint64, sha limitshare.Share) {
	loan := reservation.ShareLoan{Stamp: hos.clock.Now().Sub(hos.started), Term: time.Minute, Loan: limitshare.Loan{Share: sha}}
	hos.broker.SessionMessage(session, peer.Received{Message: loan})
}

// Hosts that have delegated to the coordinator lend it their shares, also while they send no requests.
// Otherwise the first requests of hundreds of hosts after an idle period would get the limits of one host.
func TestIdleGatewaysLendTheirShares(t *testing.T) {
	const hosts = 300
	const each = limitshare.Whole / hosts
	hos, sessions := newHostInFleet(t, hosts)
	hos.confirmed.Store(int64(hos.clock.Now().Sub(hos.started)))
	share := func() float64 { return hos.Dump().Scheduler.LimitShare }
	for _, ses := range sessions {
		lend(hos, ses, each)
	}
	assert.Equal(t, share(), 0.0, "a session alone doesn't delegate to the host")
	for _, ses := range sessions {
		hos.broker.SessionMessage(ses, peer.Received{Message: reservation.Delegation{Delegated: true}})
		lend(hos, ses, each)
	}
	assert.Equal(t, share(), ((hosts - 1) * each).Fraction(), "all shares but the host's own, which no ledger names")
	// A third of the hosts delegates to another coordinator, another third is lost.
	for idx, ses := range sessions {
		switch idx % 3 {
		case 0:
			hos.broker.SessionMessage(ses, peer.Received{Message: reservation.Delegation{}})
		case 1:
			hos.broker.SessionLost(ses)
		}
	}
	assert.Equal(t, share(), (99 * each).Fraction())
}

// A coordinator that was paused for longer than the term of its loans spends no borrowed share, whatever it
// handles first.
func TestPausedCoordinatorSpendsNoBorrowedShare(t *testing.T) {
	hos, sessions := newHostInFleet(t, 2)
	ses := sessions[0]
	hos.broker.SessionMessage(ses, peer.Received{Message: reservation.Delegation{Delegated: true}})
	loan := reservation.ShareLoan{Stamp: hos.clock.Now().Sub(hos.started), Term: time.Nanosecond, Loan: limitshare.Loan{Share: limitshare.Whole}}
	hos.broker.SessionMessage(ses, peer.Received{Message: loan})
	assert.Equal(t, hos.Dump().Scheduler.LimitShare, 0.0)
	lend(hos, ses, limitshare.Whole)
	hos.broker.mutex.Lock()
	hos.broker.shares.book.Expire(hos.clock.Now().Add(time.Hour))
	hos.broker.mutex.Unlock()
	assert.Equal(t, hos.Dump().Scheduler.LimitShare, 0.0)
}

// A host whose ledger may be outdated spends nothing: others may have got its share. Only where revocation isn't strict, a
// host with most shares goes on, since it serves requests of accounts then.
func TestHostWithOutdatedLedgerSpendsNothing(t *testing.T) {
	for _, tst := range []struct {
		strict settings.Toggle
		most   float64
	}{{"false", 0.6}, {"true", 0}} {
		t.Run("strict "+string(tst.strict), func(t *testing.T) {
			hos, sessions := newHostInFleet(t, 3)
			bounds := *hos.bounds.Load()
			bounds.RevocationIsStrict = tst.strict
			hos.bounds.Store(&bounds)
			own := limitshare.Whole / 3
			set := func(sha limitshare.Share, version uint64) {
				hos.broker.mutex.Lock()
				defer hos.broker.mutex.Unlock()
				hos.broker.applyLedger(limitshare.Ledger{Version: version, Shares: map[string]limitshare.Share{hos.set.Name: sha, "gateway-1": limitshare.Whole - sha}}, 1)
				hos.broker.settleShares()
			}
			hos.confirmed.Store(int64(hos.clock.Now().Sub(hos.started) - limitshare.UnconfirmedUse - time.Second))
			set(own, 1)
			assert.Equal(t, hos.Dump().Scheduler.LimitShare, 0.0)
			hos.broker.SessionMessage(sessions[0], peer.Received{Message: reservation.Delegation{Delegated: true}})
			lend(hos, sessions[0], own)
			if tst.most > 0 {
				assert.Assert(t, hos.Dump().Scheduler.LimitShare > tst.most, "most shares")
			} else {
				assert.Equal(t, hos.Dump().Scheduler.LimitShare, 0.0, "most shares")
			}
			hos.broker.SessionLost(sessions[0])
			assert.Equal(t, hos.Dump().Scheduler.LimitShare, 0.0)
			hos.confirmed.Store(int64(hos.clock.Now().Sub(hos.started)))
			hos.broker.mutex.Lock()
			hos.broker.settleShares()
			hos.broker.mutex.Unlock()
			assert.Equal(t, hos.Dump().Scheduler.LimitShare, own.Fraction())
		})
	}
}

// Guards against a share that is spent twice (QUOTA): a gateway that is cut off from the store lends by its old ledger what
// the ledger has given to others since, and its coordinator, whose copy is confirmed, spent it for any time.
func TestBorrowedShareIsNoMoreThanTheLedgerSays(t *testing.T) {
	hos, sessions := newHostInFleet(t, 2)
	hos.confirmed.Store(int64(hos.clock.Now().Sub(hos.started)))
	hos.broker.SessionMessage(sessions[0], peer.Received{Message: reservation.Delegation{Delegated: true}})
	apply := func(version uint64, sha limitshare.Share) {
		hos.broker.mutex.Lock()
		defer hos.broker.mutex.Unlock()
		hos.broker.applyLedger(limitshare.Ledger{Version: version, Shares: map[string]limitshare.Share{"gateway-1": sha}}, 1)
	}
	apply(1, limitshare.Whole/2)
	lend(hos, sessions[0], limitshare.Whole/2)
	assert.Equal(t, hos.Dump().Scheduler.LimitShare, 0.5)
	apply(2, limitshare.Whole/4)
	lend(hos, sessions[0], limitshare.Whole/2)
	assert.Equal(t, hos.Dump().Scheduler.LimitShare, 0.25)
}

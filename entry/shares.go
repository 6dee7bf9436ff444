package entry

import (
	"context"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/store"
)

// Each host has a share of the limits by the ledger in the store, and lends it to its coordinator. The loan ends
// when the coordinator has given it back, when the coordinator has ended, or when it wasn't renewed for a term.
// A coordinator counts the term from the time at which it asked for the loan, and the lender from the later time
// at which it answered, so that no share is spent at two hosts, however long one of them was paused.

const (
	// minShareRenewal and maxShareRenewal bound the interval at which a coordinator asks for the renewal of loans.
	// In between, it is such that shareRenewalsPerSecond loans are renewed.
	minShareRenewal        = 120 * time.Millisecond
	maxShareRenewal        = time.Second
	shareRenewalsPerSecond = 500
	// renewalsPerTerm is the term of a loan in renewal intervals.
	renewalsPerTerm = 3.5
	// idleShareInterval is the interval at which a host that has no loans checks whether it has something to do.
	idleShareInterval = time.Second
	// ledgerTimeout bounds the writing of the ledger.
	ledgerTimeout = time.Second
)

// limitShares is the part of a broker that lends and borrows shares of the limits.
type limitShares struct {
	book    *limitshare.Book
	planner *limitshare.Planner
	// ledger is the newest known ledger. storedVersion and storedRevision are those of the store; 0 if it has none.
	ledger         limitshare.Ledger
	storedVersion  uint64
	storedRevision store.Revision
	// foundWithout is set if the store, when it was first read, had no ledger: nobody had a share before.
	foundWithout bool
	storeRead    bool
	// asked is the newest request for a loan that couldn't be answered yet, since the share is lent to another host or
	// no ledger is known.
	asked shareRequest
	// debts are the newest debts of client accounts at the coordinator, by account, as its grants to this host named them.
	debts map[string]scheduler.Debt
	// handsOver is set once this host gives its own share to others, since it stops.
	handsOver bool
	// suspended is set while this host spends no share, since its ledger may be outdated.
	suspended bool
	// logged is the state that was logged last.
	logged shareState
	// wake wakes maintainShares.
	wake chan struct{}
}

// shareRequest is a coordinator's request for a loan.
type shareRequest struct {
	from    request.Epoch
	message reservation.ShareRequest
	at      time.Time
}

// shareState is what is logged of a host's share.
type shareState struct {
	version   uint64
	own       limitshare.Share
	usable    limitshare.Share
	lenders   int
	borrower  request.Epoch
	suspended bool
}

func newLimitShares(bro *broker) *limitShares {
	return &limitShares{
		book:    limitshare.NewBook(bro.core.Pool(bro.host.clock.Now), bro.lostContent),
		debts:   make(map[string]scheduler.Debt),
		planner: limitshare.NewPlanner(),
		wake:    make(chan struct{}, 1),
	}
}

// settleShares ends the loans whose term is over, so that the next decision counts only shares that this host
// may spend; the mutex must be held.
func (bro *broker) settleShares() {
	lsh := bro.shares
	now := bro.host.clock.Now()
	borrower := lsh.book.Borrower()
	lsh.book.Expire(now)
	if borrower != lsh.book.Borrower() {
		bro.shareIsBack()
	}
	suspended := !bro.host.shareUse().MaySpend(bro.host.snapshotAge(now), lsh.book.Usable())
	if suspended != lsh.suspended {
		lsh.suspended = suspended
		bro.core.Handle(now, scheduler.ShareSuspended{Suspended: suspended})
	}
	bro.logShare()
}

// shareUse returns how long hosts spend shares without confirmation. Where revocation is strict, no host serves requests
// of client accounts for longer than freshnessLimit without it, so that no host needs a share for longer.
func (hos *Host) shareUse() limitshare.Use {
	if hos.bounds.Load().RevocationIsStrict.Or(true) {
		return limitshare.Use{Limit: hos.freshnessLimit(), MajorityIsBound: true}
	}
	return limitshare.Use{Limit: limitshare.UnconfirmedUse}
}

// logShare logs this host's share of the limits if it has changed.
func (bro *broker) logShare() {
	lsh := bro.shares
	sta := shareState{
		version: lsh.ledger.Version, own: lsh.ledger.Of(bro.host.set.Name), usable: lsh.book.Usable(), lenders: lsh.book.Lenders(),
		borrower: lsh.book.Borrower(), suspended: lsh.suspended,
	}
	if sta == lsh.logged {
		return
	}
	lsh.logged = sta
	bro.host.metrics.share.Update(sta.usable.Fraction())
	bro.host.log.Info().Uint64("Ledger", sta.version).Float64("Own", sta.own.Fraction()).Float64("Usable", sta.usable.Fraction()).
		Int("Lenders", sta.lenders).Stringer("LentTo", sta.borrower).Bool("Suspended", sta.suspended).Dur("Age", bro.host.snapshotAge(bro.host.clock.Now())).
		Stringer("Coordinator", bro.coordinator).Msg("share of the limits changed")
}

func (bro *broker) dumpLimits() LimitsDump {
	lsh := bro.shares
	dum := LimitsDump{
		Ledger: lsh.ledger.Version, Own: lsh.ledger.Of(bro.host.set.Name).Fraction(), Usable: lsh.book.Usable().Fraction(),
		Lenders: lsh.book.Lenders(), Suspended: lsh.suspended,
	}
	if epo := lsh.book.Borrower(); epo != 0 {
		dum.LentTo = epo.String()
	}
	return dum
}

// requestLoan asks a gateway for its share; the mutex must be held.
func (bro *broker) requestLoan(inb *inbound) {
	stamp := bro.host.clock.Now().Sub(bro.host.started)
	inb.send(reservation.ShareRequest{Stamp: stamp, Term: bro.shareTerm()})
}

// shareRenewal returns the interval at which this host asks for the renewal of loans.
func (bro *broker) shareRenewal() time.Duration {
	return min(maxShareRenewal, max(minShareRenewal, time.Second*time.Duration(len(bro.inbound))/shareRenewalsPerSecond))
}

func (bro *broker) shareTerm() time.Duration {
	return time.Duration(renewalsPerTerm * float64(bro.shareRenewal()))
}

// applyShareRequest lends this host's share to its coordinator; the mutex must be held.
func (bro *broker) applyShareRequest(from request.Epoch, req reservation.ShareRequest) {
	if from != bro.coordinator || bro.shares.handsOver {
		return
	}
	now := bro.host.clock.Now()
	bro.shares.asked = shareRequest{from: from, message: req, at: now}
	if bro.shares.ledger.Version == 0 {
		return
	}
	loan, lent := bro.shares.book.Lend(now, from, req.Term)
	if !lent {
		return
	}
	bro.shares.asked = shareRequest{}
	bro.send(from, reservation.ShareLoan{Stamp: req.Stamp, Term: req.Term, Loan: loan})
	bro.logShare()
}

// applyShareLoan records the share that a gateway lends to this host; the mutex must be held.
func (bro *broker) applyShareLoan(inb *inbound, msg reservation.ShareLoan) {
	now := bro.host.clock.Now()
	askedAt := bro.host.started.Add(msg.Stamp)
	if !inb.delegated || askedAt.After(now) {
		return
	}
	loan := msg.Loan
	if led := bro.shares.ledger; led.Version > 0 {
		// The lender's copy of the ledger may be older than this host's.
		loan.Share = min(loan.Share, led.Of(inb.name))
	}
	if !bro.shares.book.Borrow(now, inb.gateway, inb.name, loan, askedAt.Add(msg.Term)) {
		inb.send(reservation.ShareReturned{Generation: loan.Generation})
	}
	bro.logShare()
}

// returnLoan gives a share back to a gateway that no longer uses this host as its coordinator; the mutex must
// be held.
func (bro *broker) returnLoan(inb *inbound) {
	generation, con := bro.shares.book.GiveBack(inb.gateway)
	inb.send(reservation.ShareReturned{Generation: generation, Content: con})
	bro.logShare()
}

// recordDebt records what an account owes at the coordinator that granted a request; the mutex must be held.
func (bro *broker) recordDebt(account string, debt float64) {
	if debt <= 0 {
		delete(bro.shares.debts, account)
		return
	}
	bro.shares.debts[account] = scheduler.Debt{Amount: debt, At: bro.host.clock.Now()}
}

// lostContent returns the content of this host's share when the coordinator that has borrowed it is lost.
func (bro *broker) lostContent(sha limitshare.Share) limitshare.Content {
	return bro.core.LostContent(bro.host.clock.Now(), sha, bro.shares.debts)
}

// applyShareReturned records that a former coordinator no longer spends this host's share; the mutex must be
// held.
func (bro *broker) applyShareReturned(from request.Epoch, msg reservation.ShareReturned) {
	before := bro.shares.book.Borrower()
	bro.shares.book.Returned(from, msg.Generation, msg.Content)
	bro.shareMayBeBack(before)
}

// loseBorrower records that a coordinator has ended; the mutex must be held.
func (bro *broker) loseBorrower(epo request.Epoch) {
	before := bro.shares.book.Borrower()
	bro.shares.book.Lost(epo)
	bro.shareMayBeBack(before)
}

func (bro *broker) shareMayBeBack(before request.Epoch) {
	if before != bro.shares.book.Borrower() {
		bro.shareIsBack()
	}
	bro.logShare()
}

// shareIsBack lends the share, which isn't lent any more, to the coordinator if that has asked for it; the mutex
// must be held.
func (bro *broker) shareIsBack() {
	// The session with the former borrower is no longer needed.
	bro.wakeSessions()
	bro.answerAsked()
}

// answerAsked lends the share to the coordinator if that has asked for it before; the mutex must be held.
func (bro *broker) answerAsked() {
	ask := bro.shares.asked
	if ask.from != 0 && ask.from == bro.coordinator && bro.host.clock.Since(ask.at) < ask.message.Term {
		bro.applyShareRequest(ask.from, ask.message)
	}
}

// hasEnded reports whether the error of a session shows that the other host ended it, or has itself ended. Such
// a host has given back all shares before, or doesn't spend them any more.
func hasEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// applyLedger applies a ledger that was read or written; the mutex must be held.
func (bro *broker) applyLedger(led limitshare.Ledger, rev store.Revision) {
	lsh := bro.shares
	lsh.storedVersion, lsh.storedRevision = led.Version, rev
	if led.Version <= lsh.ledger.Version {
		return
	}
	con := limitshare.Content{}
	if lsh.foundWithout && lsh.ledger.Version == 0 && led.Version == 1 {
		con = limitshare.Unspent()
	}
	lsh.ledger = led
	if !lsh.handsOver {
		lsh.book.SetOwn(led.Of(bro.host.set.Name), con)
	}
	bro.answerAsked()
	bro.logShare()
}

// applyLimitShares applies the ledger in the store. An invalid one leaves the known one in force.
func (wat *storeWatcher) applyLimitShares(val store.Value) {
	led, err := platform.DecodeLimitShares(val)
	bro := wat.host.broker
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if !wat.invalidValues.checkValue(val, err, "stored limit shares invalid, keeping the known ones") {
		bro.shares.storedVersion, bro.shares.storedRevision = 0, val.Revision
		return
	}
	bro.applyLedger(led, val.Revision)
}

// clearLimitShares records that the store has no ledger. The known one stays in force: another writer may have
// deleted the key.
func (wat *storeWatcher) clearLimitShares() {
	bro := wat.host.broker
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.shares.storedVersion, bro.shares.storedRevision = 0, 0
}

// endFirstRead records that all keys of the store have been read.
func (wat *storeWatcher) endFirstRead() {
	bro := wat.host.broker
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	lsh := bro.shares
	if !lsh.storeRead {
		lsh.storeRead, lsh.foundWithout = true, lsh.ledger.Version == 0
	}
}

// wakeShares makes maintainShares check at once what is due.
func (bro *broker) wakeShares() {
	select {
	case bro.shares.wake <- struct{}{}:
	default:
	}
}

// maintainShares asks for the renewal of loans, and changes the ledger while this host is the coordinator, until
// the context ends.
func (hos *Host) maintainShares(ctx context.Context) error {
	timer := time.NewTimer(minShareRenewal)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-hos.broker.shares.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		led, expect, interval := hos.broker.renewShares()
		if led.Version > 0 {
			hos.writeLimitShares(ctx, led, expect)
		}
		timer.Reset(interval)
	}
}

// renewShares asks for the renewal of all loans. It returns the ledger that this host has to write, of version 0
// for none, with the revision that it replaces, and the time until the next call.
func (bro *broker) renewShares() (limitshare.Ledger, store.Revision, time.Duration) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.settleShares()
	lsh := bro.shares
	interval := idleShareInterval
	for _, inb := range bro.inbound {
		if inb.delegated {
			bro.requestLoan(inb)
			interval = bro.shareRenewal()
		}
	}
	if !bro.coordinatesLocked() {
		return limitshare.Ledger{}, 0, interval
	}
	if lsh.ledger.Version == 0 {
		interval = minShareRenewal
	}
	if lsh.ledger.Version > lsh.storedVersion {
		return lsh.ledger, lsh.storedRevision, interval
	}
	present, leaving := bro.presentHosts()
	next, changed := lsh.planner.Plan(bro.host.clock.Now(), limitshare.Observation{
		Ledger: lsh.ledger, Present: present, Leaving: leaving, Usable: lsh.book.Usable(), Use: bro.host.shareUse(),
	})
	if !changed {
		next = limitshare.Ledger{}
	}
	return next, lsh.storedRevision, interval
}

// presentHosts returns the names of the hosts that are registered or have a session with this one, and those of them
// that aren't registered.
func (bro *broker) presentHosts() (present, leaving []string) {
	registered := []string{bro.host.set.Name}
	for _, mem := range bro.membership.members {
		registered = append(registered, mem.Name)
	}
	for _, inb := range bro.inbound {
		if !slices.Contains(registered, inb.name) {
			leaving = append(leaving, inb.name)
		}
	}
	if bro.host.draining.Load() {
		leaving = append(leaving, bro.host.set.Name)
	}
	present = slices.Concat(registered, leaving)
	slices.Sort(present)
	return slices.Compact(present), leaving
}

// writeLimitShares writes a ledger on condition that the known one is still in the store.
func (hos *Host) writeLimitShares(ctx context.Context, led limitshare.Ledger, expect store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	data, err := platform.EncodeLimitShares(led)
	var rev store.Revision
	if err == nil {
		rev, err = hos.coordinatorWrites.put(ctx, store.Write{Key: platform.LimitSharesKey(), Data: data, Expect: expect})
	}
	evt := hos.log.Info().Uint64("Ledger", led.Version).Int("Hosts", len(led.Shares)).Float64("Total", led.Total().Fraction()).Uint64("Expected", expect.Number()).Uint64("Revision", rev.Number())
	if err != nil {
		evt.Err(err).Msg("writing the limit shares failed")
		return
	}
	evt.Msg("limit shares written")
	hos.broker.mutex.Lock()
	defer hos.broker.mutex.Unlock()
	hos.broker.applyLedger(led, rev)
}

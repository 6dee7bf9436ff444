package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

// A host that stops as planned hands its share of the limits over to the hosts that stay, before its process ends:
// it may never come back. If no other host is registered, or the store doesn't answer, it keeps the share for its next
// process, and goes on lending it.

const (
	// recipientInterval is the interval at which a host that stops looks for hosts that stay.
	recipientInterval = 200 * time.Millisecond
	// handoverRetry is the mean wait before the ledger is written again after a failure.
	handoverRetry = 100 * time.Millisecond
	// maxHandoverWrites bounds the writes: many hosts may stop at once and write the same ledger.
	maxHandoverWrites = 20
	// handoverLimit bounds how long a host that has drained stays for a handover that has begun: the store may not
	// answer.
	handoverLimit = time.Second
)

// startHandover starts handOverShare and returns a function that waits for its end. Once that is called, the handover no
// longer waits for hosts to register, and ends within handoverLimit.
func (hos *Host) startHandover(ctx context.Context) (finish func()) {
	ctx, cancel := context.WithCancel(ctx)
	drained, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		hos.handOverShare(ctx, drained)
	}()
	return func() {
		defer cancel()
		close(drained)
		limit := time.AfterFunc(handoverLimit, cancel)
		defer limit.Stop()
		<-done
	}
}

// handOverShare gives this host's share of the limits to the registered hosts, as soon as there are any and the store
// answers. It returns without result if that isn't so when the host has drained.
func (hos *Host) handOverShare(ctx context.Context, drained <-chan struct{}) {
	tick := time.NewTicker(recipientInterval)
	defer tick.Stop()
	for !hos.broker.mayHandOver() || hos.readLedger(ctx) != nil || !hos.broker.beginHandover() {
		select {
		case <-tick.C:
		case <-drained:
			return
		case <-ctx.Done():
			return
		}
	}
	for {
		wait, lent := hos.broker.shareLentFor()
		if !lent {
			break
		}
		task.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return
		}
	}
	hos.writeHandover(ctx)
}

// mayHandOver reports whether this host has a share, and others are registered, but it no longer.
func (bro *broker) mayHandOver() bool {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	return bro.mayHandOverLocked()
}

func (bro *broker) mayHandOverLocked() bool {
	isRegistered := slices.ContainsFunc(bro.membership.members, func(mem fleet.Member) bool { return mem.Name == bro.host.set.Name })
	return !isRegistered && bro.shares.ledger.Of(bro.host.set.Name) > 0 && len(bro.recipients()) > 0
}

// beginHandover makes this host spend and lend nothing of its own share any more, if it may hand it over. A loan goes on
// until its term is over.
func (bro *broker) beginHandover() bool {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if !bro.mayHandOverLocked() {
		return false
	}
	lsh := bro.shares
	own, recipients := lsh.ledger.Of(bro.host.set.Name), bro.recipients()
	lsh.handsOver = true
	lsh.book.SetOwn(0, limitshare.Content{})
	bro.host.log.Info().Uint64("Ledger", lsh.ledger.Version).Float64("Own", own.Fraction()).Int("Recipients", len(recipients)).
		Dur("Age", bro.host.snapshotAge(bro.host.clock.Now())).Msg("handing the share of the limits over")
	return true
}

// recipients returns the names of the registered hosts but this one; the mutex must be held.
func (bro *broker) recipients() []string {
	var names []string
	for _, mem := range bro.membership.members {
		if mem.Name != bro.host.set.Name {
			names = append(names, mem.Name)
		}
	}
	return names
}

// shareLentFor returns how long this host's share is lent for at most, and whether it is lent at all.
func (bro *broker) shareLentFor() (time.Duration, bool) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.settleShares()
	now := bro.host.clock.Now()
	return bro.shares.book.LentFor(now), bro.shares.book.Borrower() != 0
}

// writeHandover writes the ledger in which the recipients have this host's share, until that has succeeded or may have
// succeeded. If the store refuses maxHandoverWrites times, the host takes its share back.
func (hos *Host) writeHandover(ctx context.Context) {
	for range maxHandoverWrites {
		err := hos.tryHandover(ctx)
		var uncertain *store.UncertainError
		if err == nil || errors.As(err, &uncertain) {
			return
		}
		task.Sleep(ctx, handoverRetry)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			// If it can't be read the next write conflicts again.
			_ = hos.readLedger(ctx)
		}
	}
	hos.broker.cancelHandover()
}

// cancelHandover makes this host spend and lend its share again.
func (bro *broker) cancelHandover() {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	lsh := bro.shares
	lsh.handsOver = false
	lsh.book.SetOwn(lsh.ledger.Of(bro.host.set.Name), limitshare.Content{})
	bro.host.log.Warn().Uint64("Ledger", lsh.ledger.Version).Float64("Own", lsh.ledger.Of(bro.host.set.Name).Fraction()).Msg("share of the limits not handed over")
	bro.answerAsked()
}

// tryHandover writes the ledger once.
func (hos *Host) tryHandover(ctx context.Context) error {
	led, expect, changed := hos.broker.planHandover()
	if !changed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	data, err := platform.EncodeLimitShares(led)
	if err != nil {
		return err
	}
	// The store may do a write late: no process of this name may have started by then.
	rev, err := hos.store.Put(ctx, store.Write{Key: platform.LimitSharesKey(), Data: data, Expect: expect, Absent: platform.MemberKey(hos.set.Name)})
	hos.log.Info().Err(err).Uint64("Ledger", led.Version).Int("Hosts", len(led.Shares)).Float64("Total", led.Total().Fraction()).
		Uint64("Expected", expect.Number()).Uint64("Revision", rev.Number()).Msg("share of the limits handed over")
	if err != nil {
		return err
	}
	hos.broker.mutex.Lock()
	defer hos.broker.mutex.Unlock()
	hos.broker.applyLedger(led, rev)
	return nil
}

// planHandover returns the ledger to be written and the revision that it replaces. It returns false if there is nothing
// to hand over, or nobody who takes it.
func (bro *broker) planHandover() (limitshare.Ledger, store.Revision, bool) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	lsh := bro.shares
	if lsh.storedVersion != lsh.ledger.Version {
		return limitshare.Ledger{}, 0, false
	}
	next, changed := lsh.ledger.HandOver(bro.host.set.Name, bro.recipients())
	return next, lsh.storedRevision, changed
}

// readLedger reads the ledger: another host may have written it, or the store may not answer.
func (hos *Host) readLedger(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	val, err := hos.store.Get(ctx, platform.LimitSharesKey())
	var led limitshare.Ledger
	if err == nil {
		led, err = platform.DecodeLimitShares(val)
	}
	if err != nil {
		hos.log.Info().Err(err).Msg("reading the limit shares failed")
		return err
	}
	hos.broker.mutex.Lock()
	defer hos.broker.mutex.Unlock()
	hos.broker.applyLedger(led, val.Revision)
	return nil
}

package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

// A host that stops as planned hands its share of the limits over to the hosts that stay, before its process ends:
// it may never come back. If no other host is registered, it keeps the share for its next process.

const (
	// heirInterval is the interval at which a host that stops looks for hosts that stay.
	heirInterval = 100 * time.Millisecond
	// handoverRetry is the mean wait before the ledger is written again after a failure.
	handoverRetry = 100 * time.Millisecond
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

// handOverShare gives this host's share of the limits to the registered hosts, as soon as there are any. It returns
// without result if there are none when the host has drained.
func (hos *Host) handOverShare(ctx context.Context, drained <-chan struct{}) {
	tick := time.NewTicker(heirInterval)
	defer tick.Stop()
	for !hos.broker.beginHandover() {
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

// beginHandover makes this host spend and lend nothing of its own share any more, if it has one and another host is
// registered. A loan goes on until its term is over.
func (bro *broker) beginHandover() bool {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	lsh := bro.shares
	own, heirs := lsh.ledger.Of(bro.host.set.Name), bro.heirs()
	if own <= 0 || len(heirs) == 0 {
		return false
	}
	lsh.handsOver = true
	lsh.book.SetOwn(0, limitshare.Content{})
	bro.host.log.Info().Uint64("Ledger", lsh.ledger.Version).Float64("Own", own.Fraction()).Int("Heirs", len(heirs)).
		Dur("Age", bro.host.snapshotAge(bro.host.clock.Now())).Msg("handing the share of the limits over")
	return true
}

// heirs returns the names of the registered hosts but this one; the mutex must be held.
func (bro *broker) heirs() []string {
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

// writeHandover writes the ledger in which the heirs have this host's share, until that has succeeded, may have
// succeeded, or the context ends.
func (hos *Host) writeHandover(ctx context.Context) {
	for ctx.Err() == nil {
		err := hos.tryHandover(ctx)
		var uncertain *store.UncertainError
		var conflict *store.ConflictError
		switch {
		case err == nil || errors.As(err, &uncertain):
			return
		case errors.As(err, &conflict):
			err = hos.readLedger(ctx)
		}
		if err != nil {
			task.Sleep(ctx, handoverRetry)
		}
	}
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
	next, changed := lsh.ledger.HandOver(bro.host.set.Name, bro.heirs())
	return next, lsh.storedRevision, changed
}

// readLedger reads the ledger after another host has written it.
func (hos *Host) readLedger(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	val, err := hos.store.Get(ctx, platform.LimitSharesKey())
	if err != nil {
		return err
	}
	led, err := platform.DecodeLimitShares(val)
	if err != nil {
		return err
	}
	hos.broker.mutex.Lock()
	defer hos.broker.mutex.Unlock()
	hos.broker.applyLedger(led, val.Revision)
	return nil
}

package scheduler

import (
	"time"

	"lynxwell.dev/lynxwell/limitshare"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// A core spends its share of each limit: of the rates of client accounts and of engines, and of the slack of
// the retry budgets. Shares are added and removed as package limitshare decides, with what the accounts
// have left of them. Nothing else adds to a bucket but its share of the rate and costs that weren't spent.

// Pool returns the core as the pool of a limitshare.Book. It reads the time from the given function.
func (cor *Core) Pool(now func() time.Time) limitshare.Pool { return pool{core: cor, now: now} }

type pool struct {
	core *Core
	now  func() time.Time
}

// AddShare implements limitshare.Pool.
func (poo pool) AddShare(sha limitshare.Share, con limitshare.Content) {
	poo.core.addShare(poo.now(), sha, con)
}

// RemoveShare implements limitshare.Pool.
func (poo pool) RemoveShare(sha limitshare.Share) limitshare.Content {
	return poo.core.removeShare(poo.now(), sha)
}

func (cor *Core) addShare(now time.Time, sha limitshare.Share, con limitshare.Content) {
	cor.share += sha
	for _, rtw := range cor.retryWindows() {
		rtw.add(now, sha.Fraction(), con.Retries)
	}
	left := con.ByAccount()
	for name, buc := range cor.buckets {
		buc.fill(now)
		fraction, named := left[name]
		if !named {
			fraction = con.Others
		}
		buc.level += min(1, fraction) * buc.fullBurst * sha.Fraction()
		if fraction < evenContent {
			buc.evenUntil = now.Add(evenTime)
		}
	}
	cor.applyShare(now)
}

func (cor *Core) removeShare(now time.Time, sha limitshare.Share) limitshare.Content {
	before := cor.share
	sha = min(sha, before)
	if sha <= 0 {
		return limitshare.Content{}
	}
	var left []limitshare.AccountContent
	kept := float64(before-sha) / float64(before)
	for name, buc := range cor.buckets {
		buc.fill(now)
		if buc.fullBurst > 0 {
			left = append(left, limitshare.AccountContent{Account: name, Left: buc.level / (buc.fullBurst * before.Fraction())})
		}
		buc.level *= kept
	}
	con := limitshare.NewContent(left)
	con.Retries = 1
	for _, rtw := range cor.retryWindows() {
		con.Retries = min(con.Retries, rtw.remove(now, 1-kept))
	}
	cor.share -= sha
	cor.applyShare(now)
	return con
}

// retryWindows returns the windows of all services, and that of services to come.
func (cor *Core) retryWindows() []*retryWindow {
	windows := []*retryWindow{&cor.unusedRetries}
	for _, svc := range cor.services {
		windows = append(windows, &svc.retries)
	}
	return windows
}

// suspend makes the core spend nothing of its share, or spend it again. What accounts have left stays: if the share
// has become another host's meanwhile, it is removed before.
func (cor *Core) suspend(now time.Time, suspended bool) {
	if cor.suspended == suspended {
		return
	}
	cor.suspended = suspended
	cor.applyShare(now)
}

// spendable returns the share that the core may spend at the moment, as a fraction.
func (cor *Core) spendable() float64 {
	if cor.suspended {
		return 0
	}
	return cor.share.Fraction()
}

// applyShare applies the core's share to all limits.
func (cor *Core) applyShare(now time.Time) {
	for _, buc := range cor.buckets {
		buc.setShare(now, cor.share.Fraction())
	}
	for _, rtw := range cor.retryWindows() {
		rtw.setShare(now, cor.share.Fraction())
	}
	for _, ene := range cor.engines {
		if ene.limiter != nil {
			ene.limiter.setShare(now, cor.spendable())
		}
	}
}

// updateBuckets adds and removes the buckets of the configured accounts. An account that had no limit before
// starts with nothing left: what it was served isn't known.
func (cor *Core) updateBuckets(now time.Time) {
	buckets := make(map[string]*bucket)
	for _, acc := range cor.table.Configuration().Accounts {
		if acc.Rate <= 0 {
			continue
		}
		buc := cor.buckets[acc.Name]
		if buc == nil {
			buc = &bucket{filledAt: now}
		}
		buc.fill(now)
		buc.fullRate, buc.fullBurst = acc.Rate, cor.cfg.Burst(acc)
		buc.setShare(now, cor.share.Fraction())
		buckets[acc.Name] = buc
	}
	cor.buckets = buckets
}

// chargeAttempt charges the cost of a request's attempt at an engine, or returns why it may not be made. A
// retry is charged too, since a further engine runs it, but isn't refused: its first attempt was within the limit.
func (cor *Core) chargeAttempt(now time.Time, from request.Epoch, res reservation.Reserve) (reservation.Reason, bool) {
	buc := cor.buckets[res.Account]
	switch {
	case buc == nil:
		return 0, true
	case res.Attempt > 0:
		buc.charge(now, res.Cost)
		return 0, true
	case cor.spendable() <= 0:
		return reservation.ReasonNoShare, false
	default:
		return reservation.ReasonLimit, buc.take(now, res.Cost, res.Urgency, cor.mayOwe(from))
	}
}

// mayOwe reports whether requests of a gateway may leave a debt. The gateway has to know of it, so that it isn't lost
// with this host: its own requests may leave none, unless there is no other host.
func (cor *Core) mayOwe(gateway request.Epoch) bool {
	return gateway != cor.cfg.Self || cor.hosts <= 1
}

// debtOf returns what an account owes, as it is passed on with a grant to a gateway.
func (cor *Core) debtOf(now time.Time, account string) float64 {
	level, _ := cor.Level(now, account)
	return max(0, -level)
}

// Debt is what an account owed at a core that is lost, at a time.
type Debt struct {
	Amount float64
	At     time.Time
}

// debtDecay is the fraction of an account's rate at which a debt at a lost core is taken to have been paid off: that
// core had a majority of the shares.
const debtDecay = majority

// LostContent returns the content of a share whose borrower is lost: nothing is left, but the debts that are known.
func (cor *Core) LostContent(now time.Time, sha limitshare.Share, debts map[string]Debt) limitshare.Content {
	var left []limitshare.AccountContent
	for name, deb := range debts {
		buc := cor.buckets[name]
		if buc == nil || sha <= 0 {
			continue
		}
		amount := deb.Amount - debtDecay*buc.fullRate*now.Sub(deb.At).Seconds()
		if amount > 0 {
			left = append(left, limitshare.AccountContent{Account: name, Left: -amount / (buc.fullBurst * sha.Fraction())})
		}
	}
	return limitshare.NewContent(left)
}

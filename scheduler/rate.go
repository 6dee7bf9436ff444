package scheduler

import (
	"math"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// An engine in need names the most requests a second that it takes from all hosts together, and
// one that is cold bears no more than its operators say. Who decides keeps the sum: a token for
// each grant, at the lower of the two rates, in this core's share of it. A core that decides for
// nobody has no share, so that one that takes over begins with nothing saved up, whatever the
// former one gave out in its last seconds.

const (
	// minRate is what an engine is asked at the least, in requests a second, also one that
	// takes nothing: only an answer tells that its rate has ended.
	minRate = 0.5
	// maxSaved is how long an engine's tokens are saved up, beside one request: requests come
	// unevenly, and what isn't saved is lost to those who wait.
	maxSaved = 500 * time.Millisecond
	// coldSaved is the same for an engine that is cold: it bears half as many again as come in a
	// second, and a grant may be used a quarter of a second later.
	coldSaved = 200 * time.Millisecond
	// askedAgain is after what time an engine that has named a rate is given a request although
	// others would serve it better: only an answer tells that its rate has ended, and what is
	// believed of it is to be a few seconds old at most.
	askedAgain = 2 * time.Second
	// spentWindow is for how long grants are remembered for the dump, maxSpent how many.
	spentWindow = 4 * time.Second
	maxSpent    = 128
)

// pacing keeps what an engine is granted to the rate that it has named, and to what it bears
// while it is cold.
type pacing struct {
	// named says that it has named a rate, perSecond, and last did at namedAt.
	named     bool
	perSecond float64
	namedAt   time.Time
	// coldUntil is until when it is cold, coldRate what it bears meanwhile, in requests a second.
	coldUntil time.Time
	coldRate  float64
	// share is this core's part of the rate; 0 while it decides for nobody.
	share float64
	// tokens are what may be granted now, filled when they were last counted.
	tokens float64
	filled time.Time
	// spent are the last grants, the newest last, takenAt is when the last one was.
	spent   []spending
	takenAt time.Time
}

// spending is a grant that took a token.
type spending struct {
	gateway request.Epoch
	at      time.Time
}

// isCold reports whether the engine is cold.
func (pac *pacing) isCold(now time.Time) bool {
	return now.Before(pac.coldUntil)
}

// holds reports whether anything bounds what the engine is granted.
func (pac *pacing) holds(now time.Time) bool {
	return pac.named || pac.isCold(now)
}

// limit returns what the engine takes of all hosts, in requests a second.
func (pac *pacing) limit(now time.Time) float64 {
	limit := math.Inf(1)
	if pac.named {
		limit = max(minRate, pac.perSecond)
	}
	if pac.isCold(now) {
		limit = min(limit, pac.coldRate)
	}
	return limit
}

// rate returns this core's part of that.
func (pac *pacing) rate(now time.Time) float64 {
	if pac.share == 0 || !pac.holds(now) {
		return 0
	}
	return pac.share * pac.limit(now)
}

func (pac *pacing) fill(now time.Time) {
	rate := pac.rate(now)
	if now.After(pac.filled) {
		pac.tokens += now.Sub(pac.filled).Seconds() * rate
		pac.filled = now
	}
	pac.tokens = min(pac.tokens, 1+rate*pac.saved(now).Seconds())
}

// saved returns for how long tokens are saved up.
func (pac *pacing) saved(now time.Time) time.Duration {
	if pac.isCold(now) {
		return coldSaved
	}
	return maxSaved
}

// name takes the rate that the engine has named now.
func (pac *pacing) name(now time.Time, perSecond float64) {
	pac.fill(now)
	pac.named, pac.perSecond, pac.namedAt = true, perSecond, now
}

// chill takes the engine to be cold until a time.
func (pac *pacing) chill(now, until time.Time, perSecond float64) {
	pac.fill(now)
	pac.coldUntil, pac.coldRate = until, perSecond
}

// divide takes this core's new share; one that had none has nothing saved up.
func (pac *pacing) divide(now time.Time, share float64) {
	pac.fill(now)
	if pac.share == 0 || share == 0 {
		pac.tokens = 0
	}
	pac.share = share
}

// admits reports whether a request may be granted now.
func (pac *pacing) admits(now time.Time) bool {
	if pac == nil || !pac.holds(now) {
		return true
	}
	pac.fill(now)
	return pac.tokens >= 1
}

// overdue reports whether the engine has named a rate and wasn't asked for a while whether that
// holds on.
func (pac *pacing) overdue(now time.Time) bool {
	if pac == nil || !pac.named {
		return false
	}
	asked := pac.namedAt
	if pac.takenAt.After(asked) {
		asked = pac.takenAt
	}
	return now.Sub(asked) >= askedAgain
}

// take spends a token.
func (pac *pacing) take(now time.Time, gateway request.Epoch) {
	pac.tokens--
	pac.takenAt = now
	pac.forgetSpent(now)
	if len(pac.spent) == maxSpent {
		pac.spent = pac.spent[1:]
	}
	pac.spent = append(pac.spent, spending{gateway: gateway, at: now})
}

// giveBack returns the token of a grant that wasn't sent.
func (pac *pacing) giveBack(gateway request.Epoch) {
	pac.tokens++
	for idx, spe := range pac.spent {
		if spe.gateway == gateway {
			pac.spent = append(pac.spent[:idx:idx], pac.spent[idx+1:]...)
			return
		}
	}
}

func (pac *pacing) forgetSpent(now time.Time) {
	for len(pac.spent) > 0 && now.Sub(pac.spent[0].at) >= spentWindow {
		pac.spent = pac.spent[1:]
	}
}

// spentLately returns how many grants took a token of late; no more than are remembered.
func (pac *pacing) spentLately(now time.Time) int {
	pac.forgetSpent(now)
	return len(pac.spent)
}

// rateShare returns this core's part of what engines take from all hosts.
func (cor *Core) rateShare() float64 {
	if cor.elsewhere {
		return 0
	}
	return 1 / cor.parts
}

// limitRate takes the rate that an engine has named. What it was granted before counts for
// all that it could have saved up.
func (cor *Core) limitRate(now time.Time, ene *engine, lim fleet.RateLimit) {
	ene.rateEnded = false
	cor.pace(now, ene).name(now, lim.PerSecond)
}

// pace returns the engine's pacing, a new one where it has none.
func (cor *Core) pace(now time.Time, ene *engine) *pacing {
	if ene.pacing == nil {
		ene.pacing = &pacing{share: cor.rateShare(), filled: now}
		cor.service(ene.Service).paced++
	}
	return ene.pacing
}

// unlimit ends an engine's rate. Its entry may have gone before the answer came that shows it.
func (cor *Core) unlimit(now time.Time, ene *engine) {
	if ene.pacing == nil || !ene.pacing.named {
		return
	}
	ene.pacing.named, ene.rateEnded = false, true
	cor.dropPacing(now, ene)
}

// dropPacing forgets the engine's pacing if nothing bounds what it is granted any more.
func (cor *Core) dropPacing(now time.Time, ene *engine) {
	if ene.pacing == nil || ene.pacing.holds(now) {
		return
	}
	ene.pacing = nil
	if cor.engines[ene.ID] == ene {
		cor.service(ene.Service).paced--
	}
}

// grantRate returns what a gateway is told of the engine's rate with a grant: of its end by
// one gateway's answer the others hear so.
func (ene *engine) grantRate() reservation.GrantRate {
	switch {
	case ene.pacing != nil && ene.pacing.named:
		return reservation.GrantRatePaced
	case ene.rateEnded:
		return reservation.GrantRateEnded
	default:
		return reservation.GrantRateUnknown
	}
}

// shareRates divides the rates anew.
func (cor *Core) shareRates(now time.Time) {
	for _, ene := range cor.engines {
		if ene.pacing != nil {
			ene.pacing.divide(now, cor.rateShare())
		}
	}
}

// noteUnlimited takes an answer: had it named a rate, its gateway would have told that first.
// So it ends one that was named before its request was granted. Of a run that another core
// granted it isn't known when it was answered.
func (cor *Core) noteUnlimited(now time.Time, rnn *run) {
	pac := rnn.engine.pacing
	if pac != nil && !rnn.inherited && rnn.given.After(pac.namedAt) {
		cor.unlimit(now, rnn.engine)
	}
}

// allowance is what those who wait for a service may hope for while all of its engines that
// are in use have named a rate, or are cold.
type allowance struct {
	// holds is false where some engine has named none.
	holds bool
	// tokens are those of all engines now, perSecond what comes of them.
	tokens    float64
	perSecond float64
}

// allowance returns what the service's engines take as they are now.
func (svc *service) allowance(now time.Time) allowance {
	var alw allowance
	if svc.paced == 0 {
		return alw
	}
	for _, ene := range svc.engines {
		switch {
		case ene.leaving():
		case ene.pacing == nil || !ene.pacing.holds(now):
			return allowance{}
		default:
			ene.pacing.fill(now)
			alw.tokens += ene.pacing.tokens
			alw.perSecond += ene.pacing.rate(now)
		}
	}
	alw.holds = alw.perSecond > 0
	return alw
}

// refuseSpent refuses a request at once that can't be granted before its time is up, since
// those before it get all that the engines take, and reports whether it did.
func (cor *Core) refuseSpent(now time.Time, svc *service, wai *waiter, alw allowance, ahead int) bool {
	lapsed := wai.paced && !now.Before(wai.until)
	if !alw.holds || !lapsed && alw.reaches(ahead, wai.until.Sub(now)) {
		return false
	}
	cor.giveBack(wai.reserve.Account, cor.costOf(wai.reserve))
	cor.send(wai.gateway, reservation.Refuse{
		ID: wai.reserve.ID, Ballot: wai.reserve.Ballot, Reason: reservation.ReasonRate, RetryAfter: svc.returnAfter(now, wai, alw),
	}, svc.inputsOf(now, wai))
	return true
}

// reaches reports whether a request behind so many others may be granted within a time. Parts
// of a token at several engines count for whole ones, so that nobody is refused who needn't be.
func (alw allowance) reaches(ahead int, left time.Duration) bool {
	return alw.tokens+alw.perSecond*left.Seconds() >= float64(ahead+1)
}

// returnAfter returns when a caller that was refused for want of allowance comes back: as the
// line moves, one after another. Who would come too late for its time takes no place.
func (svc *service) returnAfter(now time.Time, wai *waiter, alw allowance) time.Duration {
	step := time.Duration(float64(time.Second) / alw.perSecond)
	next := now.Add(time.Duration(float64(len(svc.waiting)) * float64(step)))
	if svc.returnsAt.After(next) {
		next = svc.returnsAt
	}
	next = next.Add(step)
	latest := now.Add(time.Duration(maxRetryShare * float64(wai.reserve.Remaining)))
	if next.After(latest) {
		return retryAfter(wai.reserve)
	}
	svc.returnsAt = next
	return max(minBackoffSpread, next.Sub(now))
}

package scheduler

import (
	"time"
)

// windowSlots is the number of slots that a retry window is divided into.
const windowSlots = 10

// retryWindow counts a service's requests and retries in a sliding window. The retries that the budget allows in
// addition come from a bucket, of which this core has a share: a core that takes over doesn't know how many were
// made before.
type retryWindow struct {
	cfg         RetryBudget
	requests    [windowSlots]float64
	retried     [windowSlots]float64
	currentSlot int64
	// slack is the content of the bucket at the time filledAt, share this core's share of it.
	slack    float64
	share    float64
	filledAt time.Time
}

// newRetryWindow returns the window of a core that has a share of the slack from the start.
func newRetryWindow(cfg Config) retryWindow {
	rtw := retryWindow{cfg: cfg.RetryBudget, share: cfg.Share.Fraction()}
	rtw.slack = rtw.maxSlack()
	return rtw
}

// add adds a fraction of what a share of the slack holds when it is full.
func (rtw *retryWindow) add(now time.Time, share, fraction float64) {
	rtw.fill(now)
	rtw.slack += min(1, fraction) * share * rtw.fullSlack()
}

// remove takes a part of the slack away, and returns the fraction of it that was left.
func (rtw *retryWindow) remove(now time.Time, part float64) float64 {
	rtw.fill(now)
	left := 0.0
	if full := rtw.maxSlack(); full > 0 {
		left = rtw.slack / full
	}
	rtw.slack *= 1 - part
	return left
}

// setShare applies this core's share of the slack.
func (rtw *retryWindow) setShare(now time.Time, share float64) {
	rtw.fill(now)
	rtw.share = share
	rtw.slack = min(rtw.slack, rtw.maxSlack())
}

// maxSlack returns the capacity of the bucket. It fills within a window, so that a window holds no more than the
// slack: what the bucket held at its start, and as much again.
func (rtw *retryWindow) maxSlack() float64 {
	return rtw.share * rtw.fullSlack()
}

// fullSlack is the capacity of the buckets of all hosts together.
func (rtw *retryWindow) fullSlack() float64 { return budgetMargin * rtw.cfg.Slack / 2 }

func (rtw *retryWindow) fill(now time.Time) {
	if now.After(rtw.filledAt) && rtw.cfg.Window > 0 && !rtw.filledAt.IsZero() {
		rtw.slack = min(rtw.maxSlack(), rtw.slack+rtw.maxSlack()*now.Sub(rtw.filledAt).Seconds()/rtw.cfg.Window.Seconds())
	}
	rtw.filledAt = now
}

// advance moves the window to the current time and clears the slots that have left it.
func (rtw *retryWindow) advance(now time.Time) {
	slot := now.UnixNano() / int64(max(1, rtw.cfg.Window/windowSlots))
	if slot-rtw.currentSlot >= windowSlots {
		rtw.requests, rtw.retried = [windowSlots]float64{}, [windowSlots]float64{}
	}
	for rtw.currentSlot < slot && slot-rtw.currentSlot < windowSlots {
		rtw.currentSlot++
		rtw.requests[rtw.currentSlot%windowSlots] = 0
		rtw.retried[rtw.currentSlot%windowSlots] = 0
	}
	rtw.currentSlot = slot
}

// count counts the first attempt of a request.
func (rtw *retryWindow) count(now time.Time) {
	rtw.advance(now)
	rtw.requests[rtw.currentSlot%windowSlots]++
}

// budgetMargin is the fraction of the retry budget that is used: this window moves by tenths,
// while the budget has to hold for a window that slides continuously.
const budgetMargin = 0.7

// take counts a retry if the budget allows it, and reports whether it did. While the core's share is suspended, the
// slack isn't used.
func (rtw *retryWindow) take(now time.Time, suspended bool) bool {
	rtw.advance(now)
	rtw.fill(now)
	var requests, retried float64
	for idx := range windowSlots {
		requests += rtw.requests[idx]
		retried += rtw.retried[idx]
	}
	switch {
	case retried+1 <= budgetMargin*rtw.cfg.Ratio*requests:
		rtw.retried[rtw.currentSlot%windowSlots]++
	case rtw.slack >= 1 && !suspended:
		rtw.slack--
	default:
		return false
	}
	return true
}

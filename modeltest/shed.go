package modeltest

import (
	"fmt"

	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
)

// recordSheds records and checks the requests that the host's gateway has shed since the last call.
func (wor *World) recordSheds(hst *simHost) {
	for _, req := range hst.gat.Dump(wor.now).InFlight {
		if req.Cause == gateway.CauseShed && !wor.shed[req.ID] {
			wor.shed[req.ID] = true
			wor.checkShed(hst, req.ID)
		}
	}
}

// rankOf returns the rank of a request, by default 10.
func (wor *World) rankOf(id request.ID) int {
	if rank := wor.cfg.Ranks[id.Unique]; rank > 0 {
		return rank
	}
	return 10
}

// checkShed records a violation if a request is shed while a coordinator that the request's
// gateway reaches has a request of a lower rank in its queue.
func (wor *World) checkShed(hst *simHost, id request.ID) {
	for _, other := range wor.hosts {
		if wor.running(other.epoch) == nil || !wor.reaches(hst, other) {
			continue
		}
		for _, svc := range other.cor.Dump(wor.now).Services {
			for _, wai := range svc.Waiting {
				if wor.rankOf(wai.ID) < wor.rankOf(id) && !wor.isOrphaned(wai.ID, wai.Gateway) {
					wor.violation = &ViolationError{ID: id, Reason: fmt.Sprintf("shed while request %s of a lower rank waits at host-%d", wai.ID.Unique, other.number)}
				}
			}
		}
	}
}

func (wor *World) reaches(hst, other *simHost) bool {
	if hst == other {
		return true
	}
	ses := wor.session(hst.epoch, other.epoch)
	return ses != nil && !ses.broken
}

// isOrphaned reports whether a queued reservation is obsolete and awaits its removal: its request
// has an outcome already, or its gateway is down or frozen.
func (wor *World) isOrphaned(id request.ID, gat request.Epoch) bool {
	_, hasOutcome := wor.reported[id]
	return hasOutcome || wor.running(gat) == nil
}

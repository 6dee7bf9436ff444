package modeltest

import (
	"fmt"

	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
)

// noteSheds looks for requests that the host has just decided to shed.
func (wor *World) noteSheds(hst *simHost) {
	for _, req := range hst.gat.Dump(wor.now).InFlight {
		if req.Cause == gateway.CauseShed && !wor.shed[req.ID] {
			wor.shed[req.ID] = true
			wor.checkShed(hst, req.ID)
		}
	}
}

func (wor *World) rankOf(id request.ID) int {
	if rank := wor.cfg.Ranks[id.Unique]; rank > 0 {
		return rank
	}
	return 10
}

// checkShed notes a violation where a request is shed while one of a lower rank
// is kept by a coordinator that its gateway reaches.
func (wor *World) checkShed(hst *simHost, id request.ID) {
	for _, other := range wor.hosts {
		if wor.running(other.epoch) == nil || !wor.reaches(hst, other) {
			continue
		}
		for _, svc := range other.cor.Dump(wor.now).Services {
			for _, wai := range svc.Waiting {
				if wor.rankOf(wai.ID) < wor.rankOf(id) && !wor.isLeftBehind(wai.ID, wai.Gateway) {
					wor.violation = &ViolationError{ID: id, Reason: fmt.Sprintf("shed while %s of a lower rank waits at host-%d", wai.ID.Unique, other.number)}
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

// isLeftBehind reports whether a waiting reservation's gateway is gone, so that
// it is only waiting to be cleared away.
func (wor *World) isLeftBehind(id request.ID, gat request.Epoch) bool {
	_, told := wor.told[id]
	return told || wor.running(gat) == nil
}

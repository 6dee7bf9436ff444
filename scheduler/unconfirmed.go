package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// unconfirmedResumption is a resumption that waits for the first confirmation of the copy of the store, without which this
// core can't conclude what began the stream. A host that has just started gets it within some round trips.
type unconfirmedResumption struct {
	gateway request.Epoch
	reserve reservation.Reserve
	since   time.Time
	until   time.Time
}

// awaitConfirmation keeps a resumption until the copy is confirmed, for at most as long as it may wait for an engine.
func (cor *Core) awaitConfirmation(now time.Time, from request.Epoch, res reservation.Reserve) {
	cor.unconfirmed = append(cor.unconfirmed, unconfirmedResumption{gateway: from, reserve: res, since: now, until: now.Add(res.MaxWait())})
}

// confirmCopy records that the copy was current at a time, and takes up the resumptions that have waited for that.
func (cor *Core) confirmCopy(now, at time.Time) {
	cor.versions.Confirm(at)
	waiting := cor.unconfirmed
	cor.unconfirmed = nil
	for _, unc := range waiting {
		unc.reserve.Remaining -= now.Sub(unc.since)
		cor.reserve(now, unc.gateway, unc.reserve)
	}
}

// refuseUnconfirmed refuses the resumptions that have waited for as long as they may.
func (cor *Core) refuseUnconfirmed(now time.Time) {
	cor.unconfirmed = slices.DeleteFunc(cor.unconfirmed, func(unc unconfirmedResumption) bool {
		if now.Before(unc.until) {
			return false
		}
		inp := cor.service(unc.reserve.Service).inputs(now, unc.since)
		inp.Origin = OriginStale
		cor.refuseVersion(unc.gateway, unc.reserve, inp)
		return true
	})
}

// dropUnconfirmed drops the waiting resumptions for which drop returns true.
func (cor *Core) dropUnconfirmed(drop func(unconfirmedResumption) bool) {
	cor.unconfirmed = slices.DeleteFunc(cor.unconfirmed, drop)
}

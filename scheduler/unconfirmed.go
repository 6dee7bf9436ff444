package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// unconfirmedReservation is one that begins or resumes a stream and waits for the first confirmation of the copy of the
// store. A host that has just started gets it within some round trips.
type unconfirmedReservation struct {
	gateway request.Epoch
	reserve reservation.Reserve
	since   time.Time
	until   time.Time
}

// awaitConfirmation keeps a reservation until the copy is confirmed, for at most as long as it may wait for an engine.
func (cor *Core) awaitConfirmation(now time.Time, from request.Epoch, res reservation.Reserve) {
	cor.unconfirmed = append(cor.unconfirmed, unconfirmedReservation{gateway: from, reserve: res, since: now, until: now.Add(res.MaxWait())})
}

// confirmCopy records that the copy was current at a time, and takes up the reservations that have waited for that.
func (cor *Core) confirmCopy(now, at time.Time) {
	cor.versions.Confirm(at)
	waiting := cor.unconfirmed
	cor.unconfirmed = nil
	for _, unc := range waiting {
		unc.reserve.Remaining -= now.Sub(unc.since)
		cor.reserve(now, unc.gateway, unc.reserve)
	}
}

// refuseUnconfirmed refuses the reservations that have waited for as long as they may.
func (cor *Core) refuseUnconfirmed(now time.Time) {
	cor.unconfirmed = slices.DeleteFunc(cor.unconfirmed, func(unc unconfirmedReservation) bool {
		if now.Before(unc.until) {
			return false
		}
		inp := cor.service(unc.reserve.Service).inputs(now, unc.since)
		if !unc.reserve.Resumed {
			cor.refuse(unc.gateway, unc.reserve, reservation.ReasonCopyStale, inp)
			return true
		}
		inp.Origin = OriginStale
		cor.refuseVersion(unc.gateway, unc.reserve, inp)
		return true
	})
}

// dropUnconfirmed drops the waiting reservations for which drop returns true.
func (cor *Core) dropUnconfirmed(drop func(unconfirmedReservation) bool) {
	cor.unconfirmed = slices.DeleteFunc(cor.unconfirmed, drop)
}

package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/view"
)

// voucherCount is how many coordinators are told what a lost one had granted.
const voucherCount = 2

// lostState is a coordinator epoch whose grants the gateway refuses, with the
// coordinators that vouch for it.
type lostState struct {
	vouchers map[request.Epoch]*voucherState
	// gone is set when a fence has relied on a vouch: the epoch stays refused.
	gone bool
}

type voucherState struct {
	// asked is set while an unvouch is on its way.
	asked bool
}

func byEpoch(epo request.Epoch) func(view.Member) bool {
	return func(mem view.Member) bool { return mem.Epoch == epo }
}

// peerLost refuses the epoch's grants from now on, tells others what it had
// granted, and reserves elsewhere what waited there.
func (gat *Core) peerLost(now time.Time, epo request.Epoch) {
	pee := gat.peers[epo]
	if pee == nil || !pee.up {
		return
	}
	delete(gat.peers, epo)
	gat.away[epo] = true
	if gat.lost[epo] == nil {
		gat.lost[epo] = &lostState{vouchers: make(map[request.Epoch]*voucherState)}
	}
	gat.vouchFor(epo)
	gat.reroute(now)
	for _, ent := range inOrder(gat.table.byID) {
		if ent.coordinator == epo {
			gat.leaveCoordinator(now, ent)
		}
	}
}

// unreachable has the engines of a host go to others.
func (gat *Core) unreachable(now time.Time, epo request.Epoch) {
	if gat.away[epo] || gat.isUp(epo) {
		return
	}
	gat.away[epo] = true
	gat.reroute(now)
}

func (gat *Core) leaveCoordinator(now time.Time, ent *entry) {
	switch ent.phase {
	case phaseWaiting:
		gat.reserve(now, ent)
	case phaseEvicting:
		gat.seekEviction(now, ent)
	case phaseClosing:
		ent.refused[ent.coordinator] = now
		gat.askToClose(now, ent)
	case phaseFencing, phaseRunning, phaseResuming, phaseDone, phaseUnclosed, phaseGivenUp:
		// These don't wait for the coordinator.
	}
}

func (gat *Core) vouchFor(epo request.Epoch) {
	var records []reservation.Record
	for _, ent := range inOrder(gat.table.byID) {
		if rec, some := ent.record(epo); some {
			records = append(records, rec)
		}
	}
	los := gat.lost[epo]
	gat.sequence++
	for _, mem := range gat.vouchersFor(epo) {
		los.vouchers[mem.Epoch] = &voucherState{}
		key := reservation.VouchKey{Lost: epo, Holder: gat.cfg.Self}
		gat.act(SendVouch{To: mem, Vouch: reservation.Vouch{VouchKey: key, Sequence: gat.sequence, Records: records}})
	}
}

// vouchersFor returns usable granters of this gateway, in different failure
// domains as far as there are any.
func (gat *Core) vouchersFor(lost request.Epoch) []view.Member {
	var usable []view.Member
	for _, mem := range gat.views.Last().Granters(gat.cfg.Self) {
		if mem.Epoch != lost && gat.isUp(mem.Epoch) && gat.lost[mem.Epoch] == nil && !mem.Leaving {
			usable = append(usable, mem)
		}
	}
	slices.SortFunc(usable, func(one, two view.Member) int {
		return cmp.Compare(view.Score(lost.String(), two.Name), view.Score(lost.String(), one.Name))
	})
	return view.Spread(usable, voucherCount)
}

// peerUp takes note of a session. An epoch that was lost is taken back only
// when everyone who vouches for it has released the vouch.
func (gat *Core) peerUp(now time.Time, epo request.Epoch) {
	gat.peer(epo).up = true
	if gat.lost[epo] != nil {
		gat.retryUnvouch()
	}
	if gat.away[epo] {
		delete(gat.away, epo)
		gat.reroute(now)
	}
	gat.tellHeld(epo)
	gat.retryWaiting(now)
}

// tellHeld opens a session with all that the gateway holds from the coordinator.
func (gat *Core) tellHeld(epo request.Epoch) {
	hol := reservation.Hold{}
	for _, ent := range inOrder(gat.table.byID) {
		if !ent.holds() {
			continue
		}
		if ent.granter == epo {
			hol.IDs = append(hol.IDs, ent.id)
		}
		if ent.granter != epo && slices.Contains(coordinatorsOf(gat.shares[ent.spec.Service], ent.engine), epo) {
			gat.send(epo, reservation.Adopt{ID: ent.id, Ballot: ent.ballot, Engine: ent.engine})
			hol.IDs = append(hol.IDs, ent.id)
		}
	}
	gat.send(epo, hol)
}

// retryUnvouch asks for the release of vouches for epochs that are back.
func (gat *Core) retryUnvouch() {
	for _, epo := range slices.Sorted(maps.Keys(gat.lost)) {
		los := gat.lost[epo]
		if los.gone || !gat.isUp(epo) {
			continue
		}
		if len(los.vouchers) == 0 {
			delete(gat.lost, epo)
			continue
		}
		gat.askUnvouch(epo, los)
	}
}

func (gat *Core) askUnvouch(epo request.Epoch, los *lostState) {
	for _, voucher := range slices.Sorted(maps.Keys(los.vouchers)) {
		vos := los.vouchers[voucher]
		mem, known := gat.views.Find(byEpoch(voucher))
		if vos.asked || !known {
			continue
		}
		vos.asked = true
		gat.sequence++
		key := reservation.VouchKey{Lost: epo, Holder: gat.cfg.Self}
		gat.act(SendUnvouch{To: mem, Unvouch: reservation.Unvouch{VouchKey: key, Sequence: gat.sequence}})
	}
}

func (gat *Core) unvouched(evt Unvouched) {
	los := gat.lost[evt.Answer.Lost]
	if los == nil || los.vouchers[evt.Voucher] == nil {
		return
	}
	switch {
	case evt.Failed:
		los.vouchers[evt.Voucher].asked = false
	case !evt.Answer.Released:
		los.gone = true
	default:
		delete(los.vouchers, evt.Voucher)
		gat.retryUnvouch()
	}
}

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

// attesterCount is the number of coordinators that receive an attestation about a lost
// coordinator.
const attesterCount = 2

// lostState describes a coordinator epoch whose grants the gateway rejects.
type lostState struct {
	// attesters are the coordinators that hold an attestation about the epoch.
	attesters map[request.Epoch]*attesterState
	// permanent is set if a fence has relied on an attestation: the epoch's grants
	// are rejected permanently.
	permanent bool
}

type attesterState struct {
	// revoking is set while a revocation is in transit.
	revoking bool
}

func byEpoch(epo request.Epoch) func(view.Member) bool {
	return func(mem view.Member) bool { return mem.Epoch == epo }
}

// peerLost rejects the epoch's grants until the attestations about it are revoked, sends
// these attestations, and moves the reservations that waited there to other coordinators.
func (gat *Core) peerLost(now time.Time, epo request.Epoch) {
	pee := gat.peers[epo]
	if pee == nil || !pee.up {
		return
	}
	delete(gat.peers, epo)
	gat.unreachable[epo] = true
	if gat.lost[epo] == nil {
		gat.lost[epo] = &lostState{attesters: make(map[request.Epoch]*attesterState)}
	}
	gat.sendAttestations(epo)
	gat.reroute(now)
	for _, ent := range sortedByID(gat.table.byID) {
		if ent.coordinator == epo {
			gat.leaveCoordinator(now, ent)
		}
	}
}

// peerUnreachable assigns the engines of a host without a session to other coordinators.
func (gat *Core) peerUnreachable(now time.Time, epo request.Epoch) {
	if gat.unreachable[epo] || gat.isUp(epo) {
		return
	}
	gat.unreachable[epo] = true
	gat.reroute(now)
}

func (gat *Core) leaveCoordinator(now time.Time, ent *entry) {
	switch ent.phase {
	case phaseWaiting:
		gat.reserve(now, ent)
	case phaseEvicting:
		gat.requestEviction(now, ent)
	case phaseClosing:
		ent.refused[ent.coordinator] = now
		gat.askToClose(now, ent)
	case phaseFencing, phaseRunning, phaseResuming, phaseDone, phaseCloseUnconfirmed, phaseGivenUp:
		// These don't depend on the coordinator.
	}
}

func (gat *Core) sendAttestations(epo request.Epoch) {
	var records []reservation.Record
	for _, ent := range sortedByID(gat.table.byID) {
		if rec, attested := ent.attestedRecord(epo); attested {
			records = append(records, rec)
		}
	}
	los := gat.lost[epo]
	gat.sequence++
	for _, mem := range gat.attestersFor(epo) {
		los.attesters[mem.Epoch] = &attesterState{}
		key := reservation.AttestationKey{Lost: epo, Holder: gat.cfg.Self}
		gat.emit(SendAttestation{To: mem, Attestation: reservation.Attestation{AttestationKey: key, Sequence: gat.sequence, Records: records}})
	}
}

// attestersFor returns up to attesterCount connected granters of this gateway, in
// different failure domains if possible.
func (gat *Core) attestersFor(lost request.Epoch) []view.Member {
	var usable []view.Member
	for _, mem := range gat.views.Newest().Granters(gat.cfg.Self) {
		if mem.Epoch != lost && gat.isUp(mem.Epoch) && gat.lost[mem.Epoch] == nil && !mem.Draining {
			usable = append(usable, mem)
		}
	}
	slices.SortFunc(usable, func(one, two view.Member) int {
		return cmp.Compare(view.Score(lost.String(), two.Name), view.Score(lost.String(), one.Name))
	})
	return view.PickAcrossDomains(usable, attesterCount)
}

// peerUp handles an established session. The grants of an epoch that was lost are
// accepted again only after all its attesters have confirmed the revocation.
func (gat *Core) peerUp(now time.Time, epo request.Epoch) {
	gat.peer(epo).up = true
	if gat.lost[epo] != nil {
		gat.retryRevocations()
	}
	if gat.unreachable[epo] {
		delete(gat.unreachable, epo)
		gat.reroute(now)
	}
	gat.sendHeld(epo)
	gat.retryUnassigned(now)
}

// sendHeld reports to a coordinator, at the start of a session, the slots that the gateway
// holds on the coordinator's grants or on engines that the coordinator now coordinates.
func (gat *Core) sendHeld(epo request.Epoch) {
	hol := reservation.HeldGrants{}
	for _, ent := range sortedByID(gat.table.byID) {
		if !ent.holdsSlot() {
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

// retryRevocations asks the attesters to revoke their attestations about epochs that are
// reachable again. The grants of an epoch without attestations are accepted again.
func (gat *Core) retryRevocations() {
	for _, epo := range slices.Sorted(maps.Keys(gat.lost)) {
		los := gat.lost[epo]
		if los.permanent || !gat.isUp(epo) {
			continue
		}
		if len(los.attesters) == 0 {
			delete(gat.lost, epo)
			continue
		}
		gat.sendRevocations(epo, los)
	}
}

func (gat *Core) sendRevocations(epo request.Epoch, los *lostState) {
	for _, attester := range slices.Sorted(maps.Keys(los.attesters)) {
		ats := los.attesters[attester]
		mem, known := gat.views.Find(byEpoch(attester))
		if ats.revoking || !known {
			continue
		}
		ats.revoking = true
		gat.sequence++
		key := reservation.AttestationKey{Lost: epo, Holder: gat.cfg.Self}
		gat.emit(SendRevocation{To: mem, Revocation: reservation.Revocation{AttestationKey: key, Sequence: gat.sequence}})
	}
}

func (gat *Core) revocationAnswered(evt RevocationAnswered) {
	los := gat.lost[evt.Answer.Lost]
	if los == nil || los.attesters[evt.Attester] == nil {
		return
	}
	switch {
	case evt.Failed:
		los.attesters[evt.Attester].revoking = false
	case !evt.Answer.Revoked:
		los.permanent = true
	default:
		delete(los.attesters, evt.Attester)
		gat.retryRevocations()
	}
}

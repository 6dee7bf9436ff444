package coordinator

import (
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// Ledger records which requests the host granted, closed or promised to another
// gateway. It is kept in memory only: a restarted process has a new epoch and an
// empty ledger.
type Ledger struct {
	self    request.Epoch
	records map[request.ID]*record
	// floors maps a gateway epoch to the highest window of a dropped record.
	floors       map[request.Epoch]uint64
	attestations map[reservation.AttestationKey]*attestation
	successions  map[request.Epoch]bool
}

type record struct {
	ballot request.Ballot
	state  reservation.FenceState
	engine string
	// holders are the gateways that claimed the request by a fence.
	holders []request.Epoch
	usedAt  time.Time
}

type attestation struct {
	sequence uint64
	active   bool
	// fenced is set once a fence has relied on the attestation.
	fenced bool
}

// NewLedger returns an empty ledger for the process epoch.
func NewLedger(self request.Epoch) *Ledger {
	return &Ledger{
		self:         self,
		records:      make(map[request.ID]*record),
		floors:       make(map[request.Epoch]uint64),
		attestations: make(map[reservation.AttestationKey]*attestation),
		successions:  make(map[request.Epoch]bool),
	}
}

// Len returns the number of requests in the ledger.
func (led *Ledger) Len() int {
	return len(led.records)
}

// Check returns 0 if the request may be queued or granted under the ballot,
// otherwise the reason and, for ReasonFenced, the epoch of the gateway that holds the
// request.
func (led *Ledger) Check(id request.ID, bal request.Ballot) (reservation.Reason, request.Epoch) {
	if led.isForgotten(id) {
		return reservation.ReasonForgotten, 0
	}
	rec := led.records[id]
	switch {
	case rec == nil:
		return 0, 0
	case rec.state == reservation.FenceStateForgotten:
		return reservation.ReasonForgotten, 0
	case rec.state == reservation.FenceStateClosed:
		return reservation.ReasonClosed, 0
	case bal.Less(rec.ballot):
		return reservation.ReasonFenced, rec.ballot.Holder
	case rec.state == reservation.FenceStateGranted && !rec.ballot.Same(bal):
		return reservation.ReasonFenced, rec.ballot.Holder
	default:
		return 0, 0
	}
}

// Granted returns the engine that was granted to the request, and false if none was.
func (led *Ledger) Granted(id request.ID) (string, bool) {
	rec := led.records[id]
	if rec == nil || rec.state != reservation.FenceStateGranted {
		return "", false
	}
	return rec.engine, true
}

// Grant records a grant; Check must have returned 0.
func (led *Ledger) Grant(now time.Time, id request.ID, bal request.Ballot, engine string) {
	rec := led.touch(now, id, bal)
	rec.state = reservation.FenceStateGranted
	rec.engine = engine
}

// RevokeGrant revokes a grant that was certainly not dispatched.
func (led *Ledger) RevokeGrant(id request.ID, bal request.Ballot) {
	rec := led.records[id]
	if rec == nil || rec.state != reservation.FenceStateGranted || !rec.ballot.Same(bal) {
		return
	}
	rec.state = reservation.FenceStatePromised
	rec.engine = ""
}

// Close records that the request never runs. It returns 0, or the reason why the
// request can't be closed and, for ReasonFenced, the epoch of the gateway that holds
// the request.
func (led *Ledger) Close(now time.Time, id request.ID, bal request.Ballot) (reservation.Reason, request.Epoch) {
	reason, holder := led.Check(id, bal)
	if reason != 0 {
		return reason, holder
	}
	// A grant under the same ballot was lost in transit: its holder, which asks to close
	// the request, hasn't dispatched the request and won't.
	rec := led.touch(now, id, bal)
	rec.state = reservation.FenceStateClosed
	rec.engine = ""
	return 0, 0
}

// Fence returns whether the request was granted and, if not, promises never to grant
// the request under a lower ballot. granter is set if the host may grant the request.
func (led *Ledger) Fence(now time.Time, fen reservation.Fence, granter bool) reservation.FenceAnswer {
	ans := reservation.FenceAnswer{ID: fen.ID, From: led.self, Successions: led.successionList()}
	rec := led.records[fen.ID]
	if rec != nil {
		ans.Holders = slices.Clone(rec.holders)
	}
	switch {
	case rec != nil && rec.state == reservation.FenceStateGranted:
		ans.State, ans.Ballot, ans.Engine = rec.state, rec.ballot, rec.engine
	case rec != nil && rec.state == reservation.FenceStateClosed:
		ans.State, ans.Ballot = rec.state, rec.ballot
	case led.isForgotten(fen.ID) || (rec != nil && rec.state == reservation.FenceStateForgotten):
		ans.State = reservation.FenceStateForgotten
	case rec != nil && fen.Ballot.Less(rec.ballot):
		ans.State, ans.Ballot = reservation.FenceStateSuperseded, rec.ballot
	default:
		led.touch(now, fen.ID, fen.Ballot)
		ans.State = reservation.FenceStatePromised
	}
	if !granter {
		return nonGranterAnswer(ans)
	}
	ans.Attestations = led.useAttestations(append(slices.Clone(ans.Holders), fen.ID.Epoch))
	return ans
}

// nonGranterAnswer returns the answer of a host that may not grant the request. Such a
// host reports grants and closes that it knows of, but its promise has no effect.
func nonGranterAnswer(ans reservation.FenceAnswer) reservation.FenceAnswer {
	if ans.State == reservation.FenceStatePromised || ans.State == reservation.FenceStateForgotten {
		ans.State = reservation.FenceStateNotGranter
	}
	return ans
}

// useAttestations returns the sorted keys of the active attestations about the
// holders and marks them as relied upon.
func (led *Ledger) useAttestations(holders []request.Epoch) []reservation.AttestationKey {
	var keys []reservation.AttestationKey
	for key, att := range led.attestations {
		if att.active && slices.Contains(holders, key.Holder) {
			att.fenced = true
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareAttestationKeys)
	return keys
}

// Attest stores an attestation and merges its records: the requests that a lost
// coordinator epoch granted to one gateway or closed for it. An attestation that isn't
// newer than the known one is ignored.
func (led *Ledger) Attest(now time.Time, att reservation.Attestation) {
	known := led.attestations[att.AttestationKey]
	if known != nil && known.sequence >= att.Sequence {
		return
	}
	led.merge(now, att.Records)
	fenced := known != nil && known.fenced
	led.attestations[att.AttestationKey] = &attestation{sequence: att.Sequence, active: true, fenced: fenced}
}

// RevokeAttestation revokes an attestation unless a fence has relied on it.
func (led *Ledger) RevokeAttestation(rev reservation.Revocation) reservation.RevocationAnswer {
	ans := reservation.RevocationAnswer{AttestationKey: rev.AttestationKey, Revoked: true}
	known := led.attestations[rev.AttestationKey]
	switch {
	case known == nil:
		// An attestation that is still in transit must be ignored when it arrives.
		led.attestations[rev.AttestationKey] = &attestation{sequence: rev.Sequence}
	case known.fenced:
		ans.Revoked = false
	case known.sequence < rev.Sequence:
		known.sequence = rev.Sequence
		known.active = false
	}
	return ans
}

// Handover returns the complete ledger for the host that takes it over.
func (led *Ledger) Handover() reservation.Handover {
	han := reservation.Handover{Stopped: append(led.successionList(), led.self), Floors: maps.Clone(led.floors)}
	for id, rec := range led.records {
		for _, holder := range earlierHolders(rec, id) {
			// The answers to later fences must also list the gateways that claimed the
			// request before.
			bal := request.Ballot{Round: 1, Holder: holder}
			han.Records = append(han.Records, reservation.Record{ID: id, Ballot: bal, State: reservation.FenceStatePromised})
		}
		han.Records = append(han.Records, reservation.Record{ID: id, Ballot: rec.ballot, State: rec.state, Engine: rec.engine})
	}
	slices.SortStableFunc(han.Records, func(one, two reservation.Record) int {
		return compareIDs(one.ID, two.ID)
	})
	return han
}

func earlierHolders(rec *record, id request.ID) []request.Epoch {
	return slices.DeleteFunc(slices.Clone(rec.holders), func(epo request.Epoch) bool {
		return epo == rec.ballot.Holder || epo == id.Epoch
	})
}

// TakeOver merges the ledger of a stopped host into this one.
func (led *Ledger) TakeOver(now time.Time, han reservation.Handover) {
	led.merge(now, han.Records)
	for epo, floor := range han.Floors {
		led.floors[epo] = max(led.floors[epo], floor)
	}
	for _, epo := range han.Stopped {
		led.successions[epo] = true
	}
}

// merge adds the records of another host. A reported grant replaces any record; other
// reported states replace only a promise.
func (led *Ledger) merge(now time.Time, records []reservation.Record) {
	for _, rep := range records {
		rec := led.touch(now, rep.ID, rep.Ballot)
		if rep.State == reservation.FenceStateGranted || rec.state == reservation.FenceStatePromised {
			rec.state = rep.State
			rec.engine = rep.Engine
			rec.ballot = rep.Ballot
		}
	}
}

// Forget drops the records that were last used before the given time. From then on, ids
// of the same windows or older ones are refused as forgotten.
func (led *Ledger) Forget(before time.Time) {
	for id, rec := range led.records {
		if rec.usedAt.Before(before) {
			led.floors[id.Epoch] = max(led.floors[id.Epoch], id.Window)
			delete(led.records, id)
		}
	}
}

// ForgetHosts drops the attestations and successions of epochs that aren't known any
// more: no id that is still accepted can refer to them.
func (led *Ledger) ForgetHosts(known func(request.Epoch) bool) {
	for key := range led.attestations {
		if !known(key.Lost) {
			delete(led.attestations, key)
		}
	}
	for epo := range led.successions {
		if !known(epo) {
			delete(led.successions, epo)
		}
	}
}

func (led *Ledger) isForgotten(id request.ID) bool {
	floor, known := led.floors[id.Epoch]
	return known && id.Window <= floor
}

// touch returns the record of the request, creating it if needed, and raises its
// ballot to bal.
func (led *Ledger) touch(now time.Time, id request.ID, bal request.Ballot) *record {
	rec := led.records[id]
	if rec == nil {
		rec = &record{state: reservation.FenceStatePromised, ballot: bal}
		led.records[id] = rec
	}
	if rec.ballot.Less(bal) {
		rec.ballot = bal
	}
	if bal.Round > 0 && !slices.Contains(rec.holders, bal.Holder) {
		rec.holders = append(rec.holders, bal.Holder)
	}
	rec.usedAt = now
	return rec
}

func (led *Ledger) successionList() []request.Epoch {
	return slices.Sorted(maps.Keys(led.successions))
}

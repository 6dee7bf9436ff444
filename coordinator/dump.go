package coordinator

import (
	"time"

	"lynxwell.dev/lynxwell/request"
)

// Dump is a snapshot of a coordinator's state, encoded as JSON.
type Dump struct {
	Services []ServiceDump
	// LedgerRecords is the number of requests in the ledger.
	LedgerRecords int
	// Vouches is the number of attestations held for gateways; Successions are the
	// stopped epochs whose ledgers were taken over.
	Vouches     int
	Successions []request.Epoch
	Draining    bool
}

// ServiceDump describes one service on a coordinator.
type ServiceDump struct {
	Name    string
	Waiting []WaitingDump
	Engines []EngineDump
	// FloorRank is the lowest rank that is queued until FloorUntil.
	FloorRank  int
	FloorUntil time.Time
}

// WaitingDump describes one reservation in the queue.
type WaitingDump struct {
	ID      request.ID
	Gateway request.Epoch
	Tier    string
	Account string
	Age     string
	Work    string
}

// EngineDump describes one coordinated engine.
type EngineDump struct {
	Name          string
	Slots         int
	Deputy        bool
	Held          int
	Orphaned      int
	Leaving       bool
	PrefillSpeed  float64
	DecodeSpeed   float64
	KnownPrefixes int
}

// Dump returns a snapshot of the coordinator's state.
func (cor *Core) Dump(now time.Time) Dump {
	dum := Dump{
		LedgerRecords: cor.ledger.Len(), Vouches: len(cor.ledger.attestations),
		Successions: cor.ledger.successionList(), Draining: cor.draining,
	}
	for _, svc := range cor.sortedServices() {
		sdu := ServiceDump{Name: svc.name, FloorRank: svc.floorRank, FloorUntil: svc.floorUntil}
		for _, wai := range sortedWaiting(svc.queue) {
			sdu.Waiting = append(sdu.Waiting, WaitingDump{
				ID: wai.reserve.ID, Gateway: wai.gateway, Tier: wai.reserve.Tier, Account: wai.reserve.Account,
				Age: now.Sub(wai.arrived).String(), Work: wai.work.String(),
			})
		}
		for _, ens := range svc.engines {
			sdu.Engines = append(sdu.Engines, ens.dump())
		}
		dum.Services = append(dum.Services, sdu)
	}
	return dum
}

func (ens *engineState) dump() EngineDump {
	edu := EngineDump{
		Name: ens.engine.Name, Slots: ens.slots, Deputy: ens.deputy, Held: len(ens.held),
		Leaving: ens.draining || ens.engine.Leaving, PrefillSpeed: ens.prefill, DecodeSpeed: ens.decode,
		KnownPrefixes: len(ens.prefixes.elements),
	}
	for _, hol := range ens.held {
		if !hol.orphaned.IsZero() {
			edu.Orphaned++
		}
	}
	return edu
}

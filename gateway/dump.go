package gateway

import (
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
)

// Dump is a snapshot of a gateway's state, encoded as JSON.
type Dump struct {
	// Requests counts the remembered requests by phase.
	Requests map[string]int
	// InFlight lists the requests without a final answer.
	InFlight []RequestDump
	// Lost lists the coordinator epochs whose grants are rejected.
	Lost     []LostDump
	Draining bool
}

// RequestDump describes one request in flight.
type RequestDump struct {
	ID          request.ID
	Phase       string
	Service     string
	Tier        string
	Account     string
	Age         string
	Remaining   string
	Callers     int
	Coordinator request.Epoch
	Engine      string
	// Cause is why the request is being closed; empty unless it is.
	Cause Cause `json:",omitempty"`
}

// LostDump describes a coordinator epoch whose grants are rejected.
type LostDump struct {
	Epoch request.Epoch
	// Vouchers are the coordinators that hold an attestation about the epoch.
	Vouchers []request.Epoch
	// Gone is set if the grants are rejected permanently.
	Gone bool
}

// Dump returns a snapshot of the gateway's state.
func (gat *Core) Dump(now time.Time) Dump {
	dum := Dump{Requests: make(map[string]int), Draining: gat.draining}
	for _, ent := range sortedByID(gat.table.byID) {
		dum.Requests[ent.phase.String()]++
		if ent.isFinished() {
			continue
		}
		dum.InFlight = append(dum.InFlight, RequestDump{
			ID: ent.id, Phase: ent.phase.String(), Service: ent.spec.Service, Tier: ent.spec.Tier, Account: ent.spec.Account,
			Age: now.Sub(ent.arrived).String(), Remaining: ent.deadline.Sub(now).String(),
			Callers: ent.callers, Coordinator: ent.coordinator, Engine: ent.engine, Cause: ent.final.Cause,
		})
	}
	for _, epo := range slices.Sorted(maps.Keys(gat.lost)) {
		los := gat.lost[epo]
		dum.Lost = append(dum.Lost, LostDump{Epoch: epo, Vouchers: slices.Sorted(maps.Keys(los.attesters)), Gone: los.permanent})
	}
	return dum
}

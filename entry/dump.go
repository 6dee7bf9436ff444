package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"lynxwell.dev/lynxwell/admission"
	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/scheduler"
)

// PathDump is the path on the metrics address that returns the host's state.
const PathDump = "/dump"

// Dump is the state of a host.
type Dump struct {
	Host  string
	Epoch string
	// NotReady is why the host accepts no requests; empty if it does.
	NotReady string
	// Version is that of the active configuration, Age the time since the snapshot was most
	// recently confirmed to be current.
	Version uint64
	Age     string
	Members []fleet.Member
	Engines []fleet.Engine
	// Notices are the engine signals that this host received and that are in force.
	Notices []NoticeDump `json:",omitempty"`
	// Coordinator is the epoch of the coordinator; Own is set if this host is its own coordinator.
	Coordinator string
	Own         bool
	// Sessions are the hosts that this host has opened sessions to, the coordinator and its next
	// candidates. Gateways are the hosts that have opened sessions to this one.
	Sessions []string
	Gateways []string
	// Waiting and Held count the host's own requests: those that wait for a decision, and those
	// that have a grant.
	Waiting int
	Held    int
	// Gate is the state of the reservations on their way to the coordinator. CoordinatorSlow is set
	// while this host reports its coordinator as slow, Deposed is the coordinator that was replaced
	// last within takeover.DeposedFor; empty for none.
	Gate            admission.State
	CoordinatorSlow bool   `json:",omitempty"`
	Deposed         string `json:",omitempty"`
	Tasks           []string
	Scheduler       scheduler.Dump
	// Versions is the record of software versions that may have begun streams that live.
	Versions affinity.Record
	// Limits is what this host has of the limits.
	Limits LimitsDump
	// Evacuations are the failure domains that are being evacuated.
	Evacuations []evacuation.Dump `json:",omitempty"`
}

// LimitsDump is a host's share of the limits.
type LimitsDump struct {
	// Ledger is the version of the ledger of shares; 0 if none is known.
	Ledger uint64
	// Own is the host's share by the ledger, Usable what it may spend, as fractions of the whole.
	Own    float64
	Usable float64
	// LentTo is the epoch of the host to which the own share is lent; empty for none. Lenders is the number of hosts
	// that lend theirs to this one.
	LentTo  string `json:",omitempty"`
	Lenders int
	// Suspended is set while this host spends no share, since its ledger may be outdated.
	Suspended bool `json:",omitempty"`
}

// NoticeDump is an engine signal that this host received.
type NoticeDump struct {
	Engine fleet.EngineID
	Says   string
	// Left is how much longer a requested backoff lasts.
	Left string `json:",omitempty"`
	// PerSecond is the rate limit that the engine signaled; nil if there is none.
	PerSecond *float64 `json:",omitempty"`
}

// Dump returns the host's state.
func (hos *Host) Dump() Dump {
	now := hos.clock.Now()
	snp := hos.snapshot.Load()
	_, reason := hos.ready(now)
	dum := Dump{
		Host: hos.set.Name, Epoch: hos.epoch.String(), NotReady: reason, Age: hos.snapshotAge(now).String(),
		Members: snp.members, Tasks: hos.tasks.Names(),
	}
	if snp.table != nil {
		dum.Version = snp.table.Version()
	}
	for _, eng := range snp.engines {
		dum.Engines = append(dum.Engines, eng)
	}
	for _, not := range hos.notices.current() {
		nod := NoticeDump{Engine: not.Run, Says: not.Signal.String()}
		switch sig := not.Signal.(type) {
		case fleet.Backoff:
			nod.Left = sig.Remaining.String()
		case fleet.RateLimit:
			nod.PerSecond = &sig.PerSecond
		}
		dum.Notices = append(dum.Notices, nod)
	}
	hos.broker.dump(now, &dum)
	return dum
}

func (bro *broker) dump(now time.Time, dum *Dump) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.settleShares()
	dum.Limits = bro.dumpLimits()
	dum.Coordinator, dum.Own = bro.coordinator.String(), bro.coordinator == bro.host.epoch
	for _, lin := range bro.links {
		dum.Sessions = append(dum.Sessions, lin.member.Name)
	}
	for _, inb := range bro.inbound {
		dum.Gateways = append(dum.Gateways, inb.name)
	}
	dum.Waiting, dum.Held = len(bro.pending), len(bro.activeGrants)
	dum.Gate, dum.CoordinatorSlow = bro.gate.State(), bro.reportedSlow
	if epo := bro.deposed.Latest(now); epo != 0 {
		dum.Deposed = epo.String()
	}
	dum.Scheduler, dum.Versions = bro.core.Dump(now), bro.core.Versions()
	bro.updateSenders(now)
	dum.Evacuations = bro.evacuations.Dump(now, bro.core.RunningIn)
}

func (hos *Host) serveDump(wri http.ResponseWriter, _ *http.Request) {
	data, err := json.Marshal(hos.Dump())
	if err != nil {
		http.Error(wri, err.Error(), http.StatusInternalServerError)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	// The write fails only if the client has disconnected; nothing more can be sent to it.
	_, _ = wri.Write(data)
}

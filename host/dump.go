package host

import (
	"context"
	"encoding/json"
	"runtime"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/coordinator"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/view"
)

// Dump is a snapshot of the state of a host, encoded as JSON for operators.
type Dump struct {
	Name        string
	Epoch       request.Epoch
	Domain      string
	At          time.Time
	Uptime      string
	Draining    bool
	Problem     string `json:",omitempty"`
	Window      uint64
	Revision    uint64
	View        view.View
	ViewsKept   int
	Peers       []PeerDump
	Gateways    []GatewayDump
	Gateway     gateway.Dump
	Coordinator coordinator.Dump
	Jobs        int
	KeptBytes   int
	Inbox       int
	// Goroutines is the number of goroutines of the process. Tasks are the names of the host's
	// long-running ones; Spawned is the number of its short-lived ones.
	Goroutines int
	Tasks      []string
	Spawned    int64
	HeapBytes  uint64
	Platform   map[string]uint64
	Traffic    Traffic
}

// PeerDump describes a session of this gateway with a coordinator.
type PeerDump struct {
	Name   string
	Epoch  request.Epoch
	Up     bool
	Queued int
	Header peer.Header
}

// GatewayDump describes a session of a gateway with this coordinator.
type GatewayDump struct {
	Name   string
	Epoch  request.Epoch
	Queued int
}

// Traffic is the number of bytes exchanged between this host and its peers.
type Traffic struct {
	Received uint64
	Sent     uint64
}

// Dump implements operator.Backend.
func (hos *Host) Dump(ctx context.Context) any {
	dum, err := callLoop(ctx, hos.loop, hos.loop.dump)
	if err != nil {
		return struct{ Problem string }{err.Error()}
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	dum.HeapBytes = mem.HeapAlloc
	dum.Goroutines = runtime.NumGoroutine()
	dum.Tasks = hos.tasks.Names()
	dum.Spawned = hos.spawnedCount.Load()
	dum.Platform = hos.store.Counts()
	dum.Traffic = Traffic{Received: hos.meter.Received(), Sent: hos.meter.Sent()}
	return dum
}

func (lop *loop) dump(now time.Time) Dump {
	hos := lop.host
	dum := Dump{
		Name: hos.set.Name, Epoch: hos.epoch, Domain: hos.set.Domain,
		At: now, Uptime: now.Sub(hos.started).Round(time.Millisecond).String(),
		Draining: hos.draining.Load(), Problem: hos.shared.currentProblem(),
		Window: hos.window(), Revision: hos.Configuration().Revision,
		View: hos.shared.view(), ViewsKept: len(hos.shared.viewsSince(0)),
		Gateway: lop.gateway.Dump(now), Coordinator: lop.coordinator.Dump(now),
		Jobs: len(lop.jobs), KeptBytes: lop.retainedBytes, Inbox: len(lop.inbox),
	}
	for epo, out := range lop.outbound {
		hea, _ := hos.shared.header(epo)
		dum.Peers = append(dum.Peers, PeerDump{Name: out.member.Name, Epoch: epo, Up: out.up, Queued: out.queue.Len(), Header: hea})
	}
	for epo, inb := range lop.inbound {
		dum.Gateways = append(dum.Gateways, GatewayDump{Name: inb.name, Epoch: epo, Queued: inb.queue.Len()})
	}
	slices.SortFunc(dum.Peers, func(one, two PeerDump) int { return int(one.Epoch>>1) - int(two.Epoch>>1) })
	slices.SortFunc(dum.Gateways, func(one, two GatewayDump) int { return int(one.Epoch>>1) - int(two.Epoch>>1) })
	return dum
}

// Metrics implements operator.Backend.
func (hos *Host) Metrics() any {
	data, err := json.Marshal(hos.metrics)
	if err != nil {
		return struct{ Problem string }{err.Error()}
	}
	return json.RawMessage(data)
}

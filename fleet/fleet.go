// Package fleet holds what a host knows of the others: the engines and backend
// servers that it may send work to, and the hosts that share the work.
//
// # Usage
//
//	dir := fleet.NewDirectory()
//	dir.SetEngine(now, eng)
//	dir.RemoveEngine(now, id)
//	for _, eng := range dir.Engines() { ... }
//	mem, found := dir.Coordinator(reachable)
//
// A Directory is pure: it is told what the store says, and the time.
package fleet

import (
	"net/netip"
	"time"

	"lynxwell.dev/lynxwell/request"
)

// EngineID names one run of an engine or a backend server; a restart has another.
type EngineID string

// Engine is an engine, or a backend server of a plain service.
type Engine struct {
	ID      EngineID
	Service string
	Address netip.AddrPort
	// Domain is its failure domain.
	Domain string
	// Slots is how many requests it works on at a time.
	Slots int
	// Draining engines get no new work.
	Draining bool
	// ColdFor is how much longer the engine is slow from its start.
	ColdFor time.Duration
}

// Member is a host that shares the work.
type Member struct {
	Name string
	// Epoch numbers the process start; later starts have higher ones.
	Epoch  request.Epoch
	Domain string
	// CallerAddress is where callers connect.
	CallerAddress netip.AddrPort
	// PeerAddress is where other hosts connect.
	PeerAddress netip.AddrPort
	// Capacity is the host's processor, in usual cores.
	Capacity float64
}

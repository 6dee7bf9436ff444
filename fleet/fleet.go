// Package fleet holds what a host knows of the others: the engines and backend
// servers that it may send work to, and the hosts that share the work.
//
// # Usage
//
//	dir := fleet.NewDirectory()
//	dir.SetEngine(now, eng)
//	dir.RemoveEngine(now, name)
//	for _, eng := range dir.Engines() { ... }
//	mem, found := dir.Coordinator(reachable)
//
// A Directory is pure: it is told what the store says, and the time.
package fleet

import (
	"net/netip"

	"lynxwell.dev/lynxwell/request"
)

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

// Package fleet holds a host's view of the other processes of the system: the engines and
// backend servers that the host may send requests to, and the hosts that share the load.
//
// # Usage
//
//	dir := fleet.NewDirectory()
//	dir.SetEngine(now, eng)
//	dir.RemoveEngine(now, name)
//	for _, eng := range dir.Engines() { ... }
//	mem, found := dir.Member(epoch)
//
// A Directory does no I/O: its user passes in the entries of the store and the time. A Directory
// is not safe for concurrent use.
package fleet

import (
	"net/netip"

	"lynxwell.dev/lynxwell/request"
)

// Member is a host's entry in the store.
type Member struct {
	Name string
	// Epoch identifies the start of the host's process; later starts have higher values.
	Epoch  request.Epoch
	Domain string
	// CallerAddress is where clients connect.
	CallerAddress netip.AddrPort
	// PeerAddress is where other hosts connect.
	PeerAddress netip.AddrPort
	// Capacity is the host's processing capacity, in reference cores.
	Capacity float64
}

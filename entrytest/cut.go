package entrytest

import (
	"net"
	"net/netip"
	"sync"

	"lynxwell.dev/lynxwell/upstreamtest"
)

// peerPaths are the paths to hosts from the others, by the host's address for other hosts. It is safe for concurrent use.
type peerPaths struct {
	mutex sync.Mutex
	paths map[string]*upstreamtest.Path
}

func (ppa *peerPaths) add(address string, path *upstreamtest.Path) {
	ppa.mutex.Lock()
	defer ppa.mutex.Unlock()
	if ppa.paths == nil {
		ppa.paths = make(map[string]*upstreamtest.Path)
	}
	ppa.paths[address] = path
}

// to returns what opens connections to the address.
func (ppa *peerPaths) to(address string) upstreamtest.Dialer {
	ppa.mutex.Lock()
	defer ppa.mutex.Unlock()
	if path := ppa.paths[address]; path != nil {
		return path
	}
	return &net.Dialer{}
}

// connectPeers makes all connections between the host and others follow its paths.
func (sys *System) connectPeers(hos *Host, address netip.AddrPort) {
	hos.toPeers.Next = sys.peerPaths.to
	sys.peerPaths.add(address.String(), hos.fromPeers)
}

// SetPeersCut sets the state of the paths between the host and all others, in both directions.
func (hos *Host) SetPeersCut(sta upstreamtest.PathState) {
	hos.toPeers.Set(sta)
	hos.fromPeers.Set(sta)
}

// SetCutOff cuts the host off from the store and from all other hosts: calls to the store fail without an answer, and the
// paths to the others have the state. A zero state ends the cut.
func (hos *Host) SetCutOff(sta upstreamtest.PathState) {
	hos.SetStoreCut(sta != upstreamtest.PathState{})
	hos.SetPeersCut(sta)
}

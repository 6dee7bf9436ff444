// Package view implements the parts of membership that do no I/O: the immutable views of
// the system's hosts, which hosts may grant requests to a gateway, and which host
// coordinates which engine.
//
// # Usage
//
//	vie := view.View{Number: 4, Members: members}
//	granters := vie.Granters(gatewayEpoch)       // the hosts that may grant to that gateway
//	shares := view.Assign(vie, "menus", engines) // the slots that each coordinator assigns
//
// A view never changes once it is published. A change of members creates a view
// with the next number.
package view

import (
	"hash/fnv"
	"net/netip"
	"slices"

	"lynxwell.dev/lynxwell/request"
)

// Member is one host in a view, identified by the epoch of its process.
type Member struct {
	// Name is the host's name, unique in the system.
	Name string
	// Epoch identifies the process start.
	Epoch request.Epoch
	// Domain is the host's failure domain.
	Domain string
	// CallerAddress is the IP address and port to which clients connect.
	CallerAddress netip.AddrPort
	// PeerAddress is the IP address and port to which other hosts connect.
	PeerAddress netip.AddrPort
	// Draining is set while the host drains and gets no new work.
	Draining bool `json:"Leaving"`
}

// View is one numbered, immutable set of members, sorted by name.
type View struct {
	// Number increases by one with each change; 0 means that there is no view.
	Number uint64
	// Members are sorted by name.
	Members []Member
}

// Member returns the member with the epoch.
func (vie View) Member(epo request.Epoch) (Member, bool) {
	for _, mem := range vie.Members {
		if mem.Epoch == epo {
			return mem, true
		}
	}
	return Member{}, false
}

// Domains returns the failure domains of the view, sorted.
func (vie View) Domains() []string {
	var domains []string
	for _, mem := range vie.Members {
		if !slices.Contains(domains, mem.Domain) {
			domains = append(domains, mem.Domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// Granters returns the members that may grant requests to the gateway with the given
// epoch: those outside its failure domain, or all members if there is only one domain.
// It returns nil if the gateway isn't in the view.
func (vie View) Granters(gateway request.Epoch) []Member {
	own, known := vie.Member(gateway)
	if !known {
		return nil
	}
	if len(vie.Domains()) < 2 {
		return slices.Clone(vie.Members)
	}
	var granters []Member
	for _, mem := range vie.Members {
		if mem.Domain != own.Domain {
			granters = append(granters, mem)
		}
	}
	return granters
}

// MayGrant reports whether the host with the epoch granter may grant requests to
// the gateway with the epoch gateway.
func (vie View) MayGrant(granter, gateway request.Epoch) bool {
	for _, mem := range vie.Granters(gateway) {
		if mem.Epoch == granter {
			return true
		}
	}
	return false
}

// Active returns the members that aren't draining and thus accept new work.
func (vie View) Active() []Member {
	var active []Member
	for _, mem := range vie.Members {
		if !mem.Draining {
			active = append(active, mem)
		}
	}
	return active
}

// Without returns the view without the members for which lost returns true. The result is
// used to assign coordinators while hosts are lost. Which hosts may grant requests is always
// determined from the complete view.
func (vie View) Without(lost func(request.Epoch) bool) View {
	remaining := View{Number: vie.Number}
	for _, mem := range vie.Members {
		if !lost(mem.Epoch) {
			remaining.Members = append(remaining.Members, mem)
		}
	}
	return remaining
}

// SameMembers reports whether the view has exactly the given members, in the same order.
func (vie View) SameMembers(other []Member) bool {
	return slices.Equal(vie.Members, other)
}

// Score returns the rendezvous hashing weight of a candidate for the key. The candidate
// with the highest score is chosen.
func Score(key, candidate string) uint64 {
	hsh := fnv.New64a()
	_, _ = hsh.Write([]byte(key))
	_, _ = hsh.Write([]byte{0})
	_, _ = hsh.Write([]byte(candidate))
	return mix(hsh.Sum64())
}

// mix mixes the bits of a hash, because FNV alone returns similar values for similar names.
func mix(val uint64) uint64 {
	val ^= val >> 33
	val *= 0xff51afd7ed558ccd
	val ^= val >> 33
	val *= 0xc4ceb9fe1a85ec53
	return val ^ val>>33
}

// Package view is the pure part of membership: the immutable views of the
// system's hosts, which host may grant which request, and which host
// coordinates which engine.
//
// # Usage
//
//	vie := view.View{Number: 4, Members: members}
//	granters := vie.Granters(gatewayEpoch)   // who may grant to that gateway
//	asg := view.Assign(vie, "menus", engines) // engine name to coordinator
//
// A view never changes once it is published; a change of members is a view
// with the next number.
package view

import (
	"hash/fnv"
	"net/netip"
	"slices"

	"lynxwell.dev/lynxwell/request"
)

// Member is one host's process in a view.
type Member struct {
	// Name is the host's name, unique in the system.
	Name string
	// Epoch numbers the process start.
	Epoch request.Epoch
	// Domain is the host's failure domain.
	Domain string
	// CallerAddress is where callers connect.
	CallerAddress netip.AddrPort
	// PeerAddress is where other hosts connect.
	PeerAddress netip.AddrPort
	// Leaving is set while the host stops: it gets no new work.
	Leaving bool
}

// View is one numbered, immutable set of members, sorted by name.
type View struct {
	// Number grows by one with each change; 0 is no view at all.
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

// Granters returns the members that may grant requests to the gateway with the
// epoch: those outside its failure domain, or all when there is one domain.
// It returns nil when the gateway isn't in the view.
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

// MayGrant reports whether the host with epoch granter may grant requests to
// the gateway.
func (vie View) MayGrant(granter, gateway request.Epoch) bool {
	for _, mem := range vie.Granters(gateway) {
		if mem.Epoch == granter {
			return true
		}
	}
	return false
}

// Active returns the members that take new work.
func (vie View) Active() []Member {
	var active []Member
	for _, mem := range vie.Members {
		if !mem.Leaving {
			active = append(active, mem)
		}
	}
	return active
}

// Without returns the view without the members that the function names. It is
// for working out who coordinates what while hosts are lost; who may grant
// what is always worked out from the whole view.
func (vie View) Without(lost func(request.Epoch) bool) View {
	left := View{Number: vie.Number}
	for _, mem := range vie.Members {
		if !lost(mem.Epoch) {
			left.Members = append(left.Members, mem)
		}
	}
	return left
}

// SameMembers reports whether other has the same members, whatever its number.
func (vie View) SameMembers(other []Member) bool {
	return slices.Equal(vie.Members, other)
}

// Score is the rendezvous weight of key at place; the highest place wins.
func Score(key, place string) uint64 {
	hsh := fnv.New64a()
	_, _ = hsh.Write([]byte(key))
	_, _ = hsh.Write([]byte{0})
	_, _ = hsh.Write([]byte(place))
	return mix(hsh.Sum64())
}

// mix spreads the hash: FNV alone leaves close names with close sums.
func mix(val uint64) uint64 {
	val ^= val >> 33
	val *= 0xff51afd7ed558ccd
	val ^= val >> 33
	val *= 0xc4ceb9fe1a85ec53
	return val ^ val>>33
}

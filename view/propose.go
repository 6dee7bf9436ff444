package view

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the size of the stored head, since every host reads the head at each
// change. Hosts fetch the views that don't fit from peers.
const maxHeadBytes = 128 << 10

// Head is the value stored on the platform that determines the current view. It also holds
// as many past views as fit, so that a starting host knows them.
type Head struct {
	Current View
	// Past are the previous views, newest last.
	Past []View
}

// ParseHead decodes a stored head.
func ParseHead(data []byte) (Head, error) {
	var hea Head
	if err := json.Unmarshal(data, &hea); err != nil {
		return Head{}, errors.Wrap(err, "decode view head")
	}
	return hea, nil
}

// Next returns a head whose current view has the next number and the given members.
func (hea Head) Next(members []Member) Head {
	next := Head{Current: View{Number: hea.Current.Number + 1, Members: members}}
	if hea.Current.Number > 0 {
		next.Past = append(slices.Clone(hea.Past), hea.Current)
	}
	return next
}

// Encode returns the head as JSON of at most 128 KiB. It drops the oldest views until the
// rest fits, but never the current view, which by itself may exceed the limit.
func (hea Head) Encode() ([]byte, error) {
	for {
		data, err := json.Marshal(hea)
		if err != nil {
			return nil, errors.Wrap(err, "encode view head")
		}
		if len(data) <= maxHeadBytes || len(hea.Past) == 0 {
			return data, nil
		}
		hea.Past = hea.Past[(len(hea.Past)+1)/2:]
	}
}

// Propose returns the members for the next view: every host with a lease, and those
// members of the current view that are alive although their lease expired, as leases
// do during an outage of the platform.
func Propose(current View, leased []Member, alive func(Member) bool) []Member {
	byName := make(map[string]Member, len(leased))
	for _, mem := range current.Members {
		if alive(mem) {
			byName[mem.Name] = mem
		}
	}
	for _, mem := range leased {
		byName[mem.Name] = mem
	}
	members := make([]Member, 0, len(byName))
	for _, mem := range byName {
		members = append(members, mem)
	}
	slices.SortFunc(members, func(one, two Member) int { return cmp.Compare(one.Name, two.Name) })
	return members
}

// ProposerRank returns the number of members of the current view that propose a change of
// the members before the named host does.
func ProposerRank(current View, name string) int {
	rank := 0
	for _, mem := range current.Members {
		if mem.Name != name && Score("proposer", mem.Name) > Score("proposer", name) {
			rank++
		}
	}
	return rank
}

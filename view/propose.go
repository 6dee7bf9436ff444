package view

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the stored head: every host reads it at each change. What
// has no room in it is fetched from peers.
const maxHeadBytes = 128 << 10

// Head is the stored value that orders views: the current one, and as many of
// the last ones as there is room for, so that a host that starts knows them.
type Head struct {
	Current View
	// Past are the former views, the newest last.
	Past []View
}

// ParseHead reads a stored head.
func ParseHead(data []byte) (Head, error) {
	var hea Head
	if err := json.Unmarshal(data, &hea); err != nil {
		return Head{}, errors.Wrap(err, "decode view head")
	}
	return hea, nil
}

// Next returns the head with the members as the view of the next number.
func (hea Head) Next(members []Member) Head {
	next := Head{Current: View{Number: hea.Current.Number + 1, Members: members}}
	if hea.Current.Number > 0 {
		next.Past = append(slices.Clone(hea.Past), hea.Current)
	}
	return next
}

// Encode returns the stored form, without the oldest views where it grew too long.
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

// Propose returns the members that the next view should have: every host with
// a lease, and those of the current view that are seen alive although their
// lease lapsed, as leases do in an outage of the platform.
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

// ProposerRank says how many hosts are to propose a change of the current view
// before the named one.
func ProposerRank(current View, name string) int {
	rank := 0
	for _, mem := range current.Members {
		if mem.Name != name && Score("proposer", mem.Name) > Score("proposer", name) {
			rank++
		}
	}
	return rank
}

package mirror

import (
	"cmp"
	"slices"

	"lynxwell.dev/lynxwell/fleet"
)

const (
	// defaultFanOut is how many hosts read the store through one host of their failure domain: as
	// many as a small host's link serves with a large configuration within a tenth of a second or two.
	defaultFanOut = 16
	// maxCandidates is how many hosts of its failure domain a host tries in turn, before it reads the
	// store by itself: the first may be lost, and the second cut off, at the same time.
	maxCandidates = 3
	// minTreeHosts is the minimum number of hosts in a failure domain for one of them to read the
	// store for the others: with fewer hosts that saves too little.
	minTreeHosts = 3
)

// The hosts of a failure domain form a tree: the first in the order of fleet.Directory.Members reads the
// store, the next hosts, as many as the fan-out, read through the first, and so on. A host reads only through hosts that
// precede it in that order, which doesn't depend on what a host knows, so that hosts never read through
// one another in a circle.

// tree is a tree with a fan-out.
type tree struct {
	fanOut int
}

// precedes reports whether one host precedes another in the order of the tree.
func precedes(one, two fleet.Member) bool {
	return cmp.Or(cmp.Compare(two.Capacity, one.Capacity), cmp.Compare(one.Name, two.Name)) < 0
}

// position returns how many of the hosts precede a host.
func position(own fleet.Member, peers []fleet.Member) int {
	idx, _ := slices.BinarySearchFunc(peers, own, func(peer, own fleet.Member) int {
		switch {
		case precedes(peer, own):
			return -1
		case precedes(own, peer):
			return 1
		default:
			return 0
		}
	})
	return idx
}

// hasReaders reports whether the host at a position passes the store on to others of count hosts, by
// itself or in place of a host that failed.
func (tre tree) hasReaders(pos, count int) bool {
	return count >= minTreeHosts && (pos < maxCandidates || pos*tre.fanOut+1 < count)
}

// candidates returns the positions of the hosts through which the host at a position reads the store, in
// the order in which it tries them. The readers of a host that fails spread over other hosts of its level.
func (tre tree) candidates(pos int) []int {
	if pos == 0 {
		return nil
	}
	parent := (pos - 1) / tre.fanOut
	if parent == 0 {
		return firstPositions(min(pos, maxCandidates))
	}
	start, size := tre.levelOf(parent)
	found := []int{parent}
	for step := 1; step <= size && len(found) < maxCandidates; step++ {
		other := start + (parent-start+(pos-1)%tre.fanOut+step)%size
		if !slices.Contains(found, other) {
			found = append(found, other)
		}
	}
	return found
}

func firstPositions(count int) []int {
	found := make([]int, count)
	for pos := range found {
		found[pos] = pos
	}
	return found
}

// levelOf returns the first position of the level to which a position belongs, and the level's size.
func (tre tree) levelOf(pos int) (start, size int) {
	start, size = 0, 1
	for pos >= start+size {
		start, size = start+size, size*tre.fanOut
	}
	return start, size
}

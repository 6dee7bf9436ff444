// Package slotshare divides the slots of engines among hosts that schedule for themselves without
// exchanging messages. Each slot belongs to exactly one host, so that all hosts together never use more
// slots than the engines have.
//
// # Usage
//
//	if running < slotshare.Owned(engine, slots, position, hosts) {
//		// this host may send another request to the engine
//	}
//
// The division follows from the list of hosts alone. Hosts whose lists differ for a moment may both use
// a slot until the lists are equal again.
package slotshare

import "hash/fnv"

// Owned returns how many of an engine's slots belong to the host at a position, from 0, of the sorted
// list of all hosts.
func Owned(engine string, slots, position, hosts int) int {
	if hosts <= 1 {
		return slots
	}
	if position < 0 || position >= hosts || slots <= 0 {
		return 0
	}
	// first is the position of the host that owns the first slot; the others follow in order.
	first := int(hashOf(engine) % uint64(hosts))
	offset := (position - first + hosts) % hosts
	owned := slots / hosts
	if offset < slots%hosts {
		owned++
	}
	return owned
}

func hashOf(engine string) uint64 {
	hash := fnv.New64a()
	// Write never returns an error.
	_, _ = hash.Write([]byte(engine))
	return hash.Sum64()
}

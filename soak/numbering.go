package soak

import (
	"math/rand/v2"

	"lynxwell.dev/lynxwell/upstreamtest"
)

// One of ignoringShare runs has engines that begin each stream anew.
const ignoringShare = 3

// numbering is how the engines of a run number the events of their streams.
type numbering struct {
	ids upstreamtest.EventIDs
	// ignore is set if some engines of either version begin each stream anew, whatever event it is to go on behind.
	ignore bool
}

// drawNumbering draws how the engines number events. Where ids are texts, a run that begins anew can't be told from one that goes
// on, so that all engines go on.
func drawNumbering(seed uint64) numbering {
	random := rand.New(rand.NewPCG(seed, 6765))
	all := upstreamtest.AllEventIDs()
	nmb := numbering{ids: all[random.IntN(len(all))]}
	nmb.ignore = random.IntN(ignoringShare) == 0 && nmb.ids != upstreamtest.Texts
	return nmb
}

// flags returns the flags of the engine that is started next.
func (nmb numbering) flags(engines int) []string {
	flags := []string{"--event-ids", string(nmb.ids)}
	if nmb.ignore && engines%3 == 0 {
		flags = append(flags, "--ignore-last-event")
	}
	return flags
}

// namesEachEvent reports whether each event has an id, so that a client resumes each stream of which it has an event.
func (nmb numbering) namesEachEvent() bool {
	for num := 1; num <= streamEvents; num++ {
		if nmb.ids.ID(num) == "" {
			return false
		}
	}
	return true
}

// wanted returns the body of a complete answer to a request that resumes a stream behind an event; empty for none.
func (sys *system) wanted(id, lastEvent string) string {
	ids := sys.numbering.ids
	return ids.StreamBody(id, streamEvents)[len(ids.StreamBody(id, ids.NumberOf(lastEvent, streamEvents))):]
}

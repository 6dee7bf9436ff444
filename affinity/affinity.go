// Package affinity tracks which software version of a service began each stream, so that a stream whose
// connection broke is resumed only at that version: what two versions write doesn't fit together.
//
// # Usage
//
//	reg := affinity.New()
//	reg.Record(now, affinity.Batch{Origin: ori, KeepFor: time.Minute, Streams: []affinity.Stream{affinity.StreamOf(account, id)}})
//	if ori, known := reg.Origin(now, affinity.StreamOf(account, resumes)); known {
//		// resume the stream at an engine of ori.Version
//	}
//
//	his := affinity.NewHistory()
//	his.Apply(now, recordInStore, era)
//	his.Confirm(now)
//	his.Observe(now, "menus", []string{"v1"})
//	if version, sole := his.Sole(now, "menus", time.Minute); sole {
//		// every stream that lives was begun by this version
//	}
//	if next, change := his.Next(now, era, readers.KnownToAll(now)); change != affinity.ChangeNone {
//		// write next to the store; no stream begins at a version before the record opens it
//	}
//
// A version that joins is first announced: a host that knows of it no longer takes another one for the only one.
// Streams begin at it once all hosts know of it (Readers), or conclude nothing any more since they haven't heard from
// the store for MaxSoleAge.
//
// Nothing here does I/O or reads a clock. A Registry holds a fixed number of bytes for each stream that
// may still be resumed, and at most MaxStreams of them.
package affinity

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Stream identifies a stream by its client account and the id of the client's attempt that brought its first
// event. Clients of another account can't name it. 0 stands for none.
type Stream uint64

// StreamOf returns the stream of the account's attempt with the id; 0 if the id is empty.
func StreamOf(account, id string) Stream {
	if id == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(account + "\x00" + id))
	return Stream(max(1, binary.BigEndian.Uint64(sum[:])))
}

// Origin is what began a stream: a software version of a service.
type Origin struct {
	Service string
	Version string
}

// IsKnown reports whether the origin names a service.
func (ori Origin) IsKnown() bool { return ori.Service != "" }

// Batch is a number of streams with the same origin, and how long they may still be resumed.
type Batch struct {
	Origin
	KeepFor time.Duration
	Streams []Stream
}

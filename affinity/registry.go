package affinity

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxStreams bounds the streams of a Registry, at some 60 bytes each.
	MaxStreams = 1 << 18
	// MaxKeep bounds how long a stream is kept.
	MaxKeep = 5 * time.Minute
	// MaxBatch bounds the streams of one batch that Batches returns.
	MaxBatch = 1024
)

// Registry holds the origins of the streams that may still be resumed. It isn't safe for concurrent use.
type Registry struct {
	streams map[Stream]record
	// due holds the streams by the second at which they are dropped. A stream that was recorded again
	// stays in its earlier lists, too.
	due map[int64][]Stream
	// origins holds each origin once for the streams whose origin the store has, and once for the others, with their number.
	origins map[originKey]*sharedOrigin
	// expiredTo is the second up to which streams have been dropped.
	expiredTo int64
}

// record is the origin of a stream, and the second at which it is dropped.
type record struct {
	origin *sharedOrigin
	until  int64
}

// originKey is an origin of streams. stored is set if the store has it.
type originKey struct {
	Origin
	stored bool
}

type sharedOrigin struct {
	originKey
	streams int
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{streams: make(map[Stream]record), due: make(map[int64][]Stream), origins: make(map[originKey]*sharedOrigin)}
}

// Len returns the number of streams.
func (reg *Registry) Len() int { return len(reg.streams) }

// Record records the origin of the streams. A later record of a stream replaces an earlier one; it never
// shortens the time for which the stream is kept. If there are too many streams, those that are due soonest
// are dropped. Record returns the number of streams dropped for that reason.
func (reg *Registry) Record(now time.Time, bat Batch) int {
	return reg.record(now, bat, false)
}

// RecordStored records the origin of streams that the store has.
func (reg *Registry) RecordStored(now time.Time, bat Batch) int {
	return reg.record(now, bat, true)
}

func (reg *Registry) record(now time.Time, bat Batch, stored bool) int {
	reg.Expire(now)
	until := now.Add(min(bat.KeepFor, MaxKeep)).Unix() + 1
	dropped := 0
	for _, str := range bat.Streams {
		if str == 0 {
			continue
		}
		reg.set(str, originKey{Origin: bat.Origin, stored: stored}, until)
		if len(reg.streams) > MaxStreams {
			dropped += reg.dropSoonest()
		}
	}
	return dropped
}

func (reg *Registry) set(str Stream, key originKey, until int64) {
	rec, known := reg.streams[str]
	if known && rec.origin.Origin == key.Origin {
		key.stored = key.stored || rec.origin.stored
		if rec.origin.originKey == key && rec.until >= until {
			return
		}
	}
	if known {
		until = max(until, rec.until)
		reg.release(rec.origin)
	}
	reg.streams[str] = record{origin: reg.share(key), until: until}
	if !known || rec.until != until {
		reg.due[until] = append(reg.due[until], str)
	}
}

// share counts one stream more for an origin.
func (reg *Registry) share(key originKey) *sharedOrigin {
	shared := reg.origins[key]
	if shared == nil {
		shared = &sharedOrigin{originKey: key}
		reg.origins[key] = shared
	}
	shared.streams++
	return shared
}

// release counts one stream less for an origin.
func (reg *Registry) release(shared *sharedOrigin) {
	shared.streams--
	if shared.streams == 0 {
		delete(reg.origins, shared.originKey)
	}
}

// Origin returns the origin of a stream, and whether it is known.
func (reg *Registry) Origin(now time.Time, str Stream) (Origin, bool) {
	rec, known := reg.streams[str]
	if !known || now.Unix() >= rec.until {
		return Origin{}, false
	}
	return rec.origin.Origin, true
}

// Expire drops the streams that can't be resumed any more.
func (reg *Registry) Expire(now time.Time) {
	second := now.Unix()
	if second <= reg.expiredTo {
		return
	}
	reg.expiredTo = second
	for due := range reg.due {
		if due <= second {
			reg.drop(due)
		}
	}
}

// drop drops the streams that are due at a second, and returns their number.
func (reg *Registry) drop(due int64) int {
	dropped := 0
	for _, str := range reg.due[due] {
		rec, known := reg.streams[str]
		if !known || rec.until != due {
			continue
		}
		delete(reg.streams, str)
		reg.release(rec.origin)
		dropped++
	}
	delete(reg.due, due)
	return dropped
}

func (reg *Registry) dropSoonest() int {
	dropped := 0
	for dropped == 0 && len(reg.due) > 0 {
		dropped = reg.drop(slices.Min(slices.Collect(maps.Keys(reg.due))))
	}
	return dropped
}

// ForgetStored records that the store may have lost the origin of any stream.
func (reg *Registry) ForgetStored() {
	for str, rec := range reg.streams {
		if rec.origin.stored {
			reg.release(rec.origin)
			reg.streams[str] = record{origin: reg.share(originKey{Origin: rec.origin.Origin}), until: rec.until}
		}
	}
}

// Batches returns all streams, for another registry.
func (reg *Registry) Batches(now time.Time) []Batch {
	return reg.batches(now, func(record) bool { return true })
}

// Unstored returns the streams of the services for which keep returns true that the store may lack.
func (reg *Registry) Unstored(now time.Time, keep func(service string) bool) []Batch {
	wanted := make(map[*sharedOrigin]bool)
	for key, shared := range reg.origins {
		if !key.stored && keep(key.Service) {
			wanted[shared] = true
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	return reg.batches(now, func(rec record) bool { return wanted[rec.origin] })
}

// batches returns the streams for whose records include returns true.
func (reg *Registry) batches(now time.Time, include func(record) bool) []Batch {
	reg.Expire(now)
	var out Outbox
	for str, rec := range reg.streams {
		if include(rec) {
			out.Add(Batch{Origin: rec.origin.Origin, KeepFor: max(time.Second, time.Unix(rec.until, 0).Sub(now)), Streams: []Stream{str}})
		}
	}
	return out.Take()
}

// Outbox collects streams that are to be sent to other hosts. The zero value is empty.
type Outbox struct {
	streams map[outboxKey][]Stream
}

// outboxKey selects the streams that go into one batch: those with the same origin that are kept for the
// same number of seconds.
type outboxKey struct {
	origin  Origin
	seconds time.Duration
}

// Add adds the streams of a batch.
func (out *Outbox) Add(bat Batch) {
	if out.streams == nil {
		out.streams = make(map[outboxKey][]Stream)
	}
	key := outboxKey{origin: bat.Origin, seconds: bat.KeepFor.Round(time.Second)}
	out.streams[key] = append(out.streams[key], bat.Streams...)
}

// Take removes all streams and returns them in batches of at most MaxBatch.
func (out *Outbox) Take() []Batch {
	var batches []Batch
	for key, streams := range out.streams {
		for part := range slices.Chunk(streams, MaxBatch) {
			batches = append(batches, Batch{Origin: key.origin, KeepFor: key.seconds, Streams: part})
		}
	}
	out.streams = nil
	return batches
}

package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/reservation"
)

// What two software versions write doesn't fit together, and engines don't check it: a stream is resumed only
// at the version that began it. If this core doesn't know that version, it resumes the stream only while one
// version alone can have begun it. What this core has seen since its process started isn't enough for that: the record
// in the store names the versions before, and it has to be current.

// applyVersions applies the store's record of versions.
func (cor *Core) applyVersions(now time.Time, evt VersionsRecorded) {
	if evt.Unstored {
		cor.versions.Reduce(now, evt.Record, evt.Era)
	} else {
		cor.versions.Apply(now, evt.Record, evt.Era)
	}
	for _, svc := range cor.services {
		cor.markRecorded(svc)
		cor.serve(now, svc)
	}
}

// markRecorded marks the service's engines at whose version streams may begin by the store's record.
func (cor *Core) markRecorded(svc *service) {
	svc.unrecorded = 0
	for _, ene := range svc.engines {
		ene.recorded = cor.versions.IsOpen(svc.name, ene.Version)
		if !ene.recorded {
			svc.unrecorded++
		}
	}
}

// observeAllVersions records the versions of all services' listed engines.
func (cor *Core) observeAllVersions(now time.Time) {
	for _, svc := range cor.services {
		cor.observeVersions(now, svc)
	}
}

// NextVersions returns the record of versions that the store has to have next in its era, and how it differs from
// Versions. Known is the number of the oldest record that a host may conclude from; 0 if that isn't known.
func (cor *Core) NextVersions(now time.Time, era, known uint64) (affinity.Record, affinity.Change) {
	cor.observeAllVersions(now)
	return cor.versions.Next(now, era, known)
}

// VersionOpensIn returns the time until streams may begin at an announced version even if a host doesn't know of it, and
// whether there is one.
func (cor *Core) VersionOpensIn(now time.Time) (time.Duration, bool) {
	return cor.versions.OpensIn(now)
}

// Versions returns the newest record of versions.
func (cor *Core) Versions() affinity.Record { return cor.versions.Record() }

// LacksVersions reports whether the store's record of versions lacks one of a listed engine, or announces one at which
// streams may begin.
func (cor *Core) LacksVersions(now time.Time) bool {
	cor.observeAllVersions(now)
	return cor.versions.Missing(now)
}

// LoseVersions records that hosts have written a record of versions before that the store hasn't any more.
func (cor *Core) LoseVersions() { cor.versions.LoseRecord() }

// FindOlderVersions records that the store has a record of a lower number than the one that it had before, or of number 0 for
// none that can be read.
func (cor *Core) FindOlderVersions(now time.Time, rec affinity.Record) {
	cor.versions.FindOlder(now, rec)
}

// ObserveVersionsReport records that another host has reported a record of versions of a number.
func (cor *Core) ObserveVersionsReport(number uint64) { cor.versions.ObserveReport(number) }

// AreVersionsLost reports whether the store has lost a record of versions that hosts know.
func (cor *Core) AreVersionsLost() bool { return cor.versions.IsLost() }

// RestoredVersions returns the record of versions that the store has to have if it has a lower one than Versions.
func (cor *Core) RestoredVersions(now time.Time) affinity.Record {
	cor.observeAllVersions(now)
	return cor.versions.Restore(now)
}

// InterruptVersions records that changes of the engines may have been missed until now.
func (cor *Core) InterruptVersions(now time.Time) { cor.versions.Interrupt(now) }

// MustKeepOrigins reports whether the origins of the service's streams have to outlast all hosts.
func (cor *Core) MustKeepOrigins(service string) bool { return cor.versions.MustKeepOrigins(service) }

// observeVersions records the versions of the service's listed engines.
func (cor *Core) observeVersions(now time.Time, svc *service) {
	var versions []string
	for _, ene := range svc.engines {
		if !slices.Contains(versions, ene.Version) {
			versions = append(versions, ene.Version)
		}
	}
	cor.versions.Observe(now, svc.name, versions)
}

// mayBegin reports whether the request may begin a stream that may be resumed, if it does. A host that is alone and hasn't
// heard from the store for long may not: the others take a version out of the record that hasn't been listed for long. Those
// that lead most hosts may, since the others are with them.
func (cor *Core) mayBegin(now time.Time, res reservation.Reserve) bool {
	return res.Stream == 0 || res.Resumed || cor.leads || cor.versions.IsCurrent(now)
}

// OriginBasis is what a core's knowledge of the origin of a resumed stream rests on.
type OriginBasis uint8

// The bases.
const (
	// OriginNotNeeded is that of a request that resumes no stream.
	OriginNotNeeded OriginBasis = iota
	// OriginRecorded means that a record of the stream names its origin.
	OriginRecorded
	// OriginSole means that one version alone can have begun the stream.
	OriginSole
	// OriginUnknown means that several versions can have begun the stream.
	OriginUnknown
	// OriginStale means that one version is known, but the store's record wasn't confirmed recently enough to conclude
	// that there is no other.
	OriginStale
)

// IsKnown reports whether the origin is known.
func (bas OriginBasis) IsKnown() bool { return bas == OriginRecorded || bas == OriginSole }

// String returns the basis's name in the log.
func (bas OriginBasis) String() string {
	return [...]string{"NotNeeded", "Recorded", "Sole", "Unknown", "Stale"}[bas]
}

// originOf returns what began the stream that the reservation resumes, and what that knowledge rests on. A
// reservation that resumes no stream has no origin.
func (cor *Core) originOf(now time.Time, res reservation.Reserve) (affinity.Origin, OriginBasis) {
	if !res.Resumed {
		return affinity.Origin{}, OriginNotNeeded
	}
	if ori := cor.KnownOrigin(now, res); ori.IsKnown() {
		return ori, OriginRecorded
	}
	cor.observeVersions(now, cor.service(res.Service))
	version, sole := cor.versions.Sole(now, res.Service, res.StreamLife)
	switch {
	case !cor.versions.IsCurrent(now):
		return affinity.Origin{Service: res.Service}, OriginStale
	case !sole:
		return affinity.Origin{Service: res.Service}, OriginUnknown
	}
	return affinity.Origin{Service: res.Service, Version: version}, OriginSole
}

// KnownOrigin returns what began the stream that the reservation resumes, as the reservation or this core's
// records say.
func (cor *Core) KnownOrigin(now time.Time, res reservation.Reserve) affinity.Origin {
	if !res.Resumed || res.Origin.IsKnown() {
		return res.Origin
	}
	ori, _ := cor.streams.Origin(now, res.Stream)
	return ori
}

// recordStream records which version began the stream of a run, whose first event has arrived.
func (cor *Core) recordStream(now time.Time, rnn *run) {
	if rnn.stream == 0 {
		return
	}
	bat := affinity.Batch{
		Origin: affinity.Origin{Service: rnn.engine.Service, Version: rnn.engine.Version}, KeepFor: rnn.streamLife, Streams: []affinity.Stream{rnn.stream},
	}
	cor.versions.ObserveLife(bat.KeepFor)
	cor.streams.Record(now, bat)
	cor.begun.Add(bat)
}

// StreamsBegun returns the streams whose first event has arrived since the last call, for other hosts.
func (cor *Core) StreamsBegun() []affinity.Batch { return cor.begun.Take() }

// StreamBatches returns the streams that may be resumed, with their origins, for another host.
func (cor *Core) StreamBatches(now time.Time) []affinity.Batch { return cor.streams.Batches(now) }

// RecordStoredStreams records streams whose origin the store has.
func (cor *Core) RecordStoredStreams(now time.Time, bat affinity.Batch) {
	cor.versions.ObserveLife(bat.KeepFor)
	cor.streams.RecordStored(now, bat)
}

// ForgetStoredStreams records that the store may have lost the origins of streams.
func (cor *Core) ForgetStoredStreams() { cor.streams.ForgetStored() }

// UnstoredStreams returns the streams whose origin has to outlast all hosts, and that the store may lack.
func (cor *Core) UnstoredStreams(now time.Time) []affinity.Batch {
	return cor.streams.Unstored(now, cor.versions.MustKeepOrigins)
}

// StreamCount returns the number of streams that may be resumed.
func (cor *Core) StreamCount() int { return cor.streams.Len() }

// pin limits the request to the engines of a software version, which is known on the basis.
func (wai *waiter) pin(version string, basis OriginBasis) {
	wai.pinned, wai.version, wai.origin = true, version, basis
	wai.scope += "\x00" + version
}

// streamVersion returns the engine's version for a grant to a request that begins or resumes a resumable stream;
// empty for others.
func (ene *engine) streamVersion(res reservation.Reserve) string {
	if res.Stream == 0 && !res.Resumed {
		return ""
	}
	return ene.Version
}

// suits reports whether the engine has the software version that the request is limited to, if any. A stream that may be
// resumed begins only at a version that the store's record names, so that hosts that start later know it.
func (wai *waiter) suits(ene *engine) bool {
	if wai.pinned {
		return ene.Version == wai.version
	}
	return ene.recorded || !wai.needsRecord()
}

// needsRecord reports whether the request begins a stream that may be resumed.
func (wai *waiter) needsRecord() bool { return wai.reserve.Stream != 0 && !wai.pinned }

// serves reports whether any engine of the version takes requests.
func (svc *service) serves(version string) bool {
	return slices.ContainsFunc(svc.engines, func(ene *engine) bool {
		return ene.Version == version && !ene.isDraining() && !ene.stopped && !svc.abandoned[version]
	})
}

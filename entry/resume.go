package entry

import (
	"time"

	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/eventstream"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/reservation"
)

// A stream whose connection broke may be resumed by its client, at any host, or by the host that passes it on.
// It goes on only at the software version of the engine that brought its first event, see package affinity.

// requestedPosition returns where the client asks for the stream. On a route that can't be resumed Last-Event-Id is a header like
// any other: its engine is sent it, and brings the stream that it brings.
func (exc *exchange) requestedPosition() eventstream.Position {
	if !exc.resumedByClient() {
		return eventstream.Beginning{}
	}
	return eventstream.PositionBehind(exc.request.LastEvent)
}

// resumedByClient reports whether the client resumes a stream of an earlier answer.
func (exc *exchange) resumedByClient() bool {
	return exc.route.Resumable && exc.request.LastEvent != ""
}

// firstAttempt returns the id of the client's attempt that brought the first event of the stream: this one,
// unless it resumes a stream.
func (exc *exchange) firstAttempt() string {
	if exc.resumedByClient() {
		return exc.request.Resumes
	}
	return exc.request.ID
}

// isResumption reports whether the next attempt resumes a stream whose events the client has received, in this
// answer or an earlier one.
func (exc *exchange) isResumption() bool {
	return exc.route.Resumable && exc.lastEvent() != ""
}

// lastEvent returns the event behind which the next attempt resumes the stream; empty for none.
func (exc *exchange) lastEvent() eventstream.ID {
	return eventstream.LastEvent(exc.position)
}

// origin returns what began the stream, if this answer has events of it.
func (exc *exchange) origin() affinity.Origin {
	if exc.eventCount == 0 {
		return affinity.Origin{}
	}
	return affinity.Origin{Service: exc.service, Version: exc.streamVersion}
}

// streamLife bounds how long the stream may be resumed from now on, and how long ago it may have begun: clients
// state only how much longer they wait.
func (exc *exchange) streamLife() time.Duration {
	return streamLifeFactor * max(exc.route.Timeout, exc.request.Deadline)
}

// streamLifeFactor is streamLife as a multiple of the route's timeout, or of the client's deadline if that is
// longer.
const streamLifeFactor = 2

// recordOrigin records which software version began the stream, at the first event of this answer. The schedulers that
// know the grant learn it by the first event.
func (exc *exchange) recordOrigin() {
	exc.streamVersion = exc.engineVersion
	if exc.stream != 0 && exc.decidedBy == exc.host.epoch.String() {
		exc.host.broker.reportStream(affinity.Batch{Origin: exc.origin(), KeepFor: exc.streamLife(), Streams: []affinity.Stream{exc.stream}})
	}
}

// isOtherVersion reports whether a granted engine doesn't have the software version that was granted for a resumable
// stream, as a later run of the engine may, or not that of the events which this answer has already. A coordinator that
// names no version, such as one of an earlier release, may grant engines for new streams only.
func (exc *exchange) isOtherVersion(eng fleet.Engine, granted reservation.Grant) bool {
	if ori := exc.origin(); exc.isResumption() && ori.IsKnown() && eng.Version != ori.Version {
		return true
	}
	return eng.Version != granted.Version && (granted.Version != "" || exc.isResumption())
}

// countResumption counts an attempt that resumes a stream at the engine: one of an earlier answer, or the
// one of this answer, which the most recent attempt broke off.
func (exc *exchange) countResumption(eng fleet.Engine) {
	switch {
	case exc.eventCount > 0 && eng.Version != exc.engineVersion:
		exc.host.metrics.count("Streams.ResumedByHost.OtherVersion")
	case exc.eventCount > 0:
		exc.host.metrics.count("Streams.ResumedByHost.SameVersion")
	case exc.resumedByClient():
		exc.host.metrics.count("Streams.ResumedByClient")
	}
}

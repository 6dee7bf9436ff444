package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/upstream"
)

// crashState states whether an engine crashed while it ran a request.
type crashState uint8

const (
	// crashNone means that the attempt gives no sign of a crash.
	crashNone crashState = iota
	// crashUnconfirmed means that the engine ended the connection, which may be due to a crash.
	crashUnconfirmed
	// crashConfirmed means that the engine crashed.
	crashConfirmed
)

// String returns the state's name in the log and in the names of counters.
func (crs crashState) String() string {
	switch crs {
	case crashConfirmed:
		return "Yes"
	case crashUnconfirmed:
		return "InDoubt"
	case crashNone:
		return "No"
	default:
		return "Invalid"
	}
}

const (
	// plannedStopTime is how long an engine that stops as planned serves on at least after its entry shows that it
	// drains.
	plannedStopTime = 2 * time.Second
	// maxStopCopyAge is the age of the host's copy of the store up to which it shows planned stops: a copy that is older
	// than usual may lack that an engine drains.
	maxStopCopyAge = oldCopyAge
)

// showsPlannedStop reports whether this host would know that an engine stops as planned, to which it sent a request at a
// time. An engine that drains says so in the head of each answer.
func (hos *Host) showsPlannedStop(now, sentAt time.Time) bool {
	return hos.snapshotAge(now) <= maxStopCopyAge || now.Sub(sentAt) < plannedStopTime
}

// detectCrash determines whether the engine crashed under an attempt. A crashed engine has closed
// its connections and refuses new ones, whereas after a truncated answer, a reset or a network
// failure it still listens or does not respond. An engine that stops as planned has signaled that
// it is draining, or has been deregistered, before its connections end. A host that may have missed that concludes
// nothing.
func (exc *exchange) detectCrash(ctx context.Context, eng fleet.Engine, att attempt) crashState {
	if att.outcome != outcomeLost || att.cause == causeClientDisconnected || ctx.Err() != nil || !endedByEngine(att) {
		return crashNone
	}
	known, found := exc.host.snapshot.Load().engine(eng.ID)
	_, draining := exc.host.notices.blockingSignal(eng.ID).(fleet.Draining)
	if known.Closed() || draining || !exc.host.showsPlannedStop(exc.host.clock.Now(), att.startedAt) {
		return crashNone
	}
	if !found {
		return exc.crashOfDeregistered(eng)
	}
	if known.ID.Follows(eng.ID) {
		return crashConfirmed
	}
	if exc.probe(ctx, eng, att) == upstream.ProbeRefused {
		return crashConfirmed
	}
	return crashUnconfirmed
}

// endedByEngine reports whether the engine ended the connection of an attempt, as far as is known: not if
// this host has lost its paths to all engines.
func endedByEngine(att attempt) bool {
	var fer *peer.ForwardError
	if errors.As(att.err, &fer) {
		return fer.EndedByEngine
	}
	return !att.pathLost && upstream.EndedByPeer(att.err)
}

// probe reports whether the engine of an attempt still accepts connections, as the host found that sent the
// request to it.
func (exc *exchange) probe(ctx context.Context, eng fleet.Engine, att attempt) upstream.Probe {
	var fer *peer.ForwardError
	if errors.As(att.err, &fer) {
		return fer.Check
	}
	return exc.host.probeEngine(ctx, eng)
}

// crashOfDeregistered determines whether an engine that is no longer registered may have crashed: its
// entry was deleted so shortly before that it can't have been a planned stop.
func (exc *exchange) crashOfDeregistered(eng fleet.Engine) crashState {
	if exc.host.departures.isRecent(exc.host.clock.Now(), eng.ID.Name) {
		return crashUnconfirmed
	}
	return crashNone
}

// reportCrash reports a crash, or an unconfirmed one, to the schedulers before the slot is
// released, so that they don't consider the engine idle.
func (exc *exchange) reportCrash(eng fleet.Engine, att attempt) {
	if att.crash == crashNone {
		return
	}
	exc.host.metrics.count("EngineEnds." + att.crash.String())
	msg := reservation.EngineCrashed{
		ID: att.release.ID, Unconfirmed: att.crash == crashUnconfirmed,
		Observation: quarantine.Observation{
			Subject: quarantine.Subject{Digest: exc.digest, Service: exc.service, Account: exc.account.Name, Route: exc.route.Name},
			Engine:  eng.ID.String(), Began: att.startedAt,
		},
	}
	if !msg.Unconfirmed {
		exc.host.broker.reportEngineCrash(msg)
		return
	}
	msg.Check = quarantine.CheckRunning
	exc.host.broker.reportEngineCrash(msg)
	msg.Check = quarantine.CheckNone
	if !exc.host.crashChecks.add(crashCheck{report: msg, engine: eng, endedAt: time.Now()}) {
		exc.host.broker.reportEngineCrash(msg)
	}
}

// heldProblem returns the final answer for a held request. Its status does not promise that the
// request has not run, since it has, and retryAfter is 0 if retrying never helps.
func heldProblem(ref reservation.Refuse) *problem {
	detail := "the engines that ran this request ended, so it isn't run again; a changed request is another one"
	if ref.RetryAfter > 0 {
		detail = "the engines that ran this request ended, so it isn't run before Retry-After; a changed request is another one"
	}
	return &problem{status: statusHeld, cause: causeHeld, retryAfter: ref.RetryAfter, detail: detail}
}

// reportEngineCrash reports a crash to the host's own scheduler, the coordinator and its next
// candidates, so that the information survives the loss of any of them.
func (bro *broker) reportEngineCrash(msg reservation.EngineCrashed) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.sendToSchedulers(msg)
}

// maxCaseReports bounds the cases that are sent to another host at once: at most a quarter of the
// queue of one session.
const maxCaseReports = 128

// sendCases sends the quarantine cases that this host knows to a host to which a session was
// opened; the mutex must be held.
func (bro *broker) sendCases(to request.Epoch) {
	if to == bro.host.epoch {
		return
	}
	for _, rep := range bro.core.CaseReports(bro.host.clock.Now(), quarantine.LevelWatched, maxCaseReports) {
		bro.send(to, reservation.CaseReport{Report: rep})
	}
}

// sendCasesToGateway sends the suspected and held requests to a gateway that uses this host as
// its coordinator; the mutex must be held.
func (bro *broker) sendCasesToGateway(inb *inbound) {
	for _, rep := range bro.core.CaseReports(bro.host.clock.Now(), quarantine.LevelSuspected, maxCaseReports) {
		inb.send(reservation.CaseReport{Report: rep})
	}
}

// publishQuarantineChanges logs changes of the quarantine and sends them to the gateways that use
// this host as their coordinator, to the coordinator and to its next candidates; the mutex must
// be held.
func (bro *broker) publishQuarantineChanges() {
	changes, sources := bro.core.QuarantineChanges()
	for _, cha := range changes {
		bro.logQuarantineChange(cha)
		bro.publishQuarantineChange(cha)
	}
	for _, src := range sources {
		bro.logTrafficSource(src)
	}
	if len(changes) > 0 {
		bro.requestHeldWrite()
	}
}

func (bro *broker) publishQuarantineChange(cha quarantine.Change) {
	msg := reservation.CaseReport{Report: cha.Report}
	if cha.ConcernsGateways() {
		for _, inb := range bro.inbound {
			if inb.delegated {
				inb.send(msg)
			}
		}
	}
	if cha.ClearedByPeer || !cha.Report.Cleared && !cha.ConcernsGateways() {
		return
	}
	// Evidence against a request is sent too: a coordinator that can't reach the store does not
	// see engines deregister, which confirms a crash. Without this, a poison request crashed eight
	// engines instead of three.
	for epo := range bro.links {
		bro.send(epo, msg)
	}
}

// logQuarantineChange counts a change of the quarantine, and logs the new state of a poison request
// with the engines that crashed under it. A single crash is logged with its attempt only.
func (bro *broker) logQuarantineChange(cha quarantine.Change) {
	bro.host.metrics.count("Quarantine." + cha.Kind.String())
	if cha.Kind == quarantine.KindWatched || len(cha.Case.Crashes) < 2 && !cha.Case.Held {
		return
	}
	var engines []string
	exclusive := false
	for _, crs := range cha.Case.Crashes {
		engines = append(engines, crs.Engine)
		exclusive = crs.Alone
	}
	evt := bro.host.log.Warn().Stringer("Digest", cha.Case.Digest).Stringer("Now", cha.Kind).Str("Service", cha.Case.Service).
		Str("Account", cha.Case.Account).Str("Route", cha.Case.Route).Strs("Engines", engines).Bool("Alone", exclusive).Int("Trials", cha.Case.Trials)
	if cha.Case.IsPart() {
		evt = evt.Str("Part", strconv.FormatUint(cha.Case.Part, 16))
	}
	if cha.Case.Held {
		evt = evt.Bool("ForGood", cha.Case.Until.IsZero()).Dur("Left", cha.Report.Remaining)
	}
	evt.Msg("quarantine state of a poison request changed")
}

func (bro *broker) logTrafficSource(cha scheduler.SourceChange) {
	name := "Quarantine.SourceTrusted"
	if cha.Restricted {
		name = "Quarantine.SourceRestricted"
	}
	bro.host.metrics.count(name)
	bro.host.log.Warn().Str("Service", cha.Source.Service).Str("Account", cha.Source.Account).Str("Route", cha.Source.Route).Bool("Restricted", cha.Restricted).
		Msg("quarantine of a traffic source changed")
}

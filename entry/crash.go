package entry

import (
	"context"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/upstream"
)

// ending says whether an engine ended while it ran a request.
type ending uint8

const (
	// endingNone is an attempt that tells nothing of that.
	endingNone ending = iota
	// endingDoubted is one whose connection ended, without it being plain whether the
	// engine did.
	endingDoubted
	// endingCrashed is one under which the engine ended, unplanned.
	endingCrashed
)

// String returns the ending's name, for the log.
func (end ending) String() string {
	switch end {
	case endingCrashed:
		return "Yes"
	case endingDoubted:
		return "InDoubt"
	case endingNone:
		return "No"
	default:
		return "Invalid"
	}
}

// endingOf judges how an attempt ended. An engine that crashes closes its connections and
// refuses new ones; a broken answer, a reset and a cut link leave it listening, or silent.
// One that leaves as planned has said so, or has taken its entry away, before.
func (exc *exchange) endingOf(ctx context.Context, eng fleet.Engine, att attempt) ending {
	if att.outcome != outcomeLost || att.cause == causeCallerLeft || ctx.Err() != nil || !upstream.EndedByPeer(att.err) {
		return endingNone
	}
	known, found := exc.host.belief.Load().engine(eng.ID)
	_, leaves := exc.host.notices.bar(eng.ID).(fleet.Leaving)
	if !found || known.Closed() || leaves {
		return endingNone
	}
	if known.ID.Follows(eng.ID) {
		return endingCrashed
	}
	if exc.host.upstream.Probe(ctx, upstream.Endpoint{Address: eng.Address, Engine: eng.ID}) == upstream.ProbeRefused {
		return endingCrashed
	}
	return endingDoubted
}

// tellEnding tells those who decide, now or next, of an engine that ended under the
// request, before its place is given back: they must not take it for an idle one.
func (exc *exchange) tellEnding(eng fleet.Engine, att attempt) {
	if att.ending == endingNone {
		return
	}
	exc.host.figures.count("EngineEnds." + att.ending.String())
	exc.host.desk.engineEnded(reservation.EngineEnded{
		ID: att.release.ID, Uncertain: att.ending == endingDoubted,
		Observation: quarantine.Observation{
			Subject: quarantine.Subject{Digest: exc.digest, Service: exc.service, Account: exc.account.Name, Route: exc.route.Name},
			Engine:  eng.ID.String(), Ran: time.Since(att.started),
		},
	})
}

// heldProblem returns the final answer to a request that is held: no status that promises
// that it hasn't run, since it has, and when it is worth coming back, if ever.
func heldProblem(ref reservation.Refuse) *problem {
	detail := "the engines that ran this request ended, so it isn't run again; a changed request is another one"
	if ref.RetryAfter > 0 {
		detail = "the engines that ran this request ended, so it isn't run before Retry-After; a changed request is another one"
	}
	return &problem{status: statusHeld, cause: causeHeld, retryAfter: ref.RetryAfter, detail: detail}
}

// engineEnded tells the own scheduler, the one that decides and the one that would next.
// So what is known outlasts the loss of any of them.
func (des *desk) engineEnded(msg reservation.EngineEnded) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	des.tellDeciders(msg)
}

// maxReports bounds the cases that another host is told of at once: a quarter of what
// waits for one session at most.
const maxReports = 128

// tellCases tells the new coordinator what this host knows against requests; the mutex is
// held.
func (des *desk) tellCases(chosen request.Epoch) {
	if chosen == des.host.epoch {
		return
	}
	for _, rep := range des.core.CaseReports(des.host.clock.Now(), quarantine.LevelWatched, maxReports) {
		des.tell(chosen, reservation.CaseReport{Report: rep})
	}
}

// tellCasesTo tells a gateway that has this host decide of the suspected and held requests;
// the mutex is held.
func (des *desk) tellCasesTo(inb *inbound) {
	for _, rep := range des.core.CaseReports(des.host.clock.Now(), quarantine.LevelSuspected, maxReports) {
		inb.send(reservation.CaseReport{Report: rep})
	}
}

// passChanges logs what has become of requests that end engines, and passes it on: to the
// gateways that have this host decide, and to those who decide; the mutex is held.
func (des *desk) passChanges() {
	changes, sources := des.core.QuarantineChanges()
	for _, cha := range changes {
		des.logChange(cha)
		des.passChange(cha)
	}
	for _, src := range sources {
		des.logSource(src)
	}
	if len(changes) > 0 {
		des.wakeHeld()
	}
}

func (des *desk) passChange(cha quarantine.Change) {
	msg := reservation.CaseReport{Report: cha.Report}
	if cha.Spreads() {
		for _, inb := range des.inbound {
			if inb.appointed {
				inb.send(msg)
			}
		}
	}
	if cha.Heard || !cha.Report.Cleared && !cha.Spreads() {
		return
	}
	// Also what is held against a request: who decides may have lost the store, and with it
	// the sight of entries that go, which settles a doubt. Eight engines ended for three.
	for epo := range des.links {
		des.tell(epo, msg)
	}
}

// logChange writes what has become of a request, and by which engines' ends. That a request
// was part of one end is in the line of its attempt.
func (des *desk) logChange(cha quarantine.Change) {
	des.host.figures.count("Quarantine." + cha.Kind.String())
	if cha.Kind == quarantine.KindWatched || len(cha.Case.Ends) < 2 && !cha.Case.Held {
		return
	}
	var engines []string
	alone := false
	for _, end := range cha.Case.Ends {
		engines = append(engines, end.Engine)
		alone = end.Alone
	}
	evt := des.host.log.Warn().Stringer("Digest", cha.Case.Digest).Stringer("Now", cha.Kind).Str("Service", cha.Case.Service).
		Str("Account", cha.Case.Account).Str("Route", cha.Case.Route).Strs("Engines", engines).Bool("Alone", alone).Int("Trials", cha.Case.Trials)
	if cha.Case.Held {
		evt = evt.Bool("ForGood", cha.Case.Until.IsZero()).Dur("Left", cha.Report.Left)
	}
	evt.Msg("request that ends engines")
}

func (des *desk) logSource(cha scheduler.SourceChange) {
	name := "Quarantine.SourceTrusted"
	if cha.Restricted {
		name = "Quarantine.SourceRestricted"
	}
	des.host.figures.count(name)
	des.host.log.Warn().Str("Service", cha.Source.Service).Str("Account", cha.Source.Account).Str("Route", cha.Source.Route).Bool("Restricted", cha.Restricted).
		Msg("client account whose requests end engines")
}

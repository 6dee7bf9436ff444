package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/reservation"
)

// A part of a prompt may crash each engine that begins to write an answer on it, while no two requests with it are
// alike. The evidence: which parts were in the prompts that a crashed engine was about to answer, and which have been in
// an answer since. Only the core that knows an engine's runs judges; the others get its conclusions.

const (
	// soundAfter is how long after its first event a run shows that its prompt crashes no engine: an engine that
	// crashes as it begins to write has been reported by then.
	soundAfter = 500 * time.Millisecond
	// minAnswersBetween is the number of prompts that must have been answered since a part's first crash for a third one
	// to count.
	minAnswersBetween = 2
	// maxPartCases is the number of parts with a crash from which those that were cleared are forgotten.
	maxPartCases = 4096
	// endMemory is how long the parts at an engine that may have crashed are kept for the result of the check.
	endMemory = 10 * time.Second
)

// partDigests returns the digests of parts of prompts to a service.
func partDigests(service string, parts []call.Part) []call.Digest {
	if len(parts) == 0 {
		return nil
	}
	digests := make([]call.Digest, len(parts))
	for idx, par := range parts {
		digests[idx] = quarantine.PartDigest(service, par.ID)
	}
	return digests
}

// partName returns the id of a part in hexadecimal digits; empty if the subject is a request.
func partName(sub quarantine.Subject) string {
	if !sub.IsPart() {
		return ""
	}
	return strconv.FormatUint(sub.Part, 16)
}

// partState is the state of the worst part of a prompt.
type partState struct {
	digest call.Digest
	level  quarantine.Level
}

// worstPart returns the shared part of the prompt with the highest level.
func (cor *Core) worstPart(now time.Time, res reservation.Reserve) partState {
	var worst partState
	if cor.quarantine.IsEmpty() {
		return worst
	}
	for _, par := range res.SharedParts() {
		dig := quarantine.PartDigest(res.Service, par.ID)
		if level := cor.quarantine.Level(now, dig); level > worst.level {
			worst = partState{digest: dig, level: level}
		}
	}
	return worst
}

// partHandling returns how a request is treated because of the parts of its prompt. A part of a single crash changes
// nothing: sound parts are in many prompts. Of the requests with a suspected part, one runs at a time, exclusively.
func (cor *Core) partHandling(now time.Time, res reservation.Reserve) handling {
	worst := cor.worstPart(now, res)
	switch {
	case worst.level == quarantine.LevelHeld:
		return handleHeld
	case worst.level < quarantine.LevelSuspected:
		return handleNormal
	case cor.exclusiveParts[worst.digest] > 0:
		return handleDeferred
	default:
		return handleExclusive
	}
}

// partHeldRefusal returns the refusal of a request with a held part, and whether it has one.
func (cor *Core) partHeldRefusal(now time.Time, res reservation.Reserve) (reservation.Refuse, bool) {
	worst := cor.worstPart(now, res)
	if worst.level != quarantine.LevelHeld {
		return reservation.Refuse{}, false
	}
	return reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reservation.ReasonPartHeld, RetryAfter: cor.quarantine.HeldFor(now, worst.digest)}, true
}

// countExclusiveParts counts the parts of an exclusive run that begins or ends.
func (cor *Core) countExclusiveParts(rnn *run, change int) {
	for _, dig := range rnn.parts {
		cor.exclusiveParts[dig] += change
		if cor.exclusiveParts[dig] <= 0 {
			delete(cor.exclusiveParts, dig)
		}
	}
}

// recordYoung records that the first event of a run has arrived.
func (cor *Core) recordYoung(now time.Time, rnn *run) {
	rnn.firstEventAt = now
	if len(rnn.parts) > 0 {
		cor.young = append(cor.young, rnn)
	}
}

// settleYoung records the parts of the runs as sound whose first event arrived soundAfter ago.
func (cor *Core) settleYoung(now time.Time) {
	settled := 0
	for settled < len(cor.young) && now.Sub(cor.young[settled].firstEventAt) >= soundAfter {
		if rnn := cor.young[settled]; !rnn.failed && !rnn.engine.crashed {
			cor.recordSound(now, rnn)
		}
		cor.young[settled] = nil
		settled++
	}
	cor.young = cor.young[settled:]
}

// recordSound records that an engine has written an answer on the prompt of a run, so that none of its parts crashes
// engines.
func (cor *Core) recordSound(now time.Time, rnn *run) {
	if len(rnn.parts) == 0 || rnn.sound {
		return
	}
	rnn.sound = true
	cor.service(rnn.engine.Service).answeredPrompts++
	for _, dig := range rnn.parts {
		cor.partHistory.RecordAnswer(dig)
		if cor.quarantine.Crashes(dig) > 0 {
			cor.quarantine.RecordAnswer(now, dig)
		}
	}
}

// isYoung reports whether the run's engine was about to write an answer a moment ago.
func (rnn *run) isYoung(now time.Time) bool {
	return rnn.firstEventAt.IsZero() || now.Sub(rnn.firstEventAt) < soundAfter
}

// hasPartOfCrash reports whether a run that its engine was about to answer has a part that was part of an earlier crash
// and of no answer since.
func (cor *Core) hasPartOfCrash(now time.Time, rnn *run) bool {
	if !rnn.isYoung(now) {
		return false
	}
	for _, dig := range rnn.parts {
		if cor.quarantine.Crashes(dig) > 0 {
			return true
		}
	}
	return false
}

// partsAtEnd are the parts at an engine when its connections ended.
type partsAtEnd struct {
	at    time.Time
	parts []quarantine.Observation
	// judged is set once the crash is recorded against the parts.
	judged bool
}

// keepPartsAtEnd keeps the parts at an engine that may have crashed until that is known: its runs are released before.
func (cor *Core) keepPartsAtEnd(now time.Time, engine string) {
	if kept, known := cor.mayHaveCrashed[engine]; known && !kept.judged && now.Sub(kept.at) < crashHoldOff {
		return
	}
	maps.DeleteFunc(cor.mayHaveCrashed, func(_ string, kept partsAtEnd) bool { return now.Sub(kept.at) > endMemory })
	cor.mayHaveCrashed[engine] = partsAtEnd{at: now, parts: cor.partsAt(now, engine)}
}

// isJudged reports whether the crash of an engine that isn't registered was recorded against its parts: other hosts
// report it too.
func (cor *Core) isJudged(now time.Time, engine string) bool {
	kept, known := cor.mayHaveCrashed[engine]
	return known && kept.judged && now.Sub(kept.at) < crashHoldOff
}

// partsAt returns the parts in the prompts that an engine is about to answer, each once.
func (cor *Core) partsAt(now time.Time, engine string) []quarantine.Observation {
	found := make(map[call.Digest]quarantine.Observation)
	for _, rnn := range cor.runs {
		if rnn.engine.name != engine || !rnn.isYoung(now) || !rnn.isJudgedHere() {
			continue
		}
		for _, dig := range rnn.parts {
			par := found[dig]
			par.Subject, par.Engine = quarantine.PartSubject(rnn.engine.Service, dig.Part()), engine
			par.Exclusive = par.Exclusive || rnn.exclusive
			if rnn.grantedAt.After(par.Began) {
				par.Began = rnn.grantedAt
			}
			found[dig] = par
		}
	}
	return slices.SortedFunc(maps.Values(found), func(one, two quarantine.Observation) int {
		return slices.Compare(one.Digest[:], two.Digest[:])
	})
}

// recordPartsAtCrash records the crash of an engine against the parts that may be its cause.
func (cor *Core) recordPartsAtCrash(now time.Time, service, engine string) {
	kept, known := cor.mayHaveCrashed[engine]
	parts := kept.parts
	if !known || kept.judged {
		parts = cor.partsAt(now, engine)
	}
	cor.mayHaveCrashed[engine] = partsAtEnd{at: now, judged: true}
	held := false
	for _, par := range cor.withMostCrashes(cor.partHistory.Suspects(parts)) {
		if !cor.isFurtherEvidence(par) {
			continue
		}
		cor.quarantine.RecordCrash(now, par)
		held = held || cor.quarantine.Level(now, par.Digest) == quarantine.LevelHeld
	}
	if held {
		cor.forgetSources(service)
	}
}

// mergeReport applies another host's report of a case. A held part explains crashes that count against sources here.
func (cor *Core) mergeReport(now time.Time, rep quarantine.Report) {
	cor.quarantine.Merge(now, rep)
	if rep.IsPart() && rep.Held && !rep.Cleared {
		cor.forgetSources(rep.Service)
	}
}

// forgetSources drops the evidence against the traffic sources of a service.
func (cor *Core) forgetSources(service string) {
	for _, src := range cor.quarantine.ForgetSources(service) {
		cor.sourceChanges = append(cor.sourceChanges, SourceChange{Source: src})
	}
}

// withMostCrashes returns the parts that were part of the most crashes: one that explains earlier crashes as well is a
// likelier cause than one that is new.
func (cor *Core) withMostCrashes(parts []quarantine.Observation) []quarantine.Observation {
	most := 0
	for _, par := range parts {
		most = max(most, cor.quarantine.Crashes(par.Digest))
	}
	return slices.DeleteFunc(parts, func(par quarantine.Observation) bool { return cor.quarantine.Crashes(par.Digest) < most })
}

// isFurtherEvidence reports whether a crash counts against a part. The first one does. A later one does only if a request
// with the part was granted after the previous crash was known, since engines that crash at the same time may have another
// cause in common. The part of two crashes is suspected; a third one counts only if prompts without the part were answered
// since the first, since otherwise the service may answer nothing at all. An answer to a prompt with the part would have
// cleared it.
func (cor *Core) isFurtherEvidence(par quarantine.Observation) bool {
	answered := cor.service(par.Service).answeredPrompts
	crashes := cor.quarantine.Crashes(par.Digest)
	if crashes == 0 {
		if len(cor.answeredAtCrash) >= maxPartCases {
			maps.DeleteFunc(cor.answeredAtCrash, func(dig call.Digest, _ uint64) bool { return cor.quarantine.Crashes(dig) == 0 })
		}
		cor.answeredAtCrash[par.Digest] = answered
		return true
	}
	contrasted := answered >= cor.answeredAtCrash[par.Digest]+minAnswersBetween
	return par.Began.After(cor.quarantine.LastCrash(par.Digest)) && (crashes == 1 || contrasted)
}

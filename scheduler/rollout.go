package scheduler

import (
	"time"

	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/rollout"
)

// RolloutsChanged carries the stored state of all roll-outs.
type RolloutsChanged struct{ States []rollout.StoredState }

// RolloutRecorded reports that a write of a roll-out was stored, with the resulting revision of
// its key.
type RolloutRecorded struct {
	Write    rollout.Write
	Revision uint64
}

func (RolloutsChanged) isEvent() {}
func (RolloutRecorded) isEvent() {}

// applyRollouts applies the stored states. A version whose roll-out is replaced by another
// order before it was known to be healthy gets no further requests.
func (cor *Core) applyRollouts(now time.Time, states []rollout.StoredState) {
	for _, sta := range states {
		svc := cor.service(sta.Order.Service)
		if svc.rollout != nil && sta.Order.Revision <= svc.rollout.Order().Revision {
			svc.rollout.ApplyStored(sta)
			svc.stopOldVersion()
			continue
		}
		if previous := svc.rollout; previous != nil && previous.State() != rollout.StateCompleted {
			svc.abandoned[previous.Order().Version] = true
		}
		delete(svc.abandoned, sta.Order.Version)
		svc.rollout = rollout.New(cor.cfg.Rollouts, sta)
		// A core that starts after the completion knows no engines from before it.
		svc.oldVersionStopped = svc.rollout.State() == rollout.StateCompleted
	}
	for _, svc := range cor.services {
		cor.serve(now, svc)
	}
}

func (cor *Core) recordRollout(rec RolloutRecorded) {
	if svc := cor.services[rec.Write.Service]; svc != nil && svc.rollout != nil {
		svc.rollout.ConfirmWrite(rec.Write, rec.Revision)
	}
}

// stopOldVersion marks the engines of the old version as stopped once the roll-out has completed:
// they stop at once, while their entries stay registered for seconds. Engines that start later
// are not affected, whatever their version.
func (svc *service) stopOldVersion() {
	if svc.rollout.State() != rollout.StateCompleted || svc.oldVersionStopped {
		return
	}
	svc.oldVersionStopped = true
	for _, ene := range svc.engines {
		ene.stopped = !svc.runsNewVersion(ene)
	}
}

// RolloutWrites advances the roll-outs and returns the writes to the store. Only the core that
// schedules for all hosts may call it.
func (cor *Core) RolloutWrites(now time.Time) []rollout.Write {
	var writes []rollout.Write
	for _, svc := range cor.services {
		if svc.rollout != nil {
			writes = append(writes, svc.rollout.Advance(now, svc.rolloutFleet())...)
			svc.stopOldVersion()
		}
	}
	return writes
}

// RolloutsPending reports whether any roll-out still has to be decided or published.
func (cor *Core) RolloutsPending() bool {
	for _, svc := range cor.services {
		if svc.rollout != nil && !svc.rollout.IsOver() {
			return true
		}
	}
	return false
}

// runsNewVersion reports whether the engine runs the version of the service's latest roll-out.
func (svc *service) runsNewVersion(ene *engine) bool {
	return svc.rollout != nil && ene.Version == svc.rollout.Order().Version
}

// hasActiveRollout reports whether the service has an undecided roll-out.
func (svc *service) hasActiveRollout() bool {
	return svc.rollout != nil && !svc.rollout.State().IsFinal()
}

// rolloutFleet returns the counts of slots and runs that decisions on the roll-out are based on.
func (svc *service) rolloutFleet() rollout.Fleet {
	var fle rollout.Fleet
	for _, ene := range svc.engines {
		switch {
		case svc.runsNewVersion(ene) && !ene.isDraining():
			fle.NewSlots += ene.Slots
		case !svc.runsNewVersion(ene):
			if !ene.isDraining() {
				fle.OldSlots += ene.Slots
			}
			fle.Running += len(ene.running)
			for _, rnn := range ene.running {
				if !rnn.repeatable {
					fle.Pinned++
				}
			}
		}
	}
	return fle
}

// access is the set of a service's engines that a request may run on, according to its roll-out.
type access struct {
	service *service
	// restricted is set if the service has had a roll-out; otherwise all engines are allowed.
	restricted bool
	rollout.Access
	// canary is the only engine of an unconfirmed version that may be granted the request; nil
	// for none.
	canary *engine
}

// access returns the engines that a request may run on. Canary requests go to as few engines as
// can serve them under the usual load: some versions fail only under load, and a share of a
// tenth, spread over as many new engines as there are old ones, would never load one.
func (svc *service) access(now time.Time, res reservation.Reserve) access {
	if svc.rollout == nil {
		return access{}
	}
	acc := access{service: svc, restricted: true}
	acc.Access = svc.rollout.Access(now, rollout.Request{Route: res.Route, Repeatable: res.Repeatable, Repeated: res.Attempt > 0})
	if !acc.New || !acc.Old || !svc.hasActiveRollout() {
		return acc
	}
	acc.New = false
	typical := svc.typicalLoad()
	for _, ene := range svc.engines {
		if svc.runsNewVersion(ene) && !ene.isBlocked(now) && len(ene.running) < typical && ene.hasCapacity(now) {
			acc.canary = ene
			break
		}
	}
	return acc
}

// allows reports whether a request may run on the engine, if access is restricted.
func (acc access) allows(ene *engine) bool {
	switch {
	case ene.stopped || acc.service.abandoned[ene.Version]:
		return false
	case acc.service.runsNewVersion(ene):
		return acc.New || ene == acc.canary
	default:
		return acc.Old
	}
}

// typicalLoad returns the mean number of running requests of an engine of the old version, at
// least 1.
func (svc *service) typicalLoad() int {
	engines, running := 0, 0
	for _, ene := range svc.engines {
		if !svc.runsNewVersion(ene) && !ene.isDraining() {
			engines++
			running += len(ene.running)
		}
	}
	return max(1, running/max(1, engines))
}

// recordGrant records a grant for the service's roll-out. The run must not have been added to the
// engine yet.
func (svc *service) recordGrant(rnn *run, res reservation.Reserve) {
	rnn.route, rnn.repeatable = res.Route, res.Repeatable
	if svc.rollout == nil {
		return
	}
	rnn.loaded = svc.hasActiveRollout() && len(rnn.engine.running)+1 >= svc.typicalLoad()
	svc.rollout.RecordGrant(svc.runsNewVersion(rnn.engine))
}

// recordAnswer records the result of a run for the service's roll-out.
func (svc *service) recordAnswer(now time.Time, rnn *run, rel reservation.Release) {
	// The result of a suspect request says nothing about the version of its engine.
	if !svc.hasActiveRollout() || rnn.route == "" || !rel.Dispatched || rel.Rejected || rel.Throttled || rnn.exclusive || rnn.restricted || rnn.watched {
		return
	}
	ans := rollout.Answer{
		Route: rnn.route, New: svc.runsNewVersion(rnn.engine), Failed: rel.Failed, Loaded: rnn.loaded,
		Canceled: rel.Total == 0, Elapsed: rel.Total, Expected: svc.referenceTime(rnn, rel.DecodeTokens),
	}
	if ans.Canceled {
		ans.Elapsed = now.Sub(rnn.grantedAt)
	}
	svc.rollout.RecordAnswer(now, ans)
}

// referenceTime returns how long an engine of reference speed takes for the answer or, for a
// request without a prompt, the mean service time of the engines of the old version.
func (svc *service) referenceTime(rnn *run, events int) time.Duration {
	if rnn.tokens > 0 {
		reference := svc.pace.NewEngine(pace.Profile{})
		return reference.Overhead() + reference.PrefillTime(rnn.tokens) + time.Duration(max(0, events-1))*reference.Event()
	}
	engines, total := 0, time.Duration(0)
	for _, ene := range svc.engines {
		if !svc.runsNewVersion(ene) {
			engines++
			total += ene.serviceTime
		}
	}
	return total / time.Duration(max(1, engines))
}

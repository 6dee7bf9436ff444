package scheduler

import (
	"time"

	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/rollout"
)

// RolloutsChanged brings what the store holds of all roll-outs.
type RolloutsChanged struct{ Standings []rollout.Standing }

// RolloutRecorded says that a write of a roll-out was done, and the key's revision since.
type RolloutRecorded struct {
	Write    rollout.Write
	Revision uint64
}

func (RolloutsChanged) isEvent() {}
func (RolloutRecorded) isEvent() {}

// changeRollouts takes what the store holds now. A version whose roll-out was followed by
// another order before it was known to be good gets nothing more.
func (cor *Core) changeRollouts(now time.Time, standings []rollout.Standing) {
	for _, std := range standings {
		svc := cor.service(std.Order.Service)
		if svc.rollout != nil && std.Order.Revision <= svc.rollout.Order().Revision {
			svc.rollout.Adopt(std)
			svc.stopFormer()
			continue
		}
		if former := svc.rollout; former != nil && former.State() != rollout.StateCompleted {
			svc.distrusted[former.Order().Version] = true
		}
		delete(svc.distrusted, std.Order.Version)
		svc.rollout = rollout.New(cor.cfg.Rollouts, std)
		// Whoever starts when it is over knows no engine from before.
		svc.moved = svc.rollout.State() == rollout.StateCompleted
	}
	for _, svc := range cor.services {
		cor.serve(now, svc)
	}
}

func (cor *Core) recordRollout(rec RolloutRecorded) {
	if svc := cor.services[rec.Write.Service]; svc != nil && svc.rollout != nil {
		svc.rollout.Recorded(rec.Write, rec.Revision)
	}
}

// stopFormer takes the former engines for stopped once the roll-out is seen to be
// completed: they stop at once, and their entries outlast them by seconds. Engines that
// come later, of whatever version, aren't concerned.
func (svc *service) stopFormer() {
	if svc.rollout.State() != rollout.StateCompleted || svc.moved {
		return
	}
	svc.moved = true
	for _, ene := range svc.engines {
		ene.stopped = !svc.isNew(ene)
	}
}

// RolloutWrites decides on the roll-outs as the one scheduler in charge of all hosts, and
// returns what is to be written to the store.
func (cor *Core) RolloutWrites(now time.Time) []rollout.Write {
	var writes []rollout.Write
	for _, svc := range cor.services {
		if svc.rollout != nil {
			writes = append(writes, svc.rollout.Writes(now, svc.fleet())...)
			svc.stopFormer()
		}
	}
	return writes
}

// RolloutsOpen reports whether any roll-out still has to be decided or told.
func (cor *Core) RolloutsOpen() bool {
	for _, svc := range cor.services {
		if svc.rollout != nil && !svc.rollout.IsOver() {
			return true
		}
	}
	return false
}

// isNew reports whether the engine is of the version that the service moves to.
func (svc *service) isNew(ene *engine) bool {
	return svc.rollout != nil && ene.Version == svc.rollout.Order().Version
}

// isRolling reports whether the service has a roll-out that isn't decided.
func (svc *service) isRolling() bool {
	return svc.rollout != nil && !svc.rollout.State().IsEnd()
}

// fleet returns what a roll-out decides by.
func (svc *service) fleet() rollout.Fleet {
	var fle rollout.Fleet
	for _, ene := range svc.engines {
		switch {
		case svc.isNew(ene) && !ene.leaving():
			fle.NewSlots += ene.Slots
		case !svc.isNew(ene):
			if !ene.leaving() {
				fle.FormerSlots += ene.Slots
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

// access is to which engines of a service a request may go.
type access struct {
	service *service
	// restricted says that a roll-out was ever ordered; without one all engines are open.
	restricted bool
	rollout.Access
	// trial is the one engine of a version that isn't known to be good which is tried, nil
	// for none; all others of it get nothing.
	trial *engine
}

// access returns to which engines a request may go. A trial is given to as few engines as
// bear it under the usual load: some versions are bad only then, and a share of a tenth
// over as many new engines as there are former ones would never load one.
func (svc *service) access(now time.Time, res reservation.Reserve) access {
	if svc.rollout == nil {
		return access{}
	}
	acc := access{service: svc, restricted: true}
	acc.Access = svc.rollout.Access(now, rollout.Request{Route: res.Route, Repeatable: res.Repeatable, Repeated: res.Attempt > 0})
	if !acc.New || !acc.Former || !svc.isRolling() {
		return acc
	}
	acc.New = false
	usual := svc.usualLoad()
	for _, ene := range svc.engines {
		if svc.isNew(ene) && !ene.silenced(now) && len(ene.running) < usual && ene.hasRoom(now) {
			acc.trial = ene
			break
		}
	}
	return acc
}

// allows reports whether a request may go to the engine, where access is restricted.
func (acc access) allows(ene *engine) bool {
	switch {
	case ene.stopped || acc.service.distrusted[ene.Version]:
		return false
	case acc.service.isNew(ene):
		return acc.New || ene == acc.trial
	default:
		return acc.Former
	}
}

// usualLoad returns how many requests a former engine runs, at least one.
func (svc *service) usualLoad() int {
	engines, running := 0, 0
	for _, ene := range svc.engines {
		if !svc.isNew(ene) && !ene.leaving() {
			engines++
			running += len(ene.running)
		}
	}
	return max(1, running/max(1, engines))
}

// noteGiven notes a grant for the service's roll-out; the run isn't counted at its engine
// yet.
func (svc *service) noteGiven(rnn *run, res reservation.Reserve) {
	rnn.route, rnn.repeatable = res.Route, res.Repeatable
	if svc.rollout == nil {
		return
	}
	rnn.loaded = svc.isRolling() && len(rnn.engine.running)+1 >= svc.usualLoad()
	svc.rollout.Given(svc.isNew(rnn.engine))
}

// noteAnswered notes what came of a run for the service's roll-out.
func (svc *service) noteAnswered(now time.Time, rnn *run, rel reservation.Release) {
	// What becomes of a suspected request tells nothing of its engine's version.
	if !svc.isRolling() || rnn.route == "" || !rel.Dispatched || rel.Rejected || rel.BackedOff || rnn.alone || rnn.guarded || rnn.watched {
		return
	}
	ans := rollout.Answer{
		Route: rnn.route, New: svc.isNew(rnn.engine), Failed: rel.Failed, Loaded: rnn.loaded,
		Unfinished: rel.Total == 0, Took: rel.Total, Expected: svc.usualTime(rnn, rel.DecodeTokens),
	}
	if ans.Unfinished {
		ans.Took = now.Sub(rnn.given)
	}
	svc.rollout.Answered(now, ans)
}

// usualTime returns how long an answer takes an engine of usual speed.
func (svc *service) usualTime(rnn *run, events int) time.Duration {
	if rnn.tokens > 0 {
		usual := svc.pace.NewEngine(pace.Profile{})
		return usual.Overhead() + usual.ReadTime(rnn.tokens) + time.Duration(max(0, events-1))*usual.Event()
	}
	engines, work := 0, time.Duration(0)
	for _, ene := range svc.engines {
		if !svc.isNew(ene) {
			engines++
			work += ene.work
		}
	}
	return work / time.Duration(max(1, engines))
}

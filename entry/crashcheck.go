package entry

import (
	"context"
	"maps"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/upstream"
)

const (
	// crashCheckDelay is the time from the end of a connection to the check whether its engine lives. A
	// process that is ending may accept connections for some more milliseconds.
	crashCheckDelay = 250 * time.Millisecond
	// maxCrashCheckAge is the age up to which a check shows that an engine crashed: one that stops as
	// planned serves on for two seconds after its entry shows that.
	maxCrashCheckAge = time.Second
	// maxCrashChecks bounds the checks that are due. Further crashes are confirmed by the list of engines
	// only.
	maxCrashChecks = 256
)

// crashCheck is the check of an engine that has ended a connection and may have crashed.
type crashCheck struct {
	report  reservation.EngineCrashed
	engine  fleet.Engine
	endedAt time.Time
}

// crashChecks checks whether engines live that have ended a connection. An engine may end one answer and
// live on, and later be deregistered as planned: without the check that counted as a crash.
type crashChecks struct {
	host *Host
	due  chan crashCheck
	// aliveAt is when each engine was found alive most recently. Only run uses it.
	aliveAt map[fleet.EngineID]time.Time
}

func newCrashChecks(hos *Host) *crashChecks {
	return &crashChecks{host: hos, due: make(chan crashCheck, maxCrashChecks), aliveAt: make(map[fleet.EngineID]time.Time)}
}

// add schedules a check, and reports false if too many are due.
func (che *crashChecks) add(chk crashCheck) bool {
	select {
	case che.due <- chk:
		return true
	default:
		che.host.metrics.count("EngineChecks.Dropped")
		return false
	}
}

// run makes the checks, each crashCheckDelay after its connection has ended, until the context ends.
func (che *crashChecks) run(ctx context.Context) error {
	for {
		select {
		case chk := <-che.due:
			task.Sleep(ctx, crashCheckDelay-time.Since(chk.endedAt))
			if ctx.Err() == nil {
				che.check(ctx, chk)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// check checks an engine and reports the result to the schedulers that were told of the possible crash.
func (che *crashChecks) check(ctx context.Context, chk crashCheck) {
	result := che.probe(ctx, chk)
	age := time.Since(chk.endedAt)
	che.host.metrics.count("EngineChecks." + result.String())
	che.host.log.Info().Str("Request", chk.report.ID.Unique).Stringer("Digest", chk.report.Digest).Stringer("Engine", chk.engine.ID).Stringer("Address", chk.engine.Address).
		Stringer("Result", result).Dur("Age", age).Msg("engine checked after it ended a connection")
	msg := chk.report
	switch {
	case result == upstream.ProbeListens:
		msg.Check = quarantine.CheckAlive
	case result == upstream.ProbeRefused && age <= maxCrashCheckAge && !che.isStopping(chk):
		msg.Unconfirmed = false
	}
	che.host.broker.reportEngineCrash(msg)
}

// probe reports whether the engine's address accepts connections. An engine that did so for an earlier
// check that was made late enough isn't probed again: a reset of the network ends many connections at once.
func (che *crashChecks) probe(ctx context.Context, chk crashCheck) upstream.Probe {
	if at, known := che.aliveAt[chk.engine.ID]; known && at.Sub(chk.endedAt) >= crashCheckDelay {
		return upstream.ProbeListens
	}
	now := time.Now()
	result := che.host.probeEngine(ctx, chk.engine)
	if result == upstream.ProbeListens {
		maps.DeleteFunc(che.aliveAt, func(_ fleet.EngineID, at time.Time) bool { return now.Sub(at) > maxCrashCheckAge })
		che.aliveAt[chk.engine.ID] = now
	}
	return result
}

// isStopping reports whether the engine stops as planned, as far as this host can know.
func (che *crashChecks) isStopping(chk crashCheck) bool {
	known, _ := che.host.snapshot.Load().engine(chk.engine.ID)
	_, draining := che.host.notices.blockingSignal(chk.engine.ID).(fleet.Draining)
	return known.Closed() || draining || !che.host.showsPlannedStop(che.host.clock.Now(), chk.report.Began)
}

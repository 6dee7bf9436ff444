package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/intake"
	"lynxwell.dev/lynxwell/mirror"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/reconcile"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/task"
)

const (
	// batchInterval is how long further changes are collected after some have arrived: each read is
	// a call, and it is enough that changes take effect within seconds.
	batchInterval = 100 * time.Millisecond
	// startupBatchInterval is the same during mirror.StartupPeriod after the host's start: hosts that
	// start together each use their own scheduler until they know one another, which costs more than
	// the calls that a longer interval saves.
	startupBatchInterval = 50 * time.Millisecond
	// oldCopyAge is the age from which a copy of the store is logged as old. The copy of a host that reads
	// the store by itself has up to twice the time of a watch, 2.8 s, when the next one is answered.
	oldCopyAge = 3 * time.Second
)

// storeWatcher reads the store and maintains the host's snapshot of it.
type storeWatcher struct {
	host      *Host
	directory *fleet.Directory
	table     *route.Table
	revision  store.Revision
	// needsFullRead is set until all keys have been read, and again once the store has compacted the
	// changes after revision.
	needsFullRead bool
	// invalidValues records the keys whose values can't be used.
	invalidValues *invalidValues
	// unrecognized records the keys and configuration fields that are not recognized.
	unrecognized *unrecognizedKeys
	// rollouts is the stored state of roll-outs.
	rollouts rollouts
	// evacuations is the stored state of evacuations by failure domain. evacuationsChanged is set
	// while it has unpublished changes. withdrawnDomains are the domains whose order was
	// withdrawn since the last publication, and loggedOrders are the orders that were logged because
	// their domain is unknown.
	evacuations        map[string]evacuation.StoredState
	evacuationsChanged bool
	withdrawnDomains   []string
	loggedOrders       map[evacuation.Order]bool
	// knowledge is what has been read of the store. restoredAt is when a restoration of the store was last
	// noticed, and rereadAt when all keys are read once more after it; both are zero before the first.
	knowledge  *reconcile.Knowledge
	restoredAt time.Time
	rereadAt   time.Time
	// hostChanges collects what the update that is being applied changes in the list of hosts.
	hostChanges memberChanges
	// applying is the update that is being applied.
	applying update
	// intake bounds what is kept of the store.
	intake *intake.Intake
	// leftOut is how many values the store had left out of its lists at the last update.
	leftOut int
	// reader decides from where the store is read, and source names the present source.
	reader *mirror.Reader
	source string
}

func newStoreWatcher(hos *Host) *storeWatcher {
	return &storeWatcher{
		host: hos, directory: fleet.NewDirectory(), needsFullRead: true,
		reader:        mirror.NewReader(mirror.Config{Self: hos.member(), Started: hos.started, Jitter: rand.N[time.Duration]}),
		invalidValues: newInvalidValues(hos.log, hos.metrics.invalidValues), unrecognized: newUnrecognizedKeys(hos),
		intake:      platform.NewIntake(),
		knowledge:   reconcile.NewKnowledge(),
		evacuations: make(map[string]evacuation.StoredState), loggedOrders: make(map[evacuation.Order]bool),
	}
}

// watchStore reads the store until the context ends.
func (hos *Host) watchStore(ctx context.Context) error {
	wat := newStoreWatcher(hos)
	for ctx.Err() == nil {
		wat.step(ctx)
	}
	return ctx.Err()
}

// applyAndBatch applies an update and, if it has changes, waits for further ones.
func (wat *storeWatcher) applyAndBatch(ctx context.Context, upd update) {
	wat.apply(upd)
	wat.rereadIfDue()
	if len(upd.changes.Changes) > 0 && !upd.complete {
		task.Sleep(ctx, wat.batchDelay(wat.host.clock.Now()))
	}
}

// batchDelay returns how long further changes are collected.
func (wat *storeWatcher) batchDelay(now time.Time) time.Duration {
	if now.Sub(wat.host.started) < mirror.StartupPeriod {
		return startupBatchInterval
	}
	return batchInterval
}

// apply applies an update and publishes the resulting snapshot.
func (wat *storeWatcher) apply(upd update) {
	wat.needsFullRead = false
	wat.applying = upd
	upd = wat.admit(upd)
	wat.observeAge(upd)
	if upd.complete {
		upd.values = wat.reconcile(upd.values, upd.changes.Revision)
		wat.replace(upd.values, upd.changes.Revision)
		wat.host.mirror.Replace(upd.values, max(wat.revision, upd.changes.Revision), upd.confirmed)
	} else {
		wat.hostChanges = memberChanges{}
		for _, cha := range wat.host.mirror.Apply(upd.changes, upd.confirmed) {
			wat.recordChange(cha)
			wat.applyChange(cha)
		}
		wat.hostChanges.log(wat.host.log, upd.changes.Revision)
	}
	wat.revision = max(wat.revision, upd.changes.Revision)
	settled := wat.directory.DropMissing(wat.host.clock.Now())
	if upd.complete || settled || slices.ContainsFunc(upd.changes.Changes, concernsSnapshot) {
		wat.publish()
	}
	wat.host.confirm(upd.confirmed)
	wat.confirmVersions(upd.confirmed)
	wat.host.storeReadOnce.Do(func() { close(wat.host.storeRead) })
	wat.host.markConfigured()
}

// admit returns what is kept of an update.
func (wat *storeWatcher) admit(upd update) update {
	if upd.complete {
		wat.intake = platform.NewIntake()
	}
	before := wat.intake.LeftOut()
	if upd.complete {
		upd.values = wat.admitValues(upd.values)
	} else {
		upd.changes.Changes = wat.admitChanges(upd.changes.Changes)
	}
	if leftOut := wat.intake.LeftOut() - before + wat.takeLeftOut(); leftOut > 0 {
		wat.host.metrics.add("StoreValuesLeftOut", leftOut)
		wat.host.log.Warn().Int("LeftOut", leftOut).Uint64("Revision", upd.changes.Revision.Number()).Msg("values in the store left out, there are too many")
	}
	wat.needsFullRead = wat.intake.TakeRoom()
	return upd
}

// takeLeftOut returns how many values the store has left out of its lists since the last call.
func (wat *storeWatcher) takeLeftOut() int {
	src, known := wat.host.cfg.Store.(store.LeftOutSource)
	if !known {
		return 0
	}
	former := wat.leftOut
	wat.leftOut = src.LeftOut()
	return wat.leftOut - former
}

func (wat *storeWatcher) admitValues(values []store.Value) []store.Value {
	admitted := make([]store.Value, 0, len(values))
	for _, val := range values {
		if kept, found := wat.intake.Admit(val); found {
			admitted = append(admitted, kept)
		}
	}
	return admitted
}

func (wat *storeWatcher) admitChanges(changes []store.Change) []store.Change {
	admitted := make([]store.Change, 0, len(changes))
	for _, cha := range changes {
		if cha.Deleted {
			wat.intake.Remove(cha.Key)
			admitted = append(admitted, cha)
			continue
		}
		if kept, found := wat.intake.Admit(cha.Value); found {
			admitted = append(admitted, store.Change{Value: kept})
		}
	}
	return admitted
}

// concernsSnapshot reports whether a change may concern more than the origins of streams, which come in series.
func concernsSnapshot(cha store.Change) bool {
	kind, _ := platform.ParseKey(cha.Key)
	return kind != platform.KeyOrigins
}

// observeAge records how old the copy was when an update arrived: how long it has been certain until
// then that the host lacks no change.
func (wat *storeWatcher) observeAge(upd update) {
	hos := wat.host
	if upd.confirmed.IsZero() || hos.confirmed.Load() == neverConfirmed {
		return
	}
	age := hos.snapshotAge(hos.clock.Now())
	hos.metrics.observe("Configuration.Age", age)
	if age > oldCopyAge {
		hos.metrics.count("Configuration.Old")
		hos.log.Warn().Dur("Age", age).Dur("AgeOfUpdate", hos.clock.Since(upd.confirmed)).Str("Through", upd.relay).Bool("Whole", upd.complete).
			Int("Changes", len(upd.changes.Changes)).Uint64("Revision", upd.changes.Revision.Number()).Msg("copy of the store was old")
	}
}

// storeFailed records that a call to the store failed.
func (wat *storeWatcher) storeFailed(now time.Time, sit mirror.Situation, err error) {
	if wat.reader.LostSince().IsZero() {
		wat.host.log.Warn().Err(err).Uint64("Revision", wat.revision.Number()).Dur("Age", wat.host.snapshotAge(now)).Msg("store unreachable")
	}
	wat.host.metrics.storeFailures.Inc(1)
	if !wat.reader.ServesOthers(now) {
		wat.directory.HoldRemovals(now.Add(mirror.ExpiryHold))
	}
	var fail mirror.Failure
	var rate *store.RateError
	if errors.As(err, &rate) {
		fail.RetryAfter = rate.RetryAfter
	}
	wat.reader.StoreFailed(now, sit, fail)
}

// recoverAfter records a successful read, and handles the end of an outage that it shows.
func (wat *storeWatcher) recoverAfter(now time.Time, record func()) {
	lostSince, served := wat.reader.LostSince(), wat.reader.ServesOthers(now)
	record()
	if lostSince.IsZero() || !wat.reader.LostSince().IsZero() {
		return
	}
	wat.host.log.Info().Dur("After", now.Sub(lostSince)).Str("Source", wat.source).Uint64("Revision", wat.revision.Number()).Uint64("Era", uint64(wat.host.storeEra())).Msg("store reachable again")
	wat.host.renewLeaseWithOthers()
	if !served {
		wat.directory.HoldRemovals(now.Add(mirror.ExpiryHold))
	}
}

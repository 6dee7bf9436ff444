package entry

import (
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/scheduler"
)

// publish makes the state of the store watcher the host's snapshot, and passes the changes on to the
// evacuations, the host's scheduler and the membership.
func (wat *storeWatcher) publish() {
	wat.publishEvacuations(wat.host.clock.Now(), wat.table)
	engines := wat.directory.Engines()
	wat.markEvacuated(engines)
	snp := &snapshot{table: wat.table, engines: make(map[string]fleet.Engine, len(engines)), members: wat.directory.Members()}
	for _, eng := range engines {
		snp.engines[eng.ID.Name] = eng
	}
	wat.updateGauges(snp)
	prev := wat.host.snapshot.Swap(snp)
	wat.abortEarlierRuns(prev, engines)
	if snp.table != nil && prev.table != snp.table {
		wat.host.broker.handle(scheduler.ConfigurationChanged{Table: snp.table})
	}
	wat.publishRollouts()
	wat.host.broker.handle(scheduler.EnginesChanged{Engines: engines})
	wake(wat.host.broker.origins.wakeVersions)
	mbs := membership{members: snp.members, candidates: snp.members, unregistered: wat.directory.IsMissing(wat.host.set.Name)}
	if mbs.unregistered {
		mbs.candidates = wat.directory.RegisteredMembers()
	}
	wat.host.broker.updateMembership(mbs)
}

// abortEarlierRuns aborts the calls that still wait for earlier runs of restarted engines.
func (wat *storeWatcher) abortEarlierRuns(prev *snapshot, engines []fleet.Engine) {
	for _, eng := range engines {
		if known, found := prev.engines[eng.ID.Name]; eng.ID.StartTime.IsZero() || found && known.ID == eng.ID {
			continue
		}
		wat.host.upstream.AbortEarlierRuns(eng.ID)
	}
}

// updateGauges updates the metrics of the snapshot.
func (wat *storeWatcher) updateGauges(snp *snapshot) {
	ready := int64(0)
	for _, eng := range snp.engines {
		if !eng.Closed() {
			ready++
		}
	}
	wat.host.metrics.engines.Update(ready)
	wat.host.metrics.members.Update(int64(len(snp.members)))
	if snp.table != nil {
		wat.host.metrics.version.Update(int64(snp.table.Version()))
	}
}

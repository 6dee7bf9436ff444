package entry

import (
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/scheduler"
)

// publish makes the state of the store watcher the host's snapshot and passes on the changes.
func (wat *observer) publish() {
	wat.publishEvacuations(wat.host.clock.Now(), wat.table)
	engines := wat.directory.Engines()
	wat.markEmptied(engines)
	snp := &belief{table: wat.table, engines: make(map[string]fleet.Engine, len(engines)), members: wat.directory.Members()}
	for _, eng := range engines {
		snp.engines[eng.ID.Name] = eng
	}
	wat.gauge(snp)
	prev := wat.host.belief.Swap(snp)
	wat.endFormerRuns(prev, engines)
	if snp.table != nil && prev.table != snp.table {
		wat.host.desk.handle(scheduler.ConfigurationChanged{Table: snp.table})
	}
	wat.publishRollouts()
	wat.host.desk.handle(scheduler.EnginesChanged{Engines: engines})
	ros := roster{members: snp.members, candidates: snp.members, outside: wat.directory.Missing(wat.host.set.Name)}
	if ros.outside {
		ros.candidates = wat.directory.Current()
	}
	wat.host.desk.changeMembers(ros)
}

// endFormerRuns ends all calls that still wait for engines that have been restarted.
func (wat *observer) endFormerRuns(prev *belief, engines []fleet.Engine) {
	for _, eng := range engines {
		if known, found := prev.engines[eng.ID.Name]; eng.ID.Born.IsZero() || found && known.ID == eng.ID {
			continue
		}
		wat.host.upstream.EndFormer(eng.ID)
	}
}

// updateGauges updates the metrics of the snapshot.
func (wat *observer) gauge(snp *belief) {
	ready := int64(0)
	for _, eng := range snp.engines {
		if !eng.Closed() {
			ready++
		}
	}
	wat.host.figures.engines.Update(ready)
	wat.host.figures.members.Update(int64(len(snp.members)))
	if snp.table != nil {
		wat.host.figures.version.Update(int64(snp.table.Version()))
	}
}

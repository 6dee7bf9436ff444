package entry

import (
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/scheduler"
)

// publish makes what the observer knows the host's belief.
func (obs *observer) publish() {
	obs.publishEvacuations(obs.host.clock.Now(), obs.table)
	engines := obs.directory.Engines()
	obs.markEmptied(engines)
	bel := &belief{table: obs.table, engines: make(map[string]fleet.Engine, len(engines)), members: obs.directory.Members()}
	for _, eng := range engines {
		bel.engines[eng.ID.Name] = eng
	}
	obs.gauge(bel)
	former := obs.host.belief.Swap(bel)
	obs.endFormerRuns(former, engines)
	if bel.table != nil && former.table != bel.table {
		obs.host.desk.handle(scheduler.ConfigurationChanged{Table: bel.table})
	}
	obs.publishRollouts()
	obs.host.desk.handle(scheduler.EnginesChanged{Engines: engines})
	ros := roster{members: bel.members, candidates: bel.members, outside: obs.directory.Missing(obs.host.set.Name)}
	if ros.outside {
		ros.candidates = obs.directory.Current()
	}
	obs.host.desk.changeMembers(ros)
}

// endFormerRuns ends what still waits for engines that have started again.
func (obs *observer) endFormerRuns(former *belief, engines []fleet.Engine) {
	for _, eng := range engines {
		if known, found := former.engines[eng.ID.Name]; eng.ID.Born.IsZero() || found && known.ID == eng.ID {
			continue
		}
		obs.host.upstream.EndFormer(eng.ID)
	}
}

// gauge tells what the host believes.
func (obs *observer) gauge(bel *belief) {
	ready := int64(0)
	for _, eng := range bel.engines {
		if !eng.Closed() {
			ready++
		}
	}
	obs.host.figures.engines.Update(ready)
	obs.host.figures.members.Update(int64(len(bel.members)))
	if bel.table != nil {
		obs.host.figures.version.Update(int64(bel.table.Version()))
	}
}

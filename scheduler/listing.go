package scheduler

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/route"
)

// applyEngines replaces the engines by the registered ones. Engines that were known before keep
// their state; the state of deregistered ones is dropped.
func (cor *Core) applyEngines(now time.Time, engines []fleet.Engine) {
	for _, svc := range cor.services {
		cor.observeVersions(now, svc)
		svc.engines, svc.signaledEngines, svc.limitedEngines, svc.blockCache, svc.unhealthy = svc.engines[:0], 0, 0, blockCache{}, nil
	}
	for _, ene := range cor.engines {
		ene.service = nil
	}
	known := make(map[fleet.EngineID]bool, len(engines))
	for _, eng := range engines {
		known[eng.ID] = true
		ene := cor.engines[eng.ID]
		if ene == nil {
			ene = newEngine(eng, cor.service(eng.Service).pace.NewEngine(cor.recorded[eng.Service][eng.Address]))
			cor.engines[eng.ID] = ene
		}
		ene.Engine, ene.region = eng, cor.regionOf(eng.Domain)
		cor.applyModel(ene)
		svc := cor.service(eng.Service)
		svc.list(ene)
		if ene.signals != nil {
			svc.signaledEngines++
		}
		if ene.limiter != nil {
			svc.limitedEngines++
		}
	}
	for id := range cor.engines {
		if !known[id] {
			delete(cor.engines, id)
		}
	}
	for _, svc := range cor.services {
		cor.observeVersions(now, svc)
		svc.room.reset(len(svc.engines))
		svc.free.reset(len(svc.engines))
		cor.markRecorded(svc)
		for _, ene := range svc.engines {
			ene.updateRoom()
		}
	}
	cor.markRegisteredCold(now)
	cor.settleUnconfirmed(now)
	for _, svc := range cor.services {
		cor.serve(now, svc)
	}
}

// applyModel applies the configured model parameters of the engine's service.
func (cor *Core) applyModel(ene *engine) {
	if cor.table == nil {
		return
	}
	svc, known := cor.table.Service(ene.Service)
	if !known || svc.Model == nil {
		return
	}
	ene.eventTokens = max(1, svc.Model.EventTokens)
	cor.service(ene.Service).eventTokens = ene.eventTokens
	if svc.Model.CacheTokens > 0 {
		ene.cacheCapacity = svc.Model.CacheTokens
	}
}

func (cor *Core) applyConfiguration(now time.Time, tab *route.Table) {
	cor.table = tab
	cor.updateBuckets(now)
	cor.weights = weightsOf(tab.Configuration().Accounts)
	for _, ene := range cor.engines {
		cor.applyModel(ene)
	}
	cor.markRegisteredCold(now)
}

package scheduler

import (
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/route"
)

func (cor *Core) changeEngines(now time.Time, engines []fleet.Engine) {
	for _, svc := range cor.services {
		svc.engines, svc.said, svc.paced, svc.closings = svc.engines[:0], 0, 0, closings{}
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
		cor.equip(ene)
		svc := cor.service(eng.Service)
		svc.engines = append(svc.engines, ene)
		if ene.said != nil {
			svc.said++
		}
		if ene.pacing != nil {
			svc.paced++
		}
	}
	for id := range cor.engines {
		if !known[id] {
			delete(cor.engines, id)
		}
	}
	cor.chillListed(now)
	cor.settleDoubts(now)
	for _, svc := range cor.services {
		cor.serve(now, svc)
	}
}

// applyModel applies the configured model parameters of the engine's service.
func (cor *Core) equip(ene *engine) {
	if cor.table == nil {
		return
	}
	svc, known := cor.table.Service(ene.Service)
	if !known || svc.Model == nil {
		return
	}
	ene.eventTokens = max(1, svc.Model.EventTokens)
	if svc.Model.CacheTokens > 0 {
		ene.cacheTokens = svc.Model.CacheTokens
	}
}

func (cor *Core) changeTable(now time.Time, tab *route.Table) {
	cor.table = tab
	cor.buckets = cor.newBuckets(now)
	for _, ene := range cor.engines {
		cor.equip(ene)
	}
	cor.chillListed(now)
}

func (cor *Core) changeShare(now time.Time, cha ShareChanged) {
	cor.hosts = cha.Hosts
	cor.forgetAsked(now)
	if (cha.Parts == cor.parts && cha.Elsewhere == cor.elsewhere) || cha.Parts < 1 {
		return
	}
	cor.parts, cor.elsewhere = cha.Parts, cha.Elsewhere
	cor.shareRates(now)
	if cor.table != nil {
		cor.buckets = cor.newBuckets(now)
	}
}

package scheduler

import (
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/pace"
)

// Survey returns what the core knows of the engines' speed, to be recorded.
func (cor *Core) Survey() pace.Survey {
	services := make(map[string]pace.ServiceSurvey)
	for _, svc := range cor.services {
		var known []pace.Record
		for _, ene := range svc.engines {
			if ene.model.Known() {
				known = append(known, pace.Record{Address: ene.Address, Profile: ene.model.Profile()})
			}
		}
		if len(known) > 0 {
			services[svc.name] = pace.ServiceSurvey{Reference: svc.pace.Reference(), Engines: known}
		}
	}
	return pace.NewSurvey(services)
}

// adoptSurvey takes what was recorded of engines that this core knows less of.
func (cor *Core) adoptSurvey(sur pace.Survey) {
	cor.survey = sur
	for _, svc := range sur.Services {
		cor.service(svc.Name).pace.Adopt(svc.Reference)
	}
	for _, ene := range cor.engines {
		ene.model.Adopt(cor.recorded(ene.Engine))
	}
}

// recorded returns what was recorded of an engine; the zero profile for nothing.
func (cor *Core) recorded(eng fleet.Engine) pace.Profile {
	for _, svc := range cor.survey.Services {
		if svc.Name != eng.Service {
			continue
		}
		for _, rec := range svc.Engines {
			if rec.Address == eng.Address {
				return rec.Profile
			}
		}
	}
	return pace.Profile{}
}

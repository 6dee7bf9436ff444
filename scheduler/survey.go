package scheduler

import "lynxwell.dev/lynxwell/pace"

// Survey returns the measured speeds of the engines, to be recorded in the store.
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

// adoptSurvey applies the recorded profiles to engines of which this core has measured less.
func (cor *Core) adoptSurvey(mea pace.Survey) {
	cor.recorded = mea.Profiles()
	for _, svc := range mea.Services {
		cor.service(svc.Name).pace.Adopt(svc.Reference)
	}
	for _, ene := range cor.engines {
		ene.model.Adopt(cor.recorded[ene.Service][ene.Address])
	}
}

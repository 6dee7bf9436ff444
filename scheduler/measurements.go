package scheduler

import "lynxwell.dev/lynxwell/pace"

// Measurements returns the measured speeds of the engines, to be written to the store.
func (cor *Core) Measurements() pace.Measurements {
	services := make(map[string]pace.ServiceMeasurements)
	for _, svc := range cor.services {
		var known []pace.Record
		for _, ene := range svc.engines {
			if ene.model.HasMeasurements() {
				known = append(known, pace.Record{Address: ene.Address, Profile: ene.model.Profile()})
			}
		}
		if len(known) > 0 {
			services[svc.name] = pace.ServiceMeasurements{Reference: svc.pace.Reference(), Engines: known}
		}
	}
	return pace.NewMeasurements(services)
}

// adoptMeasurements applies the stored profiles to engines of which this core has measured less.
func (cor *Core) adoptMeasurements(mea pace.Measurements) {
	cor.recorded = mea.Profiles()
	for _, svc := range mea.Services {
		cor.service(svc.Name).pace.Adopt(svc.Reference)
	}
	for _, ene := range cor.engines {
		ene.model.Adopt(cor.recorded[ene.Service][ene.Address])
	}
}

package pace

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
)

// Survey holds the measured speeds of all engines. It is stored for hosts that start without
// measurements: a third of the engines may be several times slower than the others.
type Survey struct {
	Services []ServiceSurvey
}

// ServiceSurvey holds the measured speeds of one service.
type ServiceSurvey struct {
	Name      string
	Reference Reference
	Engines   []Record
}

// Record is the profile of one engine. It is identified by its address, since after a restart it
// runs on the same processor under another id.
type Record struct {
	Address netip.AddrPort
	Profile
}

// changeFactor is the factor by which a profile must differ from the recorded one to be recorded
// again. Predictions are off by a fifth anyway.
const changeFactor = 1.3

// Differs reports whether the newer survey has an engine that isn't in this one, or whose
// profile has changed. Engines that are missing from the newer one are ignored.
func (sur Survey) Differs(newer Survey) bool {
	known := sur.Profiles()
	for _, svc := range newer.Services {
		for _, rec := range svc.Engines {
			former, found := known[svc.Name][rec.Address]
			if !found || far(former.Read, rec.Read) || far(former.Event, rec.Event) {
				return true
			}
		}
	}
	return false
}

// Profiles returns the engines' profiles by service and address.
func (sur Survey) Profiles() map[string]map[netip.AddrPort]Profile {
	services := make(map[string]map[netip.AddrPort]Profile, len(sur.Services))
	for _, svc := range sur.Services {
		profiles := make(map[netip.AddrPort]Profile, len(svc.Engines))
		for _, rec := range svc.Engines {
			profiles[rec.Address] = rec.Profile
		}
		services[svc.Name] = profiles
	}
	return services
}

func far(one, two float64) bool {
	return math.Abs(math.Log(one/two)) > math.Log(changeFactor)
}

// NewSurvey returns the survey of the given services, with their engines in the order of their
// addresses.
func NewSurvey(services map[string]ServiceSurvey) Survey {
	var sur Survey
	for _, name := range slices.Sorted(maps.Keys(services)) {
		svc := services[name]
		svc.Name = name
		slices.SortFunc(svc.Engines, func(one, two Record) int { return cmp.Compare(one.Address.String(), two.Address.String()) })
		sur.Services = append(sur.Services, svc)
	}
	return sur
}

// Adopt replaces the engine's profile by that of another host if it is based on more answers.
func (eng *Engine) Adopt(pro Profile) {
	if pro.Weight <= max(eng.read.weight, eng.event.weight) {
		return
	}
	eng.read, eng.event = factorOf(pro.Read, pro.Weight), factorOf(pro.Event, pro.Weight)
	eng.blendBoth()
}

// Adopt replaces the reference by that of another host, unless this service has learned its own
// or the given one is invalid.
func (svc *Service) Adopt(ref Reference) {
	if svc.answers >= sureAnswers || ref.Overhead <= 0 || ref.Token <= 0 || ref.Event <= 0 {
		return
	}
	svc.read, svc.event = newLine(ref.Overhead, ref.Token), float64(ref.Event)
}

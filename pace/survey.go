package pace

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
)

// Survey is what is known of all engines, as it is kept for hosts that start: they
// know nothing by themselves, and a third of the engines may be several times
// slower than the others.
type Survey struct {
	Services []ServiceSurvey
}

// ServiceSurvey is one service's part.
type ServiceSurvey struct {
	Name      string
	Reference Reference
	Engines   []Record
}

// Record is one engine's part. The engine is named by its address, since a restart
// runs on the same processor under another id.
type Record struct {
	Address netip.AddrPort
	Profile
}

// changeFactor is by how much, as a factor, a profile differs from a recorded one
// that is to be recorded anew: predictions are off by a fifth anyway.
const changeFactor = 1.3

// Differs reports whether the newer survey tells anything new: an engine that
// isn't in this one, or whose profile has changed. Engines that are gone don't count.
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

// NewSurvey returns the survey of the services, engines in the order of their
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

// Adopt takes what another host learned of the engine, where it knows more.
func (eng *Engine) Adopt(pro Profile) {
	if pro.Weight <= max(eng.read.weight, eng.event.weight) {
		return
	}
	eng.read, eng.event = factorOf(pro.Read, pro.Weight), factorOf(pro.Event, pro.Weight)
	eng.blendBoth()
}

// Adopt takes what another host learned of the service, where this one has learned
// little itself.
func (svc *Service) Adopt(ref Reference) {
	if svc.answers >= sureAnswers || ref.Overhead <= 0 || ref.Token <= 0 || ref.Event <= 0 {
		return
	}
	svc.read, svc.event = newLine(ref.Overhead, ref.Token), float64(ref.Event)
}

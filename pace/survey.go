package pace

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
)

// Measurements holds the measured speeds of all engines. It is stored for hosts that start without
// their own measurements, since a third of the engines may be several times slower than the
// others.
type Measurements struct {
	Services []ServiceMeasurements
}

// ServiceMeasurements holds the measured speeds of one service.
type ServiceMeasurements struct {
	Name      string
	Reference Reference
	Engines   []Record
}

// Record is the profile of one engine. It is keyed by the engine's address, since a restarted
// engine runs on the same processor under another id.
type Record struct {
	Address netip.AddrPort
	Profile
}

// changeFactor is the factor by which a profile must differ from the stored one to be stored
// again. Predictions are off by a fifth even without a change.
const changeFactor = 1.3

// Differs reports whether newer has an engine that mea lacks, or one whose profile has changed by
// more than changeFactor. Engines that newer lacks are ignored.
func (mea Measurements) Differs(newer Measurements) bool {
	known := mea.Profiles()
	for _, svc := range newer.Services {
		for _, rec := range svc.Engines {
			old, found := known[svc.Name][rec.Address]
			if !found || hasChanged(old.Read, rec.Read) || hasChanged(old.Event, rec.Event) {
				return true
			}
		}
	}
	return false
}

// Profiles returns the engines' profiles by service and address.
func (mea Measurements) Profiles() map[string]map[netip.AddrPort]Profile {
	services := make(map[string]map[netip.AddrPort]Profile, len(mea.Services))
	for _, svc := range mea.Services {
		profiles := make(map[netip.AddrPort]Profile, len(svc.Engines))
		for _, rec := range svc.Engines {
			profiles[rec.Address] = rec.Profile
		}
		services[svc.Name] = profiles
	}
	return services
}

func hasChanged(left, right float64) bool {
	return math.Abs(math.Log(left/right)) > math.Log(changeFactor)
}

// NewMeasurements returns the measurements of the given services, with their engines in the
// order of their addresses.
func NewMeasurements(services map[string]ServiceMeasurements) Measurements {
	var mea Measurements
	for _, name := range slices.Sorted(maps.Keys(services)) {
		svc := services[name]
		svc.Name = name
		slices.SortFunc(svc.Engines, func(left, right Record) int { return cmp.Compare(left.Address.String(), right.Address.String()) })
		mea.Services = append(mea.Services, svc)
	}
	return mea
}

// Adopt replaces the engine's profile by pro, which another host has measured, if pro is based on
// more answers.
func (eng *Engine) Adopt(pro Profile) {
	if pro.Weight <= max(eng.prefill.weight, eng.event.weight) {
		return
	}
	eng.prefill, eng.event = newFactor(pro.Read, pro.Weight), newFactor(pro.Event, pro.Weight)
	eng.updateBlend()
}

// Adopt replaces the reference by ref, which another host has learned, unless this service has
// at least minAnswers answers of its own or ref is invalid.
func (svc *Service) Adopt(ref Reference) {
	if svc.answers >= minAnswers || ref.Overhead <= 0 || ref.Token <= 0 || ref.Event <= 0 {
		return
	}
	svc.prefill, svc.event = newLinearFit(ref.Overhead, ref.Token), float64(ref.Event)
}

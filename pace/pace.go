// Package pace learns from live traffic how fast the model engines of a service prefill prompts
// and generate answers. Some engines are several times slower than others.
//
// # Usage
//
//	svc := pace.NewService(pace.DefaultReference)
//	eng := svc.NewEngine(pace.Profile{})
//	eng.ObservePrefill(6600, 130*time.Millisecond)  // the first event of an answer
//	eng.ObserveEvents(40, 700*time.Millisecond)  // its other events
//	first := eng.Overhead() + eng.PrefillTime(2000)
//	other := svc.NewEngine(eng.Profile())        // on another host
//
// The reference of a service, in particular how the prefill time grows with the length of a prompt,
// is learned from all of its engines. Each engine differs from the reference by two factors, one
// for prefill and one for events, which are learned within its first few answers. The package
// reads no clock.
package pace

import (
	"math"
	"time"
)

// Reference is the speed that a service's engines are compared with.
type Reference struct {
	// Overhead is the time to the first event of an answer without the prefill.
	Overhead time.Duration
	// Token is the prefill time per token of a short prompt.
	Token time.Duration
	// Event is the time between two events of an answer.
	Event time.Duration
}

// DefaultReference is the reference of a service without measurements.
var DefaultReference = Reference{Overhead: 35 * time.Millisecond, Token: 15 * time.Microsecond, Event: 25 * time.Millisecond}

// Profile is the speed of an engine relative to the reference, as exchanged by hosts.
type Profile struct {
	// Read and Event are the engine's prefill and event times as multiples of the reference
	// times; 0 if unknown.
	Read  float64
	Event float64
	// Weight is the number of answers that Read and Event are based on, up to maxWeight.
	Weight float64
}

const (
	// quadraticTokens is the prompt length, in tokens, at which attention takes as much time as
	// the rest of the prefill: between 50,000 and 150,000 for models with about ten billion
	// parameters.
	quadraticTokens = 120_000
	// factorGain is the minimum weight of a new measurement in an engine's factors.
	factorGain = 0.15
	// referenceGain is the weight of a new measurement in the reference's event time.
	referenceGain = 0.05
	// minEvents is the number of events from which an answer is used as a measurement of the
	// event time.
	minEvents = 8
	// maxWeight bounds the weight of an engine's profile, including those of other hosts.
	maxWeight = 10
	// maxStep is the maximum factor between a measurement and the prediction; larger deviations
	// have causes other than the engine's speed and are clamped.
	maxStep = 8
	// maxFactor bounds the factors of an engine; their lower bound is 1/maxFactor.
	maxFactor = 50
	// minAnswers is the number of answers from which an engine's measurements update the
	// reference, and from which a service no longer adopts the reference of another host.
	minAnswers = 3
)

// Service is the speed model that the engines of a service share.
type Service struct {
	prefill linearFit
	event   float64
	// answers is the number of answers whose prefill was observed.
	answers int
}

// NewService returns a service with an initial reference.
func NewService(ref Reference) *Service {
	return &Service{prefill: newLinearFit(ref.Overhead, ref.Token), event: float64(ref.Event)}
}

// Reference returns the current reference.
func (svc *Service) Reference() Reference {
	return Reference{Overhead: svc.prefill.overhead, Token: svc.prefill.tokenTime, Event: time.Duration(svc.event)}
}

// Engine is the speed model of one engine.
type Engine struct {
	service *Service
	prefill factor
	event   factor
	// prefillFactor and eventFactor are the factors that predictions use, each blended from both
	// measured ones.
	prefillFactor float64
	eventFactor   float64
}

// factor is the logarithm of the ratio of an engine's time to the reference time, with the number
// of answers that it is based on, up to maxWeight.
type factor struct {
	log    float64
	weight float64
}

func newFactor(value, weight float64) factor {
	if value <= 0 || math.IsNaN(value) || math.IsNaN(weight) || weight <= 0 {
		return factor{}
	}
	return factor{log: math.Log(min(maxFactor, max(1/float64(maxFactor), value))), weight: min(maxWeight, weight)}
}

// observe adds the logarithm of the ratio of a measured time to the reference time.
func (fac *factor) observe(log float64) {
	bound := math.Log(maxStep)
	if fac.weight > 0 {
		log = min(fac.log+bound, max(fac.log-bound, log))
	}
	fac.log += max(factorGain, 1/(fac.weight+1)) * (log - fac.log)
	fac.log = min(math.Log(maxFactor), max(-math.Log(maxFactor), fac.log))
	fac.weight = min(maxWeight, fac.weight+1)
}

// NewEngine returns an engine with an initial profile; the zero profile means that none is known.
func (svc *Service) NewEngine(pro Profile) *Engine {
	eng := &Engine{service: svc, prefill: newFactor(pro.Read, pro.Weight), event: newFactor(pro.Event, pro.Weight)}
	eng.updateBlend()
	return eng
}

// HasMeasurements reports whether the engine has any measurements, including those of its initial
// or adopted profile.
func (eng *Engine) HasMeasurements() bool { return eng.prefill.weight+eng.event.weight > 0 }

// updateBlend updates the blended factors. Without measurements of one factor, the other one is
// used, since both depend on the same processor. Without either, the engine is assumed to equal
// the reference.
func (eng *Engine) updateBlend() {
	eng.prefillFactor = math.Exp(blend(eng.prefill, eng.event))
	eng.eventFactor = math.Exp(blend(eng.event, eng.prefill))
}

// otherWeight is the weight of a measurement of the other factor.
const otherWeight = 0.3

func blend(own, other factor) float64 {
	weight := own.weight + otherWeight*other.weight
	if weight == 0 {
		return 0
	}
	return (own.weight*own.log + otherWeight*other.weight*other.log) / weight
}

// effectiveTokens converts the length of a prompt to the number of tokens that would take the same
// prefill time at the rate of a short prompt.
func effectiveTokens(tokens int) float64 {
	length := float64(max(0, tokens))
	return length + length*length/quadraticTokens
}

// PrefillTime predicts the prefill time of a number of tokens, without the overhead.
func (eng *Engine) PrefillTime(tokens int) time.Duration {
	return time.Duration(effectiveTokens(tokens) * float64(eng.service.prefill.tokenTime) * eng.prefillFactor)
}

// Overhead predicts the time to the first event without the prefill.
func (eng *Engine) Overhead() time.Duration {
	return time.Duration(float64(eng.service.prefill.overhead) * eng.prefillFactor)
}

// Event predicts the time between two events of an answer.
func (eng *Engine) Event() time.Duration {
	return time.Duration(eng.service.event * eng.eventFactor)
}

// ObservePrefill adds the measured time to the first event for a prompt of a number of tokens. The
// engine must have had no other prefills pending.
func (eng *Engine) ObservePrefill(tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	eng.service.answers++
	fit := &eng.service.prefill
	predicted := float64(fit.overhead) + effectiveTokens(tokens)*float64(fit.tokenTime)
	eng.prefill.observe(math.Log(float64(took) / predicted))
	eng.updateBlend()
	if eng.prefill.weight >= minAnswers {
		fit.observe(effectiveTokens(tokens), time.Duration(float64(took)/math.Exp(eng.prefill.log)))
	}
}

// ObserveEvents adds the number of events of an answer and the time from the first to the last.
func (eng *Engine) ObserveEvents(events int, took time.Duration) {
	if events < minEvents || took <= 0 {
		return
	}
	each := float64(took) / float64(events-1)
	eng.event.observe(math.Log(each / eng.service.event))
	eng.updateBlend()
	if eng.prefill.weight >= minAnswers {
		// Normalized by the prefill factor, so that the reference also predicts the events of
		// engines for which only the prefill factor is known.
		eng.service.event += referenceGain * (each/math.Exp(eng.prefill.log) - eng.service.event)
	}
}

// Work predicts how long a request occupies a slot of an engine of reference speed.
func (svc *Service) Work(promptTokens, events int) time.Duration {
	first := float64(svc.prefill.overhead) + effectiveTokens(promptTokens)*float64(svc.prefill.tokenTime)
	return time.Duration(first + float64(max(0, events-1))*svc.event)
}

// Profile returns the engine's profile, or the zero profile without measurements.
func (eng *Engine) Profile() Profile {
	if !eng.HasMeasurements() {
		return Profile{}
	}
	return Profile{Read: eng.prefillFactor, Event: eng.eventFactor, Weight: max(eng.prefill.weight, eng.event.weight)}
}

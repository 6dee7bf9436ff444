// Package pace learns, from traffic alone, how fast the model engines of a
// service read prompts and write answers: they differ several times.
//
// # Usage
//
//	svc := pace.NewService(pace.Prior)
//	eng := svc.NewEngine(pace.Profile{})
//	eng.ObserveRead(6600, 130*time.Millisecond)  // the first event of an answer
//	eng.ObserveEvents(40, 700*time.Millisecond)  // its other events
//	first := eng.Overhead() + eng.ReadTime(2000)
//	other := svc.NewEngine(eng.Profile())        // what another host begins with
//
// What engines of a service have in common, how the time grows with a prompt's
// length, is learned from all of them; what sets one apart is a factor, which
// its first few answers tell. Nothing here depends on a clock.
package pace

import (
	"math"
	"time"
)

// Reference is the speed that a service's engines are compared with.
type Reference struct {
	// Overhead is the time to an answer's first event beside reading the prompt.
	Overhead time.Duration
	// Token is the time to read one token of a short prompt.
	Token time.Duration
	// Event is the time between two events of an answer.
	Event time.Duration
}

// Prior is what a service is taken for that nothing is known of.
var Prior = Reference{Overhead: 35 * time.Millisecond, Token: 15 * time.Microsecond, Event: 25 * time.Millisecond}

// Profile is what sets an engine apart, as hosts tell one another.
type Profile struct {
	// Read and Event are how many times as long as the reference's an engine's
	// reading and its events take; 0 is not known.
	Read  float64
	Event float64
	// Weight is how many answers stand behind them, up to maxWeight.
	Weight float64
}

const (
	// quadraticTokens is the length of a prompt whose attention costs as much time
	// as all the rest of reading it; models of some ten billion parameters lie
	// between 50,000 and 150,000.
	quadraticTokens = 120_000
	// factorGain is the least weight of a new measurement in an engine's factors.
	factorGain = 0.15
	// referenceGain is the weight of one in the reference's time between events.
	referenceGain = 0.05
	// minEvents is the shortest answer whose events tell their pace.
	minEvents = 8
	// maxWeight bounds the trust in a profile that another host told.
	maxWeight = 10
	// maxStep bounds, as a factor, how far one measurement lies from what was
	// predicted: what is beyond has a cause of its own.
	maxStep = 8
	// maxFactor bounds the factors.
	maxFactor = 50
	// sureAnswers is from how many answers on an engine teaches the reference.
	sureAnswers = 3
)

// Service is what the engines of a service have in common.
type Service struct {
	read  line
	event float64
	// answers is how many have told of the service.
	answers int
}

// NewService returns a service that begins with a reference.
func NewService(ref Reference) *Service {
	return &Service{read: newLine(ref.Overhead, ref.Token), event: float64(ref.Event)}
}

// Reference returns what the engines are compared with now.
func (svc *Service) Reference() Reference {
	return Reference{Overhead: svc.read.overhead, Token: svc.read.token, Event: time.Duration(svc.event)}
}

// Engine is what is known of one engine.
type Engine struct {
	service *Service
	read    factor
	event   factor
	// readTimes and eventTimes are both factors as they are used, blended.
	readTimes  float64
	eventTimes float64
}

// factor is how many times as long as the reference's something takes.
type factor struct {
	log    float64
	weight float64
}

func factorOf(value, weight float64) factor {
	if value <= 0 || math.IsNaN(value) || math.IsNaN(weight) || weight <= 0 {
		return factor{}
	}
	return factor{log: math.Log(min(maxFactor, max(1/float64(maxFactor), value))), weight: min(maxWeight, weight)}
}

// observe takes in the logarithm of a measured ratio.
func (fac *factor) observe(log float64) {
	bound := math.Log(maxStep)
	if fac.weight > 0 {
		log = min(fac.log+bound, max(fac.log-bound, log))
	}
	fac.log += max(factorGain, 1/(fac.weight+1)) * (log - fac.log)
	fac.log = min(math.Log(maxFactor), max(-math.Log(maxFactor), fac.log))
	fac.weight = min(maxWeight, fac.weight+1)
}

// NewEngine returns an engine that begins with a profile; the zero one is not known.
func (svc *Service) NewEngine(pro Profile) *Engine {
	eng := &Engine{service: svc, read: factorOf(pro.Read, pro.Weight), event: factorOf(pro.Event, pro.Weight)}
	eng.blendBoth()
	return eng
}

// Known reports whether any answer told of the engine.
func (eng *Engine) Known() bool { return eng.read.weight+eng.event.weight > 0 }

// blendBoth works both factors out anew: where no answer told of one, the other
// does, since both come from the same processor, and else the engine is taken to be
// like the reference.
func (eng *Engine) blendBoth() {
	eng.readTimes = math.Exp(blend(eng.read, eng.event))
	eng.eventTimes = math.Exp(blend(eng.event, eng.read))
}

// otherShare is the weight of an answer that told of the other factor.
const otherShare = 0.3

func blend(own, other factor) float64 {
	weight := own.weight + otherShare*other.weight
	if weight == 0 {
		return 0
	}
	return (own.weight*own.log + otherShare*other.weight*other.log) / weight
}

// effective returns how many tokens of a short prompt take as long to read.
func effective(tokens int) float64 {
	length := float64(max(0, tokens))
	return length + length*length/quadraticTokens
}

// ReadTime predicts how long the engine reads so many tokens by itself.
func (eng *Engine) ReadTime(tokens int) time.Duration {
	return time.Duration(effective(tokens) * float64(eng.service.read.token) * eng.readTimes)
}

// Overhead predicts the time to a first event beside reading.
func (eng *Engine) Overhead() time.Duration {
	return time.Duration(float64(eng.service.read.overhead) * eng.readTimes)
}

// Event predicts the time between two events.
func (eng *Engine) Event() time.Duration {
	return time.Duration(eng.service.event * eng.eventTimes)
}

// ObserveRead takes in how long a prompt of so many tokens took to the first event,
// where the engine had nothing else to read.
func (eng *Engine) ObserveRead(tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	eng.service.answers++
	lin := &eng.service.read
	predicted := float64(lin.overhead) + effective(tokens)*float64(lin.token)
	eng.read.observe(math.Log(float64(took) / predicted))
	eng.blendBoth()
	if eng.read.weight >= sureAnswers {
		lin.observe(effective(tokens), time.Duration(float64(took)/math.Exp(eng.read.log)))
	}
}

// ObserveEvents takes in an answer's events, and how long those after the first took.
func (eng *Engine) ObserveEvents(events int, took time.Duration) {
	if events < minEvents || took <= 0 {
		return
	}
	each := float64(took) / float64(events-1)
	eng.event.observe(math.Log(each / eng.service.event))
	eng.blendBoth()
	if eng.read.weight >= sureAnswers {
		// Measured by the engine's reading, so that an engine of which only that is
		// known has its events predicted too.
		eng.service.event += referenceGain * (each/math.Exp(eng.read.log) - eng.service.event)
	}
}

// Profile returns what sets the engine apart.
func (eng *Engine) Profile() Profile {
	if !eng.Known() {
		return Profile{}
	}
	return Profile{Read: eng.readTimes, Event: eng.eventTimes, Weight: max(eng.read.weight, eng.event.weight)}
}

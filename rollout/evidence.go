package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Counts holds the numbers of good and bad answers of both versions on one route. An answer is
// bad if it failed or took several times as long as usual.
type Counts struct {
	FormerGood int
	FormerBad  int
	NewGood    int
	NewBad     int
	// Loaded is the number of the new version's answers under the load that it will have after
	// the roll-out.
	Loaded int
}

func (cou Counts) plus(other Counts) Counts {
	return Counts{
		FormerGood: cou.FormerGood + other.FormerGood, FormerBad: cou.FormerBad + other.FormerBad,
		NewGood: cou.NewGood + other.NewGood, NewBad: cou.NewBad + other.NewBad, Loaded: cou.Loaded + other.Loaded,
	}
}

// Tally is the evidence that a roll-out has gathered.
type Tally struct {
	// Requests is the number of the service's requests that were granted to an engine.
	Requests int
	// Routes holds the answers by route.
	Routes map[string]Counts
}

// plus returns the sum of both tallies.
func (tal Tally) plus(other Tally) Tally {
	sum := Tally{Requests: tal.Requests + other.Requests, Routes: maps.Clone(tal.Routes)}
	if sum.Routes == nil {
		sum.Routes = make(map[string]Counts)
	}
	for name, cou := range other.Routes {
		sum.Routes[name] = sum.Routes[name].plus(cou)
	}
	return sum
}

func (tal *Tally) add(route string, cou Counts) {
	if tal.Routes == nil {
		tal.Routes = make(map[string]Counts)
	}
	tal.Routes[route] = tal.Routes[route].plus(cou)
}

// total returns the sum of the answers over all routes.
func (tal Tally) total() Counts {
	var sum Counts
	for _, cou := range tal.Routes {
		sum = sum.plus(cou)
	}
	return sum
}

// The sequential test. Its hypotheses are that the new version's answers are as good as the old
// version's at the same time, and that the share of bad answers is higher by badRateIncrease.
// TestErrorRatesOfSequentialTest simulates both error rates.
const (
	// badRateIncrease is the increase of the share of bad answers over the old version's that
	// the test must detect.
	badRateIncrease = 0.2
	// minBadRate is the lowest assumed share of bad answers of a healthy version: one or two
	// answers that were lost by coincidence must not roll a version back.
	minBadRate = 0.02
	// priorBadRate is the assumed share of bad answers before any answer was received, and
	// priorAnswers its weight as a number of answers: canary requests begin at once, when there
	// are few answers of the old version.
	priorBadRate = 0.05
	priorAnswers = 20
	// falseRejectRate and falseAcceptRate are the allowed error rates on each route.
	falseRejectRate = 0.001
	falseAcceptRate = 0.01
)

var (
	// rejectThreshold and acceptThreshold are the bounds of the log-likelihood ratio in Wald's
	// sequential probability ratio test.
	rejectThreshold = math.Log((1 - falseAcceptRate) / falseRejectRate)
	acceptThreshold = math.Log(falseAcceptRate / (1 - falseRejectRate))
)

// oldBadRate returns the share of bad answers to expect of a healthy version: the old version's
// share plus one standard error, so that a healthy version isn't rolled back because the old
// one had few bad answers by coincidence.
func (cou Counts) oldBadRate() float64 {
	bad, all := float64(cou.FormerBad), float64(cou.FormerBad+cou.FormerGood)
	rate := (bad + priorBadRate*priorAnswers) / (all + priorAnswers)
	rate += math.Sqrt(rate * (1 - rate) / (all + priorAnswers))
	return min(0.8, max(minBadRate, rate))
}

// logSteps returns by how much a bad and a good answer of the new version change the
// log-likelihood ratio.
func (cou Counts) logSteps() (ofBad, ofGood float64) {
	return logStepsAt(cou.oldBadRate())
}

func logStepsAt(expectedRate float64) (ofBad, ofGood float64) {
	bad := min(0.95, expectedRate+badRateIncrease)
	return math.Log(bad / expectedRate), math.Log((1 - bad) / (1 - expectedRate))
}

// logRatio returns the log-likelihood ratio of the new version's answers: it is positive if they
// are likelier to come from a faulty version than from a healthy one.
func (cou Counts) logRatio() float64 {
	ofBad, ofGood := cou.logSteps()
	return float64(cou.NewBad)*ofBad + float64(cou.NewGood)*ofGood
}

// changeThreshold is the bound of a route's cumulative sum (CUSUM), which restarts at zero
// whenever it would become negative. The sum detects versions that become faulty after
// thousands of good answers: the ratio over all answers reacts too slowly to them, and more
// slowly the more engines there are (BenchmarkPolicies). The bound is higher than Wald's because
// it is checked thousands of times.
const changeThreshold = 11.0

// recentDecay is the time constant of the decaying weights of the old version's recent answers.
// It is short so that a failure of the whole service or of the hosts, which isn't the new
// version's fault, raises the old version's share of bad answers after a few of them.
const recentDecay = 150 * time.Millisecond

// cusum is the cumulative sum of a route's log-likelihood steps, with the old version's recent
// answers, whose weight decays with recentDecay.
type cusum struct {
	sum             float64
	oldGood, oldBad float64
	updatedAt       time.Time
}

// observe applies an answer of either version and reports whether the new version has become
// faulty on the route; cou holds the route's counts.
func (csm *cusum) observe(now time.Time, cou Counts, isNew, bad bool) bool {
	decay := math.Exp(-float64(now.Sub(csm.updatedAt)) / float64(recentDecay))
	csm.oldGood, csm.oldBad, csm.updatedAt = csm.oldGood*decay, csm.oldBad*decay, now
	switch {
	case !isNew && bad:
		csm.oldBad++
	case !isNew:
		csm.oldGood++
	default:
		expectedRate := max(cou.oldBadRate(), Counts{FormerGood: int(csm.oldGood), FormerBad: int(csm.oldBad)}.oldBadRate())
		ofBad, ofGood := logStepsAt(expectedRate)
		step := ofGood
		if bad {
			step = ofBad
		}
		csm.sum = max(0, csm.sum+step)
	}
	return csm.sum >= changeThreshold
}

// isFaulty reports whether the new version's answers are worse than the old version's.
func (cou Counts) isFaulty() bool {
	return cou.logRatio() >= rejectThreshold
}

// isHealthy reports whether the new version's answers are as good as the old version's.
func (cou Counts) isHealthy() bool {
	return cou.logRatio() <= acceptThreshold
}

// faultyRoute returns the first route, by name, on which the test finds the new version faulty, and
// whether there is one; "*" stands for all routes together.
func (tal Tally) faultyRoute(isFaulty func(Counts) bool) (string, bool) {
	for _, name := range slices.Sorted(maps.Keys(tal.Routes)) {
		if isFaulty(tal.Routes[name]) {
			return name, true
		}
	}
	return "*", isFaulty(tal.total())
}

const (
	// slowFactor is the multiple of the usual duration from which an answer counts as bad. The
	// engines of a service differ by a factor of up to three; faulty versions are several times
	// slower.
	slowFactor = 4.0
	// minSlowExcess is the minimum excess over the usual duration for an answer to count as
	// bad. Users don't notice a smaller excess, whatever the factor, and a busy host adds some
	// milliseconds to any answer.
	minSlowExcess = 30 * time.Millisecond
	// baselineGain is the weight of a new answer in latencyBaseline.
	baselineGain = 0.05
)

// latencyBaseline holds, by route, the moving average of the logarithm of the ratio of actual to
// expected duration on engines of the old version.
type latencyBaseline struct {
	logRatios map[string]float64
}

func (bas *latencyBaseline) observe(route string, took, expected time.Duration) {
	if bas.logRatios == nil {
		bas.logRatios = make(map[string]float64)
	}
	bas.logRatios[route] += baselineGain * (math.Log(float64(took)/float64(expected)) - bas.logRatios[route])
}

// isSlow reports whether an answer took several times as long as usual.
func (bas *latencyBaseline) isSlow(route string, took, expected time.Duration) bool {
	usual := time.Duration(float64(expected) * math.Exp(max(0, bas.logRatios[route])))
	return took > time.Duration(slowFactor*float64(usual)) && took-usual >= minSlowExcess
}

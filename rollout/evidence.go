package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Counts are the answers of one route.
type Counts struct {
	FormerGood int
	FormerBad  int
	NewGood    int
	NewBad     int
	// Loaded counts those of the new version under the load that it will bear.
	Loaded int
}

func (cou Counts) plus(other Counts) Counts {
	return Counts{
		FormerGood: cou.FormerGood + other.FormerGood, FormerBad: cou.FormerBad + other.FormerBad,
		NewGood: cou.NewGood + other.NewGood, NewBad: cou.NewBad + other.NewBad, Loaded: cou.Loaded + other.Loaded,
	}
}

// Tally is what has been seen of a roll-out.
type Tally struct {
	// Requests is how many of the service's requests were given to an engine.
	Requests int
	// Routes are the answers by route.
	Routes map[string]Counts
}

// plus returns the sum of both.
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

// all returns the answers of all routes together.
func (tal Tally) all() Counts {
	var sum Counts
	for _, cou := range tal.Routes {
		sum = sum.plus(cou)
	}
	return sum
}

// The sequential test: the answers of the new version are as good as the former ones at
// the same time, or a part more of them is bad. TestErrorRatesOfTheTest simulates both
// errors.
const (
	// badPart is the part of bad answers beyond the former version's that is to be found.
	badPart = 0.2
	// leastBad is the part of bad answers that is taken to be usual at least: a chance
	// loss or two must not take a version back.
	leastBad = 0.02
	// priorBad is the part that is taken to be usual before any answer was seen, and
	// priorAnswers how many answers that weighs: a version is tried at once, when little is
	// known of the former one.
	priorBad     = 0.05
	priorAnswers = 20
	// wronglyBad and wronglyGood are the error rates for each route.
	wronglyBad  = 0.001
	wronglyGood = 0.01
)

var (
	// rejectAt and acceptAt are Wald's bounds of the log-likelihood ratio.
	rejectAt = math.Log((1 - wronglyGood) / wronglyBad)
	acceptAt = math.Log(wronglyGood / (1 - wronglyBad))
)

// formerPart is the part of bad answers that is usual, as high as what was seen allows:
// a good version must not be taken back because the former one was lucky.
func (cou Counts) formerPart() float64 {
	bad, all := float64(cou.FormerBad), float64(cou.FormerBad+cou.FormerGood)
	part := (bad + priorBad*priorAnswers) / (all + priorAnswers)
	part += math.Sqrt(part * (1 - part) / (all + priorAnswers))
	return min(0.8, max(leastBad, part))
}

// steps returns by how much a bad and a good answer of the new version change the ratio.
func (cou Counts) steps() (ofBad, ofGood float64) {
	return stepsBeyond(cou.formerPart())
}

func stepsBeyond(usual float64) (ofBad, ofGood float64) {
	bad := min(0.95, usual+badPart)
	return math.Log(bad / usual), math.Log((1 - bad) / (1 - usual))
}

// ratio returns the logarithm of how much likelier the new answers are of a bad version
// than of a good one.
func (cou Counts) ratio() float64 {
	ofBad, ofGood := cou.steps()
	return float64(cou.NewBad)*ofBad + float64(cou.NewGood)*ofGood
}

// turnedBadAt is the bound of the running ratio, which begins anew with each answer that
// makes it less than nothing. It finds versions that turn bad after thousands of good
// answers, which the ratio of all answers forgets too slowly, the more so with many engines
// (BenchmarkWays). It is higher than Wald's, as it is looked at thousands of times.
const turnedBadAt = 11.0

// lately is the time over which the former version's answers count as given at the same
// time as the new one's: a trouble of the whole service, or of the hosts, isn't the new
// version's fault, and must be seen in the former one's answers within a few bad ones.
const lately = 150 * time.Millisecond

// running is a route's running ratio, beside what the former version answered lately.
type running struct {
	ratio     float64
	good, bad float64
	at        time.Time
}

// observe takes an answer of either version, with all answers so far, and reports whether
// the route has turned bad.
func (run *running) observe(now time.Time, cou Counts, isNew, bad bool) bool {
	fade := math.Exp(-float64(now.Sub(run.at)) / float64(lately))
	run.good, run.bad, run.at = run.good*fade, run.bad*fade, now
	switch {
	case !isNew && bad:
		run.bad++
	case !isNew:
		run.good++
	default:
		usual := max(cou.formerPart(), Counts{FormerGood: int(run.good), FormerBad: int(run.bad)}.formerPart())
		ofBad, ofGood := stepsBeyond(usual)
		step := ofGood
		if bad {
			step = ofBad
		}
		run.ratio = max(0, run.ratio+step)
	}
	return run.ratio >= turnedBadAt
}

// isBad reports whether the new version's answers are worse.
func (cou Counts) isBad() bool {
	return cou.ratio() >= rejectAt
}

// isGood reports whether they are as good.
func (cou Counts) isGood() bool {
	return cou.ratio() <= acceptAt
}

// worst returns the first route, by name, whose answers are worse; "*" stands for all
// together.
func (tal Tally) worst(isBad func(Counts) bool) (string, bool) {
	for _, name := range slices.Sorted(maps.Keys(tal.Routes)) {
		if isBad(tal.Routes[name]) {
			return name, true
		}
	}
	return "*", isBad(tal.all())
}

const (
	// slowTimes is how many times as long as usual an answer takes that counts as bad. The
	// engines of a service differ by up to three times; bad versions are several times
	// slower.
	slowTimes = 4.0
	// leastSlow is how much longer than usual it takes at least: what nobody notices isn't
	// bad, however many times as long, and a busy host adds some milliseconds to anything.
	leastSlow = 30 * time.Millisecond
	// typicalGain is the weight of an answer in the usual logarithm of took by expected.
	typicalGain = 0.05
)

// speed is how long former engines take beside what is expected, by route.
type speed struct {
	logs map[string]float64
}

func (spe *speed) observe(route string, took, expected time.Duration) {
	if spe.logs == nil {
		spe.logs = make(map[string]float64)
	}
	spe.logs[route] += typicalGain * (math.Log(float64(took)/float64(expected)) - spe.logs[route])
}

// isSlow reports whether an answer took several times as long as usual.
func (spe *speed) isSlow(route string, took, expected time.Duration) bool {
	usual := time.Duration(float64(expected) * math.Exp(max(0, spe.logs[route])))
	return took > time.Duration(slowTimes*float64(usual)) && took-usual >= leastSlow
}

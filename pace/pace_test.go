package pace_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxwell.dev/lynxwell/pace"
)

// trueEngine simulates an engine; slow is the factor of its actual times to those of the reference.
type trueEngine struct{ slow float64 }

func (eng trueEngine) first(tokens int) time.Duration {
	length := float64(tokens)
	return time.Duration(eng.slow * (40 + length/70 + length*length*0.24e-6) * float64(time.Millisecond))
}

func (eng trueEngine) events(count int) time.Duration {
	return time.Duration(eng.slow * 16 * float64(count-1) * float64(time.Millisecond))
}

func assertWithin(t *testing.T, got, want time.Duration, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(float64(got-want)) <= tolerance*float64(want), "got %s, want %s", got, want)
}

var prompts = []int{628, 1800, 6600, 300, 12000, 2500, 900, 25000, 1500, 4000}

func TestEnginesOfDifferentSpeedAreLearnedWithinAFewAnswers(t *testing.T) {
	svc := pace.NewService(pace.DefaultReference)
	fast, slow := svc.NewEngine(pace.Profile{}), svc.NewEngine(pace.Profile{})
	for idx := range 100 {
		tokens := prompts[idx%len(prompts)]
		fast.ObservePrefill(tokens, trueEngine{0.7}.first(tokens))
		fast.ObserveEvents(40, trueEngine{0.7}.events(40))
		if idx%20 == 0 {
			slow.ObservePrefill(1800, trueEngine{3}.first(1800))
		}
	}
	for _, tokens := range []int{300, 2000, 8000, 30000} {
		assertWithin(t, fast.Overhead()+fast.PrefillTime(tokens), trueEngine{0.7}.first(tokens), 0.15)
		assertWithin(t, slow.Overhead()+slow.PrefillTime(tokens), trueEngine{3}.first(tokens), 0.3)
	}
	assertWithin(t, fast.Event(), 11*time.Millisecond, 0.15)
	// The time between the slow engine's events wasn't measured; it is predicted from the engine's
	// prefill factor.
	assertWithin(t, slow.Event(), 48*time.Millisecond, 0.4)
}

func TestProfileInitializesEngineOfAnotherHost(t *testing.T) {
	svc := pace.NewService(pace.DefaultReference)
	eng := svc.NewEngine(pace.Profile{})
	assert.Assert(t, !eng.HasMeasurements())
	assert.Equal(t, eng.Profile(), pace.Profile{})
	for range 10 {
		eng.ObservePrefill(1800, 4*(35*time.Millisecond+27*time.Millisecond))
	}
	other := pace.NewService(pace.DefaultReference).NewEngine(eng.Profile())
	assert.Assert(t, other.HasMeasurements())
	assertWithin(t, other.PrefillTime(5000), eng.PrefillTime(5000), 0.4)
}

func TestInvalidMeasurementsAreIgnored(t *testing.T) {
	eng := pace.NewService(pace.DefaultReference).NewEngine(pace.Profile{Read: math.NaN(), Event: math.Inf(1), Weight: 5})
	eng.ObservePrefill(0, time.Second)
	eng.ObservePrefill(100, 0)
	eng.ObserveEvents(2, time.Second)
	assert.Assert(t, eng.PrefillTime(1000) > 0 && eng.Event() > 0)
}

func TestPredictionsStayValidForArbitraryMeasurements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		svc := pace.NewService(pace.DefaultReference)
		eng := svc.NewEngine(pace.Profile{Read: rapid.Float64().Draw(t, "read"), Event: rapid.Float64().Draw(t, "event"), Weight: rapid.Float64().Draw(t, "weight")})
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			took := time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "took"))
			eng.ObservePrefill(rapid.IntRange(-1, 1_000_000).Draw(t, "tokens"), took)
			eng.ObserveEvents(rapid.IntRange(-1, 5000).Draw(t, "events"), took)
		}
		previous := time.Duration(0)
		for _, tokens := range []int{0, 1, 100, 10_000, 200_000} {
			prefill := eng.PrefillTime(tokens)
			if prefill < previous {
				t.Fatalf("prefill of %d tokens predicted to take %s, less than %s of a shorter prompt", tokens, prefill, previous)
			}
			previous = prefill
		}
		if eng.Event() <= 0 || eng.Overhead() <= 0 {
			t.Fatalf("predicted event time %s and overhead %s, want both above 0", eng.Event(), eng.Overhead())
		}
	})
}

func BenchmarkPredict(b *testing.B) {
	eng := pace.NewService(pace.DefaultReference).NewEngine(pace.Profile{Read: 2, Event: 2, Weight: 5})
	for b.Loop() {
		_ = eng.Overhead() + eng.PrefillTime(6600) + eng.Event()
	}
}

package pace_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/pace"
)

var (
	addressA = netip.MustParseAddrPort("127.0.0.1:1")
	addressB = netip.MustParseAddrPort("127.0.0.1:2")
)

func measurementsOf(records ...pace.Record) pace.Measurements {
	return pace.NewMeasurements(map[string]pace.ServiceMeasurements{"model": {Reference: pace.DefaultReference, Engines: records}})
}

func TestDiffersReportsNewAndChangedEngines(t *testing.T) {
	recorded := measurementsOf(pace.Record{Address: addressA, Profile: pace.Profile{Read: 1, Event: 1, Weight: 5}})
	for name, tst := range map[string]struct {
		newer pace.Measurements
		want  bool
	}{
		"unchanged":        {recorded, false},
		"slightly changed": {measurementsOf(pace.Record{Address: addressA, Profile: pace.Profile{Read: 1.1, Event: 0.9, Weight: 8}}), false},
		"much slower":      {measurementsOf(pace.Record{Address: addressA, Profile: pace.Profile{Read: 3, Event: 1, Weight: 8}}), true},
		"new engine":       {measurementsOf(pace.Record{Address: addressB, Profile: pace.Profile{Read: 1, Event: 1, Weight: 1}}), true},
		"missing engine":   {measurementsOf(), false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, recorded.Differs(tst.newer), tst.want)
		})
	}
	assert.Equal(t, pace.Measurements{}.Differs(recorded), true)
}

func TestAdoptedProfileYieldsToMeasurements(t *testing.T) {
	svc := pace.NewService(pace.DefaultReference)
	eng := svc.NewEngine(pace.Profile{Read: 4, Event: 4, Weight: 2})
	before := eng.PrefillTime(5000)
	eng.Adopt(pace.Profile{Read: 1, Event: 1, Weight: 1})
	assert.Equal(t, eng.PrefillTime(5000), before, "a profile based on fewer answers must be ignored")
	eng.Adopt(pace.Profile{Read: 1, Event: 1, Weight: 6})
	assert.Assert(t, eng.PrefillTime(5000) < before)
	for range 20 {
		eng.ObservePrefill(1800, 300*time.Millisecond)
	}
	assert.Assert(t, eng.PrefillTime(5000) > 2*before/3, "%s", eng.PrefillTime(5000))
}

func TestReferenceIsAdoptedOnlyBeforeOwnMeasurements(t *testing.T) {
	other := pace.Reference{Overhead: 80 * time.Millisecond, Token: 30 * time.Microsecond, Event: 50 * time.Millisecond}
	svc := pace.NewService(pace.DefaultReference)
	svc.Adopt(pace.Reference{})
	assert.Equal(t, svc.Reference(), pace.DefaultReference)
	svc.Adopt(other)
	assert.Equal(t, svc.Reference(), other)
	eng := svc.NewEngine(pace.Profile{})
	for range 10 {
		eng.ObservePrefill(1800, 100*time.Millisecond)
	}
	learned := svc.Reference()
	svc.Adopt(pace.DefaultReference)
	assert.Equal(t, svc.Reference(), learned)
}

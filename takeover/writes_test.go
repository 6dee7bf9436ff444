package takeover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/takeover"
)

func TestWritesFailForSomeTimeBeforeCoordinatorResigns(t *testing.T) {
	for name, tst := range map[string]struct {
		// failures are the times of failed writes in seconds, success that of a successful one.
		failures []float64
		success  float64
		want     bool
	}{
		"none":                 {nil, 0, false},
		"one":                  {[]float64{3}, 0, false},
		"for two seconds":      {[]float64{1, 2, 3}, 0, true},
		"with a success":       {[]float64{1, 2, 3}, 2, false},
		"two, a minute apart":  {[]float64{1, 61}, 0, false},
		"two, seconds apart":   {[]float64{1, 4}, 0, true},
		"for less than a time": {[]float64{1, 2.9}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var wri takeover.Writes
			now := start
			for _, at := range tst.failures {
				now = start.Add(time.Duration(at * float64(time.Second)))
				if tst.success == at {
					wri.Succeeded()
					continue
				}
				wri.Failed(now)
			}
			assert.Equal(t, wri.Failing(now), tst.want)
		})
	}
}

// Guards against a coordinator that can't write and keeps its office, because its copy, though read through
// hosts that reach the store, is older than a source of copies may be each time it looks.
func TestStoreServesOthersIfItAnsweredThemSinceWritesFail(t *testing.T) {
	for name, tst := range map[string]struct {
		// served and now are in milliseconds since the first failure.
		served, now int
		want        bool
	}{
		"before the failures":             {-1, 2000, false},
		"with the first failure":          {0, 2000, false},
		"just confirmed":                  {1990, 2000, true},
		"older than a source may be":      {1100, 3100, true},
		"confirmed by a watch of a watch": {1, 3200, true},
		"too long ago":                    {1, 3400, false},
	} {
		t.Run(name, func(t *testing.T) {
			var wri takeover.Writes
			wri.Failed(start)
			served := start.Add(time.Duration(tst.served) * time.Millisecond)
			now := start.Add(time.Duration(tst.now) * time.Millisecond)
			assert.Equal(t, wri.ServesOthers(now, served), tst.want)
		})
	}
}

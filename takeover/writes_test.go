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

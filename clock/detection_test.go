package clock_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/clock"
)

// racing is a source whose boot-time clock is read while another goroutine reads the clock.
type racing struct {
	wall time.Time
	boot time.Duration
	clk  *clock.Clock
	seen time.Time
}

func (rcs *racing) Now() (time.Duration, time.Time) { return 0, rcs.wall }
func (rcs *racing) Boot() (time.Duration, error) {
	if rcs.clk != nil {
		clk := rcs.clk
		rcs.clk = nil
		rcs.seen = clk.Now()
	}
	return rcs.boot, nil
}

// Guards against a reading without the suspension while another goroutine detects it.
func TestReadingDuringDetectionCountsSuspension(t *testing.T) {
	rcs := &racing{wall: time.Unix(1000, 0)}
	clk := clock.New(clock.Config{Source: rcs})
	before := clk.Now()
	rcs.wall, rcs.boot, rcs.clk = rcs.wall.Add(5*time.Second), 5*time.Second, clk
	after := clk.Now()
	assert.Equal(t, after.Sub(before), 5*time.Second)
	assert.Equal(t, rcs.seen.Sub(before), 5*time.Second, "a second goroutine reads the time meanwhile")
}

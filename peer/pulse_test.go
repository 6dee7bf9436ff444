package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPulse(t *testing.T) {
	tim := Timing{Heartbeat: time.Second, Timeout: 3 * time.Second}
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	cases := map[string]struct {
		events func(pul *pulse)
		now    int
		silent bool
		beats  bool
	}{
		"IdleBeatsSlowly":            {func(*pulse) {}, 4, false, false},
		"IdleBeatsInTheEnd":          {func(*pulse) {}, 6, false, true},
		"IdleIsLostLate":             {func(*pulse) {}, 19, true, true},
		"IdleIsNotLostSoon":          {func(*pulse) {}, 17, false, true},
		"BusyBeatsFast":              {func(pul *pulse) { pul.sent(at(1), tim) }, 2, false, true},
		"BusyIsLostSoon":             {func(pul *pulse) { pul.sent(at(1), tim) }, 5, true, true},
		"HeardIsNotLost":             {func(pul *pulse) { pul.sent(at(1), tim); pul.heard(at(4), false, tim) }, 5, false, true},
		"LongIdleThenBusyHasTime":    {func(pul *pulse) { pul.sent(at(10), tim) }, 12, false, true},
		"LongIdleThenBusyIsLost":     {func(pul *pulse) { pul.sent(at(10), tim) }, 14, true, true},
		"MessageHeardBeatsFast":      {func(pul *pulse) { pul.heard(at(1), true, tim) }, 2, false, true},
		"BusyBecomesIdleAfterAWhile": {func(pul *pulse) { pul.sent(at(1), tim); pul.heard(at(13), false, tim) }, 20, false, true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			pul := &pulse{}
			pul.begin(start)
			cas.events(pul)
			silent, _ := pul.silent(at(cas.now), tim)
			assert.Equal(t, silent, cas.silent)
			assert.Equal(t, pul.due(at(cas.now), tim), cas.beats)
		})
	}
}

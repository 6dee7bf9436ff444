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
		answers bool
		events  func(pul *pulse)
		now     int
		silent  bool
		beats   bool
	}{
		"IdleBeatsSlowly":           {false, func(*pulse) {}, 4, false, false},
		"IdleBeatsInTheEnd":         {false, func(*pulse) {}, 6, false, true},
		"IdleIsNotLostSoon":         {false, func(*pulse) {}, 17, false, true},
		"IdleIsLostLate":            {false, func(*pulse) {}, 19, true, true},
		"GatewayWaitsForASign":      {false, func(pul *pulse) { pul.sent(at(1), tim) }, 5, true, false},
		"GatewayHearsASign":         {false, func(pul *pulse) { pul.sent(at(1), tim); pul.heard(at(4), false, tim) }, 5, false, false},
		"GatewayGivesItTime":        {false, func(pul *pulse) { pul.sent(at(10), tim) }, 12, false, false},
		"GatewayAfterLongIdleLoses": {false, func(pul *pulse) { pul.sent(at(10), tim) }, 14, true, false},
		"GatewayIsIdleAgain":        {false, func(pul *pulse) { pul.sent(at(1), tim); pul.heard(at(13), false, tim) }, 20, false, true},
		"CoordinatorBeatsFast":      {true, func(pul *pulse) { pul.heard(at(1), true, tim) }, 2, false, true},
		"CoordinatorBeatsSlowly":    {true, func(pul *pulse) { pul.heard(at(1), false, tim) }, 2, false, false},
		"CoordinatorNeedNoSign":     {true, func(pul *pulse) { pul.heard(at(1), true, tim); pul.sent(at(1), tim) }, 8, false, true},
		"CoordinatorLosesLate":      {true, func(pul *pulse) { pul.heard(at(1), true, tim) }, 20, true, true},
		"AnswerIsABeat":             {true, func(pul *pulse) { pul.heard(at(1), true, tim); pul.sent(at(2), tim) }, 2, false, false},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			pul := &pulse{answers: cas.answers}
			pul.begin(start)
			cas.events(pul)
			silent, _ := pul.silent(at(cas.now), tim)
			assert.Equal(t, silent, cas.silent)
			assert.Equal(t, pul.due(at(cas.now), tim), cas.beats)
		})
	}
}

package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHeartbeat(t *testing.T) {
	tim := Timing{Heartbeat: time.Second, Timeout: 3 * time.Second}
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	cases := map[string]struct {
		atCoordinator bool
		events        func(hbt *heartbeat)
		now           int
		timedOut      bool
		due           bool
	}{
		"IdleBeatsSlowly":           {false, func(*heartbeat) {}, 4, false, false},
		"IdleBeatsInTheEnd":         {false, func(*heartbeat) {}, 6, false, true},
		"IdleIsNotLostSoon":         {false, func(*heartbeat) {}, 17, false, true},
		"IdleIsLostLate":            {false, func(*heartbeat) {}, 19, true, true},
		"GatewayWaitsForASign":      {false, func(hbt *heartbeat) { hbt.recordSent(at(1), tim) }, 5, true, false},
		"GatewayHearsASign":         {false, func(hbt *heartbeat) { hbt.recordSent(at(1), tim); hbt.recordReceived(at(4), false, tim) }, 5, false, false},
		"GatewayGivesItTime":        {false, func(hbt *heartbeat) { hbt.recordSent(at(10), tim) }, 12, false, false},
		"GatewayAfterLongIdleLoses": {false, func(hbt *heartbeat) { hbt.recordSent(at(10), tim) }, 14, true, false},
		"GatewayIsIdleAgain":        {false, func(hbt *heartbeat) { hbt.recordSent(at(1), tim); hbt.recordReceived(at(13), false, tim) }, 20, false, true},
		"CoordinatorBeatsFast":      {true, func(hbt *heartbeat) { hbt.recordReceived(at(1), true, tim) }, 2, false, true},
		"CoordinatorBeatsSlowly":    {true, func(hbt *heartbeat) { hbt.recordReceived(at(1), false, tim) }, 2, false, false},
		"CoordinatorNeedNoSign":     {true, func(hbt *heartbeat) { hbt.recordReceived(at(1), true, tim); hbt.recordSent(at(1), tim) }, 8, false, true},
		"CoordinatorLosesLate":      {true, func(hbt *heartbeat) { hbt.recordReceived(at(1), true, tim) }, 20, true, true},
		"AnswerIsABeat":             {true, func(hbt *heartbeat) { hbt.recordReceived(at(1), true, tim); hbt.recordSent(at(2), tim) }, 2, false, false},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			hbt := &heartbeat{atCoordinator: cas.atCoordinator}
			hbt.start(start)
			cas.events(hbt)
			timedOut, _ := hbt.timedOut(at(cas.now), tim)
			assert.Equal(t, timedOut, cas.timedOut)
			assert.Equal(t, hbt.due(at(cas.now), tim), cas.due)
		})
	}
}

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
		"IdleNotDueAfterShortInterval":            {false, func(*heartbeat) {}, 4, false, false},
		"IdleDueAfterLongInterval":                {false, func(*heartbeat) {}, 6, false, true},
		"IdleDoesNotTimeOutEarly":                 {false, func(*heartbeat) {}, 17, false, true},
		"IdleTimesOutAfterLongTimeout":            {false, func(*heartbeat) {}, 19, true, true},
		"BusyGatewayTimesOut":                     {false, func(hbt *heartbeat) { hbt.recordSent(at(1), tim) }, 5, true, false},
		"BusyGatewayReceivesFrame":                {false, func(hbt *heartbeat) { hbt.recordSent(at(1), tim); hbt.recordReceived(at(4), false, tim) }, 5, false, false},
		"BusyGatewayDoesNotTimeOutEarly":          {false, func(hbt *heartbeat) { hbt.recordSent(at(10), tim) }, 12, false, false},
		"BusyGatewayAfterLongIdleTimesOut":        {false, func(hbt *heartbeat) { hbt.recordSent(at(10), tim) }, 14, true, false},
		"GatewayBecomesIdleAgain":                 {false, func(hbt *heartbeat) { hbt.recordSent(at(1), tim); hbt.recordReceived(at(13), false, tim) }, 20, false, true},
		"BusyCoordinatorDueAfterShortInterval":    {true, func(hbt *heartbeat) { hbt.recordReceived(at(1), true, tim) }, 2, false, true},
		"IdleCoordinatorNotDueAfterShortInterval": {true, func(hbt *heartbeat) { hbt.recordReceived(at(1), false, tim) }, 2, false, false},
		"BusyCoordinatorDoesNotTimeOutEarly":      {true, func(hbt *heartbeat) { hbt.recordReceived(at(1), true, tim); hbt.recordSent(at(1), tim) }, 8, false, true},
		"CoordinatorTimesOutAfterLongTimeout":     {true, func(hbt *heartbeat) { hbt.recordReceived(at(1), true, tim) }, 20, true, true},
		"SentMessageReplacesHeartbeat":            {true, func(hbt *heartbeat) { hbt.recordReceived(at(1), true, tim); hbt.recordSent(at(2), tim) }, 2, false, false},
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

package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// Guards against a false hold of a request whose answers engines cut off that lived on and were later
// deregistered as planned: each deletion of an entry within ten seconds counted as a crash, although the
// engine had answered other requests meanwhile. The request got 502 Held from the fourth attempt on.
func TestCutAnswersOfDeregisteredEnginesDoNotHoldRequest(t *testing.T) {
	for name, deletedAtOnce := range map[string]bool{"deleted at once": true, "deleted after the check": false} {
		t.Run(name, func(t *testing.T) {
			engine := plainEngine("p0")
			sys := start(t, 4, []*upstreamtest.Engine{engine})
			for num := range 3 {
				engine.InjectFault(upstreamtest.DropAnswer, 1)
				ans := sendSame(t, sys, num, fmt.Sprint("cut-", num))
				assert.Assert(t, ans.Status != http.StatusOK, "the engine cuts the answer off")
				if !deletedAtOnce {
					sendOthers(t, sys, engine.ID(), 5)
					waitForChecks(sys, num+1)
				}
				next := plainEngine(fmt.Sprint("p", num+1))
				sys.AddEngines(next)
				sys.RemoveEngine(engine.ID())
				sys.WaitUntil("every host knows the next engine only", func() bool { return knowOnly(sys, next.ID()) })
				engine = next
			}
			waitForChecks(sys, 3)
			for num := range sys.Hosts {
				ans := sendSame(t, sys, num, fmt.Sprint("last-", num))
				assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
			}
		})
	}
}

// waitForChecks waits until the hosts have made a number of checks in all.
func waitForChecks(sys *entrytest.System, count int) {
	sys.WaitUntil("the engines are checked", func() bool {
		return strings.Count(sys.Log(), "engine checked after it ended a connection") == count
	})
}

// sendSame sends the request that all attempts of the test have in common, to one of the hosts.
func sendSame(t *testing.T, sys *entrytest.System, num int, id string) entrytest.Answer {
	t.Helper()
	return sys.Send(t.Context(), sys.Hosts[num%len(sys.Hosts)], entrytest.Request{ID: id, Path: "/unsafe/week", Body: "the same"})
}

// sendOthers sends other requests to each host.
func sendOthers(t *testing.T, sys *entrytest.System, engine string, count int) {
	t.Helper()
	for num := range count * len(sys.Hosts) {
		id := fmt.Sprintf("beside-%s-%d", engine, num)
		ans := sys.Send(t.Context(), sys.Hosts[num%len(sys.Hosts)], entrytest.Request{ID: id, Path: "/unsafe/week", Body: id})
		assert.Equal(t, ans.Status, http.StatusOK, ans.Body)
	}
}

// knowOnly reports whether the engine with the id is the only one that each host knows.
func knowOnly(sys *entrytest.System, id string) bool {
	for _, hos := range sys.Hosts {
		engines := hos.Dump().Engines
		if len(engines) != 1 || engines[0].ID.Name != id {
			return false
		}
	}
	return true
}

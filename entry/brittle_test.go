package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/entrytest"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// Guards against LIMIT: engines that said that they were brittle fell over 13 times in ten seconds of twice the
// load that they bear, where 2 and a tenth of their number are allowed, and 146 of 1,200 requests were answered.
func TestBrittleEnginesDoNotFallOver(t *testing.T) {
	const requests, interval = 800, 5 * time.Millisecond
	var engines []*upstreamtest.Engine
	for idx := range 3 {
		engines = append(engines, upstreamtest.NewEngine(upstreamtest.Config{
			ID: fmt.Sprint("m", idx), Service: entrytest.Model, Slots: 4, Events: streamEvents, Step: 30 * time.Millisecond,
		}))
	}
	sys := start(t, 2, engines)
	for _, eng := range engines {
		eng.SetBrittle(3)
	}
	var answered atomic.Int64
	var wait sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for num := range requests {
		wait.Go(func() {
			ans := sys.Send(t.Context(), sys.Hosts[num%2], entrytest.Request{ID: fmt.Sprint("b", num), Path: "/stream/x", Header: map[string]string{"Token-Counts": "100,20", "Deadline-Ms": "3000"}})
			if ans.Status == http.StatusOK && ans.Err == nil {
				answered.Add(1)
			}
		})
		<-tick.C
	}
	wait.Wait()
	falls := 0
	for _, eng := range engines {
		falls += eng.Falls()
	}
	t.Logf("%d of %d answered, %d falls", answered.Load(), requests, falls)
	assert.Assert(t, falls <= 2, "%d engines fell over", falls)
	assert.Assert(t, 4*answered.Load() >= requests, "%d of %d answered", answered.Load(), requests)
}

package entry

import (
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstream"
)

// newColdServiceHost returns a host that knows one engine of a service that limits the request rate
// of cold engines.
func newColdServiceHost(t *testing.T) (*Host, fleet.Engine) {
	t.Helper()
	hos := newTestHost(t, io.Discard)
	tab, err := route.NewTable(route.Configuration{Version: 1, Services: []route.Service{{Name: "s", ColdFor: 3 * time.Second, ColdRate: 8}}})
	assert.NilError(t, err)
	eng := fleet.Engine{ID: fleet.EngineID{Name: "e1"}, Service: "s"}
	hos.snapshot.Store(&snapshot{table: tab, engines: map[string]fleet.Engine{"e1": eng}})
	return hos, eng
}

// A host uses a grant of an engine that it knows to be cold, from the engine's entry or signal, only
// if the scheduler knew so too and the grant is recent.
func TestUninformedOrOldGrantOfColdEngineIsReturned(t *testing.T) {
	hos, eng := newColdServiceHost(t)
	now := hos.clock.Now()
	assert.NilError(t, hos.checkEngine(eng, grant{grantedAt: now}))
	cold := eng
	cold.ColdUntil = now.Add(time.Hour)
	hos.snapshot.Store(&snapshot{table: hos.snapshot.Load().table, engines: map[string]fleet.Engine{"e1": cold}})
	var exceeded *RateExceededError
	assert.Assert(t, errors.As(hos.checkEngine(eng, grant{grantedAt: now}), &exceeded), "the engine became cold after the grant")
	assert.Assert(t, errors.As(hos.checkEngine(eng, grant{cold: true, grantedAt: now.Add(-time.Second)}), &exceeded), "the grant is too old")
	assert.NilError(t, hos.checkEngine(eng, grant{cold: true, grantedAt: now}))
	hos.snapshot.Store(&snapshot{table: hos.snapshot.Load().table, engines: map[string]fleet.Engine{"e1": eng}})
	assert.NilError(t, hos.checkEngine(eng, grant{grantedAt: now}))
	hos.notices.apply(upstream.HeadReceived{Endpoint: upstream.Endpoint{Engine: eng.ID}, Head: call.AnswerHead{Cold: time.Minute}})
	assert.Assert(t, errors.As(hos.checkEngine(eng, grant{grantedAt: now}), &exceeded), "cold by the engine's own signal")
}

// After an evacuation order is withdrawn the domain's engines count as cold, since they were idle.
// An order applies whatever its value is, and is withdrawn by a complete read of the store that
// doesn't contain it.
func TestEnginesAreColdAfterEvacuationIsWithdrawn(t *testing.T) {
	wat, _ := newTestWatcher(t)
	wat.apply(changeUpdate(11, "op/config", []byte(`{"version":1,"services":[{"name":"s","cold_s":3,"cold_per_s":8}]}`)))
	wat.apply(changeUpdate(12, "op/evacuate/z", []byte("{}")))
	eng, _ := wat.host.snapshot.Load().engine(fleet.EngineID{Name: "e1"})
	assert.Assert(t, eng.Emptied && eng.Closed())
	wat.apply(update{changes: store.Changes{Revision: 13, Changes: []store.Change{{Value: store.Value{Key: "op/evacuate/z", Revision: 13}, Deleted: true}}}})
	eng, _ = wat.host.snapshot.Load().engine(fleet.EngineID{Name: "e1"})
	assert.Assert(t, !eng.Emptied)
	left, rate := wat.host.coldRemaining(eng)
	assert.Assert(t, left > 2*time.Second && rate == 8, "%v %v", left, rate)
	wat.apply(changeUpdate(14, "op/evacuate/z", []byte("\xff")))
	assert.Equal(t, len(wat.host.evacuations.enforced()), 1)
	wat.apply(update{complete: true, changes: store.Changes{Revision: 20}, values: []store.Value{{Key: "servers/e1", Data: validEngineEntry(1), Revision: 1}}})
	assert.Equal(t, len(wat.host.evacuations.enforced()), 0)
}

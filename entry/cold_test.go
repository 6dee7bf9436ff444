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

// chillyHost returns a host that knows an engine of a service whose cold engines bear something.
func chillyHost(t *testing.T) (*Host, fleet.Engine) {
	t.Helper()
	hos := barredHost(t, io.Discard)
	tab, err := route.NewTable(route.Configuration{Version: 1, Services: []route.Service{{Name: "s", ColdFor: 3 * time.Second, ColdRate: 8}}})
	assert.NilError(t, err)
	eng := fleet.Engine{ID: fleet.EngineID{Name: "e1"}, Service: "s"}
	hos.belief.Store(&belief{table: tab, engines: map[string]fleet.Engine{"e1": eng}})
	return hos, eng
}

// A grant of an engine that this host knows to be cold is used only if who decided knew so too,
// and a moment ago: by its entry, or by its own word.
func TestGrantOfAColdEngineIsSentBack(t *testing.T) {
	hos, eng := chillyHost(t)
	now := hos.clock.Now()
	assert.NilError(t, hos.maySend(eng, grant{at: now}))
	cold := eng
	cold.ColdUntil = now.Add(time.Hour)
	hos.belief.Store(&belief{table: hos.belief.Load().table, engines: map[string]fleet.Engine{"e1": cold}})
	var unpaced *UnpacedError
	assert.Assert(t, errors.As(hos.maySend(eng, grant{at: now}), &unpaced), "known since it was granted")
	assert.Assert(t, errors.As(hos.maySend(eng, grant{cold: true, at: now.Add(-time.Second)}), &unpaced), "granted long ago")
	assert.NilError(t, hos.maySend(eng, grant{cold: true, at: now}))
	hos.belief.Store(&belief{table: hos.belief.Load().table, engines: map[string]fleet.Engine{"e1": eng}})
	assert.NilError(t, hos.maySend(eng, grant{at: now}))
	hos.notices.take(upstream.Heard{Endpoint: upstream.Endpoint{Engine: eng.ID}, Head: call.AnswerHead{Cold: time.Minute}})
	assert.Assert(t, errors.As(hos.maySend(eng, grant{at: now}), &unpaced), "by its own word")
}

// An order to empty a domain that is taken back leaves its engines cold as far as anybody knows,
// and an order holds whatever its value is; a whole reading without it takes it back.
func TestEnginesOfADomainThatIsUsedAgainAreTakenToBeCold(t *testing.T) {
	obs, _ := watching(t)
	obs.apply(change(11, "op/config", []byte(`{"version":1,"services":[{"name":"s","cold_s":3,"cold_per_s":8}]}`)))
	obs.apply(change(12, "op/evacuate/z", []byte("{}")))
	eng, _ := obs.host.belief.Load().engine(fleet.EngineID{Name: "e1"})
	assert.Assert(t, eng.Emptied && eng.Closed())
	obs.apply(update{changes: store.Changes{Revision: 13, Changes: []store.Change{{Value: store.Value{Key: "op/evacuate/z", Revision: 13}, Deleted: true}}}})
	eng, _ = obs.host.belief.Load().engine(fleet.EngineID{Name: "e1"})
	assert.Assert(t, !eng.Emptied)
	left, rate := obs.host.coldLeft(eng)
	assert.Assert(t, left > 2*time.Second && rate == 8, "%v %v", left, rate)
	obs.apply(change(14, "op/evacuate/z", []byte("\xff")))
	assert.Equal(t, len(obs.host.evacuations.kept()), 1)
	obs.apply(update{whole: true, changes: store.Changes{Revision: 20}, values: []store.Value{{Key: "servers/e1", Data: soundEntry(1), Revision: 1}}})
	assert.Equal(t, len(obs.host.evacuations.kept()), 0)
}

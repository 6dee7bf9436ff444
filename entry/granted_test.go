package entry

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/settings"
)

// A coordinator that lost the store may grant what this host knows to be leaving.
func TestGrantOfAnEngineThatLeavesIsPassedOver(t *testing.T) {
	hos, err := New(Config{Settings: settings.Entry{Name: "host-1", PeerKey: "key between the hosts"}, Log: zerolog.Nop()})
	assert.NilError(t, err)
	hos.belief.Store(&belief{engines: map[fleet.EngineID]fleet.Engine{
		"stays": {ID: "stays"}, "leaves": {ID: "leaves", Draining: true},
	}})
	for name, want := range map[string]cause{"stays": "", "leaves": causeEngineGone, "gone": causeEngineGone} {
		exc := &exchange{host: hos, route: route.Route{Public: true}}
		_, pro := exc.granted(name, request.ID{Unique: "r1"})
		if want == "" {
			assert.Assert(t, pro == nil, name)
			continue
		}
		assert.Equal(t, pro.cause, want, name)
	}
}

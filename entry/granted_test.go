package entry

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/call"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/settings"
)

// A coordinator that has lost the store may grant an engine that this host knows to be draining.
func TestGrantOfDrainingEngineIsSkipped(t *testing.T) {
	hos, err := New(Config{Settings: settings.Entry{Name: "host-1", PeerKey: "key between the hosts"}, Log: zerolog.Nop()})
	assert.NilError(t, err)
	hos.snapshot.Store(&snapshot{engines: map[string]fleet.Engine{
		"ready": {ID: fleet.EngineID{Name: "ready"}}, "draining": {ID: fleet.EngineID{Name: "draining"}, Draining: true},
	}})
	for name, want := range map[string]cause{"ready": "", "draining": causeEngineUnavailable, "deregistered": causeEngineUnavailable} {
		exc := &exchange{host: hos, route: route.Route{Public: true}}
		_, pro := exc.checkGrant(reservation.Grant{Engine: name}, request.ID{Unique: "r1"})
		if want == "" {
			assert.Assert(t, pro == nil, name)
			continue
		}
		assert.Equal(t, pro.cause, want, name)
	}
}

// Either of the host and the coordinator may be the first to read that an engine has restarted.
// The request goes to the later run, and the reservation that the host reports to another
// coordinator names that run.
func TestGrantOfOtherEngineRunUsesLaterRun(t *testing.T) {
	former, later := fleet.NewEngineID("e", time.UnixMilli(1000)), fleet.NewEngineID("e", time.UnixMilli(2000))
	for _, tst := range []struct {
		name    string
		known   fleet.Engine
		granted fleet.EngineID
		want    cause
	}{
		{"the host doesn't know the later run", fleet.Engine{ID: former}, later, ""},
		{"the former run was draining", fleet.Engine{ID: former, Draining: true}, later, ""},
		{"the coordinator doesn't know the later run", fleet.Engine{ID: later}, former, ""},
		{"the later run is draining", fleet.Engine{ID: later, Draining: true}, former, causeEngineUnavailable},
		{"another engine", fleet.Engine{ID: later}, fleet.NewEngineID("f", time.UnixMilli(2000)), causeEngineUnavailable},
	} {
		t.Run(tst.name, func(t *testing.T) {
			hos, err := New(Config{Settings: settings.Entry{Name: "host-1", PeerKey: "key between the hosts"}, Log: zerolog.Nop()})
			assert.NilError(t, err)
			hos.snapshot.Store(&snapshot{engines: map[string]fleet.Engine{"e": tst.known}})
			rid := request.ID{Unique: "r1"}
			hos.broker.activeGrants[rid] = &reservation.Adopt{ID: rid, Engine: tst.granted.String()}
			exc := &exchange{host: hos, route: route.Route{Public: true}}
			eng, pro := exc.checkGrant(reservation.Grant{Engine: tst.granted.String()}, rid)
			if tst.want != "" {
				assert.Equal(t, pro.cause, tst.want)
				return
			}
			assert.Assert(t, pro == nil)
			assert.Equal(t, eng.ID, later)
			assert.Equal(t, eng.Draining, false)
			assert.Equal(t, hos.broker.activeGrants[rid].Engine, later.String())
		})
	}
}

// Guards against requests that are sent on what was in force at the grant: opening a connection takes up to a
// second, in which the key may be revoked, and the engine may begin to drain or leave.
func TestChangesAfterGrantAreSeenBeforeSend(t *testing.T) {
	eng := fleet.Engine{ID: fleet.EngineID{Name: "e"}}
	draining := eng
	draining.Draining = true
	known := map[string]fleet.Engine{"e": eng}
	tableOf := func(account, key string) *route.Table {
		tab, err := route.NewTable(route.Configuration{Version: 1, Accounts: []route.Account{{Name: account, Keys: []string{key}}}})
		assert.NilError(t, err)
		return tab
	}
	tableWith := func(key string) *route.Table { return tableOf("a", key) }
	for _, tst := range []struct {
		name    string
		current snapshot
		public  bool
		want    string
	}{
		{name: "nothing changed", current: snapshot{table: tableWith("key"), engines: known}},
		{name: "the key is revoked", current: snapshot{table: tableWith("other"), engines: known}, want: "key"},
		{name: "the key is another account's", current: snapshot{table: tableOf("b", "key"), engines: known}, want: "key"},
		{name: "the engine drains", current: snapshot{table: tableWith("key"), engines: map[string]fleet.Engine{"e": draining}}, want: "engine"},
		{name: "the engine has left", current: snapshot{table: tableWith("key")}, want: "engine"},
		{name: "the engine of a public route has left", current: snapshot{table: tableWith("key")}, public: true, want: "engine"},
	} {
		t.Run(tst.name, func(t *testing.T) {
			hos, err := New(Config{Settings: settings.Entry{Name: "host-1", PeerKey: "key between the hosts", Bounds: settings.Bounds{RevokeMilliseconds: 5000}}, Log: zerolog.Nop()})
			assert.NilError(t, err)
			hos.confirm(hos.clock.Now())
			exc := &exchange{host: hos, deadline: hos.clock.Now().Add(time.Minute), route: route.Route{Public: tst.public}, request: call.Request{Key: "key"}}
			if !tst.public {
				exc.account = route.Account{Name: "a"}
			}
			hos.snapshot.Store(&tst.current)
			err = exc.checkBeforeSend(eng)
			var expired *ExpiredError
			if tst.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.As(err, &expired), "%v", err)
			assert.Equal(t, expired.What, tst.want)
		})
	}
}

package entrytest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/store"
	"lynxwell.dev/lynxwell/upstreamtest"
)

// EngineState is what an engine tells of itself.
type EngineState struct {
	Service  string
	Address  string
	Slots    int
	Draining bool
	// Version is that of its software; empty stands for "v1".
	Version string
	// Domain is its failure domain; empty stands for "d0".
	Domain string
	// Cold is for how much longer it is cold.
	Cold time.Duration
	// Born is when the engine's run started; the zero time has it not told.
	Born time.Time
	// Sequence counts what the run tells, from 1 on.
	Sequence uint64
}

// EngineEntry returns an engine's entry in the store as the engine writes it.
func EngineEntry(sta EngineState) []byte {
	state := "ready"
	if sta.Draining {
		state = "draining"
	}
	born := ""
	if !sta.Born.IsZero() {
		born = fmt.Sprintf(`,"born":%d`, sta.Born.UnixMilli())
	}
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold_left_ms":%d,"seq":%d%s}`,
		sta.Service, sta.Address, cmp.Or(sta.Domain, "d0"), cmp.Or(sta.Version, "v1"), sta.Slots, state, sta.Cold.Milliseconds(), max(1, sta.Sequence), born)
}

// EngineKey returns the key of an engine's entry.
func EngineKey(id string) string { return "servers/" + id }

// ConfigurationKey is the key of the operators' configuration.
const ConfigurationKey = "op/config"

// Enter writes an engine's entry.
func (sys *System) Enter(eng *upstreamtest.Engine, address string, draining bool) {
	sys.t.Helper()
	sys.EnterState(eng.ID(), EngineState{Service: eng.Service(), Address: address, Slots: eng.Slots(), Draining: draining, Version: eng.Version(), Domain: eng.Domain()})
}

// EnterState writes what an engine tells of itself.
func (sys *System) EnterState(id string, sta EngineState) {
	sys.t.Helper()
	sys.put(EngineKey(id), string(EngineEntry(sta)))
}

// Order asks for a roll-out, as operators do.
func (sys *System) Order(service, version string, period time.Duration) {
	sys.t.Helper()
	sys.put("op/rollout/"+service, fmt.Sprintf(`{"service":%q,"target_version":%q,"period_s":%g}`, service, version, period.Seconds()))
}

// RolloutState returns what operators read of a service's roll-out; empty for nothing.
func (sys *System) RolloutState(service string) (state, version string) {
	sys.t.Helper()
	val, err := sys.Store.Get(sys.t.Context(), "status/rollout/"+service)
	assert.NilError(sys.t, err)
	var told struct {
		State   string `json:"state"`
		Version string `json:"target_version"`
	}
	if len(val.Data) > 0 {
		assert.NilError(sys.t, json.Unmarshal(val.Data, &told))
	}
	return told.State, told.Version
}

// Evacuate has a failure domain emptied, as operators do, with any value; TakeBack ends that.
func (sys *System) Evacuate(domain, value string) {
	sys.t.Helper()
	assert.NilError(sys.t, sys.Store.Write(store.Write{Key: EvacuationKey(domain), Data: []byte(value), Blind: true}))
}

// TakeBack takes back an order to empty a failure domain.
func (sys *System) TakeBack(domain string) {
	sys.t.Helper()
	assert.NilError(sys.t, sys.Store.Write(store.Write{Key: EvacuationKey(domain), Delete: true, Blind: true}))
}

// EvacuationKey returns the key of an order to empty a failure domain.
func EvacuationKey(domain string) string { return "op/evacuate/" + domain }

// EvacuationStateKey returns the key of what operators read of it.
func EvacuationStateKey(domain string) string { return "status/evacuate/" + domain }

// EvacuationState is what operators read of an order to empty a failure domain.
type EvacuationState struct {
	State string `json:"state"`
	Order uint64 `json:"revision"`
}

// EvacuationState returns what operators read of a failure domain; empty for nothing.
func (sys *System) EvacuationState(domain string) EvacuationState {
	sys.t.Helper()
	val := sys.Store.Peek(EvacuationStateKey(domain))
	var told EvacuationState
	if len(val.Data) > 0 {
		assert.NilError(sys.t, json.Unmarshal(val.Data, &told))
	}
	return told
}

// AddEngines starts engines and has them enter.
func (sys *System) AddEngines(engines ...*upstreamtest.Engine) {
	sys.t.Helper()
	for _, eng := range engines {
		sys.Enter(eng, sys.Listen(eng), false)
	}
}

// Listen starts an engine that doesn't enter yet, and returns its address.
func (sys *System) Listen(eng *upstreamtest.Engine) string {
	sys.t.Helper()
	srv := httptest.NewServer(eng.Handler())
	sys.t.Cleanup(srv.CloseClientConnections)
	return srv.Listener.Addr().String()
}

// RemoveHost takes a host's entry away.
func (sys *System) RemoveHost(name string) {
	sys.t.Helper()
	assert.NilError(sys.t, sys.Store.Write(store.Write{Key: platform.MemberKey(name), Delete: true, Blind: true}))
}

// Configuration is what a test puts in force; zero stands for the defaults.
type Configuration struct {
	Version uint64
	// Attempts is how many engines a request may be sent to, default 2.
	Attempts int
	// Timeout is how long a request may be held, default 5 s.
	Timeout time.Duration
	// Aim is within what time an answer is in time, default 2 s.
	Aim time.Duration
	// Keys are the account's keys, default Key alone.
	Keys []string
	// Rate and Burst limit the account by tokens; 0 is no limit.
	Rate  float64
	Burst float64
	// NoRoutes leaves the routes out.
	NoRoutes bool
	// RouteRegions and AccountRegions are those in which requests may be served; nil for all.
	RouteRegions   []string
	AccountRegions []string
	// ColdFor is for how long engines are cold after their start, ColdRate what each bears
	// meanwhile, in requests a second; 0 for engines that never are.
	ColdFor  time.Duration
	ColdRate float64
}

// JSON returns the configuration as operators write it.
func (con Configuration) JSON() string {
	if con.Attempts == 0 {
		con.Attempts = 2
	}
	if con.Timeout == 0 {
		con.Timeout = 5 * time.Second
	}
	if con.Aim == 0 {
		con.Aim = 2 * time.Second
	}
	if con.Keys == nil {
		con.Keys = []string{Key}
	}
	var routes []string
	for _, rou := range []struct{ name, kind, service, more string }{
		{"stream", "streaming", Model, `,"sticky":true,"gap_aim_ms":400`},
		{"resume", "streaming", Model, `,"sticky":true,"resumable":true,"gap_aim_ms":400`},
		{"safe", "safe", Plain, ""},
		{"unsafe", "unsafe", Plain, ""},
		{"public", "safe", Plain, `,"public":true`},
	} {
		if con.RouteRegions != nil {
			rou.more += `,"allowed_regions":` + list(con.RouteRegions)
		}
		routes = append(routes, fmt.Sprintf(`{"name":%q,"hostname":%q,"path_prefix":"/%s/","kind":%q,"timeout_ms":%d,"target_latency_ms":%d,"priority":1,"service":%q,"max_attempts":%d%s}`,
			rou.name, HostName, rou.name, rou.kind, con.Timeout.Milliseconds(), con.Aim.Milliseconds(), rou.service, con.Attempts, rou.more))
	}
	if con.NoRoutes {
		routes = nil
	}
	cold := ""
	if con.ColdRate > 0 {
		cold = fmt.Sprintf(`,"cold_s":%g,"cold_per_s":%g`, con.ColdFor.Seconds(), con.ColdRate)
	}
	regions := ""
	if con.AccountRegions != nil {
		regions = `,"allowed_regions":` + list(con.AccountRegions)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"health_path":"/health","max_conns":50,"engine":{"slots":4,"kv_capacity":100000,"stride":5}%s},{"name":%q,"max_conns":50%s}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576},"tenants":[{"name":%q,"api_keys":%s,"unit":"tokens","plain_tokens":10,"rate_per_s":%g,"burst":%g%s}]}`,
		con.Version, strings.Join(routes, ","), Model, cold, Plain, cold, Account, list(con.Keys), con.Rate, con.Burst, regions)
}

// list returns texts as the wire has them.
func list(texts []string) string {
	// Texts can always be written so.
	data, _ := json.Marshal(texts)
	return string(data)
}

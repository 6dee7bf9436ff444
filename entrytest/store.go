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

// Keys and values that engines and operators write, or that operators read, are defined here from the platform's
// documentation, as in platformtest: they aren't shared with package platform, so that tests detect mistakes in the
// adapter. Keys of the hosts' own, such as platform.MemberKey, are shared.

// EngineState is the content of an engine's entry in the store.
type EngineState struct {
	Service  string
	Address  string
	Slots    int
	Draining bool
	// Version is the engine's software version; empty means "v1".
	Version string
	// Domain is the engine's failure domain; empty means "d0".
	Domain string
	// Cold is how much longer the engine is cold.
	Cold time.Duration
	// Born is the start of the engine's run; the zero time leaves it out.
	Born time.Time
	// Sequence numbers the entries that one run writes, from 1 on; 0 means 1.
	Sequence uint64
}

// EngineEntry returns an engine's entry in the encoding that engines write.
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

// EngineKey returns the store key of an engine's entry.
func EngineKey(id string) string { return "servers/" + id }

// ConfigurationKey is the store key of the operators' configuration.
const ConfigurationKey = "op/config"

// RegisterEngine registers an engine at an address.
func (sys *System) RegisterEngine(eng *upstreamtest.Engine, address string, draining bool) {
	sys.t.Helper()
	sys.PutEngineState(eng.ID(), EngineState{Service: eng.Service(), Address: address, Slots: eng.Slots(), Draining: draining, Version: eng.Version(), Domain: eng.Domain()})
}

// PutEngineState writes an engine's entry with the given state.
func (sys *System) PutEngineState(id string, sta EngineState) {
	sys.t.Helper()
	sys.put(EngineKey(id), string(EngineEntry(sta)))
}

// OrderRollout writes an operator's order to roll out a version of a service.
func (sys *System) OrderRollout(service, version string, period time.Duration) {
	sys.t.Helper()
	sys.put("op/rollout/"+service, fmt.Sprintf(`{"service":%q,"target_version":%q,"period_s":%g}`, service, version, period.Seconds()))
}

// RolloutState returns the published state and target version of a service's roll-out; both are
// empty if none is published.
func (sys *System) RolloutState(service string) (state, version string) {
	sys.t.Helper()
	val, err := sys.Store.Get(sys.t.Context(), "status/rollout/"+service)
	assert.NilError(sys.t, err)
	var published struct {
		State   string `json:"state"`
		Version string `json:"target_version"`
	}
	if len(val.Data) > 0 {
		assert.NilError(sys.t, json.Unmarshal(val.Data, &published))
	}
	return published.State, published.Version
}

// Evacuate writes an operator's order to evacuate a failure domain. The value may be invalid.
func (sys *System) Evacuate(domain, value string) {
	sys.t.Helper()
	assert.NilError(sys.t, sys.Store.Write(store.Write{Key: EvacuationKey(domain), Data: []byte(value), Blind: true}))
}

// WithdrawEvacuation deletes the order to evacuate a failure domain.
func (sys *System) WithdrawEvacuation(domain string) {
	sys.t.Helper()
	assert.NilError(sys.t, sys.Store.Write(store.Write{Key: EvacuationKey(domain), Delete: true, Blind: true}))
}

// EvacuationKey returns the store key of an order to evacuate a failure domain.
func EvacuationKey(domain string) string { return "op/evacuate/" + domain }

// EvacuationStateKey returns the store key of the published state of an evacuation.
func EvacuationStateKey(domain string) string { return "status/evacuate/" + domain }

// EvacuationState is the published state of an evacuation.
type EvacuationState struct {
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

// EvacuationState returns the published state of an evacuation; the zero value if none is
// published.
func (sys *System) EvacuationState(domain string) EvacuationState {
	sys.t.Helper()
	val := sys.Store.Peek(EvacuationStateKey(domain))
	var published EvacuationState
	if len(val.Data) > 0 {
		assert.NilError(sys.t, json.Unmarshal(val.Data, &published))
	}
	return published
}

// AddEngines starts engines and registers them in the store.
func (sys *System) AddEngines(engines ...*upstreamtest.Engine) {
	sys.t.Helper()
	for _, eng := range engines {
		sys.RegisterEngine(eng, sys.StartEngine(eng), false)
	}
}

// StartEngine starts an engine without registering it and returns its address.
func (sys *System) StartEngine(eng *upstreamtest.Engine) string {
	sys.t.Helper()
	srv := httptest.NewServer(eng.Handler())
	sys.t.Cleanup(srv.CloseClientConnections)
	return srv.Listener.Addr().String()
}

// RemoveHost deletes a host's entry.
func (sys *System) RemoveHost(name string) {
	sys.t.Helper()
	assert.NilError(sys.t, sys.Store.Write(store.Write{Key: platform.MemberKey(name), Delete: true, Blind: true}))
}

// Configuration holds what a test sets in the configuration; zero fields have defaults.
type Configuration struct {
	Version uint64
	// Attempts is the number of engines that a request may be sent to; 0 means 2.
	Attempts int
	// Timeout is the time limit of a request; 0 means 5 s.
	Timeout time.Duration
	// Aim is the latency target of all routes; 0 means 2 s.
	Aim time.Duration
	// Keys are the API keys of the account; nil means Key alone.
	Keys []string
	// Rate (tokens a second) and Burst (tokens) limit the account; 0 means no limit.
	Rate  float64
	Burst float64
	// Limited is a second account with a limit; nil for none.
	Limited *LimitedAccount
	// NoRoutes omits all routes.
	NoRoutes bool
	// RouteRegions and AccountRegions are the regions that may serve requests; nil means all.
	RouteRegions   []string
	AccountRegions []string
	// ColdFor is how long engines are cold after their start, ColdRate the requests a second
	// that each may get while it is cold; ColdRate 0 means that engines are never cold.
	ColdFor  time.Duration
	ColdRate float64
}

// LimitedAccount is an account with a limit in tokens.
type LimitedAccount struct {
	Name  string
	Key   string
	Rate  float64
	Burst float64
}

// json returns the account as a further element of the list of accounts; nothing for nil.
func (lac *LimitedAccount) json() string {
	if lac == nil {
		return ""
	}
	return fmt.Sprintf(`,{"name":%q,"api_keys":%s,"unit":"tokens","plain_tokens":10,"rate_per_s":%g,"burst":%g}`, lac.Name, jsonList([]string{lac.Key}), lac.Rate, lac.Burst)
}

// JSON returns the configuration in the encoding that operators write.
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
	for _, rou := range []struct{ name, kind, service, fields string }{
		{"stream", "streaming", Model, `,"sticky":true,"gap_aim_ms":400`},
		{"resume", "streaming", Model, `,"sticky":true,"resumable":true,"gap_aim_ms":400`},
		{"safe", "safe", Plain, ""},
		{"unsafe", "unsafe", Plain, ""},
		{"public", "safe", Plain, `,"public":true`},
	} {
		if con.RouteRegions != nil {
			rou.fields += `,"allowed_regions":` + jsonList(con.RouteRegions)
		}
		routes = append(routes, fmt.Sprintf(`{"name":%q,"hostname":%q,"path_prefix":"/%s/","kind":%q,"timeout_ms":%d,"target_latency_ms":%d,"priority":1,"service":%q,"max_attempts":%d%s}`,
			rou.name, HostName, rou.name, rou.kind, con.Timeout.Milliseconds(), con.Aim.Milliseconds(), rou.service, con.Attempts, rou.fields))
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
		regions = `,"allowed_regions":` + jsonList(con.AccountRegions)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"health_path":"/health","max_conns":50,"engine":{"slots":4,"kv_capacity":100000,"stride":5}%s},{"name":%q,"max_conns":50%s}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576},"tenants":[{"name":%q,"api_keys":%s,"unit":"tokens","plain_tokens":10,"rate_per_s":%g,"burst":%g%s}%s]}`,
		con.Version, strings.Join(routes, ","), Model, cold, Plain, cold, Account, jsonList(con.Keys), con.Rate, con.Burst, regions, con.Limited.json())
}

// jsonList returns texts as a JSON array.
func jsonList(texts []string) string {
	// A slice of strings can always be encoded.
	data, _ := json.Marshal(texts)
	return string(data)
}

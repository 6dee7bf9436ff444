package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/rollout"
)

// Dump is the state of a core.
type Dump struct {
	// Parts is into how many parts like this one's the limits are divided; 1
	// where this host's core decides for all.
	Parts    float64
	Services []ServiceDump
	Accounts []AccountDump
	// Cases are the requests that were part of engines' ends, the worst first, Restricted
	// those whose requests run alone since theirs end engines and change each time.
	Cases      []CaseDump          `json:",omitempty"`
	Restricted []quarantine.Source `json:",omitempty"`
}

// ServiceDump is one service.
type ServiceDump struct {
	Name    string
	Waiting int
	// Requests and Repeated are those of the last window.
	Requests float64
	Repeated float64
	// Overhead, Token and Event are the speed that engines are compared with.
	Overhead string
	Token    string
	Event    string
	Engines  []EngineDump
	// Rollout is the service's newest roll-out, nil for none.
	Rollout *rollout.Dump `json:",omitempty"`
}

// EngineDump is what the core takes an engine to be like.
type EngineDump struct {
	ID       fleet.EngineID
	Version  string
	Running  int
	Slots    int
	Draining bool
	// Unread is how long it still reads the prompts it was given.
	Unread string
	// Read and Event are how many times as long as the reference's its reading and
	// its events take, Weight how many answers told so; Work is the time of a request
	// without a prompt.
	Read   float64
	Event  float64
	Weight float64
	Work   string
	// AsideFor is for how long it gets nothing because it failed; empty for not.
	AsideFor string
	// Says is what the engine has said of itself; empty for nothing. PausedFor is for how
	// long nobody is granted it, Asked how many gateways it has asked for a pause.
	Says      string `json:",omitempty"`
	PausedFor string `json:",omitempty"`
	Asked     int    `json:",omitempty"`
	// Emptied says that operators have its failure domain emptied.
	Emptied bool `json:",omitempty"`
	// Rate is what it takes of all hosts together; nil where nothing bounds it. ColdFor is for
	// how much longer it is cold; empty for not.
	Rate    *RateDump `json:",omitempty"`
	ColdFor string    `json:",omitempty"`
	// CachedTokens are taken to be in its cache.
	CachedTokens int
}

// RateDump is the rate that an engine has named, or bears while it is cold.
type RateDump struct {
	// PerSecond is the lower of the two, Own what this core grants of it.
	PerSecond float64
	Own       float64
	// Tokens are the requests that may be granted now, Spent those that were within four
	// seconds before, by the gateway; only the last are remembered.
	Tokens float64
	Spent  map[string]int
}

// AccountDump is one client account's limit.
type AccountDump struct {
	Name  string
	Level float64
	Rate  float64
	Burst float64
}

// Dump returns the core's state.
func (cor *Core) Dump(now time.Time) Dump {
	dum := Dump{Parts: cor.parts, Cases: cor.dumpCases(now), Restricted: cor.quarantine.Restricted()}
	for _, svc := range cor.services {
		dum.Services = append(dum.Services, svc.dump(now))
	}
	for name, buc := range cor.buckets {
		buc.fill(now)
		dum.Accounts = append(dum.Accounts, AccountDump{Name: name, Level: buc.level, Rate: buc.rate, Burst: buc.burst})
	}
	slices.SortFunc(dum.Services, func(one, two ServiceDump) int { return cmp.Compare(one.Name, two.Name) })
	slices.SortFunc(dum.Accounts, func(one, two AccountDump) int { return cmp.Compare(one.Name, two.Name) })
	return dum
}

func (svc *service) dump(now time.Time) ServiceDump {
	svc.repeats.advance(now)
	ref := svc.pace.Reference()
	dum := ServiceDump{
		Name: svc.name, Waiting: len(svc.waiting),
		Overhead: ref.Overhead.String(), Token: ref.Token.String(), Event: ref.Event.String(),
	}
	for idx := range windowSlots {
		dum.Requests += svc.repeats.requests[idx]
		dum.Repeated += svc.repeats.repeated[idx]
	}
	if svc.rollout != nil {
		rod := svc.rollout.Dump()
		dum.Rollout = &rod
	}
	for _, ene := range svc.engines {
		dum.Engines = append(dum.Engines, ene.dump(now))
	}
	return dum
}

func (ene *engine) dump(now time.Time) EngineDump {
	pro := ene.model.Profile()
	dum := EngineDump{
		ID: ene.ID, Version: ene.Version, Running: len(ene.running), Slots: ene.Slots, Draining: ene.Draining, Emptied: ene.Emptied, Unread: ene.unreadTime(now).String(),
		Read: pro.Read, Event: pro.Event, Weight: pro.Weight,
		Work: ene.work.String(), CachedTokens: ene.partTokens,
	}
	if ene.said != nil {
		dum.Says, dum.PausedFor, dum.Asked = ene.said.String(), max(0, ene.said.sharedUntil.Sub(now)).String(), len(ene.said.asked)
	}
	if ene.pacing != nil && ene.pacing.holds(now) {
		dum.Rate = ene.pacing.dump(now)
	}
	if ene.isCold(now) {
		dum.ColdFor = ene.pacing.coldUntil.Sub(now).String()
	}
	if ene.health.aside > 0 {
		dum.AsideFor = max(0, ene.health.until.Sub(now)).String()
	}
	return dum
}

func (pac *pacing) dump(now time.Time) *RateDump {
	pac.fill(now)
	pac.forgetSpent(now)
	dum := &RateDump{PerSecond: pac.limit(now), Own: pac.rate(now), Tokens: pac.tokens, Spent: make(map[string]int)}
	for _, spe := range pac.spent {
		dum.Spent[spe.gateway.String()]++
	}
	return dum
}

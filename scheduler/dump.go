package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/fairqueue"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/quarantine"
	"lynxwell.dev/lynxwell/rollout"
)

// Dump is the state of a core, for operators.
type Dump struct {
	// LimitShare is the share of the limits that this host's core spends, from 0 to 1.
	LimitShare float64
	Services   []ServiceDump
	Accounts   []AccountDump
	// Cases are the requests that were involved in crashes, the most suspect first. Restricted
	// are the traffic sources whose requests run only on isolated engines, since they crash
	// engines with requests that differ each time.
	Cases      []CaseDump                 `json:",omitempty"`
	Restricted []quarantine.TrafficSource `json:",omitempty"`
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Name    string
	Waiting int
	// Requests and Repeated count the requests and the retries in the last window.
	Requests float64
	Repeated float64
	// Overhead, Token and Event are the reference times that engines are compared with.
	Overhead string
	Token    string
	Event    string
	Engines  []EngineDump
	// Classes are the classes in which requests were served or wait, Shares the accounts that wait.
	Classes []ClassDump              `json:",omitempty"`
	Shares  []fairqueue.AccountState `json:",omitempty"`
	// Rollout is the service's latest roll-out, nil for none.
	Rollout *rollout.Dump `json:",omitempty"`
}

// ClassDump is the state of one class of a service's queue.
type ClassDump struct {
	fairqueue.Class
	Waiting int
	// Rate is the work served per second while requests of the class wait, 0 if unknown. Predictions
	// counts the predicted waits that were compared with true ones, Error is the mean factor between
	// them.
	Rate        float64
	Predictions int
	Error       float64
}

// EngineDump is the state of one engine.
type EngineDump struct {
	ID       fleet.EngineID
	Version  string
	Running  int
	Slots    int
	Draining bool
	// Unread is the predicted time of the pending prefills.
	Unread string
	// Read and Event are the engine's prefill and event times as multiples of the reference,
	// Weight is the number of answers they are based on. Work is the estimated time of a request
	// without a prompt.
	Read   float64
	Event  float64
	Weight float64
	Work   string
	// AsideFor is the remaining time of the engine's ejection; empty if it isn't ejected.
	AsideFor string
	// Says is the state of the engine's signals; empty for none. PausedFor is the remaining
	// backoff of all gateways, Asked the number of gateways that received a backoff request.
	Says      string `json:",omitempty"`
	PausedFor string `json:",omitempty"`
	Asked     int    `json:",omitempty"`
	// Emptied is set if the engine's failure domain is evacuated.
	Emptied bool `json:",omitempty"`
	// Rate is the engine's limit for all hosts together; nil for none. ColdFor is the remaining
	// time until it is warm; empty if it isn't cold.
	Rate    *RateDump `json:",omitempty"`
	ColdFor string    `json:",omitempty"`
	// CachedTokens is the number of prompt tokens assumed to be in the engine's cache.
	CachedTokens int
}

// RateDump is the rate limit of an engine, which it has signaled or which applies while it is
// cold.
type RateDump struct {
	// PerSecond is the lower of the two limits in requests per second, Own this core's share of
	// it.
	PerSecond float64
	Own       float64
	// Tokens is the number of requests that may be granted now. Spent counts the grants of the last
	// four seconds by gateway, up to maxRecentGrants in total.
	Tokens float64
	Spent  map[string]int
}

// AccountDump is the state of one client account's limit.
type AccountDump struct {
	Name  string
	Level float64
	Rate  float64
	Burst float64
}

// Dump returns the state of the core.
func (cor *Core) Dump(now time.Time) Dump {
	dum := Dump{LimitShare: cor.spendable(), Cases: cor.dumpCases(now), Restricted: cor.quarantine.RestrictedSources()}
	for _, svc := range cor.services {
		dum.Services = append(dum.Services, svc.dump(now))
	}
	for name, buc := range cor.buckets {
		buc.fill(now)
		dum.Accounts = append(dum.Accounts, AccountDump{Name: name, Level: buc.level, Rate: buc.rate, Burst: buc.burst})
	}
	slices.SortFunc(dum.Services, func(left, right ServiceDump) int { return cmp.Compare(left.Name, right.Name) })
	slices.SortFunc(dum.Accounts, func(left, right AccountDump) int { return cmp.Compare(left.Name, right.Name) })
	return dum
}

func (svc *service) dump(now time.Time) ServiceDump {
	svc.retries.advance(now)
	ref := svc.pace.Reference()
	dum := ServiceDump{
		Name: svc.name, Waiting: svc.queue.Len(),
		Overhead: ref.Overhead.String(), Token: ref.Token.String(), Event: ref.Event.String(),
	}
	for idx := range windowSlots {
		dum.Requests += svc.retries.requests[idx]
		dum.Repeated += svc.retries.retried[idx]
	}
	if svc.rollout != nil {
		rod := svc.rollout.Dump()
		dum.Rollout = &rod
	}
	for _, ene := range svc.engines {
		dum.Engines = append(dum.Engines, ene.dump(now))
	}
	for cls, tur := range svc.turns {
		rate, _ := tur.predictor.Rate(now)
		errs := tur.predictor.Error()
		dum.Classes = append(dum.Classes, ClassDump{Class: cls, Waiting: svc.queue.Waiting(cls), Rate: rate, Predictions: errs.Count, Error: errs.Factor})
	}
	slices.SortFunc(dum.Classes, func(left, right ClassDump) int { return left.Compare(right.Class) })
	dum.Shares = svc.queue.Accounts()
	return dum
}

func (ene *engine) dump(now time.Time) EngineDump {
	pro := ene.model.Profile()
	dum := EngineDump{
		ID: ene.ID, Version: ene.Version, Running: len(ene.running), Slots: ene.Slots, Draining: ene.Draining, Emptied: ene.Emptied, Unread: ene.pendingPrefillTime(now).String(),
		Read: pro.Read, Event: pro.Event, Weight: pro.Weight,
		Work: ene.serviceTime.String(), CachedTokens: ene.cachedTokens,
	}
	if ene.signals != nil {
		dum.Says, dum.PausedFor, dum.Asked = ene.signals.String(), max(0, ene.signals.sharedBackoffUntil.Sub(now)).String(), len(ene.signals.backoffUntil)
	}
	if ene.limiter != nil && ene.limiter.isActive(now) {
		dum.Rate = ene.limiter.dump(now)
	}
	if ene.isCold(now) {
		dum.ColdFor = ene.limiter.coldUntil.Sub(now).String()
	}
	if ene.health.ejectedFor > 0 {
		dum.AsideFor = max(0, ene.health.ejectedUntil.Sub(now)).String()
	}
	return dum
}

func (lim *rateLimiter) dump(now time.Time) *RateDump {
	lim.fill(now)
	lim.expireGrants(now)
	dum := &RateDump{PerSecond: lim.limit(now), Own: lim.rate(now), Tokens: lim.tokens, Spent: make(map[string]int)}
	for _, grt := range lim.grants {
		dum.Spent[grt.gateway.String()]++
	}
	return dum
}

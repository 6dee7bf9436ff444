// Package coordinator implements the decision core of the coordinator role: it
// holds the queues and the slots of the engines that the view assigns to this
// host, and the ledger of its grants.
//
// # Usage
//
//	cor := coordinator.New(coordinator.Config{Self: epoch})
//	actions := cor.Handle(now, coordinator.Received{From: gateway, Message: reserve})
//
// The core is a deterministic state machine: it takes events with their time and
// returns actions. It uses no clock, goroutine, network or randomness, and a Core
// must not be used by several goroutines at once. Only gateways send requests to
// engines.
package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// Config configures a Core. Zero durations select the defaults.
type Config struct {
	// Self is the epoch of this process.
	Self request.Epoch
	// SettleTime is how long a new coordinator of an engine waits for the gateways to
	// report the slots that their requests occupy.
	SettleTime time.Duration
	// FloorTime is how long a queue that refused a reservation as full accepts no
	// reservation of a lower rank.
	FloorTime time.Duration
	// OrphanTime is how long a slot stays occupied after its gateway was lost.
	OrphanTime time.Duration
	// Retention is how long the ledger keeps the record of a request.
	Retention time.Duration
	// Order is the order in which reservations are served; the zero value is OrderFair.
	Order Order
}

// The defaults of Config.
const (
	DefaultSettleTime = 300 * time.Millisecond
	DefaultFloorTime  = time.Second
	DefaultOrphanTime = 30 * time.Second
	DefaultRetention  = 20 * time.Minute
)

// Core is the coordinator role of one host.
type Core struct {
	cfg      Config
	ledger   *Ledger
	view     view.View
	views    view.History
	conf     resource.Configuration
	services map[string]*serviceState
	engines  map[string]*engineState
	// lost are the hosts that this host can't reach. Their engines are assigned to
	// other hosts without waiting for a new view.
	lost     map[request.Epoch]bool
	draining bool
	// stopped is set once the ledger has been handed over. Later promises would be lost
	// with this process.
	stopped bool
	actions []Action
}

// New returns a Core for a process that has just started.
func New(cfg Config) *Core {
	setDefault(&cfg.SettleTime, DefaultSettleTime)
	setDefault(&cfg.FloorTime, DefaultFloorTime)
	setDefault(&cfg.OrphanTime, DefaultOrphanTime)
	setDefault(&cfg.Retention, DefaultRetention)
	return &Core{
		cfg:      cfg,
		ledger:   NewLedger(cfg.Self),
		views:    view.NewHistory(),
		services: make(map[string]*serviceState),
		engines:  make(map[string]*engineState),
		lost:     make(map[request.Epoch]bool),
	}
}

func setDefault(dur *time.Duration, def time.Duration) {
	if *dur == 0 {
		*dur = def
	}
}

// Handle applies one event and returns the actions to carry out, in order.
func (cor *Core) Handle(now time.Time, evt Event) []Action {
	cor.actions = nil
	switch evt := evt.(type) {
	case ViewChanged:
		cor.viewChanged(now, evt.View)
	case ConfigurationChanged:
		cor.conf = evt.Configuration
		cor.reassign(now)
	case GatewayLost:
		cor.gatewayLost(now, evt.Gateway)
	case HostLost:
		cor.hostLost(now, evt.Host)
	case HostUp:
		cor.hostUp(now, evt.Host)
	case Received:
		cor.received(now, evt.From, evt.Message)
	case EngineReported:
		cor.engineReported(now, evt)
	case CacheChanged:
		cor.cacheChanged(evt)
	case Drain:
		cor.drain()
	case Tick:
		cor.tick(now)
	}
	return cor.actions
}

// Fence answers the fence of a gateway that takes over a request. The returned actions
// refuse the request's waiting reservation under a lower ballot.
func (cor *Core) Fence(now time.Time, fen reservation.Fence) (reservation.FenceAnswer, []Action) {
	cor.actions = nil
	if cor.stopped {
		return reservation.FenceAnswer{ID: fen.ID, From: cor.cfg.Self, State: reservation.FenceStateForgotten}, nil
	}
	vie, known := cor.views.Get(fen.ID.View)
	granter := known && vie.MayGrant(cor.cfg.Self, fen.ID.Epoch)
	ans := cor.ledger.Fence(now, fen, granter)
	if !known && ans.State == reservation.FenceStateNotGranter {
		ans.State = reservation.FenceStateForgotten
	}
	if ans.State == reservation.FenceStatePromised {
		cor.dropFenced(fen.ID)
	}
	return ans, cor.actions
}

// dropFenced removes a fenced request from the queues and refuses its reservation, if
// that has a lower ballot than the fence.
func (cor *Core) dropFenced(id request.ID) {
	for _, svc := range cor.services {
		wai := svc.queue.byID[id]
		if wai == nil {
			continue
		}
		reason, holder := cor.ledger.Check(id, wai.reserve.Ballot)
		if reason != 0 {
			svc.queue.remove(id)
			cor.refuse(wai, reason, holder, svc)
		}
	}
}

// Attest stores an attestation: the records of the requests that a lost coordinator
// epoch granted to a gateway or closed for it.
func (cor *Core) Attest(now time.Time, att reservation.Attestation) {
	cor.ledger.Attest(now, att)
}

// RevokeAttestation revokes an attestation unless a fence has relied on it.
func (cor *Core) RevokeAttestation(rev reservation.Revocation) reservation.RevocationAnswer {
	return cor.ledger.RevokeAttestation(rev)
}

// Handover returns the complete ledger and stops the coordinator: from then on it
// accepts no reservation, fence or close. Drain must have emptied the queues before.
func (cor *Core) Handover() reservation.Handover {
	cor.stopped = true
	return cor.ledger.Handover()
}

// TakeOver merges the ledger of a stopped host into this one.
func (cor *Core) TakeOver(now time.Time, han reservation.Handover) {
	cor.ledger.TakeOver(now, han)
}

func (cor *Core) viewChanged(now time.Time, vie view.View) {
	cor.views.Add(vie)
	cor.ledger.ForgetHosts(cor.views.ContainsEpoch)
	if vie.Number <= cor.view.Number {
		// A past view only determines the granters of its ids.
		return
	}
	cor.view = vie
	cor.reassign(now)
}

// reassign recomputes the engines that the view and the configuration assign to this
// host, and refuses the reservations of services that this host no longer coordinates.
func (cor *Core) reassign(now time.Time) {
	assigned := cor.ownShares()
	for name := range cor.engines {
		if _, kept := assigned[name]; !kept {
			delete(cor.engines, name)
		}
	}
	for name, sha := range assigned {
		cor.assignEngine(now, name, sha)
	}
	cor.rebuildServices()
	for _, svc := range cor.sortedServices() {
		cor.schedule(now, svc)
	}
}

// sortedServices returns the services sorted by name, so that the same events always
// give the actions in the same order.
func (cor *Core) sortedServices() []*serviceState {
	all := slices.Collect(maps.Values(cor.services))
	slices.SortFunc(all, func(one, two *serviceState) int {
		return cmp.Compare(one.name, two.name)
	})
	return all
}

func (cor *Core) ownShares() map[string]view.Share {
	assigned := make(map[string]view.Share)
	if cor.draining {
		return assigned
	}
	reachable := cor.view.Without(func(epo request.Epoch) bool { return cor.lost[epo] })
	for service, engines := range cor.conf.SlotsByService() {
		for _, sha := range view.Assign(reachable, service, engines) {
			if sha.Coordinator == cor.cfg.Self {
				assigned[sha.Engine] = sha
			}
		}
	}
	return assigned
}

func (cor *Core) assignEngine(now time.Time, name string, sha view.Share) {
	eng, _ := cor.conf.Engine(name)
	ens := cor.engines[name]
	if ens == nil {
		ens = newEngineState(eng, now.Add(cor.cfg.SettleTime))
		cor.engines[name] = ens
	}
	ens.engine = eng
	ens.slots = sha.Slots
	ens.deputy = sha.Deputy
}

// rebuildServices groups the engines by service. Services without engines are dropped
// and their reservations refused.
func (cor *Core) rebuildServices() {
	for _, svc := range cor.services {
		svc.engines = nil
	}
	for _, ens := range cor.engines {
		svc := cor.services[ens.engine.Service]
		if svc == nil {
			svc = newServiceState(ens.engine.Service)
			cor.services[svc.name] = svc
		}
		svc.engines = append(svc.engines, ens)
	}
	for _, svc := range cor.sortedServices() {
		svc.maxWaiting = maxWaitingOf(cor.conf, svc.name)
		slices.SortFunc(svc.engines, compareEngines)
		if len(svc.engines) == 0 {
			cor.refuseAll(svc)
			delete(cor.services, svc.name)
		}
	}
}

func (cor *Core) refuseAll(svc *serviceState) {
	for _, wai := range sortedWaiting(svc.queue) {
		svc.queue.remove(wai.reserve.ID)
		cor.refuse(wai, reservation.ReasonMoved, 0, svc)
	}
}

func (cor *Core) hostLost(now time.Time, epo request.Epoch) {
	if cor.lost[epo] {
		return
	}
	cor.lost[epo] = true
	cor.reassign(now)
}

func (cor *Core) hostUp(now time.Time, epo request.Epoch) {
	if !cor.lost[epo] {
		return
	}
	delete(cor.lost, epo)
	cor.reassign(now)
}

func (cor *Core) gatewayLost(now time.Time, gateway request.Epoch) {
	for _, svc := range cor.services {
		for _, wai := range sortedWaiting(svc.queue) {
			if wai.gateway == gateway {
				svc.queue.remove(wai.reserve.ID)
			}
		}
	}
	for _, ens := range cor.engines {
		for _, hol := range ens.held {
			if hol.gateway == gateway {
				hol.orphaned = now
			}
		}
	}
}

func (cor *Core) drain() {
	cor.draining = true
	for _, svc := range cor.sortedServices() {
		cor.refuseAll(svc)
	}
}

func (cor *Core) tick(now time.Time) {
	cor.ledger.Forget(now.Add(-cor.cfg.Retention))
	cor.releaseOrphans(now)
	for _, svc := range cor.sortedServices() {
		cor.expire(now, svc)
		cor.schedule(now, svc)
	}
}

func (cor *Core) releaseOrphans(now time.Time) {
	for _, ens := range cor.engines {
		for id, hol := range ens.held {
			if !hol.orphaned.IsZero() && now.Sub(hol.orphaned) >= cor.cfg.OrphanTime {
				delete(ens.held, id)
			}
		}
	}
}

func (cor *Core) cacheChanged(evt CacheChanged) {
	ens := cor.engines[evt.Engine]
	if ens == nil {
		return
	}
	for _, hash := range evt.Added {
		ens.prefixes.add(hash)
	}
	for _, hash := range evt.Evicted {
		ens.prefixes.remove(hash)
	}
}

func (cor *Core) engineReported(now time.Time, evt EngineReported) {
	ens := cor.engines[evt.Engine]
	if ens == nil {
		return
	}
	ens.draining = evt.Draining
	if svc := cor.services[ens.engine.Service]; svc != nil {
		cor.schedule(now, svc)
	}
}

func (cor *Core) send(to request.Epoch, msg reservation.Message, svc *serviceState) {
	act := Send{To: to, Message: msg}
	if svc != nil {
		act.Load = svc.load()
	}
	cor.actions = append(cor.actions, act)
}

// EngineNames returns the sorted names of the engines that the host coordinates.
func (cor *Core) EngineNames() []string {
	return slices.Sorted(maps.Keys(cor.engines))
}

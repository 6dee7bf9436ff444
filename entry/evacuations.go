package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/platform"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/store"
)

// Operators order the evacuation of a failure domain through the store. Each host enforces the
// orders that it knows of by itself, immediately before it sends a request, regardless of which
// host granted it. It reports the enforced orders to the schedulers, which then grant it no engine
// in these domains and know when all hosts enforce an order.

const (
	// evacuationInterval is how often the coordinator checks the progress of evacuations;
	// idleEvacuationInterval is the same on all other hosts, any of which may become the
	// coordinator.
	evacuationInterval     = 100 * time.Millisecond
	idleEvacuationInterval = time.Second
	// evacuationWriteTimeout bounds the writing of an evacuation's state.
	evacuationWriteTimeout = time.Second
)

// EvacuatedError reports a request that is not sent because the engine's failure domain is being
// evacuated.
type EvacuatedError struct {
	Order evacuation.Order
}

// Error names the failure domain.
func (eer *EvacuatedError) Error() string {
	return "failure domain " + eer.Order.Domain + " is being emptied"
}

// evacuations keeps this host's requests out of failure domains that are being evacuated.
type evacuations struct {
	host  *Host
	mutex sync.Mutex
	gate  *evacuation.Gate
}

func newEvacuations(hos *Host) *evacuations {
	return &evacuations{host: hos, gate: evacuation.NewGate()}
}

// beginSend returns an *EvacuatedError if the domain is being evacuated. Otherwise the request may
// be written, and endSend must be called once it is written or abandoned.
func (eva *evacuations) beginSend(domain string) error {
	eva.mutex.Lock()
	defer eva.mutex.Unlock()
	if eva.gate.BeginWrite(domain) {
		return nil
	}
	ord, _ := eva.gate.BlockingOrder(domain)
	return &EvacuatedError{Order: ord}
}

func (eva *evacuations) endSend(domain string) {
	eva.mutex.Lock()
	enforced := eva.gate.EndWrite(domain)
	eva.mutex.Unlock()
	if enforced {
		eva.host.broker.reportEnforcedOrders()
	}
}

// setOrders replaces the orders that are in force.
func (eva *evacuations) setOrders(orders []evacuation.Order) {
	eva.mutex.Lock()
	changed := eva.gate.SetOrders(orders)
	eva.mutex.Unlock()
	if changed {
		eva.host.broker.reportEnforcedOrders()
	}
}

// enforced returns the orders that this host enforces.
func (eva *evacuations) enforced() []evacuation.Order {
	eva.mutex.Lock()
	defer eva.mutex.Unlock()
	return eva.gate.Enforced()
}

// reportEnforcedOrders reports the orders that this host enforces to the coordinator, its next
// candidates and the host's own scheduler.
func (bro *broker) reportEnforcedOrders() {
	msg := reservation.EnforcedOrders{Orders: bro.host.evacuations.enforced()}
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	for epo := range bro.links {
		bro.send(epo, msg)
	}
	bro.applyEnforcedOrders(bro.host.epoch, msg)
}

// reportEnforcedOrdersTo reports the enforced orders to one host; the mutex must be held.
func (bro *broker) reportEnforcedOrdersTo(epo request.Epoch) {
	if enforced := bro.host.evacuations.enforced(); len(enforced) > 0 {
		bro.send(epo, reservation.EnforcedOrders{Orders: enforced})
	}
}

// applyEnforcedOrders applies a host's report of the orders that it enforces; the mutex must be held.
func (bro *broker) applyEnforcedOrders(from request.Epoch, msg reservation.EnforcedOrders) {
	bro.evacuations.SetEnforced(from, msg.Orders)
	domains := make([]string, 0, len(msg.Orders))
	for _, ord := range msg.Orders {
		domains = append(domains, ord.Domain)
	}
	bro.handleLocked(scheduler.DomainsClosed{Gateway: from, Domains: domains})
}

// setEvacuation changes the stored state of a failure domain. A domain for which the store holds
// neither an order nor a published state is removed.
func (wat *storeWatcher) setEvacuation(domain string, change func(*evacuation.StoredState)) {
	sst := wat.evacuations[domain]
	sst.Order.Domain = domain
	change(&sst)
	wat.evacuations[domain] = sst
	if sst.Order.Revision == 0 && sst.Published.Revision == 0 {
		delete(wat.evacuations, domain)
	}
	wat.evacuationsChanged = true
}

// applyEvacuation applies an operator's order to evacuate a failure domain. An order with an invalid
// value is applied too, since its key names the domain; one with an invalid key is ignored.
func (wat *storeWatcher) applyEvacuation(val store.Value) {
	ord, err := platform.DecodeEvacuation(val)
	wat.invalidValues.checkValue(val, err, "evacuation order invalid")
	if ord.Domain == "" {
		return
	}
	wat.host.log.Info().Str("Domain", ord.Domain).Uint64("Revision", store.Revision(ord.Revision).Number()).Dur("Age", wat.host.snapshotAge(wat.host.clock.Now())).Msg("evacuation ordered")
	wat.setEvacuation(ord.Domain, func(sst *evacuation.StoredState) { sst.Order = ord })
}

// withdrawEvacuation records that an order was withdrawn.
func (wat *storeWatcher) withdrawEvacuation(domain string, rev store.Revision) {
	if wat.evacuations[domain].Order.Revision == 0 {
		return
	}
	wat.host.log.Info().Str("Domain", domain).Uint64("Revision", rev.Number()).Dur("Age", wat.host.snapshotAge(wat.host.clock.Now())).Msg("evacuation order withdrawn")
	wat.setEvacuation(domain, func(sst *evacuation.StoredState) { sst.Order.Revision = 0 })
	wat.withdrawnDomains = append(wat.withdrawnDomains, domain)
}

// applyEvacuationState applies the published state of an order.
func (wat *storeWatcher) applyEvacuationState(domain string, val store.Value) {
	published, err := platform.DecodeEvacuationState(val)
	// The revision is recorded even if the state is invalid: the next state is written on condition
	// of that revision.
	wat.invalidValues.checkValue(val, err, "stored evacuation state invalid, ignored")
	wat.setEvacuation(domain, func(sst *evacuation.StoredState) { sst.Published = published })
}

// resetEvacuations prepares the stored state of evacuations for a complete read of the store: it
// withdraws the orders that the read lacks, and clears the published states. Those that the read
// contains are applied afterwards.
func (wat *storeWatcher) resetEvacuations(values []store.Value, rev store.Revision) {
	given := make(map[string]bool)
	for _, val := range values {
		if kind, name := platform.ParseKey(val.Key); kind == platform.KeyEvacuation {
			given[name] = true
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(wat.evacuations)) {
		if !given[domain] {
			wat.withdrawEvacuation(domain, rev)
		}
		wat.setEvacuation(domain, func(sst *evacuation.StoredState) { sst.Published = evacuation.PublishedState{} })
	}
}

// publishEvacuations passes changed orders on to the check that is made immediately before a request
// is sent, and changed states to the broker. It runs before the rest of an update is published.
func (wat *storeWatcher) publishEvacuations(now time.Time, tab *route.Table) {
	if !wat.evacuationsChanged {
		return
	}
	wat.evacuationsChanged = false
	for _, domain := range wat.withdrawnDomains {
		// The domain's engines got no requests. They may be cold, and signal that only once they get
		// requests again.
		wat.directory.MarkCold(now, domain, coldFor(tab))
	}
	wat.withdrawnDomains = nil
	var orders []evacuation.Order
	states := slices.Collect(maps.Values(wat.evacuations))
	for _, sst := range states {
		if sst.Order.Revision > 0 {
			orders = append(orders, sst.Order)
			wat.logUnknownDomain(sst.Order)
		}
	}
	wat.host.evacuations.setOrders(orders)
	wat.host.broker.setEvacuations(states)
	select {
	case wat.host.evacuationUpdates <- struct{}{}:
	default:
	}
}

// logUnknownDomain logs an order for a failure domain without engines and hosts: another domain may
// be meant. The order is in force all the same, for engines that register later.
func (wat *storeWatcher) logUnknownDomain(ord evacuation.Order) {
	known := slices.ContainsFunc(wat.directory.Engines(), func(eng fleet.Engine) bool { return eng.Domain == ord.Domain }) ||
		slices.ContainsFunc(wat.directory.Members(), func(mem fleet.Member) bool { return mem.Domain == ord.Domain })
	if known || wat.loggedOrders[ord] {
		return
	}
	wat.loggedOrders[ord] = true
	wat.host.metrics.count("EvacuationsOfUnknownDomains")
	wat.host.log.Warn().Str("Domain", ord.Domain).Uint64("Revision", store.Revision(ord.Revision).Number()).Msg("evacuation ordered for a failure domain without registered engines and hosts; the name may be wrong")
}

// markEvacuated marks the engines whose failure domain is being evacuated.
func (wat *storeWatcher) markEvacuated(engines []fleet.Engine) {
	if len(wat.evacuations) == 0 {
		return
	}
	for idx, eng := range engines {
		engines[idx].Emptied = wat.evacuations[eng.Domain].Order.Revision > 0
	}
}

// coldFor returns a function that returns how long engines of a service are cold after their start.
func coldFor(tab *route.Table) func(service string) time.Duration {
	return func(service string) time.Duration {
		if tab == nil {
			return 0
		}
		svc, _ := tab.Service(service)
		return svc.ColdFor
	}
}

// setEvacuations replaces the stored state of all evacuations.
func (bro *broker) setEvacuations(states []evacuation.StoredState) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.evacuations.SetStates(bro.host.clock.Now(), states)
}

// evacuationWrites returns the states that this host is to publish if it is the coordinator, and
// how long to wait before the next call; 0 to wait for an update.
func (bro *broker) evacuationWrites(now time.Time) ([]evacuation.Write, time.Duration) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if !bro.evacuations.Pending() {
		return nil, 0
	}
	if !bro.coordinatesLocked() {
		return nil, idleEvacuationInterval
	}
	bro.updateSenders(now)
	return bro.evacuations.Writes(now, bro.core.RunningIn), evacuationInterval
}

// updateSenders updates the hosts that may send requests to engines; the mutex must be held. It is called
// whenever a registration or a session begins or ends, since an order that is given later also counts those that have
// left shortly before.
func (bro *broker) updateSenders(now time.Time) {
	bro.evacuations.SetHosts(now, evacuation.Hosts{
		Present: bro.senders(), SendsFor: evacuation.SendsFor(bro.host.freshnessLimit()),
	})
}

// senders returns the hosts that are registered, and those that are not but have a session.
func (bro *broker) senders() []evacuation.Host {
	senders := []evacuation.Host{{Epoch: bro.host.epoch, Name: bro.host.set.Name}}
	for _, mem := range bro.membership.members {
		senders = append(senders, evacuation.Host{Epoch: mem.Epoch, Name: mem.Name})
	}
	for _, inb := range bro.inbound {
		senders = append(senders, evacuation.Host{Epoch: inb.gateway, Name: inb.name})
	}
	return senders
}

// maintainEvacuations publishes the progress of evacuations while this host is the coordinator.
func (hos *Host) maintainEvacuations(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	timer.Stop()
	for {
		select {
		case <-hos.evacuationUpdates:
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		writes, wait := hos.broker.evacuationWrites(hos.clock.Now())
		for _, wri := range writes {
			hos.writeEvacuationState(ctx, wri)
		}
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// writeEvacuationState publishes the state of an order, on condition that the previous state is
// unchanged. If the answer is lost, the write may have been made; the next read of the store
// shows its result.
func (hos *Host) writeEvacuationState(ctx context.Context, wri evacuation.Write) {
	ctx, cancel := context.WithTimeout(ctx, evacuationWriteTimeout)
	defer cancel()
	put := store.Write{Key: platform.EvacuationStateKey(wri.Domain), Expect: store.Revision(wri.Expect), Delete: wri.Delete}
	var rev store.Revision
	var err error
	if !wri.Delete {
		put.Data, err = platform.EncodeEvacuationState(wri.State, wri.Order)
	}
	if err == nil {
		rev, err = hos.coordinatorWrites.put(ctx, put)
	}
	evt := hos.log.Info().Str("Domain", wri.Domain).Uint64("Order", wri.Order).Stringer("State", wri.State).Bool("TakenBack", wri.Delete).
		Uint64("Expected", store.Revision(wri.Expect).Number()).Uint64("Revision", rev.Number())
	if err != nil {
		evt.Err(err).Msg("writing the evacuation state failed")
		return
	}
	evt.Msg("evacuation state written")
}

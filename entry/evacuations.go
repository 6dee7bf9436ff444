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

// Operators order failure domains to be emptied by the store. Each host keeps to what it knows
// of that by itself, right before it sends a request, whoever granted it; it tells those who
// decide, so that they grant it nothing there and know when all hosts keep to it.

const (
	// evacuationInterval is how often the host that decides for all looks whether an order is
	// carried out; idleEvacuation is the same for all others, any of which may be next.
	evacuationInterval = 100 * time.Millisecond
	idleEvacuation     = time.Second
	// evacuationTimeout bounds the telling of how far an order is.
	evacuationTimeout = time.Second
)

// EvacuatedError reports a request that isn't sent since its engine's failure domain is being
// emptied.
type EvacuatedError struct {
	Order evacuation.Order
}

// Error names the failure domain.
func (eer *EvacuatedError) Error() string {
	return "failure domain " + eer.Order.Domain + " is being emptied"
}

// evacuations keeps this host's requests from failure domains that are being emptied.
type evacuations struct {
	host  *Host
	mutex sync.Mutex
	gate  *evacuation.Gate
}

func newEvacuations(hos *Host) *evacuations {
	return &evacuations{host: hos, gate: evacuation.NewGate()}
}

// enter returns an *EvacuatedError for a domain that is being emptied. Else the request may be
// written, and leave is to be called when it is.
func (eva *evacuations) enter(domain string) error {
	eva.mutex.Lock()
	defer eva.mutex.Unlock()
	if eva.gate.Enter(domain) {
		return nil
	}
	ord, _ := eva.gate.Closed(domain)
	return &EvacuatedError{Order: ord}
}

func (eva *evacuations) leave(domain string) {
	eva.mutex.Lock()
	keeps := eva.gate.Leave(domain)
	eva.mutex.Unlock()
	if keeps {
		eva.host.desk.tellEmptying()
	}
}

// set takes the orders that are given now.
func (eva *evacuations) set(orders []evacuation.Order) {
	eva.mutex.Lock()
	changed := eva.gate.Set(orders)
	eva.mutex.Unlock()
	if changed {
		eva.host.desk.tellEmptying()
	}
}

// kept returns the orders that this host keeps to.
func (eva *evacuations) kept() []evacuation.Order {
	eva.mutex.Lock()
	defer eva.mutex.Unlock()
	return eva.gate.Kept()
}

// tellEmptying tells those who decide, now or next, to which orders this host keeps.
func (des *desk) tellEmptying() {
	msg := reservation.Emptying{Orders: des.host.evacuations.kept()}
	des.mutex.Lock()
	defer des.mutex.Unlock()
	for epo := range des.links {
		des.tell(epo, msg)
	}
	des.takeEmptying(des.host.epoch, msg)
}

// tellEmptyingTo tells a host that decides, or would next; the mutex is held.
func (des *desk) tellEmptyingTo(epo request.Epoch) {
	if kept := des.host.evacuations.kept(); len(kept) > 0 {
		des.tell(epo, reservation.Emptying{Orders: kept})
	}
}

// takeEmptying takes a host's word of the orders that it keeps to; the mutex is held.
func (des *desk) takeEmptying(from request.Epoch, msg reservation.Emptying) {
	des.evacuations.Take(from, msg.Orders)
	domains := make([]string, 0, len(msg.Orders))
	for _, ord := range msg.Orders {
		domains = append(domains, ord.Domain)
	}
	des.step(scheduler.DomainsClosed{Gateway: from, Domains: domains})
}

// setEvacuation changes what the store holds of a failure domain; one of which it holds
// nothing more is forgotten.
func (obs *observer) setEvacuation(domain string, change func(*evacuation.Standing)) {
	std := obs.evacuations[domain]
	std.Order.Domain = domain
	change(&std)
	obs.evacuations[domain] = std
	if std.Order.Revision == 0 && std.Told.Revision == 0 {
		delete(obs.evacuations, domain)
	}
	obs.evacuationsChanged = true
}

// takeEvacuation takes an operator's order to empty a failure domain.
func (obs *observer) takeEvacuation(val store.Value) {
	ord, err := platform.DecodeEvacuation(val)
	obs.refused.usable(val, err, "evacuation with a value that can't be read")
	if ord.Domain == "" {
		return
	}
	obs.host.log.Info().Str("Domain", ord.Domain).Uint64("Revision", ord.Revision).Dur("Age", obs.host.age(obs.host.clock.Now())).Msg("evacuation ordered")
	obs.setEvacuation(ord.Domain, func(std *evacuation.Standing) { std.Order = ord })
}

// endEvacuation notes that an order is taken back.
func (obs *observer) endEvacuation(domain string, rev store.Revision) {
	if obs.evacuations[domain].Order.Revision == 0 {
		return
	}
	obs.host.log.Info().Str("Domain", domain).Uint64("Revision", uint64(rev)).Dur("Age", obs.host.age(obs.host.clock.Now())).Msg("evacuation taken back")
	obs.setEvacuation(domain, func(std *evacuation.Standing) { std.Order.Revision = 0 })
	obs.reopened = append(obs.reopened, domain)
}

// takeEvacuationState takes what was told of an order.
func (obs *observer) takeEvacuationState(domain string, val store.Value) {
	told, err := platform.DecodeEvacuationState(val)
	// The revision of a state that can't be read counts all the same: the next one is told in
	// its place.
	obs.refused.usable(val, err, "evacuation state passed over")
	obs.setEvacuation(domain, func(std *evacuation.Standing) { std.Told = told })
}

// replaceEvacuations begins a whole reading: orders that it lacks are taken back.
func (obs *observer) replaceEvacuations(values []store.Value, rev store.Revision) {
	given := make(map[string]bool)
	for _, val := range values {
		if kind, name := platform.KindOf(val.Key); kind == platform.KeyEvacuation {
			given[name] = true
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(obs.evacuations)) {
		if !given[domain] {
			obs.endEvacuation(domain, rev)
		}
		obs.setEvacuation(domain, func(std *evacuation.Standing) { std.Told = evacuation.Told{} })
	}
}

// publishEvacuations puts the orders in force, before anything else that an update brought:
// whoever is to send a request looks at them last.
func (obs *observer) publishEvacuations(now time.Time, tab *route.Table) {
	if !obs.evacuationsChanged {
		return
	}
	obs.evacuationsChanged = false
	for _, domain := range obs.reopened {
		// Its engines had nothing to do. They may be cold, and tell so later than they are used.
		obs.directory.Chill(now, domain, coldFor(tab))
	}
	obs.reopened = nil
	var orders []evacuation.Order
	standings := slices.Collect(maps.Values(obs.evacuations))
	for _, std := range standings {
		if std.Order.Revision > 0 {
			orders = append(orders, std.Order)
			obs.checkDomain(std.Order)
		}
	}
	obs.host.evacuations.set(orders)
	obs.host.desk.setEvacuations(standings)
	select {
	case obs.host.evacuationNews <- struct{}{}:
	default:
	}
}

// checkDomain names an order for a failure domain in which there is nothing: it may be meant
// for another one. It holds all the same, for engines that are still to come.
func (obs *observer) checkDomain(ord evacuation.Order) {
	known := slices.ContainsFunc(obs.directory.Engines(), func(eng fleet.Engine) bool { return eng.Domain == ord.Domain }) ||
		slices.ContainsFunc(obs.directory.Members(), func(mem fleet.Member) bool { return mem.Domain == ord.Domain })
	if known || obs.unknownDomains[ord] {
		return
	}
	obs.unknownDomains[ord] = true
	obs.host.figures.count("EvacuationsOfUnknownDomains")
	obs.host.log.Warn().Str("Domain", ord.Domain).Uint64("Revision", ord.Revision).Msg("evacuation of a failure domain without engines and hosts")
}

// markEmptied marks the engines whose failure domain is being emptied.
func (obs *observer) markEmptied(engines []fleet.Engine) {
	if len(obs.evacuations) == 0 {
		return
	}
	for idx, eng := range engines {
		engines[idx].Emptied = obs.evacuations[eng.Domain].Order.Revision > 0
	}
}

// coldFor returns a function that returns for how long engines of a service are cold after
// their start.
func coldFor(tab *route.Table) func(service string) time.Duration {
	return func(service string) time.Duration {
		if tab == nil {
			return 0
		}
		svc, _ := tab.Service(service)
		return svc.ColdFor
	}
}

// setEvacuations takes what the store holds.
func (des *desk) setEvacuations(standings []evacuation.Standing) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	des.evacuations.SetStandings(standings)
}

// evacuationWrites returns what this host is to tell of orders, if it decides for all, and when
// to look again; 0 for not before there is news.
func (des *desk) evacuationWrites(now time.Time) ([]evacuation.Write, time.Duration) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if !des.evacuations.Open() {
		return nil, 0
	}
	if !des.inCharge() {
		return nil, idleEvacuation
	}
	des.evacuations.SetHosts(des.senders())
	return des.evacuations.Writes(now, des.core.RunningIn), evacuationInterval
}

// senders returns the hosts that may send requests to engines: those with an entry, and those
// without that have a session all the same.
func (des *desk) senders() []request.Epoch {
	var senders []request.Epoch
	for _, mem := range des.roster.members {
		senders = append(senders, mem.Epoch)
	}
	for _, inb := range des.inbound {
		senders = append(senders, inb.gateway)
	}
	return append(senders, des.host.epoch)
}

// keepEvacuations tells operators how far orders are while this host decides for all.
func (hos *Host) keepEvacuations(ctx context.Context) error {
	look := time.NewTimer(0)
	defer look.Stop()
	look.Stop()
	for {
		select {
		case <-hos.evacuationNews:
		case <-look.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		writes, again := hos.desk.evacuationWrites(hos.clock.Now())
		for _, wri := range writes {
			hos.writeEvacuation(ctx, wri)
		}
		if again > 0 {
			look.Reset(again)
		}
	}
}

// writeEvacuation tells how far an order is under the condition of what was told before. One
// that isn't answered may have been done; what the store holds is read, and decides.
func (hos *Host) writeEvacuation(ctx context.Context, wri evacuation.Write) {
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	put := store.Write{Key: platform.EvacuationStateKey(wri.Domain), Expect: store.Revision(wri.Expect), Delete: wri.Delete}
	var rev store.Revision
	var err error
	if !wri.Delete {
		put.Data, err = platform.EncodeEvacuationState(wri.State, wri.Order)
	}
	if err == nil {
		rev, err = hos.store.Put(ctx, put)
	}
	evt := hos.log.Info().Str("Domain", wri.Domain).Uint64("Order", wri.Order).Stringer("State", wri.State).Bool("TakenBack", wri.Delete).
		Uint64("Expected", wri.Expect).Uint64("Revision", uint64(rev))
	if err != nil {
		evt.Err(err).Msg("evacuation not told")
		return
	}
	evt.Msg("evacuation told")
}

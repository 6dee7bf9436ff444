package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
)

// rewriteInterval is the time after which a write is repeated if no change of its domain has been
// read from the store. A change is usually read within a tenth of that time.
const rewriteInterval = time.Second

// Tracker holds one host's view of the failure domains that are being evacuated.
type Tracker struct {
	states map[string]StoredState
	// hosts are those that may send requests; enforced holds, by host and domain, the revisions
	// of the orders that the host has reported as enforced.
	hosts    map[request.Epoch]bool
	enforced map[request.Epoch]map[string]uint64
	// writtenAt holds the time of the last write for each domain.
	writtenAt map[string]time.Time
}

// New returns a tracker without domains and hosts.
func New() *Tracker {
	return &Tracker{
		states: make(map[string]StoredState), hosts: make(map[request.Epoch]bool),
		enforced: make(map[request.Epoch]map[string]uint64), writtenAt: make(map[string]time.Time),
	}
}

// SetStates replaces the states with those in the store.
func (trk *Tracker) SetStates(states []StoredState) {
	byDomain := make(map[string]StoredState, len(states))
	for _, sta := range states {
		if sta != trk.states[sta.Order.Domain] {
			delete(trk.writtenAt, sta.Order.Domain)
		}
		byDomain[sta.Order.Domain] = sta
	}
	trk.states = byDomain
}

// SetHosts sets the hosts that may send requests to engines.
func (trk *Tracker) SetHosts(hosts []request.Epoch) {
	clear(trk.hosts)
	for _, epo := range hosts {
		trk.hosts[epo] = true
	}
	maps.DeleteFunc(trk.enforced, func(epo request.Epoch, _ map[string]uint64) bool { return !trk.hosts[epo] })
}

// SetEnforced replaces the orders that a host has reported as enforced.
func (trk *Tracker) SetEnforced(host request.Epoch, orders []Order) {
	enforced := make(map[string]uint64, len(orders))
	for _, ord := range orders {
		enforced[ord.Domain] = ord.Revision
	}
	trk.enforced[host] = enforced
}

// ClearEnforced drops the report of a host whose session has ended. The host repeats the
// report in its next session.
func (trk *Tracker) ClearEnforced(host request.Epoch) {
	delete(trk.enforced, host)
}

// missing returns the hosts that haven't reported the order as enforced, sorted by epoch.
func (trk *Tracker) missing(ord Order) []request.Epoch {
	var missing []request.Epoch
	for epo := range trk.hosts {
		if trk.enforced[epo][ord.Domain] != ord.Revision {
			missing = append(missing, epo)
		}
	}
	slices.Sort(missing)
	return missing
}

// state returns the progress of an order; running is the number of requests running in its domain.
func (trk *Tracker) state(ord Order, running int) State {
	switch {
	case len(trk.hosts) == 0 || len(trk.missing(ord)) > 0:
		return StateOrdered
	case running > 0:
		return StateClosed
	default:
		return StateEmpty
	}
}

// Pending reports whether the store holds an order, or the published state of a withdrawn one.
func (trk *Tracker) Pending() bool {
	return len(trk.states) > 0
}

// Writes returns the changes to publish now; running returns the number of requests that run in
// a failure domain. The published state of an order never reverts to an earlier one: a host that
// starts later enforces the order before it sends any request.
func (trk *Tracker) Writes(now time.Time, running func(domain string) int) []Write {
	var writes []Write
	for _, domain := range slices.Sorted(maps.Keys(trk.states)) {
		sta := trk.states[domain]
		wri, needed := trk.write(sta, running)
		if !needed || now.Sub(trk.writtenAt[domain]) < rewriteInterval {
			continue
		}
		trk.writtenAt[domain] = now
		writes = append(writes, wri)
	}
	return writes
}

// write returns the change to publish for a domain, and whether one is needed.
func (trk *Tracker) write(sta StoredState, running func(domain string) int) (Write, bool) {
	wri := Write{Domain: sta.Order.Domain, Order: sta.Order.Number(), Expect: sta.Published.Revision}
	if sta.Order.Revision == 0 {
		wri.Delete = true
		return wri, sta.Published.Revision > 0
	}
	wri.State = trk.state(sta.Order, running(sta.Order.Domain))
	if sta.Published.Revision > 0 && sta.Published.Order == sta.Order.Number() {
		return wri, wri.State > sta.Published.State
	}
	return wri, wri.State > StateOrdered
}

// Dump is the state of one failure domain that is being evacuated.
type Dump struct {
	Domain string
	// Order is the revision of the order; 0 if it was withdrawn and its published state hasn't
	// been deleted yet.
	Order uint64
	// State is the progress according to this host; Told is the published state.
	State string
	Told  string `json:",omitempty"`
	// Running is the number of requests that run in the domain. Missing names the hosts that
	// haven't reported the order as enforced.
	Running int
	Missing []string `json:",omitempty"`
}

// Dump returns the failure domains that are being evacuated, sorted by name.
func (trk *Tracker) Dump(running func(domain string) int) []Dump {
	var dumps []Dump
	for domain, sta := range trk.states {
		dum := Dump{Domain: domain, Order: sta.Order.Number(), Running: running(domain)}
		if sta.Order.Revision > 0 {
			dum.State = trk.state(sta.Order, dum.Running).String()
			for _, epo := range trk.missing(sta.Order) {
				dum.Missing = append(dum.Missing, epo.String())
			}
		}
		if sta.Published.Revision > 0 && sta.Published.Order == sta.Order.Number() {
			dum.Told = sta.Published.State.String()
		}
		dumps = append(dumps, dum)
	}
	slices.SortFunc(dumps, func(one, two Dump) int { return cmp.Compare(one.Domain, two.Domain) })
	return dumps
}

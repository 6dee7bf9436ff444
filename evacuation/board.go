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
	// seenAt holds, by domain, when its order was first seen.
	seenAt map[string]time.Time
	// hosts are the names of those that are registered or have a session; enforced holds, by host and domain, the
	// revisions of the orders that the host has reported as enforced.
	hosts    map[request.Epoch]string
	enforced map[request.Epoch]map[string]uint64
	// leftAt holds the hosts that were present before, for as long as they may send requests. reported is enforced without
	// regard to the end of sessions: who enforces an order goes on to do so until it reads that the order was withdrawn.
	leftAt   map[request.Epoch]leaving
	reported map[request.Epoch]map[string]uint64
	// sendsFor is that of Hosts.
	sendsFor time.Duration
	// writtenAt holds the time of the last write for each domain.
	writtenAt map[string]time.Time
}

// leaving is a host that isn't present any more.
type leaving struct {
	name string
	// at is when it was last present.
	at time.Time
}

// New returns a tracker without domains and hosts.
func New() *Tracker {
	return &Tracker{
		states: make(map[string]StoredState), seenAt: make(map[string]time.Time), hosts: make(map[request.Epoch]string),
		enforced: make(map[request.Epoch]map[string]uint64), writtenAt: make(map[string]time.Time),
		leftAt: make(map[request.Epoch]leaving), reported: make(map[request.Epoch]map[string]uint64),
	}
}

// SetStates replaces the states with those in the store.
func (trk *Tracker) SetStates(now time.Time, states []StoredState) {
	byDomain := make(map[string]StoredState, len(states))
	seenAt := make(map[string]time.Time, len(states))
	for _, sta := range states {
		domain := sta.Order.Domain
		known, isKnown := trk.states[domain]
		if sta != known {
			delete(trk.writtenAt, domain)
		}
		byDomain[domain], seenAt[domain] = sta, now
		if isKnown && sta.Order == known.Order {
			seenAt[domain] = trk.seenAt[domain]
		}
	}
	trk.states, trk.seenAt = byDomain, seenAt
}

// SetHosts sets what is known of the hosts. Those that are no longer present may be cut off, unless a later
// run of the same host is present.
func (trk *Tracker) SetHosts(now time.Time, hosts Hosts) {
	trk.sendsFor = hosts.SendsFor
	former := trk.hosts
	trk.hosts = make(map[request.Epoch]string, len(hosts.Present))
	names := make(map[string]bool, len(hosts.Present))
	for _, hos := range hosts.Present {
		trk.hosts[hos.Epoch], names[hos.Name] = hos.Name, true
	}
	for epo, name := range former {
		trk.leftAt[epo] = leaving{name: name, at: now}
	}
	maps.DeleteFunc(trk.leftAt, func(epo request.Epoch, lea leaving) bool {
		return trk.isPresent(epo) || names[lea.name] || !trk.maySendSince(now, lea.at)
	})
	maps.DeleteFunc(trk.enforced, func(epo request.Epoch, _ map[string]uint64) bool { return !trk.isPresent(epo) })
	maps.DeleteFunc(trk.reported, func(epo request.Epoch, _ map[string]uint64) bool {
		_, left := trk.leftAt[epo]
		return !left && !trk.isPresent(epo)
	})
}

func (trk *Tracker) isPresent(epo request.Epoch) bool {
	_, isPresent := trk.hosts[epo]
	return isPresent
}

// maySendSince reports whether a host may still send requests that has had no news since a time.
func (trk *Tracker) maySendSince(now, since time.Time) bool { return now.Sub(since) < trk.sendsFor }

// SetEnforced replaces the orders that a host has reported as enforced.
func (trk *Tracker) SetEnforced(host request.Epoch, orders []Order) {
	enforced := make(map[string]uint64, len(orders))
	for _, ord := range orders {
		enforced[ord.Domain] = ord.Revision
	}
	trk.enforced[host], trk.reported[host] = enforced, enforced
}

// ClearEnforced drops the report of a host whose session has ended. The host repeats the
// report in its next session.
func (trk *Tracker) ClearEnforced(host request.Epoch) {
	delete(trk.enforced, host)
}

// missing returns the hosts that may send requests and haven't reported the order as enforced, sorted by
// epoch. A host that isn't present knows the order, or had its last news before the order was seen.
func (trk *Tracker) missing(now time.Time, ord Order) []request.Epoch {
	var missing []request.Epoch
	for epo := range trk.hosts {
		if trk.enforced[epo][ord.Domain] != ord.Revision {
			missing = append(missing, epo)
		}
	}
	for epo, lea := range trk.leftAt {
		if trk.reported[epo][ord.Domain] != ord.Revision && trk.maySendSince(now, lea.at) && trk.maySendSince(now, trk.seenAt[ord.Domain]) {
			missing = append(missing, epo)
		}
	}
	slices.Sort(missing)
	return missing
}

// state returns the progress of an order; running is the number of requests running in its domain.
func (trk *Tracker) state(now time.Time, ord Order, running int) State {
	switch {
	case len(trk.hosts) == 0 || len(trk.missing(now, ord)) > 0:
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
		wri, needed := trk.write(now, sta, running)
		if !needed || now.Sub(trk.writtenAt[domain]) < rewriteInterval {
			continue
		}
		trk.writtenAt[domain] = now
		writes = append(writes, wri)
	}
	return writes
}

// write returns the change to publish for a domain, and whether one is needed.
func (trk *Tracker) write(now time.Time, sta StoredState, running func(domain string) int) (Write, bool) {
	wri := Write{Domain: sta.Order.Domain, Order: sta.Order.Number(), Expect: sta.Published.Revision}
	if sta.Order.Revision == 0 {
		wri.Delete = true
		return wri, sta.Published.Revision > 0
	}
	wri.State = trk.state(now, sta.Order, running(sta.Order.Domain))
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
	// may send requests and haven't reported the order as enforced.
	Running int
	Missing []string `json:",omitempty"`
}

// Dump returns the failure domains that are being evacuated, sorted by name.
func (trk *Tracker) Dump(now time.Time, running func(domain string) int) []Dump {
	var dumps []Dump
	for domain, sta := range trk.states {
		dum := Dump{Domain: domain, Order: sta.Order.Number(), Running: running(domain)}
		if sta.Order.Revision > 0 {
			dum.State = trk.state(now, sta.Order, dum.Running).String()
			for _, epo := range trk.missing(now, sta.Order) {
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

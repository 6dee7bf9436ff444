package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
)

// writeAgain is after what time a write is made again whose outcome the store hasn't shown:
// a change is known within a tenth of that.
const writeAgain = time.Second

// Board is what one host knows of the failure domains that are being emptied.
type Board struct {
	standings map[string]Standing
	// hosts are those that might send something, kept what each has said to keep to.
	hosts map[request.Epoch]bool
	kept  map[request.Epoch]map[string]uint64
	// written is when something was last written of a domain.
	written map[string]time.Time
}

// New returns a board that knows nothing.
func New() *Board {
	return &Board{
		standings: make(map[string]Standing), hosts: make(map[request.Epoch]bool),
		kept: make(map[request.Epoch]map[string]uint64), written: make(map[string]time.Time),
	}
}

// SetStandings takes what the store holds now.
func (brd *Board) SetStandings(stands []Standing) {
	standings := make(map[string]Standing, len(stands))
	for _, std := range stands {
		if std != brd.standings[std.Order.Domain] {
			delete(brd.written, std.Order.Domain)
		}
		standings[std.Order.Domain] = std
	}
	brd.standings = standings
}

// SetHosts takes who might send something to engines now.
func (brd *Board) SetHosts(hosts []request.Epoch) {
	clear(brd.hosts)
	for _, epo := range hosts {
		brd.hosts[epo] = true
	}
	maps.DeleteFunc(brd.kept, func(epo request.Epoch, _ map[string]uint64) bool { return !brd.hosts[epo] })
}

// Take notes which orders a host keeps to, all of them each time.
func (brd *Board) Take(host request.Epoch, orders []Order) {
	kept := make(map[string]uint64, len(orders))
	for _, ord := range orders {
		kept[ord.Domain] = ord.Revision
	}
	brd.kept[host] = kept
}

// Forget drops what a host has said: its session is gone, and it says so again with the next one.
func (brd *Board) Forget(host request.Epoch) {
	delete(brd.kept, host)
}

// missing returns the hosts that haven't said to keep to an order.
func (brd *Board) missing(ord Order) []request.Epoch {
	var missing []request.Epoch
	for epo := range brd.hosts {
		if brd.kept[epo][ord.Domain] != ord.Revision {
			missing = append(missing, epo)
		}
	}
	slices.Sort(missing)
	return missing
}

// state returns how far an order has been carried out; runs counts what runs in its domain.
func (brd *Board) state(ord Order, runs int) State {
	switch {
	case len(brd.hosts) == 0 || len(brd.missing(ord)) > 0:
		return StateOrdered
	case runs > 0:
		return StateClosed
	default:
		return StateEmpty
	}
}

// Open reports whether anything is ordered, or told of what was.
func (brd *Board) Open() bool {
	return len(brd.standings) > 0
}

// Writes returns what is to be told now; running returns how much runs in a failure domain.
// What was told of an order is never taken back: a host that comes later keeps to the order
// before it sends anything.
func (brd *Board) Writes(now time.Time, running func(domain string) int) []Write {
	var writes []Write
	for _, domain := range slices.Sorted(maps.Keys(brd.standings)) {
		std := brd.standings[domain]
		wri, wanted := brd.write(std, running)
		if !wanted || now.Sub(brd.written[domain]) < writeAgain {
			continue
		}
		brd.written[domain] = now
		writes = append(writes, wri)
	}
	return writes
}

func (brd *Board) write(std Standing, running func(domain string) int) (Write, bool) {
	wri := Write{Domain: std.Order.Domain, Order: std.Order.Revision, Expect: std.Told.Revision}
	if std.Order.Revision == 0 {
		wri.Delete = true
		return wri, std.Told.Revision > 0
	}
	wri.State = brd.state(std.Order, running(std.Order.Domain))
	if std.Told.Revision > 0 && std.Told.Order == std.Order.Revision {
		return wri, wri.State > std.Told.State
	}
	return wri, wri.State > StateOrdered
}

// Dump is one failure domain that is being emptied.
type Dump struct {
	Domain string
	// Order is the order's revision, 0 where it is taken back and what was told is not yet.
	Order uint64
	// State is how far it is, Told what operators were told of it.
	State string
	Told  string `json:",omitempty"`
	// Running is how much still runs there, Missing the hosts that haven't said to keep to it.
	Running int
	Missing []string `json:",omitempty"`
}

// Dump returns the failure domains that are being emptied, by their names.
func (brd *Board) Dump(running func(domain string) int) []Dump {
	var dumps []Dump
	for domain, std := range brd.standings {
		dum := Dump{Domain: domain, Order: std.Order.Revision, Running: running(domain)}
		if std.Order.Revision > 0 {
			dum.State = brd.state(std.Order, dum.Running).String()
			for _, epo := range brd.missing(std.Order) {
				dum.Missing = append(dum.Missing, epo.String())
			}
		}
		if std.Told.Revision > 0 && std.Told.Order == std.Order.Revision {
			dum.Told = std.Told.State.String()
		}
		dumps = append(dumps, dum)
	}
	slices.SortFunc(dumps, func(one, two Dump) int { return cmp.Compare(one.Domain, two.Domain) })
	return dumps
}

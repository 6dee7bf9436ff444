// Package takeover decides when a coordinator that decides too slowly is replaced. One that is lost is
// noticed by its sessions; one that runs at a fraction of its speed keeps them, while the requests of all
// hosts wait for it.
//
// # Usage
//
// Each gateway judges its coordinator by the lag of the decisions, and reports the judgment to the other
// candidates:
//
//	jud := takeover.NewJudge()
//	jud.Decided(now, lag)
//	if jud.Slow(now) {
//		// report it
//	}
//
// The candidate that is next in order counts the reports, and takes over once more than half of the
// coordinator's gateways report it:
//
//	rep := takeover.NewReports()
//	rep.Record(now, gateway, coordinator, true)
//	if rep.Decide(now, coordinator, hosts) {
//		// replace the coordinator
//	}
//
// No state is agreed on: gateways follow the candidate that is next in order. Nothing in this package is
// safe for concurrent use, and nothing reads a clock.
package takeover

import (
	"time"

	"lynxwell.dev/lynxwell/request"
)

const (
	// SlowLag is the lag above which a decision counts as slow: beyond 150 ms the gateways schedule by
	// themselves, with less knowledge.
	SlowLag = 100 * time.Millisecond
	// Decisions are judged over judgeSlots slots of slotTime. A slot is slow if at least one in
	// slowShare of its decisions is: a coordinator that stands still for most of the time decides most
	// requests at once while it runs. minSlowSlots slow slots make it slow, since a pause of the garbage
	// collector or a burst is over sooner, and it stays so while there are staySlowSlots.
	slotTime      = 500 * time.Millisecond
	judgeSlots    = 4
	slowShare     = 4
	minSlowSlots  = 3
	staySlowSlots = 2
	// ReportInterval is how often a gateway repeats its report, and reportValidity how long one counts.
	ReportInterval = 250 * time.Millisecond
	reportValidity = 3 * ReportInterval
	// holdDown is the least time between two takeovers: if a takeover doesn't help, the load is too high
	// for any host, and another one would cost all hosts a change of coordinator for nothing.
	holdDown = 10 * time.Second
	// DeposedFor is how long a replaced coordinator isn't chosen again.
	DeposedFor = 30 * time.Second
)

// Judge judges a gateway's coordinator.
type Judge struct {
	slots [judgeSlots]judgeSlot
	// slow is the latest judgment.
	slow bool
}

// judgeSlot counts the decisions of one slot of time.
type judgeSlot struct {
	number  int64
	decided int
	slow    int
}

// NewJudge returns a judge without decisions.
func NewJudge() *Judge { return &Judge{} }

func (jud *Judge) slot(now time.Time) *judgeSlot {
	number := now.UnixNano() / int64(slotTime)
	slo := &jud.slots[number%judgeSlots]
	if slo.number != number {
		*slo = judgeSlot{number: number}
	}
	return slo
}

// Decided records a decision and its lag beyond the network path.
func (jud *Judge) Decided(now time.Time, lag time.Duration) {
	slo := jud.slot(now)
	slo.decided++
	if lag > SlowLag {
		slo.slow++
	}
}

// Late records that a decision did not come in time.
func (jud *Judge) Late(now time.Time) {
	slo := jud.slot(now)
	slo.decided++
	slo.slow++
}

// Slow reports whether the coordinator has been slow for most of the last two seconds.
func (jud *Judge) Slow(now time.Time) bool {
	oldest := now.UnixNano()/int64(slotTime) - judgeSlots
	slow := 0
	for _, slo := range jud.slots {
		if slo.number > oldest && slo.slow > 0 && slowShare*slo.slow >= slo.decided {
			slow++
		}
	}
	jud.slow = slow >= minSlowSlots || jud.slow && slow >= staySlowSlots
	return jud.slow
}

// Reset forgets all decisions, when another coordinator decides.
func (jud *Judge) Reset() { *jud = Judge{} }

// report is a gateway's report that a coordinator is slow.
type report struct {
	coordinator request.Epoch
	at          time.Time
}

// Reports are the reports that a candidate has received.
type Reports struct {
	byGateway map[request.Epoch]report
	// replacedAt is when a coordinator was last replaced, as far as this host knows.
	replacedAt time.Time
}

// NewReports returns no reports.
func NewReports() *Reports { return &Reports{byGateway: make(map[request.Epoch]report)} }

// Record records a gateway's report.
func (rep *Reports) Record(now time.Time, gateway, coordinator request.Epoch, slow bool) {
	if !slow {
		delete(rep.byGateway, gateway)
		return
	}
	rep.byGateway[gateway] = report{coordinator: coordinator, at: now}
}

// Remove drops the report of a gateway that is lost.
func (rep *Reports) Remove(gateway request.Epoch) { delete(rep.byGateway, gateway) }

// Replaced records that a coordinator was replaced.
func (rep *Reports) Replaced(now time.Time) {
	rep.replacedAt = now
	clear(rep.byGateway)
}

// Count returns the number of gateways that report the coordinator as slow.
func (rep *Reports) Count(now time.Time, coordinator request.Epoch) int {
	count := 0
	for gateway, rpt := range rep.byGateway {
		switch {
		case now.Sub(rpt.at) > reportValidity:
			delete(rep.byGateway, gateway)
		case rpt.coordinator == coordinator:
			count++
		}
	}
	return count
}

// Decide reports whether to replace the coordinator of so many hosts: more than half of the others report
// that it is slow, and no coordinator was replaced lately.
func (rep *Reports) Decide(now time.Time, coordinator request.Epoch, hosts int) bool {
	if !rep.replacedAt.IsZero() && now.Sub(rep.replacedAt) < holdDown {
		return false
	}
	return 2*rep.Count(now, coordinator) > hosts-1
}

// Deposed are the coordinators that were replaced lately.
type Deposed struct {
	until map[request.Epoch]time.Time
}

// NewDeposed returns an empty set.
func NewDeposed() *Deposed { return &Deposed{until: make(map[request.Epoch]time.Time)} }

// Add adds a coordinator that was just replaced. It returns false if it was in the set already.
func (dep *Deposed) Add(now time.Time, coordinator request.Epoch) bool {
	if dep.Contains(now, coordinator) {
		return false
	}
	dep.until[coordinator] = now.Add(DeposedFor)
	return true
}

// Contains reports whether a coordinator was replaced lately.
func (dep *Deposed) Contains(now time.Time, coordinator request.Epoch) bool {
	until, known := dep.until[coordinator]
	if known && !now.Before(until) {
		delete(dep.until, coordinator)
		return false
	}
	return known
}

// Latest returns the coordinator that was replaced last, 0 for none.
func (dep *Deposed) Latest(now time.Time) request.Epoch {
	var latest request.Epoch
	var latestUntil time.Time
	for coordinator, until := range dep.until {
		if now.Before(until) && until.After(latestUntil) {
			latest, latestUntil = coordinator, until
		}
	}
	return latest
}

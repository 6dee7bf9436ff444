package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// Where a request may run: not in a failure domain that is being emptied, as far as its gateway
// or this core knows, and only in regions that its route and its client account allow.

// closeDomains takes to which failure domains a gateway sends nothing. It may know so before
// this core does.
func (cor *Core) closeDomains(evt DomainsClosed) {
	delete(cor.closed, evt.Gateway)
	if len(evt.Domains) == 0 {
		return
	}
	closed := make(map[string]bool, len(evt.Domains))
	for _, domain := range evt.Domains {
		closed[domain] = true
	}
	cor.closed[evt.Gateway] = closed
}

// RunningIn returns how much runs at the engines of a failure domain.
func (cor *Core) RunningIn(domain string) int {
	running := 0
	for _, rnn := range cor.runs {
		if rnn.engine.Domain == domain {
			running++
		}
	}
	return running
}

// places are where a request may run.
type places struct {
	// closed are the failure domains to which its gateway sends nothing, regions those that
	// are allowed; none for all.
	closed  map[string]bool
	regions []string
}

func (cor *Core) placesFor(gateway request.Epoch, res reservation.Reserve) places {
	return places{closed: cor.closed[gateway], regions: res.Regions}
}

// bounded reports whether there is anything that keeps the request from some engine.
func (pla places) bounded() bool {
	return len(pla.closed) > 0 || len(pla.regions) > 0
}

// allow reports whether the request may run at an engine. One whose region isn't known is in
// none that is allowed.
func (pla places) allow(ene *engine) bool {
	if pla.closed[ene.Domain] {
		return false
	}
	return len(pla.regions) == 0 || slices.Contains(pla.regions, ene.region)
}

// regionOf returns the region of a failure domain; empty where it isn't known.
func (cor *Core) regionOf(domain string) string {
	return cor.cfg.Regions[domain]
}

// origin is where a request comes from.
type origin struct {
	domain string
	region string
}

// wayTo returns what the way from there to an engine counts in the choice.
func (ori origin) wayTo(ene *engine) time.Duration {
	switch {
	case ene.Domain == ori.domain:
		return 0
	case ene.region != ori.region:
		return regionCost
	default:
		return crossCost
	}
}

// refuseOutside refuses a request at once that no engine may serve in the regions that are
// allowed for it, and reports whether it did.
func (cor *Core) refuseOutside(now time.Time, from request.Epoch, res reservation.Reserve, svc *service) bool {
	if len(res.Regions) == 0 {
		return false
	}
	pla := places{regions: res.Regions}
	if slices.ContainsFunc(svc.engines, func(ene *engine) bool { return !ene.leaving() && pla.allow(ene) }) {
		return false
	}
	cor.refuse(from, res, reservation.ReasonRegion, svc.inputs(now, now))
	return true
}

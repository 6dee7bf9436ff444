package scheduler

import (
	"slices"
	"time"

	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// Placement constraints: a request doesn't run in a failure domain that is evacuated according to
// its gateway or this core, and it runs only in the regions that its route and its client account
// allow.

// applyClosedDomains replaces the failure domains to which a gateway sends nothing. The gateway
// may read an evacuation order before this core does.
func (cor *Core) applyClosedDomains(evt DomainsClosed) {
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

// RunningIn returns the number of requests that run at the engines of a failure domain.
func (cor *Core) RunningIn(domain string) int {
	running := 0
	for _, rnn := range cor.runs {
		if rnn.engine.Domain == domain {
			running++
		}
	}
	return running
}

// placement constrains the engines that a request may run on.
type placement struct {
	// closed are the failure domains to which the gateway sends nothing. regions are the allowed
	// regions; empty for all.
	closed  map[string]bool
	regions []string
}

func (cor *Core) placementFor(gateway request.Epoch, res reservation.Reserve) placement {
	return placement{closed: cor.closed[gateway], regions: res.Regions}
}

// isConstrained reports whether the request may not run on some engines.
func (pla placement) isConstrained() bool {
	return len(pla.closed) > 0 || len(pla.regions) > 0
}

// allows reports whether the request may run on an engine. An engine whose region is unknown is
// in none of the allowed regions.
func (pla placement) allows(ene *engine) bool {
	if pla.closed[ene.Domain] {
		return false
	}
	return len(pla.regions) == 0 || slices.Contains(pla.regions, ene.region)
}

// regionOf returns the region of a failure domain; empty if unknown.
func (cor *Core) regionOf(domain string) string {
	return cor.cfg.Regions[domain]
}

// origin is the location of the host that a request arrived at.
type origin struct {
	domain string
	region string
}

// networkCost returns the cost of the network path from the origin to an engine.
func (ori origin) networkCost(ene *engine) time.Duration {
	switch {
	case ene.Domain == ori.domain:
		return 0
	case ene.region != ori.region:
		return crossRegionCost
	default:
		return crossDomainCost
	}
}

// refuseRegion refuses a request at once if no engine may serve it in its allowed regions, and
// reports whether it did.
func (cor *Core) refuseRegion(now time.Time, from request.Epoch, res reservation.Reserve, svc *service) bool {
	if len(res.Regions) == 0 {
		return false
	}
	pla := placement{regions: res.Regions}
	if slices.ContainsFunc(svc.engines, func(ene *engine) bool { return !ene.isDraining() && pla.allows(ene) }) {
		return false
	}
	cor.refuse(from, res, reservation.ReasonRegion, svc.inputs(now, now))
	return true
}

package scheduler_test

import "time"

// rateShare is a host's share of an engine's rate limit, with its token bucket.
type rateShare struct {
	share, perSecond, tokens float64
	filledAt                 time.Time
	// demand counts the requests since shares were last leased.
	demand int
}

func (sim *rateSim) shareOf(hos *rateHost, eng *rateEngine) *rateShare {
	shr := hos.shares[eng.ID.Name]
	if shr == nil {
		shr = &rateShare{share: 1 / float64(len(sim.hosts)), filledAt: sim.now}
		hos.shares[eng.ID.Name] = shr
	}
	return shr
}

func (shr *rateShare) fill(now time.Time) {
	rate := max(0.5, shr.perSecond) * shr.share
	shr.tokens = min(1+rate/2, shr.tokens+now.Sub(shr.filledAt).Seconds()*rate)
	shr.filledAt = now
}

func (shr *rateShare) take(now time.Time, perSecond float64) bool {
	shr.fill(now)
	shr.perSecond = perSecond
	shr.demand++
	if shr.tokens < 1 {
		return false
	}
	shr.tokens--
	return true
}

// leaseShares has each group's coordinator lease the group's share of the rate limits to its hosts
// in proportion to their demand.
func (sim *rateSim) leaseShares() {
	sim.schedule(rateLeaseInterval, sim.leaseShares)
	if sim.cfg.policy != rateByLease {
		return
	}
	for _, eng := range sim.engines[:len(sim.cfg.rates)] {
		demand, members := make(map[*rateHost]int), make(map[*rateHost]int)
		for _, hos := range sim.hosts {
			demand[hos.coordinator] += sim.shareOf(hos, eng).demand
			members[hos.coordinator]++
		}
		for _, hos := range sim.hosts {
			shr, groupShare := sim.shareOf(hos, eng), float64(members[hos.coordinator])/float64(len(sim.hosts))
			shr.fill(sim.now)
			shr.share = groupShare / float64(members[hos.coordinator])
			if demand[hos.coordinator] > 0 {
				shr.share = groupShare * float64(shr.demand) / float64(demand[hos.coordinator])
			}
			shr.demand = 0
		}
	}
}

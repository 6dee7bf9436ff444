package egress

import (
	"math/rand/v2"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/request"
)

const (
	// maxHosts bounds the hosts that are tried for one request.
	maxHosts = 6
	// failedFor is how long a host that could not forward isn't tried again.
	failedFor = time.Second
	// provenFor is how long a host that has forwarded is preferred to others.
	provenFor = 10 * time.Second
	// minProven is the number of proven hosts over which requests are spread. With fewer, every
	// exploreEvery-th request tries another host first.
	minProven    = 3
	exploreEvery = 4
)

// Choice chooses the hosts through which requests are forwarded.
type Choice struct {
	random *rand.Rand
	// failed is when each host last could not forward, proven when it last did.
	failed map[request.Epoch]time.Time
	proven map[request.Epoch]time.Time
	orders uint64
}

// NewChoice returns a choice that draws from the random source.
func NewChoice(random *rand.Rand) *Choice {
	return &Choice{random: random, failed: make(map[request.Epoch]time.Time), proven: make(map[request.Epoch]time.Time)}
}

// Order returns the hosts to try in turn, at most maxHosts: first those that have forwarded lately, of these
// and of the others first those of the failure domain, each group in random order. Those that could not
// forward lately are left out.
func (cho *Choice) Order(now time.Time, members []fleet.Member, domain string) []fleet.Member {
	cho.prune(now)
	var groups [4][]fleet.Member
	for _, mem := range members {
		if _, failed := cho.failed[mem.Epoch]; failed {
			continue
		}
		group := 0
		if _, proven := cho.proven[mem.Epoch]; !proven {
			group += 2
		}
		if mem.Domain != domain {
			group++
		}
		groups[group] = append(groups[group], mem)
	}
	var order []fleet.Member
	for _, group := range groups {
		cho.random.Shuffle(len(group), func(one, two int) { group[one], group[two] = group[two], group[one] })
		order = append(order, group...)
	}
	cho.explore(order, len(groups[0])+len(groups[1]))
	return order[:min(len(order), maxHosts)]
}

// explore moves an unproven host to the front now and then while few are proven.
func (cho *Choice) explore(order []fleet.Member, proven int) {
	cho.orders++
	if proven == 0 || proven >= minProven || proven == len(order) || cho.orders%exploreEvery != 0 {
		return
	}
	order[0], order[proven] = order[proven], order[0]
}

func (cho *Choice) prune(now time.Time) {
	for epo, at := range cho.failed {
		if now.Sub(at) >= failedFor {
			delete(cho.failed, epo)
		}
	}
	for epo, at := range cho.proven {
		if now.Sub(at) >= provenFor {
			delete(cho.proven, epo)
		}
	}
}

// Failed records that a host could not forward.
func (cho *Choice) Failed(now time.Time, epo request.Epoch) {
	delete(cho.proven, epo)
	cho.failed[epo] = now
}

// Proven records that a host has a connection to an engine.
func (cho *Choice) Proven(now time.Time, epo request.Epoch) {
	delete(cho.failed, epo)
	cho.proven[epo] = now
}

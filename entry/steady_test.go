package entry

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
)

const (
	// sessionOpenJitter is the period within which hosts that start together open their sessions.
	sessionOpenJitter = 80 * time.Millisecond
	// maxMessageDelay bounds how long a message takes to a busy host.
	maxMessageDelay = 8 * time.Millisecond
	// convergedAfter is the time after which no host may change its coordinator any more.
	convergedAfter = time.Second
	observedFor    = 2 * time.Second
	simStep        = time.Millisecond
)

// delayedMessage is a message with its time of arrival.
type delayedMessage struct {
	at  time.Time
	out peer.Outgoing
}

// direction carries the messages of one direction of a session, in order.
type direction struct {
	queue    *peer.Queue
	inFlight []delayedMessage
	deliver  func(peer.Outgoing)
}

// transfer takes the queued messages and delivers those that have arrived.
func (dir *direction) transfer(now time.Time, random *rand.Rand) {
	for out, found := dir.queue.Take(); found; out, found = dir.queue.Take() {
		at := now.Add(time.Duration(random.Int64N(int64(maxMessageDelay))))
		if last := len(dir.inFlight) - 1; last >= 0 && dir.inFlight[last].at.After(at) {
			at = dir.inFlight[last].at
		}
		dir.inFlight = append(dir.inFlight, delayedMessage{at: at, out: out})
	}
	for len(dir.inFlight) > 0 && !dir.inFlight[0].at.After(now) {
		first := dir.inFlight[0]
		dir.inFlight = dir.inFlight[1:]
		dir.deliver(first.out)
	}
}

// simulation runs hosts that have all started at once. Each opens sessions with the first two
// at a random time.
type simulation struct {
	hosts      []*Host
	random     *rand.Rand
	opens      map[time.Time][]func()
	directions []*direction
	log        bytes.Buffer
}

func newSimulation(t *testing.T, seed uint64, count int) *simulation {
	t.Helper()
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), opens: make(map[time.Time][]func())}
	var members []fleet.Member
	for idx := range count {
		hos, err := New(Config{Log: zerolog.New(&sim.log)})
		assert.NilError(t, err)
		hos.set.Name = fmt.Sprintf("h%d", idx)
		hos.epoch = request.Epoch(100 + idx)
		hos.broker = newBroker(hos)
		sim.hosts = append(sim.hosts, hos)
		members = append(members, fleet.Member{Name: hos.set.Name, Epoch: hos.epoch})
	}
	for _, hos := range sim.hosts {
		hos.broker.updateMembership(membership{members: members, candidates: members})
		for _, coo := range sim.hosts[:coordinatorSessions] {
			if coo != hos {
				at := time.Now().Add(time.Duration(sim.random.Int64N(int64(sessionOpenJitter))).Truncate(simStep))
				sim.opens[at] = append(sim.opens[at], func() { sim.open(hos, coo) })
			}
		}
	}
	return sim
}

// open opens a session of a host with a candidate for coordinator.
func (sim *simulation) open(hos, coo *Host) {
	lin := &link{member: fleet.Member{Name: coo.set.Name, Epoch: coo.epoch}, queue: peer.NewQueue(), cancel: func() {}}
	reverse := peer.NewQueue()
	session := coo.broker.SessionUp(hos.Header(), reverse, func() {})
	hos.broker.linkUp(lin)
	sim.directions = append(sim.directions,
		&direction{queue: lin.queue, deliver: func(out peer.Outgoing) {
			coo.broker.SessionMessage(session, peer.Received{Message: out.Message})
		}},
		&direction{queue: reverse, deliver: func(out peer.Outgoing) { hos.broker.linkMessage(lin, out.Message) }},
	)
}

func (sim *simulation) run(until time.Time) {
	for now := time.Now(); now.Before(until); now = time.Now() {
		for _, open := range sim.opens[now] {
			open()
		}
		for _, dir := range sim.directions {
			dir.transfer(now, sim.random)
		}
		<-time.After(simStep)
	}
}

func (sim *simulation) changes() int {
	return strings.Count(sim.log.String(), "coordinator changed")
}

// Guards against hosts that change their coordinator without end: six hosts made 14,000 changes a
// second, used all their processors for that, and rejected two requests in three. Hosts that start
// at once reach the first two candidates in any order, and their reports of the leader cross one
// another, so that without a minimum term of coordinators each change causes others. Within a second
// and a few changes each, all hosts must have the same coordinator and keep it.
func TestSimultaneousStartConvergesOnOneCoordinator(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			const hosts = 6
			start := time.Now()
			sim := newSimulation(t, seed, hosts)
			sim.run(start.Add(convergedAfter))
			changes := sim.changes()
			assert.Assert(t, changes <= 6*hosts, "seed %d: %d changes", seed, changes)
			sim.run(start.Add(convergedAfter + observedFor))
			assert.Equal(t, sim.changes(), changes, "seed %d: the hosts don't converge", seed)
			for _, hos := range sim.hosts {
				assert.Equal(t, hos.broker.coordinator, sim.hosts[0].broker.coordinator, "seed %d", seed)
			}
		})
	}
}

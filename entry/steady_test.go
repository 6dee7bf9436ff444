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
	// openSpread is the time over which hosts that start together open their sessions.
	openSpread = 80 * time.Millisecond
	// maxWay is how long a message is on its way to a host that is busy.
	maxWay = 8 * time.Millisecond
	// settledAfter is from when on nothing may change any more.
	settledAfter = time.Second
	watchedFor   = 2 * time.Second
	simStep      = time.Millisecond
)

// onWay is a message that arrives at a time.
type onWay struct {
	at  time.Time
	out peer.Outgoing
}

// direction carries the messages of one direction of a session, in their order.
type direction struct {
	queue *peer.Queue
	way   []onWay
	take  func(peer.Outgoing)
}

// carry takes up what waits, and delivers what has arrived.
func (dir *direction) carry(now time.Time, random *rand.Rand) {
	for out, found := dir.queue.Take(); found; out, found = dir.queue.Take() {
		at := now.Add(time.Duration(random.Int64N(int64(maxWay))))
		if last := len(dir.way) - 1; last >= 0 && dir.way[last].at.After(at) {
			at = dir.way[last].at
		}
		dir.way = append(dir.way, onWay{at: at, out: out})
	}
	for len(dir.way) > 0 && !dir.way[0].at.After(now) {
		first := dir.way[0]
		dir.way = dir.way[1:]
		dir.take(first.out)
	}
}

// herd is hosts that have all started at once, each of which opens sessions with the
// first two at some moment.
type herd struct {
	hosts      []*Host
	random     *rand.Rand
	opens      map[time.Time][]func()
	directions []*direction
	log        bytes.Buffer
}

func newHerd(t *testing.T, seed uint64, count int) *herd {
	t.Helper()
	her := &herd{random: rand.New(rand.NewPCG(seed, 1)), opens: make(map[time.Time][]func())}
	var members []fleet.Member
	for idx := range count {
		hos, err := New(Config{Log: zerolog.New(&her.log)})
		assert.NilError(t, err)
		hos.set.Name = fmt.Sprintf("h%d", idx)
		hos.epoch = request.Epoch(100 + idx)
		hos.desk = newDesk(hos)
		her.hosts = append(her.hosts, hos)
		members = append(members, fleet.Member{Name: hos.set.Name, Epoch: hos.epoch})
	}
	for _, hos := range her.hosts {
		hos.desk.changeMembers(roster{members: members, candidates: members})
		for _, coo := range her.hosts[:coordinators] {
			if coo != hos {
				at := time.Now().Add(time.Duration(her.random.Int64N(int64(openSpread))).Truncate(simStep))
				her.opens[at] = append(her.opens[at], func() { her.open(hos, coo) })
			}
		}
	}
	return her
}

// open opens a session of a host with one that may coordinate.
func (her *herd) open(hos, coo *Host) {
	lin := &link{member: fleet.Member{Name: coo.set.Name, Epoch: coo.epoch}, queue: peer.NewQueue(), cancel: func() {}}
	back := peer.NewQueue()
	session := coo.desk.SessionUp(hos.Header(), back, func() {})
	hos.desk.linkUp(lin)
	her.directions = append(her.directions,
		&direction{queue: lin.queue, take: func(out peer.Outgoing) {
			coo.desk.SessionMessage(session, peer.Received{Message: out.Message})
		}},
		&direction{queue: back, take: func(out peer.Outgoing) { hos.desk.linkMessage(lin, out.Message) }},
	)
}

func (her *herd) run(until time.Time) {
	for now := time.Now(); now.Before(until); now = time.Now() {
		for _, open := range her.opens[now] {
			open()
		}
		for _, dir := range her.directions {
			dir.carry(now, her.random)
		}
		<-time.After(simStep)
	}
}

func (her *herd) changes() int {
	return strings.Count(her.log.String(), "coordinator changed")
}

// Hosts that all start at once reach the two first in any order, and hear of who leads
// by words that cross on the way. Within a second all have one host decide, and nothing
// changes any more; each on its way there changes a few times. Without a time between two
// changes their words chase one another round the hosts for ever: six hosts made 14,000
// changes a second, used all of their processors for it, and refused two requests in
// three.
func TestHerdSettlesOnOneCoordinator(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			const hosts = 6
			start := time.Now()
			her := newHerd(t, seed, hosts)
			her.run(start.Add(settledAfter))
			changes := her.changes()
			assert.Assert(t, changes <= 6*hosts, "seed %d: %d changes", seed, changes)
			her.run(start.Add(settledAfter + watchedFor))
			assert.Equal(t, her.changes(), changes, "seed %d: it doesn't settle", seed)
			for _, hos := range her.hosts {
				assert.Equal(t, hos.desk.active, her.hosts[0].desk.active, "seed %d", seed)
			}
		})
	}
}

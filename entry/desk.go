package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/rollout"
	"lynxwell.dev/lynxwell/route"
	"lynxwell.dev/lynxwell/scheduler"
)

// tickInterval is how often time passes in the scheduler while requests wait.
const tickInterval = 5 * time.Millisecond

// desk is where reservations are made: at the coordinator, which is one host's
// scheduler for all hosts, or at this host's own while it reaches no other.
type desk struct {
	host  *Host
	mutex sync.Mutex
	core  *scheduler.Core
	// ticking is set while a tick is due.
	ticking bool
	// roster is who shares the work, listed the same by the entries alone; changed wakes
	// the sessions.
	roster  roster
	listed  roster
	changed chan struct{}
	// unreached are candidates to which no session could be opened lately.
	unreached map[request.Epoch]bool
	// restarted are the hosts that have started again since their entries were written,
	// by their names.
	restarted map[string]restart
	// links are the sessions that stand, by their coordinator's epoch.
	links map[request.Epoch]*link
	// inbound are the gateways whose sessions this host's scheduler serves.
	inbound  map[uint64]*inbound
	sessions uint64
	// active is the coordinator; the host's own epoch stands for its own scheduler.
	active request.Epoch
	// steadyUntil is until when the coordinator stays while it is reached, whoever leads;
	// electing is set while an election is due then.
	steadyUntil time.Time
	electing    bool
	// tickets are the reservations that wait for a decision; holds are the engines
	// that requests have, as another coordinator is told of them.
	tickets map[request.ID]*ticket
	holds   map[request.ID]*reservation.Adopt
	// spent is what this host's requests took from each account's limit, with the
	// accounts of spentTable and the rates' parts by spentHosts.
	spent      map[string]*spending
	spentTable *route.Table
	spentHosts int
	// presence is which hosts this one reaches, toldAbsent those that it last told the
	// others not to be there.
	presence *fleet.Presence
	// toldLeader is the host that this one last told the others to lead.
	toldLeader request.Epoch
	toldAbsent []request.Epoch
	// absent are the hosts that the active coordinator doesn't reach.
	absent atomic.Pointer[map[request.Epoch]bool]
	// evacuations is what is known of failure domains that are being emptied.
	evacuations *evacuation.Board
	// survey is what the hosts have recorded of the engines' speed.
	survey pace.Survey
}

// link is this host's session with a coordinator.
type link struct {
	member fleet.Member
	queue  *peer.Queue
	cancel context.CancelFunc
	// leader is the host that the coordinator knows to lead; 0 for none.
	leader request.Epoch
}

// inbound is a gateway's session with this host's scheduler.
type inbound struct {
	gateway request.Epoch
	name    string
	queue   *peer.Queue
	cancel  context.CancelFunc
	// appointed says that it has this scheduler decide.
	appointed bool
}

// send passes a message on; a gateway that has fallen behind loses its session.
func (inb *inbound) send(msg reservation.Message) {
	if !inb.queue.Put(peer.Outgoing{Message: msg}) {
		inb.cancel()
	}
}

// ticket is a reservation that waits for a decision.
type ticket struct {
	reserve reservation.Reserve
	// asked is the coordinator that was asked.
	asked    request.Epoch
	decision chan decision
}

// decision is what a coordinator said.
type decision struct {
	// grant is set unless refusal is.
	grant   *reservation.Grant
	refusal *reservation.Refuse
	// by is the coordinator.
	by request.Epoch
}

func newDesk(hos *Host) *desk {
	return &desk{
		host:      hos,
		core:      scheduler.New(schedulerConfig(hos)),
		changed:   make(chan struct{}, 1),
		links:     make(map[request.Epoch]*link),
		inbound:   make(map[uint64]*inbound),
		active:    hos.epoch,
		tickets:   make(map[request.ID]*ticket),
		unreached: make(map[request.Epoch]bool),
		restarted: make(map[string]restart),
		holds:     make(map[request.ID]*reservation.Adopt),
		spent:     make(map[string]*spending),
		presence:  fleet.NewPresence(hos.epoch),

		evacuations: evacuation.New(),
	}
}

func schedulerConfig(hos *Host) scheduler.Config {
	bou := hos.set.Bounds
	return scheduler.Config{
		Self:       hos.epoch,
		Repeats:    scheduler.Repeats{Ratio: bou.RepeatRatio, Window: bou.RepeatWindow(), Slack: bou.RepeatSlack},
		LimitSlack: bou.LimitSlack, LimitWindow: bou.LimitWindow(), LimitOvershoot: bou.LimitOvershoot,
		Regions:  hos.set.Regions,
		Rollouts: rollout.Config{Self: hos.epoch.String(), Share: bou.ExposureShare, Slack: bou.ExposureSlack},
	}
}

// handle brings the host's own scheduler an event.
func (des *desk) handle(evt scheduler.Event) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	des.step(evt)
}

// step has the scheduler decide and passes on what it says; the mutex is held.
func (des *desk) step(evt scheduler.Event) {
	for _, snd := range des.core.Handle(des.host.clock.Now(), evt) {
		des.deliver(snd)
	}
	des.passChanges()
	if !des.ticking && des.core.Waiting() {
		des.ticking = true
		time.AfterFunc(tickInterval, des.tick)
	}
}

func (des *desk) tick() {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	des.ticking = false
	des.step(scheduler.Tick{})
}

// deliver passes a message of the own scheduler on.
func (des *desk) deliver(snd scheduler.Send) {
	des.logDecision(snd)
	if snd.To == des.host.epoch {
		des.decided(des.host.epoch, snd.Message)
		return
	}
	for _, inb := range des.inbound {
		if inb.gateway != snd.To {
			continue
		}
		inb.send(snd.Message)
		return
	}
}

// logDecision writes what this host decided for a gateway, and by what.
func (des *desk) logDecision(snd scheduler.Send) {
	evt := des.host.log.Info()
	switch msg := snd.Message.(type) {
	case reservation.Grant:
		evt = evt.Str("Request", msg.ID.Unique).Str("Engine", msg.Engine)
	case reservation.Refuse:
		evt = evt.Str("Request", msg.ID.Unique).Stringer("Reason", msg.Reason).Dur("RetryAfter", msg.RetryAfter)
	}
	inp := snd.Inputs
	if inp.Paced > 0 {
		evt = evt.Int("Paced", inp.Paced).Bool("WaitedForRate", inp.WaitedForRate)
	}
	if inp.PerSecond > 0 || inp.Spent > 0 {
		evt = evt.Float64("PerSecond", inp.PerSecond).Int("Spent", inp.Spent).Bool("Cold", inp.Cold)
	}
	evt.Stringer("Gateway", snd.To).Dur("Waited", inp.Waited).Int("Waiting", inp.Waiting).Int("Engines", inp.Engines).Int("Aside", inp.Aside).Bool("AsideUsed", inp.AsideUsed).
		Int("Running", inp.Running).Dur("Unread", inp.Unread).Dur("Expected", inp.Expected).Msg("decision")
}

// decided takes a coordinator's decision; the mutex is held.
func (des *desk) decided(by request.Epoch, msg reservation.Message) {
	switch msg := msg.(type) {
	case reservation.Grant:
		tic := des.tickets[msg.ID]
		if tic == nil || tic.asked != by {
			// Nobody waits for it any more: the engine's place is given back.
			des.tell(by, reservation.Release{ID: msg.ID, Engine: msg.Engine})
			return
		}
		des.hold(tic, msg, by)
		des.noteSpent(tic.reserve)
		des.settle(tic, decision{grant: &msg, by: by})
	case reservation.Refuse:
		if tic := des.tickets[msg.ID]; tic != nil && tic.asked == by {
			des.settle(tic, decision{refusal: &msg, by: by})
		}
	case reservation.Leader:
		des.takeLeader(by, msg.Host)
	case reservation.Absent:
		des.takeAbsent(by, msg.Hosts)
	}
}

// hold remembers the engine that a request has, so that another coordinator can
// be told of it.
func (des *desk) hold(tic *ticket, gra reservation.Grant, by request.Epoch) {
	ado := reservation.Adopt{
		ID: gra.ID, Ballot: gra.Ballot, Engine: gra.Engine, Service: tic.reserve.Service,
		Account: tic.reserve.Account, Cost: tic.reserve.Cost, Unread: true, PromptTokens: tic.reserve.PromptTokens,
		Route: tic.reserve.Route, Digest: tic.reserve.Digest,
	}
	des.holds[gra.ID] = &ado
	if by != des.host.epoch {
		des.step(scheduler.GrantedElsewhere{Adopt: ado})
	}
}

func (des *desk) settle(tic *ticket, dec decision) {
	delete(des.tickets, tic.reserve.ID)
	tic.decision <- dec
}

// tell sends a message to a coordinator; the mutex is held.
func (des *desk) tell(to request.Epoch, msg reservation.Message) {
	if to == des.host.epoch {
		des.step(scheduler.Received{From: to, Message: msg})
		return
	}
	lin := des.links[to]
	if lin != nil && !lin.queue.Put(peer.Outgoing{Message: msg}) {
		lin.cancel()
	}
}

// tellDeciders tells the own scheduler, the one that decides and the one that would next, so
// that what is told outlasts the loss of any of them; the mutex is held.
func (des *desk) tellDeciders(msg reservation.Message) {
	for epo := range des.links {
		des.tell(epo, msg)
	}
	des.tell(des.host.epoch, msg)
}

// reserve asks the coordinator for an engine and waits for its decision, or for
// the end of the context.
func (des *desk) reserve(ctx context.Context, res reservation.Reserve) (decision, error) {
	tic := &ticket{reserve: res, decision: make(chan decision, 1)}
	des.mutex.Lock()
	if ref, held := des.core.Held(des.host.clock.Now(), res); held {
		// Whoever decides, also one that doesn't know of it yet.
		des.mutex.Unlock()
		return decision{refusal: &ref, by: des.host.epoch}, nil
	}
	des.tickets[res.ID] = tic
	des.ask(tic)
	des.mutex.Unlock()
	timer := time.NewTimer(decisionTimeout(res))
	defer timer.Stop()
	select {
	case dec := <-tic.decision:
		return dec, nil
	case <-timer.C:
		return des.reserveAlone(ctx, tic)
	case <-ctx.Done():
		return decision{}, des.abandon(ctx, tic)
	}
}

// decisionSlack is how much longer than a coordinator may keep a reservation its
// answer may take: some round trips and a pause of its processor.
const decisionSlack = 150 * time.Millisecond

func decisionTimeout(res reservation.Reserve) time.Duration {
	return res.Aim/4 + decisionSlack
}

// reserveAlone asks the own scheduler where the coordinator stays silent.
func (des *desk) reserveAlone(ctx context.Context, tic *ticket) (decision, error) {
	des.mutex.Lock()
	if tic.asked != des.host.epoch && des.tickets[tic.reserve.ID] == tic {
		des.host.log.Warn().Str("Request", tic.reserve.ID.Unique).Stringer("Coordinator", tic.asked).Msg("coordinator silent, deciding alone")
		des.tell(tic.asked, reservation.Withdraw{ID: tic.reserve.ID, Ballot: tic.reserve.Ballot})
		des.askAt(tic, des.host.epoch)
	}
	des.mutex.Unlock()
	select {
	case dec := <-tic.decision:
		return dec, nil
	case <-ctx.Done():
		return decision{}, des.abandon(ctx, tic)
	}
}

// abandon withdraws a reservation that nobody waits for any more.
func (des *desk) abandon(ctx context.Context, tic *ticket) error {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if des.tickets[tic.reserve.ID] == tic {
		delete(des.tickets, tic.reserve.ID)
		des.tell(tic.asked, reservation.Withdraw{ID: tic.reserve.ID, Ballot: tic.reserve.Ballot})
		return context.Cause(ctx)
	}
	if dec := <-tic.decision; dec.grant != nil {
		des.finish(reservation.Release{ID: tic.reserve.ID, Engine: dec.grant.Engine})
	}
	return context.Cause(ctx)
}

// ask asks the active coordinator; the mutex is held.
func (des *desk) ask(tic *ticket) {
	des.askAt(tic, des.active)
}

func (des *desk) askAt(tic *ticket, at request.Epoch) {
	tic.asked = at
	des.tell(at, tic.reserve)
}

// moveHold notes that a request went to another run of its engine than was granted.
func (des *desk) moveHold(id request.ID, run fleet.EngineID) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if hol := des.holds[id]; hol != nil {
		hol.Engine = run.String()
	}
}

// progress says that the first of an answer has come.
func (des *desk) progress(pro reservation.Progress) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	if hol := des.holds[pro.ID]; hol != nil {
		hol.Unread = false
	}
	des.tellBoth(pro)
}

// release gives an engine's place back.
func (des *desk) release(rel reservation.Release) {
	des.mutex.Lock()
	defer des.mutex.Unlock()
	des.finish(rel)
}

func (des *desk) finish(rel reservation.Release) {
	delete(des.holds, rel.ID)
	des.tellBoth(rel)
}

// tellBoth tells the coordinator and the own scheduler, which must know the own
// runs in case it has to decide alone.
func (des *desk) tellBoth(msg reservation.Message) {
	if des.active != des.host.epoch {
		des.tell(des.active, msg)
	}
	des.tell(des.host.epoch, msg)
}

package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lynxwell.dev/lynxwell/admission"
	"lynxwell.dev/lynxwell/affinity"
	"lynxwell.dev/lynxwell/evacuation"
	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/rollout"
	"lynxwell.dev/lynxwell/scheduler"
	"lynxwell.dev/lynxwell/settings"
	"lynxwell.dev/lynxwell/takeover"
)

// tickInterval is how often the scheduler handles a Tick event while requests wait.
const tickInterval = 5 * time.Millisecond

// broker places reservations with the coordinator, the host whose scheduler grants engines to all
// hosts. While no other host is reachable, this host is its own coordinator.
type broker struct {
	host  *Host
	mutex sync.Mutex
	core  *scheduler.Core
	// ticking is set while a tick is scheduled.
	ticking bool
	// registeredMembership holds the hosts with the epochs in their entries in the store. membership
	// is the same with the new epochs of hosts whose restart this host has detected.
	membership           membership
	registeredMembership membership
	// candidatesChanged makes maintainSessions adjust the sessions to the candidates.
	candidatesChanged chan struct{}
	// unreachableCandidates are the candidates with which the last attempt to open a session
	// failed.
	unreachableCandidates map[request.Epoch]bool
	// restarts are the hosts that have restarted since their entries were written, by name.
	restarts map[string]restart
	// links are the open sessions to coordinators, by the coordinator's epoch.
	links map[request.Epoch]*link
	// inbound are the sessions of gateways with this host's scheduler, by session number.
	// lastSession is the highest number given.
	inbound     map[uint64]*inbound
	lastSession uint64
	// coordinator is the epoch of the coordinator: the host's own epoch while the host uses its own
	// scheduler.
	coordinator request.Epoch
	// minTermEnd is the end of the coordinator's minimum term; until then a reachable
	// coordinator is kept, whichever host is the leader. electionScheduled is set while an election
	// is scheduled for that time.
	minTermEnd        time.Time
	electionScheduled bool
	// pending are this host's reservations that wait for a decision. activeGrants are its grants in
	// use, in the form in which another coordinator adopts them.
	pending map[request.ID]*pendingReservation
	// submissions counts the submissions of reservations.
	submissions uint32
	// gate decides which of the pending reservations are sent to the coordinator, and when.
	gate *admission.Gate
	// judge judges how fast the coordinator decides, reportedSlow is set while this host reports it as
	// slow. slowReports are the reports of the gateways, deposed the coordinators replaced lately.
	judge        *takeover.Judge
	reportedSlow bool
	slowReports  *takeover.Reports
	deposed      *takeover.Deposed
	activeGrants map[request.ID]*reservation.Adopt
	// shares lends and borrows shares of the limits.
	shares *limitShares
	// presence tracks which hosts have a session with this one.
	presence *fleet.Presence
	// publishedLeader is the leader that this host most recently published; 0 for none.
	publishedLeader request.Epoch
	// publishedUnreachable are the unreachable hosts that this host most recently published.
	publishedUnreachable []request.Epoch
	// unreachableHosts are the registered hosts that the coordinator can't reach.
	unreachableHosts atomic.Pointer[map[request.Epoch]bool]
	// evacuations tracks the evacuations of failure domains: their stored state, and which hosts
	// enforce their orders.
	evacuations *evacuation.Tracker
	// streams are the streams that this host passes on to the hosts that keep them, at the time for which
	// streamsScheduled is set.
	streams          affinity.Outbox
	streamsScheduled bool
	// origins keeps in the store what began streams.
	origins *origins
	// measurements are the stored measurements of the engines' speed.
	measurements pace.Measurements
}

// link is a session that this host opened to the coordinator or one of its next candidates.
type link struct {
	member fleet.Member
	queue  *peer.Queue
	cancel context.CancelFunc
	// leader is the leader that this coordinator most recently reported; 0 for none.
	leader request.Epoch
}

// inbound is a gateway's session with this host's scheduler.
type inbound struct {
	gateway request.Epoch
	name    string
	queue   *peer.Queue
	cancel  context.CancelFunc
	// delegated is set while the gateway uses this host as its coordinator.
	delegated bool
}

// send queues a message for the gateway. A gateway that does not keep up with its queue loses its
// session.
func (inb *inbound) send(msg reservation.Message) {
	if !inb.queue.Put(peer.Outgoing{Message: msg}) {
		inb.cancel()
	}
}

// pendingReservation is a reservation that waits for a decision.
type pendingReservation struct {
	reserve reservation.Reserve
	// coordinator is the epoch of the host that is to decide.
	coordinator request.Epoch
	// arrivedAt is when the reservation was made.
	arrivedAt time.Time
	decision  chan decision
}

// decision is a coordinator's answer to a reservation.
type decision struct {
	// Exactly one of grant and refusal is set.
	grant   *reservation.Grant
	refusal *reservation.Refuse
	// coordinator is the epoch of the host that decided.
	coordinator request.Epoch
}

func newBroker(hos *Host) *broker {
	bro := &broker{
		host:                  hos,
		core:                  scheduler.New(schedulerConfig(hos)),
		candidatesChanged:     make(chan struct{}, 1),
		links:                 make(map[request.Epoch]*link),
		inbound:               make(map[uint64]*inbound),
		coordinator:           hos.epoch,
		pending:               make(map[request.ID]*pendingReservation),
		unreachableCandidates: make(map[request.Epoch]bool),
		restarts:              make(map[string]restart),
		activeGrants:          make(map[request.ID]*reservation.Adopt),
		presence:              fleet.NewPresence(hos.epoch),

		evacuations: evacuation.New(),

		origins: newOrigins(),

		gate: admission.NewGate(),

		judge:       takeover.NewJudge(),
		slowReports: takeover.NewReports(),
		deposed:     takeover.NewDeposed(),
	}
	bro.shares = newLimitShares(bro)
	return bro
}

func schedulerConfig(hos *Host) scheduler.Config {
	bou := hos.set.Bounds
	return scheduler.Config{
		Self:        hos.epoch,
		RetryBudget: scheduler.RetryBudget{Ratio: bou.RepeatRatio, Window: bou.RepeatWindow(), Slack: bou.RepeatSlack},
		LimitSlack:  bou.LimitSlack, LimitWindow: bou.LimitWindow(), LimitOvershoot: bou.LimitOvershoot,
		Regions: hos.set.Regions, FairShares: hos.set.Scheduling.Shares == settings.SharesByWeight, PredictTurns: hos.set.Scheduling.PredictTurns.Or(false), BookReturns: hos.set.Scheduling.BookReturns.Or(false),
		Rollouts: rollout.Config{Self: hos.epoch.String(), Share: bou.ExposureShare, Slack: bou.ExposureSlack},
	}
}

// handle passes an event to the host's own scheduler.
func (bro *broker) handle(evt scheduler.Event) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.handleLocked(evt)
}

// handleLocked passes an event to the host's own scheduler and delivers the resulting messages;
// the mutex must be held.
func (bro *broker) handleLocked(evt scheduler.Event) {
	bro.settleShares()
	for _, snd := range bro.core.Handle(bro.host.clock.Now(), evt) {
		bro.deliver(snd)
	}
	bro.publishQuarantineChanges()
	bro.publishStreams()
	bro.logEjections()
	bro.scheduleTick()
}

// scheduleTick schedules a tick while requests wait at this host's scheduler or are held back by its gate; the mutex
// must be held.
func (bro *broker) scheduleTick() {
	if !bro.ticking && (bro.core.HasWaiting() || bro.gate.State().Held > 0) {
		bro.ticking = true
		time.AfterFunc(tickInterval, bro.tick)
	}
}

func (bro *broker) tick() {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.ticking = false
	bro.refuseHeldBack()
	bro.handleLocked(scheduler.Tick{})
}

// deliver sends a message of the host's own scheduler to the gateway it is for.
func (bro *broker) deliver(snd scheduler.Send) {
	bro.logDecision(snd)
	if snd.To == bro.host.epoch {
		bro.applyMessage(bro.host.epoch, snd.Message)
		return
	}
	for _, inb := range bro.inbound {
		if inb.gateway != snd.To {
			continue
		}
		inb.send(snd.Message)
		return
	}
}

// logDecision logs a decision of this host's scheduler with the inputs it was based on.
func (bro *broker) logDecision(snd scheduler.Send) {
	evt := bro.host.log.Info()
	switch msg := snd.Message.(type) {
	case reservation.Grant:
		evt = evt.Str("Request", msg.ID.Unique).Str("Engine", msg.Engine).Str("EngineVersion", snd.Inputs.EngineVersion)
	case reservation.Refuse:
		evt = evt.Str("Request", msg.ID.Unique).Stringer("Reason", msg.Reason).Dur("RetryAfter", msg.RetryAfter)
	}
	inp := snd.Inputs
	if inp.Origin != scheduler.OriginNotNeeded {
		now := bro.host.clock.Now()
		evt = evt.Stringer("Origin", inp.Origin).Str("OriginVersion", inp.EngineVersion).Dur("HostAge", now.Sub(bro.host.started)).
			Dur("CopyAge", bro.host.snapshotAge(now)).Uint64("Record", bro.core.Versions().Number).Stringer("By", bro.host.epoch)
		bro.host.metrics.count("Streams.Origin." + inp.Origin.String())
	}
	if inp.Unopened > 0 {
		evt = evt.Int("Unopened", inp.Unopened)
	}
	if inp.RateLimited > 0 {
		evt = evt.Int("Paced", inp.RateLimited).Bool("WaitedForRate", inp.WaitedForRate)
	}
	if inp.PerSecond > 0 || inp.RecentGrants > 0 {
		evt = evt.Float64("PerSecond", inp.PerSecond).Int("Spent", inp.RecentGrants).Bool("Cold", inp.Cold)
	}
	if inp.Predicted > 0 {
		evt = evt.Dur("Predicted", inp.Predicted)
		bro.host.metrics.observe("Turn.Predicted", inp.Predicted)
		bro.host.metrics.observe("Turn.Waited", inp.Waited)
		bro.host.metrics.observe("Turn.Error", (inp.Predicted - inp.Waited).Abs())
	}
	if inp.Account != "" {
		evt = evt.Str("Account", inp.Account).Float64("Cost", inp.Cost).Float64("Level", inp.Level)
	}
	evt.Stringer("Gateway", snd.To).Dur("Waited", inp.Waited).Int("Waiting", inp.Waiting).Int("Engines", inp.Engines).Int("Aside", inp.Ejected).Bool("AsideUsed", inp.EjectedUsed).
		Int("Running", inp.Running).Dur("Unread", inp.PendingPrefill).Dur("Expected", inp.Expected).Msg("decision")
}

// logEjections logs the engines that this host's scheduler has ejected, with the gateways that reported
// the failures.
func (bro *broker) logEjections() {
	for _, eje := range bro.core.Ejections() {
		bro.host.metrics.count("EngineEjections")
		bro.host.log.Info().Stringer("Engine", eje.Engine).Stringer("Gateway", eje.Gateway).Dur("For", eje.For).Msg("engine ejected")
	}
}

// applyMessage applies a coordinator's message; the mutex must be held.
func (bro *broker) applyMessage(by request.Epoch, msg reservation.Message) {
	switch msg := msg.(type) {
	case reservation.Grant:
		pen := bro.pendingFor(by, msg.ID, msg.Ballot)
		if pen == nil {
			bro.dropGrant(by, msg)
			return
		}
		bro.recordDecided(pen, msg.Waited)
		bro.recordGrant(pen, msg, by)
		bro.resolve(pen, decision{grant: &msg, coordinator: by})
	case reservation.Refuse:
		if pen := bro.pendingFor(by, msg.ID, msg.Ballot); pen != nil {
			bro.recordDecided(pen, msg.Waited)
			if by != bro.host.epoch {
				bro.gate.Refused(bro.host.clock.Now(), pen.reserve, msg)
			}
			bro.resolve(pen, decision{refusal: &msg, coordinator: by})
		}
	case reservation.ShareRequest:
		bro.applyShareRequest(by, msg)
	case reservation.ShareReturned:
		bro.applyShareReturned(by, msg)
	case reservation.Leader:
		bro.applyLeader(by, msg)
	case reservation.UnreachableHosts:
		bro.applyUnreachable(by, msg.Hosts)
	case reservation.StreamsBegan:
		bro.handleLocked(scheduler.Received{From: by, Message: msg})
	}
}

// recordGrant records the engine that a request was granted, so that the grant can be handed over
// to another coordinator. A grant by another host is also passed to the host's own scheduler.
func (bro *broker) recordGrant(pen *pendingReservation, gra reservation.Grant, by request.Epoch) {
	ado := reservation.Adopt{
		ID: gra.ID, Ballot: gra.Ballot, Engine: gra.Engine, Service: pen.reserve.Service,
		Account: pen.reserve.Account, Cost: pen.reserve.Cost, PendingPrefill: true, PromptTokens: pen.reserve.PromptTokens,
		Route: pen.reserve.Route, Digest: pen.reserve.Digest,
		Rank: pen.reserve.Rank, Urgency: pen.reserve.Urgency, Client: pen.reserve.Client, Work: gra.Work,
		Stream: pen.reserve.Stream, StreamLife: pen.reserve.StreamLife, Parts: pen.reserve.SharedParts(),
	}
	bro.activeGrants[gra.ID] = &ado
	if by != bro.host.epoch {
		bro.recordDebt(pen.reserve.Account, gra.Debt)
		bro.handleLocked(scheduler.GrantedByPeer{Adopt: ado})
	}
}

func (bro *broker) resolve(pen *pendingReservation, dec decision) {
	delete(bro.pending, pen.reserve.ID)
	pen.decision <- dec
}

// send sends a message to the scheduler of this host or of a host with a link; the message is
// dropped if there is no link. The mutex must be held.
func (bro *broker) send(to request.Epoch, msg reservation.Message) {
	if to == bro.host.epoch {
		bro.handleLocked(scheduler.Received{From: to, Message: msg})
		return
	}
	lin := bro.links[to]
	if lin != nil && !lin.queue.Put(peer.Outgoing{Message: msg}) {
		lin.cancel()
	}
}

// sendToSchedulers sends a message to the host's own scheduler and over all links, that is to the
// coordinator and its next candidates, so that the information survives the loss of any of them;
// the mutex must be held.
func (bro *broker) sendToSchedulers(msg reservation.Message) {
	for epo := range bro.links {
		bro.send(epo, msg)
	}
	bro.send(bro.host.epoch, msg)
}

// updateGrant records that a request goes to another run of its engine than the one granted.
func (bro *broker) updateGrant(id request.ID, run fleet.EngineID) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if gra := bro.activeGrants[id]; gra != nil {
		gra.Engine = run.String()
	}
}

// progress reports that the first token of an answer has arrived.
func (bro *broker) progress(pro reservation.Progress) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	if gra := bro.activeGrants[pro.ID]; gra != nil {
		gra.PendingPrefill = false
	}
	bro.sendToCoordinatorAndOwn(pro)
}

// release ends the use of a grant and releases its slot.
func (bro *broker) release(rel reservation.Release) {
	bro.mutex.Lock()
	defer bro.mutex.Unlock()
	bro.releaseLocked(rel)
}

func (bro *broker) releaseLocked(rel reservation.Release) {
	delete(bro.activeGrants, rel.ID)
	bro.sendToCoordinatorAndOwn(rel)
}

// sendToCoordinatorAndOwn sends a message to the coordinator and to the host's own scheduler, which
// must know the host's requests in flight in case it becomes the coordinator.
func (bro *broker) sendToCoordinatorAndOwn(msg reservation.Message) {
	if bro.coordinator != bro.host.epoch {
		bro.send(bro.coordinator, msg)
	}
	bro.send(bro.host.epoch, msg)
}

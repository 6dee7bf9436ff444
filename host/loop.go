package host

import (
	"context"
	"time"

	"lynxwell.dev/lynxwell/caller"
	"lynxwell.dev/lynxwell/coordinator"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// tickInterval is the interval of the cores' tick events.
const tickInterval = 50 * time.Millisecond

// inboxLen is the capacity of inbox, the loop's queue of events.
const inboxLen = 4096

// loop owns both decision cores and the state that their actions change. Only the goroutine
// that executes run accesses that state.
type loop struct {
	host            *Host
	inbox           chan func(now time.Time)
	stopped         chan struct{}
	gateway         *gateway.Core
	coordinator     *coordinator.Core
	jobs            map[request.ID]*job
	pending         map[gateway.ClientID]*arrival
	outbound        map[request.Epoch]*outbound
	inbound         map[request.Epoch]*inbound
	inboundByNumber map[uint64]*inbound
	// retainedBytes is the total size of the retained answers in bytes. retainedOrder holds
	// the ids of their requests, oldest first.
	retainedBytes int
	retainedOrder []request.ID
	// ctx ends with the loop; the contexts of dispatches and peer calls derive from it.
	ctx context.Context
}

// job holds a request's exchange and the data needed to run the request.
type job struct {
	exchange *caller.Exchange
	work     caller.Work
	priority int
	cancel   context.CancelFunc
	// retained is the number of bytes that the answer adds to retainedBytes.
	retained int
}

// arrival is a client request that waits for a decision.
type arrival struct {
	work     caller.Work
	rank     int
	decision chan caller.Decision
}

// outbound is this gateway's session with a coordinator.
type outbound struct {
	member view.Member
	queue  *peer.Queue
	cancel context.CancelFunc
	// up is set once the coordinator's first frame has arrived.
	up bool
}

// inbound is a gateway's session with this coordinator.
type inbound struct {
	number  uint64
	gateway request.Epoch
	name    string
	queue   *peer.Queue
	cancel  context.CancelFunc
}

func newLoop(hos *Host) *loop {
	gatewayConfig := hos.cfg.Gateway
	gatewayConfig.Self = hos.epoch
	gatewayConfig.Started = hos.started
	gatewayConfig.Window = hos.set.Timing.Window.Std()
	gatewayConfig.OrphanGrace = hos.set.Timing.OrphanGrace.Std()
	coordinatorConfig := hos.cfg.Coordinator
	coordinatorConfig.Self = hos.epoch
	if coordinatorConfig.Retention == 0 {
		coordinatorConfig.Retention = (gateway.WindowsKept + 1) * gatewayConfig.Window
	}
	return &loop{
		host:            hos,
		inbox:           make(chan func(time.Time), inboxLen),
		stopped:         make(chan struct{}),
		gateway:         gateway.New(gatewayConfig),
		coordinator:     coordinator.New(coordinatorConfig),
		jobs:            make(map[request.ID]*job),
		pending:         make(map[gateway.ClientID]*arrival),
		outbound:        make(map[request.Epoch]*outbound),
		inbound:         make(map[request.Epoch]*inbound),
		inboundByNumber: make(map[uint64]*inbound),
	}
}

// run processes events one at a time until the context ends.
func (lop *loop) run(ctx context.Context) error {
	lop.ctx = ctx
	defer close(lop.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lop.gatewayEvent(time.Now(), gateway.PeerUp{Peer: lop.host.epoch})
	for {
		select {
		case work := <-lop.inbox:
			work(time.Now())
		case now := <-ticker.C:
			lop.gatewayEvent(now, gateway.Tick{})
			lop.coordinatorEvent(now, coordinator.Tick{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// post queues work for the loop, and blocks while the queue is full. It discards the work if
// the loop has stopped.
func (lop *loop) post(work func(now time.Time)) {
	select {
	case lop.inbox <- work:
	case <-lop.stopped:
	}
}

// StoppedError reports that the host has stopped and processes no more work.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string {
	return "the host has stopped"
}

// callLoop runs work on the loop and waits for its result. It returns a *StoppedError if
// the loop has stopped, and the context's error if the context ends first.
func callLoop[T any](ctx context.Context, lop *loop, work func(now time.Time) T) (T, error) {
	var none T
	result := make(chan T, 1)
	lop.post(func(now time.Time) { result <- work(now) })
	select {
	case val := <-result:
		return val, nil
	case <-lop.stopped:
		return none, &StoppedError{}
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (lop *loop) gatewayEvent(now time.Time, evt gateway.Event) {
	for _, act := range lop.gateway.Handle(now, evt) {
		lop.gatewayAction(now, act)
	}
}

func (lop *loop) coordinatorEvent(now time.Time, evt coordinator.Event) {
	lop.coordinatorActions(now, lop.coordinator.Handle(now, evt))
}

func (lop *loop) coordinatorActions(now time.Time, actions []coordinator.Action) {
	for _, act := range actions {
		if snd, isSend := act.(coordinator.Send); isSend {
			lop.sendToGateway(now, snd)
		}
	}
}

func (lop *loop) sendToGateway(now time.Time, act coordinator.Send) {
	if act.To == lop.host.epoch {
		lop.gatewayEvent(now, gateway.Received{From: act.To, Message: act.Message, Load: act.Load})
		return
	}
	inb := lop.inbound[act.To]
	if inb == nil {
		return
	}
	if !inb.queue.Put(peer.Outgoing{Message: act.Message, Load: act.Load}) {
		inb.cancel()
	}
}

func (lop *loop) sendToCoordinator(now time.Time, to request.Epoch, msg reservation.Message) {
	if to == lop.host.epoch {
		lop.coordinatorEvent(now, coordinator.Received{From: to, Message: msg})
		return
	}
	out := lop.outbound[to]
	if out == nil || !out.up {
		return
	}
	if !out.queue.Put(peer.Outgoing{Message: msg}) {
		out.cancel()
	}
}

// deliverView passes a view to both cores.
func (lop *loop) deliverView(now time.Time, vie view.View) {
	lop.coordinatorEvent(now, coordinator.ViewChanged{View: vie})
	lop.gatewayEvent(now, gateway.ViewChanged{View: vie})
}

// deliverConfiguration passes a configuration to both cores.
func (lop *loop) deliverConfiguration(now time.Time, con resource.Configuration) {
	lop.coordinatorEvent(now, coordinator.ConfigurationChanged{Configuration: con})
	lop.gatewayEvent(now, gateway.ConfigurationChanged{Configuration: con})
}

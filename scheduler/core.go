package scheduler

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/fleet"
	"lynxwell.dev/lynxwell/pace"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
	"lynxwell.dev/lynxwell/route"
)

// Core is the scheduler's state.
type Core struct {
	cfg      Config
	engines  map[fleet.EngineID]*engine
	services map[string]*service
	buckets  map[string]*bucket
	runs     map[request.ID]*run
	table    *route.Table
	// recorded is what the hosts have recorded of the engines' speed, by service and
	// address.
	recorded map[string]map[netip.AddrPort]pace.Profile
	// parts is into how many parts like this one's the limits are divided.
	parts float64
	// hosts is how many hosts share the limits.
	hosts int
	// asked is when each gateway last had this core decide.
	asked map[request.Epoch]time.Time
	// told is what each gateway last told of its part, by account.
	told  map[tellerKey]tellerShare
	sends []Send
}

// service is a service's line and its budget.
type service struct {
	name    string
	engines []*engine
	waiting []*waiter
	repeats repeats
	// pace is what the service's engines have in common.
	pace *pace.Service
	// refusedAt is when a request that could have been in time was last refused for
	// want of an engine.
	refusedAt time.Time
	// arrivals numbers the waiters, for those of the same rank.
	arrivals uint64
}

// waiter is a request that waits for an engine.
type waiter struct {
	reserve reservation.Reserve
	gateway request.Epoch
	number  uint64
	since   time.Time
	// until is when it is refused.
	until time.Time
	// late says that its caller has tried before and can't be served in time any
	// more. In the worst seconds of overload a third of what was granted came too late
	// for its callers' aim, while others that could be in time were refused.
	late bool
}

// New returns a core that knows no engine yet.
func New(cfg Config) *Core {
	return &Core{
		cfg:      cfg,
		engines:  make(map[fleet.EngineID]*engine),
		services: make(map[string]*service),
		buckets:  make(map[string]*bucket),
		runs:     make(map[request.ID]*run),
		asked:    make(map[request.Epoch]time.Time),
		told:     make(map[tellerKey]tellerShare),
		parts:    1,
	}
}

// Handle takes an event and returns the messages to send.
func (cor *Core) Handle(now time.Time, evt Event) []Send {
	cor.sends = nil
	switch evt := evt.(type) {
	case EnginesChanged:
		cor.changeEngines(now, evt.Engines)
	case ConfigurationChanged:
		cor.changeTable(now, evt.Table)
	case Received:
		cor.receive(now, evt.From, evt.Message)
	case GatewayLost:
		cor.loseGateway(now, evt.Gateway)
	case GrantedElsewhere:
		cor.adopt(now, cor.cfg.Self, evt.Adopt)
		cor.charge(now, evt.Adopt)
	case SurveyRead:
		cor.adoptSurvey(evt.Survey)
	case ShareChanged:
		cor.changeShare(now, evt)
	case Tick:
		for _, svc := range cor.services {
			cor.serve(now, svc)
		}
	}
	return cor.sends
}

func (cor *Core) send(to request.Epoch, msg reservation.Message, inp Inputs) {
	cor.sends = append(cor.sends, Send{To: to, Message: msg, Inputs: inp})
}

func (cor *Core) service(name string) *service {
	svc := cor.services[name]
	if svc == nil {
		svc = &service{name: name, repeats: repeats{cfg: cor.cfg.Repeats}, pace: pace.NewService(pace.Prior)}
		cor.services[name] = svc
	}
	return svc
}

func (cor *Core) changeEngines(now time.Time, engines []fleet.Engine) {
	for _, svc := range cor.services {
		svc.engines = svc.engines[:0]
	}
	known := make(map[fleet.EngineID]bool, len(engines))
	for _, eng := range engines {
		known[eng.ID] = true
		ene := cor.engines[eng.ID]
		if ene == nil {
			ene = newEngine(eng, cor.service(eng.Service).pace.NewEngine(cor.recorded[eng.Service][eng.Address]))
			cor.engines[eng.ID] = ene
		}
		ene.Engine = eng
		cor.equip(ene)
		svc := cor.service(eng.Service)
		svc.engines = append(svc.engines, ene)
	}
	for id := range cor.engines {
		if !known[id] {
			delete(cor.engines, id)
		}
	}
	for _, svc := range cor.services {
		cor.serve(now, svc)
	}
}

// equip takes what operators say of the engine's service.
func (cor *Core) equip(ene *engine) {
	if cor.table == nil {
		return
	}
	svc, known := cor.table.Service(ene.Service)
	if !known || svc.Model == nil {
		return
	}
	ene.eventTokens = max(1, svc.Model.EventTokens)
	if svc.Model.CacheTokens > 0 {
		ene.cacheTokens = svc.Model.CacheTokens
	}
}

func (cor *Core) changeTable(now time.Time, tab *route.Table) {
	cor.table = tab
	cor.buckets = cor.newBuckets(now)
	for _, ene := range cor.engines {
		cor.equip(ene)
	}
}

func (cor *Core) changeShare(now time.Time, cha ShareChanged) {
	cor.hosts = cha.Hosts
	cor.forgetAsked(now)
	if cha.Parts == cor.parts || cha.Parts < 1 {
		return
	}
	cor.parts = cha.Parts
	if cor.table != nil {
		cor.buckets = cor.newBuckets(now)
	}
}

func (cor *Core) receive(now time.Time, from request.Epoch, msg reservation.Message) {
	switch msg := msg.(type) {
	case reservation.Reserve:
		cor.reserve(now, from, msg)
	case reservation.Withdraw:
		cor.withdraw(now, msg.ID)
	case reservation.Progress:
		cor.progress(now, msg)
	case reservation.Release:
		cor.release(now, msg)
	case reservation.Adopt:
		cor.adopt(now, from, msg)
	case reservation.Spent:
		cor.creditSpent(now, from, msg)
	}
}

func (cor *Core) reserve(now time.Time, from request.Epoch, res reservation.Reserve) {
	svc := cor.service(res.Service)
	cor.asked[from] = now
	if res.Attempt == 0 {
		svc.repeats.count(now)
		if cor.overLimit(now, res) {
			cor.refuse(from, res, reservation.ReasonLimit, svc.inputs(now, now))
			return
		}
	} else if !svc.repeats.take(now, cor.parts) {
		cor.refuse(from, res, reservation.ReasonBudget, svc.inputs(now, now))
		return
	}
	svc.arrivals++
	wai := &waiter{reserve: res, gateway: from, number: svc.arrivals, since: now}
	wai.late = res.Attempt == 0 && res.Age > res.Aim
	wai.until = now.Add(min(max(0, time.Duration(waitShare*float64(res.Aim))-waitMargin), res.Remaining))
	place, _ := slices.BinarySearchFunc(svc.waiting, wai, compareWaiters)
	svc.waiting = slices.Insert(svc.waiting, place, wai)
	cor.serve(now, svc)
}

func compareWaiters(one, two *waiter) int {
	return cmp.Or(
		cmp.Compare(one.reserve.Rank, two.reserve.Rank),
		cmp.Compare(one.reserve.Urgency, two.reserve.Urgency),
		// Who can be in time goes before who can't any more: the other way round both
		// would be late.
		cmp.Compare(ordinal(one.late), ordinal(two.late)),
		// A repeat has waited before, and engines have worked for it.
		cmp.Compare(min(1, two.reserve.Attempt), min(1, one.reserve.Attempt)),
		cmp.Compare(one.number, two.number),
	)
}

func ordinal(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// overLimit takes the request's cost from its account's limit.
func (cor *Core) overLimit(now time.Time, res reservation.Reserve) bool {
	buc := cor.buckets[res.Account]
	return buc != nil && !buc.take(now, res.Cost, res.Urgency)
}

// charge takes the cost of a run that another scheduler admitted.
func (cor *Core) charge(now time.Time, ado reservation.Adopt) {
	if buc := cor.buckets[ado.Account]; buc != nil {
		buc.charge(now, ado.Cost)
	}
}

func (cor *Core) giveBack(account string, cost float64) {
	if buc := cor.buckets[account]; buc != nil {
		buc.giveBack(cost)
	}
}

func (cor *Core) refuse(to request.Epoch, res reservation.Reserve, reason reservation.Reason, inp Inputs) {
	cor.send(to, reservation.Refuse{ID: res.ID, Ballot: res.Ballot, Reason: reason, RetryAfter: retryAfter(res)}, inp)
}

// inputs returns what a decision on the service rests on.
func (svc *service) inputs(now, since time.Time) Inputs {
	return Inputs{Waited: now.Sub(since), Waiting: len(svc.waiting), Engines: len(svc.engines)}
}

// retryAfter returns when the caller of a refused request comes back: within what
// it has left, and callers not in step.
func retryAfter(res reservation.Reserve) time.Duration {
	hash := fnv.New32a()
	// A hash takes any bytes without an error.
	_, _ = hash.Write([]byte(res.ID.Unique))
	point := float64(hash.Sum32()%1000) / 1000
	share := minRetryShare + (maxRetryShare-minRetryShare)*point
	return time.Duration(share * float64(min(res.Remaining, maxRetrySpan)))
}

// serve gives engines to those who wait, in their order, and refuses those
// whose time is up.
func (cor *Core) serve(now time.Time, svc *service) {
	if len(svc.waiting) == 0 {
		return
	}
	kept := svc.waiting[:0]
	full := false
	for _, wai := range svc.waiting {
		switch {
		case !full && cor.grant(now, svc, wai):
		case !now.Before(wai.until):
			if !wai.late {
				svc.refusedAt = now
			}
			cor.giveBack(wai.reserve.Account, cor.costOf(wai.reserve))
			cor.refuse(wai.gateway, wai.reserve, reservation.ReasonOverload, svc.inputs(now, wai.since))
		default:
			full = full || len(wai.reserve.Exclude) == 0
			kept = append(kept, wai)
		}
	}
	clear(svc.waiting[len(kept):])
	svc.waiting = kept
}

// costOf returns what a reservation has taken from its account: repeats take nothing.
func (cor *Core) costOf(res reservation.Reserve) float64 {
	if res.Attempt > 0 {
		return 0
	}
	return res.Cost
}

// grant gives the request the best engine with room, if there is one.
func (cor *Core) grant(now time.Time, svc *service, wai *waiter) bool {
	can := cor.choose(now, svc, wai)
	best, tokens := can.engine, can.tokens
	if best == nil {
		return false
	}
	res := wai.reserve
	rnn := &run{
		engine: best, gateway: wai.gateway, account: res.Account, cost: cor.costOf(res), tokens: tokens, unread: true,
		expected: can.first, queued: len(best.running) >= best.Slots,
	}
	inp := svc.inputs(now, wai.since)
	inp.Running, inp.Unread, inp.Expected = len(best.running), best.unreadTime(now), rnn.expected
	best.begin(now, rnn, res.AnswerTokens)
	if tokens > 0 {
		best.remember(res.Parts)
	}
	best.health.given()
	best.running[res.ID] = rnn
	cor.runs[res.ID] = rnn
	cor.send(wai.gateway, reservation.Grant{ID: res.ID, Ballot: res.Ballot, Engine: string(best.ID)}, inp)
	return true
}

// asideAllowed reports whether engines may be left out for their health: not
// while over half of a service's would be.
func (svc *service) asideAllowed(now time.Time) bool {
	out := 0
	for _, ene := range svc.engines {
		if !ene.health.usable(now) {
			out++
		}
	}
	return 2*out <= len(svc.engines)
}

func (cor *Core) withdraw(now time.Time, id request.ID) {
	for _, svc := range cor.services {
		for idx, wai := range svc.waiting {
			if wai.reserve.ID == id {
				cor.giveBack(wai.reserve.Account, cor.costOf(wai.reserve))
				svc.waiting = slices.Delete(svc.waiting, idx, idx+1)
				return
			}
		}
	}
	// A grant may have crossed the withdrawal.
	cor.release(now, reservation.Release{ID: id})
}

func (cor *Core) progress(now time.Time, pro reservation.Progress) {
	rnn := cor.runs[pro.ID]
	if rnn == nil || !rnn.unread {
		return
	}
	rnn.engine.learnRead(rnn, pro.FirstToken)
	rnn.engine.end(now, rnn)
	rnn.engine.health.succeeded()
	cor.serveEngine(now, rnn.engine)
}

func (cor *Core) serveEngine(now time.Time, ene *engine) {
	if svc := cor.services[ene.Service]; svc != nil {
		cor.serve(now, svc)
	}
}

func (cor *Core) release(now time.Time, rel reservation.Release) {
	rnn := cor.runs[rel.ID]
	if rnn == nil {
		return
	}
	ene := rnn.engine
	delete(cor.runs, rel.ID)
	delete(ene.running, rel.ID)
	if !rel.Dispatched || rel.Rejected {
		cor.giveBack(rnn.account, rnn.cost)
	}
	switch {
	case rel.Failed || rel.Rejected:
		ene.health.failed(now)
	case rnn.tokens == 0 && rel.Dispatched && rel.Total > 0:
		ene.learnWork(rel.Total)
		ene.health.succeeded()
	default:
		ene.health.forgotten()
	}
	if rel.FirstToken > 0 {
		ene.learnStay(rel.Total)
		ene.model.ObserveEvents(rel.DecodeTokens, rel.Total-rel.FirstToken)
	}
	ene.end(now, rnn)
	cor.serveEngine(now, ene)
}

// adopt takes a run over that another host's core granted.
func (cor *Core) adopt(now time.Time, from request.Epoch, ado reservation.Adopt) {
	ene := cor.engines[fleet.EngineID(ado.Engine)]
	if ene == nil || cor.runs[ado.ID] != nil {
		return
	}
	rnn := &run{engine: ene, gateway: from, account: ado.Account, cost: ado.Cost, tokens: ado.PromptTokens, unread: ado.Unread}
	ene.begin(now, rnn, 0)
	ene.running[ado.ID] = rnn
	cor.runs[ado.ID] = rnn
}

// loseGateway forgets what a gateway waited for and ran.
func (cor *Core) loseGateway(now time.Time, gateway request.Epoch) {
	for _, svc := range cor.services {
		svc.waiting = slices.DeleteFunc(svc.waiting, func(wai *waiter) bool { return wai.gateway == gateway })
	}
	for id, rnn := range cor.runs {
		if rnn.gateway == gateway {
			delete(cor.runs, id)
			delete(rnn.engine.running, id)
			rnn.engine.end(now, rnn)
		}
	}
	for _, svc := range cor.services {
		cor.serve(now, svc)
	}
}

// Waiting reports whether any request waits for an engine.
func (cor *Core) Waiting() bool {
	for _, svc := range cor.services {
		if len(svc.waiting) > 0 {
			return true
		}
	}
	return false
}

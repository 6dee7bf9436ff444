package modeltest

import (
	"fmt"
	"slices"
	"time"

	"lynxwell.dev/lynxwell/coordinator"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/reservation"
)

// Choice is one possible next step of a World.
type Choice struct {
	// Name describes the step. Failures list the names of the steps taken.
	Name string
	// Fault is set if the step is a fault.
	Fault bool
	take  func()
}

// Take takes the step of the choice.
func (wor *World) Take(cho Choice) {
	wor.steps++
	if cho.Fault {
		wor.faults++
	}
	cho.take()
}

// Choices returns all possible next steps, in a fixed order.
func (wor *World) Choices() []Choice {
	var all []Choice
	all = append(all, wor.arrivalChoices()...)
	all = append(all, wor.deliveryChoices()...)
	all = append(all, wor.queryChoices()...)
	all = append(all, wor.relayChoices()...)
	all = append(all, wor.runChoices()...)
	all = append(all, wor.hostChoices()...)
	if wor.faults < wor.cfg.MaxFaults {
		all = append(all, wor.faultChoices()...)
	}
	return all
}

func (wor *World) arrivalChoices() []Choice {
	var all []Choice
	for _, id := range wor.ids {
		if wor.attempts[id] > wor.cfg.MaxRetries {
			continue
		}
		for _, hst := range wor.hosts {
			if wor.running(hst.epoch) == nil {
				continue
			}
			all = append(all, Choice{Name: fmt.Sprintf("arrive %s at host-%d", id.Unique, hst.number), take: func() {
				wor.attempts[id]++
				wor.callers++
				wor.handleAtGateway(hst, wor.arrivalOf(id))
			}})
		}
	}
	return all
}

// deliveryChoices returns the delivery of the next message of each session, in each direction, and
// the detection of broken sessions.
func (wor *World) deliveryChoices() []Choice {
	var all []Choice
	for _, ses := range wor.sessions {
		gat, cor := wor.running(ses.gat), wor.running(ses.cor)
		if gat != nil && !ses.gatLost {
			all = append(all, wor.toGatewayChoices(ses, gat)...)
		}
		if cor != nil && !ses.corLost {
			all = append(all, wor.toCoordinatorChoices(ses, cor)...)
		}
	}
	return all
}

func (wor *World) toGatewayChoices(ses *session, gat *simHost) []Choice {
	var all []Choice
	if len(ses.toGat) > 0 {
		all = append(all, Choice{Name: fmt.Sprintf("%T from %d to gateway %d", ses.toGat[0], ses.cor, ses.gat), take: func() {
			msg := ses.toGat[0]
			ses.toGat = ses.toGat[1:]
			wor.handleAtGateway(gat, gateway.Received{From: ses.cor, Message: msg})
		}})
	}
	if ses.broken {
		all = append(all, Choice{Name: fmt.Sprintf("gateway %d loses %d", ses.gat, ses.cor), take: func() { wor.loseAtGateway(ses) }})
	}
	return all
}

func (wor *World) toCoordinatorChoices(ses *session, cor *simHost) []Choice {
	var all []Choice
	if len(ses.toCor) > 0 {
		all = append(all, Choice{Name: fmt.Sprintf("%T from %d to coordinator %d", ses.toCor[0], ses.gat, ses.cor), take: func() {
			msg := ses.toCor[0]
			ses.toCor = ses.toCor[1:]
			wor.handleAtCoordinator(cor, coordinator.Received{From: ses.gat, Message: msg})
		}})
	}
	if ses.broken {
		all = append(all, Choice{Name: fmt.Sprintf("coordinator %d loses %d", ses.cor, ses.gat), take: func() { wor.loseAtCoordinator(ses) }})
	}
	return all
}

// queryChoices returns the delivery of each query and of each answer, and the failure of each
// query whose target is down or frozen.
func (wor *World) queryChoices() []Choice {
	var all []Choice
	for _, que := range wor.queries {
		sender := wor.running(que.from)
		answered := que.answer != nil || que.revocationAnswer != nil
		switch {
		case sender == nil:
		case answered:
			all = append(all, Choice{Name: fmt.Sprintf("answer from %d reaches %d", que.to, que.from), take: func() { wor.deliverAnswer(que, sender) }})
		case wor.running(que.to) != nil:
			all = append(all, Choice{Name: fmt.Sprintf("query from %d reaches %d", que.from, que.to), take: func() { wor.deliverQuery(que) }})
		default:
			all = append(all, Choice{Name: fmt.Sprintf("query from %d can't reach %d", que.from, que.to), take: func() { wor.failQuery(que, sender) }})
		}
	}
	return all
}

func (wor *World) dropQuery(que *query) {
	wor.queries = slices.DeleteFunc(wor.queries, func(other *query) bool { return other == que })
}

func (wor *World) deliverQuery(que *query) {
	hst := wor.host(que.to)
	switch {
	case que.fence != nil:
		ans, actions := hst.cor.Fence(wor.now, *que.fence)
		que.answer = &ans
		wor.coordinatorActions(hst, actions)
	case que.attestation != nil:
		hst.cor.Attest(wor.now, *que.attestation)
		wor.dropQuery(que)
	case que.revocation != nil:
		ans := hst.cor.RevokeAttestation(*que.revocation)
		que.revocationAnswer = &ans
	}
}

func (wor *World) deliverAnswer(que *query, sender *simHost) {
	wor.dropQuery(que)
	if que.answer != nil {
		wor.handleAtGateway(sender, gateway.FenceAnswered{Ballot: que.fence.Ballot, Answer: *que.answer})
		return
	}
	wor.handleAtGateway(sender, gateway.RevocationAnswered{Attester: que.to, Answer: *que.revocationAnswer})
}

// failQuery ends a query without an answer, whether or not the target has received the query.
func (wor *World) failQuery(que *query, sender *simHost) {
	wor.dropQuery(que)
	switch {
	case que.fence != nil:
		wor.handleAtGateway(sender, gateway.FenceFailed{ID: que.fence.ID, Ballot: que.fence.Ballot, Peer: que.to})
	case que.revocation != nil:
		ans := reservation.RevocationAnswer{AttestationKey: que.revocation.AttestationKey}
		wor.handleAtGateway(sender, gateway.RevocationAnswered{Attester: que.to, Answer: ans, Failed: true})
	}
}

func (wor *World) relayChoices() []Choice {
	var all []Choice
	for _, rel := range wor.relays {
		target := wor.running(rel.to)
		source := wor.running(rel.from)
		switch {
		case target != nil:
			all = append(all, Choice{Name: fmt.Sprintf("relay reaches %d", rel.to), take: func() {
				wor.dropRelay(rel)
				arr := rel.arrived
				arr.Relayed = true
				wor.handleAtGateway(target, arr)
			}})
		case source != nil && !rel.moved:
			all = append(all, Choice{Name: fmt.Sprintf("relay can't reach %d", rel.to), take: func() {
				wor.dropRelay(rel)
				wor.handleAtGateway(source, gateway.RelayFailed{Arrived: rel.arrived, To: rel.to})
			}})
		}
	}
	return all
}

func (wor *World) dropRelay(rel *relay) {
	wor.relays = slices.DeleteFunc(wor.relays, func(other *relay) bool { return other == rel })
}

func (wor *World) runChoices() []Choice {
	var all []Choice
	for _, rnn := range wor.runs {
		hst := wor.running(rnn.host)
		if hst == nil {
			continue
		}
		switch {
		case rnn.resume:
			all = append(all, Choice{Name: "resume " + rnn.id.Unique, take: func() { wor.resume(hst, rnn) }})
		case rnn.sent:
			all = append(all, Choice{Name: "engine completes " + rnn.id.Unique, take: func() {
				wor.completeRun(hst, rnn, gateway.Result{Dispatched: true, Answered: true, Complete: true})
			}})
		default:
			all = append(all, Choice{Name: fmt.Sprintf("host-%d dispatches %s", hst.number, rnn.id.Unique), take: func() {
				rnn.sent = true
				wor.dispatched[rnn.id]++
			}})
			if wor.cfg.DialErrors {
				all = append(all, Choice{Name: "engine can't be reached for " + rnn.id.Unique, take: func() { wor.completeRun(hst, rnn, gateway.Result{}) }})
			}
		}
	}
	return all
}

func (wor *World) resume(hst *simHost, rnn *run) {
	res := gateway.Result{Dispatched: true, NotFound: true}
	if wor.dispatched[rnn.id] > 0 {
		res = gateway.Result{Dispatched: true, Answered: true, Complete: true}
	}
	wor.completeRun(hst, rnn, res)
}

func (wor *World) completeRun(hst *simHost, rnn *run, res gateway.Result) {
	wor.runs = slices.DeleteFunc(wor.runs, func(other *run) bool { return other == rnn })
	wor.handleAtGateway(hst, gateway.EngineDone{ID: rnn.id, Result: res})
}

// hostChoices returns the steps of hosts apart from messages: recoveries from faults, views,
// connections, ends of planned stops and the passage of time.
func (wor *World) hostChoices() []Choice {
	var all []Choice
	for _, hst := range wor.hosts {
		if hst.alive && hst.frozen {
			all = append(all, Choice{Name: fmt.Sprintf("host-%d resumes", hst.number), take: func() { hst.frozen = false }})
		}
		if !hst.alive && wor.cfg.Restarts {
			all = append(all, Choice{Name: fmt.Sprintf("host-%d restarts", hst.number), take: func() { wor.start(hst) }})
		}
		if wor.running(hst.epoch) == nil {
			continue
		}
		all = append(all, wor.runningChoices(hst)...)
	}
	if wor.viewIsOutdated() {
		all = append(all, Choice{Name: "the next view is published", take: wor.publish})
	}
	if wor.cfg.Timeouts {
		all = append(all, Choice{Name: "time passes", take: wor.advanceTime})
	}
	return all
}

func (wor *World) runningChoices(hst *simHost) []Choice {
	var all []Choice
	if hst.receivedViews < len(wor.views) {
		all = append(all, Choice{Name: fmt.Sprintf("host-%d receives view %d", hst.number, hst.receivedViews+1), take: func() { wor.deliverView(hst) }})
	}
	for _, other := range wor.hosts {
		if other == hst || wor.running(other.epoch) == nil || wor.session(hst.epoch, other.epoch) != nil || !wor.knows(hst, other) {
			continue
		}
		all = append(all, Choice{Name: fmt.Sprintf("host-%d connects to host-%d", hst.number, other.number), take: func() { wor.open(hst, other) }})
	}
	if hst.draining && hst.gat.InFlight() == 0 && !wor.hasRun(hst) {
		all = append(all, Choice{Name: fmt.Sprintf("host-%d completes its planned stop", hst.number), take: func() { wor.completeStop(hst) }})
	}
	return all
}

// knows reports whether the host's latest view contains the other host's current epoch.
func (wor *World) knows(hst, other *simHost) bool {
	if hst.receivedViews == 0 {
		return false
	}
	_, member := wor.views[hst.receivedViews-1].Member(other.epoch)
	return member
}

func (wor *World) hasRun(hst *simHost) bool {
	return slices.ContainsFunc(wor.runs, func(rnn *run) bool { return rnn.host == hst.epoch })
}

// viewIsOutdated reports whether the latest published view differs from the running hosts.
func (wor *World) viewIsOutdated() bool {
	latest := wor.views[len(wor.views)-1]
	count := 0
	for _, hst := range wor.hosts {
		if !hst.alive {
			continue
		}
		count++
		mem, member := latest.Member(hst.epoch)
		if !member || mem.Draining != hst.draining {
			return true
		}
	}
	return count != len(latest.Members)
}

// timeStep is the time by which one step advances the clock.
const timeStep = 4 * time.Second

func (wor *World) advanceTime() {
	wor.now = wor.now.Add(timeStep)
	for _, hst := range wor.hosts {
		if wor.running(hst.epoch) != nil {
			wor.handleAtGateway(hst, gateway.Tick{})
			wor.handleAtCoordinator(hst, coordinator.Tick{})
		}
	}
}

// faultChoices returns the faults: kills, freezes, planned stops, broken sessions and lost queries.
func (wor *World) faultChoices() []Choice {
	var all []Choice
	for _, hst := range wor.hosts {
		if !hst.alive {
			continue
		}
		all = append(all, Choice{Name: fmt.Sprintf("host-%d is killed", hst.number), Fault: true, take: func() { wor.kill(hst) }})
		if hst.frozen {
			continue
		}
		all = append(all, Choice{Name: fmt.Sprintf("host-%d freezes", hst.number), Fault: true, take: func() { wor.freeze(hst) }})
		if wor.cfg.Stops && !hst.draining {
			all = append(all, Choice{Name: fmt.Sprintf("host-%d begins a planned stop", hst.number), Fault: true, take: func() { wor.drain(hst) }})
		}
	}
	for _, ses := range wor.sessions {
		if !ses.broken {
			all = append(all, Choice{Name: fmt.Sprintf("session %d-%d breaks", ses.gat, ses.cor), Fault: true, take: func() { wor.breakSession(ses, true) }})
		}
	}
	for _, que := range wor.queries {
		if sender := wor.running(que.from); sender != nil {
			all = append(all, Choice{Name: fmt.Sprintf("query %d-%d gets lost", que.from, que.to), Fault: true, take: func() { wor.failQuery(que, sender) }})
		}
	}
	return all
}

// breakSession breaks a session. If lose is set, the messages in transit are lost.
func (wor *World) breakSession(ses *session, lose bool) {
	ses.broken = true
	if lose {
		ses.toCor, ses.toGat = nil, nil
	}
}

// breakAll breaks all sessions of the host. Messages in transit can still be delivered.
func (wor *World) breakAll(epo request.Epoch) {
	for _, ses := range wor.sessions {
		if ses.gat == epo || ses.cor == epo {
			wor.breakSession(ses, false)
		}
	}
}

func (wor *World) kill(hst *simHost) {
	hst.alive = false
	wor.breakAll(hst.epoch)
	for _, ses := range slices.Clone(wor.sessions) {
		if ses.gat == hst.epoch {
			ses.gatLost, ses.toGat = true, nil
		}
		if ses.cor == hst.epoch {
			ses.corLost, ses.toCor = true, nil
		}
	}
	wor.removeLostSessions()
	wor.runs = slices.DeleteFunc(wor.runs, func(rnn *run) bool { return rnn.host == hst.epoch })
	wor.queries = slices.DeleteFunc(wor.queries, func(que *query) bool { return que.from == hst.epoch })
	wor.relays = slices.DeleteFunc(wor.relays, func(rel *relay) bool { return rel.from == hst.epoch })
}

// freeze suspends a host, which does not notice the suspension and keeps its state. Its sessions
// break.
func (wor *World) freeze(hst *simHost) {
	hst.frozen = true
	wor.breakAll(hst.epoch)
}

func (wor *World) drain(hst *simHost) {
	hst.draining = true
	wor.handleAtGateway(hst, gateway.Drain{})
	wor.handleAtCoordinator(hst, coordinator.Drain{})
}

// completeStop hands the host's ledger over to up to two running hosts that are not draining, and
// ends the host.
func (wor *World) completeStop(hst *simHost) {
	han := hst.cor.Handover()
	recipients := 0
	for _, other := range wor.hosts {
		if other != hst && recipients < 2 && wor.running(other.epoch) != nil && !other.draining {
			other.cor.TakeOver(wor.now, han)
			recipients++
		}
	}
	wor.kill(hst)
}

package host

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"lynxwell.dev/lynxwell/caller"
	"lynxwell.dev/lynxwell/gateway"
	"lynxwell.dev/lynxwell/request"
	"lynxwell.dev/lynxwell/task"
	"lynxwell.dev/lynxwell/view"
)

// Addresses implements caller.Backend. It lists the active hosts whose request id
// prefix is known to this host.
func (hos *Host) Addresses() caller.Addresses {
	vie := hos.shared.view()
	ans := caller.Addresses{View: vie.Number, KeepSeconds: int(hos.set.Timing.KeepAddresses.Std().Seconds())}
	for _, mem := range vie.Active() {
		prefix, known := hos.prefixOf(mem)
		if !known {
			continue
		}
		ans.Addresses = append(ans.Addresses, caller.Address{
			Host: mem.Name, Address: mem.CallerAddress, Domain: mem.Domain, Prefix: prefix.String(),
		})
	}
	return ans
}

// prefixOf returns the prefix of the request ids that a member's gateway issues. The prefix
// of another member is known once the member has sent a header, if the member belongs to the
// newest view that both hosts have. This host's own prefix is withheld while the host drains.
func (hos *Host) prefixOf(mem view.Member) (request.Prefix, bool) {
	if mem.Epoch == hos.epoch {
		return hos.prefix(), !hos.draining.Load()
	}
	hea, known := hos.shared.header(mem.Epoch)
	if !known {
		return request.Prefix{}, false
	}
	number := min(hea.View, hos.shared.view().Number)
	if !hos.wasMember(number, mem.Epoch) {
		return request.Prefix{}, false
	}
	return request.Prefix{View: number, Epoch: mem.Epoch, Window: hea.Window}, true
}

// wasMember reports whether the epoch is a member of the view with the given number. It returns
// false if the history doesn't contain that view.
func (hos *Host) wasMember(number uint64, epo request.Epoch) bool {
	hos.shared.mutex.Lock()
	defer hos.shared.mutex.Unlock()
	vie, known := hos.shared.history.Get(number)
	if !known {
		return false
	}
	_, member := vie.Member(epo)
	return member
}

// uniqueLen is the number of random bytes in the unique part of an id that NewID
// generates.
const uniqueLen = 9

// NewID implements caller.Backend. The id's view is 0 if the host's current view doesn't
// contain the host.
func (hos *Host) NewID() request.ID {
	var raw [uniqueLen]byte
	// rand.Read never returns an error.
	_, _ = rand.Read(raw[:])
	pre := hos.prefix()
	if !hos.wasMember(pre.View, hos.epoch) {
		pre.View = 0
	}
	return request.ID{Prefix: pre, Unique: hex.EncodeToString(raw[:])}
}

// Arrive implements caller.Backend.
func (hos *Host) Arrive(ctx context.Context, arr gateway.Arrived, work caller.Work) (caller.Decision, error) {
	return hos.awaitDecision(ctx, arr, arr, work)
}

// RelayFailed implements caller.Backend.
func (hos *Host) RelayFailed(ctx context.Context, arr gateway.Arrived, to view.Member, work caller.Work) (caller.Decision, error) {
	return hos.awaitDecision(ctx, arr, gateway.RelayFailed{Arrived: arr, To: to.Epoch}, work)
}

// awaitDecision passes an event about a client's request to the gateway and waits for the
// gateway's decision. If the context ends first, it detaches the client from the request.
func (hos *Host) awaitDecision(ctx context.Context, arr gateway.Arrived, evt gateway.Event, work caller.Work) (caller.Decision, error) {
	waiting := &arrival{work: work, rank: arr.Spec.Rank, decision: make(chan caller.Decision, 1)}
	hos.loop.post(func(now time.Time) {
		hos.loop.pending[arr.Client] = waiting
		hos.loop.gatewayEvent(now, evt)
	})
	select {
	case dec := <-waiting.decision:
		return dec, nil
	case <-hos.loop.stopped:
		return nil, &StoppedError{}
	case <-ctx.Done():
		hos.loop.post(func(now time.Time) { hos.loop.dropArrival(now, arr, waiting) })
		return nil, ctx.Err()
	}
}

// dropArrival detaches a client that disconnected before the decision on its request was
// read. The loop has already handled the arrival, so a decision that the gateway made is in
// the channel.
func (lop *loop) dropArrival(now time.Time, arr gateway.Arrived, waiting *arrival) {
	delete(lop.pending, arr.Client)
	select {
	case dec := <-waiting.decision:
		if _, attached := dec.(caller.Attached); attached {
			lop.gatewayEvent(now, gateway.ClientLeft{ID: arr.ID})
		}
	default:
	}
}

// Detach implements caller.Backend.
func (hos *Host) Detach(id request.ID) {
	hos.loop.post(func(now time.Time) { hos.loop.gatewayEvent(now, gateway.ClientLeft{ID: id}) })
}

// WaitUnreachable implements caller.Backend.
func (hos *Host) WaitUnreachable(ctx context.Context, mem view.Member) error {
	timeout := hos.set.Timing.PeerTimeout.Std()
	for {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		_, err := hos.peers.Probe(callCtx, mem)
		cancel()
		if err != nil {
			return err
		}
		if !task.Sleep(ctx, timeout/2) {
			return ctx.Err()
		}
	}
}

// Ready implements caller.Backend.
func (hos *Host) Ready() (bool, string) {
	switch {
	case hos.shared.currentProblem() != "":
		return false, hos.shared.currentProblem()
	case hos.draining.Load():
		return false, "the host is leaving"
	case hos.shared.view().Number == 0:
		return false, "the host knows no view yet"
	case hos.Configuration().Revision == 0:
		return false, "the host knows no configuration yet"
	default:
		return true, ""
	}
}

// Connected reports whether the host's view has exactly the given number of members and the
// host has received a header from each peer that its gateway connects to.
func (hos *Host) Connected(members int) bool {
	vie := hos.shared.view()
	if len(vie.Members) != members {
		return false
	}
	for _, mem := range vie.SessionPeers(hos.epoch, hos.Configuration().SlotsByService()) {
		if _, known := hos.shared.header(mem.Epoch); !known {
			return false
		}
	}
	return true
}

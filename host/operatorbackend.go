package host

import (
	"context"

	"lynxwell.dev/lynxwell/operator"
	"lynxwell.dev/lynxwell/peer"
	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/view"
)

// Status implements operator.Backend. It queries every member of the view.
func (hos *Host) Status(ctx context.Context) operator.Status {
	vie := hos.shared.view()
	sta := operator.Status{View: vie.Number}
	sta.Hosts = hos.queryHosts(ctx, vie)
	for _, hst := range sta.Hosts {
		sta.Revision = max(sta.Revision, hst.Revision)
	}
	for _, ent := range hos.Configuration().Entries() {
		sta.Resources = append(sta.Resources, resourceStatus(ent, sta))
	}
	return sta
}

// queryHosts queries the members concurrently and returns their status in view order.
func (hos *Host) queryHosts(ctx context.Context, vie view.View) []operator.HostStatus {
	type answer struct {
		index  int
		status operator.HostStatus
	}
	answers := make(chan answer)
	for idx, mem := range vie.Members {
		go func() { answers <- answer{idx, hos.hostStatus(ctx, mem)} }()
	}
	hosts := make([]operator.HostStatus, len(vie.Members))
	for range vie.Members {
		ans := <-answers
		hosts[ans.index] = ans.status
	}
	return hosts
}

func (hos *Host) hostStatus(ctx context.Context, mem view.Member) operator.HostStatus {
	sta := operator.HostStatus{Name: mem.Name, Epoch: mem.Epoch, Domain: mem.Domain, Leaving: mem.Draining}
	hea, err := hos.headerOf(ctx, mem)
	if err != nil {
		sta.Problem = "not reached: " + err.Error()
		return sta
	}
	sta.Reached, sta.View, sta.Revision = true, hea.View, hea.Revision
	if mem.Epoch == hos.epoch {
		sta.Problem = hos.shared.currentProblem()
	}
	return sta
}

func (hos *Host) headerOf(ctx context.Context, mem view.Member) (peer.Header, error) {
	if mem.Epoch == hos.epoch {
		return hos.Header(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return hos.peers.Probe(ctx, mem)
}

// resourceStatus returns the conditions of a resource: whether every host has applied the
// resource's current revision, and for an engine whether the engine gets new work.
func resourceStatus(ent resource.Entry, sta operator.Status) operator.ResourceStatus {
	key := ent.Resource.Key()
	res := operator.ResourceStatus{
		Kind: key.Kind, Name: key.Name, Revision: ent.Revision, Observed: make(map[string]uint64, len(sta.Hosts)),
	}
	behind := ""
	for _, hst := range sta.Hosts {
		if !hst.Reached {
			behind = hst.Name + " isn't reached"
			continue
		}
		res.Observed[hst.Name] = hst.Revision
		if hst.Revision < ent.Revision {
			behind = hst.Name + " is behind"
		}
	}
	res.Conditions = append(res.Conditions, operator.Condition{Type: "InForce", Status: behind == "", Reason: behind})
	if eng, isEngine := ent.Resource.(resource.Engine); isEngine {
		reason := ""
		if eng.Leaving {
			reason = "the operator has set Leaving"
		}
		res.Conditions = append(res.Conditions, operator.Condition{Type: "TakesWork", Status: !eng.Leaving, Reason: reason})
	}
	return res
}
